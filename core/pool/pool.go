// Package pool owns the open connections to one backend server and the queue
// of requests that wait for a connection.
//
// The number of open, opening and closing connections, over all keys, never
// exceeds the pool's limit. The pool shares connections fairly between client
// accounts, bounds the queue, and bounds concurrent openings so that a backlog
// of requests does not overload a server that has just recovered.
package pool

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"basilmill/core/account"
	"basilmill/core/outcome"
)

// Key is the name of the database on the server that a connection is opened to.
// A connection serves only requests for its own key.
type Key string

// Defaults of Config.
const (
	DefaultMaxOpening    = 4
	DefaultQueueLimit    = 1000
	DefaultIdleRetention = time.Minute
	DefaultOpenTimeout   = 10 * time.Second
	// DefaultEvictionGracePeriod is several times the 12 to 30 ms that an
	// opening takes in the current deployments, so that replacing connections
	// under contention takes a small part of the time they are used.
	DefaultEvictionGracePeriod = 150 * time.Millisecond
)

// Config configures a Pool. Zero values select the defaults, except for Limit:
// a pool with limit zero opens no connections.
type Config[T comparable] struct {
	// Limit bounds the sum of open, opening and closing connections of all
	// keys.
	Limit int
	// MaxOpening bounds the number of concurrent openings.
	MaxOpening int
	// QueueLimit bounds the number of waiting requests of all accounts.
	QueueLimit int
	// IdleRetention is how long a connection stays open after its last use.
	IdleRetention time.Duration
	// EvictionGracePeriod is how long after its opening a connection is not
	// closed in favour of another key while requests of its own key wait.
	EvictionGracePeriod time.Duration
	// OpenTimeout bounds the duration of one call of Open.
	OpenTimeout time.Duration
	// Open opens a connection. Its context does not derive from that of a
	// request, because the connection may serve a request other than the one
	// it was opened for.
	Open func(context.Context, Key) (T, error)
	// Close closes a connection, which counts towards the limit until Close
	// returns.
	Close func(T)
	// ObserveQueueTime, if set, is called with the time that each admitted
	// request waited, whether it was served or not. It must not call the pool.
	ObserveQueueTime func(account.ID, time.Duration)
}

// Share is the weight and the limits of a client account in a pool.
type Share struct {
	// Weight is the account's relative share of the connections when several
	// accounts wait; zero means one.
	Weight int
	// Max bounds the connections that the account uses at a time; zero means
	// no bound other than the pool's limit.
	Max int
	// QueueLimit bounds the account's waiting requests; zero means no bound
	// other than the pool's.
	QueueLimit int
}

// Stats is a snapshot of the state and the counters of a pool.
type Stats struct {
	Limit int
	// Open counts the connections in use and idle.
	Open    int
	InUse   int
	Idle    int
	Opening int
	Closing int
	// Waiting counts the requests that wait for a connection.
	Waiting int
	// Opened and Failed count openings by result since the pool was created.
	Opened int64
	Failed int64
	// Refused counts requests that got no connection: they were not admitted,
	// or they ended in the queue or with a failed opening.
	Refused int64
}

// connection is an open connection, in use or idle.
type connection[T comparable] struct {
	value     T
	key       Key
	account   *accountState[T] // the account that uses it; nil while idle
	openedAt  time.Time
	idleSince time.Time
}

// Pool is a pool of connections to one server. It is safe for concurrent use.
type Pool[T comparable] struct {
	config Config[T]

	mu        sync.Mutex
	limit     int
	inUse     map[T]*connection[T]
	idle      []*connection[T] // least recently used first
	openings  []*opening[T]    // in order of start
	closing   int
	queue     queue[T]
	failing   map[Key]*failure
	idleTimer *time.Timer
	draining  bool
	drained   chan struct{}
	stats     Stats
}

