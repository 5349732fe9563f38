package replicated_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/standin/replicated"
)

const (
	// calmDuration is the time from the first write to the start of the steps.
	calmDuration = 500 * time.Millisecond
	// changesDuration is the time from the start of the steps during which writes are
	// made. All steps have ended by then.
	changesDuration = 7 * time.Second
	// lateOrderWait exceeds the longest delay of a promotion that is carried out late.
	lateOrderWait = 3200 * time.Millisecond
	// changesWriteInterval is the pause between two writes of a session.
	changesWriteInterval = 60 * time.Millisecond
	// confirmingRuns is how often a schedule is run once one has failed. The hosts draw
	// random delays, so that a schedule may fail in some runs only.
	confirmingRuns = 8
	// recordedRuns is how often a recorded schedule is run.
	recordedRuns = 3
)

// ms is a number of milliseconds.
type ms int

func (d ms) duration() time.Duration { return time.Duration(d) * time.Millisecond }

// schedule is a generated history of faults and changes of the group.
type schedule struct {
	hosts          int
	promotionDelay ms
	steps          []step
}

// String returns the schedule as a Go literal.
func (s schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "schedule{hosts: %d, promotionDelay: %d, steps: []step{\n", s.hosts, s.promotionDelay)
	for _, step := range s.steps {
		literal := strings.ReplaceAll(fmt.Sprintf("%#v", step), "replicated_test.", "")
		fmt.Fprintf(&b, "\t%s,\n", literal)
	}
	b.WriteString("}}")
	return b.String()
}

// step is a fault or a change of the group. The field at of each is the time from the
// start of the steps.
type step interface {
	// run waits until the step is due, begins it and ends it again.
	run(r *changesRun)
}

// hostCut cuts a host off from servers, and from the store if store is set.
type hostCut struct {
	at, lasts ms
	host      int
	servers   []group.ServerID
	store     bool
}

func (s hostCut) run(r *changesRun) {
	time.Sleep(s.at.duration())
	end := r.cut(s.host, s.servers, s.store)
	time.Sleep(s.lasts.duration())
	end()
}

// serverCut cuts two servers off from each other.
type serverCut struct {
	at, lasts   ms
	server, and group.ServerID
}

func (s serverCut) run(r *changesRun) {
	time.Sleep(s.at.duration())
	reconnect := r.cluster.SeparateServers(s.server, s.and)
	time.Sleep(s.lasts.duration())
	reconnect()
}

// split cuts a server off from the other servers that exist, and from the hosts except
// those beside it. These are cut off from the other servers, and from the store if store
// is set.
type split struct {
	at, lasts ms
	server    group.ServerID
	beside    []int
	store     bool
}

func (s split) run(r *changesRun) {
	time.Sleep(s.at.duration())
	var others []group.ServerID
	var ends []func()
	for _, e := range r.cluster.ServerEntries() {
		if e.ID != s.server {
			others = append(others, e.ID)
			ends = append(ends, r.cluster.SeparateServers(s.server, e.ID))
		}
	}
	for h := range r.hosts {
		if slices.Contains(s.beside, h) {
			ends = append(ends, r.cut(h, others, s.store))
		} else {
			ends = append(ends, r.cut(h, []group.ServerID{s.server}, false))
		}
	}
	time.Sleep(s.lasts.duration())
	for _, end := range ends {
		end()
	}
}

// crash stops a server for a time. It keeps its log.
type crash struct {
	at, lasts ms
	server    group.ServerID
}

func (s crash) run(r *changesRun) {
	time.Sleep(s.at.duration())
	server := r.cluster.Server(s.server)
	if server == nil {
		return
	}
	server.Crash()
	time.Sleep(s.lasts.duration())
	server.Start()
}

// rebirth stops a server, which is started under another id after a time, or under its
// own if another server has that one.
type rebirth struct {
	at, lasts ms
	server    group.ServerID
	as        group.ServerID
	listing   ms
}

func (s rebirth) run(r *changesRun) {
	time.Sleep(s.at.duration())
	server := r.cluster.Server(s.server)
	if server == nil {
		return
	}
	server.Crash()
	time.Sleep(s.lasts.duration())
	if r.cluster.Server(s.as) != nil {
		server.Start()
		return
	}
	server.StartAs(s.as, s.listing.duration())
}

// reset stops a server, which starts again after a time without its log.
type reset struct {
	at, lasts ms
	server    group.ServerID
}

