package ratelimit

import "time"

// Bucket is a token bucket. It starts empty, hands out what it has of a larger demand, and
// its burst may have a fraction; golang.org/x/time/rate starts full, hands out all or
// nothing and counts bursts in whole tokens. The zero value is empty at time zero.
type Bucket struct {
	tokens float64
	at     time.Duration
}

// NewBucket returns a bucket that is empty at the time.
func NewBucket(at time.Duration) Bucket { return Bucket{at: at} }

// Fill adds the tokens that have accrued until now.
func (b *Bucket) Fill(now time.Duration, rate, burst float64) {
	if now > b.at {
		b.tokens += rate * (now - b.at).Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, burst)
}

// Add adds tokens up to the burst.
func (b *Bucket) Add(tokens, burst float64) { b.tokens = min(b.tokens+tokens, burst) }

// Take takes up to n whole tokens and returns their number.
func (b *Bucket) Take(n int) int {
	n = max(min(n, int(b.tokens)), 0)
	b.tokens -= float64(n)
	return n
}

// Wait returns the time until the bucket has a token.
func (b *Bucket) Wait(rate float64) time.Duration {
	if b.tokens >= 1 {
		return 0
	}
	if rate <= 0 {
		return maxRetryAfter
	}
	return min(time.Duration((1-b.tokens)/rate*float64(time.Second))+time.Microsecond, maxRetryAfter)
}
