package failover_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilmill/core/group"
)

// drawFaults draws a schedule: commands and the pause after each.
func drawFaults(t *rapid.T) (inputs []string, pauses []time.Duration) {
	server := rapid.SampledFrom([]string{"a", "b", "c"})
	hosts := rapid.SampledFrom([]string{"h1", "h2", "h3"})
	node := rapid.SampledFrom([]string{"a", "b", "c", "h1", "h2", "h3", "dc1", "dc2", "dc3", "platform"})
	kinds := rapid.SampledFrom([]string{
		"kill S", "kill S", "kill S", "start S", "start S", "start S", "kill H", "start H", "cut P P", "cut P P", "cut S S",
		"cut S *", "heal", "heal", "platform down", "platform up", "drop-update", "lose-reply", "leaving S", "rate S 0", "rate S 1",
		"rate S 1000", "rate S 1000", "stale H", "stale H off", "burst 30", "on update kill $host", "on SetSuccessor kill a",
		"on Promote kill $host", "on Quiesce kill b", "on SetSuccessor cut a b",
	})
	for range rapid.IntRange(1, 25).Draw(t, "faults") {
		f := strings.Fields(kinds.Draw(t, "kind"))
		for i := range f {
			switch f[i] {
			case "S":
				f[i] = server.Draw(t, "server")
			case "H":
				f[i] = hosts.Draw(t, "host")
			case "P":
				f[i] = node.Draw(t, "node")
			}
		}
		inputs = append(inputs, strings.Join(f, " "))
		pauses = append(pauses, time.Duration(rapid.IntRange(0, 30).Draw(t, "pause"))*50*time.Millisecond)
	}
	return inputs, pauses
}

// simulate runs the schedule, then repairs all faults and checks that writes
// are confirmed again.
func simulate(t *testing.T, sim *simulation, inputs []string, pauses []time.Duration) (err error) {
	synctest.Test(t, func(*testing.T) {
		sim.writing = true
		sim.start()
		sim.run(time.Second)
		for i, input := range inputs {
			sim.runCommand(strings.Fields(input))
			sim.run(pauses[i])
		}
		clear(sim.hooks)
		sim.dropNextUpdate, sim.loseNextReply = false, false
		for _, input := range []string{
			"heal", "platform up", "rate a 1000", "rate b 1000", "rate c 1000", "start a", "start b", "start c",
			"start h1", "start h2", "start h3", "stale h1 off", "stale h2 off", "stale h3 off",
		} {
			sim.runCommand(strings.Fields(input))
		}
		sim.run(10 * time.Second)
		sim.checkAllWrites()
		if sim.naiveEligible == nil && time.Since(sim.ackedAt) > time.Second {
			sim.fail("no write is confirmed after everything was repaired: %s", sim.describe())
		}
		err = sim.violation
	})
	return err
}

// Guards, under random faults, against the loss of an acknowledged write, two
// primaries whose writes can both be confirmed, a term that decreases, and a
// group in which writes are not confirmed after the faults are repaired.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		inputs, pauses := drawFaults(rt)
		sim := newSimulation(4*time.Millisecond, seed)
		if err := simulate(t, sim, inputs, pauses); err != nil {
			rt.Fatalf("%v\n%s", err, strings.Join(sim.log, "\n"))
		}
	})
}

// Guards against a model that does not detect lost writes: it must catch a rule
// that promotes the most advanced reachable replica and acknowledges a write
// once any replica has received it.
func TestModelDetectsLostWrites(t *testing.T) {
	violations := rapid.Custom(func(rt *rapid.T) error {
		inputs, pauses := drawFaults(rt)
		sim := newSimulation(4*time.Millisecond, rapid.Uint64().Draw(rt, "seed"))
		sim.anyReplicaConfirms = true
		sim.naiveEligible = func(*group.Record, group.Status) bool { return true }
		return simulate(t, sim, inputs, pauses)
	})
	for seed := range 200 {
		if err := violations.Example(seed); err != nil {
			t.Logf("found with example %d: %v", seed, err)
			return
		}
	}
	t.Fatal("the model found no fault in the naive rule")
}

// Guards against an eligibility rule that requires the record's term and
// generation but not that the log reaches the start of the term. In the trace
// of successor-far-behind such a rule loses acknowledged writes; Eligible does
// not.
func TestEligibilityWithoutTermStartLosesWrites(t *testing.T) {
	inputs := []string{"behind c 50", "write", "kill a", "kill b", "write"}
	pauses := []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 5 * time.Second, 0}
	withoutTermStart := func(r *group.Record, s group.Status) bool {
		return s.Server == r.Successor && s.Role == group.Replica && s.Term == r.Term && s.Generation == r.Generation
	}
	withTermStart := (*group.Record).Eligible
	for name, rule := range map[string]func(*group.Record, group.Status) bool{"without term start": withoutTermStart, "with term start": withTermStart} {
		sim := newSimulation(4*time.Millisecond, 1)
		sim.naiveEligible = rule
		err := simulate(t, sim, inputs, pauses)
		if name == "with term start" {
			assert.NilError(t, err)
			continue
		}
		assert.ErrorContains(t, err, "is missing from c, the primary of term 3")
	}
}
