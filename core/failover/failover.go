// Package failover decides which servers are the primary and the successor of
// a database group. It detects the loss of a server, has other coordinators
// confirm it, updates the group's record conditionally and sends the commands
// that follow from the record to the backend servers.
//
// A Machine is a deterministic state machine for one group on one host. The
// control thread passes events to it and carries out the actions that it
// returns. Each coordinator of a group runs its own Machine. Their decisions
// are staggered so that normally only one acts, but safety does not depend on
// that: it depends on the conditional update of the record, on the eligibility
// of the successor and on the servers' refusal of lower terms and generations.
//
// The primary replicates to its successor under a generation, which the
// replication stream carries and the successor reports in its status. Writes
// are confirmed only by the recorded successor under the recorded generation. A
// change of successor first records a candidate, makes the primary replicate to
// it under the next generation, and records it as the successor once it has
// caught up.
package failover

import (
	"fmt"
	"time"

	"basilmill/core/distribution"
	"basilmill/core/group"
)

// Machine makes the failover decisions for one group on one host. It is not
// safe for concurrent use.
type Machine struct {
	config Config

	record  *group.Record
	version distribution.Version
	// wroteRecord says that this machine wrote the record, so that it executes
	// the change without delay.
	wroteRecord bool
	// adoptedAt is when the machine started to use the record.
	adoptedAt time.Time

	coordinators     []Coordinator
	rank             int
	singleDataCentre bool

	servers map[group.ServerID]*server
	// leaving holds the servers that peers or statuses mark as leaving, in
	// addition to the marks in the record.
	leaving map[group.ServerID]bool

	pendingUpdate     *update
	readState         readState
	platformAvailable bool // false while requests go unanswered
	changeCount       int

	term termState

	primaryLost, primaryStalled, successorUnfit, candidateReady debounce

	now      time.Time
	nextWake time.Time
	actions  []Action
}

// server is what the machine knows about one backend server.
type server struct {
	detector
	status group.Status
	// behindSince is when the server was first seen behind the primary's log,
	// if it has received nothing since; else zero.
	behindSince time.Time
	// generationMismatch measures for how long the primary has reported that it
	// replicates to the server under a generation that the server does not
	// report.
	generationMismatch debounce
	poll               *observerPoll
	observeRequests    []observeRequest
	command            commandState
}

// termState is what the machine knows about how far the record's term has been
// put into effect.
type termState struct {
	// promoted says that the primary has reached the record's term.
	promoted bool
	// logEnd is the highest known end of the primary's log.
	logEnd group.Offset
	// lastSetSuccessor is the last set_successor that the primary executed,
	// with the offset that it returned and the time of its answer.
	lastSetSuccessor   SetSuccessor
	setSuccessorOffset group.Offset
	setSuccessorAt     time.Time
	// quiesced says that the primary refuses writes; its log ends at
	// finalOffset.
	quiesced    bool
	finalOffset group.Offset
	// gapStart is when writes became unavailable, as far as this host knows.
	gapStart time.Time
	// noSuccessorReported says that NoEligibleSuccessor was reported.
	noSuccessorReported bool
}

// debounce delays an action until its condition has held for some time. Zero
// means that the condition does not hold.
type debounce struct{ since time.Time }

// New returns a Machine. It does nothing until it has received the record and
// the coordinators.
func New(config Config) *Machine {
	return &Machine{
		config:            config.withDefaults(),
		rank:              -1,
		servers:           make(map[group.ServerID]*server),
		leaving:           make(map[group.ServerID]bool),
		platformAvailable: true,
	}
}

// Handle processes an event and returns the resulting actions.
func (m *Machine) Handle(event Event) []Action {
	m.now = time.Now()
	m.actions = nil
	m.detectPause()
	m.apply(event)
	m.nextWake = time.Time{}
	m.step()
	return m.actions
}

// NextTimer returns when the next TimerFired is due; zero means never.
func (m *Machine) NextTimer() time.Time { return m.nextWake }

