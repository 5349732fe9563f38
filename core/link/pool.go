package link

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
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
	// saturatedSessions is the number of sessions on each shared connection above
	// which another connection is opened.
	saturatedSessions = 2
	// maxWindow bounds the sessions of this host that use the server's shared
	// connections at the same time. Current servers have two or three slots, so a
	// few hosts with this window keep all of them busy.
	maxWindow = 8
	// windowCutInterval is the minimum time between two cuts of the window: about
	// the time that a server needs to work off its queue.
	windowCutInterval = 50 * time.Millisecond
	// windowCutFactor is the factor by which a cut reduces the window.
	windowCutFactor = 0.7
	// unresponsiveThreshold is how long the oldest statement in flight on a
	// connection may be unanswered before the connection is withheld from further
	// sessions.
	unresponsiveThreshold = 250 * time.Millisecond
	// answerTimeout is how long the oldest statement in flight may be unanswered
	// before the connection is closed. It exceeds every route's statement timeout,
	// so that no statement is interrupted that a caller still waits for.
	answerTimeout = 4 * time.Second
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

// Observer receives how long requests wait for connections and hold them. Its
// methods are called with the pool's mutex held and must not block.
type Observer interface {
	// ObserveWait receives how long a request waited for a connection, and
	// whether it got one before its context ended.
	ObserveWait(d time.Duration, granted bool)
	// ObserveHold receives how long a request held a connection.
	ObserveHold(d time.Duration, exclusive bool)
	// ObserveLimitReached receives the server that refused a connection over its
	// limit, and the pool's open connections and waiting requests then.
	ObserveLimitReached(server catalog.Server, open, waiting int)
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
	backoffTimer *time.Timer
	// serverFull is set after the server refused a dial over its limit,
	// dialFailing after a dial failed in another way. While one of them is set,
	// only one dial at a time is in flight.
	serverFull, dialFailing bool
	// window bounds the sessions that use shared connections at the same time. It
	// is cut when the server is busy and grows with each other answer.
	window        float64
	lastWindowCut time.Time
	closed        bool
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
	return &Pool{server: server, dialer: dialer, limit: limit, window: maxWindow}
}

// SetLimit changes the maximum number of connections of the pool.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.dispatch()
}

// Acquire implements Source. Waiting requests are served in ascending order of
// their priority.
func (p *Pool) Acquire(ctx context.Context, request Request) (*Lease, error) {
	if request.MaxWait > 0 && p.hasConnection() {
		limited, cancel := context.WithTimeout(ctx, request.MaxWait)
		defer cancel()
		ctx = limited
	}
	lease, err := p.acquire(ctx, &waiter{Request: request})
	if err != nil && ctx.Err() != nil {
		return nil, ErrQueueTimeout
	}
	return lease, err
}

// hasConnection reports whether a connection is open.
func (p *Pool) hasConnection() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns) > 0
}

// acquire queues the waiter and waits for its result.
func (p *Pool) acquire(ctx context.Context, w *waiter) (*Lease, error) {
	w.result = make(chan acquireResult, 1)
	w.enqueuedAt = time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrNoConnection
	}
	at := slices.IndexFunc(p.waiters, func(o *waiter) bool { return o.Priority > w.Priority })
	if at < 0 {
		at = len(p.waiters)
	}
	p.waiters = slices.Insert(p.waiters, at, w)
	p.dispatch()
	p.mu.Unlock()
	select {
	case r := <-w.result:
		return r.lease, r.err
	case <-ctx.Done():
		p.cancelWait(w)
		return nil, eris.Wrap(ErrNoConnection, ctx.Err().Error())
	}
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
// connection can serve. The window applies to shared requests, except those with
// a negative priority. The caller holds the mutex.
func (p *Pool) dispatch() {
	unserved := 0
	inUse := p.sharedSessions()
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		if !w.Exclusive && w.Priority >= 0 && inUse >= int(p.window) {
			return false
		}
		c := p.chooseConn(w)
		if c == nil {
			unserved++
			return false
		}
		p.grant(w, c)
		if !w.Exclusive {
			inUse++
		}
		return true
	})
	if unserved == 0 && p.saturated() {
		unserved = 1
	}
	p.startDials(unserved)
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
	lease := NewLease(c, func() { p.release(c, w.Exclusive, grantedAt) })
	lease.reportAnswer = p.adjustWindow
	w.result <- acquireResult{lease: lease}
}

// release takes back a connection that was granted.
func (p *Pool) release(c *Conn, exclusive bool, grantedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if exclusive {
		c.exclusive = false
	} else {
		c.sharedSessions--
	}
	c.idleSince = time.Now()
	if p.observer != nil {
		p.observer.ObserveHold(c.idleSince.Sub(grantedAt), exclusive)
	}
	p.dispatch()
}

// adjustWindow adjusts the window to an answer of the server. The window grows by
// about one per window of answers and is cut by a factor when the server is busy
// (additive increase, multiplicative decrease).
func (p *Pool) adjustWindow(busy bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !busy {
		p.window = min(p.window+1/p.window, maxWindow)
		return
	}
	if now := time.Now(); now.Sub(p.lastWindowCut) > windowCutInterval {
		p.lastWindowCut = now
		p.window = max(p.window*windowCutFactor, 1)
	}
}

// observeWait reports the end of a wait to the observer.
func (p *Pool) observeWait(w *waiter, granted bool) {
	if p.observer != nil {
		p.observer.ObserveWait(time.Since(w.enqueuedAt), granted)
	}
}

// chooseConn returns the connection with the fewest sessions that the waiter can
// use, or nil. Of equal ones it prefers one with the desired session state.
func (p *Pool) chooseConn(w *waiter) *Conn {
	var best *Conn
	for _, c := range p.conns {
		if c.exclusive || c.Closed() || isUnresponsive(c) {
			continue
		}
		if w.Exclusive && c.sharedSessions > 0 {
			continue
		}
		if best == nil || c.sharedSessions < best.sharedSessions || c.sharedSessions == best.sharedSessions && !best.matches(w.Desired) && c.matches(w.Desired) {
			best = c
		}
	}
	return best
}

// isUnresponsive reports whether the oldest statement in flight has been
// unanswered for too long.
func isUnresponsive(c *Conn) bool {
	since, waiting := c.oldestSentAt()
	return waiting && time.Since(since) > unresponsiveThreshold
}

// Prune closes connections that have been idle for longer than their retention,
// and connections on which a statement has been unanswered for answerTimeout. With
// keepLast, the last connection is kept for lastConnRetention. Prune is to be
// called regularly.
func (p *Pool) Prune(keepLast bool) {
	p.mu.Lock()
	var ending []*Conn
	now := time.Now()
	for _, c := range p.conns {
		if since, waiting := c.oldestSentAt(); waiting {
			if now.Sub(since) > answerTimeout {
				ending = append(ending, c)
			}
			continue
		}
		if c.exclusive || c.sharedSessions > 0 {
			continue
		}
		retention := spareRetention * time.Duration(p.limit)
		if keepLast && len(p.conns)-len(ending) == 1 {
			retention = lastConnRetention
		}
		if now.Sub(c.idleSince) > retention {
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
	s.Shared, s.Window = p.sharedSessions(), int(p.window)
	for _, c := range p.conns {
		if c.exclusive {
			s.Exclusive++
		}
	}
	return s
}