func (s reset) run(r *changesRun) {
	time.Sleep(s.at.duration())
	server := r.cluster.Server(s.server)
	if server == nil {
		return
	}
	server.Crash()
	time.Sleep(s.lasts.duration())
	server.StartEmpty()
}

// start starts a new server, which the store lists after a time.
type start struct {
	at      ms
	server  group.ServerID
	listing ms
}

func (s start) run(r *changesRun) {
	time.Sleep(s.at.duration())
	if r.cluster.Server(s.server) == nil {
		r.cluster.StartServer(s.server, s.listing.duration())
	}
}

// leave makes a server report that it leaves. It ends after a time.
type leave struct {
	at, lasts ms
	server    group.ServerID
}

func (s leave) run(r *changesRun) {
	time.Sleep(s.at.duration())
	server := r.cluster.Server(s.server)
	if server == nil {
		return
	}
	server.SetLeaving(true)
	time.Sleep(s.lasts.duration())
	server.End()
}

// unlist removes a server's entry from the store for a time.
type unlist struct {
	at, lasts ms
	server    group.ServerID
}

func (s unlist) run(r *changesRun) {
	time.Sleep(s.at.duration())
	server := r.cluster.Server(s.server)
	if server == nil {
		return
	}
	server.SetUnlisted(true)
	time.Sleep(s.lasts.duration())
	server.SetUnlisted(false)
}

// storeDown cuts all hosts off from the store.
type storeDown struct{ at, lasts ms }

func (s storeDown) run(r *changesRun) {
	time.Sleep(s.at.duration())
	var ends []func()
	for h := range r.hosts {
		ends = append(ends, r.cut(h, nil, true))
	}
	time.Sleep(s.lasts.duration())
	for _, end := range ends {
		end()
	}
}

// storeLosesAnswers makes the store lose the answers to updates that it carries out.
type storeLosesAnswers struct{ at, lasts ms }

func (s storeLosesAnswers) run(r *changesRun) {
	time.Sleep(s.at.duration())
	r.cluster.SetStoreFaults(false, true)
	time.Sleep(s.lasts.duration())
	r.cluster.SetStoreFaults(false, false)
}

// lateUpdates makes the store leave updates unanswered and carry them out after the delay.
type lateUpdates struct{ at, lasts, delay ms }

func (s lateUpdates) run(r *changesRun) {
	time.Sleep(s.at.duration())
	r.cluster.DelayStoreUpdates(s.delay.duration())
	time.Sleep(s.lasts.duration())
	r.cluster.DelayStoreUpdates(0)
}

// lateOrders makes the platform leave orders of promotions unanswered and carry them out
// after the delay.
type lateOrders struct{ at, lasts, delay ms }

func (s lateOrders) run(r *changesRun) {
	time.Sleep(s.at.duration())
	r.cluster.LosePromotionAnswers(s.delay.duration())
	time.Sleep(s.lasts.duration())
	r.cluster.LosePromotionAnswers(0)
}

var (
	_ step = hostCut{}
	_ step = serverCut{}
	_ step = split{}
	_ step = crash{}
	_ step = rebirth{}
	_ step = reset{}
	_ step = start{}
	_ step = leave{}
	_ step = unlist{}
	_ step = storeDown{}
	_ step = storeLosesAnswers{}
	_ step = lateUpdates{}
	_ step = lateOrders{}
)

// The servers that a schedule names. Those of initialServers exist from the start.
var (
	initialServers = []group.ServerID{"a", "b", "c"}
	startedServers = []group.ServerID{"d", "e"}
	rebornServers  = []group.ServerID{"r", "s"}
	allServers     = slices.Concat(initialServers, startedServers, rebornServers)
)

// stepKinds are the kinds of steps that drawStep draws. New servers are drawn more often.
var stepKinds = []string{"start", "start", "crash", "leave", "split", "host cut", "server cut", "rebirth", "reset", "unlist", "store down", "store loses answers", "late updates", "late orders"}

func drawMS(t *rapid.T, label string, least, most int) ms {
	const unit = 50
	return ms(rapid.IntRange(least/unit, most/unit).Draw(t, label) * unit)
}

func drawServer(t *rapid.T, servers []group.ServerID) group.ServerID {
	return rapid.SampledFrom(servers).Draw(t, "server")
}

