package pool

import (
	"context"
	"errors"
	"slices"
	"time"

	"basilmill/core/outcome"
	"basilmill/core/retry"
)

const (
	// maxBackoff bounds the delay between attempts to open a connection for a
	// key whose openings fail. It adds to the failover gap, whose target is
	// 2 s. With one attempt at a time for each key, a recovering server gets
	// at most some ten attempts a second from each host.
	maxBackoff = 250 * time.Millisecond
	// failureRetention is how long the failure of a key is kept after its
	// backoff has ended, if no request waits for the key.
	failureRetention = 10 * time.Second
)

// opening is an attempt to open a connection, possibly after an idle connection
// of another key is closed to make room. It counts towards the pool's limit.
type opening[T comparable] struct {
	key Key
	// waiter is the request that gets the connection. It is nil when that
	// request was served by another connection or has ended.
	waiter *waiter[T]
	// failuresAtStart is the key's failure count when the opening started.
	failuresAtStart int
}

// failure is the backoff state of a key whose last opening failed.
type failure struct {
	backoff retry.Backoff
	retryAt time.Time
	count   int
	lastErr error
}

// dispatch serves one waiting request and reports whether there was one that
// could be served.
func (p *Pool[T]) dispatch() bool {
	for _, candidate := range p.queue.candidates() {
		if p.serve(candidate) {
			return true
		}
	}
	return false
}

// serve assigns to the candidate's request an idle connection, an opening in
// progress whose own request no longer needs it, or a new opening, in this order
// of preference. It reports whether one of them was available.
func (p *Pool[T]) serve(c candidate[T]) bool {
	if i := p.lastIdle(c.key); i >= 0 {
		w := p.queue.take(c)
		conn := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		p.deliver(w, conn)
		return true
	}
	if o := p.unassignedOpening(c.key); o != nil {
		p.assign(o, p.queue.take(c))
		return true
	}
	if !p.mayOpen(c.key) {
		return false
	}
	if p.total() < p.limit {
		p.startOpening(p.queue.take(c), nil)
		return true
	}
	if i := p.evictable(); i >= 0 && p.total() <= p.limit {
		victim := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		p.startOpening(p.queue.take(c), victim)
		return true
	}
	return false
}

// lastIdle returns the index of the most recently used idle connection of the
// key, or -1. Reusing the most recently used one lets surplus connections reach
// the idle retention and be closed.
func (p *Pool[T]) lastIdle(key Key) int {
	for i, c := range slices.Backward(p.idle) {
		if c.key == key {
			return i
		}
	}
	return -1
}

// unassignedOpening returns an opening of the key that no request waits for, or
// nil.
func (p *Pool[T]) unassignedOpening(key Key) *opening[T] {
	i := slices.IndexFunc(p.openings, func(o *opening[T]) bool { return o.key == key && o.waiter == nil })
	if i < 0 {
		return nil
	}
	return p.openings[i]
}

// mayOpen reports whether an opening for the key may start now. A key whose last
// opening failed has one opening at a time, each after a backoff.
func (p *Pool[T]) mayOpen(key Key) bool {
	if len(p.openings) >= p.config.MaxOpening {
		return false
	}
	f, ok := p.failing[key]
	if !ok {
		return true
	}
	inProgress := slices.ContainsFunc(p.openings, func(o *opening[T]) bool { return o.key == key })
	return !inProgress && !time.Now().Before(f.retryAt)
}

// evictable returns the index of the idle connection to close in favour of
// another key, or -1. It is the least recently used one whose own key has no
// eligible request or whose eviction grace period is over.
func (p *Pool[T]) evictable() int {
	return slices.IndexFunc(p.idle, func(c *connection[T]) bool {
		return !p.queue.hasEligible(c.key) || time.Since(c.openedAt) >= p.config.EvictionGracePeriod
	})
}

// assign makes w the request that gets the connection of o.
func (p *Pool[T]) assign(o *opening[T], w *waiter[T]) {
	o.waiter = w
	w.opening = o
}

