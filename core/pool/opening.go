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
	// maxBackoff bounds the delay between trials of a failing key. It is a part
	// of the failover gap, whose target is 2 s, and at one trial at a time it
	// costs a returning server at most some ten attempts a second and holder.
	maxBackoff = 250 * time.Millisecond
	// failureMemory is how long the failure of an unused key is remembered.
	failureMemory = 10 * time.Second
)

// opening is one slot of the limit in which a connection is being opened,
// possibly after an idle connection of another key is closed to make room.
type opening[T comparable] struct {
	key Key
	// waiter is the request that the opening serves, nil when that request was
	// served or ended otherwise.
	waiter *waiter[T]
	// round is the key's failure count at the start.
	round int
}

// failure is the state of a key whose last opening failed.
type failure struct {
	backoff retry.Backoff
	until   time.Time
	round   int
	last    error
}

// dispatch serves one waiting request, if any can be served.
func (p *Pool[T]) dispatch() bool {
	for _, candidate := range p.queue.candidates() {
		if p.serve(candidate) {
			return true
		}
	}
	return false
}

// serve gives the first request of a candidate an idle connection, an opening
// whose own request no longer needs it, or a new opening.
func (p *Pool[T]) serve(c candidate[T]) bool {
	if i := p.lastIdle(c.key); i >= 0 {
		w := p.queue.take(c)
		conn := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		p.deliver(w, conn)
		return true
	}
	if o := p.spareOpening(c.key); o != nil {
		p.assign(o, p.queue.take(c))
		return true
	}
	if !p.mayOpen(c.key) {
		return false
	}
	if p.total() < p.limit {
		p.start(p.queue.take(c), nil)
		return true
	}
	if i := p.victim(); i >= 0 && p.total() <= p.limit {
		victim := p.idle[i]
		p.idle = slices.Delete(p.idle, i, i+1)
		p.start(p.queue.take(c), victim)
		return true
	}
	return false
}

// lastIdle returns the index of the most recently used idle connection of the
// key, so that connections beyond the need reach their idle time.
func (p *Pool[T]) lastIdle(key Key) int {
	for i, c := range slices.Backward(p.idle) {
		if c.key == key {
			return i
		}
	}
	return -1
}

func (p *Pool[T]) spareOpening(key Key) *opening[T] {
	i := slices.IndexFunc(p.openings, func(o *opening[T]) bool { return o.key == key && o.waiter == nil })
	if i < 0 {
		return nil
	}
	return p.openings[i]
}

// mayOpen reports whether an opening for the key may start. After a failure
// the key has one opening at a time, each after a backoff.
func (p *Pool[T]) mayOpen(key Key) bool {
	if len(p.openings) >= p.config.MaxOpening {
		return false
	}
	f, ok := p.failing[key]
	if !ok {
		return true
	}
	underWay := slices.ContainsFunc(p.openings, func(o *opening[T]) bool { return o.key == key })
	return !underWay && !time.Now().Before(f.until)
}

// victim returns the index of the idle connection to close for another key:
// the least recently used one that is not needed or has served its own key
// long enough.
func (p *Pool[T]) victim() int {
	return slices.IndexFunc(p.idle, func(c *connection[T]) bool {
		return !p.queue.wants(c.key) || time.Since(c.openedAt) >= p.config.EvictionGracePeriod
	})
}

func (p *Pool[T]) assign(o *opening[T], w *waiter[T]) {
	o.waiter = w
	w.opening = o
}

// start opens a connection for w in the background, after closing victim if
// there is one.
func (p *Pool[T]) start(w *waiter[T], victim *connection[T]) {
	o := &opening[T]{key: w.key}
	if f, ok := p.failing[w.key]; ok {
		o.round = f.round
	}
	p.assign(o, w)
	p.openings = append(p.openings, o)
	go p.open(o, victim)
}

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
	p.settle()
}

// stillNeeded reports whether the opening goes on, although the limit may have
// been lowered and its request may have ended since it was granted. If not,
// the opening's slot is released.
func (p *Pool[T]) stillNeeded(o *opening[T]) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o.waiter != nil && p.total() <= p.limit {
		return true
	}
	p.end(o)
	p.requeue(o)
	p.settle()
	return false
}

func (p *Pool[T]) openSucceeded(o *opening[T], value T) {
	p.stats.Opened++
	delete(p.failing, o.key)
	p.end(o)
	c := &connection[T]{value: value, key: o.key, openedAt: time.Now()}
	switch {
	case p.active() >= p.limit:
		p.requeue(o)
		p.close(c)
	case o.waiter != nil:
		p.deliver(o.waiter, c)
	default:
		p.offer(c)
	}
}

func (p *Pool[T]) openFailed(o *opening[T], err error) {
	p.stats.Failed++
	p.end(o)
	p.recordFailure(o, err)
	if o.waiter != nil {
		p.refuse(o.waiter, notOpened(err))
	}
}

// recordFailure starts a backoff for the key. Openings that started before the
// last recorded failure do not lengthen it again.
func (p *Pool[T]) recordFailure(o *opening[T], err error) {
	f, ok := p.failing[o.key]
	if !ok {
		p.dropExpiredFailures()
		f = &failure{backoff: retry.Backoff{MaxBackoff: maxBackoff}}
		p.failing[o.key] = f
	}
	f.last = err
	if f.round != o.round {
		return
	}
	f.round++
	delay := f.backoff.Next()
	f.until = time.Now().Add(delay)
	time.AfterFunc(delay, p.wake)
}

// dropExpiredFailures forgets keys that nobody asked for since their backoff
// ended, so that the map does not grow with the keys ever requested.
func (p *Pool[T]) dropExpiredFailures() {
	for key, f := range p.failing {
		if !p.queue.wants(key) && time.Since(f.until) > failureMemory {
			delete(p.failing, key)
		}
	}
}

func (p *Pool[T]) end(o *opening[T]) {
	p.openings = slices.DeleteFunc(p.openings, func(x *opening[T]) bool { return x == o })
}

// requeue returns the opening's request to its place in the queue.
func (p *Pool[T]) requeue(o *opening[T]) {
	if w := o.waiter; w != nil {
		o.waiter = nil
		w.opening = nil
		p.queue.putBack(w)
	}
}

// notOpened returns an error that states not run, because a request never
// reaches a connection that was not opened.
func notOpened(err error) error {
	var carried *outcome.Error
	if errors.As(err, &carried) && carried.Outcome == outcome.NotRun {
		return err
	}
	return outcome.Unavailable("no connection to the server could be opened", err)
}