// drawSubset draws some of the values, in their order.
func drawSubset[T any](t *rapid.T, label string, values []T) (subset []T) {
	for _, v := range values {
		if rapid.Bool().Draw(t, label) {
			subset = append(subset, v)
		}
	}
	return subset
}

// drawStep draws one step. Each ends before changesDuration.
func drawStep(t *rapid.T, hosts int) step {
	at := drawMS(t, "at", 0, 4000)
	lasts := func() ms { return drawMS(t, "lasts", 50, 3000) }
	listing := func() ms { return drawMS(t, "listing", 0, 600) }
	hostNumbers := numbers(hosts)
	switch rapid.SampledFrom(stepKinds).Draw(t, "kind") {
	case "start":
		// An entry may be missing until the end.
		l := rapid.OneOf(rapid.Just(ms(0)), rapid.Custom(func(t *rapid.T) ms { return listing() }), rapid.Just(ms(10_000))).Draw(t, "listed after")
		return start{at, drawServer(t, startedServers), l}
	case "leave":
		return leave{at, drawMS(t, "lasts", 500, 3000), drawServer(t, allServers)}
	case "crash":
		return crash{at, lasts(), drawServer(t, allServers)}
	case "split":
		return split{at, lasts(), drawServer(t, allServers), drawSubset(t, "beside", hostNumbers), rapid.Bool().Draw(t, "store")}
	case "host cut":
		return hostCut{at, lasts(), rapid.SampledFrom(hostNumbers).Draw(t, "host"), drawSubset(t, "servers", allServers), rapid.Bool().Draw(t, "store")}
	case "server cut":
		return serverCut{at, lasts(), drawServer(t, allServers), drawServer(t, allServers)}
	case "rebirth":
		return rebirth{at, lasts(), drawServer(t, initialServers), drawServer(t, rebornServers), listing()}
	case "reset":
		return reset{at, lasts(), drawServer(t, allServers)}
	case "unlist":
		return unlist{at, lasts(), drawServer(t, allServers)}
	case "store down":
		return storeDown{at, lasts()}
	case "store loses answers":
		return storeLosesAnswers{at, lasts()}
	case "late updates":
		return lateUpdates{at, lasts(), drawMS(t, "delay", 100, 2000)}
	default:
		return lateOrders{at, lasts(), drawMS(t, "delay", 100, 2000)}
	}
}

// drawPrimaryFault draws a step by which hosts lose the initial primary.
func drawPrimaryFault(t *rapid.T, hosts int) step {
	at, lasts := drawMS(t, "at", 0, 2500), drawMS(t, "lasts", 50, 3000)
	hostNumbers := numbers(hosts)
	switch rapid.SampledFrom([]string{"crash", "split", "host cut", "rebirth"}).Draw(t, "kind") {
	case "crash":
		return crash{at, lasts, "a"}
	case "split":
		return split{at, lasts, "a", drawSubset(t, "beside", hostNumbers), rapid.Bool().Draw(t, "store")}
	case "host cut":
		return hostCut{at, lasts, rapid.SampledFrom(hostNumbers).Draw(t, "host"), []group.ServerID{"a"}, false}
	default:
		return rebirth{at, lasts, "a", "r", drawMS(t, "listing", 0, 600)}
	}
}

// numbers returns the numbers of the hosts.
func numbers(hosts int) (numbers []int) {
	for h := range hosts {
		numbers = append(numbers, h)
	}
	return numbers
}

// drawSchedule draws a schedule of a fault of the primary and up to seven other steps.
func drawSchedule(t *rapid.T) schedule {
	s := schedule{
		hosts:          rapid.IntRange(2, 3).Draw(t, "hosts"),
		promotionDelay: rapid.SampledFrom([]ms{300, 600, 1000}).Draw(t, "promotion delay"),
	}
	s.steps = append(s.steps, drawPrimaryFault(t, s.hosts))
	s.steps = append(s.steps, rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step { return drawStep(t, s.hosts) }), 0, 7).Draw(t, "steps")...)
	return s
}

// changesRun is one run of a schedule.
type changesRun struct {
	cluster *replicated.Cluster
	hosts   []*entryHost
	started time.Time

	mu         sync.Mutex
	cuts       []*activeCut
	operations []clientOperation
}

// activeCut is what a step cuts a host off from at present.
type activeCut struct {
	host    int
	servers []group.ServerID
	store   bool
}

