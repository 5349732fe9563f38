package failover

import (
	"time"

	"basilmill/core/group"
)

// commandState is the state of the commands to one server.
type commandState struct {
	// current is the command that awaits its answer.
	current Command
	sentAt  time.Time
	// want is the command that the record calls for.
	want    Command
	hold    hold
	next    time.Time
	retries int
}

// command sends the command that the record calls for, if any. Every watcher
// does so, the one that wrote the record without delay, so that a change
// continues when its decider fails.
func (m *Machine) command(info group.Server) {
	c := &m.servers[info.ID].command
	if c.current != nil {
		deadline := c.sentAt.Add(m.config.CommandTimeout)
		if m.now.Before(deadline) {
			m.wakeAt(deadline)
			return
		}
		c.retry(m, m.now)
	}
	want := m.wanted(info)
	if want != c.want {
		*c = commandState{want: want}
	}
	if want == nil || !m.held(&c.hold, true, m.commandDelay(want)) {
		return
	}
	if m.now.Before(c.next) {
		m.wakeAt(c.next)
		return
	}
	c.current, c.sentAt = want, m.now
	m.emit(Execute{Command: want})
	m.wakeAt(m.now.Add(m.config.CommandTimeout))
}

// commandDelay is the delay before this host sends a command, so that normally
// one host does. Hosts hold writes as soon as they see that the primary is
// leaving, so that Quiesce, which begins a change, is delayed like a decision.
func (m *Machine) commandDelay(command Command) time.Duration {
	if _, ok := command.(Quiesce); ok {
		return m.staggered()
	}
	return m.resumption()
}

// retry schedules the next attempt.
func (c *commandState) retry(m *Machine, now time.Time) {
	c.current = nil
	c.next = now.Add(m.backoff(c.retries))
	c.retries++
}

func (m *Machine) wanted(info group.Server) Command {
	s := m.servers[info.ID]
	switch {
	case !s.heard():
		return nil
	case info.ID == m.record.Primary:
		return m.wantedOfPrimary(s)
	default:
		return m.wantedOfReplica(info.ID, s)
	}
}

func (m *Machine) wantedOfPrimary(s *server) Command {
	r := m.record
	if !m.term.promoted {
		if s.status.Term >= r.Term {
			return nil
		}
		return Promote{Server: r.Primary, Term: r.Term, Generation: r.Generation, Successor: r.Successor}
	}
	if !m.serving() {
		return nil
	}
	if r.Candidate != "" {
		return m.wantedFeed()
	}
	if m.feedsOther(s) {
		return SetSuccessor{Server: r.Primary, Term: r.Term, Generation: r.Generation, Successor: r.Successor}
	}
	if !m.term.quiesced && m.quiesceDue() {
		return Quiesce{Server: r.Primary, Term: r.Term}
	}
	return nil
}

// wantedFeed returns the command that starts the candidate's feed, also again
// when a late command for an earlier candidate has undone it.
func (m *Machine) wantedFeed() Command {
	feed := m.candidateFeed()
	p := m.servers[m.record.Primary]
	undone := p.answeredProbe.After(m.term.fedAt) &&
		(p.status.Generation != feed.Generation || p.status.Successor != feed.Successor)
	if m.term.fed == feed && !undone {
		return nil
	}
	return feed
}

// feedsOther reports whether the primary, asked since the record was adopted,
// feeds another server than the recorded successor: a late command for a
// replaced candidate does that.
func (m *Machine) feedsOther(s *server) bool {
	r := m.record
	if r.Successor == "" || s.answeredProbe.Before(m.adoptedAt) {
		return false
	}
	if s.status.Generation > r.Generation {
		m.reading.wanted = true
		return false
	}
	return s.status.Generation < r.Generation || s.status.Successor != r.Successor
}

func (m *Machine) wantedOfReplica(id group.ServerID, s *server) Command {
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

// needsFollow reports whether a replica that knows the term should be told
// again whom to follow: it may follow a replica that is lost, or one that
// passes the log on but not the generation.
func (m *Machine) needsFollow(s *server) bool {
	if !m.serving() || s.status.Role != group.Replica {
		return false
	}
	return !m.isFed(s) || m.isAstray(s, 2*m.config.ProbeInterval)
}

func (m *Machine) commandDone(e CommandDone) {
	s := m.servers[e.Command.Target()]
	if s == nil {
		return
	}
	if s.command.current == e.Command {
		s.command.retry(m, m.now)
	}
	s.immediate = true
	switch c := e.Command.(type) {
	case Promote:
		if c.Server == m.record.Primary && c.Term == m.record.Term {
			m.setPromoted(e.Offset)
		}
	case SetSuccessor:
		if c.Server == m.record.Primary && c.Term == m.record.Term {
			m.term.fed, m.term.fedOffset, m.term.fedAt = c, e.Offset, m.now
			m.term.end = max(m.term.end, e.Offset)
		}
	case Quiesce:
		if c.Server == m.record.Primary && c.Term == m.record.Term {
			m.term.quiesced, m.term.final, m.term.gapStart = true, e.Offset, m.now
			m.term.end = max(m.term.end, e.Offset)
		}
	case Follow:
		// The server took the command over and may need time to reach the term.
		s.command.next = m.now.Add(m.config.MaxRetryBackoff)
	}
}

func (m *Machine) commandFailed(e CommandFailed) {
	s := m.servers[e.Command.Target()]
	if s == nil || s.command.current != e.Command {
		return
	}
	s.command.retry(m, m.now)
	s.immediate = true
	m.emit(CommandRefused(e))
}

// setPromoted notes that the primary reached the record's term.
func (m *Machine) setPromoted(start group.Offset) {
	if m.term.promoted {
		return
	}
	m.term.promoted = true
	m.term.end = max(m.term.end, start)
	if m.mine {
		m.emit(ChangeCompleted{
			Primary: m.record.Primary,
			Term:    m.record.Term,
			Start:   start,
			Gap:     m.now.Sub(m.term.gapStart),
		})
	}
	m.probeNow()
}
