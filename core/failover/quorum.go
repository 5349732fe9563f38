package failover

import (
	"slices"
	"time"

	"basilmill/core/group"
	"basilmill/core/host"
)

// observerPoll collects the answers of the other coordinators, the observers,
// about one suspected server.
type observerPoll struct {
	since     time.Time
	observers map[host.ID]*observer
}

// observer is the state of one observer in a poll.
type observer struct {
	askedAt   time.Time // zero if no question is outstanding
	nextAskAt time.Time
	// answeredAt is zero if there is no valid answer.
	answeredAt time.Time
	dataCentre host.DataCentre
	reachable  bool
}

// observeRequest is another coordinator's question that is not yet answered.
type observeRequest struct {
	from       host.ID
	term       group.Term
	receivedAt time.Time
}

// suspected reports whether the failed probes justify polling the observers: a
// refused probe, three late ones or a process that leaves connections
// unanswered.
func (s *server) suspected(now time.Time) bool {
	const (
		minLateProbes = 3
		// A running process answers an accepted connection within a round trip,
		// so that a few unanswered ones are only in flight.
		minHungConnections = 8
	)
	n, _ := s.lateProbes(now)
	return s.refusals > 0 || n >= minLateProbes || s.hungConnections >= minHungConnections
}

// pollObservers starts, continues or ends the poll about a server.
func (m *Machine) pollObservers(id group.ServerID) {
	s := m.servers[id]
	if s == nil {
		return
	}
	if !s.suspected(m.now) {
		m.withdrawSuspicion(id, s)
		if _, next := s.lateProbes(m.now); !next.IsZero() {
			m.wakeAt(next)
		}
		return
	}
	if s.poll == nil {
		s.poll = &observerPoll{since: m.now, observers: make(map[host.ID]*observer)}
		if id == m.record.Primary {
			m.emit(PrimarySuspected{Server: id, Term: m.record.Term})
		}
	}
	for _, c := range m.coordinators {
		if c.Host != m.config.Host {
			m.pollObserver(id, s.poll, c)
		}
	}
}

func (m *Machine) withdrawSuspicion(id group.ServerID, s *server) {
	if s.poll == nil {
		return
	}
	if id == m.record.Primary {
		m.emit(SuspicionWithdrawn{Server: id, Term: m.record.Term, Duration: m.now.Sub(s.poll.since)})
		m.term.noSuccessorReported = false
	}
	s.poll = nil
}

func (m *Machine) pollObserver(id group.ServerID, poll *observerPoll, c Coordinator) {
	o := poll.observers[c.Host]
	if o == nil {
		o = &observer{}
		poll.observers[c.Host] = o
	}
	o.dataCentre = c.DataCentre
	if !o.askedAt.IsZero() {
		deadline := o.askedAt.Add(m.config.ObserveTimeout)
		if m.now.Before(deadline) {
			m.wakeAt(deadline)
			return
		}
		o.askedAt = time.Time{}
	}
	if m.now.Before(o.nextAskAt) {
		m.wakeAt(o.nextAskAt)
		return
	}
	o.askedAt = m.now
	m.emit(Observe{Host: c.Host, Server: id, Term: m.record.Term})
}

func (m *Machine) polledObserver(id group.ServerID, from host.ID) (*observerPoll, *observer) {
	s := m.servers[id]
	if s == nil || s.poll == nil {
		return nil, nil
	}
	return s.poll, s.poll.observers[from]
}

func (m *Machine) observationReceived(e ObservationReceived) {
	poll, o := m.polledObserver(e.Server, e.From)
	if o == nil || e.Term != m.record.Term {
		return
	}
	o.askedAt = time.Time{}
	o.answeredAt = m.now
	o.reachable = e.Reachable
	o.nextAskAt = m.now.Add(m.config.ObservationTTL / 2)
	if !e.Reachable {
		return
	}
	// The server was reached: earlier answers to the contrary are obsolete.
	o.nextAskAt = m.now.Add(m.config.ProbeInterval)
	for _, other := range poll.observers {
		if !other.reachable {
			other.answeredAt = time.Time{}
			other.nextAskAt = m.now
		}
	}
}

func (m *Machine) observationFailed(e ObservationFailed) {
	if _, o := m.polledObserver(e.Server, e.From); o != nil {
		*o = observer{dataCentre: o.dataCentre, nextAskAt: m.now.Add(m.config.ProbeInterval)}
	}
}

// confirmedLost reports whether this host and the observers agree that the
// server is lost: it is unreachable from two data centres and no observer
// reached it. One data centre suffices only if there is no second one.
func (m *Machine) confirmedLost(id group.ServerID) bool {
	s := m.servers[id]
	if s == nil {
		return false
	}
	unresponsive, at := s.unresponsive(m.now)
	if !unresponsive {
		m.wakeAt(at)
		return false
	}
	if s.poll == nil {
		return false
	}
	dataCentres := []host.DataCentre{m.config.DataCentre}
	for _, o := range s.poll.observers {
		if o.answeredAt.IsZero() || m.now.Sub(o.answeredAt) > m.config.ObservationTTL {
			continue
		}
		if o.reachable {
			return false
		}
		if !slices.Contains(dataCentres, o.dataCentre) {
			dataCentres = append(dataCentres, o.dataCentre)
		}
	}
	return len(dataCentres) >= 2 || m.singleDataCentre
}

func (m *Machine) observeRequested(e ObserveRequested) {
	s := m.servers[e.Server]
	if s == nil {
		return
	}
	s.observeRequests = slices.DeleteFunc(s.observeRequests, func(r observeRequest) bool { return r.from == e.From })
	s.observeRequests = append(s.observeRequests, observeRequest{from: e.From, term: e.Term, receivedAt: m.now})
	s.probeRequested = true
}

// answerObservers answers the outstanding questions about a server. The answer
// is "reachable" once a probe or ping sent after the question is answered. It
// is "unreachable" once the server is unresponsive to this host and a probe
// sent after the question would be late, because the failures may be older than
// the question. A question from an older term is answered "reachable", because
// nothing may be decided on an old record.
func (m *Machine) answerObservers(id group.ServerID, s *server) {
	unresponsive, at := s.unresponsive(m.now)
	pending := s.observeRequests[:0]
	for _, r := range s.observeRequests {
		reachable := !s.answeredProbeSentAt.Before(r.receivedAt) || !s.answeredPingSentAt.Before(r.receivedAt) || r.term < m.record.Term
		due := r.receivedAt.Add(s.lateThreshold())
		if !reachable && (!unresponsive || m.now.Before(due)) {
			m.wakeAt(at)
			m.wakeAt(due)
			pending = append(pending, r)
			continue
		}
		m.emit(Observation{To: r.from, Server: id, Term: r.term, Reachable: reachable})
	}
	s.observeRequests = pending
}
