package link

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"basilmill/core/account"
	"basilmill/core/catalog"
	"basilmill/core/dispatch"
)

const (
	// dialTimeout bounds the opening of a connection. It is about ten times the
	// slowest one in current deployments (27 ms and two round trips of 40 ms).
	dialTimeout = time.Second
	// fullBackoff is the pause after a server refused a connection over its
	// limit. It is short because other hosts soon close their spare connections.
	fullBackoff = 60 * time.Millisecond
	// dialBackoff is the pause after a dial failed in another way.
	dialBackoff = 100 * time.Millisecond
	// spareRetention, multiplied by the pool's connection limit, is how long an
	// idle connection other than the last is kept. It is short, so that the hosts
	// can share the server's limit, and so that there is room for new connections
	// while the server still counts those of lost hosts, which it keeps for
	// seconds. It scales with the limit because a low limit needs this most.
	spareRetention = 16 * time.Millisecond
	// lastConnRetention is how long the last connection is kept while idle.
	lastConnRetention = 10 * time.Second
)

// ErrNoConnection is returned for requests that got no connection. No statement
// was sent for them.
var ErrNoConnection = errors.New("no connection to the backend server")

// ErrQueueTimeout is the ErrNoConnection of requests for which no connection became
// free in time.
var ErrQueueTimeout = fmt.Errorf("%w: none became free in time", ErrNoConnection)

// ErrServerRefused is the ErrNoConnection of a server whose machine refuses
// connections, because its process is not running.
var ErrServerRefused = fmt.Errorf("%w: the server refuses connections", ErrNoConnection)

// ErrServerReplaced is the ErrNoConnection of a server whose address another one has, so
// that its process is not running there.
var ErrServerReplaced = fmt.Errorf("%w: another server has the address", ErrNoConnection)

// Observer receives how long requests wait for connections and hold them. Its
// methods are called with the pool's mutex held and must not block.
type Observer interface {
	// ObserveWait receives how long a request of an account, or without one, waited for
	// a connection, and whether it got one before its context ended.
	ObserveWait(id account.ID, d time.Duration, granted bool)
	// ObserveHold receives how long a request held a connection.
	ObserveHold(d time.Duration, exclusive bool)
	// ObserveLimitReached receives the server that refused a connection over its
	// limit, and the pool's open connections and waiting requests then.
	ObserveLimitReached(server catalog.Server, open, waiting int)
	// ObserveOpened receives the account for which a connection was opened.
	ObserveOpened(id account.ID)
	// ObserveGivenUp receives the account whose idle connection is closed to make room
	// for another account, or because of a lowered limit.
	ObserveGivenUp(id account.ID)
}

// Pool is the pool of connections to one backend server. It shares them between
// sessions and is safe for concurrent use.
type Pool struct {
	server catalog.Server
	dialer Dialer
	// observer may be nil.
	observer Observer

	mu       sync.Mutex
	limit    int
	conns    []*Conn
	dialling int
	waiters  []*waiter
	// backoffUntil is when the next dial may start after a failed one.
	backoffUntil time.Time
	// backoffTimer, if set, calls dispatch at backoffTimerDue.
	backoffTimer    *time.Timer
	backoffTimerDue time.Time
	// serverFull is set after the server refused a dial over its limit,
	// dialFailing after a dial failed in another way. While one of them is set,
	// only one dial at a time is in flight.
	serverFull, dialFailing bool
	// lastDialServed is when the latest dial was started that the server answered.
	lastDialServed time.Time
	process        process
	window         dispatch.Window
	pace           dispatch.Pace
	accounts       accountState
	closed         bool
}

// Stats is a snapshot of the counts of one pool, or their sum over several pools.
type Stats struct {
	Open, Exclusive, Waiting int
	// Shared is the number of sessions that use shared connections, Window the
	// current bound for it.
	Shared, Window int
}

// waiter is a request that waits for a connection.
type waiter struct {
	Request
	position   dispatch.Position
	enqueuedAt time.Time
	result     chan acquireResult
}

// acquireResult is the result of a request for a connection.
type acquireResult struct {
	lease *Lease
	err   error
}

// NewPool returns a pool that opens up to limit connections on demand.
func NewPool(server catalog.Server, dialer Dialer, limit int) *Pool {
	return &Pool{server: server, dialer: dialer, limit: limit}
}

// SetLimit changes the maximum number of connections of the pool.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.dispatch()
}

