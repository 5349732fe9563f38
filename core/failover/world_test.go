package failover_test

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"basilmill/core/distribution"
	"basilmill/core/failover"
	"basilmill/core/group"
	"basilmill/core/host"
)

// world is a model of one group: three hosts with a decider and a writer each,
// three backend servers that follow section 7.1 of the design page, and the
// platform's record. It runs in one goroutine under the paused clock.
type world struct {
	queue   queue
	seq     int
	rng     *rand.Rand
	hosts   []*simHost
	servers []*simServer

	// store
	history []*group.Record // version = index + 1
	down    bool
	// dropRequest and loseReply hit the next update only.
	dropRequest, loseReply bool

	latency time.Duration // one way, between data centres
	loss    float64       // of each packet of a probe or an observation
	spike   func() int    // factor on a packet's latency
	cuts    map[[2]string]bool
	writing bool
	quiet   bool // no replication traffic
	stagger time.Duration
	// naive replaces the Machine by a decider with this rule of eligibility;
	// anyWitness acknowledges writes on any replica's word.
	naive                func(*group.Record, group.Status) bool
	anyWitness           bool
	hooks                map[string]string
	writes               int
	acked                []int
	ackedAt              time.Time
	suspicions           int
	started              bool
	lagBound             group.Offset
	log                  []string
	noted                map[string]int
	violation            error
	promoted, quiescedAt time.Time
}

type decider interface {
	Handle(failover.Event) []failover.Action
	NextTimer() time.Time
}

type simHost struct {
	w      *world
	id     host.ID
	dc     string
	up     bool
	stale  bool // gets no record from the watch
	life   int
	d      decider
	timer  time.Time
	record *group.Record // the writer's view
}

type simServer struct {
	w            *world
	id           group.ServerID
	dc           string
	up, quiesced bool
	status       group.Status // Received and Applied are derived from log
	log          []entry
	upstream     group.ServerID
	feed         int // identifies the current feed
	rate         int // entries for each pull
}

type entry struct {
	term  group.Term
	write int
}

var errRefused = errors.New("55000")

const baseLog = 100

func newWorld(latency time.Duration, seed uint64) *world {
	w := &world{
		latency: latency, rng: rand.New(rand.NewPCG(seed, 1)), cuts: map[[2]string]bool{},
		hooks: map[string]string{}, noted: map[string]int{}, spike: func() int { return 1 }, stagger: failover.DefaultStaggerDelay,
	}
	record := &group.Record{ID: "g", Term: 1, Generation: 1, Primary: "a", Successor: "b", ChangeID: "initial"}
	for i, id := range []group.ServerID{"a", "b", "c"} {
		dc := fmt.Sprintf("dc%d", i+1)
		record.Servers = append(record.Servers, group.Server{ID: id, DataCentre: host.DataCentre(dc)})
		s := &simServer{w: w, id: id, dc: dc, up: true, log: make([]entry, baseLog), upstream: "a", rate: 1000}
		s.status = group.Status{Server: id, Term: 1}
		w.servers = append(w.servers, s)
		w.hosts = append(w.hosts, &simHost{w: w, id: host.ID(fmt.Sprintf("h%d", i+1)), dc: dc})
	}
	w.servers[1].status.Generation = 1
	w.servers[0].status.Role, w.servers[0].status.Generation, w.servers[0].status.Successor = group.Primary, 1, "b"
	w.history = []*group.Record{record}
	return w
}

func (w *world) start() {
	w.started = true
	for _, h := range w.hosts {
		h.start()
	}
	for _, s := range w.servers {
		if !w.quiet {
			s.pull()
		}
	}
}

func (w *world) record() *group.Record         { return w.history[len(w.history)-1] }
func (w *world) version() distribution.Version { return distribution.Version(len(w.history)) }
func (w *world) host(id host.ID) *simHost {
	return find(w.hosts, func(h *simHost) bool { return h.id == id })
}

func (w *world) server(id group.ServerID) *simServer {
	return find(w.servers, func(s *simServer) bool { return s.id == id })
}

