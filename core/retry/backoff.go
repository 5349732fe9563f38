// Package retry limits the number and the rate of retries. It owns the retry
// budget, which ties the number of retries to that of successes, and the backoff
// between attempts.
package retry

import (
	"cmp"
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Default bounds of the delays of a Backoff.
const (
	DefaultInitialBackoff = 20 * time.Millisecond
	DefaultMaxBackoff     = 2 * time.Second
)

// multiplier is the ratio of the upper bounds of successive delays.
const multiplier = 2

// Backoff computes exponential delays between attempts with full jitter: the
// delay before retry n (from 0) is uniformly distributed between zero and
// min(InitialBackoff*2^n, MaxBackoff). The zero value uses the defaults. A
// Backoff is not safe for concurrent use.
type Backoff struct {
	// InitialBackoff is the upper bound of the first delay; zero means
	// DefaultInitialBackoff.
	InitialBackoff time.Duration
	// MaxBackoff is the upper bound of all delays; zero means
	// DefaultMaxBackoff.
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

// Wait sleeps for the next delay. It returns the error of ctx if ctx ends first.
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

// Reset makes the next delay the first one again. Call it after a success.
func (b *Backoff) Reset() { b.state = nil }

// fullJitter configures the backoff library for full jitter. With a
// randomization factor of one the library draws a delay between zero and twice
// its interval, so the intervals are set to half of the upper bounds.
func (b *Backoff) fullJitter() *backoff.ExponentialBackOff {
	e := backoff.NewExponentialBackOff()
	e.RandomizationFactor = 1
	e.Multiplier = multiplier
	e.InitialInterval = cmp.Or(b.InitialBackoff, DefaultInitialBackoff) / 2
	e.MaxInterval = cmp.Or(b.MaxBackoff, DefaultMaxBackoff) / 2
	return e
}