// Acquire implements Source. Waiting requests are served in the order of their
// dispatch.Position. A request that will not be served before ctx ends is refused at
// once.
func (p *Pool) Acquire(ctx context.Context, request Request) (*Lease, error) {
	w := &waiter{Request: request, position: dispatch.Position{Priority: request.Priority}, result: make(chan acquireResult, 1)}
	patience, err := p.enqueue(ctx, w)
	if err != nil {
		return nil, err
	}
	var held, late <-chan time.Time
	if request.TimeForAnswer > 0 {
		heldTimer, lateTimer := time.NewTimer(dispatch.HeldPatience(request.TimeForAnswer)), time.NewTimer(patience)
		defer heldTimer.Stop()
		defer lateTimer.Stop()
		held, late = heldTimer.C, lateTimer.C
	}
	for {
		select {
		case r := <-w.result:
			return r.lease, r.err
		case <-held:
			if !p.isHeld() {
				continue
			}
		case <-late:
			if p.postpone(ctx, w) {
				continue
			}
		case <-ctx.Done():
		}
		p.cancelWait(w)
		return nil, ErrQueueTimeout
	}
}

// isHeld reports whether callers hold all connections without using them.
func (p *Pool) isHeld() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, states := p.usableConns()
	return dispatch.IsHeld(states, time.Now())
}

// enqueue adds a waiter to the queue, unless it is hopeless, and returns how long it
// waits before it is late.
func (p *Pool) enqueue(ctx context.Context, w *waiter) (patience time.Duration, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return 0, ErrNoConnection
	}
	w.enqueuedAt = time.Now()
	p.accounts.note(w.Account)
	p.pace.Enqueued(len(p.waiters), w.enqueuedAt)
	if !p.insert(ctx, w) {
		p.observeWait(w, false)
		return 0, ErrQueueTimeout
	}
	p.dispatch()
	_, states := p.usableConns()
	return dispatch.Patience(w.TimeForAnswer, dispatch.ServiceOf(states)), nil
}

// insert inserts a waiter behind those that are served before it. It returns false if it
// is hopeless. Without an open connection, a request waits in any case, because a server
// at its limit frees the connections of lost hosts within seconds. The caller holds the
// mutex.
func (p *Pool) insert(ctx context.Context, w *waiter) bool {
	at := slices.IndexFunc(p.waiters, func(o *waiter) bool { return o.position.Compare(w.position) > 0 })
	if at < 0 {
		at = len(p.waiters)
	}
	ahead := at
	if p.accounts.active() {
		ahead = p.accounts.ahead(p.waiters, w)
	}
	if deadline, ok := ctx.Deadline(); ok && w.Priority >= 0 && len(p.conns) > 0 && p.pace.IsHopeless(ahead, time.Until(deadline)) {
		return false
	}
	p.waiters = slices.Insert(p.waiters, at, w)
	return true
}

// postpone makes a waiter late, so that it is served after the others. It returns false
// if it would not be served before its context ends.
func (p *Pool) postpone(ctx context.Context, w *waiter) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.Index(p.waiters, w)
	if i < 0 {
		return true // The result has just been sent.
	}
	p.waiters = slices.Delete(p.waiters, i, i+1)
	w.position.Late = true
	inTime := 0
	for _, o := range p.waiters {
		if !o.position.Late {
			inTime++
		}
	}
	if !p.pace.IsStarved(inTime, w.enqueuedAt) && p.insert(ctx, w) {
		return true
	}
	p.observeWait(w, false)
	w.result <- acquireResult{}
	return false
}

// cancelWait removes a waiter from the queue. If it has just been granted a
// connection, the connection is returned to the pool.
func (p *Pool) cancelWait(w *waiter) {
	p.mu.Lock()
	i := slices.Index(p.waiters, w)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		p.observeWait(w, false)
	}
	p.mu.Unlock()
	if i >= 0 {
		return
	}
	if r := <-w.result; r.lease != nil {
		r.lease.Release()
	}
}

// sharedSessions returns the number of sessions that use shared connections. The
// caller holds the mutex.
func (p *Pool) sharedSessions() (n int) {
	for _, c := range p.conns {
		n += c.sharedSessions
	}
	return n
}

