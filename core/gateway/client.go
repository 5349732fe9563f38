package gateway

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"basilmill/core/account"
	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/link"
)

// Client grants leases of connections to backend servers, on this host's own
// connections or through a gateway. It is safe for concurrent use.
type Client struct {
	Self  host.Info
	Cache *catalog.Cache
	// Pools returns this host's own connections to a server.
	Pools link.Sources
	// Prober probes over this host's own connections.
	Prober  *Prober
	Network Network
	// OnAvoid, if set, is called when a gateway is avoided. The server is empty if
	// the gateway is avoided for all servers. It must not block.
	OnAvoid func(via host.ID, server group.ServerID, reason string)

	mu       sync.Mutex
	rankings map[rankingKey]*ranking
	holders  map[group.ServerID]*holderRanking
	hosts    map[host.ID]*hostState
	// prunedVersion is the version of the list of hosts that hosts was pruned to.
	prunedVersion int64
	// checks is the number of checks in flight; checked, if set, is closed at the end of
	// the next one.
	checks      int
	checked     chan struct{}
	noPathUntil map[pathKey]time.Time
	// firstRequestAt is when awaitHosts was first called without a list.
	firstRequestAt time.Time
	// loads counts the leases through gateways.
	loads map[group.ServerID]int
}

// Source returns the source of connections to a server. It implements link.Sources. With
// accounts in the configuration, the account of each request decides about its host.
func (c *Client) Source(server catalog.Server) link.Source {
	if c.hasAccounts() {
		return accountSource{client: c, server: server}
	}
	return c.source(server, "")
}

// source returns the source of connections to a server for requests of an account or, if
// it is empty, of basilmill itself.
func (c *Client) source(server catalog.Server, id account.ID) link.Source {
	if _, version := c.Network.Hosts(); version == 0 {
		return undecidedSource{client: c, server: server, account: id}
	}
	via, settled := c.route(server, id, false)
	if !settled {
		return undecidedSource{client: c, server: server, account: id}
	}
	return c.sourceVia(via, server)
}

func (c *Client) sourceVia(via host.Info, server catalog.Server) link.Source {
	if via.ID == c.Self.ID {
		return c.Pools(server)
	}
	return remoteSource{client: c, via: via, server: server.ID}
}

// IsGateway reports whether this host uses its own connections to a server.
func (c *Client) IsGateway(server catalog.Server) bool {
	return c.choose(server).ID == c.Self.ID
}

// IsGatewayToAny reports whether this host uses its own connections to one of the
// servers. It returns false while the other hosts are not known.
func (c *Client) IsGatewayToAny(servers []catalog.Server) bool {
	if _, version := c.Network.Hosts(); version == 0 {
		return false
	}
	return slices.ContainsFunc(servers, c.IsGateway)
}

// undecidedSource is the source of a host that does not know the others yet, or whose
// gateway has yet to answer a check.
type undecidedSource struct {
	client  *Client
	server  catalog.Server
	account account.ID
}

// Load implements link.Source.
func (u undecidedSource) Load() int { return 0 }

// Acquire implements link.Source. It waits until the other hosts are known and the
// gateway is settled.
func (u undecidedSource) Acquire(ctx context.Context, request link.Request) (*link.Lease, error) {
	u.client.awaitHosts(ctx)
	via, err := u.client.settle(ctx, u.server, u.account)
	if err != nil {
		return nil, link.ErrQueueTimeout
	}
	return u.client.sourceVia(via, u.server).Acquire(ctx, request)
}

// Probe checks that a server is the primary, on this host's own connections or
// through its gateway.
func (c *Client) Probe(ctx context.Context, server catalog.Server) (Proof, error) {
	c.awaitHosts(ctx)
	via, err := c.settle(ctx, server, "")
	if err != nil {
		return Proof{}, link.ErrNoConnection
	}
	if via.ID == c.Self.ID {
		return c.Prober.Run(ctx, server)
	}
	c.began(via.ID)
	result, err := c.Network.Probe(ctx, via, server.ID)
	if err != nil {
		c.failed(via.ID, ctx.Err() != nil, err)
		return Proof{}, err
	}
	c.answered(via.ID)
	c.noteRefusal(via.ID, server.ID, result.Err)
	if result.Err == nil && result.Proof.Position.IsZero() {
		return Proof{}, ErrMalformedResult
	}
	return result.Proof, result.Err
}

// noteRefusal avoids a gateway that stated that it is stopping or has no path to the
// server. It does not avoid one to which the server's machine answers, because other
// gateways could not do more.
func (c *Client) noteRefusal(via host.ID, server group.ServerID, err error) {
	switch {
	case errors.Is(err, ErrLeaving):
		c.avoidHost(via, leavingBackoff)
		c.reportAvoidance(via, "", err.Error())
	case errors.Is(err, link.ErrServerRefused), errors.Is(err, link.ErrQueueTimeout):
	case errors.Is(err, link.ErrNoConnection):
		c.avoidPath(via, server)
		c.reportAvoidance(via, server, err.Error())
	}
}

func (c *Client) reportAvoidance(via host.ID, server group.ServerID, reason string) {
	if c.OnAvoid != nil {
		c.OnAvoid(via, server, reason)
	}
}

// Prune drops the state of servers that are no longer in the catalogue.
func (c *Client) Prune(view *catalog.View) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.rankings {
		if _, ok := view.Servers[key.server]; !ok {
			delete(c.rankings, key)
		}
	}
	for id := range c.holders {
		if _, ok := view.Servers[id]; !ok {
			delete(c.holders, id)
		}
	}
}

