package failover

import (
	"slices"
	"time"

	"basilmill/core/group"
	"basilmill/core/host"
)

// inquiry collects the observers' answers about one suspected server.
type inquiry struct {
	since     time.Time
	observers map[host.ID]*observer
}

// observer is the state of one other watcher in an inquiry.
type observer struct {
	asked   time.Time // zero if no question is open
	nextAsk time.Time
	// answered is zero if there is no verdict.
	answered   time.Time
	dataCentre host.DataCentre
	reachable  bool
}

// request is an open question of another watcher.
type request struct {
	from host.ID
	term group.Term
	at   time.Time
}

// suspected reports whether the server's failed probes are enough to ask the
// observers: a refusal, three late probes or a process
// that leaves connections unanswered.
func (s *server) suspected(now time.Time) bool {
	const (
		minLate = 3
		// Connections that were accepted just now are normally answered within
		// a round trip.
		minHung = 8
	)
	n, _ := s.late(now)
	return s.refusals > 0 || n >= minLate || s.hung >= minHung
}

// inquire opens, continues or closes the inquiry about a server.
func (m *Machine) inquire(id group.ServerID) {
	s := m.servers[id]
	if s == nil {
		return
	}
	if !s.suspected(m.now) {
		m.withdraw(id, s)
		if _, next := s.late(m.now); !next.IsZero() {
			m.wakeAt(next)
		}
		return
	}
	if s.inquiry == nil {
		s.inquiry = &inquiry{since: m.now, observers: make(map[host.ID]*observer)}
		if id == m.record.Primary {
			m.emit(PrimarySuspected{Server: id, Term: m.record.Term})
		}
	}
	for _, w := range m.watchers {
		if w.Host != m.config.Host {
			m.ask(id, s.inquiry, w)
		}
	}
}

func (m *Machine) withdraw(id group.ServerID, s *server) {
	if s.inquiry == nil {
		return
	}
	if id == m.record.Primary {
		m.emit(SuspicionWithdrawn{Server: id, Term: m.record.Term, Duration: m.now.Sub(s.inquiry.since)})
		m.term.warned = false
	}
	s.inquiry = nil
}

func (m *Machine) ask(id group.ServerID, q *inquiry, w Coordinator) {
	o := q.observers[w.Host]
	if o == nil {
		o = &observer{}
		q.observers[w.Host] = o
	}
	o.dataCentre = w.DataCentre
	if !o.asked.IsZero() {
		deadline := o.asked.Add(m.config.ObserveTimeout)
		if m.now.Before(deadline) {
			m.wakeAt(deadline)
			return
		}
		o.asked = time.Time{}
	}
	if m.now.Before(o.nextAsk) {
		m.wakeAt(o.nextAsk)
		return
	}
	o.asked = m.now
	m.emit(Observe{Host: w.Host, Server: id, Term: m.record.Term})
}

func (m *Machine) openObserver(id group.ServerID, from host.ID) (*inquiry, *observer) {
	s := m.servers[id]
	if s == nil || s.inquiry == nil {
		return nil, nil
	}
	return s.inquiry, s.inquiry.observers[from]
}

func (m *Machine) observed(e ObservationReceived) {
	q, o := m.openObserver(e.Server, e.From)
	if o == nil || e.Term != m.record.Term {
		return
	}
	o.asked = time.Time{}
	o.answered = m.now
	o.reachable = e.Reachable
	o.nextAsk = m.now.Add(m.config.ObservationTTL / 2)
	if !e.Reachable {
		return
	}
	// The server was reached: earlier answers to the contrary are void.
	o.nextAsk = m.now.Add(m.config.ProbeInterval)
	for _, other := range q.observers {
		if !other.reachable {
			other.answered = time.Time{}
			other.nextAsk = m.now
		}
	}
}

func (m *Machine) observationFailed(e ObservationFailed) {
	if _, o := m.openObserver(e.Server, e.From); o != nil {
		*o = observer{dataCentre: o.dataCentre, nextAsk: m.now.Add(m.config.ProbeInterval)}
	}
}

// confirmedLost reports whether the own host and the observers agree that the
// server is lost: it is unreachable from two data centres and no observer
// reached it. One data centre suffices only where there is no second one.
func (m *Machine) confirmedLost(id group.ServerID) bool {
	s := m.servers[id]
	if s == nil {
		return false
	}
	silent, at := s.silent(m.now)
	if !silent {
		m.wakeAt(at)
		return false
	}
	if s.inquiry == nil {
		return false
	}
	dataCentres := []host.DataCentre{m.config.DataCentre}
	for _, o := range s.inquiry.observers {
		if o.answered.IsZero() || m.now.Sub(o.answered) > m.config.ObservationTTL {
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
	s.requests = slices.DeleteFunc(s.requests, func(r request) bool { return r.from == e.From })
	s.requests = append(s.requests, request{from: e.From, term: e.Term, at: m.now})
	s.immediate = true
}

// answerObservers answers the open questions about a server: reachable once a
// probe sent after the question is answered, unreachable once the server is
// silent here and that probe is late, because the silence may be an old one. A
// question from an older term is answered "reachable", since nothing may be
// decided on an old record.
func (m *Machine) answerObservers(id group.ServerID, s *server) {
	silent, at := s.silent(m.now)
	rest := s.requests[:0]
	for _, r := range s.requests {
		reachable := !s.answeredProbe.Before(r.at) || !s.answeredPing.Before(r.at) || r.term < m.record.Term
		due := r.at.Add(s.timeout())
		if !reachable && (!silent || m.now.Before(due)) {
			m.wakeAt(at)
			m.wakeAt(due)
			rest = append(rest, r)
			continue
		}
		m.emit(Observation{To: r.from, Server: id, Term: r.term, Reachable: reachable})
	}
	s.requests = rest
}
