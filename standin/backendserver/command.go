package backendserver

import (
	"context"
	"time"

	"basilmill/core/group"
	"basilmill/standin/internal/sql"
)

func errWrongState(format string, args ...any) error {
	return sql.Errorf(sql.WrongState, format, args...)
}

// position returns the end of the primary's log and the generation under
// which the primary replicates to its successor.
func (s *Server) position() (group.Position, group.Generation, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.role != group.Primary {
		return group.Position{}, 0, errWrongState("server %s is not the primary", s.config.ID)
	}
	return group.Position{Term: s.log.currentTerm().Term, Offset: s.log.end()}, s.generation, nil
}

// promote makes the server the primary of a term. It applies all received
// entries and returns the start of the term, the previous end of the log. When
// the command is repeated in the same term, a higher generation replaces the
// successor.
func (s *Server) promote(
	term group.Term, generation group.Generation, successor group.ServerID,
) (group.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.log.currentTerm()
	if s.role == group.Primary && current.Term == term {
		if err := s.changeSuccessor(generation, successor); err != nil {
			return 0, err
		}
		return current.Start, nil
	}
	if term <= current.Term || term <= s.commandedTerm {
		return 0, errWrongState("server %s is already in term %d", s.config.ID, max(current.Term, s.commandedTerm))
	}
	s.stopFollower()
	s.endWriteEpoch()
	s.closeStreams("")
	s.role, s.commandedTerm, s.quiesced = group.Primary, term, false
	s.generation, s.successor = generation, successor
	s.log.startTerm(term, time.Now())
	s.notify()
	s.logger.Info("promoted", "term", term, "generation", generation, "successor", successor)
	return s.log.currentTerm().Start, nil
}

// setSuccessor makes a replica the successor under a generation and returns
// the end of the log.
func (s *Server) setSuccessor(
	term group.Term, generation group.Generation, successor group.ServerID,
) (group.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != group.Primary || s.log.currentTerm().Term != term {
		return 0, errWrongState("server %s is not the primary of term %d", s.config.ID, term)
	}
	if err := s.changeSuccessor(generation, successor); err != nil {
		return 0, err
	}
	return s.log.end(), nil
}

// changeSuccessor replaces the successor and closes the replication streams to
// the old and the new one, which reconnect. Thus the old successor receives no
// entries past the current end of the log under its old generation.
func (s *Server) changeSuccessor(generation group.Generation, successor group.ServerID) error {
	if generation < s.generation {
		return errWrongState("server %s is already in generation %d", s.config.ID, s.generation)
	}
	if generation == s.generation && successor == s.successor {
		return nil
	}
	if s.successor != "" {
		s.closeStreams(s.successor)
	}
	if successor != "" {
		s.closeStreams(successor)
	}
	s.generation, s.successor = generation, successor
	s.notify()
	s.logger.Info("successor changed", "generation", generation, "successor", successor)
	return nil
}

// follow makes the server a replica of a primary and returns the end of its
// log. If the server was the primary of a lower term, its open write
// transactions fail.
func (s *Server) follow(term group.Term, primary group.ServerID, address string) (group.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if primary == s.config.ID || address == "" {
		return 0, sql.Errorf(sql.InvalidParameter, "server %s cannot follow %q at %q", s.config.ID, primary, address)
	}
	current := s.log.currentTerm().Term
	if term < max(current, s.commandedTerm) || term == current && s.role == group.Primary {
		return 0, errWrongState("server %s is already in term %d", s.config.ID, max(current, s.commandedTerm))
	}
	s.commandedTerm = term
	if s.role == group.Primary {
		s.role, s.quiesced = group.Replica, false
		s.generation, s.successor = 0, ""
		s.endWriteEpoch()
		s.closeStreams("")
		s.logger.Info("primary becomes replica", "term", term)
	}
	if f := s.follower; f == nil || f.primary != primary || f.address != address {
		s.startFollower(primary, address)
	}
	s.notify()
	return s.log.end(), nil
}

// quiesce refuses new write transactions, waits up to the quiesce timeout for
// open ones, fails those that remain, and returns the end of the log. The
// server accepts writes again only after it is promoted in a higher term.
func (s *Server) quiesce(ctx context.Context, term group.Term) (group.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != group.Primary || s.log.currentTerm().Term != term {
		return 0, errWrongState("server %s is not the primary of term %d", s.config.ID, term)
	}
	s.quiesced = true
	timer := time.NewTimer(s.config.QuiesceTimeout)
	defer timer.Stop()
	for timedOut := false; s.openWrites > 0 && !timedOut; {
		changed := s.watch()
		s.mu.Unlock()
		var err error
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-ctx.Done():
			err = context.Cause(ctx)
		}
		s.mu.Lock()
		if err != nil {
			return 0, err
		}
		if s.role != group.Primary || s.log.currentTerm().Term != term {
			return 0, errWrongState("server %s left term %d", s.config.ID, term)
		}
	}
	if s.openWrites > 0 {
		s.endWriteEpoch()
	}
	return s.log.end(), nil
}