// New returns a pool. It opens connections only on demand.
func New[T comparable](config Config[T]) *Pool[T] {
	config.MaxOpening = cmp.Or(config.MaxOpening, DefaultMaxOpening)
	config.QueueLimit = cmp.Or(config.QueueLimit, DefaultQueueLimit)
	config.IdleRetention = cmp.Or(config.IdleRetention, DefaultIdleRetention)
	config.EvictionGracePeriod = cmp.Or(config.EvictionGracePeriod, DefaultEvictionGracePeriod)
	config.OpenTimeout = cmp.Or(config.OpenTimeout, DefaultOpenTimeout)
	return &Pool[T]{
		config:  config,
		limit:   max(config.Limit, 0),
		inUse:   map[T]*connection[T]{},
		queue:   newQueue[T](),
		failing: map[Key]*failure{},
		drained: make(chan struct{}),
	}
}

// Get returns a connection for the key, which the caller returns with Put. It
// waits until one is available. If the queue is full or ctx ends before the
// request is served, it returns an outcome.Overloaded. If the pool is draining,
// it returns an outcome.Unavailable. If the opening for this request fails, it
// returns the error of Open when that has outcome NotRun, else an
// outcome.Unavailable. Every error of Get means that nothing was sent to the
// server.
func (p *Pool[T]) Get(ctx context.Context, key Key, id account.ID) (T, error) {
	w, err := p.enqueue(ctx, key, id)
	if err != nil {
		var zero T
		return zero, err
	}
	select {
	case r := <-w.ready:
		return r.value, r.err
	case <-ctx.Done():
		return p.abandon(ctx, w)
	}
}

// Put returns a connection to the pool. The pool closes it unless it is reusable
// and within the limit. Put ignores a value that is not in use.
func (p *Pool[T]) Put(value T, reusable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.inUse[value]
	if !ok {
		return
	}
	delete(p.inUse, value)
	p.queue.release(c.account)
	c.account = nil
	if !reusable || p.active() >= p.limit {
		p.close(c)
	} else {
		p.deliverOrIdle(c)
	}
	p.reconcile()
}

// SetLimit changes the limit. If it is lowered, idle connections beyond it are
// closed at once and connections in use when they are returned.
func (p *Pool[T]) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 0)
	p.reconcile()
}

// SetShare sets the weight and limits of an account.
func (p *Pool[T]) SetShare(id account.ID, share Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.setShare(id, share)
	p.reconcile()
}

// CloseIdle closes all idle connections. Call it when the loss of another
// connection suggests that they are broken too.
func (p *Pool[T]) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trim(0)
	p.reconcile()
}

// RefuseWaiting ends all waiting requests with an outcome.Unavailable, so that
// they can be routed to another server.
func (p *Pool[T]) RefuseWaiting(message string, cause error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, o := range p.openings {
		if o.waiter != nil {
			p.refuse(o.waiter, outcome.Unavailable(message, cause))
			o.waiter = nil
		}
	}
	for w := range p.queue.takeAll() {
		p.refuse(w, outcome.Unavailable(message, cause))
	}
	p.reconcile()
}

// Drain refuses new requests. Requests that already wait are served, and each
// connection is closed when it is returned and no request waits for it.
func (p *Pool[T]) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
	p.reconcile()
}

// Drained returns a channel that is closed once Drain was called and no
// connection and no waiting request is left.
func (p *Pool[T]) Drained() <-chan struct{} { return p.drained }

// Stats returns a snapshot of the pool.
func (p *Pool[T]) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stats
	s.Limit = p.limit
	s.InUse = len(p.inUse)
	s.Idle = len(p.idle)
	s.Open = s.InUse + s.Idle
	s.Opening = len(p.openings)
	s.Closing = p.closing
	s.Waiting = p.queue.waiting
	return s
}

// active returns the number of connections that are open or being opened.
func (p *Pool[T]) active() int { return len(p.inUse) + len(p.idle) + len(p.openings) }

// total returns the number of connections that count towards the limit.
func (p *Pool[T]) total() int { return p.active() + p.closing }

// enqueue admits a request to the queue, or refuses it.
func (p *Pool[T]) enqueue(ctx context.Context, key Key, id account.ID) (*waiter[T], error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.draining {
		p.stats.Refused++
		return nil, outcome.Unavailable("the host is draining", nil)
	}
	if err := ctx.Err(); err != nil {
		p.stats.Refused++
		return nil, p.overloaded("the deadline passed before the queue", key, err)
	}
	if !p.queue.admits(id, p.config.QueueLimit) {
		p.stats.Refused++
		return nil, p.overloaded("the queue for a connection is full", key, nil)
	}
	w := p.queue.push(key, id)
	p.reconcile()
	return w, nil
}

