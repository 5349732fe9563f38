package failover

import (
	"time"

	"basilmill/core/group"
)

// Causes of changes, as they appear in audit entries.
const (
	causePrimaryLost      = "primary lost"
	causePrimaryNoFeed    = "primary feeds no replica"
	causePrimaryLeaving   = "primary is leaving"
	causeNoSuccessor      = "no successor"
	causeSuccessorLost    = "successor lost"
	causeSuccessorLeaving = "successor is leaving"
	causeSuccessorNoFeed  = "successor is not fed"
	causeSuccessorLags    = "successor lags"
	causeCandidateReady   = "candidate caught up"
)

// decide changes the record when the servers' state calls for it. At most one
// update is under way.
func (m *Machine) decide() {
	lost := m.confirmedLost(m.record.Primary)
	if m.held(&m.lost, lost, m.staggered()) {
		m.replacePrimary(causePrimaryLost)
	}
	if lost || !m.serving() {
		return
	}
	if m.finishSuccessorChange() || m.changeSuccessor() {
		return
	}
	m.finishPlannedChange()
}

// serving reports whether the primary answers as the primary of the record.
func (m *Machine) serving() bool {
	p := m.servers[m.record.Primary]
	return p != nil && p.heard() && !p.suspected(m.now) &&
		p.status.Role == group.Primary && p.status.Term == m.record.Term
}

// replacePrimary promotes the successor if it is eligible. No other server is
// ever promoted.
func (m *Machine) replacePrimary(cause string) {
	s := m.servers[m.record.Successor]
	if s == nil || !m.record.Eligible(s.status) || s.lost(m.now) {
		if !m.term.warned {
			m.term.warned = true
			m.emit(NoEligibleSuccessor{Successor: m.record.Successor, Term: m.record.Term})
		}
		return
	}
	if s.suspected(m.now) {
		return
	}
	record, err := m.record.Promote(m.author(cause), s.status, m.nextSuccessor(false))
	m.propose(record, err, cause)
}

func (s *server) lost(now time.Time) bool {
	silent, _ := s.silent(now)
	return silent
}

// nextSuccessor chooses the successor of the next term: the most advanced
// reachable server, and a leaving one only if there is no other. After a
// planned change that may be the old primary. It may be empty.
func (m *Machine) nextSuccessor(planned bool) group.ServerID {
	var best group.ServerID
	for _, info := range m.record.Servers {
		s := m.servers[info.ID]
		isPrimary := info.ID == m.record.Primary
		if info.ID == m.record.Successor || (isPrimary && !planned) || !s.heard() || s.suspected(m.now) {
			continue
		}
		if best == "" || m.preferred(info.ID, best) {
			best = info.ID
		}
	}
	return best
}

// preferred reports whether a is a better next successor than b.
func (m *Machine) preferred(a, b group.ServerID) bool {
	if m.isLeaving(a) != m.isLeaving(b) {
		return m.isLeaving(b)
	}
	if a == m.record.Primary || b == m.record.Primary {
		return b == m.record.Primary
	}
	return m.position(a).Compare(m.position(b)) > 0
}

func (m *Machine) position(id group.ServerID) group.Position {
	s := m.servers[id].status
	return group.Position{Term: s.Term, Offset: s.Received}
}

func (m *Machine) isLeaving(id group.ServerID) bool {
	info, _ := m.record.Server(id)
	return info.Leaving || m.leaving[id]
}

// isFed reports whether the replica receives the primary's log, as far as its
// answers show.
func (m *Machine) isFed(s *server) bool {
	return s.behindSince.IsZero() || s.heardAt.Sub(s.behindSince) < m.config.StallThreshold
}

// trackFeeds notes a successor or candidate that reports the term, but not the
// generation under which the primary feeds it: it follows another replica, or
// the link from the primary is cut while another replica passes the log on.
func (m *Machine) trackFeeds() {
	p := m.servers[m.record.Primary]
	for _, info := range m.record.Servers {
		s := m.servers[info.ID]
		named := info.ID == m.record.Successor || info.ID == m.record.Candidate
		astray := named && m.serving() && m.isReplica(s) &&
			p.status.Successor == info.ID && p.status.Generation != s.status.Generation
		m.held(&s.astray, astray, m.config.StallThreshold)
	}
}

// isAstray reports whether the server has been astray for the time.
func (m *Machine) isAstray(s *server, d time.Duration) bool {
	return !s.astray.since.IsZero() && m.now.Sub(s.astray.since) >= d
}

