package link

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
)

const (
	// openTimeout bounds the opening of a connection: ten times the slowest
	// one of today's deployments (27 ms and two round trips of 40 ms).
	openTimeout = time.Second
	// fullPause is the pause after a server refused a connection over its
	// limit. Other hosts close their spare connections soon.
	fullPause = 60 * time.Millisecond
	// failPause is the pause after an opening failed in another way.
	failPause = 100 * time.Millisecond
	// spareTime is how long an idle connection beyond the first is kept, for
	// each connection that the host may open. It is short, so that the hosts can
	// share the server's limit and that connections of lost hosts, which servers
	// keep for seconds, leave room for new ones; the more so the fewer a server
	// allows.
	spareTime = 16 * time.Millisecond
	// idleTime is how long the last idle connection is kept.
	idleTime = 10 * time.Second
	// crowd is the number of sessions on a shared connection beyond which
	// another one is opened.
	crowd = 2
	// maxWindow bounds the statements of this host in work at the server. With
	// today's two or three slots a server, a few hosts keep all of them busy.
	maxWindow = 8
	// windowPause is the time between two reductions of the window: about the
	// time in which a server's queue is worked off.
	windowPause = 50 * time.Millisecond
	// windowCut is the factor of a reduction.
	windowCut = 0.7
	// stuckTime is how long the oldest statement on a connection may be
	// unanswered before the connection serves no further session.
	stuckTime = 250 * time.Millisecond
	// abandonTime ends a connection whose oldest statement has had no answer.
	// It exceeds every route's statement timeout, so that nothing at work is
	// broken off.
	abandonTime = 4 * time.Second
)

// ErrNoConnection is the error of requests that got no connection. Nothing was
// sent for them.
var ErrNoConnection = errors.New("no connection to the backend server")

// Observer receives the times of requests for connections. Its methods are
// called while the pool is locked and must not block.
type Observer interface {
	// ObserveWait is told how long a request waited for a connection, and whether it
	// got one.
	ObserveWait(d time.Duration, granted bool)
	// ObserveHold is told how long a request had a connection.
	ObserveHold(d time.Duration, exclusive bool)
}

// Pool shares the connections to one server between sessions.
type Pool struct {
	server catalog.Server
	dialer Dialer
	// observer is nil if nobody wants the times.
	observer Observer

	mu      sync.Mutex
	limit   int
	conns   []*Conn
	opening int
	waiters []*waiter
	// pausedUntil is when the next opening may start after a failed one.
	pausedUntil time.Time
	pause       *time.Timer
	// full and failing are set after an opening that the server refused over
	// its limit or that failed; then one opening at a time is tried.
	full, failing bool
	// window bounds the shared uses at a time. It falls when the server is
	// busy and rises with each answer.
	window    float64
	windowCut time.Time
	closed    bool
	stats     Stats
}

// Stats describes a pool at one moment.
type Stats struct {
	Open, Exclusive, Waiting int
	// Shared counts the sessions that share connections, Window how many may.
	Shared, Window int
	// Opened, Refused and Failed count openings by result.
	Opened, Refused, Failed int64
}

type waiter struct {
	exclusive bool
	wanted    *SessionState
	priority  int
	since     time.Time
	ready     chan leased
}

type leased struct {
	lease *Lease
	err   error
}

// NewPool returns a pool without connections that opens up to limit of them.
func NewPool(server catalog.Server, dialer Dialer, limit int) *Pool {
	return &Pool{server: server, dialer: dialer, limit: limit, window: maxWindow}
}

// SetLimit changes the bound of this host's connections.
func (p *Pool) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = limit
	p.dispatch()
}

// AcquireShared returns a connection on which other sessions may have statements in
// flight.
func (p *Pool) AcquireShared(ctx context.Context, wanted *SessionState, priority int) (*Lease, error) {
	return p.get(ctx, &waiter{wanted: wanted, priority: priority})
}

// AcquireExclusive returns a connection that no other session uses until Release.
func (p *Pool) AcquireExclusive(ctx context.Context, wanted *SessionState, priority int) (*Lease, error) {
	return p.get(ctx, &waiter{exclusive: true, wanted: wanted, priority: priority})
}

