package retry

import (
	"cmp"
	"sync"

	"golang.org/x/time/rate"
)

// Defaults of Budget.
const (
	// DefaultRatio keeps the load of a failing server within 110% of the load
	// that it serves successfully.
	DefaultRatio = 0.1
	// DefaultMinRate lets a caller without recent successes notice that a
	// server has returned.
	DefaultMinRate = 1.0
	DefaultBurst   = 10
)

// Budget limits resends to a share of successful work plus a minimum rate, so
// that resends do not multiply the load of a server that fails. The zero value
// uses the defaults. A Budget is safe for concurrent use.
type Budget struct {
	// Ratio is the number of resends that each success allows.
	Ratio float64
	// MinRate is the number of resends a second that are always allowed.
	MinRate float64
	// Burst bounds the resends that successes allow in advance.
	Burst int

	mu      sync.Mutex
	earned  float64
	minimum *rate.Limiter
}

// RecordSuccess records successful work.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+cmp.Or(b.Ratio, DefaultRatio), float64(cmp.Or(b.Burst, DefaultBurst)))
}

// Allow reports whether one resend may be made now, and counts it.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned >= 1 {
		b.earned--
		return true
	}
	if b.minimum == nil {
		b.minimum = rate.NewLimiter(rate.Limit(cmp.Or(b.MinRate, DefaultMinRate)), 1)
	}
	return b.minimum.Allow()
}