// changeSuccessor starts a change of successor, or replaces a candidate, when
// the server in question is unfit and a better replica exists.
func (m *Machine) changeSuccessor() bool {
	target := m.record.Candidate
	if target == "" {
		target = m.record.Successor
	}
	best := m.bestReplica(target)
	cause := m.unfitness(target, best)
	if cause != "" && best == "" {
		return m.replaceUnfedPrimary()
	}
	if m.held(&m.unfit, cause != "", m.staggered()) {
		record, err := m.record.StartSuccessorChange(m.author(cause), best)
		m.propose(record, err, cause)
	}
	return cause != ""
}

// unfitness returns why the successor or candidate should be replaced.
func (m *Machine) unfitness(target, best group.ServerID) string {
	s := m.servers[target]
	switch {
	case s == nil:
		return causeNoSuccessor
	case m.isLeaving(target):
		return causeSuccessorLeaving
	case m.confirmedLost(target):
		return causeSuccessorLost
	case !m.isFed(s) || m.isAstray(s, m.config.StallThreshold):
		return causeSuccessorNoFeed
	case best != "" && s.heard() && m.servers[best].status.Received-s.status.Received > m.config.MaxSuccessorLag:
		return causeSuccessorLags
	default:
		return ""
	}
}

// bestReplica returns the most advanced replica of the record's term that
// made progress at its last answer, other than the target. A leaving one serves only where there is no
// successor at all.
func (m *Machine) bestReplica(target group.ServerID) group.ServerID {
	var best group.ServerID
	for _, info := range m.record.Servers {
		s := m.servers[info.ID]
		if info.ID == m.record.Primary || info.ID == target || !m.isReplica(s) || !s.behindSince.IsZero() {
			continue
		}
		if m.isLeaving(info.ID) && target != "" {
			continue
		}
		if best == "" || m.preferred(info.ID, best) {
			best = info.ID
		}
	}
	return best
}

// isReplica reports whether the server answers as a replica of the record's
// primary.
func (m *Machine) isReplica(s *server) bool {
	return s.heard() && !s.suspected(m.now) &&
		s.status.Role == group.Replica &&
		s.status.Term == m.record.Term &&
		s.status.Received >= s.status.TermStart
}

// replaceUnfedPrimary replaces a reachable primary whose writes reach no
// replica, so that none can be confirmed.
func (m *Machine) replaceUnfedPrimary() bool {
	s := m.servers[m.record.Successor]
	unfed := s != nil && m.isReplica(s)
	for _, info := range m.record.Servers {
		r := m.servers[info.ID]
		if info.ID != m.record.Primary && m.isReplica(r) && m.isFed(r) {
			unfed = false
		}
	}
	if m.held(&m.stalled, unfed, m.staggered()) {
		m.replacePrimary(causePrimaryNoFeed)
	}
	return unfed
}

// finishSuccessorChange records the candidate as the successor once it has
// received everything that the old successor may have confirmed.
func (m *Machine) finishSuccessorChange() bool {
	c := m.servers[m.record.Candidate]
	if c == nil || m.term.fed != m.candidateFeed() {
		return false
	}
	record, err := m.record.FinishSuccessorChange(m.author(causeCandidateReady), c.status, m.term.fedOffset)
	if err != nil {
		m.hasten(m.record.Candidate)
		return false
	}
	if m.held(&m.finish, true, m.resumption()) {
		m.propose(record, nil, causeCandidateReady)
	}
	return true
}

// candidateFeed is the command that makes the primary feed the candidate.
func (m *Machine) candidateFeed() SetSuccessor {
	return SetSuccessor{
		Server:     m.record.Primary,
		Term:       m.record.Term,
		Generation: m.record.Generation + 1,
		Successor:  m.record.Candidate,
	}
}

// hasten probes a server at the short interval, because writes wait for it.
func (m *Machine) hasten(id group.ServerID) {
	s := m.servers[id]
	if m.term.end-s.status.Received > m.config.MaxQuiesceLag {
		return
	}
	s.immediate = true
	m.probe(id, s)
}

// quiesceDue reports whether the leaving primary should refuse writes now: the
// successor is eligible and close behind.
func (m *Machine) quiesceDue() bool {
	if !m.isLeaving(m.record.Primary) || m.record.Candidate != "" || m.isLeaving(m.record.Successor) {
		return false
	}
	s := m.servers[m.record.Successor]
	return s != nil && m.isReplica(s) && m.isFed(s) &&
		m.term.end-s.status.Received <= m.config.MaxQuiesceLag
}

// finishPlannedChange promotes the successor once it has the whole log of the
// leaving primary.
func (m *Machine) finishPlannedChange() {
	if !m.term.quiesced || !m.quiesceDue() {
		return
	}
	s := m.servers[m.record.Successor]
	if s.status.Received < m.term.final {
		m.hasten(m.record.Successor)
		return
	}
	next := m.nextSuccessor(true)
	record, err := m.record.PromotePlanned(m.author(causePrimaryLeaving), s.status, m.term.final, next)
	m.propose(record, err, causePrimaryLeaving)
}
