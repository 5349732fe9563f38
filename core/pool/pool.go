// Package pool owns the open connections to one backend server and the queue
// of requests that wait for one.
//
// A pool keeps open + opening + closing connections within its limit at all
// times, for all keys together. It shares them fairly between client accounts,
// bounds the queue, and bounds concurrent openings so that many waiting
// requests do not overload a server that has just returned.
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

// Key identifies what a connection is for: the name of a database on the
// server. A connection serves only requests of its own key.
type Key string

// Defaults of Config.
const (
	DefaultMaxOpening    = 4
	DefaultQueueLimit    = 1000
	DefaultIdleRetention = time.Minute
	DefaultOpenTimeout   = 10 * time.Second
	// DefaultEvictionGracePeriod is several times the 12 to 30 ms that an opening takes at
	// the current deployments, so that replacing connections under contention
	// costs a small part of their use.
	DefaultEvictionGracePeriod = 150 * time.Millisecond
)

// Config sets up a pool. Zero values select the defaults, except for Limit:
// a pool with limit zero opens nothing.
type Config[T comparable] struct {
	// Limit bounds open + opening + closing connections of all keys.
	Limit int
	// MaxOpening bounds concurrent openings.
	MaxOpening int
	// QueueLimit bounds the waiting requests of all accounts.
	QueueLimit int
	// IdleRetention is how long an unused connection stays open.
	IdleRetention time.Duration
	// EvictionGracePeriod is how long a connection serves its own key, while requests of
	// that key wait, before it is closed in favour of another key.
	EvictionGracePeriod time.Duration
	// OpenTimeout bounds one opening.
	OpenTimeout time.Duration
	// Open opens a connection. Its context is the pool's own, because the
	// connection may serve another request than the one it was opened for.
	Open func(context.Context, Key) (T, error)
	// Close closes a connection. The connection counts until Close returns.
	Close func(T)
	// ObserveQueueTime, if set, receives the time each request spent waiting,
	// whether it was served or not. It must not call the pool.
	ObserveQueueTime func(account.ID, time.Duration)
}

// Share is an account's part of the pool.
type Share struct {
	// Weight is the account's weight against other waiting accounts; zero
	// means one.
	Weight int
	// Max bounds the connections that the account holds; zero means no bound
	// but the pool's limit.
	Max int
	// QueueLimit bounds the account's waiting requests; zero means no bound
	// but the pool's.
	QueueLimit int
}

// Stats describes a pool at one moment.
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
	// Refused counts requests that ended in the queue or were not admitted.
	Refused int64
}

// connection is an open connection.
type connection[T comparable] struct {
	value    T
	key      Key
	account  *member[T] // while in use
	openedAt time.Time
	idleFrom time.Time
}

// Pool is a pool of connections to one server. It is safe for concurrent use.
type Pool[T comparable] struct {
	config Config[T]

	mu       sync.Mutex
	limit    int
	inUse    map[T]*connection[T]
	idle     []*connection[T] // least recently used first
	openings []*opening[T]    // in order of their start
	closing  int
	queue    queue[T]
	failing  map[Key]*failure
	idleStop *time.Timer
	draining bool
	drained  chan struct{}
	stats    Stats
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

// Get returns a connection for the key, which the caller hands back with Put.
// When the queue is full or ctx ends in the queue, the error is an
// outcome.Overloaded. When the opening for this request fails or the pool is
// draining, the error is the outcome of Open or an outcome.NoPrimary. Every
// error of Get means that nothing was sent.
func (p *Pool[T]) Get(ctx context.Context, key Key, id account.ID) (T, error) {
	w, err := p.enqueue(ctx, key, id)
	if err != nil {
		var none T
		return none, err
	}
	select {
	case r := <-w.ready:
		return r.value, r.err
	case <-ctx.Done():
		return p.abandon(ctx, w)
	}
}

// Put hands back a connection. It is closed unless reusable and within the
// limit. A value that is not on loan is ignored.
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
		p.offer(c)
	}
	p.settle()
}

// SetLimit changes the limit. When it is lowered, idle connections are closed
// at once and others as they come back.
func (p *Pool[T]) SetLimit(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit = max(limit, 0)
	p.settle()
}

