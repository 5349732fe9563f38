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

// event is one fault of a generated history.
type event struct {
	at     time.Duration
	kind   string
	server group.ServerID
	lasts  time.Duration
}

var eventKinds = []string{"crash", "dark", "deaf", "stranded", "lag", "leaving", "late orders", "store down", "store loses", "kill host", "busy", "lost answers"}

// drawEvents draws up to six faults in ten seconds.
func drawEvents(t *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			at:     time.Duration(rapid.IntRange(0, 10_000).Draw(t, "at")) * time.Millisecond,
			kind:   rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			server: rapid.SampledFrom([]group.ServerID{"a", "b", "c"}).Draw(t, "server"),
			lasts:  time.Duration(rapid.IntRange(200, 5_000).Draw(t, "lasts")) * time.Millisecond,
		}
	}), 1, 6).Draw(t, "events")
}

// history runs a world with two hosts, callers and faults.
type history struct {
	world *replicated.Cluster
	parts parts

	mu    sync.Mutex
	hosts []*entryHost
	all   []*entryHost
	ops   []op
}

// op is one operation of a caller.
type op struct {
	class   string
	id      string // of the write or commit, empty for reads
	started time.Time
	answer  exchange.Answer
}

func (h *history) startHost(id host.ID) {
	e := startHost(h.world, id, h.parts)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts = append(h.hosts, e)
	h.all = append(h.all, e)
}

func (h *history) pick(r *rand.Rand) *entryHost {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts[r.IntN(len(h.hosts))]
}

// apply brings a fault about and ends it.
func (h *history) apply(e event, n int) {
	time.Sleep(e.at)
	s := h.world.Server(e.server)
	switch e.kind {
	case "crash":
		s.Crash()
		time.Sleep(e.lasts)
		s.Start()
	case "dark":
		s.SetUnreachable(true)
		time.Sleep(e.lasts)
		s.SetUnreachable(false)
	case "deaf":
		s.SetReplicationStopped(true)
		time.Sleep(e.lasts)
		s.SetReplicationStopped(false)
	case "stranded":
		s.SetIsolatedFromServers(true)
		time.Sleep(e.lasts)
		s.SetIsolatedFromServers(false)
	case "lag":
		s.SetApplyDelay(e.lasts / 2)
		time.Sleep(e.lasts)
		s.SetApplyDelay(0)
	case "leaving":
		s.SetLeaving(true)
		time.Sleep(e.lasts)
		s.SetLeaving(false)
	case "late orders":
		h.world.LosePromotionAnswers(e.lasts * 2)
		time.Sleep(e.lasts)
		h.world.LosePromotionAnswers(0)
	case "store down":
		h.world.SetStoreFaults(true, false)
		time.Sleep(e.lasts)
		h.world.SetStoreFaults(false, false)
	case "store loses":
		h.world.SetStoreFaults(false, true)
		time.Sleep(e.lasts)
		h.world.SetStoreFaults(false, false)
	case "busy":
		s.SetBusy(true)
		time.Sleep(e.lasts)
		s.SetBusy(false)
	case "lost answers":
		s.LoseAnswers(5)
	case "kill host":
		h.killHost(n, e.lasts)
	}
}

func (h *history) killHost(n int, lasts time.Duration) {
	h.mu.Lock()
	if len(h.hosts) < 2 {
		h.mu.Unlock()
		return
	}
	killed := h.hosts[0]
	h.hosts = h.hosts[1:]
	h.mu.Unlock()
	killed.cancel()
	time.Sleep(lasts)
	h.startHost(host.ID(fmt.Sprint("replacement-", n)))
}