func (c *Client) addLoad(server group.ServerID, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.loads == nil {
		c.loads = map[group.ServerID]int{}
	}
	c.loads[server] += n
	if c.loads[server] == 0 {
		delete(c.loads, server)
	}
}

// remoteSource grants leases through a gateway.
type remoteSource struct {
	client *Client
	via    host.Info
	server group.ServerID
}

// Load implements link.Source with the leases of this host.
func (r remoteSource) Load() int {
	r.client.mu.Lock()
	defer r.client.mu.Unlock()
	return r.client.loads[r.server]
}

// refusalDelay is the time that a refusal of the gateway may take to arrive: a few
// round trips between regions.
const refusalDelay = 100 * time.Millisecond

// Acquire implements link.Source. It grants the lease at once; the gateway takes a
// connection when it receives the first batch.
func (r remoteSource) Acquire(ctx context.Context, request link.Request) (*link.Lease, error) {
	var waitLimit time.Duration
	if deadline, ok := ctx.Deadline(); ok {
		waitLimit = time.Until(deadline) - refusalDelay
		if waitLimit <= 0 {
			return nil, link.ErrQueueTimeout
		}
	}
	r.client.addLoad(r.server, 1)
	c := &channel{remoteSource: r, request: request, waitLimit: waitLimit, stream: r.client.Network.Open(r.via), batches: make(chan pendingBatch, maxPendingBatches)}
	go c.run()
	lease := link.NewLease(c, c.release)
	lease.Gateway = r.via.ID
	return lease, nil
}

// maxPendingBatches bounds the batches of one lease that wait for the result of an
// earlier one. A session waits for each result, except before a rollback.
const maxPendingBatches = 4

// channel carries the statements of one lease to the gateway.
type channel struct {
	remoteSource
	request link.Request
	// waitLimit is the WaitLimit of the first batch.
	waitLimit time.Duration
	stream    Stream
	batches   chan pendingBatch

	mu sync.Mutex
	// ended is set after Close, release or an error.
	ended bool
	// closedHere is set by Close.
	closedHere bool
	// load is the load that the holder stated last, if any.
	load *link.ServerLoad
}

// pendingBatch is a batch and the call that its result completes.
type pendingBatch struct {
	Batch
	call *link.Call
}

// Submit implements link.Channel.
func (c *channel) Submit(desired *link.SessionState, statements ...exchange.Statement) *link.Call {
	call := link.NewCall()
	batch := Batch{
		Server: c.server, Exclusive: c.request.Exclusive, Account: c.request.Account, Priority: c.request.Priority, TimeForAnswer: c.request.TimeForAnswer, WaitLimit: c.waitLimit,
		Desired: desired, Statements: statements,
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || len(c.batches) == cap(c.batches) {
		call.Fail(link.ErrLost)
		return call
	}
	c.batches <- pendingBatch{batch, call}
	return call
}

// Abandon implements link.Channel. The gateway learns from the end of the stream that
// nobody waits for the answers.
func (c *channel) Abandon(*link.Call) { c.Close() }

// noteLoad notes the load that the holder stated with a result, if any.
func (c *channel) noteLoad(load *link.ServerLoad) {
	if load == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.load = load
}

// ServerLoad returns the load that the holder stated last, and whether it stated any.
func (c *channel) ServerLoad() (link.ServerLoad, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.load == nil {
		return link.ServerLoad{}, false
	}
	return *c.load, true
}

// Close implements link.Channel.
func (c *channel) Close() {
	c.mu.Lock()
	c.closedHere = true
	c.mu.Unlock()
	c.end()
	c.stream.Close()
}

// end accepts no further batches.
func (c *channel) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ended {
		c.ended = true
		close(c.batches)
	}
}

// release ends the lease.
func (c *channel) release() {
	c.client.addLoad(c.server, -1)
	c.end()
}

// run sends the batches one after the other until the lease ends.
func (c *channel) run() {
	defer c.stream.Close()
	for b := range c.batches {
		answers, err := c.execute(b.Batch)
		if err != nil {
			c.end()
			b.call.Fail(err)
			for rest := range c.batches {
				rest.call.Fail(link.ErrLost)
			}
			return
		}
		b.call.Complete(answers)
	}
	if c.stream.CloseSend() == nil {
		// The gateway ends the stream once it has released the connection.
		_, _ = c.stream.Receive()
	}
}

// execute sends a batch and waits for its answers.
func (c *channel) execute(batch Batch) (_ []exchange.Answer, err error) {
	c.client.began(c.via.ID)
	// An error of Send is followed by one of Receive, which has the cause.
	_ = c.stream.Send(batch)
	result, err := c.stream.Receive()
	if err != nil {
		c.mu.Lock()
		closedHere := c.closedHere
		c.mu.Unlock()
		c.client.failed(c.via.ID, closedHere, err)
		if errors.Is(err, link.ErrNoConnection) {
			return nil, err
		}
		return nil, link.ErrLost
	}
	c.client.answered(c.via.ID)
	c.noteLoad(result.Load)
	c.client.noteRefusal(c.via.ID, c.server, result.Err)
	if result.Err == nil && len(result.Answers) != len(batch.Statements) {
		c.client.avoidPath(c.via.ID, c.server)
		c.client.reportAvoidance(c.via.ID, c.server, ErrMalformedResult.Error())
		return nil, ErrMalformedResult
	}
	return result.Answers, result.Err
}
