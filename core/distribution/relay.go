package distribution

import (
	"context"
	"sync"
	"time"
)

// watchReplyTimeout is how long after its wait an answer to a watch of the store may
// still arrive. Longer than that, the copy does not count as current.
const watchReplyTimeout = 700 * time.Millisecond

// Relay is a host's copy of objects that it reads from the store, for the hosts that
// follow it. It is safe for concurrent use.
type Relay struct {
	// Clock is a monotonic clock that includes the time the machine is suspended.
	Clock func() time.Duration
	// OnIgnore, if set, is called with an object that the store returned and that the
	// copy leaves out, because it holds the object in the version held. It must not
	// block.
	OnIgnore func(ignored Object, held Version)

	mu     sync.Mutex
	copies map[Kind]*relayedCopy
	closed bool
}

// relayedCopy is a relay's copy of the objects of one kind.
type relayedCopy struct {
	set Set
	// confirmedAt is a time at which the store had no later change.
	confirmedAt time.Duration
	// currentUntil is until when the copy counts as current without another answer
	// of the store; zero after a failure.
	currentUntil time.Duration
	// changed is closed at the next change of the copy.
	changed chan struct{}
}

// Pull returns the objects that changed after a version, or all of them if after is
// zero. It waits up to the given time for the first one. It returns false at once
// when the copy is not current or older than the version: the receiver must then use
// another source.
func (r *Relay) Pull(ctx context.Context, kind Kind, after Version, wait time.Duration) (Update, bool) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		u, changed, current := r.since(kind, after)
		if !current || len(u.Objects) > 0 || u.After != after || after == 0 {
			return u, current
		}
		select {
		case <-changed:
		case <-timer.C:
			u, _, current := r.since(kind, after)
			return u, current
		case <-ctx.Done():
			return Update{}, false
		}
	}
}

// since returns the update after a version, a channel that is closed at the next
// change, and whether the copy is current.
func (r *Relay) since(kind Kind, after Version) (u Update, changed <-chan struct{}, current bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.copies[kind]
	if c == nil || r.closed || r.Clock() > c.currentUntil || c.set.Version() < after {
		return Update{}, nil, false
	}
	u = c.set.Since(after)
	u.Age = r.Clock() - c.confirmedAt
	return u, c.changed, true
}

// Close makes the relay refuse further pulls and ends those that wait, so that the
// followers of a stopping host use another one.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for _, c := range r.copies {
		c.announce()
	}
}

// isComplete reports whether the copy has all changes up to the version.
func (r *Relay) isComplete(kind Kind, version Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.copies[kind]
	return c != nil && c.set.Version() >= version
}

// replace notes a list that the store returned. It counts as current for the TTL.
func (r *Relay) replace(kind Kind, list Update, ttl time.Duration) {
	r.change(kind, func(c *relayedCopy) {
		r.reportIgnored(c, list)
		c.set.Replace(list)
		c.confirmedAt = r.Clock() - list.Age
		c.currentUntil = r.Clock() + ttl
	})
}

// expect notes that a watch of the store starts. Unless the call before failed, the
// copy counts as current until it should be answered.
func (r *Relay) expect(kind Kind, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.copies[kind]; c != nil && c.currentUntil != 0 {
		c.currentUntil = r.Clock() + wait + watchReplyTimeout
	}
}

// merge notes the answer to a watch of the store. A copy that lacks earlier changes
// is dropped, because it would never be complete again.
func (r *Relay) merge(kind Kind, u Update) {
	r.change(kind, func(c *relayedCopy) {
		if c.set.Version() < u.After {
			delete(r.copies, kind)
			return
		}
		r.reportIgnored(c, u)
		c.set.Merge(u)
		c.confirmedAt = max(c.confirmedAt, r.Clock()-u.Age)
		c.currentUntil = r.Clock() + watchReplyTimeout
	})
}

// reportIgnored reports the objects of an update that the copy is about to ignore.
func (r *Relay) reportIgnored(c *relayedCopy, u Update) {
	if r.OnIgnore == nil {
		return
	}
	for _, o := range c.set.outdated(u) {
		r.OnIgnore(o, c.set.objects[o.Key].Version)
	}
}

// fail notes that the store did not answer a call.
func (r *Relay) fail(kind Kind) {
	r.change(kind, func(c *relayedCopy) { c.currentUntil = 0 })
}

// change changes the copy of a kind and wakes the pulls that wait for it.
func (r *Relay) change(kind Kind, change func(*relayedCopy)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.copies == nil {
		r.copies = map[Kind]*relayedCopy{}
	}
	c := r.copies[kind]
	if c == nil {
		c = &relayedCopy{changed: make(chan struct{})}
		r.copies[kind] = c
	}
	change(c)
	c.announce()
}

// announce wakes the pulls that wait for a change.
func (c *relayedCopy) announce() {
	close(c.changed)
	c.changed = make(chan struct{})
}
