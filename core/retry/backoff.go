// Package retry limits how often and how fast failed work is repeated. It
// owns the retry budget, which ties resends to successful work, and the
// backoff between attempts.
package retry

import (
	"cmp"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Defaults of Backoff.
const (
	DefaultInitialBackoff = 20 * time.Millisecond
	DefaultMaxBackoff     = 2 * time.Second
)

// growth is the factor between the upper bounds of successive delays.
const growth = 2

// Backoff computes the delays between attempts with full jitter: the n-th
// delay is uniform between zero and min(Initial*2^n, Max). The zero value uses
// the defaults. A Backoff is not safe for concurrent use.
type Backoff struct {
	// InitialBackoff is the upper bound of the first delay.
	InitialBackoff time.Duration
	// MaxBackoff is the upper bound of all delays.
	MaxBackoff time.Duration

	state *backoff.ExponentialBackOff
}

// Next returns the delay before the next attempt.
func (b *Backoff) Next() time.Duration {
	if b.state == nil {
		b.state = b.fullJitter()
	}
	return b.state.NextBackOff()
}

// Wait waits for the next delay. It returns the error of ctx if that ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	timer := time.NewTimer(b.Next())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Reset restarts the delays from Initial, after a success.
func (b *Backoff) Reset() { b.state = nil }

// fullJitter configures the library for full jitter. With a randomization
// factor of one it draws between zero and twice its interval, so the intervals
// are half of the upper bounds.
func (b *Backoff) fullJitter() *backoff.ExponentialBackOff {
	e := backoff.NewExponentialBackOff()
	e.RandomizationFactor = 1
	e.Multiplier = growth
	e.InitialInterval = cmp.Or(b.InitialBackoff, DefaultInitialBackoff) / 2
	e.MaxInterval = cmp.Or(b.MaxBackoff, DefaultMaxBackoff) / 2
	return e
}
