package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"
)

// maxStatusBytes bounds the response with a host's status. A group takes about
// 300 bytes, so 8,100 groups fit.
const maxStatusBytes = 16 << 20

// FetchStatus requests the status of the host whose operator address is given.
func FetchStatus(ctx context.Context, address netip.AddrPort) (status Status, err error) {
	defer func() { err = eris.Wrapf(err, "status of the host at %s", address) }()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+"/status", nil)
	if err != nil {
		return Status{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Status{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Status{}, eris.Errorf("the host answered %s", response.Status)
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
	return status, err
}
