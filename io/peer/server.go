package peer

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"basilmill/core/distribution"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/io/peer/peerpb"
	"basilmill/io/peer/peerpb/peerpbconnect"
)

const (
	// maxMessageBytes bounds one message between hosts. An object has at most
	// one megabyte, and a reply to a pull at most maxPullBytes of objects.
	maxMessageBytes = 16 << 20
	// maxRequestBytes bounds a request of an entry host, which has some short fields.
	maxRequestBytes = 64 << 10
	// maxPullBytes bounds the objects of one reply to a pull. The remaining ones
	// are sent with the next pull.
	maxPullBytes = 4 << 20
	// maxPullWait bounds how long a pull is held open.
	maxPullWait = time.Minute
	// headerTimeout bounds the wait for a request's headers.
	headerTimeout = 5 * time.Second
)

// Server serves the requests of other hosts with a Handler.
type Server struct {
	handler Handler
	self    func() host.Info
	http    *http.Server
}

// NewServer returns a server that identifies itself with the result of self.
func NewServer(self func() host.Info, handler Handler) *Server {
	s := &Server{handler: handler, self: self}
	mux := http.NewServeMux()
	mux.Handle(peerpbconnect.NewPeerServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes)))
	s.http = &http.Server{
		Handler:           mux,
		Protocols:         new(http.Protocols),
		ReadHeaderTimeout: headerTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: 100_000},
	}
	s.http.Protocols.SetUnencryptedHTTP2(true)
	s.http.Protocols.SetHTTP1(true)
	return s
}

// Serve accepts connections until Shutdown is called.
func (s *Server) Serve(listener net.Listener) error {
	if err := s.http.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// Shutdown waits for running requests until the context ends, then closes their
// connections.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		return s.http.Close()
	}
	return nil
}

// Pull implements peerpbconnect.PeerServiceHandler.
func (s *Server) Pull(ctx context.Context, request *connect.Request[peerpb.PullRequest]) (*connect.Response[peerpb.PullResponse], error) {
	from, err := sender(request.Msg.GetSender())
	if err != nil {
		return nil, err
	}
	reply, err := s.handler.Pull(ctx, from, pullFromWire(request.Msg))
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(pullReplyToWire(s.self(), reply)), nil
}

// Observe implements peerpbconnect.PeerServiceHandler.
func (s *Server) Observe(ctx context.Context, request *connect.Request[peerpb.ObserveRequest]) (*connect.Response[peerpb.ObserveResponse], error) {
	from, err := sender(request.Msg.GetSender())
	if err != nil {
		return nil, err
	}
	reply, err := s.handler.Observe(ctx, from, Observation{
		Group:   group.ID(request.Msg.GetGroup()),
		Server:  group.ServerID(request.Msg.GetServer()),
		Term:    group.Term(request.Msg.GetTerm()),
		Timeout: time.Duration(request.Msg.GetTimeoutMs()) * time.Millisecond,
	})
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&peerpb.ObserveResponse{
		Sender:    hostToWire(s.self()),
		Reachable: reply.Reachable,
		Primary:   reply.Role == group.Primary,
		Term:      int64(reply.Term),
	}), nil
}

// Suspect implements peerpbconnect.PeerServiceHandler.
func (s *Server) Suspect(ctx context.Context, request *connect.Request[peerpb.SuspectRequest]) (*connect.Response[peerpb.SuspectResponse], error) {
	from, err := sender(request.Msg.GetSender())
	if err != nil {
		return nil, err
	}
	err = s.handler.Suspect(ctx, from, Suspicion{
		Group:  group.ID(request.Msg.GetGroup()),
		Server: group.ServerID(request.Msg.GetServer()),
		Term:   group.Term(request.Msg.GetTerm()),
	})
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&peerpb.SuspectResponse{}), nil
}

// Announce implements peerpbconnect.PeerServiceHandler.
func (s *Server) Announce(ctx context.Context, request *connect.Request[peerpb.AnnounceRequest]) (*connect.Response[peerpb.AnnounceResponse], error) {
	from, err := sender(request.Msg.GetSender())
	if err != nil {
		return nil, err
	}
	if err := s.handler.Announce(ctx, from); err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&peerpb.AnnounceResponse{}), nil
}

