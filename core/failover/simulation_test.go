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

// simulation is a model of one group: three hosts with a decider and a writer
// each, three backend servers that follow section 7.1 of the design page, and
// the platform's record. It runs in one goroutine in virtual time.
type simulation struct {
	queue   taskQueue
	seq     int
	rng     *rand.Rand
	hosts   []*simHost
	servers []*simServer

	// The platform's state: all versions of the record, oldest first.
	history      []*group.Record // version = index + 1
	platformDown bool
	// dropNextUpdate and loseNextReply apply to the next update only.
	dropNextUpdate, loseNextReply bool

	latency       time.Duration // one way, between data centres
	loss          float64       // of each packet of a probe or an observation
	latencyFactor func() int    // factor on a packet's latency
	cuts          map[[2]string]bool
	writing       bool
	noReplication bool          // no writes and no replication
	staggerDelay  time.Duration // StaggerDelay of the machines
	// naiveEligible, if set, replaces the Machine by a naiveDecider with this
	// rule of eligibility. anyReplicaConfirms acknowledges a write once any
	// replica has received it.
	naiveEligible          func(*group.Record, group.Status) bool
	anyReplicaConfirms     bool
	hooks                  map[string]string // commands of the trace to run at an event
	writes                 int
	acked                  []int
	ackedAt                time.Time
	suspicions             int
	started                bool
	maxSuccessorLag        group.Offset
	log                    []string
	lastLogged             map[string]int // record version at which each command was last logged
	violation              error
	promotedAt, quiescedAt time.Time
}

// decider is implemented by failover.Machine and naiveDecider.
type decider interface {
	Handle(failover.Event) []failover.Action
	NextTimer() time.Time
}

// simHost is a host with a decider and a writer.
type simHost struct {
	sim         *simulation
	id          host.ID
	dc          string
	up          bool
	stale       bool // receives no records from the platform's watch
	incarnation int  // incremented by every start and kill
	decider     decider
	timer       time.Time
	record      *group.Record // the writer's view
}

// simServer is a backend server.
type simServer struct {
	sim          *simulation
	id           group.ServerID
	dc           string
	up, quiesced bool
	status       group.Status // Received and Applied are derived from log
	log          []logEntry
	upstream     group.ServerID
	streamID     int // identifies the current replication stream
	rate         int // entries for each pull
}

// logEntry is one write in a server's log, in the term of the primary that
// wrote it.
type logEntry struct {
	term  group.Term
	write int
}

// errRefused is a server's refusal of a command, with its SQLSTATE.
var errRefused = errors.New("55000")

const initialLogLength = 100

func newSimulation(latency time.Duration, seed uint64) *simulation {
	sim := &simulation{
		latency: latency, rng: rand.New(rand.NewPCG(seed, 1)), cuts: map[[2]string]bool{},
		hooks: map[string]string{}, lastLogged: map[string]int{}, latencyFactor: func() int { return 1 }, staggerDelay: failover.DefaultStaggerDelay,
	}
	record := &group.Record{ID: "g", Term: 1, Generation: 1, Primary: "a", Successor: "b", ChangeID: "initial"}
	for i, id := range []group.ServerID{"a", "b", "c"} {
		dc := fmt.Sprintf("dc%d", i+1)
		record.Servers = append(record.Servers, group.Server{ID: id, DataCentre: host.DataCentre(dc)})
		s := &simServer{sim: sim, id: id, dc: dc, up: true, log: make([]logEntry, initialLogLength), upstream: "a", rate: 1000}
		s.status = group.Status{Server: id, Term: 1}
		sim.servers = append(sim.servers, s)
		sim.hosts = append(sim.hosts, &simHost{sim: sim, id: host.ID(fmt.Sprintf("h%d", i+1)), dc: dc})
	}
	sim.servers[1].status.Generation = 1
	sim.servers[0].status.Role, sim.servers[0].status.Generation, sim.servers[0].status.Successor = group.Primary, 1, "b"
	sim.history = []*group.Record{record}
	return sim
}

func (sim *simulation) start() {
	sim.started = true
	for _, h := range sim.hosts {
		h.start()
	}
	for _, s := range sim.servers {
		if !sim.noReplication {
			s.pull()
		}
	}
}

