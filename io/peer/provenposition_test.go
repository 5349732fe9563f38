package peer_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/io/peer"
)

// Guards against a proven position that reaches another host without its age,
// and against a host without one that does not report so.
func TestProvenPositionQuery(t *testing.T) {
	want := peer.ProvenPosition{Position: group.Position{Term: 3, Offset: 17}, Age: 40 * time.Millisecond}
	mux := http.NewServeMux()
	mux.Handle(peer.ProvenPositionHandler(func(id group.ID) (peer.ProvenPosition, bool) { return want, id == "known" }))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := peer.ProvenPositionClient{HTTP: server.Client()}
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	got, known, err := client.Get(t.Context(), address, "known")
	assert.NilError(t, err)
	assert.Assert(t, known)
	assert.Equal(t, got, want)
	_, known, err = client.Get(t.Context(), address, "other")
	assert.NilError(t, err)
	assert.Assert(t, !known)
	server.Close()
	_, _, err = client.Get(t.Context(), address, "known")
	assert.Assert(t, err != nil)
}
