package failover_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"basilmill/core/group"
)

// simulated is the virtual time of each of the three seeds of
// TestNoFalsePromotion, by default an hour in all to bound the time of CI.
var simulated = flag.Duration("simulated", 20*time.Minute, "virtual time of each seed of TestNoFalsePromotion")

// Guards against slow detection: from the kill of the primary, refused or
// black-holed, to the accepted promotion at both users' latencies.
func TestFailoverGap(t *testing.T) {
	for _, latency := range []time.Duration{4 * time.Millisecond, 20 * time.Millisecond} {
		for _, input := range []string{"kill a", "cut a *"} {
			t.Run(fmt.Sprint(latency, input), func(t *testing.T) {
				var worst time.Duration
				for phase := range 15 {
					synctest.Test(t, func(t *testing.T) {
						w := newWorld(latency, uint64(phase))
						w.start()
						w.run(3*time.Second + time.Duration(phase)*10*time.Millisecond)
						killed := time.Now()
						w.do(strings.Fields(input))
						w.run(2 * time.Second)
						assert.NilError(t, w.violation)
						worst = max(worst, w.promoted.Sub(killed))
						assert.Assert(t, w.record().Primary == group.ServerID("b") && w.promoted.After(killed))
					})
				}
				t.Log("longest gap:", worst)
				assert.Assert(t, worst < time.Second, worst)
			})
		}
	}
}

// Guards against a slow planned change: from the refusal of writes to the
// accepted promotion, within the target of 200 ms.
func TestPlannedChangeGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(20*time.Millisecond, 1)
		w.writing = true
		w.start()
		w.run(3 * time.Second)
		w.do([]string{"leaving", "a"})
		w.run(3 * time.Second)
		assert.NilError(t, w.violation)
		gap := w.promoted.Sub(w.quiescedAt)
		t.Log("gap:", gap)
		assert.Assert(t, gap > 0 && gap < 200*time.Millisecond, gap)
	})
}

// Guards against a false promotion under packet loss and tenfold delays, of
// single packets and of all links together. The case without loss and without
// single delays has the lowest timeouts when the delay of all links rises.
func TestNoFalsePromotion(t *testing.T) {
	type faults struct {
		loss   float64
		single float64 // share of single packets delayed
		calm   time.Duration
		length time.Duration
	}
	cases := map[string]faults{"sudden": {calm: 20 * time.Second, length: 10 * time.Minute}}
	for seed := range 3 {
		cases[fmt.Sprint("seed ", seed)] = faults{loss: 0.2, single: 0.05, calm: 5 * time.Second, length: *simulated}
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				seed := xxhash.Sum64String(name)
				w := newWorld(20*time.Millisecond, seed)
				w.loss = tc.loss
				rng := rand.New(rand.NewPCG(seed, 2))
				var until time.Time
				w.spike = func() int {
					if now := time.Now(); now.After(until.Add(tc.calm)) {
						until = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
					}
					if time.Now().Before(until) || rng.Float64() < tc.single {
						return 10
					}
					return 1
				}
				w.quiet = true
				w.start()
				w.run(tc.length)
				assert.Equal(t, len(w.history), 1, "%v", w.log)
				assert.Assert(t, w.suspicions > 0, "the faults must raise suspicions")
			})
		})
	}
}
