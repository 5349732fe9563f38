// Package ratelimit limits the operations of client accounts over all hosts together. It
// owns the division of an account's limit into parts, the parts that this host holds as a
// coordinator, and the client with which this host draws tokens from the parts of all
// hosts to admit operations.
//
// Division, Bucket, DrawOrder, AheadTarget and RetryAfter are the decisions. They are
// plain functions without a clock, lock, goroutine or network, and handle accounts that
// send several times their limit through all hosts at the same time.
package ratelimit

import (
	"math"
	"time"
)

// Limit is how many operations of an account all hosts together admit.
type Limit struct {
	// Rate is the number of operations a second, +Inf without a limit.
	Rate float64
	// Burst is the number of operations at once after a pause.
	Burst float64
}

// Unlimited reports whether there is no limit.
func (l Limit) Unlimited() bool { return math.IsInf(l.Rate, 1) || math.IsNaN(l.Rate) }

// tokens returns the number of operations that the limit admits in a time after a pause.
func (l Limit) tokens(d time.Duration) float64 { return l.Rate*d.Seconds() + l.Burst }

// Rule is what the operations of an account that reach a server must keep to in every
// window: at most (Rate × Window + Burst) × (1 + Overage) + Slack.
type Rule struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Allowed returns the number of operations that may reach a server in a window.
func (r Rule) Allowed(l Limit) float64 {
	return l.tokens(r.Window)*(1+r.Overage) + r.Slack
}
