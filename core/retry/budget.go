package retry

import (
	"cmp"
	"sync"

	"golang.org/x/time/rate"
)

// Defaults of a Budget.
const (
	// DefaultRatio keeps the load of a failing server within 110% of the load
	// that it serves successfully.
	DefaultRatio = 0.1
	// DefaultMinRate, in retries a second, lets a caller without recent
	// successes detect that a server has recovered.
	DefaultMinRate = 1.0
	DefaultBurst   = 10
)

// Budget limits retries to a fraction of the successes plus a minimum rate, so
// that retries do not multiply the load of a failing server. The zero value uses
// the defaults. A Budget is safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that each success allows.
	Ratio float64
	// MinRate is the number of retries a second that are always allowed.
	MinRate float64
	// Burst bounds the retries that successes allow in advance.
	Burst int

	mu          sync.Mutex
	tokens      float64
	minimumRate *rate.Limiter
}

// RecordSuccess adds Ratio retries to the budget, up to Burst.
func (b *Budget) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+cmp.Or(b.Ratio, DefaultRatio), float64(cmp.Or(b.Burst, DefaultBurst)))
}

// Allow reports whether a retry may be made now. If so, it takes the retry from
// the budget.
func (b *Budget) Allow() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	if b.minimumRate == nil {
		b.minimumRate = rate.NewLimiter(rate.Limit(cmp.Or(b.MinRate, DefaultMinRate)), 1)
	}
	return b.minimumRate.Allow()
}