func (sim *simulation) record() *group.Record         { return sim.history[len(sim.history)-1] }
func (sim *simulation) version() distribution.Version { return distribution.Version(len(sim.history)) }

func (sim *simulation) host(id host.ID) *simHost {
	return find(sim.hosts, func(h *simHost) bool { return h.id == id })
}

func (sim *simulation) server(id group.ServerID) *simServer {
	return find(sim.servers, func(s *simServer) bool { return s.id == id })
}

func find[T any](list []*T, match func(*T) bool) *T {
	if i := slices.IndexFunc(list, match); i >= 0 {
		return list[i]
	}
	return nil
}

// task is a function that is scheduled for a time. Tasks of the same time run
// in the order in which they were scheduled.
type task struct {
	at  time.Time
	seq int
	run func()
}

type taskQueue []task

func (q taskQueue) Len() int      { return len(q) }
func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *taskQueue) Push(x any)   { *q = append(*q, x.(task)) }
func (q taskQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}

func (q *taskQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.queue, task{at: time.Now().Add(d), seq: sim.seq, run: run})
}

// run advances the virtual time until the deadline or the first violation.
func (sim *simulation) run(d time.Duration) {
	deadline := time.Now().Add(d)
	for sim.violation == nil && len(sim.queue) > 0 && !sim.queue[0].at.After(deadline) {
		t := heap.Pop(&sim.queue).(task)
		time.Sleep(time.Until(t.at))
		t.run()
	}
	time.Sleep(time.Until(deadline))
}

// fail records the first violation of an invariant.
func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == nil {
		sim.violation = fmt.Errorf(format, args...)
	}
}

// connected reports whether no cut separates two nodes, given by their names
// and data centres.
func (sim *simulation) connected(a, aDC, b, bDC string) bool {
	for _, x := range []string{a, aDC} {
		for _, y := range []string{b, bDC} {
			if sim.cuts[[2]string{x, y}] || sim.cuts[[2]string{y, x}] {
				return false
			}
		}
	}
	return !sim.cuts[[2]string{a, "*"}] && !sim.cuts[[2]string{b, "*"}]
}

// delay returns the latency of one packet.
func (sim *simulation) delay(aDC, bDC string) time.Duration {
	d := 200 * time.Microsecond
	if aDC != bDC {
		d = sim.latency
	}
	return d * time.Duration(sim.latencyFactor())
}

// call sends a request from a host to a server and the answer back. failed runs
// with refused if the server is down. If the request or the answer is lost,
// failed runs without refused, but for a lossy call nothing runs. Packets of
// lossy calls are also lost at random.
func (h *simHost) call(s *simServer, lossy bool, request func(), answered func(), failed func(refused bool)) {
	sim, incarnation := h.sim, h.incarnation
	respond := func(run func()) {
		sim.schedule(sim.delay(h.dc, s.dc), func() {
			if h.up && h.incarnation == incarnation {
				run()
			}
		})
	}
	lost := func() bool {
		return !sim.connected(string(h.id), h.dc, string(s.id), s.dc) || lossy && sim.loss > 0 && sim.rng.Float64() < sim.loss
	}
	if sim.noReplication {
		// The servers' state never changes, so that one event can represent the
		// request and the answer.
		request()
		if requestLost, answerLost := lost(), lost(); !requestLost && !answerLost {
			sim.schedule(sim.delay(h.dc, s.dc)+sim.delay(h.dc, s.dc), answered)
		}
		return
	}
	timeout := func() {
		if !lossy {
			sim.schedule(time.Second, func() { respond(func() { failed(false) }) })
		}
	}
	sim.schedule(sim.delay(h.dc, s.dc), func() {
		switch {
		case lost():
			timeout()
		case !s.up:
			respond(func() { failed(true) })
		default:
			request()
			if lost() {
				timeout()
				return
			}
			respond(answered)
		}
	})
}

func (h *simHost) start() {
	h.up = true
	h.incarnation++
	h.record = h.sim.record()
	if h.sim.naiveEligible != nil {
		h.decider = &naiveDecider{sim: h.sim, servers: map[group.ServerID]*naiveServer{}}
	} else {
		h.decider = failover.New(failover.Config{Group: "g", Host: h.id, DataCentre: host.DataCentre(h.dc), StaggerDelay: h.sim.staggerDelay, MaxSuccessorLag: h.sim.maxSuccessorLag})
	}
	coordinators := failover.CoordinatorsChanged{}
	for _, other := range h.sim.hosts {
		coordinators.Coordinators = append(coordinators.Coordinators, failover.Coordinator{Host: other.id, DataCentre: host.DataCentre(other.dc)})
	}
	h.handle(coordinators)
	h.handle(failover.RecordChanged{Record: h.sim.record(), Version: h.sim.version()})
	h.write(h.incarnation)
}

