package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/io/peer/peerpb"
	"basilmill/io/peer/peerpb/peerpbconnect"
)

const (
	// dialTimeout bounds the opening of a connection to another host. The
	// one-way latency between regions is about 20 ms.
	dialTimeout = 500 * time.Millisecond
	// idleRetention is how long an unused connection stays open. In a deployment
	// of the size expected in two years, a host calls most others only rarely.
	idleRetention = 90 * time.Second
	// pingInterval and pingTimeout detect a connection on which nothing arrives
	// any more, so that requests do not queue up on a broken link.
	pingInterval = time.Second
	pingTimeout  = time.Second
)

// Client calls other hosts. It keeps one HTTP/2 connection to each.
type Client struct {
	self func() host.Info
	http *http.Client

	mu      sync.Mutex
	clients map[netip.AddrPort]peerpbconnect.PeerServiceClient
}

// withoutCompression makes a client request uncompressed answers. Most are a few dozen
// bytes, and the state of a compressor is a large part of a host's memory.
func withoutCompression() connect.ClientOption {
	return connect.WithAcceptCompression("gzip", nil, nil)
}

// DialFunc opens a connection to another host.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client that identifies itself with the result of self. If
// dial is nil, it opens TCP connections.
func NewClient(self func() host.Info, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	transport := &http.Transport{
		DialContext:     dial,
		IdleConnTimeout: idleRetention,
		// Without a limit, each call that is made before the connection is open opens
		// another one.
		MaxConnsPerHost: 1,
		Protocols:       new(http.Protocols),
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingInterval, PingTimeout: pingTimeout},
	}
	transport.Protocols.SetUnencryptedHTTP2(true)
	return &Client{
		self:    self,
		http:    &http.Client{Transport: transport},
		clients: make(map[netip.AddrPort]peerpbconnect.PeerServiceClient),
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) to(h host.Info) peerpbconnect.PeerServiceClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	client, ok := c.clients[h.PeerAddress]
	if !ok {
		client = peerpbconnect.NewPeerServiceClient(c.http, "http://"+h.PeerAddress.String(), withoutCompression())
		c.clients[h.PeerAddress] = client
	}
	return client
}

// Pull requests from a host the objects that changed after a version.
func (c *Client) Pull(ctx context.Context, to host.Info, pull Pull) (reply PullReply, from host.Info, err error) {
	defer annotate(&err, "pull from host %s", to.ID)
	response, err := c.to(to).Pull(ctx, connect.NewRequest(pullToWire(c.self(), pull)))
	if err != nil {
		return PullReply{}, host.Info{}, fromConnect(err)
	}
	from, err = hostFromWire(response.Msg.GetSender())
	if err != nil {
		return PullReply{}, host.Info{}, err
	}
	reply, err = pullReplyFromWire(response.Msg)
	return reply, from, err
}

// Observe asks a host whether it can reach a backend server.
func (c *Client) Observe(ctx context.Context, to host.Info, o Observation) (reply ObservationReply, err error) {
	defer annotate(&err, "ask host %s about server %s", to.ID, o.Server)
	response, err := c.to(to).Observe(ctx, connect.NewRequest(&peerpb.ObserveRequest{
		Sender:    hostToWire(c.self()),
		Group:     string(o.Group),
		Server:    string(o.Server),
		Term:      int64(o.Term),
		TimeoutMs: o.Timeout.Milliseconds(),
	}))
	if err != nil {
		return ObservationReply{}, fromConnect(err)
	}
	reply = ObservationReply{Reachable: response.Msg.GetReachable(), Term: group.Term(response.Msg.GetTerm())}
	if response.Msg.GetPrimary() {
		reply.Role = group.Primary
	}
	return reply, nil
}

// Suspect reports to a coordinator of a group that this host lost its connection
// to one of the group's servers.
func (c *Client) Suspect(ctx context.Context, to host.Info, s Suspicion) (err error) {
	defer annotate(&err, "report suspicion to host %s", to.ID)
	_, err = c.to(to).Suspect(ctx, connect.NewRequest(&peerpb.SuspectRequest{
		Sender: hostToWire(c.self()),
		Group:  string(s.Group),
		Server: string(s.Server),
		Term:   int64(s.Term),
	}))
	return fromConnect(err)
}

// Announce informs a host that this host is leaving.
func (c *Client) Announce(ctx context.Context, to host.Info) (err error) {
	defer annotate(&err, "announce to host %s", to.ID)
	_, err = c.to(to).Announce(ctx, connect.NewRequest(&peerpb.AnnounceRequest{Sender: hostToWire(c.self())}))
	return fromConnect(err)
}

// Cancel forwards a cancel request to the host that serves the session.
func (c *Client) Cancel(ctx context.Context, to host.Info, processID uint32, secret []byte) (err error) {
	defer annotate(&err, "cancel on host %s", to.ID)
	_, err = c.to(to).Cancel(ctx, connect.NewRequest(&peerpb.CancelRequest{
		Sender: hostToWire(c.self()), ProcessId: processID, Secret: secret,
	}))
	return fromConnect(err)
}

// Confirm waits until a coordinator reports that a write is confirmed.
func (c *Client) Confirm(ctx context.Context, to host.Info, confirmation Confirmation) (err error) {
	defer annotate(&err, "confirm on host %s", to.ID)
	_, err = c.to(to).Confirm(ctx, connect.NewRequest(&peerpb.ConfirmRequest{
		Sender:     hostToWire(c.self()),
		Group:      string(confirmation.Group),
		Generation: int64(confirmation.Generation),
		Position:   positionToWire(confirmation.Position),
		Effect:     confirmation.Effect,
	}))
	return fromConnect(err)
}

func pullToWire(self host.Info, pull Pull) *peerpb.PullRequest {
	return &peerpb.PullRequest{
		Sender:         hostToWire(self),
		After:          int64(pull.After),
		WaitMs:         pull.WaitTimeout.Milliseconds(),
		AppliedVersion: int64(pull.AppliedVersion),
		Applied:        appliedToWire(pull.Applied),
		HostsDigest:    pull.HostsDigest,
		Kind:           string(pull.Kind),
	}
}

// annotate adds context to a non-nil error. It is deferred.
func annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = eris.Wrapf(*err, format, args...)
	}
}
