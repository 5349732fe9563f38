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

// ProvenPosition is the newest position of a group's primary that a host has proven.
type ProvenPosition struct {
	Position group.Position
	// Age is the time since the proof.
	Age time.Duration
}

// beliefServer answers other hosts.
type beliefServer struct {
	belief func(group.ID) (ProvenPosition, bool)
}

// ProvenPositionHandler returns the path and the handler that tell other hosts what
// this host has proven.
func ProvenPositionHandler(belief func(group.ID) (ProvenPosition, bool)) (path string, handler http.Handler) {
	return peerpbconnect.NewBeliefsHandler(beliefServer{belief})
}

// Position implements the service.
func (s beliefServer) Position(_ context.Context, request *connect.Request[peerpb.BeliefRequest]) (*connect.Response[peerpb.BeliefResponse], error) {
	b, known := s.belief(group.ID(request.Msg.GetGroup()))
	if !known {
		return connect.NewResponse(&peerpb.BeliefResponse{}), nil
	}
	return connect.NewResponse(&peerpb.BeliefResponse{
		Known: true, Term: int64(b.Position.Term), Offset: int64(b.Position.Offset), AgeMicroseconds: b.Age.Microseconds(),
	}), nil
}

// ProvenPositionClient asks other hosts.
type ProvenPositionClient struct {
	// HTTP is the client for the calls.
	HTTP *http.Client
}

// Get returns what the host at the address has proven about a group, and false
// if it has proven nothing.
func (c ProvenPositionClient) Get(ctx context.Context, address netip.AddrPort, id group.ID) (b ProvenPosition, known bool, err error) {
	client := peerpbconnect.NewBeliefsClient(c.HTTP, "http://"+address.String())
	response, err := client.Position(ctx, connect.NewRequest(&peerpb.BeliefRequest{Group: string(id)}))
	if err != nil {
		return ProvenPosition{}, false, eris.Wrapf(err, "ask the host at %s", address)
	}
	m := response.Msg
	return ProvenPosition{
		Position: group.Position{Term: group.Term(m.GetTerm()), Offset: group.Offset(m.GetOffset())},
		Age:      time.Duration(m.GetAgeMicroseconds()) * time.Microsecond,
	}, m.GetKnown(), nil
}
