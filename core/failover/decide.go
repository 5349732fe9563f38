package failover

import (
	"time"

	"basilmill/core/group"
)

// Causes of changes, as they appear in audit entries.
const (
	causePrimaryLost             = "primary lost"
	causePrimaryNotReplicating   = "primary feeds no replica"
	causePrimaryLeaving          = "primary is leaving"
	causeNoSuccessor             = "no successor"
	causeSuccessorLost           = "successor lost"
	causeSuccessorLeaving        = "successor is leaving"
	causeSuccessorNotReplicating = "successor is not fed"
	causeSuccessorLags           = "successor lags"
	causeCandidateReady          = "candidate caught up"
)

// decide proposes a change of the record if the servers' state requires one. At
// most one update is in flight.
func (m *Machine) decide() {
	lost := m.confirmedLost(m.record.Primary)
	if m.debounced(&m.primaryLost, lost, m.staggerDelay()) {
		m.replacePrimary(causePrimaryLost)
	}
	if lost || !m.primaryServing() {
		return
	}
	if m.finishSuccessorChange() || m.changeSuccessor() {
		return
	}
	m.finishPlannedChange()
}

// primaryServing reports whether the recorded primary answers as the primary of
// the record's term.
func (m *Machine) primaryServing() bool {
	p := m.servers[m.record.Primary]
	return p != nil && p.hasAnswered() && !p.suspected(m.now) &&
		p.status.Role == group.Primary && p.status.Term == m.record.Term
}

// replacePrimary promotes the successor if it is eligible. No other server is
// ever promoted.
func (m *Machine) replacePrimary(cause string) {
	s := m.servers[m.record.Successor]
	if s == nil || !m.record.Eligible(s.status) || s.isUnresponsive(m.now) {
		if !m.term.noSuccessorReported {
			m.term.noSuccessorReported = true
			m.emit(NoEligibleSuccessor{Successor: m.record.Successor, Term: m.record.Term})
		}
		return
	}
	if s.suspected(m.now) {
		return
	}
	record, err := m.record.Promote(m.author(cause), s.status, m.nextSuccessor(false))
	m.proposeUpdate(record, err, cause)
}

func (s *server) isUnresponsive(now time.Time) bool {
	unresponsive, _ := s.unresponsive(now)
	return unresponsive
}