// Cancel implements peerpbconnect.PeerServiceHandler.
func (s *Server) Cancel(ctx context.Context, request *connect.Request[peerpb.CancelRequest]) (*connect.Response[peerpb.CancelResponse], error) {
	from, err := sender(request.Msg.GetSender())
	if err != nil {
		return nil, err
	}
	s.handler.Cancel(ctx, from, request.Msg.GetProcessId(), request.Msg.GetSecret())
	return connect.NewResponse(&peerpb.CancelResponse{}), nil
}

// Confirm implements peerpbconnect.PeerServiceHandler.
func (s *Server) Confirm(ctx context.Context, request *connect.Request[peerpb.ConfirmRequest]) (*connect.Response[peerpb.ConfirmResponse], error) {
	from, err := sender(request.Msg.GetSender())
	if err != nil {
		return nil, err
	}
	m := request.Msg
	err = s.handler.Confirm(ctx, from, Confirmation{
		Group:      group.ID(m.GetGroup()),
		Generation: group.Generation(m.GetGeneration()),
		Position:   positionFromWire(m.GetPosition()),
		Effect:     m.GetEffect(),
	})
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&peerpb.ConfirmResponse{}), nil
}

func pullFromWire(w *peerpb.PullRequest) Pull {
	return Pull{
		After:          distribution.Version(w.GetAfter()),
		Kind:           distribution.Kind(w.GetKind()),
		WaitTimeout:    time.Duration(w.GetWaitMs()) * time.Millisecond,
		AppliedVersion: distribution.Version(w.GetAppliedVersion()),
		Applied:        appliedFromWire(w.GetApplied()),
		HostsDigest:    w.GetHostsDigest(),
	}
}

func sender(w *peerpb.Host) (host.Info, error) {
	from, err := hostFromWire(w)
	if err != nil {
		return host.Info{}, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return from, nil
}

// pullReplyToWire truncates a reply that exceeds maxPullBytes after a whole
// object. The objects are ordered by version, so a truncated reply is complete up
// to the version of its last object.
func pullReplyToWire(self host.Info, reply PullReply) *peerpb.PullResponse {
	objects, version, age, size := reply.Update.Objects, reply.Update.Version, reply.Update.Age, 0
	for i, o := range objects {
		size += len(o.Value)
		if i > 0 && size > maxPullBytes {
			objects, version, age = objects[:i], objects[i-1].Version, unknownAge
			break
		}
	}
	return &peerpb.PullResponse{
		Sender:  hostToWire(self),
		After:   int64(reply.Update.After),
		Version: int64(version),
		Objects: objectsToWire(objects),
		Applied: appliedToWire(reply.Applied),
		Hosts:   hostsToWire(reply.Hosts),
		Current: reply.Current,
		AgeMs:   ageToWire(age),
	}
}

// unknownAge is the age of an update whose age is not known. It exceeds the ages at which an
// update counts as current.
const unknownAge = time.Hour

// ageToWire returns a positive number of milliseconds: zero stands for an age that a host of
// an earlier version does not state.
func ageToWire(age time.Duration) int64 { return int64(age/time.Millisecond) + 1 }

func ageFromWire(ms int64) time.Duration {
	if ms <= 0 {
		return unknownAge
	}
	return time.Duration(ms) * time.Millisecond
}

func pullReplyFromWire(w *peerpb.PullResponse) (reply PullReply, err error) {
	hosts, err := hostsFromWire(w.GetHosts())
	if err != nil {
		return PullReply{}, err
	}
	return PullReply{
		Update: distribution.Update{
			After:   distribution.Version(w.GetAfter()),
			Version: distribution.Version(w.GetVersion()),
			Objects: objectsFromWire(w.GetObjects()),
			Age:     ageFromWire(w.GetAgeMs()),
		},
		Applied: appliedFromWire(w.GetApplied()),
		Hosts:   hosts,
		Current: w.GetCurrent(),
	}, nil
}
