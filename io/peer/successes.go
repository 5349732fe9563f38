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

// Exclusion asks a host to give no successes any more in terms of a group up to Term that rest
// on the servers.
type Exclusion struct {
	Group   group.ID
	Servers []group.ServerID
	Term    group.Term
}

// Successes is what a host knows of the successes that it has given.
type Successes struct {
	// Highest is the highest position of a commit whose success was given.
	Highest group.Position
	// Age is the time since the start of the host's process.
	Age time.Duration
}

// successesServer implements the Successes service.
type successesServer struct {
	exclude func(Exclusion) Successes
}

// SuccessesHandler returns the path and the handler of the service that excludes servers from
// the successes of this host.
func SuccessesHandler(exclude func(Exclusion) Successes) (path string, handler http.Handler) {
	return peerpbconnect.NewSuccessesHandler(successesServer{exclude}, connect.WithReadMaxBytes(maxRequestBytes))
}

// Exclude implements the Successes service.
func (s successesServer) Exclude(_ context.Context, request *connect.Request[peerpb.ExcludeRequest]) (*connect.Response[peerpb.ExcludeResponse], error) {
	e := Exclusion{Group: group.ID(request.Msg.GetGroup()), Term: group.Term(request.Msg.GetTerm())}
	for _, id := range request.Msg.GetServers() {
		e.Servers = append(e.Servers, group.ServerID(id))
	}
	given := s.exclude(e)
	return connect.NewResponse(&peerpb.ExcludeResponse{
		Term: int64(given.Highest.Term), Offset: int64(given.Highest.Offset), AgeMicroseconds: given.Age.Microseconds(),
	}), nil
}

// SuccessesClient excludes servers from the successes of other hosts.
type SuccessesClient struct {
	// HTTP makes the calls.
	HTTP *http.Client
}

// Exclude asks the host at the address.
func (c SuccessesClient) Exclude(ctx context.Context, address netip.AddrPort, e Exclusion) (Successes, error) {
	client := peerpbconnect.NewSuccessesClient(c.HTTP, "http://"+address.String(), withoutCompression())
	request := &peerpb.ExcludeRequest{Group: string(e.Group), Term: int64(e.Term)}
	for _, id := range e.Servers {
		request.Servers = append(request.Servers, string(id))
	}
	response, err := client.Exclude(ctx, connect.NewRequest(request))
	if err != nil {
		return Successes{}, eris.Wrapf(err, "ask the host at %s for its successes", address)
	}
	m := response.Msg
	return Successes{
		Highest: group.Position{Term: group.Term(m.GetTerm()), Offset: group.Offset(m.GetOffset())},
		Age:     time.Duration(m.GetAgeMicroseconds()) * time.Microsecond,
	}, nil
}
