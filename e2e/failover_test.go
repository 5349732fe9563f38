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

// result is what a replayed trace left.
type result struct {
	w     *workload
	began time.Time
	// primary and term are those of the record before the faults were healed.
	primary string
	term    int
	// violations were found after the faults were healed.
	violations []histories.Violation
}

// replay runs a trace against a deployment under load, heals all faults, and
// compares the rows that are left with what callers were told.
func replay(t *testing.T, tr trace, adjust ...func(*workload)) (r result, err error) {
	defer advancing(t, time.Minute)()
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
		r.w = newWorkload(c, v)
		for _, f := range adjust {
			f(r.w)
		}
		err = r.run(t.Context(), tr)
	})
	if err == nil && r.w.swaps.Linearizable(5*time.Second) == porcupine.Illegal {
		r.violations = append(r.violations, histories.Violation{Invariant: histories.AcknowledgedWritesAreDurable, Detail: "the swaps of a register are not linearizable"})
	}
	return r, err
}

func (r *result) run(ctx context.Context, tr trace) error {
	w := r.w
	defer w.close()
	if err := w.c.Ready(ctx); err != nil {
		return err
	}
	if err := w.prepare(ctx); err != nil {
		return err
	}
	f := &faults{c: w.c, v: w.v, dead: map[group.ServerID]bool{}}
	load, stop := context.WithCancel(ctx)
	defer stop()
	r.began = time.Now()
	finished := make(chan struct{})
	go func() { defer close(finished); w.run(load) }()
	for _, step := range tr.steps {
		time.Sleep(time.Until(r.began.Add(step.at)))
		if err := f.apply(step.words); err != nil {
			return fmt.Errorf("%s: %w", step.words, err)
		}
	}
	time.Sleep(time.Until(r.began.Add(tr.end)))
	record, err := w.c.Record()
	if err != nil {
		return err
	}
	r.primary, r.term = string(record.Primary), int(record.Term)
	stop()
	if err := f.heal(); err != nil {
		return err
	}
	<-finished
	return r.compare(ctx)
}

// settleTime is the time that the deployment has to serve again once all
// faults are healed.
const settleTime = 30 * time.Second

func (r *result) compare(ctx context.Context) (err error) {
	deadline := time.Now().Add(settleTime)
	var rows map[histories.Value]int
	for {
		time.Sleep(time.Second)
		if rows, err = r.w.rows(ctx, r.w.c.Hosts[0]); err == nil {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("no read after all faults were healed: %w", err)
		}
	}
	if os.Getenv("E2E_SLOW") != "" {
		for _, w := range r.w.history.Writes() {
			if w.End.Sub(w.Start) > 300*time.Millisecond {
				fmt.Println(w.Start.Sub(r.began), w.End.Sub(r.began), w)
			}
		}
	}
	r.violations = histories.Check(&r.w.history, rows)
	return nil
}

// meets checks an expectation of a trace.
func (r *result) meets(words []string) error {
	verb, args := words[0], words[1:]
	switch verb {
	case "gap": // gap <bound> after <time> [except <hosts>]
		args, except := split(args, "except")
		return r.gap(duration(args[0]), duration(args[2]), except)
	case "stall": // stall <bound> <from> <to>
		stall := r.w.history.LongestStall(r.began.Add(duration(args[1])), r.began.Add(duration(args[2])))
		if stall > duration(args[0]) {
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
	case "none": // none <host> <from> <to>: no write on the host is acknowledged
		return r.none(args[0], r.began.Add(duration(args[1])), r.began.Add(duration(args[2])))
	case "all": // all [<from> <to>]: every write is acknowledged
		return r.all()
	default:
		return fmt.Errorf("unknown expectation %q", verb)
	}
	return nil
}

func duration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		panic(err)
	}
	return d
}

func (r *result) gap(bound, after time.Duration, except []string) error {
	for _, h := range r.w.c.Hosts {
		id := string(h.Self().ID)
		if slices.Contains(except, id) {
			continue
		}
		gap, ok := r.w.history.FailoverGap(r.began.Add(after), id)
		if !ok || gap > bound {
			return fmt.Errorf("writes on %s land again after %s (any: %t)", id, gap, ok)
		}
	}
	return nil
}

func (r *result) none(host string, from, to time.Time) error {
	for _, w := range r.w.history.Writes() {
		if w.Host == host && w.Outcome == histories.Done && !w.Start.Before(from) && w.End.Before(to) {
			return fmt.Errorf("%s acknowledged %s at %s", host, w.Value, w.End.Sub(r.began))
		}
	}
	return nil
}

// all ignores the requests that the workload itself rolls back or cuts.
func (r *result) all() error {
	for _, w := range r.w.history.Writes() {
		if w.Outcome != histories.Done && w.Code != errRolledBack.Error() && w.Code != "connection" {
			return fmt.Errorf("%s failed with %s at %s", w.Value, w.Code, w.End.Sub(r.began))
		}
	}
	return nil
}

// Guards against lost, repeated, mixed or wrongly reported writes and against
// gaps above the bound, in each fixed case of testdata/failover.
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
			t.Logf("answers: %v; primary %s, term %d", r.w.history.Codes(), r.primary, r.term)
			for _, v := range r.violations {
				t.Error(v)
			}
			for _, words := range tr.expect {
				if err := r.meets(words); err != nil {
					t.Errorf("expect %s: %v", strings.Join(words, " "), err)
				}
			}
		})
	}
}