// cut cuts a host off, beside other cuts, until the returned function is called.
func (r *changesRun) cut(h int, servers []group.ServerID, store bool) (end func()) {
	c := &activeCut{h, servers, store}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = append(r.cuts, c)
	r.updatePartition(h)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.cuts = slices.DeleteFunc(r.cuts, func(other *activeCut) bool { return other == c })
		r.updatePartition(h)
	}
}

// updatePartition applies the active cuts to a host. The caller must hold the mutex.
func (r *changesRun) updatePartition(h int) {
	var servers []group.ServerID
	store := false
	for _, c := range r.cuts {
		if c.host == h {
			servers = append(servers, c.servers...)
			store = store || c.store
		}
	}
	r.hosts[h].partition.set(store, servers...)
}

// sinceStart returns the time from the start of the steps.
func (r *changesRun) sinceStart(at time.Time) time.Duration { return at.Sub(r.started) }

// write makes writes through a host until the given time, in transactions or as single
// statements.
func (r *changesRun) write(h int, inTransaction bool, until time.Time) {
	ctx := context.Background()
	for n := 0; time.Now().Before(until); n++ {
		s, failure := r.hosts[h].proxy.Open(ctx, currentDB)
		if failure == nil {
			o := clientOperation{id: fmt.Sprintf("%s-%d", r.hosts[h].id, n), started: time.Now()}
			if inTransaction {
				o.id += "-commit"
				s.Execute(ctx, operation(exchange.Begin, o.id+"-begin"))
				o.answer = s.Execute(ctx, write(o.id+"-write"))
				if o.answer.Failure == nil {
					o.answer = s.Execute(ctx, operation(exchange.Commit, o.id))
				}
			} else {
				o.answer = s.Execute(ctx, write(o.id))
			}
			s.Close()
			r.mu.Lock()
			r.operations = append(r.operations, o)
			r.mu.Unlock()
		}
		time.Sleep(changesWriteInterval)
	}
}

// brokenPromise is a promise that was broken to a caller.
type brokenPromise struct{ promise, detail string }

// descriptions returns the promises with their details.
func descriptions(violations []brokenPromise) (descriptions []string) {
	for _, v := range violations {
		descriptions = append(descriptions, v.promise+": "+v.detail)
	}
	return descriptions
}

// violations returns the broken promises: successes that a promotion drops, writes that
// ran twice, and writes that ran although they were refused.
func (r *changesRun) violations() (violations []brokenPromise) {
	dropped := map[string]replicated.DroppedCommit{}
	for _, d := range r.cluster.DroppedCommits() {
		dropped[d.ID] = d
	}
	executions := r.cluster.ExecutionCounts()
	for _, o := range r.operations {
		d, isDropped := dropped[o.id]
		n := executions[o.id]
		broken := func(promise, format string, args ...any) {
			violations = append(violations, brokenPromise{promise, o.id + fmt.Sprintf(format, args...)})
		}
		switch {
		case n > 1:
			broken("a write runs once at most", " ran %d times", n)
		case o.answer.Failure == nil && n == 0:
			broken("a successful write has run", "")
		case o.answer.Failure == nil && isDropped:
			broken("a successful write is kept", " is dropped by the promotion of %s at %v", d.Promoted, r.sinceStart(d.At))
		case o.answer.Failure != nil && n > 0 && o.answer.Failure.Code != exchange.InDoubt && o.answer.Failure.Code != exchange.ExecutionFailed:
			broken("a refused write has not run", ": %v", o.answer.Failure)
		}
	}
	return violations
}

// runSchedule runs a schedule in a synctest bubble of its own and returns the broken
// promises.
func runSchedule(t *testing.T, s schedule) (violations []brokenPromise) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		r := &changesRun{cluster: replicated.New()}
		r.cluster.PromotionDelay = s.promotionDelay.duration()
		for h := range s.hosts {
			dataCentre := host.DataCentre("dc-" + string(initialServers[h]))
			r.hosts = append(r.hosts, startHost(r.cluster, host.ID(fmt.Sprint("h", h)), hostOptions{dataCentre: dataCentre, partition: &partition{}}))
		}
		time.Sleep(settleDelay)
		r.started = time.Now().Add(calmDuration)
		until := r.started.Add(changesDuration)
		var wait sync.WaitGroup
		for h := range r.hosts {
			for _, inTransaction := range []bool{false, true} {
				wait.Go(func() { r.write(h, inTransaction, until) })
			}
		}
		time.Sleep(calmDuration)
		for _, step := range s.steps {
			wait.Go(func() { step.run(r) })
		}
		wait.Wait()
		time.Sleep(lateOrderWait)
		violations = r.violations()
		for _, h := range r.hosts {
			h.cancel()
		}
		r.cluster.Stop()
		time.Sleep(time.Minute)
	})
	return violations
}

