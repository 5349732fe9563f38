// Package failover owns the decisions about the primary and the successor of
// a database group: it detects the loss of a server, asks other watchers
// before it acts on it, changes the group's record by conditional updates and
// commands the backend servers accordingly.
//
// A Machine is a deterministic state machine for one group on one host. The
// control thread feeds it events and carries out the actions that it returns.
// Several watchers of a group run a Machine each. Their decisions are staggered
// so that normally one acts, but safety rests only on the conditional update
// of the record, on the eligibility of the successor and on the servers'
// refusal of lower terms and generations.
package failover

import (
	"fmt"
	"time"

	"basilmill/core/distribution"
	"basilmill/core/group"
)

// Machine makes the decisions for one group on one host. It is not safe for
// concurrent use.
type Machine struct {
	config Config

	record  *group.Record
	version distribution.Version
	// mine says that this machine wrote the record, so that it executes the
	// change without delay.
	mine bool
	// adoptedAt is when the machine took over the record.
	adoptedAt time.Time

	watchers         []Coordinator
	rank             int
	singleDataCentre bool

	servers map[group.ServerID]*server
	leaving map[group.ServerID]bool

	pending  *update
	reading  reading
	platform bool // false since an unanswered request
	changes  int

	term termState

	lost, stalled, unfit, finish hold

	now     time.Time
	wake    time.Time
	actions []Action
}

// server is the machine's view of one backend server.
type server struct {
	detector
	status group.Status
	// behindSince is when the server was first seen to lack entries of the
	// primary's log without progress since; zero if it does not.
	behindSince time.Time
	// astray holds while the primary says that it feeds the server under a
	// generation which the server does not report.
	astray   hold
	inquiry  *inquiry
	requests []request
	command  commandState
}

// termState is what the machine knows about the execution of the record.
type termState struct {
	// promoted says that the primary reached the record's term.
	promoted bool
	// end is the highest known end of the primary's log.
	end group.Offset
	// fed is the last confirmed set_successor.
	fed       SetSuccessor
	fedOffset group.Offset
	fedAt     time.Time
	// quiesced says that the primary refuses writes; final is its last offset.
	quiesced bool
	final    group.Offset
	// gapStart is when writes stopped, as far as this host knows.
	gapStart time.Time
	// warned says that NoEligibleSuccessor was reported.
	warned bool
}

// hold delays an action until its condition has held for some time.
type hold struct{ since time.Time }

// New returns a Machine that waits for the record and the watchers.
func New(config Config) *Machine {
	return &Machine{
		config:   config.withDefaults(),
		rank:     -1,
		servers:  make(map[group.ServerID]*server),
		leaving:  make(map[group.ServerID]bool),
		platform: true,
	}
}

// Handle takes in an event and returns the actions that follow from it.
func (m *Machine) Handle(event Event) []Action {
	m.now = time.Now()
	m.actions = nil
	m.detectPause()
	m.apply(event)
	m.wake = time.Time{}
	m.step()
	return m.actions
}

// NextTimer returns when TimerFired is due; zero means never.
func (m *Machine) NextTimer() time.Time { return m.wake }

// detectPause forgets failed probes after the host itself was paused: their
// answers may wait behind this event.
func (m *Machine) detectPause() {
	if m.wake.IsZero() || m.now.Sub(m.wake) < m.config.UnresponsiveThreshold {
		return
	}
	for _, s := range m.servers {
		s.reset()
	}
}

func (m *Machine) apply(event Event) {
	switch e := event.(type) {
	case RecordChanged:
		m.recordRead(e.Record, e.Version)
	case CoordinatorsChanged:
		m.setWatchers(e)
	case StatusReceived:
		m.statusReceived(e)
	case ProbeFailed:
		if s, ok := m.servers[e.Server]; ok && e.Refused && !e.SentAt.Before(s.answeredProbe) {
			s.refused(m.now)
		}
	case ServerReached:
		if s, ok := m.servers[e.Server]; ok && !e.SentAt.Before(s.answeredProbe) {
			s.reached(e.SentAt, e.Answered)
		}
	case SuspicionReported:
		m.probeNow()
	case WritesStalled:
		m.writesStalled(e)
	case ServerLeaving:
		m.leaving[e.Server] = true
	case ObserveRequested:
		m.observeRequested(e)
	case ObservationReceived:
		m.observed(e)
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

// step derives every action from the state. It may run at any time: what is
// already under way is not repeated.
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
		m.inquire(id)
	}
	m.trackFeeds()
	m.settle()
	if m.pending == nil {
		m.decide()
	}
	for _, info := range m.record.Servers {
		m.command(info)
	}
}

