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

// schedulesEnv is the environment variable with the number of schedules that
// TestFailoverSchedules generates. Without it, a small number is used that suits CI.
// The flag -rapid.seed sets the seed, which is printed with a failing schedule.
const schedulesEnv = "E2E_SCHEDULES"

// randomFaults are the faults of generated schedules. Each has the trace step that
// starts it and the one that ends it.
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
	{"platform save", "platform restore"},
}

// drawTrace generates a trace of overlapping faults. Each fault occurs at most once, so
// that a server is not killed again before it has been restarted.
func drawTrace(t *rapid.T) trace {
	const maxMilliseconds = 4_000
	tr := trace{end: 8 * time.Second}
	var used []string
	for range rapid.IntRange(2, 5).Draw(t, "faults") {
		fault := rapid.SampledFrom(randomFaults).Draw(t, "fault")
		if slices.Contains(used, fault[0]) {
			continue
		}
		used = append(used, fault[0])
		from := time.Duration(rapid.IntRange(500, maxMilliseconds).Draw(t, "from")) * time.Millisecond
		length := time.Duration(rapid.IntRange(20, maxMilliseconds).Draw(t, "length")) * time.Millisecond
		tr.steps = append(tr.steps, traceStep{from, strings.Fields(fault[0])}, traceStep{from + length, strings.Fields(fault[1])})
	}
	slices.SortStableFunc(tr.steps, func(a, b traceStep) int { return int(a.at - b.at) })
	return tr
}

// Guards, under random combinations of faults, against lost, repeated, mixed or
// wrongly answered writes, and against a deployment that does not serve requests after
// all faults are healed.
func TestFailoverSchedules(t *testing.T) {
	checks := os.Getenv(schedulesEnv)
	if checks == "" {
		checks = "3"
	}
	assert.NilError(t, flag.Set("rapid.checks", checks))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(rt *rapid.T) {
		tr := drawTrace(rt)
		r, err := replay(t, tr)
		if err != nil {
			rt.Fatalf("%v in the schedule:\n%s", err, tr)
		}
		if len(r.violations) > 0 {
			rt.Fatalf("%v in the schedule:\n%s", r.violations, tr)
		}
	})
}

// Guards against checks that do not detect lost writes. A successor that reports a
// received position beyond its log makes hosts acknowledge writes that it lacks, and
// these are lost with the primary.
func TestFailoverWithoutEvidence(t *testing.T) {
	tr, err := parseTrace("1s overstate b\n1.5s stall a\n2s kill a\n5s end")
	assert.NilError(t, err)
	r, err := replay(t, tr)
	assert.NilError(t, err)
	assert.Assert(t, hasViolation(r, histories.AcknowledgedWritesAreDurable), "%v", r.violations)
}

// Guards against a check of invariant I6 that does not detect repeated writes: retries
// without a request key run twice.
func TestWritesWithoutKeys(t *testing.T) {
	tr, err := parseTrace("2s kill a\n5s end")
	assert.NilError(t, err)
	r, err := replay(t, tr, func(w *workload) { w.omitKeys = true })
	assert.NilError(t, err)
	assert.Assert(t, hasViolation(r, histories.AtMostOnce), "%v", r.violations)
}

func hasViolation(r replayResult, i histories.Invariant) bool {
	return slices.ContainsFunc(r.violations, func(v histories.Violation) bool { return v.Invariant == i })
}

// Guards against a linearizability check that accepts two successful swaps of the same
// old value, or a failed swap whose old value the register held.
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

// Guards against a change of primary without the loss of a server. In virtual time,
// each link repeatedly fails for less than 40 ms and is down for a fifth of the time.
// Packets are delayed meanwhile, as with retransmissions.
func TestFailoverFlapping(t *testing.T) {
	duration := 15 * time.Second
	if os.Getenv(schedulesEnv) != "" {
		duration = time.Hour
	}
	virtual(t, config(t), func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		flapLinks(t, v, duration)
		v.Heal()
		record, err := c.Record()
		assert.NilError(t, err)
		assert.Check(t, record.Term == 1 && record.Primary == "a", "term %d, primary %s", record.Term, record.Primary)
	})
}

// flapLinks takes each link between two machines down and up again at random times.
func flapLinks(t *testing.T, v *cluster.VirtualNetwork, duration time.Duration) {
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
