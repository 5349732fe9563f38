package replicated_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/takeover"
	"basilmill/standin/replicated"
)

// fault is one fault of a generated history.
type fault struct {
	at       time.Duration
	kind     string
	server   group.ServerID
	duration time.Duration
}

var faultKinds = []string{"crash", "unreachable", "replication stopped", "isolated from servers", "apply delay", "leaving", "late orders", "store down", "store loses answers", "kill host", "busy", "lost answers", "store restored"}

// drawFaults draws one to six faults that start within ten seconds.
func drawFaults(t *rapid.T) []fault {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) fault {
		return fault{
			at:       time.Duration(rapid.IntRange(0, 10_000).Draw(t, "at")) * time.Millisecond,
			kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			server:   rapid.SampledFrom([]group.ServerID{"a", "b", "c"}).Draw(t, "server"),
			duration: time.Duration(rapid.IntRange(200, 5_000).Draw(t, "duration")) * time.Millisecond,
		}
	}), 1, 6).Draw(t, "faults")
}

// history runs two entry hosts on a cluster under concurrent sessions and faults,
// and records the operations of the sessions.
type history struct {
	cluster *replicated.Cluster
	options hostOptions

	mu         sync.Mutex
	liveHosts  []*entryHost
	allHosts   []*entryHost
	operations []clientOperation
}

// clientOperation is one statement or transaction of a session, with its answer.
type clientOperation struct {
	database string
	id       string // ID of the write or commit, empty for reads
	started  time.Time
	answer   exchange.Answer
}

func (h *history) startHost(id host.ID) {
	e := startHost(h.cluster, id, h.options)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.liveHosts = append(h.liveHosts, e)
	h.allHosts = append(h.allHosts, e)
}

func (h *history) pickHost(r *rand.Rand) *entryHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.liveHosts[r.IntN(len(h.liveHosts))]
}

// injectFault waits until the fault is due, injects it, and removes it after its
// duration.
func (h *history) injectFault(f fault, number int) {
	time.Sleep(f.at)
	s := h.cluster.Server(f.server)
	if s == nil {
		// The server has ended.
		return
	}
	switch f.kind {
	case "crash":
		s.Crash()
		time.Sleep(f.duration)
		s.Start()
	case "unreachable":
		s.SetUnreachable(true)
		time.Sleep(f.duration)
		s.SetUnreachable(false)
	case "replication stopped":
		s.SetReplicationStopped(true)
		time.Sleep(f.duration)
		s.SetReplicationStopped(false)
	case "isolated from servers":
		s.SetIsolatedFromServers(true)
		time.Sleep(f.duration)
		s.SetIsolatedFromServers(false)
	case "apply delay":
		s.SetApplyDelay(f.duration / 2)
		time.Sleep(f.duration)
		s.SetApplyDelay(0)
	case "leaving":
		s.SetLeaving(true)
		time.Sleep(f.duration)
		s.SetLeaving(false)
	case "late orders":
		h.cluster.LosePromotionAnswers(f.duration * 2)
		time.Sleep(f.duration)
		h.cluster.LosePromotionAnswers(0)
	case "store down":
		h.cluster.SetStoreFaults(true, false)
		time.Sleep(f.duration)
		h.cluster.SetStoreFaults(false, false)
	case "store loses answers":
		h.cluster.SetStoreFaults(false, true)
		time.Sleep(f.duration)
		h.cluster.SetStoreFaults(false, false)
	case "store restored":
		from := h.cluster.CopyStore()
		time.Sleep(f.duration)
		h.cluster.RestoreStore(from)
	case "busy":
		s.SetBusy(true)
		time.Sleep(f.duration)
		s.SetBusy(false)
	case "lost answers":
		s.LoseAnswers(5)
	case "kill host":
		h.killHost(number, f.duration)
	}
}

func (h *history) killHost(number int, downtime time.Duration) {
	h.mu.Lock()
	if len(h.liveHosts) < 2 {
		h.mu.Unlock()
		return
	}
	killed := h.liveHosts[0]
	h.liveHosts = h.liveHosts[1:]
	h.mu.Unlock()
	killed.cancel()
	time.Sleep(downtime)
	h.startHost(host.ID(fmt.Sprint("replacement-", number)))
}