// detectPause discards failed probes if the timer fired so late that the host
// itself must have been paused: answers may be queued behind this event.
func (m *Machine) detectPause() {
	if m.nextWake.IsZero() || m.now.Sub(m.nextWake) < m.config.UnresponsiveThreshold {
		return
	}
	for _, s := range m.servers {
		s.reset()
	}
}

func (m *Machine) apply(event Event) {
	switch e := event.(type) {
	case RecordChanged:
		m.recordChanged(e.Record, e.Version)
	case CoordinatorsChanged:
		m.setCoordinators(e)
	case StatusReceived:
		m.statusReceived(e)
	case ProbeFailed:
		if s, ok := m.servers[e.Server]; ok && e.Refused && !e.SentAt.Before(s.answeredProbeSentAt) {
			s.recordRefusal(m.now)
		}
	case ServerReached:
		if s, ok := m.servers[e.Server]; ok && !e.SentAt.Before(s.answeredProbeSentAt) {
			s.recordPing(e.SentAt, e.Answered)
		}
	case SuspicionReported:
		m.probeAllNow()
	case WritesStalled:
		m.writesStalled(e)
	case ServerLeaving:
		m.leaving[e.Server] = true
	case ObserveRequested:
		m.observeRequested(e)
	case ObservationReceived:
		m.observationReceived(e)
	case ObservationFailed:
		m.observationFailed(e)
	case UpdateApplied:
		m.updateApplied(e)
	case UpdateConflict:
		m.updateConflict(e)
	case UpdateUnknown:
		m.updateUnknown(e)
	case ReadFailed:
		m.readFailed()
	case CommandDone:
		m.commandDone(e)
	case CommandFailed:
		m.commandFailed(e)
	case TimerFired:
	}
}

// step derives all actions from the state. It may run at any time: what is
// already in flight is not repeated.
func (m *Machine) step() {
	if m.record == nil {
		return
	}
	for _, info := range m.record.Servers {
		s := m.servers[info.ID]
		m.probe(info.ID, s)
		m.answerObservers(info.ID, s)
	}
	if m.rank < 0 {
		return
	}
	for _, id := range []group.ServerID{m.record.Primary, m.record.Successor, m.record.Candidate} {
		m.pollObservers(id)
	}
	m.trackGenerations()
	m.resolveUpdate()
	if m.pendingUpdate == nil {
		m.decide()
	}
	for _, info := range m.record.Servers {
		m.command(info)
	}
}

func (m *Machine) setCoordinators(e CoordinatorsChanged) {
	m.coordinators = e.Coordinators
	m.singleDataCentre = e.SingleDataCentre
	m.rank = -1
	for i, c := range e.Coordinators {
		if c.Host == m.config.Host {
			m.rank = i
		}
	}
}

// adopt replaces the machine's record by one with a higher version.
func (m *Machine) adopt(record *group.Record, version distribution.Version, wroteRecord bool) {
	old := m.record
	m.record, m.version, m.wroteRecord = record, version, wroteRecord
	m.adoptedAt = m.now
	for _, info := range record.Servers {
		if _, ok := m.servers[info.ID]; !ok {
			m.servers[info.ID] = &server{detector: detector{config: &m.config}}
		}
	}
	for id := range m.servers {
		if _, ok := record.Server(id); !ok {
			delete(m.servers, id)
		}
	}
	if old == nil || old.Term != record.Term {
		m.startTerm(old)
	}
	for id, s := range m.servers {
		if id != record.Primary && id != record.Successor && id != record.Candidate {
			s.poll = nil
		}
	}
	if old != nil && old.Term == record.Term && old.Generation != record.Generation {
		m.emit(SuccessorChanged{Successor: record.Successor, Generation: record.Generation})
	}
	m.primaryLost, m.primaryStalled, m.successorUnfit, m.candidateReady = debounce{}, debounce{}, debounce{}, debounce{}
}