func (h *simHost) handle(e failover.Event) {
	if !h.up {
		return
	}
	for _, a := range h.decider.Handle(e) {
		h.perform(a)
	}
	next := h.decider.NextTimer()
	if next.IsZero() || next.Equal(h.timer) {
		return
	}
	h.timer = next
	incarnation := h.incarnation
	h.sim.schedule(time.Until(next), func() {
		if h.incarnation == incarnation && h.timer.Equal(next) {
			h.timer = time.Time{}
			h.handle(failover.TimerFired{})
		}
	})
}

// perform carries out an action of the decider.
func (h *simHost) perform(a failover.Action) {
	sim := h.sim
	switch a := a.(type) {
	case failover.Probe:
		s := sim.server(a.Server)
		var status group.Status
		h.call(s, true,
			func() { status = s.currentStatus() },
			func() { h.handle(failover.StatusReceived{Status: status, SentAt: a.SentAt}) },
			func(refused bool) { h.handle(failover.ProbeFailed{Server: s.id, SentAt: a.SentAt, Refused: refused}) })
	case failover.Observe:
		h.send(sim.host(a.Host), failover.ObserveRequested{From: h.id, Server: a.Server, Term: a.Term}, func() {
			h.handle(failover.ObservationFailed{From: a.Host, Server: a.Server})
		})
	case failover.Observation:
		h.send(sim.host(a.To), failover.ObservationReceived{
			From: h.id, DataCentre: host.DataCentre(h.dc), Server: a.Server, Term: a.Term, Reachable: a.Reachable,
		}, func() {})
	case failover.UpdateRecord:
		sim.logf("%s update term=%d generation=%d primary=%s successor=%s candidate=%s cause=%q", h.id, a.Record.Term,
			a.Record.Generation, a.Record.Primary, a.Record.Successor, a.Record.Candidate, a.Record.Changes[len(a.Record.Changes)-1].Cause)
		h.update(a)
	case failover.ReadRecord:
		h.platform(func() failover.Event {
			return failover.RecordChanged{Record: sim.record(), Version: sim.version()}
		}, failover.ReadFailed{})
	case failover.Execute:
		h.execute(a.Command)
	case failover.PrimarySuspected:
		sim.suspicions++
	case failover.NoEligibleSuccessor, failover.ChangeLost, failover.PlatformUnavailable, failover.PlatformAvailable:
		sim.logf("%s reports %s", h.id, strings.TrimPrefix(fmt.Sprintf("%T", a), "failover."))
	}
}

// send delivers an event to another host, or runs failed if it is lost.
func (h *simHost) send(to *simHost, e failover.Event, failed func()) {
	sim := h.sim
	sim.schedule(sim.delay(h.dc, to.dc), func() {
		switch {
		case sim.connected(string(h.id), h.dc, string(to.id), to.dc) && to.up && sim.rng.Float64() >= sim.loss:
			to.handle(e)
		default:
			sim.schedule(200*time.Millisecond, failed)
		}
	})
}

// platform runs a request at the platform and delivers its answer, or the given
// event if the request or the answer is lost.
func (h *simHost) platform(request func() failover.Event, lost failover.Event) {
	sim := h.sim
	sim.schedule(sim.latency, func() {
		if sim.platformDown || !sim.connected(string(h.id), h.dc, "platform", "platform") {
			sim.schedule(300*time.Millisecond, func() { h.handle(lost) })
			return
		}
		if answer := request(); answer != nil {
			sim.schedule(sim.latency, func() { h.handle(answer) })
		} else {
			sim.schedule(300*time.Millisecond, func() { h.handle(lost) })
		}
	})
}