func find[T any](list []*T, match func(*T) bool) *T {
	if i := slices.IndexFunc(list, match); i >= 0 {
		return list[i]
	}
	return nil
}

type task struct {
	at  time.Time
	seq int
	run func()
}

type queue []task

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(task)) }
func (q queue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}

func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, task{at: time.Now().Add(d), seq: w.seq, run: run})
}

// run advances the virtual time until the deadline or the first violation.
func (w *world) run(d time.Duration) {
	deadline := time.Now().Add(d)
	for w.violation == nil && len(w.queue) > 0 && !w.queue[0].at.After(deadline) {
		t := heap.Pop(&w.queue).(task)
		time.Sleep(time.Until(t.at))
		t.run()
	}
	time.Sleep(time.Until(deadline))
}

func (w *world) fail(format string, args ...any) {
	if w.violation == nil {
		w.violation = fmt.Errorf(format, args...)
	}
}

func (w *world) connected(a, aDC, b, bDC string) bool {
	for _, x := range []string{a, aDC} {
		for _, y := range []string{b, bDC} {
			if w.cuts[[2]string{x, y}] || w.cuts[[2]string{y, x}] {
				return false
			}
		}
	}
	return !w.cuts[[2]string{a, "*"}] && !w.cuts[[2]string{b, "*"}]
}

// delay is the latency of one packet; ok is false if it is lost.
func (w *world) delay(aDC, bDC string) time.Duration {
	d := 200 * time.Microsecond
	if aDC != bDC {
		d = w.latency
	}
	return d * time.Duration(w.spike())
}

// call sends a request from a host to a server and its answer back. failed
// runs if either is lost; refused tells whether the server is down.
func (h *simHost) call(s *simServer, lossy bool, request func(), answered func(), failed func(refused bool)) {
	w, life := h.w, h.life
	back := func(run func()) {
		w.after(w.delay(h.dc, s.dc), func() {
			if h.up && h.life == life {
				run()
			}
		})
	}
	lost := func() bool {
		return !w.connected(string(h.id), h.dc, string(s.id), s.dc) || lossy && w.loss > 0 && w.rng.Float64() < w.loss
	}
	if w.quiet {
		// The servers' state never changes, so one event stands for two packets.
		request()
		if there, back := lost(), lost(); !there && !back {
			w.after(w.delay(h.dc, s.dc)+w.delay(h.dc, s.dc), answered)
		}
		return
	}
	timeout := func() {
		if !lossy {
			w.after(time.Second, func() { back(func() { failed(false) }) })
		}
	}
	w.after(w.delay(h.dc, s.dc), func() {
		switch {
		case lost():
			timeout()
		case !s.up:
			back(func() { failed(true) })
		default:
			request()
			if lost() {
				timeout()
				return
			}
			back(answered)
		}
	})
}

func (h *simHost) start() {
	h.up = true
	h.life++
	h.record = h.w.record()
	if h.w.naive != nil {
		h.d = &naiveDecider{w: h.w, servers: map[group.ServerID]*naiveView{}}
	} else {
		h.d = failover.New(failover.Config{Group: "g", Host: h.id, DataCentre: host.DataCentre(h.dc), StaggerDelay: h.w.stagger, MaxSuccessorLag: h.w.lagBound})
	}
	watchers := failover.CoordinatorsChanged{}
	for _, other := range h.w.hosts {
		watchers.Coordinators = append(watchers.Coordinators, failover.Coordinator{Host: other.id, DataCentre: host.DataCentre(other.dc)})
	}
	h.handle(watchers)
	h.handle(failover.RecordChanged{Record: h.w.record(), Version: h.w.version()})
	h.write(h.life)
}

func (h *simHost) handle(e failover.Event) {
	if !h.up {
		return
	}
	for _, a := range h.d.Handle(e) {
		h.act(a)
	}
	next := h.d.NextTimer()
	if next.IsZero() || next.Equal(h.timer) {
		return
	}
	h.timer = next
	life := h.life
	h.w.after(time.Until(next), func() {
		if h.life == life && h.timer.Equal(next) {
			h.timer = time.Time{}
			h.handle(failover.TimerFired{})
		}
	})
}

