package peer

import (
	"context"
	"net/http"

	"connectrpc.com/connect"

	"basilmill/core/distribution"
	"basilmill/core/host"
	"basilmill/io/peer/peerpb"
	"basilmill/io/peer/peerpb/peerpbconnect"
)

// PullHandler returns the path and the handler of a service that answers pulls of
// single kinds from a relay. It does not implement the other calls of the service.
func PullHandler(self host.Info, relay *distribution.Relay) (path string, handler http.Handler) {
	return peerpbconnect.NewPeerServiceHandler(pullServer{self: self, relay: relay}, connect.WithReadMaxBytes(maxRequestBytes))
}

// pullServer implements the Pull call of PeerService.
type pullServer struct {
	peerpbconnect.UnimplementedPeerServiceHandler

	self  host.Info
	relay *distribution.Relay
}

// Pull implements peerpbconnect.PeerServiceHandler.
func (s pullServer) Pull(ctx context.Context, request *connect.Request[peerpb.PullRequest]) (*connect.Response[peerpb.PullResponse], error) {
	pull := pullFromWire(request.Msg)
	update, current := s.relay.Pull(ctx, pull.Kind, pull.After, min(pull.WaitTimeout, maxPullWait))
	return connect.NewResponse(pullReplyToWire(s.self, PullReply{Update: update, Current: current})), nil
}