// nextSuccessor chooses the successor of the next term: the most advanced
// reachable server, and a leaving one only if there is no other. After a
// planned change it may be the old primary. It is empty if there is no such
// server.
func (m *Machine) nextSuccessor(planned bool) group.ServerID {
	var best group.ServerID
	for _, info := range m.record.Servers {
		s := m.servers[info.ID]
		isPrimary := info.ID == m.record.Primary
		if info.ID == m.record.Successor || (isPrimary && !planned) || !s.hasAnswered() || s.suspected(m.now) {
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

// isReplicating reports whether, by its answers, the replica is up to date or
// has received entries of the primary's log within StallThreshold.
func (m *Machine) isReplicating(s *server) bool {
	return s.behindSince.IsZero() || s.lastAnswerAt.Sub(s.behindSince) < m.config.StallThreshold
}

// trackGenerations records for how long a successor or candidate has reported
// the term, but not the generation under which the primary replicates to it. It
// then receives the log from another replica, possibly because its link from
// the primary is down.
func (m *Machine) trackGenerations() {
	p := m.servers[m.record.Primary]
	for _, info := range m.record.Servers {
		s := m.servers[info.ID]
		isNamed := info.ID == m.record.Successor || info.ID == m.record.Candidate
		generationMismatch := isNamed && m.primaryServing() && m.isReplica(s) &&
			p.status.Successor == info.ID && p.status.Generation != s.status.Generation
		m.debounced(&s.generationMismatch, generationMismatch, m.config.StallThreshold)
	}
}

// hasGenerationMismatch reports whether the server's generation has differed
// for the duration.
func (m *Machine) hasGenerationMismatch(s *server, d time.Duration) bool {
	return !s.generationMismatch.since.IsZero() && m.now.Sub(s.generationMismatch.since) >= d
}

// changeSuccessor starts a change of successor, or replaces the candidate, if
// that server is unfit and a better replica exists.
func (m *Machine) changeSuccessor() bool {
	target := m.record.Candidate
	if target == "" {
		target = m.record.Successor
	}
	best := m.bestReplica(target)
	cause := m.replacementCause(target, best)
	if cause != "" && best == "" {
		return m.replaceNonReplicatingPrimary()
	}
	if m.debounced(&m.successorUnfit, cause != "", m.staggerDelay()) {
		record, err := m.record.StartSuccessorChange(m.author(cause), best)
		m.proposeUpdate(record, err, cause)
	}
	return cause != ""
}

// replacementCause returns why the successor or candidate should be replaced,
// empty if it should not.
func (m *Machine) replacementCause(target, best group.ServerID) string {
	s := m.servers[target]
	switch {
	case s == nil:
		return causeNoSuccessor
	case m.isLeaving(target):
		return causeSuccessorLeaving
	case m.confirmedLost(target):
		return causeSuccessorLost
	case !m.isReplicating(s) || m.hasGenerationMismatch(s, m.config.StallThreshold):
		return causeSuccessorNotReplicating
	case best != "" && s.hasAnswered() && m.servers[best].status.Received-s.status.Received > m.config.MaxSuccessorLag:
		return causeSuccessorLags
	default:
		return ""
	}
}

// bestReplica returns the most advanced replica of the record's term, other
// than the target, that is up to date or made progress at its last answer. A
// leaving one is chosen only if there is no successor at all.
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
// term that has received the start of the term.
func (m *Machine) isReplica(s *server) bool {
	return s.hasAnswered() && !s.suspected(m.now) &&
		s.status.Role == group.Replica &&
		s.status.Term == m.record.Term &&
		s.status.Received >= s.status.TermStart
}

// replaceNonReplicatingPrimary replaces a reachable primary whose writes reach
// no replica, so that none can be confirmed.
func (m *Machine) replaceNonReplicatingPrimary() bool {
	s := m.servers[m.record.Successor]
	notReplicating := s != nil && m.isReplica(s)
	for _, info := range m.record.Servers {
		r := m.servers[info.ID]
		if info.ID != m.record.Primary && m.isReplica(r) && m.isReplicating(r) {
			notReplicating = false
		}
	}
	if m.debounced(&m.primaryStalled, notReplicating, m.staggerDelay()) {
		m.replacePrimary(causePrimaryNotReplicating)
	}
	return notReplicating
}

// finishSuccessorChange records the candidate as the successor once it has
// received every write that the old successor may have confirmed.
func (m *Machine) finishSuccessorChange() bool {
	c := m.servers[m.record.Candidate]
	if c == nil || m.term.lastSetSuccessor != m.candidateSetSuccessor() {
		return false
	}
	record, err := m.record.FinishSuccessorChange(m.author(causeCandidateReady), c.status, m.term.setSuccessorOffset)
	if err != nil {
		m.expediteProbe(m.record.Candidate)
		return false
	}
	if m.debounced(&m.candidateReady, true, m.resumeDelay()) {
		m.proposeUpdate(record, nil, causeCandidateReady)
	}
	return true
}

// candidateSetSuccessor returns the command that makes the primary replicate to
// the candidate.
func (m *Machine) candidateSetSuccessor() SetSuccessor {
	return SetSuccessor{
		Server:     m.record.Primary,
		Term:       m.record.Term,
		Generation: m.record.Generation + 1,
		Successor:  m.record.Candidate,
	}
}

// expediteProbe probes a server at the short interval if it has nearly caught
// up, because writes wait for it.
func (m *Machine) expediteProbe(id group.ServerID) {
	s := m.servers[id]
	if m.term.logEnd-s.status.Received > m.config.MaxQuiesceLag {
		return
	}
	s.probeRequested = true
	m.probe(id, s)
}

// quiesceDue reports whether the leaving primary should refuse writes now: no
// change of successor is in progress, and the successor is staying, replicating
// and close behind.
func (m *Machine) quiesceDue() bool {
	if !m.isLeaving(m.record.Primary) || m.record.Candidate != "" || m.isLeaving(m.record.Successor) {
		return false
	}
	s := m.servers[m.record.Successor]
	return s != nil && m.isReplica(s) && m.isReplicating(s) &&
		m.term.logEnd-s.status.Received <= m.config.MaxQuiesceLag
}

// finishPlannedChange promotes the successor once it has received the whole log
// of the leaving primary.
func (m *Machine) finishPlannedChange() {
	if !m.term.quiesced || !m.quiesceDue() {
		return
	}
	s := m.servers[m.record.Successor]
	if s.status.Received < m.term.finalOffset {
		m.expediteProbe(m.record.Successor)
		return
	}
	next := m.nextSuccessor(true)
	record, err := m.record.PromotePlanned(m.author(causePrimaryLeaving), s.status, m.term.finalOffset, next)
	m.proposeUpdate(record, err, causePrimaryLeaving)
}