func (h *simHost) act(a failover.Action) {
	w := h.w
	switch a := a.(type) {
	case failover.Probe:
		s := w.server(a.Server)
		var status group.Status
		h.call(s, true,
			func() { status = s.report() },
			func() { h.handle(failover.StatusReceived{Status: status, SentAt: a.SentAt}) },
			func(refused bool) { h.handle(failover.ProbeFailed{Server: s.id, SentAt: a.SentAt, Refused: refused}) })
	case failover.Observe:
		h.message(w.host(a.Host), failover.ObserveRequested{From: h.id, Server: a.Server, Term: a.Term}, func() {
			h.handle(failover.ObservationFailed{From: a.Host, Server: a.Server})
		})
	case failover.Observation:
		h.message(w.host(a.To), failover.ObservationReceived{
			From: h.id, DataCentre: host.DataCentre(h.dc), Server: a.Server, Term: a.Term, Reachable: a.Reachable,
		}, func() {})
	case failover.UpdateRecord:
		w.note("%s update term=%d generation=%d primary=%s successor=%s candidate=%s cause=%q", h.id, a.Record.Term,
			a.Record.Generation, a.Record.Primary, a.Record.Successor, a.Record.Candidate, a.Record.Changes[len(a.Record.Changes)-1].Cause)
		h.update(a)
	case failover.ReadRecord:
		h.platform(func() failover.Event {
			return failover.RecordChanged{Record: w.record(), Version: w.version()}
		}, failover.ReadFailed{})
	case failover.Execute:
		h.execute(a.Command)
	case failover.PrimarySuspected:
		w.suspicions++
	case failover.NoEligibleSuccessor, failover.ChangeLost, failover.PlatformUnavailable, failover.PlatformAvailable:
		w.note("%s reports %s", h.id, strings.TrimPrefix(fmt.Sprintf("%T", a), "failover."))
	}
}

func (h *simHost) message(to *simHost, e failover.Event, failed func()) {
	w := h.w
	w.after(w.delay(h.dc, to.dc), func() {
		switch {
		case w.connected(string(h.id), h.dc, string(to.id), to.dc) && to.up && w.rng.Float64() >= w.loss:
			to.handle(e)
		default:
			w.after(200*time.Millisecond, failed)
		}
	})
}

// platform runs a request at the platform and delivers its answer, or the
// given event if there is none.
func (h *simHost) platform(request func() failover.Event, lost failover.Event) {
	w := h.w
	w.after(w.latency, func() {
		if w.down || !w.connected(string(h.id), h.dc, "platform", "platform") {
			w.after(300*time.Millisecond, func() { h.handle(lost) })
			return
		}
		if answer := request(); answer != nil {
			w.after(w.latency, func() { h.handle(answer) })
		} else {
			w.after(300*time.Millisecond, func() { h.handle(lost) })
		}
	})
}

func (h *simHost) update(a failover.UpdateRecord) {
	w := h.w
	h.platform(func() failover.Event {
		if w.dropRequest {
			w.dropRequest = false
			return nil
		}
		if a.ExpectedVersion != w.version() {
			return failover.UpdateConflict{Record: w.record(), Version: w.version()}
		}
		if a.Record.Term < w.record().Term {
			w.fail("the record's term stepped back to %d", a.Record.Term)
		}
		w.history = append(w.history, a.Record)
		w.note("record: term=%d generation=%d primary=%s successor=%s candidate=%s", a.Record.Term,
			a.Record.Generation, a.Record.Primary, a.Record.Successor, a.Record.Candidate)
		w.checkAll()
		w.publish()
		w.hook("update", h)
		if w.loseReply {
			w.loseReply = false
			return nil
		}
		return failover.UpdateApplied{ChangeID: a.Record.ChangeID, Version: w.version(), Record: a.Record}
	}, failover.UpdateUnknown{ChangeID: a.Record.ChangeID})
}