// call runs operations of one caller until the end.
func (h *history) call(session int, until time.Time) {
	r := rand.New(rand.NewPCG(uint64(session), 7))
	for n := 0; time.Now().Before(until); n++ {
		class := []string{currentDB, agedDB, ownDB}[r.IntN(3)]
		s, failure := h.pick(r).proxy.Open(context.Background(), class)
		if failure != nil {
			continue
		}
		own := fmt.Sprintf("%d-%d", session, n)
		for k := range 1 + r.IntN(4) {
			h.operate(r, s, class, fmt.Sprintf("%s-%d", own, k))
		}
		s.Close()
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
}

type executor interface {
	Execute(context.Context, exchange.Statement) exchange.Answer
	InTransaction() bool
}

func (h *history) operate(r *rand.Rand, s executor, class, id string) {
	ctx := context.Background()
	o := op{class: class, started: time.Now()}
	switch k := r.IntN(10); {
	case k < 6:
		o.answer = s.Execute(ctx, read(id))
	case k < 8 && class != agedDB:
		o.id = id
		o.answer = s.Execute(ctx, write(id))
	default:
		h.transact(ctx, r, s, id, &o)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, o)
}

func (h *history) transact(ctx context.Context, r *rand.Rand, s executor, id string, o *op) {
	s.Execute(ctx, operation(exchange.Begin, id+"b"))
	o.id = id + "c"
	for k := range 1 + r.IntN(3) {
		time.Sleep(time.Duration(r.IntN(10)) * time.Millisecond)
		o.answer = s.Execute(ctx, write(fmt.Sprint(id, "w", k)))
		if o.answer.Failure != nil {
			// A COMMIT after a busy first write would succeed without a write.
			s.Execute(ctx, operation(exchange.Rollback, id+"r"))
			return
		}
	}
	o.answer = s.Execute(ctx, operation(exchange.Commit, o.id))
}

// run plays the history.
func (h *history) run(events []event) {
	h.startHost("h1")
	h.startHost("h2")
	time.Sleep(3 * time.Second)
	until := time.Now().Add(20 * time.Second)
	var wait sync.WaitGroup
	for n, e := range events {
		wait.Go(func() { h.apply(e, n) })
	}
	for session := range 4 {
		wait.Go(func() { h.call(session, until) })
	}
	wait.Wait()
	// Late orders are carried out.
	time.Sleep(15 * time.Second)
}

// check returns the broken promises of the history.
func (h *history) check() []string {
	broken := h.world.Violations()
	log := h.world.PrimaryLog()
	runs := map[string]replicated.Execution{}
	for _, run := range h.world.Executions() {
		runs[run.Digest] = run
	}
	for _, o := range h.ops {
		if o.id != "" {
			broken = append(broken, checkWrite(o, log)...)
			continue
		}
		if o.answer.Failure != nil {
			continue
		}
		run, ok := runs[o.answer.Digest]
		if !ok {
			broken = append(broken, "a read succeeded without a run")
			continue
		}
		broken = append(broken, h.checkRead(o, run)...)
	}
	return broken
}

// checkWrite holds the outcome of a write against the final log.
func checkWrite(o op, log []string) (broken []string) {
	count := 0
	for _, id := range log {
		if id == o.id {
			count++
		}
	}
	switch {
	case count > 1:
		broken = append(broken, fmt.Sprintf("write %s took effect %d times", o.id, count))
	case o.answer.Failure == nil && count == 0:
		broken = append(broken, fmt.Sprintf("acknowledged write %s is lost", o.id))
	case o.answer.Failure != nil && o.answer.Failure.Code != exchange.InDoubt && o.answer.Failure.Code != exchange.ExecutionFailed && count == 1:
		broken = append(broken, fmt.Sprintf("write %s took effect although it was refused: %v", o.id, o.answer.Failure))
	}
	return broken
}

// checkRead holds what a read saw against what its class has to see.
func (h *history) checkRead(o op, run replicated.Execution) (broken []string) {
	seen := map[string]bool{}
	for _, id := range run.Log {
		seen[id] = true
	}
	for _, c := range h.world.Acknowledged() {
		required := false
		switch o.class {
		case currentDB:
			required = c.At.Before(o.started)
		default:
			required = c.At.Before(o.started.Add(-maxAge))
		}
		if required && !seen[c.ID] {
			broken = append(broken, fmt.Sprintf("%s read on %s misses %s, acknowledged %v before", o.class, run.Server, c.ID, o.started.Sub(c.At)))
		}
	}
	return broken
}

// play runs a history in a bubble of its own.
func play(t *testing.T, events []event, p parts) (broken []string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		h := &history{world: replicated.New(), parts: p}
		h.run(events)
		broken = h.check()
		stop(h.world, h.all...)
	})
	return broken
}