// abandon ends the wait of a request whose context ended. If a result arrived in
// the meantime, it returns that.
func (p *Pool[T]) abandon(ctx context.Context, w *waiter[T]) (T, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case r := <-w.ready:
		return r.value, r.err
	default:
	}
	if o := w.opening; o != nil {
		o.waiter = nil
	} else {
		p.queue.remove(w)
	}
	p.refuse(w, p.overloaded("the deadline passed in the queue for a connection", w.key, ctx.Err()))
	p.reconcile()
	r := <-w.ready
	return r.value, r.err
}

// overloaded returns an outcome.Overloaded. Its cause includes the error of the
// key's last failed opening, if any, because that explains why the queue is long.
func (p *Pool[T]) overloaded(message string, key Key, cause error) error {
	err := outcome.Overloaded(message)
	err.Cause = cause
	if f, ok := p.failing[key]; ok {
		err.Cause = errors.Join(cause, f.lastErr)
	}
	return err
}

// deliver ends the wait of w with the connection c.
func (p *Pool[T]) deliver(w *waiter[T], c *connection[T]) {
	c.account = w.account
	p.inUse[c.value] = c
	p.finish(w)
	w.ready <- result[T]{value: c.value}
}

// refuse ends the wait of w with err. The caller has removed w from its queue or
// opening.
func (p *Pool[T]) refuse(w *waiter[T], err error) {
	p.stats.Refused++
	if w.opening != nil {
		p.queue.release(w.account)
	}
	p.finish(w)
	w.ready <- result[T]{err: err}
}

// finish records that the wait of w is over.
func (p *Pool[T]) finish(w *waiter[T]) {
	w.opening = nil
	p.queue.finish(w)
	if p.config.ObserveQueueTime != nil {
		p.config.ObserveQueueTime(w.account.id, time.Since(w.enqueuedAt))
	}
}

// deliverOrIdle delivers c to the first request of its key that an opening in
// progress is assigned to; that opening then becomes available for another
// request. If there is no such request, c becomes idle.
func (p *Pool[T]) deliverOrIdle(c *connection[T]) {
	for _, o := range p.openings {
		if o.key == c.key && o.waiter != nil {
			w := o.waiter
			o.waiter = nil
			p.deliver(w, c)
			return
		}
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// reconcile brings the pool to a consistent state after any change: it enforces
// the limit, serves waiting requests, closes connections that were idle for too
// long, and completes a drain.
func (p *Pool[T]) reconcile() {
	p.trim(p.limit)
	for p.dispatch() {
	}
	if p.draining {
		p.trim(0)
	}
	p.closeExpired()
	if p.draining && p.total() == 0 && p.queue.waiting == 0 {
		select {
		case <-p.drained:
		default:
			close(p.drained)
		}
	}
}

// trim closes idle connections, least recently used first, until at most limit
// connections are active or none is idle.
func (p *Pool[T]) trim(limit int) {
	for p.active() > limit && len(p.idle) > 0 {
		p.closeIdle(0)
	}
}

// closeExpired closes connections that were idle for IdleRetention and sets the
// timer for the next one.
func (p *Pool[T]) closeExpired() {
	for len(p.idle) > 0 && time.Since(p.idle[0].idleSince) >= p.config.IdleRetention {
		p.closeIdle(0)
	}
	if p.idleTimer != nil {
		p.idleTimer.Stop()
		p.idleTimer = nil
	}
	if len(p.idle) > 0 {
		p.idleTimer = time.AfterFunc(time.Until(p.idle[0].idleSince.Add(p.config.IdleRetention)), p.wake)
	}
}

// wake reconciles the pool when a timer has fired.
func (p *Pool[T]) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reconcile()
}

func (p *Pool[T]) closeIdle(i int) {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.close(c)
}

// close closes c in the background. Until then c counts as closing.
func (p *Pool[T]) close(c *connection[T]) {
	p.closing++
	go func() {
		p.config.Close(c.value)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closing--
		p.reconcile()
	}()
}
