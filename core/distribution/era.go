package distribution

import (
	"context"
	"sync"
	"time"
)

// Era counts how often the platform's store has been restored from a copy. The copy
// lacks the latest changes, and the store gives their revisions out again: revisions
// of different eras do not compare. It is zero for a store that does not state it.
type Era int64

// Eras tracks the newest era of the store that a host has seen. The zero value is
// ready for use, and a nil *Eras stands for a store that is never restored. It is safe
// for concurrent use.
type Eras struct {
	// OnRise, if set, is called when the store is found to have been restored. It
	// must be set before the first use and must not block.
	OnRise func(before, now Era)

	mu     sync.Mutex
	newest Era
	seenAt time.Time
	roseAt time.Time
	risen  chan struct{}
}

// Note notes the era that an answer of the store, or of a relay, states. Eras older
// than the newest are ignored.
func (e *Eras) Note(era Era) {
	if e == nil {
		return
	}
	if before, rose := e.note(era); rose && e.OnRise != nil {
		e.OnRise(before, era)
	}
}

// note updates the newest era. It reports whether the store was restored since this
// host first saw it.
func (e *Eras) note(era Era) (before Era, rose bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	first := e.seenAt.IsZero()
	if !first && era <= e.newest {
		return e.newest, false
	}
	before = e.newest
	e.newest, e.seenAt = era, time.Now()
	if first {
		return before, false
	}
	e.roseAt = e.seenAt
	if e.risen != nil {
		close(e.risen)
		e.risen = nil
	}
	return before, true
}

// Newest returns the newest era and when this host first saw it; the zero time if it
// has not seen any.
func (e *Eras) Newest() (era Era, seenAt time.Time) {
	if e == nil {
		return 0, time.Time{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest, e.seenAt
}

// RoseAt returns when this host last saw the era rise; the zero time if it has not.
func (e *Eras) RoseAt() time.Time {
	if e == nil {
		return time.Time{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.roseAt
}

// IsOver reports whether a later era has been seen.
func (e *Eras) IsOver(era Era) bool {
	newest, _ := e.Newest()
	return era < newest
}

// During returns a context that also ends when the era is over, and a function that
// releases it.
func (e *Eras) During(ctx context.Context, era Era) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	risen := e.Risen()
	if e.IsOver(era) {
		cancel()
		return ctx, cancel
	}
	go func() {
		select {
		case <-risen:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// Risen returns a channel that is closed at the next rise of the era.
func (e *Eras) Risen() <-chan struct{} {
	if e == nil {
		return nil
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.risen == nil {
		e.risen = make(chan struct{})
	}
	return e.risen
}