// publish delivers the record to the hosts' watches.
func (w *world) publish() {
	record, version := w.record(), w.version()
	for _, h := range w.hosts {
		w.after(w.latency+time.Duration(w.rng.IntN(20))*time.Millisecond, func() {
			if h.stale || !h.up || w.down {
				return
			}
			if record.Term > h.record.Term || record.Generation > h.record.Generation {
				h.record = record
			}
			h.handle(failover.RecordChanged{Record: record, Version: version})
		})
	}
}

func (h *simHost) execute(c failover.Command) {
	s := h.w.server(c.Target())
	var offset group.Offset
	var err error
	h.call(s, false,
		func() {
			offset, err = s.execute(c)
			if err == nil {
				h.w.executed(h.id, s.id, describe(c))
			}
			h.w.checkConfirmers()
			h.w.hook(fmt.Sprintf("%T", c)[len("failover."):], h)
		},
		func() {
			if err != nil {
				h.handle(failover.CommandFailed{Command: c, Err: err})
				return
			}
			h.handle(failover.CommandDone{Command: c, Offset: offset})
		},
		func(bool) { h.handle(failover.CommandFailed{Command: c, Err: errors.New("no answer")}) })
}

func describe(c failover.Command) string {
	switch c := c.(type) {
	case failover.Promote:
		return fmt.Sprintf("promote term=%d generation=%d successor=%s", c.Term, c.Generation, c.Successor)
	case failover.SetSuccessor:
		return fmt.Sprintf("set_successor term=%d generation=%d successor=%s", c.Term, c.Generation, c.Successor)
	case failover.Follow:
		return fmt.Sprintf("follow term=%d primary=%s", c.Term, c.Primary)
	default:
		return "quiesce"
	}
}

// write runs the host's writer: one write at a time to the primary of its
// record, acknowledged on the evidence of the successor of its record.
func (h *simHost) write(life int) {
	w := h.w
	again := func() { w.after(100*time.Millisecond, func() { h.write(life) }) }
	if h.life != life {
		return
	}
	record := h.record
	s := w.server(record.Primary)
	if w.quiet {
		return
	}
	if !w.writing || s == nil {
		again()
		return
	}
	w.writes++
	id := w.writes
	var position group.Position
	h.call(s, false,
		func() { position = s.write(id) },
		func() {
			if position.IsZero() {
				again()
				return
			}
			for _, witness := range w.witnesses(record) {
				h.confirm(life, record, witness, position, id, 20)
			}
			if w.server(record.Successor) == nil {
				again()
			}
		},
		func(bool) {
			h.handle(failover.SuspicionReported{From: h.id})
			again()
		})
}

// witnesses returns the servers whose word counts.
func (w *world) witnesses(r *group.Record) []group.ServerID {
	if w.anyWitness {
		return []group.ServerID{"a", "b", "c"}
	}
	return []group.ServerID{r.Successor}
}

// confirm polls the evidence of a write until it is confirmed or given up.
func (h *simHost) confirm(life int, record *group.Record, witness group.ServerID, p group.Position, id, attempts int) {
	w := h.w
	s := w.server(witness)
	if h.life != life || s == nil {
		return
	}
	next := func() {
		if witness == record.Successor {
			w.after(100*time.Millisecond, func() { h.write(life) })
		}
	}
	again := func() {
		if attempts == 0 {
			h.handle(failover.WritesStalled{Position: p})
			next()
			return
		}
		w.after(100*time.Millisecond, func() { h.confirm(life, record, witness, p, id, attempts-1) })
	}
	var status group.Status
	h.call(s, false, func() { status = s.report() }, func() {
		anyWord := w.anyWitness && status.Role == group.Replica && status.Received >= p.Offset
		if status.Confirms(record, p) || anyWord {
			w.acknowledge(id)
			next()
			return
		}
		again()
	}, func(bool) { again() })
}

