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

// simulatedTime is the virtual time of each of the three seeds of
// TestNoFalsePromotion. The default, an hour in all, bounds the run time in CI.
var simulatedTime = flag.Duration("simulated", 20*time.Minute, "virtual time of each seed of TestNoFalsePromotion")

// Guards against slow failover. The gap lasts from the loss of the primary,
// whose connections are refused or black-holed, to the accepted promotion, at
// the one-way latency between the data centres of each user.
func TestFailoverGap(t *testing.T) {
	for _, latency := range []time.Duration{4 * time.Millisecond, 20 * time.Millisecond} {
		for _, input := range []string{"kill a", "cut a *"} {
			t.Run(fmt.Sprint(latency, input), func(t *testing.T) {
				var longestGap time.Duration
				for phase := range 15 {
					synctest.Test(t, func(t *testing.T) {
						sim := newSimulation(latency, uint64(phase))
						sim.start()
						sim.run(3*time.Second + time.Duration(phase)*10*time.Millisecond)
						killed := time.Now()
						sim.runCommand(strings.Fields(input))
						sim.run(2 * time.Second)
						assert.NilError(t, sim.violation)
						longestGap = max(longestGap, sim.promotedAt.Sub(killed))
						assert.Assert(t, sim.record().Primary == group.ServerID("b") && sim.promotedAt.After(killed))
					})
				}
				t.Log("longest gap:", longestGap)
				assert.Assert(t, longestGap < time.Second, longestGap)
			})
		}
	}
}

// Guards against a slow planned change. The gap lasts from the refusal of
// writes to the accepted promotion; the target is 200 ms.
func TestPlannedChangeGap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(20*time.Millisecond, 1)
		sim.writing = true
		sim.start()
		sim.run(3 * time.Second)
		sim.runCommand([]string{"leaving", "a"})
		sim.run(3 * time.Second)
		assert.NilError(t, sim.violation)
		gap := sim.promotedAt.Sub(sim.quiescedAt)
		t.Log("gap:", gap)
		assert.Assert(t, gap > 0 && gap < 200*time.Millisecond, gap)
	})
}

// Guards against a false promotion under packet loss and tenfold latency, of
// single packets and of all links at once. In the case without loss and without
// single delayed packets the adaptive thresholds are lowest when the latency of
// all links rises.
func TestNoFalsePromotion(t *testing.T) {
	type faults struct {
		loss          float64
		singleDelayed float64 // fraction of packets that are delayed singly
		pause         time.Duration
		length        time.Duration
	}
	cases := map[string]faults{"sudden": {pause: 20 * time.Second, length: 10 * time.Minute}}
	for seed := range 3 {
		cases[fmt.Sprint("seed ", seed)] = faults{loss: 0.2, singleDelayed: 0.05, pause: 5 * time.Second, length: *simulatedTime}
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				seed := xxhash.Sum64String(name)
				sim := newSimulation(20*time.Millisecond, seed)
				sim.loss = tc.loss
				rng := rand.New(rand.NewPCG(seed, 2))
				var spikeEnd time.Time
				sim.latencyFactor = func() int {
					if now := time.Now(); now.After(spikeEnd.Add(tc.pause)) {
						spikeEnd = now.Add(time.Duration(rng.IntN(3000)) * time.Millisecond)
					}
					if time.Now().Before(spikeEnd) || rng.Float64() < tc.singleDelayed {
						return 10
					}
					return 1
				}
				sim.noReplication = true
				sim.start()
				sim.run(tc.length)
				assert.Equal(t, len(sim.history), 1, "%v", sim.log)
				assert.Assert(t, sim.suspicions > 0, "the faults must raise suspicions")
			})
		})
	}
}