// runSession opens sessions one after the other and runs random operations in them
// until the given time.
func (h *history) runSession(session int, until time.Time) {
	r := rand.New(rand.NewPCG(uint64(session), 7))
	for n := 0; time.Now().Before(until); n++ {
		database := []string{currentDB, boundedAgeDB, ownWritesDB}[r.IntN(3)]
		s, failure := h.pickHost(r).proxy.Open(context.Background(), database)
		if failure != nil {
			continue
		}
		prefix := fmt.Sprintf("%d-%d", session, n)
		for k := range 1 + r.IntN(4) {
			h.runOperation(r, s, database, fmt.Sprintf("%s-%d", prefix, k))
		}
		s.Close()
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
}

type statementExecutor interface {
	Execute(context.Context, exchange.Statement) exchange.Answer
	InTransaction() bool
}

func (h *history) runOperation(r *rand.Rand, s statementExecutor, database, id string) {
	ctx := context.Background()
	o := clientOperation{database: database, started: time.Now()}
	switch k := r.IntN(10); {
	case k < 6:
		o.answer = s.Execute(ctx, read(id))
	case k < 8 && database != boundedAgeDB:
		o.id = id
		o.answer = s.Execute(ctx, write(id))
	default:
		h.runTransaction(ctx, r, s, id, &o)
	}
	if o.id != "" && o.answer.Failure == nil {
		h.cluster.NoteSuccess(o.id)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, o)
}

func (h *history) runTransaction(ctx context.Context, r *rand.Rand, s statementExecutor, id string, o *clientOperation) {
	s.Execute(ctx, operation(exchange.Begin, id+"b"))
	o.id = id + "c"
	for k := range 1 + r.IntN(3) {
		time.Sleep(time.Duration(r.IntN(10)) * time.Millisecond)
		o.answer = s.Execute(ctx, write(fmt.Sprint(id, "w", k)))
		if o.answer.Failure != nil {
			// If the first write was refused as busy, a COMMIT would succeed
			// without a write.
			s.Execute(ctx, operation(exchange.Rollback, id+"r"))
			return
		}
	}
	o.answer = s.Execute(ctx, operation(exchange.Commit, o.id))
}

// run starts the hosts and runs the faults and the sessions.
func (h *history) run(faults []fault) {
	h.cluster.JudgeSuccesses = true
	h.startHost("h1")
	h.startHost("h2")
	time.Sleep(3 * time.Second)
	until := time.Now().Add(20 * time.Second)
	var wait sync.WaitGroup
	for n, f := range faults {
		wait.Go(func() { h.injectFault(f, n) })
	}
	for session := range 4 {
		wait.Go(func() { h.runSession(session, until) })
	}
	wait.Wait()
	// Waits until delayed promotions have been executed.
	time.Sleep(15 * time.Second)
}

// findViolations checks the recorded operations against the final log and the
// statements that the servers executed.
func (h *history) findViolations() []string {
	violations := h.cluster.Violations()
	log := h.cluster.PrimaryLog()
	executions := map[string]replicated.Execution{}
	for _, execution := range h.cluster.Executions() {
		executions[execution.Digest] = execution
	}
	for _, o := range h.operations {
		if o.id != "" {
			violations = append(violations, checkWrite(o, log)...)
			continue
		}
		if o.answer.Failure != nil {
			continue
		}
		execution, ok := executions[o.answer.Digest]
		if !ok {
			violations = append(violations, "a read succeeded, but no server executed it")
			continue
		}
		violations = append(violations, h.checkRead(o, execution)...)
	}
	return violations
}

// checkWrite compares the answer to a write with the final log.
func checkWrite(o clientOperation, log []string) (violations []string) {
	count := 0
	for _, id := range log {
		if id == o.id {
			count++
		}
	}
	switch {
	case count > 1:
		violations = append(violations, fmt.Sprintf("write %s took effect %d times", o.id, count))
	case o.answer.Failure == nil && count == 0:
		violations = append(violations, fmt.Sprintf("acknowledged write %s is lost", o.id))
	case o.answer.Failure != nil && o.answer.Failure.Code != exchange.InDoubt && o.answer.Failure.Code != exchange.ExecutionFailed && count == 1:
		violations = append(violations, fmt.Sprintf("write %s took effect although it was refused: %v", o.id, o.answer.Failure))
	}
	return violations
}

// checkRead checks that a read saw every commit that its route's consistency
// requires.
func (h *history) checkRead(o clientOperation, execution replicated.Execution) (violations []string) {
	seen := map[string]bool{}
	for _, id := range execution.Log {
		seen[id] = true
	}
	for _, c := range h.cluster.Acknowledged() {
		required := false
		switch o.database {
		case currentDB:
			required = c.At.Before(o.started)
		default:
			required = c.At.Before(o.started.Add(-maxAge))
		}
		if required && !seen[c.ID] {
			violations = append(violations, fmt.Sprintf("%s read on %s misses %s, acknowledged %v before", o.database, execution.Server, c.ID, o.started.Sub(c.At)))
		}
	}
	return violations
}

// runHistory runs a history in a synctest bubble of its own.
func runHistory(t *testing.T, faults []fault, options hostOptions) (violations []string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		h := &history{cluster: replicated.New(), options: options}
		h.run(faults)
		violations = h.findViolations()
		stop(h.cluster, h.allHosts...)
	})
	return violations
}

// Guards, under generated faults, against acknowledged commits that are lost,
// writes that run twice or after a refusal, reads that miss a commit which their
// route requires, and hosts that order promotions alternately.
func TestPromisesUnderGeneratedFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		faults := drawFaults(rt)
		if violations := runHistory(t, faults, hostOptions{}); len(violations) > 0 {
			rt.Fatalf("%d violations with %+v:\n%s", len(violations), faults, violations[0])
		}
	})
}

