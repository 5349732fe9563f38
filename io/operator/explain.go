package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/rotisserie/eris"
)

// RoutePath is the path at which a host explains where a request would go.
const RoutePath = "/explain/route"

// Parameters of RoutePath.
const (
	DatabaseParameter  = "database"
	AccountParameter   = "account"
	OperationParameter = "operation"
	PositionParameter  = "position"
)

// maxExplanationBytes bounds the response. A server takes about 500 bytes.
const maxExplanationBytes = 4 << 20

// RouteQuery names the request to explain. Position has the form TERM.NUMBER.
type RouteQuery struct{ Database, Account, Operation, Position string }

// RouteCandidate is a server in a RouteExplanation. Durations are texts such as "12ms", and
// ages are those of what the host knows.
type RouteCandidate struct {
	Server       string
	DataCentre   string
	Primary      bool
	Leaving      bool
	Via          string
	Latency      string
	InFlight     int
	Slots        int
	StatedInUse  int
	StatedWait   int
	StatedAge    string
	Unanswered   string
	ExpectedTime string
	// Share is the probability with which the server is chosen.
	Share  float64
	Reason string
}

// RouteLimit is the limit that the operation meets; Limited is false without one.
type RouteLimit struct {
	Limited     bool
	Rate, Burst float64
	Held        int
	Waiting     int
	// RetryAfter is the time until a token is expected; empty if one may be available now.
	RetryAfter string
}

// RouteExplanation says where a request would go now.
type RouteExplanation struct {
	Host          string
	ConfigVersion int64
	Route         string
	Group         string
	Consistency   string
	Priority      int
	PrimaryKnown  bool
	ProofAge      string
	MinPosition   string
	PositionAge   string
	Limit         RouteLimit
	Candidates    []RouteCandidate
	// Reason says why the request would wait or be refused; empty if it would be sent.
	Reason string
}

// FetchRoute requests the explanation from the host whose operator address is given. An
// answer without one has its reason as the error.
func FetchRoute(ctx context.Context, address netip.AddrPort, q RouteQuery) (e RouteExplanation, err error) {
	defer func() { err = eris.Wrapf(err, "explanation of the host at %s", address) }()
	values := url.Values{}
	for name, value := range map[string]string{DatabaseParameter: q.Database, AccountParameter: q.Account, OperationParameter: q.Operation, PositionParameter: q.Position} {
		if value != "" {
			values.Set(name, value)
		}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+RoutePath+"?"+values.Encode(), nil)
	if err != nil {
		return RouteExplanation{}, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return RouteExplanation{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body := io.LimitReader(response.Body, maxExplanationBytes)
	if response.StatusCode != http.StatusOK {
		reason, _ := io.ReadAll(body)
		return RouteExplanation{}, eris.Errorf("the host answered %s: %s", response.Status, reason)
	}
	err = json.NewDecoder(body).Decode(&e)
	return e, err
}

// WriteRoute writes an explanation as the response to a request.
func WriteRoute(w http.ResponseWriter, e RouteExplanation) error {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w).Encode(e)
}