// Guards, under generated changes of the group beside faults, against the loss of commits
// whose success reached a caller, writes that run twice, and writes that run although they
// were refused. It runs more schedules by hand with, for example,
//
//	go test ./e2e/replicated/ -run TestPromisesUnderGeneratedSchedules -cpu=1 -timeout=0 -rapid.checks=100000 -rapid.seed=1
func TestPromisesUnderGeneratedSchedules(t *testing.T) {
	runs := 1
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		for range runs {
			if violations := runSchedule(t, s); len(violations) > 0 {
				runs = confirmingRuns
				rt.Logf("%v\n%s", s, strings.Join(descriptions(violations), "\n"))
				// Shrinking keeps to one message.
				rt.Fatal(violations[0].promise)
			}
		}
	})
}

// recordedSchedules are schedules that lost successful writes, by what confirmed the
// writes.
var recordedSchedules = map[string]schedule{
	"unlisted server": {hosts: 2, promotionDelay: 300, steps: []step{
		start{at: 0, server: "d", listing: 10_000},
		split{at: 0, lasts: 2550, server: "a", beside: []int{1}},
	}},
	"server listed after the order": {hosts: 2, promotionDelay: 1000, steps: []step{
		split{at: 0, lasts: 5000, server: "a", beside: []int{1}},
		start{at: 1700, server: "d"},
	}},
	"unlisted server beside a reborn primary": {hosts: 2, promotionDelay: 600, steps: []step{
		start{at: 0, server: "d", listing: 10_000},
		rebirth{at: 250, lasts: 150, server: "a", as: "r", listing: 550},
	}},
	"unlisted server beside a restarted primary": {hosts: 2, promotionDelay: 1000, steps: []step{
		crash{at: 0, lasts: 600, server: "a"},
		start{at: 150, server: "d", listing: 10_000},
	}},
	"restarted replica": {hosts: 2, promotionDelay: 1000, steps: []step{
		split{at: 0, lasts: 1700, server: "a", beside: []int{1}},
		crash{at: 1750, lasts: 50, server: "c"},
	}},
	"leaving replica": {hosts: 2, promotionDelay: 300, steps: []step{
		crash{at: 100, lasts: 2600, server: "b"},
		leave{at: 50, lasts: 1050, server: "c"},
		crash{at: 1750, lasts: 1650, server: "a"},
	}},
	"restarted witness": {hosts: 2, promotionDelay: 300, steps: []step{
		crash{at: 250, lasts: 450, server: "a"},
		crash{at: 700, lasts: 50, server: "c"},
	}},
	"reset witness": {hosts: 2, promotionDelay: 1000, steps: []step{
		crash{at: 250, lasts: 600, server: "a"},
		reset{at: 900, lasts: 50, server: "c"},
	}},
	"reset replica beside a crashed primary": {hosts: 2, promotionDelay: 300, steps: []step{
		serverCut{at: 0, lasts: 3000, server: "a", and: "b"},
		reset{at: 650, lasts: 50, server: "c"},
		crash{at: 650, lasts: 1000, server: "a"},
	}},
	"order repeated after it took effect": {hosts: 2, promotionDelay: 300, steps: []step{
		crash{at: 0, lasts: 3000, server: "a"},
		lateOrders{at: 0, lasts: 3000, delay: 100},
		reset{at: 1400, lasts: 50, server: "b"},
	}},
	"reborn replica": {hosts: 2, promotionDelay: 1000, steps: []step{
		crash{at: 0, lasts: 600, server: "a"},
		rebirth{at: 700, lasts: 50, server: "c", as: "r"},
	}},
}

// Guards against the loss of successful writes in schedules that were generated earlier.
func TestPromisesUnderRecordedSchedules(t *testing.T) {
	for name, s := range recordedSchedules {
		t.Run(name, func(t *testing.T) {
			for range recordedRuns {
				violations := runSchedule(t, s)
				assert.Equal(t, len(violations), 0, "%s", strings.Join(descriptions(violations), "\n"))
			}
		})
	}
}