func (w *world) acknowledge(id int) {
	if !slices.Contains(w.acked, id) {
		w.acked = append(w.acked, id)
		w.ackedAt = time.Now()
		w.check(id)
	}
}

// check verifies that an acknowledged write is in the log of the primary.
func (w *world) check(id int) {
	s := w.server(w.record().Primary)
	if !slices.ContainsFunc(s.log, func(e entry) bool { return e.write == id }) {
		w.fail("acknowledged write %d is missing from %s, the primary of term %d", id, s.id, w.record().Term)
	}
}

func (w *world) checkAll() {
	for _, id := range w.acked {
		w.check(id)
	}
}

// checkConfirmers verifies that the writes of at most one server can be
// confirmed: one that feeds a replica which confirms by some past record.
func (w *world) checkConfirmers() {
	var confirmers []group.ServerID
	for _, p := range w.servers {
		can := slices.ContainsFunc(w.history, func(r *group.Record) bool {
			s := w.server(r.Successor)
			return p.status.Role == group.Primary && r.Primary == p.id && s != nil && s.upstream == p.id &&
				s.report().Confirms(r, group.Position{Term: p.status.Term})
		})
		if can {
			confirmers = append(confirmers, p.id)
		}
	}
	if len(confirmers) > 1 && w.naive == nil {
		w.fail("%v can all confirm writes", confirmers)
	}
}

func (s *simServer) report() group.Status {
	out := s.status
	out.Received = group.Offset(len(s.log))
	out.Applied = out.Received
	return out
}

func (s *simServer) write(id int) group.Position {
	if s.status.Role != group.Primary || s.quiesced {
		return group.Position{}
	}
	s.log = append(s.log, entry{s.status.Term, id})
	return group.Position{Term: s.status.Term, Offset: group.Offset(len(s.log))}
}

// execute follows the table and the rules of section 7.1.
func (s *simServer) execute(c failover.Command) (group.Offset, error) {
	st := &s.status
	end := group.Offset(len(s.log))
	primaryOf := func(t group.Term) bool { return st.Role == group.Primary && st.Term == t }
	switch c := c.(type) {
	case failover.Promote:
		if c.Term < st.Term {
			return 0, errRefused
		}
		if c.Term > st.Term {
			s.quiesced = false
			s.upstream = ""
			s.feed++
			*st = group.Status{
				Server: s.id, Role: group.Primary, Term: c.Term, TermStart: end,
				Generation: c.Generation, Successor: c.Successor, Leaving: st.Leaving,
			}
			s.w.promoted = time.Now()
		}
		return st.TermStart, nil
	case failover.SetSuccessor:
		if !primaryOf(c.Term) || c.Generation < st.Generation {
			return 0, errRefused
		}
		st.Generation, st.Successor = c.Generation, c.Successor
		return end, nil
	case failover.Follow:
		if c.Term < st.Term || primaryOf(c.Term) {
			return 0, errRefused
		}
		if st.Role == group.Primary {
			st.Role, st.Generation, st.Successor = group.Replica, 0, ""
		}
		s.upstream = c.Primary
		s.feed++
		return 0, nil
	case failover.Quiesce:
		if !primaryOf(c.Term) {
			return 0, errRefused
		}
		s.quiesced = true
		s.w.quiescedAt = time.Now()
		return end, nil
	}
	return 0, errRefused
}

// pull fetches the next part of the upstream's log, forever.
func (s *simServer) pull() {
	w := s.w
	const interval = 40 * time.Millisecond
	up := w.server(s.upstream)
	if up == nil || up == s || !s.up || !up.up || !w.connected(string(s.id), s.dc, string(up.id), up.dc) {
		w.after(interval, s.pull)
		return
	}
	source := up.report()
	feed, log := s.feed, slices.Clip(up.log)
	w.after(w.delay(up.dc, s.dc), func() {
		if s.feed == feed && s.up && source.Term >= s.status.Term {
			s.receive(source, log)
		}
		w.after(interval, s.pull)
	})
}

