package membership

import (
	"context"
	"sync"
	"time"

	"basilmill/core/retry"
)

const (
	// registerTimeout bounds one attempt to register.
	registerTimeout = time.Second
	// unlistedThreshold is how long after a registration a list may still lack it: the
	// lists that hosts get from each other are some seconds old.
	unlistedThreshold = 10 * time.Second
)

// Registration keeps the entry of a host in the platform's list of hosts. The platform
// may lose it when its store is restored from a copy, and other hosts mark and remove the
// entry of a host that they cannot reach.
type Registration struct {
	// Register creates or replaces the entry.
	Register func(ctx context.Context) error

	mu           sync.Mutex
	registeredAt time.Time
	unlisted     chan struct{}
}

// Run registers the host, and again when a list lacks it, until ctx ends. Failed
// attempts are repeated.
func (r *Registration) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		unlisted := r.awaitUnlisted()
		r.register(ctx)
		select {
		case <-unlisted:
		case <-ctx.Done():
		}
	}
	return nil
}

// register registers the host and retries until it succeeds or ctx ends.
func (r *Registration) register(ctx context.Context) {
	var backoff retry.Backoff
	for ctx.Err() == nil && !r.tryRegister(ctx) {
		// The error is that of ctx, which the loop condition checks.
		_ = backoff.Wait(ctx)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registeredAt = time.Now()
}

func (r *Registration) tryRegister(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return r.Register(ctx) == nil
}

// NoteListed notes whether the last list of the platform has the host, not marked by
// another one. It never blocks.
func (r *Registration) NoteListed(listed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if listed || r.unlisted == nil || r.registeredAt.IsZero() || time.Since(r.registeredAt) < unlistedThreshold {
		return
	}
	close(r.unlisted)
	r.unlisted = nil
	r.registeredAt = time.Time{}
}

// awaitUnlisted returns a channel that is closed when the host has to register again.
func (r *Registration) awaitUnlisted() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.unlisted == nil {
		r.unlisted = make(chan struct{})
	}
	return r.unlisted
}