func (m *Machine) setWatchers(e CoordinatorsChanged) {
	m.watchers = e.Coordinators
	m.singleDataCentre = e.SingleDataCentre
	m.rank = -1
	for i, w := range e.Coordinators {
		if w.Host == m.config.Host {
			m.rank = i
		}
	}
}

// adopt takes over a record with a higher version.
func (m *Machine) adopt(record *group.Record, version distribution.Version, mine bool) {
	old := m.record
	m.record, m.version, m.mine = record, version, mine
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
			s.inquiry = nil
		}
	}
	if old != nil && old.Term == record.Term && old.Generation != record.Generation {
		m.emit(SuccessorChanged{Successor: record.Successor, Generation: record.Generation})
	}
	m.lost, m.stalled, m.unfit, m.finish = hold{}, hold{}, hold{}, hold{}
}

func (m *Machine) startTerm(old *group.Record) {
	start := m.now
	if old != nil {
		if p := m.servers[old.Primary]; p != nil && p.heard() {
			start = p.heardAt
		}
		if m.term.quiesced {
			start = m.term.gapStart
		}
	}
	m.term = termState{gapStart: start}
	for _, s := range m.servers {
		s.behindSince = time.Time{}
		s.inquiry = nil
	}
	p := m.servers[m.record.Primary]
	if p == nil {
		return
	}
	// Old failures say nothing about the server as the new primary.
	p.reset()
	p.immediate = true
	m.term.promoted = p.heard() && p.status.Term >= m.record.Term
}

func (m *Machine) statusReceived(e StatusReceived) {
	s, ok := m.servers[e.Status.Server]
	if !ok || m.record == nil {
		return
	}
	s.answered(m.now, e.SentAt)
	m.trackProgress(s, e.Status)
	s.status = e.Status
	if e.Status.Leaving {
		m.leaving[e.Status.Server] = true
	}
	if e.Status.Term > m.record.Term {
		m.reading.wanted = true
	}
	if e.Status.Server == m.record.Primary && e.Status.Term == m.record.Term && e.Status.Role == group.Primary {
		m.term.end = max(m.term.end, e.Status.Received)
		m.setPromoted(e.Status.TermStart)
	}
}

// trackProgress notes whether a replica lacks entries of the primary's log and
// receives none.
func (m *Machine) trackProgress(s *server, status group.Status) {
	progress := status.Term != s.status.Term ||
		status.Received != s.status.Received ||
		status.Received >= m.term.end
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
	m.term.end = max(m.term.end, e.Position.Offset)
	m.probeNow()
}

func (m *Machine) probeNow() {
	for _, s := range m.servers {
		s.immediate = true
	}
}

// probe sends the server's next probe when it is due.
func (m *Machine) probe(id group.ServerID, s *server) {
	if m.rank < 0 && len(s.requests) == 0 {
		s.reset()
		return
	}
	if due := s.nextProbe(m.now); m.now.Before(due) {
		m.wakeAt(due)
		return
	}
	s.sent(m.now)
	m.emit(Probe{Server: id, SentAt: m.now, Timeout: m.config.ProbeTimeout})
	m.wakeAt(s.nextProbe(m.now))
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// wakeAt asks for a timer. A time that has passed needs none: step has seen
// the state that it brought about.
func (m *Machine) wakeAt(t time.Time) {
	if t.After(m.now) {
		m.wake = earlier(m.wake, t)
	}
}

// held reports whether the condition has held for the delay.
func (m *Machine) held(h *hold, condition bool, delay time.Duration) bool {
	if !condition {
		h.since = time.Time{}
		return false
	}
	if h.since.IsZero() {
		h.since = m.now
	}
	due := h.since.Add(delay)
	if m.now.Before(due) {
		m.wakeAt(due)
		return false
	}
	return true
}

// staggered is the delay of a decision by the host's rank.
func (m *Machine) staggered() time.Duration {
	return time.Duration(m.rank) * m.config.StaggerDelay
}

// resumption is the delay after which this host continues a change.
func (m *Machine) resumption() time.Duration {
	if m.mine {
		return 0
	}
	return time.Duration(m.rank+1) * m.config.ResumeDelay
}

func (m *Machine) author(cause string) group.Author {
	m.changes++
	return group.Author{
		ChangeID: group.ChangeID(fmt.Sprintf("%s/%d/%d", m.config.Host, m.now.UnixNano(), m.changes)),
		Host:     m.config.Host,
		Time:     m.now,
		Cause:    cause,
	}
}