// ignoredSuspension answers Suspend without suspending the replica, and states that it is
// suspended.
type ignoredSuspension struct{ takeover.ServerClient }

func (m ignoredSuspension) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	if statement.Operation != exchange.Suspend {
		return m.ServerClient.Command(ctx, s, statement)
	}
	status, err := m.ServerClient.Command(ctx, s, exchange.Statement{Operation: exchange.Status})
	status.SuspendedTerm = statement.Term
	return status, err
}

// equalPositions reports the same received position for all replicas, before and after
// they are suspended, so that the first one that answers is promoted.
type equalPositions struct{ takeover.ServerClient }

func (m equalPositions) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	status, err := m.ServerClient.Command(ctx, s, statement)
	if statement.Operation == exchange.Suspend || statement.Operation == exchange.Status {
		status.ReceivedPosition = group.Position{Term: 1}
	}
	return status, err
}

// missingRecord never returns a stored record, so that all attempts get the same
// epoch.
type missingRecord struct{ takeover.RecordStore }

func (m missingRecord) Load(context.Context, group.ID) (takeover.Record, error) {
	return takeover.Record{}, nil
}

func (m missingRecord) LoadStale(context.Context, group.ID) (takeover.Record, error) {
	return takeover.Record{}, nil
}

func (m missingRecord) Store(_ context.Context, _ group.ID, r takeover.Record) (takeover.Record, error) {
	return r, nil
}

// Guards against checks that miss violations: each mutant must lead to one, and
// the same faults without the mutant must not.
func TestMutantsBreakPromises(t *testing.T) {
	mutants := map[string]struct {
		options hostOptions
		faults  []fault
	}{
		"first replica that answers": {
			options: hostOptions{wrapClient: func(d takeover.ServerClient) takeover.ServerClient { return equalPositions{d} }},
			faults: []fault{
				{at: time.Second, kind: "replication stopped", server: "b", duration: 5 * time.Second},
				{at: 3 * time.Second, kind: "crash", server: "a", duration: 4 * time.Second},
			},
		},
		"same number twice": {
			options: hostOptions{wrapRecords: func(l takeover.RecordStore) takeover.RecordStore { return missingRecord{l} }},
			faults:  []fault{{at: time.Second, kind: "crash", server: "a", duration: 5 * time.Second}},
		},
	}
	for name, m := range mutants {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, len(runHistory(t, m.faults, m.options)) > 0, "the checks did not detect the mutant")
			assert.Equal(t, len(runHistory(t, m.faults, hostOptions{})), 0)
		})
	}
	t.Run("no stop of receiving", func(t *testing.T) {
		mutant := func(d takeover.ServerClient) takeover.ServerClient { return ignoredSuspension{d} }
		assert.Assert(t, len(runChangeBesideActivePrimary(t, mutant)) > 0, "the checks did not detect the mutant")
		unchanged := func(d takeover.ServerClient) takeover.ServerClient { return d }
		assert.Equal(t, len(runChangeBesideActivePrimary(t, unchanged)), 0)
	})
}

// stoppedReplication stops the replication to server b for a second right after b
// was told to suspend.
type stoppedReplication struct {
	takeover.ServerClient
	cluster *replicated.Cluster
}

func (m stoppedReplication) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	status, err := m.ServerClient.Command(ctx, s, statement)
	if statement.Operation == exchange.Suspend && s.ID == "b" {
		m.cluster.Server("b").SetReplicationStopped(true)
		time.AfterFunc(time.Second, func() { m.cluster.Server("b").SetReplicationStopped(false) })
	}
	return status, err
}

// runChangeBesideActivePrimary attempts a change of primary while the primary still
// acknowledges commits, because the host considers it gone.
func runChangeBesideActivePrimary(t *testing.T, wrap func(takeover.ServerClient) takeover.ServerClient) (violations []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		h := startHost(cluster, "h1", hostOptions{})
		h.awaitSettled(t)
		until := time.Now().Add(3 * time.Second)
		var wait sync.WaitGroup
		for i := range 4 {
			wait.Go(func() {
				s := h.open(t, currentDB)
				for n := 0; time.Now().Before(until); n++ {
					s.Execute(context.Background(), write(fmt.Sprintf("%d-%d", i, n)))
				}
			})
		}
		time.Sleep(time.Second)
		client := stoppedReplication{wrap(h.commander), cluster}
		runner := &takeover.Runner{Self: "h2", Client: client, Records: cluster, ServerLister: cluster, Promotions: cluster, NewUpdateID: func() string { return "x" }}
		cluster.Server("a").SetUnlisted(true)
		_, err := runner.Run(context.Background(), takeover.Request{Group: replicated.Group, Cause: takeover.PrimaryGone, Members: cluster.ServerEntries()})
		wait.Wait()
		violations = cluster.Violations()
		if err != nil && len(violations) == 0 {
			t.Logf("attempt: %v", err)
		}
		stop(cluster, h)
	})
	return violations
}
