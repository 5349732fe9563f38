package peer

import (
	"context"
	"math"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"basilmill/core/account"
	"basilmill/core/host"
	"basilmill/core/ratelimit"
	"basilmill/io/peer/peerpb"
	"basilmill/io/peer/peerpb/peerpbconnect"
)

const (
	// maxDemands bounds the demands of a draw. A host sends one for each account at most.
	maxDemands = 10_000
	// maxGrantRetryAfter bounds the time to come back that a grant states.
	maxGrantRetryAfter = time.Minute
)

// LimitsService serves the limits of accounts to other hosts.
type LimitsService interface {
	// Draw takes tokens from the parts of this host. The grants are in the order of the
	// demands.
	Draw(demands []ratelimit.Demand) []ratelimit.Grant
	// Introduce notes a host that has joined, gives up the parts that it holds, and returns
	// the hosts of its data centre that this host knows.
	Introduce(joined host.Info) []host.Info
}

// LimitsHandler returns the path and the handler of the service.
func LimitsHandler(service LimitsService) (path string, handler http.Handler) {
	return peerpbconnect.NewLimitsHandler(limitsServer{service}, connect.WithReadMaxBytes(maxDrawSize))
}

// maxDrawSize bounds the size of a draw, in bytes.
const maxDrawSize = 1 << 20

// limitsServer implements the Limits service.
type limitsServer struct{ service LimitsService }

// Draw implements the Limits service.
func (s limitsServer) Draw(_ context.Context, request *connect.Request[peerpb.DrawRequest]) (*connect.Response[peerpb.DrawResponse], error) {
	demands, err := decodeDemands(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(encodeGrants(s.service.Draw(demands))), nil
}

// Introduce implements the Limits service.
func (s limitsServer) Introduce(_ context.Context, request *connect.Request[peerpb.IntroduceRequest]) (*connect.Response[peerpb.IntroduceResponse], error) {
	joined, err := sender(request.Msg.GetSender())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&peerpb.IntroduceResponse{Hosts: hostsToWire(s.service.Introduce(joined))}), nil
}

// Introduce tells the host at the address of info that this one has joined its data
// centre, and returns the hosts of the data centre that it knows.
func (c *GatewayClient) Introduce(ctx context.Context, info, self host.Info) ([]host.Info, error) {
	client := peerpbconnect.NewLimitsClient(c.http, "http://"+info.PeerAddress.String(), withoutCompression())
	response, err := client.Introduce(ctx, connect.NewRequest(&peerpb.IntroduceRequest{Sender: hostToWire(self)}))
	if err != nil {
		return nil, eris.Wrap(err, "introduce this host")
	}
	return hostsFromWire(response.Msg.GetHosts())
}

// Draw implements ratelimit.Network, on the connection to the gateway on the host.
func (c *GatewayClient) Draw(ctx context.Context, info host.Info, demands []ratelimit.Demand) ([]ratelimit.Grant, error) {
	client := peerpbconnect.NewLimitsClient(c.http, "http://"+info.PeerAddress.String(), withoutCompression())
	response, err := client.Draw(ctx, connect.NewRequest(encodeDemands(demands)))
	if err != nil {
		return nil, eris.Wrap(err, "draw tokens")
	}
	return decodeGrants(response.Msg), nil
}

func encodeDemands(demands []ratelimit.Demand) *peerpb.DrawRequest {
	m := &peerpb.DrawRequest{Demands: make([]*peerpb.Demand, len(demands))}
	for i, d := range demands {
		m.Demands[i] = &peerpb.Demand{Account: string(d.Account), Tokens: clampTokens(d.Tokens)}
	}
	return m
}

// decodeDemands returns an error for more demands than a host sends.
func decodeDemands(m *peerpb.DrawRequest) ([]ratelimit.Demand, error) {
	if len(m.GetDemands()) > maxDemands {
		return nil, eris.Errorf("%d demands in a draw, at most %d are allowed", len(m.GetDemands()), maxDemands)
	}
	demands := make([]ratelimit.Demand, len(m.GetDemands()))
	for i, d := range m.GetDemands() {
		demands[i] = ratelimit.Demand{Account: account.ID(d.GetAccount()), Tokens: int(max(d.GetTokens(), 0))}
	}
	return demands, nil
}

func encodeGrants(grants []ratelimit.Grant) *peerpb.DrawResponse {
	m := &peerpb.DrawResponse{Grants: make([]*peerpb.Grant, len(grants))}
	for i, g := range grants {
		m.Grants[i] = &peerpb.Grant{Tokens: clampTokens(g.Tokens), RetryAfterMicroseconds: g.RetryAfter.Microseconds(), NotAssigned: g.NotAssigned}
	}
	return m
}

// decodeGrants bounds what a grant states, because a host of another version may state
// anything.
func decodeGrants(m *peerpb.DrawResponse) []ratelimit.Grant {
	grants := make([]ratelimit.Grant, len(m.GetGrants()))
	for i, g := range m.GetGrants() {
		retryAfter := min(max(g.GetRetryAfterMicroseconds(), 0), maxGrantRetryAfter.Microseconds())
		grants[i] = ratelimit.Grant{
			Tokens: int(max(g.GetTokens(), 0)), RetryAfter: time.Duration(retryAfter) * time.Microsecond, NotAssigned: g.GetNotAssigned(),
		}
	}
	return grants
}

func clampTokens(n int) int32 { return int32(min(max(n, 0), math.MaxInt32)) } //nolint:gosec // bounded
