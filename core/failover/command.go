package failover

import (
	"time"

	"basilmill/core/group"
)

// commandState is the state of the commands to one server.
type commandState struct {
	// inFlight is the command whose answer is outstanding.
	inFlight Command
	sentAt   time.Time
	// wanted is the command that the record requires.
	wanted      Command
	debounce    debounce
	nextAttempt time.Time
	retries     int
}

// command sends the command that the record requires, if any. Every coordinator
// does so, the one that wrote the record without delay and the others later, so
// that a change completes even if the host that decided on it fails.
func (m *Machine) command(info group.Server) {
	c := &m.servers[info.ID].command
	if c.inFlight != nil {
		deadline := c.sentAt.Add(m.config.CommandTimeout)
		if m.now.Before(deadline) {
			m.wakeAt(deadline)
			return
		}
		c.scheduleRetry(m, m.now)
	}
	wanted := m.wantedCommand(info)
	if wanted != c.wanted {
		*c = commandState{wanted: wanted}
	}
	if wanted == nil || !m.debounced(&c.debounce, true, m.commandDelay(wanted)) {
		return
	}
	if m.now.Before(c.nextAttempt) {
		m.wakeAt(c.nextAttempt)
		return
	}
	c.inFlight, c.sentAt = wanted, m.now
	m.emit(Execute{Command: wanted})
	m.wakeAt(m.now.Add(m.config.CommandTimeout))
}

// commandDelay is the delay before this host sends a command, so that normally
// only one host does. Quiesce begins a planned change and is delayed only like
// a decision, because hosts hold writes from the moment they see that the
// primary is leaving.
func (m *Machine) commandDelay(command Command) time.Duration {
	if _, ok := command.(Quiesce); ok {
		return m.staggerDelay()
	}
	return m.resumeDelay()
}

// scheduleRetry ends the attempt in flight and schedules the next one.
func (c *commandState) scheduleRetry(m *Machine, now time.Time) {
	c.inFlight = nil
	c.nextAttempt = now.Add(m.backoff(c.retries))
	c.retries++
}

func (m *Machine) wantedCommand(info group.Server) Command {
	s := m.servers[info.ID]
	switch {
	case !s.hasAnswered():
		return nil
	case info.ID == m.record.Primary:
		return m.wantedPrimaryCommand(s)
	default:
		return m.wantedReplicaCommand(info.ID, s)
	}
}

func (m *Machine) wantedPrimaryCommand(s *server) Command {
	r := m.record
	if !m.term.promoted {
		if s.status.Term >= r.Term {
			return nil
		}
		return Promote{Server: r.Primary, Term: r.Term, Generation: r.Generation, Successor: r.Successor}
	}
	if !m.primaryServing() {
		return nil
	}
	if r.Candidate != "" {
		return m.wantedSetSuccessor()
	}
	if m.replicatesToOther(s) {
		return SetSuccessor{Server: r.Primary, Term: r.Term, Generation: r.Generation, Successor: r.Successor}
	}
	if !m.term.quiesced && m.quiesceDue() {
		return Quiesce{Server: r.Primary, Term: r.Term}
	}
	return nil
}

// wantedSetSuccessor returns the command that makes the primary replicate to
// the candidate. It is repeated if a delayed command for an earlier candidate
// has undone it.
func (m *Machine) wantedSetSuccessor() Command {
	command := m.candidateSetSuccessor()
	p := m.servers[m.record.Primary]
	undone := p.answeredProbeSentAt.After(m.term.setSuccessorAt) &&
		(p.status.Generation != command.Generation || p.status.Successor != command.Successor)
	if m.term.lastSetSuccessor == command && !undone {
		return nil
	}
	return command
}

// replicatesToOther reports whether the primary, queried since the record was
// adopted, replicates to another server than the recorded successor. A delayed
// command for a replaced candidate can cause that.
func (m *Machine) replicatesToOther(s *server) bool {
	r := m.record
	if r.Successor == "" || s.answeredProbeSentAt.Before(m.adoptedAt) {
		return false
	}
	if s.status.Generation > r.Generation {
		m.readState.needed = true
		return false
	}
	return s.status.Generation < r.Generation || s.status.Successor != r.Successor
}

func (m *Machine) wantedReplicaCommand(id group.ServerID, s *server) Command {
	r := m.record
	if !m.term.promoted || s.suspected(m.now) || s.status.Term > r.Term {
		return nil
	}
	if s.status.Term == r.Term && !m.needsFollow(s) {
		return nil
	}
	primary, _ := r.Server(r.Primary)
	return Follow{Server: id, Term: r.Term, Primary: r.Primary, Address: primary.Address}
}

// needsFollow reports whether a replica of the current term needs another
// Follow command. It may be replicating from a lost server, or from another
// replica, whose stream does not carry the generation.
func (m *Machine) needsFollow(s *server) bool {
	if !m.primaryServing() || s.status.Role != group.Replica {
		return false
	}
	return !m.isReplicating(s) || m.hasGenerationMismatch(s, 2*m.config.ProbeInterval)
}

func (m *Machine) commandDone(e CommandDone) {
	s := m.servers[e.Command.Target()]
	if s == nil {
		return
	}
	if s.command.inFlight == e.Command {
		s.command.scheduleRetry(m, m.now)
	}
	s.probeRequested = true
	switch c := e.Command.(type) {
	case Promote:
		if c.Server == m.record.Primary && c.Term == m.record.Term {
			m.setPromoted(e.Offset)
		}
	case SetSuccessor:
		if c.Server == m.record.Primary && c.Term == m.record.Term {
			m.term.lastSetSuccessor, m.term.setSuccessorOffset, m.term.setSuccessorAt = c, e.Offset, m.now
			m.term.logEnd = max(m.term.logEnd, e.Offset)
		}
	case Quiesce:
		if c.Server == m.record.Primary && c.Term == m.record.Term {
			m.term.quiesced, m.term.finalOffset, m.term.gapStart = true, e.Offset, m.now
			m.term.logEnd = max(m.term.logEnd, e.Offset)
		}
	case Follow:
		// The server accepted the command and may need time to reach the term.
		s.command.nextAttempt = m.now.Add(m.config.MaxRetryBackoff)
	}
}

func (m *Machine) commandFailed(e CommandFailed) {
	s := m.servers[e.Command.Target()]
	if s == nil || s.command.inFlight != e.Command {
		return
	}
	s.command.scheduleRetry(m, m.now)
	s.probeRequested = true
	m.emit(CommandRefused(e))
}

// setPromoted records that the primary has reached the record's term.
func (m *Machine) setPromoted(start group.Offset) {
	if m.term.promoted {
		return
	}
	m.term.promoted = true
	m.term.logEnd = max(m.term.logEnd, start)
	if m.wroteRecord {
		m.emit(ChangeCompleted{
			Primary: m.record.Primary,
			Term:    m.record.Term,
			Start:   start,
			Gap:     m.now.Sub(m.term.gapStart),
		})
	}
	m.probeAllNow()
}
