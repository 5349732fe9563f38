package retry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/retry"
)

// Guards against retries that multiply the load of a failing server, and
// against a caller that stops retrying altogether.
func TestBudgetLimitsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		budget := &retry.Budget{Ratio: 0.2, MinRate: 2, Burst: 50}
		// sendRequests makes 1000 requests a second and calls Allow for each one.
		sendRequests := func(d time.Duration, succeeds bool) (retries int) {
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(time.Millisecond) {
				if succeeds {
					budget.RecordSuccess()
				}
				if budget.Allow() {
					retries++
				}
			}
			return retries
		}
		healthyRetries, failingRetries := sendRequests(10*time.Second, true), sendRequests(10*time.Second, false)
		assert.Assert(t, healthyRetries >= 2000 && healthyRetries <= 2022, "%d retries for 10000 successes", healthyRetries)
		assert.Assert(t, failingRetries >= 19 && failingRetries <= 22, "%d retries in 10 s at 2 a second", failingRetries)
	})
}

// Guards against delays without jitter, which make callers retry at the same
// moment, against delays beyond the maximum, and against a Wait that does not
// end with its context.
func TestBackoffHasFullJitter(t *testing.T) {
	const callers = 2000
	backoffs := make([]retry.Backoff, callers)
	for _, bound := range []time.Duration{20, 40, 80, 100, 100} {
		bound *= time.Millisecond
		var sum, lowest, highest time.Duration = 0, time.Hour, 0
		for i := range backoffs {
			backoffs[i].MaxBackoff = 100 * time.Millisecond
			d := backoffs[i].Next()
			sum, lowest, highest = sum+d, min(lowest, d), max(highest, d)
		}
		mean := sum / callers
		assert.Assert(t, highest <= bound+1 && highest > bound*9/10 && lowest < bound/10, "%v to %v, bound %v", lowest, highest, bound)
		assert.Assert(t, mean > bound*4/10 && mean < bound*6/10, "mean %v, bound %v", mean, bound)
	}
	backoffs[0].Reset()
	assert.Assert(t, backoffs[0].Next() <= 20*time.Millisecond+1)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, backoffs[0].Wait(ctx), context.Canceled)
}
