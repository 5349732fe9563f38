package replicated

import (
	"slices"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// entry is one commit in a log.
type entry struct {
	id   string
	term group.Term
}

// Server is one backend server. Its methods change its state at once.
type Server struct {
	world *Cluster
	id    group.ServerID
	entry catalog.Server

	// The world's lock guards the rest.
	term      group.Term
	primary   bool
	up        bool
	dark      bool
	deaf      bool
	stranded  bool
	unlisted  bool
	lag       time.Duration
	suspended group.Term
	log       []entry
	applied   int
	streams   []*stream
	opened    int
	// loseAnswers is the number of callers' statements whose answers get lost.
	loseAnswers int
	busy        bool
}

// Crash ends the server's process.
func (s *Server) Crash() {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.up = false
	s.dropStreams()
}

// Start starts the server again with its log. It comes back as a replica if
// another server has been promoted.
func (s *Server) Start() {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.up = true
	s.suspended = 0
}

// SetUnreachable makes the server silent: nothing reaches it and nothing comes from it.
func (s *Server) SetUnreachable(dark bool) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.dark = dark
}

// SetReplicationStopped keeps a replica from receiving commits.
func (s *Server) SetReplicationStopped(deaf bool) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.deaf = deaf
}

// SetIsolatedFromServers cuts the server from the other servers, not from the hosts.
func (s *Server) SetIsolatedFromServers(stranded bool) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.stranded = stranded
}

// SetUnlisted removes the server's entry from the store, or puts it back.
func (s *Server) SetUnlisted(unlisted bool) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.unlisted = unlisted
}

// SetApplyDelay delays the reading of what a replica has received.
func (s *Server) SetApplyDelay(lag time.Duration) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.lag = lag
}

// SetLeaving makes the server announce that it is about to stop.
func (s *Server) SetLeaving(leaving bool) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.entry.Leaving = leaving
}

// SetBusy makes the server refuse statements for lack of a slot.
func (s *Server) SetBusy(busy bool) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.busy = busy
}

// LoseAnswers loses the answers of the next statements of callers, after they
// have run.
func (s *Server) LoseAnswers(n int) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.loseAnswers = n
}

// SuspendedTerm returns the term for which the server has stopped receiving.
func (s *Server) SuspendedTerm() group.Term {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return s.suspended
}

func (s *Server) dropStreams() {
	for _, st := range s.streams {
		st.drop()
	}
	s.streams = nil
}

// replicate transfers the primary's log to the server while it is a replica.
func (s *Server) replicate() {
	ticker := time.NewTicker(replicationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.world.stopped:
			return
		case <-ticker.C:
			s.receive()
		}
	}
}

func (s *Server) receive() {
	w := s.world
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.primary()
	if p == nil || p == s || !s.up || !p.up || s.dark || p.dark || s.deaf || s.stranded || p.stranded || s.suspended > p.term {
		return
	}
	s.term = p.term
	if slices.Equal(s.log, p.log) {
		return
	}
	s.log = slices.Clone(p.log)
	length := len(s.log)
	s.applied = min(s.applied, length)
	if s.lag == 0 {
		s.applied = length
		return
	}
	time.AfterFunc(s.lag, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		s.applied = max(s.applied, min(length, len(s.log)))
	})
}

// confirmed reports whether a replica has received the primary's log up to the
// index.
func (w *Cluster) confirmed(p *Server, index int) bool {
	for _, s := range w.servers {
		if s != p && len(s.log) > index && s.log[index] == p.log[index] {
			return true
		}
	}
	return false
}

func (s *Server) position(length int) group.Position {
	return group.Position{Term: s.term, Offset: group.Offset(length)}
}

func (s *Server) status() *exchange.ServerStatus {
	role := exchange.Replica
	if s.primary {
		role = exchange.Primary
	}
	return &exchange.ServerStatus{
		Role: role, Term: s.term, Received: s.position(len(s.log)), Suspended: s.suspended, Connections: len(s.streams),
	}
}

// command runs a command of basilmill.
func (s *Server) command(statement exchange.Statement) exchange.Answer {
	switch statement.Operation {
	case exchange.Suspend:
		if !s.primary && statement.Term > s.world.term {
			s.suspended = max(s.suspended, statement.Term)
		}
	case exchange.Resume:
		s.suspended = 0
	case exchange.Demote:
		if s.primary && statement.Term > s.term {
			s.primary = false
		}
	default:
	}
	return exchange.Answer{Status: s.status(), Position: s.position(s.applied)}
}