func (m *Machine) startTerm(old *group.Record) {
	start := m.now
	if old != nil {
		if p := m.servers[old.Primary]; p != nil && p.hasAnswered() {
			start = p.lastAnswerAt
		}
		if m.term.quiesced {
			start = m.term.gapStart
		}
	}
	m.term = termState{gapStart: start}
	for _, s := range m.servers {
		s.behindSince = time.Time{}
		s.poll = nil
	}
	p := m.servers[m.record.Primary]
	if p == nil {
		return
	}
	// Earlier failures do not count against the server as the new primary.
	p.reset()
	p.probeRequested = true
	m.term.promoted = p.hasAnswered() && p.status.Term >= m.record.Term
}

func (m *Machine) statusReceived(e StatusReceived) {
	s, ok := m.servers[e.Status.Server]
	if !ok || m.record == nil {
		return
	}
	s.recordAnswer(m.now, e.SentAt)
	m.trackProgress(s, e.Status)
	s.status = e.Status
	if e.Status.Leaving {
		m.leaving[e.Status.Server] = true
	}
	if e.Status.Term > m.record.Term {
		m.readState.needed = true
	}
	if e.Status.Server == m.record.Primary && e.Status.Term == m.record.Term && e.Status.Role == group.Primary {
		m.term.logEnd = max(m.term.logEnd, e.Status.Received)
		m.setPromoted(e.Status.TermStart)
	}
}

// trackProgress records since when a replica has been behind the primary's log
// without receiving anything.
func (m *Machine) trackProgress(s *server, status group.Status) {
	progress := status.Term != s.status.Term ||
		status.Received != s.status.Received ||
		status.Received >= m.term.logEnd
	switch {
	case progress:
		s.behindSince = time.Time{}
	case s.behindSince.IsZero():
		s.behindSince = m.now
	}
}

func (m *Machine) writesStalled(e WritesStalled) {
	if m.record == nil || e.Position.Term != m.record.Term {
		return
	}
	m.term.logEnd = max(m.term.logEnd, e.Position.Offset)
	m.probeAllNow()
}

func (m *Machine) probeAllNow() {
	for _, s := range m.servers {
		s.probeRequested = true
	}
}

// probe sends the server's next probe if it is due. A host that is not a
// coordinator probes only while another host's request is open.
func (m *Machine) probe(id group.ServerID, s *server) {
	if m.rank < 0 && len(s.observeRequests) == 0 {
		s.reset()
		return
	}
	if due := s.nextProbe(m.now); m.now.Before(due) {
		m.wakeAt(due)
		return
	}
	s.recordProbe(m.now)
	m.emit(Probe{Server: id, SentAt: m.now, Timeout: m.config.ProbeTimeout})
	m.wakeAt(s.nextProbe(m.now))
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// wakeAt schedules a timer. A time in the past needs none, because the current
// step has already taken it into account.
func (m *Machine) wakeAt(t time.Time) {
	if t.After(m.now) {
		m.nextWake = earlier(m.nextWake, t)
	}
}

// debounced reports whether the condition has held for the delay.
func (m *Machine) debounced(d *debounce, condition bool, delay time.Duration) bool {
	if !condition {
		d.since = time.Time{}
		return false
	}
	if d.since.IsZero() {
		d.since = m.now
	}
	due := d.since.Add(delay)
	if m.now.Before(due) {
		m.wakeAt(due)
		return false
	}
	return true
}

// staggerDelay is the delay of this host's decisions, which grows with its
// rank.
func (m *Machine) staggerDelay() time.Duration {
	return time.Duration(m.rank) * m.config.StaggerDelay
}

// resumeDelay is the delay after which this host continues a recorded change:
// none if it recorded the change itself.
func (m *Machine) resumeDelay() time.Duration {
	if m.wroteRecord {
		return 0
	}
	return time.Duration(m.rank+1) * m.config.ResumeDelay
}

func (m *Machine) author(cause string) group.Author {
	m.changeCount++
	return group.Author{
		ChangeID: group.ChangeID(fmt.Sprintf("%s/%d/%d", m.config.Host, m.now.UnixNano(), m.changeCount)),
		Host:     m.config.Host,
		Time:     m.now,
		Cause:    cause,
	}
}
