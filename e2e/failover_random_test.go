package e2e_test

import (
	"flag"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilmill/e2e/cluster"
	"basilmill/e2e/histories"
	"basilmill/standin/pipenet"
)

// schedulesVariable sets the number of generated schedules of
// TestFailoverSchedules; the default fits CI. The seed is set with
// -rapid.seed, and printed with the schedule when one fails.
const schedulesVariable = "E2E_SCHEDULES"

// randomFaults are the faults of generated schedules, and what ends each.
var randomFaults = [][2]string{
	{"kill a", "restart a"},
	{"kill b", "restart b"},
	{"kill c", "restart c"},
	{"partition blackhole a", "partition up a"},
	{"partition cut a", "partition up a"},
	{"partition blackhole b", "partition up b"},
	{"partition blackhole a host-1 client-host-1", "partition up a host-1 client-host-1"},
	{"partition cut b host-2 client-host-2", "partition up b host-2 client-host-2"},
	{"partition blackhole host-1", "partition up host-1"},
	{"partition blackhole host-3", "partition up host-3"},
	{"link blackhole a b c", "link up a b c"},
	{"link cut a b", "link up a b"},
	{"link blackhole platform host-1 host-2", "link up platform host-1 host-2"},
	{"platform unavailable", "platform up"},
	{"platform blackhole", "platform up"},
	{"platform lose-reply", "platform up"},
	{"delay a 300ms", "well a"},
	{"stall a to b", "well a"},
	{"stall b", "well b"},
	{"leaving a", "well a"},
}

// drawFailures generates overlapping faults. A server is killed again only
// after it has been restarted.
func drawFailures(t *rapid.T) trace {
	const window = 4_000
	tr := trace{end: 8 * time.Second}
	var used []string
	for range rapid.IntRange(2, 5).Draw(t, "faults") {
		fault := rapid.SampledFrom(randomFaults).Draw(t, "fault")
		if slices.Contains(used, fault[0]) {
			continue
		}
		used = append(used, fault[0])
		from := time.Duration(rapid.IntRange(500, window).Draw(t, "from")) * time.Millisecond
		length := time.Duration(rapid.IntRange(20, window).Draw(t, "length")) * time.Millisecond
		tr.steps = append(tr.steps, traceStep{from, strings.Fields(fault[0])}, traceStep{from + length, strings.Fields(fault[1])})
	}
	slices.SortStableFunc(tr.steps, func(a, b traceStep) int { return int(a.at - b.at) })
	return tr
}

// Guards against combinations of faults that nobody thought of: lost,
// repeated, mixed or wrongly reported writes, and a deployment that does not
// serve again after all faults are healed.
func TestFailoverSchedules(t *testing.T) {
	checks := os.Getenv(schedulesVariable)
	if checks == "" {
		checks = "3"
	}
	assert.NilError(t, flag.Set("rapid.checks", checks))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(rt *rapid.T) {
		tr := drawFailures(rt)
		r, err := replay(t, tr)
		if err != nil {
			rt.Fatalf("%v in the schedule:\n%s", err, tr)
		}
		if len(r.violations) > 0 {
			rt.Fatalf("%v in the schedule:\n%s", r.violations, tr)
		}
	})
}

// Guards against checks that see nothing: a successor that claims entries
// which it does not have makes hosts acknowledge writes without evidence, and
// such writes are lost with the primary.
func TestFailoverWithoutEvidence(t *testing.T) {
	tr, err := parseTrace("1s overstate b\n1.5s stall a\n2s kill a\n5s end")
	assert.NilError(t, err)
	r, err := replay(t, tr)
	assert.NilError(t, err)
	assert.Assert(t, violated(r, histories.AcknowledgedWritesAreDurable), "%v", r.violations)
}

// Guards against a check of I6 that sees nothing: retries without a key run
// twice.
func TestWritesWithoutKeys(t *testing.T) {
	tr, err := parseTrace("2s kill a\n5s end")
	assert.NilError(t, err)
	r, err := replay(t, tr, func(w *workload) { w.unkeyed = true })
	assert.NilError(t, err)
	assert.Assert(t, violated(r, histories.AtMostOnce), "%v", r.violations)
}

func violated(r result, i histories.Invariant) bool {
	return slices.ContainsFunc(r.violations, func(v histories.Violation) bool { return v.Invariant == i })
}

// Guards against a linearizability check that accepts two swaps of the same
// value, or a failed swap of the value held.
func TestWriteRegisterCheck(t *testing.T) {
	at := func(ms int) time.Time { return time.UnixMilli(int64(ms)) }
	check := func(second histories.Swap) porcupine.CheckResult {
		var r histories.Register
		r.Add(histories.Swap{Register: "r", Old: 0, New: 1, Outcome: histories.Done, Succeeded: true, Start: at(0), End: at(1)})
		second.Register, second.Start, second.End = "r", at(2), at(3)
		r.Add(second)
		return r.Linearizable(time.Minute)
	}
	assert.Equal(t, check(histories.Swap{Old: 0, New: 2, Outcome: histories.Done, Succeeded: true}), porcupine.Illegal)
	assert.Equal(t, check(histories.Swap{Old: 1, New: 2, Outcome: histories.Done}), porcupine.Illegal)
	assert.Equal(t, check(histories.Swap{Old: 1, New: 2, Outcome: histories.Done, Succeeded: true}), porcupine.Ok)
	assert.Equal(t, check(histories.Swap{Old: 0, New: 2, Outcome: histories.Unknown}), porcupine.Ok)
}

// Guards against a change of primary that no loss calls for. In virtual time,
// links fail for short moments, such that each link is down for a fifth of the
// time; packets wait meanwhile, as with retransmissions.
func TestFailoverFlapping(t *testing.T) {
	duration := 15 * time.Second
	if os.Getenv(schedulesVariable) != "" {
		duration = time.Hour
	}
	virtual(t, config(t), func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		flap(t, v, duration)
		v.Heal()
		record, err := c.Record()
		assert.NilError(t, err)
		assert.Check(t, record.Term == 1 && record.Primary == "a", "term %d, primary %s", record.Term, record.Primary)
	})
}

// flap takes each link between data centres down and up again at random.
func flap(t *testing.T, v *cluster.VirtualNetwork, duration time.Duration) {
	machines := []string{"a", "b", "c", "host-1", "host-2", "host-3", cluster.PlatformMachine}
	var flapping sync.WaitGroup
	for i, one := range machines {
		for j, other := range machines[i+1:] {
			random := rand.New(rand.NewPCG(uint64(i), uint64(j)))
			flapping.Go(func() {
				for end := time.Now().Add(duration); time.Now().Before(end) && t.Context().Err() == nil; {
					v.SetLinkState(one, other, pipenet.BlackHole)
					time.Sleep(time.Duration(random.IntN(40)) * time.Millisecond)
					v.SetLinkState(one, other, pipenet.Up)
					time.Sleep(time.Duration(random.IntN(160)) * time.Millisecond)
				}
			})
		}
	}
	flapping.Wait()
}
