package ratelimit

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// AheadTTL is how long a token that was drawn ahead may admit an operation, counted
	// from before the draw was sent. Divide has room for it.
	AheadTTL = 250 * time.Millisecond
	// demandMemory is the time over which the demand for operations is averaged.
	demandMemory = 500 * time.Millisecond
	// aheadShare is the share of the operations expected within AheadTTL for which tokens
	// are drawn ahead. A host with fewer than two expected operations draws none, because
	// most of them would expire.
	aheadShare = 0.5
)

// DemandRate is the moving average of the operations a second of an account on this host.
// The zero value has seen none.
type DemandRate struct {
	perSecond float64
	at        time.Duration
}

// Note counts an operation.
func (d *DemandRate) Note(now time.Duration) {
	d.perSecond = d.Get(now) + 1/demandMemory.Seconds()
	d.at = now
}

// Get returns the operations a second.
func (d *DemandRate) Get(now time.Duration) float64 {
	return d.perSecond * math.Exp(-max(now-d.at, 0).Seconds()/demandMemory.Seconds())
}

// AheadTarget returns the number of tokens that a host with a demand, in operations a
// second, should have drawn ahead.
func AheadTarget(demand float64) int {
	return int(demand * AheadTTL.Seconds() * aheadShare)
}

// minComeBack is the least time to come back that a refusal states.
const minComeBack = 20 * time.Millisecond

// ComeBack returns the time to come back that a refusal states, when a token is expected
// after the wait. It is spread over twice the wait, so that refused callers do not return
// together.
func ComeBack(wait time.Duration) time.Duration {
	wait = max(wait, minComeBack)
	return wait + rand.N(wait)
}