// Whatever fails, no acknowledged commit is lost, no write runs twice or after
// a refusal, no read misses what its class has to see, and no two hosts order
// promotions by turns.
func TestPromisesUnderGeneratedFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := drawEvents(rt)
		if broken := play(t, events, parts{}); len(broken) > 0 {
			rt.Fatalf("%d broken promises with %+v:\n%s", len(broken), events, broken[0])
		}
	})
}

// noSuspension answers SUSPEND without stopping the server from receiving.
type noSuspension struct{ takeover.ServerClient }

func (m noSuspension) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	if statement.Operation == exchange.Suspend {
		statement = exchange.Statement{Operation: exchange.Status}
	}
	return m.ServerClient.Command(ctx, s, statement)
}

// firstReplica makes all positions look alike, so that the first replica that
// answers is promoted.
type firstReplica struct{ takeover.ServerClient }

func (m firstReplica) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	status, err := m.ServerClient.Command(ctx, s, statement)
	if statement.Operation == exchange.Suspend {
		status.ReceivedPosition = group.Position{Term: 1}
	}
	return status, err
}

// sameNumber hands the same number to every attempt.
type sameNumber struct{ takeover.RecordStore }

func (m sameNumber) Load(context.Context, group.ID) (takeover.Record, error) {
	return takeover.Record{}, nil
}

func (m sameNumber) Store(_ context.Context, _ group.ID, r takeover.Record) (takeover.Record, error) {
	return r, nil
}

// The checks of the histories must notice each of these mistakes.
func TestMutantsBreakPromises(t *testing.T) {
	mutants := map[string]struct {
		parts  parts
		events []event
	}{
		"first replica that answers": {
			parts: parts{databases: func(d takeover.ServerClient) takeover.ServerClient { return firstReplica{d} }},
			events: []event{
				{at: time.Second, kind: "deaf", server: "b", lasts: 5 * time.Second},
				{at: 3 * time.Second, kind: "crash", server: "a", lasts: 4 * time.Second},
			},
		},
		"same number twice": {
			parts:  parts{ledger: func(l takeover.RecordStore) takeover.RecordStore { return sameNumber{l} }},
			events: []event{{at: time.Second, kind: "crash", server: "a", lasts: 5 * time.Second}},
		},
	}
	for name, m := range mutants {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, len(play(t, m.events, m.parts)) > 0, "the mutant was not noticed")
			assert.Equal(t, len(play(t, m.events, parts{})), 0)
		})
	}
	t.Run("no stop of receiving", func(t *testing.T) {
		mutant := func(d takeover.ServerClient) takeover.ServerClient { return noSuspension{d} }
		assert.Assert(t, len(playAttemptBesidePrimary(t, mutant)) > 0, "the mutant was not noticed")
		sound := func(d takeover.ServerClient) takeover.ServerClient { return d }
		assert.Equal(t, len(playAttemptBesidePrimary(t, sound)), 0)
	})
}

// deafened cuts replica b off from the primary right after it was to stop
// receiving.
type deafened struct {
	takeover.ServerClient
	world *replicated.Cluster
}

func (m deafened) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	status, err := m.ServerClient.Command(ctx, s, statement)
	if statement.Operation == exchange.Suspend && s.ID == "b" {
		m.world.Server("b").SetReplicationStopped(true)
		time.AfterFunc(time.Second, func() { m.world.Server("b").SetReplicationStopped(false) })
	}
	return status, err
}

// playAttemptBesidePrimary attempts a change while the primary goes on
// acknowledging, because the host takes it for gone.
func playAttemptBesidePrimary(t *testing.T, wrap func(takeover.ServerClient) takeover.ServerClient) (broken []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := replicated.New()
		h := startHost(world, "h1", parts{})
		h.settled(t)
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
		databases := deafened{wrap(h.registry), world}
		runner := &takeover.Runner{Self: "h2", Client: databases, Records: world, ServerLister: world, Promotions: world, NewUpdateID: func() string { return "x" }}
		world.Server("a").SetUnlisted(true)
		_, err := runner.Run(context.Background(), takeover.Request{Group: replicated.Group, Cause: takeover.PrimaryGone, Members: world.ServerEntries()})
		wait.Wait()
		broken = world.Violations()
		if err != nil && len(broken) == 0 {
			t.Logf("attempt: %v", err)
		}
		stop(world, h)
	})
	return broken
}