// update applies a conditional update to the record.
func (h *simHost) update(a failover.UpdateRecord) {
	sim := h.sim
	h.platform(func() failover.Event {
		if sim.dropNextUpdate {
			sim.dropNextUpdate = false
			return nil
		}
		if a.ExpectedVersion != sim.version() {
			return failover.UpdateConflict{Record: sim.record(), Version: sim.version()}
		}
		if a.Record.Term < sim.record().Term {
			sim.fail("the record's term decreased to %d", a.Record.Term)
		}
		sim.history = append(sim.history, a.Record)
		sim.logf("record: term=%d generation=%d primary=%s successor=%s candidate=%s", a.Record.Term,
			a.Record.Generation, a.Record.Primary, a.Record.Successor, a.Record.Candidate)
		sim.checkAllWrites()
		sim.publish()
		sim.runHook("update", h)
		if sim.loseNextReply {
			sim.loseNextReply = false
			return nil
		}
		return failover.UpdateApplied{ChangeID: a.Record.ChangeID, Version: sim.version(), Record: a.Record}
	}, failover.UpdateUnknown{ChangeID: a.Record.ChangeID})
}

// publish delivers the record to the hosts through their watches.
func (sim *simulation) publish() {
	record, version := sim.record(), sim.version()
	for _, h := range sim.hosts {
		sim.schedule(sim.latency+time.Duration(sim.rng.IntN(20))*time.Millisecond, func() {
			if h.stale || !h.up || sim.platformDown {
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
	s := h.sim.server(c.Target())
	var offset group.Offset
	var err error
	h.call(s, false,
		func() {
			offset, err = s.execute(c)
			if err == nil {
				h.sim.logExecuted(h.id, s.id, describe(c))
			}
			h.sim.checkConfirmers()
			h.sim.runHook(fmt.Sprintf("%T", c)[len("failover."):], h)
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

// write runs the host's writer. It sends one write at a time to the primary of
// its record and has it confirmed by the successor of that record.
func (h *simHost) write(incarnation int) {
	sim := h.sim
	retry := func() { sim.schedule(100*time.Millisecond, func() { h.write(incarnation) }) }
	if h.incarnation != incarnation {
		return
	}
	record := h.record
	s := sim.server(record.Primary)
	if sim.noReplication {
		return
	}
	if !sim.writing || s == nil {
		retry()
		return
	}
	sim.writes++
	id := sim.writes
	var position group.Position
	h.call(s, false,
		func() { position = s.write(id) },
		func() {
			if position.IsZero() {
				retry()
				return
			}
			for _, confirmer := range sim.confirmingServers(record) {
				h.confirm(incarnation, record, confirmer, position, id, 20)
			}
			if sim.server(record.Successor) == nil {
				retry()
			}
		},
		func(bool) {
			h.handle(failover.SuspicionReported{From: h.id})
			retry()
		})
}

// confirmingServers returns the servers whose status may confirm a write.
func (sim *simulation) confirmingServers(r *group.Record) []group.ServerID {
	if sim.anyReplicaConfirms {
		return []group.ServerID{"a", "b", "c"}
	}
	return []group.ServerID{r.Successor}
}

// confirm queries the confirmer's status until it confirms the write or the
// attempts are used up.
func (h *simHost) confirm(incarnation int, record *group.Record, confirmer group.ServerID, p group.Position, id, attempts int) {
	sim := h.sim
	s := sim.server(confirmer)
	if h.incarnation != incarnation || s == nil {
		return
	}
	next := func() {
		if confirmer == record.Successor {
			sim.schedule(100*time.Millisecond, func() { h.write(incarnation) })
		}
	}
	retry := func() {
		if attempts == 0 {
			h.handle(failover.WritesStalled{Position: p})
			next()
			return
		}
		sim.schedule(100*time.Millisecond, func() { h.confirm(incarnation, record, confirmer, p, id, attempts-1) })
	}
	var status group.Status
	h.call(s, false, func() { status = s.currentStatus() }, func() {
		confirmsAny := sim.anyReplicaConfirms && status.Role == group.Replica && status.Received >= p.Offset
		if status.Confirms(record, p) || confirmsAny {
			sim.acknowledge(id)
			next()
			return
		}
		retry()
	}, func(bool) { retry() })
}

func (sim *simulation) acknowledge(id int) {
	if !slices.Contains(sim.acked, id) {
		sim.acked = append(sim.acked, id)
		sim.ackedAt = time.Now()
		sim.checkWrite(id)
	}
}

// checkWrite verifies that an acknowledged write is in the log of the recorded
// primary.
func (sim *simulation) checkWrite(id int) {
	s := sim.server(sim.record().Primary)
	if !slices.ContainsFunc(s.log, func(e logEntry) bool { return e.write == id }) {
		sim.fail("acknowledged write %d is missing from %s, the primary of term %d", id, s.id, sim.record().Term)
	}
}

func (sim *simulation) checkAllWrites() {
	for _, id := range sim.acked {
		sim.checkWrite(id)
	}
}

// checkConfirmers verifies that the writes of at most one server can be
// confirmed, that is, of a primary that replicates to a replica which confirms
// them under the current or an earlier record.
func (sim *simulation) checkConfirmers() {
	var confirmers []group.ServerID
	for _, p := range sim.servers {
		canConfirm := slices.ContainsFunc(sim.history, func(r *group.Record) bool {
			s := sim.server(r.Successor)
			return p.status.Role == group.Primary && r.Primary == p.id && s != nil && s.upstream == p.id &&
				s.currentStatus().Confirms(r, group.Position{Term: p.status.Term})
		})
		if canConfirm {
			confirmers = append(confirmers, p.id)
		}
	}
	if len(confirmers) > 1 && sim.naiveEligible == nil {
		sim.fail("%v can all confirm writes", confirmers)
	}
}

// currentStatus returns the server's answer to a status query.
func (s *simServer) currentStatus() group.Status {
	out := s.status
	out.Received = group.Offset(len(s.log))
	out.Applied = out.Received
	return out
}

// write appends a write and returns its position, zero if the server refuses
// it.
func (s *simServer) write(id int) group.Position {
	if s.status.Role != group.Primary || s.quiesced {
		return group.Position{}
	}
	s.log = append(s.log, logEntry{s.status.Term, id})
	return group.Position{Term: s.status.Term, Offset: group.Offset(len(s.log))}
}

// execute follows the table and the rules of section 7.1 of the design page.
func (s *simServer) execute(c failover.Command) (group.Offset, error) {
	status := &s.status
	end := group.Offset(len(s.log))
	isPrimaryOf := func(t group.Term) bool { return status.Role == group.Primary && status.Term == t }
	switch c := c.(type) {
	case failover.Promote:
		if c.Term < status.Term {
			return 0, errRefused
		}
		if c.Term > status.Term {
			s.quiesced = false
			s.upstream = ""
			s.streamID++
			*status = group.Status{
				Server: s.id, Role: group.Primary, Term: c.Term, TermStart: end,
				Generation: c.Generation, Successor: c.Successor, Leaving: status.Leaving,
			}
			s.sim.promotedAt = time.Now()
		}
		return status.TermStart, nil
	case failover.SetSuccessor:
		if !isPrimaryOf(c.Term) || c.Generation < status.Generation {
			return 0, errRefused
		}
		status.Generation, status.Successor = c.Generation, c.Successor
		return end, nil
	case failover.Follow:
		if c.Term < status.Term || isPrimaryOf(c.Term) {
			return 0, errRefused
		}
		if status.Role == group.Primary {
			status.Role, status.Generation, status.Successor = group.Replica, 0, ""
		}
		s.upstream = c.Primary
		s.streamID++
		return 0, nil
	case failover.Quiesce:
		if !isPrimaryOf(c.Term) {
			return 0, errRefused
		}
		s.quiesced = true
		s.sim.quiescedAt = time.Now()
		return end, nil
	}
	return 0, errRefused
}

// pull fetches the next part of the upstream's log and schedules the next pull.
func (s *simServer) pull() {
	sim := s.sim
	const interval = 40 * time.Millisecond
	up := sim.server(s.upstream)
	if up == nil || up == s || !s.up || !up.up || !sim.connected(string(s.id), s.dc, string(up.id), up.dc) {
		sim.schedule(interval, s.pull)
		return
	}
	source := up.currentStatus()
	streamID, log := s.streamID, slices.Clip(up.log)
	sim.schedule(sim.delay(up.dc, s.dc), func() {
		if s.streamID == streamID && s.up && source.Term >= s.status.Term {
			s.receive(source, log)
		}
		sim.schedule(interval, s.pull)
	})
}

// receive truncates a diverged tail of the log, adopts the upstream's term and
// appends its entries.
func (s *simServer) receive(source group.Status, log []logEntry) {
	commonPrefix := 0
	if source.Term == s.status.Term {
		commonPrefix = max(0, min(len(s.log), len(log))-1)
	}
	for commonPrefix < len(s.log) && commonPrefix < len(log) && s.log[commonPrefix] == log[commonPrefix] {
		commonPrefix++
	}
	if source.Term > s.status.Term {
		s.log = slices.Clone(s.log[:commonPrefix])
	}
	if commonPrefix < len(s.log) {
		if len(s.log) > len(log) {
			return // a reordered, older answer
		}
		s.sim.fail("log of %s diverges within term %d", s.id, source.Term)
		return
	}
	s.status.Term, s.status.TermStart = source.Term, source.TermStart
	s.status.Generation = 0
	if source.Role == group.Primary && source.Successor == s.id {
		s.status.Generation = source.Generation
	}
	s.log = append(s.log, log[commonPrefix:min(len(log), commonPrefix+s.rate)]...)
}

func (sim *simulation) logf(format string, args ...any) {
	sim.log = append(sim.log, fmt.Sprintf(format, args...))
}

// logExecuted logs an executed command, but the same one only once per version
// of the record.
func (sim *simulation) logExecuted(h host.ID, s group.ServerID, command string) {
	line := fmt.Sprintf("%s executes %s", s, command)
	if sim.lastLogged[line] != len(sim.history) {
		sim.lastLogged[line] = len(sim.history)
		sim.logf("%s %s", h, line)
	}
}

// runHook runs the commands that the trace attached to the event, once.
func (sim *simulation) runHook(event string, by *simHost) {
	command, ok := sim.hooks[event]
	if !ok {
		return
	}
	delete(sim.hooks, event)
	for c := range strings.SplitSeq(strings.ReplaceAll(command, "$host", string(by.id)), ";") {
		sim.runCommand(strings.Fields(c))
	}
}

// runCommand executes one command of a trace.
func (sim *simulation) runCommand(f []string) {
	arg := func(i int) string { return append(f, "", "", "")[i] }
	s, h := sim.server(group.ServerID(arg(1))), sim.host(host.ID(arg(1)))
	switch f[0] {
	case "write":
		sim.writing = arg(1) != "stop"
	case "kill":
		if s != nil {
			s.up = false
			s.streamID++
		} else {
			h.up = false
			h.incarnation++
		}
	case "start":
		if s != nil {
			s.up = true
		} else if !h.up {
			h.start()
		}
	case "cut":
		sim.cuts[[2]string{arg(1), arg(2)}] = true
	case "heal":
		if arg(1) == "" {
			clear(sim.cuts)
		}
		delete(sim.cuts, [2]string{arg(1), arg(2)})
	case "platform":
		sim.platformDown = arg(1) == "down"
		sim.publish()
	case "drop-update":
		sim.dropNextUpdate = true
	case "lose-reply":
		sim.loseNextReply = true
	case "leaving":
		s.status.Leaving = true
	case "rate":
		s.rate, _ = strconv.Atoi(arg(2))
	case "behind":
		n, _ := strconv.Atoi(arg(2))
		s.rate, s.log = 0, slices.Clone(s.log[:n])
	case "stale":
		h.stale = arg(2) != "off"
		sim.publish()
	case "lag-bound":
		n, _ := strconv.Atoi(arg(1))
		sim.maxSuccessorLag = group.Offset(n)
	case "burst":
		n, _ := strconv.Atoi(arg(1))
		for range n {
			p := sim.server(sim.record().Primary)
			p.write(-1)
		}
	case "stagger":
		sim.staggerDelay, _ = time.ParseDuration(arg(1))
	case "on":
		sim.hooks[arg(1)] = strings.Join(f[2:], " ")
	default:
		panic("unknown input " + f[0])
	}
}

// describe lists the state of the servers and the record that each host uses.
func (sim *simulation) describe() string {
	var b strings.Builder
	for _, s := range sim.servers {
		fmt.Fprintf(&b, "\n%+v upstream=%s quiesced=%v rate=%d", s.currentStatus(), s.upstream, s.quiesced, s.rate)
	}
	for _, h := range sim.hosts {
		fmt.Fprintf(&b, "\n%s up=%v writes to term %d generation %d", h.id, h.up, h.record.Term, h.record.Generation)
	}
	return b.String()
}