// receive discards a diverged end of the log, takes over the upstream's term
// and appends its entries.
func (s *simServer) receive(source group.Status, log []entry) {
	same := 0
	if source.Term == s.status.Term {
		same = max(0, min(len(s.log), len(log))-1)
	}
	for same < len(s.log) && same < len(log) && s.log[same] == log[same] {
		same++
	}
	if source.Term > s.status.Term {
		s.log = slices.Clone(s.log[:same])
	}
	if same < len(s.log) {
		if len(s.log) > len(log) {
			return // an old answer
		}
		s.w.fail("log of %s diverges within term %d", s.id, source.Term)
		return
	}
	s.status.Term, s.status.TermStart = source.Term, source.TermStart
	s.status.Generation = 0
	if source.Role == group.Primary && source.Successor == s.id {
		s.status.Generation = source.Generation
	}
	s.log = append(s.log, log[same:min(len(log), same+s.rate)]...)
}

func (w *world) note(format string, args ...any) { w.log = append(w.log, fmt.Sprintf(format, args...)) }

// executed notes a command once after each update of the record.
func (w *world) executed(h host.ID, s group.ServerID, command string) {
	line := fmt.Sprintf("%s executes %s", s, command)
	if w.noted[line] != len(w.history) {
		w.noted[line] = len(w.history)
		w.note("%s %s", h, line)
	}
}

// hook runs the command that the script attached to the event.
func (w *world) hook(event string, by *simHost) {
	command, ok := w.hooks[event]
	if !ok {
		return
	}
	delete(w.hooks, event)
	for c := range strings.SplitSeq(strings.ReplaceAll(command, "$host", string(by.id)), ";") {
		w.do(strings.Fields(c))
	}
}

// do carries out one input of a trace.
func (w *world) do(f []string) {
	arg := func(i int) string { return append(f, "", "", "")[i] }
	s, h := w.server(group.ServerID(arg(1))), w.host(host.ID(arg(1)))
	switch f[0] {
	case "write":
		w.writing = arg(1) != "stop"
	case "kill":
		if s != nil {
			s.up = false
			s.feed++
		} else {
			h.up = false
			h.life++
		}
	case "start":
		if s != nil {
			s.up = true
		} else if !h.up {
			h.start()
		}
	case "cut":
		w.cuts[[2]string{arg(1), arg(2)}] = true
	case "heal":
		if arg(1) == "" {
			clear(w.cuts)
		}
		delete(w.cuts, [2]string{arg(1), arg(2)})
	case "platform":
		w.down = arg(1) == "down"
		w.publish()
	case "drop-update":
		w.dropRequest = true
	case "lose-reply":
		w.loseReply = true
	case "leaving":
		s.status.Leaving = true
	case "rate":
		s.rate, _ = strconv.Atoi(arg(2))
	case "behind":
		n, _ := strconv.Atoi(arg(2))
		s.rate, s.log = 0, slices.Clone(s.log[:n])
	case "stale":
		h.stale = arg(2) != "off"
		w.publish()
	case "lag-bound":
		n, _ := strconv.Atoi(arg(1))
		w.lagBound = group.Offset(n)
	case "burst":
		n, _ := strconv.Atoi(arg(1))
		for range n {
			p := w.server(w.record().Primary)
			p.write(-1)
		}
	case "stagger":
		w.stagger, _ = time.ParseDuration(arg(1))
	case "on":
		w.hooks[arg(1)] = strings.Join(f[2:], " ")
	default:
		panic("unknown input " + f[0])
	}
}

// describe lists the state of the servers and the hosts' views of the record.
func (w *world) describe() string {
	var b strings.Builder
	for _, s := range w.servers {
		fmt.Fprintf(&b, "\n%+v upstream=%s quiesced=%v rate=%d", s.report(), s.upstream, s.quiesced, s.rate)
	}
	for _, h := range w.hosts {
		fmt.Fprintf(&b, "\n%s up=%v writes to term %d generation %d", h.id, h.up, h.record.Term, h.record.Generation)
	}
	return b.String()
}
