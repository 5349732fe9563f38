package peer

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"basilmill/core/group"
	"basilmill/io/peer/peerpb"
	"basilmill/io/peer/peerpb/peerpbconnect"
)

// ProvenPosition is the newest log position of a group's primary that a host has
// proven. It covers every commit that was acknowledged more than Age ago.
type ProvenPosition struct {
	Position group.Position
	// Age is the time since the request that proved the position was sent.
	Age time.Duration
}

// provenPositionServer implements the Beliefs service.
type provenPositionServer struct {
	lookup func(group.ID) (ProvenPosition, bool)
}

// ProvenPositionHandler returns the path and the handler of the service that
// shares this host's proven positions with other hosts. The lookup returns false
// for a group without one.
func ProvenPositionHandler(lookup func(group.ID) (ProvenPosition, bool)) (path string, handler http.Handler) {
	return peerpbconnect.NewBeliefsHandler(provenPositionServer{lookup}, connect.WithReadMaxBytes(maxRequestBytes))
}

// Position implements the Beliefs service.
func (s provenPositionServer) Position(_ context.Context, request *connect.Request[peerpb.BeliefRequest]) (*connect.Response[peerpb.BeliefResponse], error) {
	p, known := s.lookup(group.ID(request.Msg.GetGroup()))
	if !known {
		return connect.NewResponse(&peerpb.BeliefResponse{}), nil
	}
	return connect.NewResponse(&peerpb.BeliefResponse{
		Known: true, Term: int64(p.Position.Term), Offset: int64(p.Position.Offset), AgeMicroseconds: p.Age.Microseconds(),
	}), nil
}

// ProvenPositionClient requests the proven positions of other hosts.
type ProvenPositionClient struct {
	// HTTP makes the calls.
	HTTP *http.Client
}

// Get returns the proven position of the host at the address for a group, and
// false if the host has none.
func (c ProvenPositionClient) Get(ctx context.Context, address netip.AddrPort, id group.ID) (p ProvenPosition, known bool, err error) {
	client := peerpbconnect.NewBeliefsClient(c.HTTP, "http://"+address.String(), withoutCompression())
	response, err := client.Position(ctx, connect.NewRequest(&peerpb.BeliefRequest{Group: string(id)}))
	if err != nil {
		return ProvenPosition{}, false, eris.Wrapf(err, "get the proven position of the host at %s", address)
	}
	m := response.Msg
	return ProvenPosition{
		Position: group.Position{Term: group.Term(m.GetTerm()), Offset: group.Offset(m.GetOffset())},
		Age:      time.Duration(m.GetAgeMicroseconds()) * time.Microsecond,
	}, m.GetKnown(), nil
}