// startOpening opens a connection for w in the background, after closing victim
// unless it is nil.
func (p *Pool[T]) startOpening(w *waiter[T], victim *connection[T]) {
	o := &opening[T]{key: w.key}
	if f, ok := p.failing[w.key]; ok {
		o.failuresAtStart = f.count
	}
	p.assign(o, w)
	p.openings = append(p.openings, o)
	go p.open(o, victim)
}

// open closes victim, if any, opens the connection and processes the result.
func (p *Pool[T]) open(o *opening[T], victim *connection[T]) {
	if victim != nil {
		p.config.Close(victim.value)
	}
	if !p.stillNeeded(o) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.config.OpenTimeout)
	defer cancel()
	value, err := p.config.Open(ctx, o.key)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.openFailed(o, err)
	} else {
		p.openSucceeded(o, value)
	}
	p.reconcile()
}

// stillNeeded reports whether the opening should proceed. It should not if its
// request has ended or the limit was lowered while victim was being closed; the
// opening is then removed and its request, if any, returns to the queue.
func (p *Pool[T]) stillNeeded(o *opening[T]) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.waiter != nil && p.total() <= p.limit {
		return true
	}
	p.removeOpening(o)
	p.requeue(o)
	p.reconcile()
	return false
}

func (p *Pool[T]) openSucceeded(o *opening[T], value T) {
	p.stats.Opened++
	delete(p.failing, o.key)
	p.removeOpening(o)
	c := &connection[T]{value: value, key: o.key, openedAt: time.Now()}
	switch {
	case p.active() >= p.limit:
		p.requeue(o)
		p.close(c)
	case o.waiter != nil:
		p.deliver(o.waiter, c)
	default:
		p.deliverOrIdle(c)
	}
}

func (p *Pool[T]) openFailed(o *opening[T], err error) {
	p.stats.Failed++
	p.removeOpening(o)
	p.recordFailure(o, err)
	if o.waiter != nil {
		p.refuse(o.waiter, openError(err))
	}
}

// recordFailure starts a backoff for the key, or lengthens it. Concurrent
// openings that fail together lengthen it once: an opening that started before
// the last recorded failure only updates the error.
func (p *Pool[T]) recordFailure(o *opening[T], err error) {
	f, ok := p.failing[o.key]
	if !ok {
		p.dropExpiredFailures()
		f = &failure{backoff: retry.Backoff{MaxBackoff: maxBackoff}}
		p.failing[o.key] = f
	}
	f.lastErr = err
	if f.count != o.failuresAtStart {
		return
	}
	f.count++
	delay := f.backoff.Next()
	f.retryAt = time.Now().Add(delay)
	time.AfterFunc(delay, p.wake)
}

// dropExpiredFailures removes keys whose backoff ended longer than
// failureRetention ago and that no request waits for, so that the map does not
// grow with every key ever requested.
func (p *Pool[T]) dropExpiredFailures() {
	for key, f := range p.failing {
		if !p.queue.hasEligible(key) && time.Since(f.retryAt) > failureRetention {
			delete(p.failing, key)
		}
	}
}

// removeOpening removes o from the openings in progress.
func (p *Pool[T]) removeOpening(o *opening[T]) {
	p.openings = slices.DeleteFunc(p.openings, func(x *opening[T]) bool { return x == o })
}

// requeue returns the opening's request, if any, to its place in the queue.
func (p *Pool[T]) requeue(o *opening[T]) {
	if w := o.waiter; w != nil {
		o.waiter = nil
		w.opening = nil
		p.queue.putBack(w)
	}
}

// openError returns err as an error with outcome NotRun: without a connection,
// nothing of the request was sent.
func openError(err error) error {
	var outcomeErr *outcome.Error
	if errors.As(err, &outcomeErr) && outcomeErr.Outcome == outcome.NotRun {
		return err
	}
	return outcome.Unavailable("no connection to the server could be opened", err)
}