// dispatch grants connections to waiters and starts dials for those that no
// connection can serve. The caller holds the mutex.
func (p *Pool) dispatch() {
	if p.accounts.active() {
		p.assign()
		return
	}
	conns, states := p.usableConns()
	unserved := 0
	inUse := p.sharedSessions()
	now := time.Now()
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		request := dispatch.Request{Exclusive: w.Exclusive, Urgent: w.Priority < 0}
		if !p.window.Allows(request, inUse) {
			return false
		}
		i := dispatch.Choose(states, request, func(i int) bool { return conns[i].matches(w.Desired) }, now)
		if i < 0 {
			unserved++
			return false
		}
		p.grant(w, conns[i])
		states[i].Exclusive, states[i].Sessions = conns[i].exclusive, conns[i].sharedSessions
		if !w.Exclusive {
			inUse++
		}
		return true
	})
	p.startDials(states, unserved)
}

// usableConns returns the connections that have not been closed, and their states. The
// caller holds the mutex.
func (p *Pool) usableConns() (conns []*Conn, states []dispatch.Conn) {
	for _, c := range p.conns {
		if !c.Closed() {
			conns = append(conns, c)
			states = append(states, c.state())
		}
	}
	return conns, states
}

// grant gives the connection to the waiter. The caller holds the mutex.
func (p *Pool) grant(w *waiter, c *Conn) {
	if w.Exclusive {
		c.exclusive = true
	} else {
		c.sharedSessions++
	}
	p.observeWait(w, true)
	grantedAt := time.Now()
	c.grantedAt = grantedAt
	p.pace.Granted(w.position, grantedAt)
	lease := NewLease(c, func() { p.release(c, w.Request, grantedAt) })
	lease.reportAnswer = p.adjustWindow
	if w.Account != "" {
		lease.serverLoad = p.ServerLoad
	}
	p.accounts.use(w.Account, 1)
	w.result <- acquireResult{lease: lease}
}

// release takes back a connection that was granted.
func (p *Pool) release(c *Conn, request Request, grantedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accounts.use(request.Account, -1)
	if request.Exclusive {
		c.exclusive = false
	} else {
		c.sharedSessions--
	}
	c.idleSince = time.Now()
	if p.observer != nil {
		p.observer.ObserveHold(c.idleSince.Sub(grantedAt), request.Exclusive)
	}
	p.dispatch()
}

// adjustWindow adjusts the window to an answer of the server.
func (p *Pool) adjustWindow(busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.window.Observe(busy, time.Now())
}

// observeWait reports the end of a wait to the observer.
func (p *Pool) observeWait(w *waiter, granted bool) {
	if p.observer != nil {
		p.observer.ObserveWait(w.Account, time.Since(w.enqueuedAt), granted)
	}
}

// Prune closes connections that have been idle for longer than their retention,
// and connections on which an answer was lost. If keepLast returns true, the last
// connection is kept for lastConnRetention. Prune is to be called regularly.
func (p *Pool) Prune(keepLast func() bool) {
	p.mu.Lock()
	var ending []*Conn
	now := time.Now()
	p.accounts.prune(now)
	conns, states := p.usableConns()
	service := dispatch.ServiceOf(states)
	if p.lastDialServed.After(service.LastServed) {
		service.LastServed = p.lastDialServed
	}
	for i, c := range conns {
		if dispatch.IsLost(states[i], service, now) {
			ending = append(ending, c)
			continue
		}
		if c.exclusive || c.sharedSessions > 0 || !states[i].OldestSentAt.IsZero() {
			continue
		}
		idleFor := now.Sub(c.idleSince)
		if p.accounts.active() && c.account != "" {
			if idleFor > p.accounts.retention(c.account, p.limit) {
				ending = append(ending, c)
			}
			continue
		}
		isLast := len(conns)-len(ending) == 1
		if idleFor > lastConnRetention || idleFor > spareRetention*time.Duration(p.limit) && (!isLast || !keepLast()) {
			ending = append(ending, c)
		}
	}
	p.dispatch()
	p.mu.Unlock()
	for _, c := range ending {
		c.Close()
	}
}

// Close closes all connections and fails all waiters.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	conns := slices.Clone(p.conns)
	for _, w := range p.waiters {
		w.result <- acquireResult{err: ErrNoConnection}
	}
	p.waiters = nil
	p.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Load returns the number of sessions that use the pool's connections or wait for
// one.
func (p *Pool) Load() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := len(p.waiters)
	for _, c := range p.conns {
		load += c.sharedSessions
		if c.exclusive {
			load++
		}
	}
	return load
}

// Stats returns the current counts of the pool.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	var s Stats
	s.Open, s.Waiting = len(p.conns), len(p.waiters)
	s.Shared, s.Window = p.sharedSessions(), p.window.Size()
	for _, c := range p.conns {
		if c.exclusive {
			s.Exclusive++
		}
	}
	return s
}