// SetShare sets the share of an account.
func (p *Pool[T]) SetShare(id account.ID, share Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.queue.setShare(id, share)
	p.settle()
}

// CloseIdle closes all idle connections, for example because the loss of
// another connection suggests that they are broken too.
func (p *Pool[T]) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trim(0)
	p.settle()
}

// RefuseWaiting ends all waiting requests with an outcome.NoPrimary, so that
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
	for w := range p.queue.drainAll() {
		p.refuse(w, outcome.Unavailable(message, cause))
	}
	p.settle()
}

// Drain refuses new requests. Requests that already wait are served, and
// connections are closed as they come back and no request waits for them.
func (p *Pool[T]) Drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.draining = true
	p.settle()
}

// Drained returns a channel that is closed when Drain was called and no
// connection and no waiting request is left.
func (p *Pool[T]) Drained() <-chan struct{} { return p.drained }

// Stats returns the current state of the pool.
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

// active counts the connections that are open or will be.
func (p *Pool[T]) active() int { return len(p.inUse) + len(p.idle) + len(p.openings) }

// total is the number that the limit bounds.
func (p *Pool[T]) total() int { return p.active() + p.closing }

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
	p.settle()
	return w, nil
}

// abandon ends a wait whose context ended, unless a result arrived meanwhile.
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
	p.settle()
	r := <-w.ready
	return r.value, r.err
}

// overloaded returns the refusal of the queue. Its cause is the last failed
// opening of the key, if there is one, because it explains the queue.
func (p *Pool[T]) overloaded(message string, key Key, cause error) error {
	err := outcome.Overloaded(message)
	err.Cause = cause
	if f, ok := p.failing[key]; ok {
		err.Cause = errors.Join(cause, f.last)
	}
	return err
}

// deliver lends c to w.
func (p *Pool[T]) deliver(w *waiter[T], c *connection[T]) {
	c.account = w.member
	p.inUse[c.value] = c
	p.finish(w)
	w.ready <- result[T]{value: c.value}
}

// refuse ends w with err. The caller has taken it out of its queue or opening.
func (p *Pool[T]) refuse(w *waiter[T], err error) {
	p.stats.Refused++
	if w.opening != nil {
		p.queue.release(w.member)
	}
	p.finish(w)
	w.ready <- result[T]{err: err}
}

func (p *Pool[T]) finish(w *waiter[T]) {
	w.opening = nil
	p.queue.finish(w)
	if p.config.ObserveQueueTime != nil {
		p.config.ObserveQueueTime(w.member.id, time.Since(w.since))
	}
}

// offer hands c to the first request of its key for which an opening is under
// way, whose opening then serves another request; else c becomes idle.
func (p *Pool[T]) offer(c *connection[T]) {
	for _, o := range p.openings {
		if o.key == c.key && o.waiter != nil {
			w := o.waiter
			o.waiter = nil
			p.deliver(w, c)
			return
		}
	}
	c.idleFrom = time.Now()
	p.idle = append(p.idle, c)
}

// settle restores the pool's rules after any change of its state.
func (p *Pool[T]) settle() {
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

// trim closes idle connections, the least recently used first, while more
// than limit connections are active.
func (p *Pool[T]) trim(limit int) {
	for p.active() > limit && len(p.idle) > 0 {
		p.closeIdle(0)
	}
}

func (p *Pool[T]) closeExpired() {
	for len(p.idle) > 0 && time.Since(p.idle[0].idleFrom) >= p.config.IdleRetention {
		p.closeIdle(0)
	}
	if p.idleStop != nil {
		p.idleStop.Stop()
		p.idleStop = nil
	}
	if len(p.idle) > 0 {
		p.idleStop = time.AfterFunc(time.Until(p.idle[0].idleFrom.Add(p.config.IdleRetention)), p.wake)
	}
}

// wake re-evaluates the pool after a timer.
func (p *Pool[T]) wake() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settle()
}

func (p *Pool[T]) closeIdle(i int) {
	c := p.idle[i]
	p.idle = slices.Delete(p.idle, i, i+1)
	p.close(c)
}

// close closes c in the background. It counts as closing meanwhile.
func (p *Pool[T]) close(c *connection[T]) {
	p.closing++
	go func() {
		p.config.Close(c.value)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.closing--
		p.settle()
	}()
}
