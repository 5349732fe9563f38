package e2e_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/e2e/cluster"
	"basilmill/e2e/histories"
)

// replayResult is the result of a replayed trace.
type replayResult struct {
	workload *workload
	started  time.Time
	// primary and term are those of the group's record at the end of the trace, before
	// all faults were healed.
	primary string
	term    int
	// violations are the invariants found violated after all faults were healed.
	violations []histories.Violation
}

// replay runs a trace against a deployment under load, heals all faults, and compares
// the remaining rows with the answers to the callers.
func replay(t *testing.T, tr trace, adjust ...func(*workload)) (r replayResult, err error) {
	defer startClockWatchdog(t, time.Minute)()
	conf := config(t)
	synctest.Test(t, func(t *testing.T) {
		v := cluster.NewVirtualNetwork(cluster.Latencies(4*time.Millisecond, 3*time.Millisecond))
		defer v.Close()
		conf.Network = v
		c, startErr := cluster.Start(t.Context(), conf)
		if startErr != nil {
			err = startErr
			return
		}
		defer c.Close()
		r.workload = newWorkload(c, v)
		for _, f := range adjust {
			f(r.workload)
		}
		err = r.run(t.Context(), tr)
	})
	if err == nil && r.workload.swaps.Linearizable(5*time.Second) == porcupine.Illegal {
		r.violations = append(r.violations, histories.Violation{Invariant: histories.AcknowledgedWritesAreDurable, Detail: "the swaps of a register are not linearizable"})
	}
	return r, err
}

func (r *replayResult) run(ctx context.Context, tr trace) error {
	w := r.workload
	defer w.close()
	if err := w.cluster.Ready(ctx); err != nil {
		return err
	}
	if err := w.prepare(ctx); err != nil {
		return err
	}
	f := &traceInjector{cluster: w.cluster, network: w.network, killedServers: map[group.ServerID]bool{}}
	load, stop := context.WithCancel(ctx)
	defer stop()
	r.started = time.Now()
	finished := make(chan struct{})
	go func() { defer close(finished); w.run(load) }()
	for _, step := range tr.steps {
		time.Sleep(time.Until(r.started.Add(step.at)))
		if err := f.apply(step.words); err != nil {
			return fmt.Errorf("%s: %w", step.words, err)
		}
	}
	time.Sleep(time.Until(r.started.Add(tr.end)))
	record, err := w.cluster.Record()
	if err != nil {
		return err
	}
	r.primary, r.term = string(record.Primary), int(record.Term)
	stop()
	if err := f.heal(); err != nil {
		return err
	}
	<-finished
	return r.compareRows(ctx)
}

// recoveryTimeout is the time in which the deployment must serve requests again after
// all faults were healed.
const recoveryTimeout = 30 * time.Second

func (r *replayResult) compareRows(ctx context.Context) (err error) {
	deadline := time.Now().Add(recoveryTimeout)
	var rows map[histories.Value]int
	for {
		time.Sleep(time.Second)
		if rows, err = r.workload.countRows(ctx, r.workload.cluster.Hosts[0]); err == nil {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("no read after all faults were healed: %w", err)
		}
	}
	if os.Getenv("E2E_SLOW") != "" {
		for _, w := range r.workload.history.Writes() {
			if w.End.Sub(w.Start) > 300*time.Millisecond {
				fmt.Println(w.Start.Sub(r.started), w.End.Sub(r.started), w)
			}
		}
	}
	r.violations = histories.Check(&r.workload.history, rows)
	return nil
}

// checkExpectation checks one "expect" line of a trace.
func (r *replayResult) checkExpectation(words []string) error {
	verb, args := words[0], words[1:]
	switch verb {
	case "gap": // gap <bound> after <time> [except <hosts>]
		args, except := splitAt(args, "except")
		return r.checkGap(mustDuration(args[0]), mustDuration(args[2]), except)
	case "stall": // stall <bound> <from> <to>
		stall := r.workload.history.LongestStall(r.started.Add(mustDuration(args[1])), r.started.Add(mustDuration(args[2])))
		if stall > mustDuration(args[0]) {
			return fmt.Errorf("no write landed for %s", stall)
		}
	case "primary":
		if r.primary != args[0] {
			return fmt.Errorf("the primary is %s", r.primary)
		}
	case "term":
		if fmt.Sprint(r.term) != args[0] {
			return fmt.Errorf("the term is %d", r.term)
		}
	case "none": // none <host> <from> <to>: no write through the host succeeds
		return r.checkNone(args[0], r.started.Add(mustDuration(args[1])), r.started.Add(mustDuration(args[2])))
	case "all": // all: every write succeeds
		return r.checkAll()
	default:
		return fmt.Errorf("unknown expectation %q", verb)
	}
	return nil
}

func mustDuration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		panic(err)
	}
	return d
}

func (r *replayResult) checkGap(bound, after time.Duration, except []string) error {
	for _, h := range r.workload.cluster.Hosts {
		id := string(h.Self().ID)
		if slices.Contains(except, id) {
			continue
		}
		gap, ok := r.workload.history.FailoverGap(r.started.Add(after), id)
		if !ok || gap > bound {
			return fmt.Errorf("writes on %s land again after %s (any: %t)", id, gap, ok)
		}
	}
	return nil
}

func (r *replayResult) checkNone(host string, from, to time.Time) error {
	for _, w := range r.workload.history.Writes() {
		if w.Host == host && w.Outcome == histories.Done && !w.Start.Before(from) && w.End.Before(to) {
			return fmt.Errorf("%s acknowledged %s at %s", host, w.Value, w.End.Sub(r.started))
		}
	}
	return nil
}

// checkAll ignores the requests that the workload itself rolls back or cancels.
func (r *replayResult) checkAll() error {
	for _, w := range r.workload.history.Writes() {
		if w.Outcome != histories.Done && w.Code != errRolledBack.Error() && w.Code != "connection" {
			return fmt.Errorf("%s failed with %s at %s", w.Value, w.Code, w.End.Sub(r.started))
		}
	}
	return nil
}

// Guards against lost, repeated, mixed or wrongly answered writes, and against
// failover gaps above the bound, in each trace of testdata/failover.
func TestFailoverTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/failover/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			t.Parallel()
			archive, err := txtar.ParseFile(file)
			assert.NilError(t, err)
			tr, err := parseTrace(string(archive.Files[0].Data))
			assert.NilError(t, err)
			r, err := replay(t, tr)
			assert.NilError(t, err)
			t.Logf("answers: %v; primary %s, term %d", r.workload.history.Codes(), r.primary, r.term)
			for _, v := range r.violations {
				t.Error(v)
			}
			for _, words := range tr.expect {
				if err := r.checkExpectation(words); err != nil {
					t.Errorf("expect %s: %v", strings.Join(words, " "), err)
				}
			}
		})
	}
}