func (p *Pool) get(ctx context.Context, w *waiter) (*Lease, error) {
	w.ready = make(chan leased, 1)
	w.since = time.Now()
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, ErrNoConnection
	}
	at := slices.IndexFunc(p.waiters, func(o *waiter) bool { return o.priority > w.priority })
	if at < 0 {
		at = len(p.waiters)
	}
	p.waiters = slices.Insert(p.waiters, at, w)
	p.dispatch()
	p.mu.Unlock()
	select {
	case l := <-w.ready:
		return l.lease, l.err
	case <-ctx.Done():
		p.abandon(w)
		return nil, eris.Wrap(ErrNoConnection, ctx.Err().Error())
	}
}

// abandon removes a waiter, or returns the connection that it was just given.
func (p *Pool) abandon(w *waiter) {
	p.mu.Lock()
	i := slices.Index(p.waiters, w)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
		p.waited(w, false)
	}
	p.mu.Unlock()
	if i >= 0 {
		return
	}
	if l := <-w.ready; l.lease != nil {
		l.lease.Release()
	}
}

// shares returns the shared uses of all connections.
func (p *Pool) shares() (n int) {
	for _, c := range p.conns {
		n += c.shares
	}
	return n
}

// dispatch serves the waiters that can be served and starts the openings that
// the others need. The caller holds the lock.
func (p *Pool) dispatch() {
	unserved := 0
	inUse := p.shares()
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool {
		if !w.exclusive && w.priority >= 0 && inUse >= int(p.window) {
			return false
		}
		c := p.choose(w)
		if c == nil {
			unserved++
			return false
		}
		p.grant(w, c)
		if !w.exclusive {
			inUse++
		}
		return true
	})
	if unserved == 0 && p.crowded() {
		unserved = 1
	}
	p.open(unserved)
}

func (p *Pool) grant(w *waiter, c *Conn) {
	if w.exclusive {
		c.exclusive = true
	} else {
		c.shares++
	}
	p.waited(w, true)
	w.ready <- leased{lease: &Lease{Conn: c, pool: p, exclusive: w.exclusive, since: time.Now()}}
}

func (p *Pool) waited(w *waiter, granted bool) {
	if p.observer != nil {
		p.observer.ObserveWait(time.Since(w.since), granted)
	}
}

// choose returns the connection for a waiter, or nil.
func (p *Pool) choose(w *waiter) *Conn {
	var best *Conn
	for _, c := range p.conns {
		if c.exclusive || c.Closed() || stuck(c) {
			continue
		}
		if w.exclusive && c.shares > 0 {
			continue
		}
		if best == nil || c.shares < best.shares || c.shares == best.shares && !best.matches(w.wanted) && c.matches(w.wanted) {
			best = c
		}
	}
	return best
}

func stuck(c *Conn) bool {
	since, waiting := c.waitingSince()
	return waiting && time.Since(since) > stuckTime
}

// Prune closes connections that have been idle for longer than they are kept
// and those on which a statement has been unanswered for too long.
func (p *Pool) Prune() {
	p.mu.Lock()
	var ending []*Conn
	now := time.Now()
	for _, c := range p.conns {
		if since, waiting := c.waitingSince(); waiting {
			if now.Sub(since) > abandonTime {
				ending = append(ending, c)
			}
			continue
		}
		if c.exclusive || c.shares > 0 {
			continue
		}
		keep := spareTime * time.Duration(p.limit)
		if len(p.conns)-len(ending) == 1 {
			keep = idleTime
		}
		if now.Sub(c.idleSince) > keep {
			ending = append(ending, c)
		}
	}
	p.dispatch()
	p.mu.Unlock()
	for _, c := range ending {
		c.Close()
	}
}

// Close ends all connections and fails all waiters.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	conns := slices.Clone(p.conns)
	for _, w := range p.waiters {
		w.ready <- leased{err: ErrNoConnection}
	}
	p.waiters = nil
	p.mu.Unlock()
	for _, c := range conns {
		c.Close()
	}
}

// Load returns the number of sessions on the pool's connections and waiting
// for one.
func (p *Pool) Load() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := len(p.waiters)
	for _, c := range p.conns {
		load += c.shares
		if c.exclusive {
			load++
		}
	}
	return load
}

// Stats returns the pool's statistics.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Open, s.Waiting = len(p.conns), len(p.waiters)
	s.Shared, s.Window = p.shares(), int(p.window)
	for _, c := range p.conns {
		if c.exclusive {
			s.Exclusive++
		}
	}
	return s
}
