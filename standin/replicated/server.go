package replicated

import (
	"slices"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// logEntry is one commit in the log of a server.
type logEntry struct {
	id   string
	term group.Term
}

// Server is one backend server of a Cluster. Faults that its exported methods
// inject or end take effect at once.
type Server struct {
	cluster      *Cluster
	id           group.ServerID
	catalogEntry catalog.Server

	// The fields below are guarded by the cluster's mutex.
	term               group.Term
	primary            bool
	up                 bool
	unreachable        bool
	hidden             bool
	replicationStopped bool
	isolated           bool
	unlisted           bool
	applyDelay         time.Duration
	suspendedTerm      group.Term
	log                []logEntry
	appliedCount       int
	streams            []*stream
	openedConnections  int
	// answersToLose is the number of further statements of callers that run
	// but are not answered.
	answersToLose int
	busy          bool
}

// Crash stops the server and closes its connections. Its log remains.
func (s *Server) Crash() {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.up = false
	s.closeStreams()
}

// End stops the server for good. Its entry and its log are gone.
func (s *Server) End() {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.up, s.primary, s.unlisted = false, false, true
	s.log, s.appliedCount = nil, 0
	s.closeStreams()
	delete(s.cluster.servers, s.id)
}

// Start restarts the server with its log. It is a replica afterwards if another
// server has been promoted meanwhile.
func (s *Server) Start() {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.up = true
	s.suspendedTerm = 0
}

// SetUnreachable cuts the server off from hosts and other servers: it neither
// receives nor sends anything, and attempts to connect time out.
func (s *Server) SetUnreachable(unreachable bool) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.unreachable = unreachable
}

// SetHidden cuts the server off from the hosts, but not from the other servers.
func (s *Server) SetHidden(hidden bool) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.hidden = hidden
}

// SetReplicationStopped makes a replica stop receiving commits, while hosts still
// reach it.
func (s *Server) SetReplicationStopped(stopped bool) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.replicationStopped = stopped
}

// SetIsolatedFromServers cuts the server off from the other servers, but not from
// the hosts.
func (s *Server) SetIsolatedFromServers(isolated bool) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.isolated = isolated
}

// SetUnlisted removes the server's entry from the platform's store, or restores
// it.
func (s *Server) SetUnlisted(unlisted bool) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.unlisted = unlisted
}

// SetApplyDelay delays the application of the commits that a replica receives,
// so that its reads return older data.
func (s *Server) SetApplyDelay(delay time.Duration) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.applyDelay = delay
}

// SetLeaving makes the server's entry state that it is about to stop.
func (s *Server) SetLeaving(leaving bool) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.catalogEntry.Leaving = leaving
}

// SetBusy makes the server refuse reads, writes and commits because it has no
// free slot.
func (s *Server) SetBusy(busy bool) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.busy = busy
}

// LoseAnswers makes the server run the next n statements of callers without
// answering them. Their connections answer nothing more.
func (s *Server) LoseAnswers(n int) {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.answersToLose = n
}

// SuspendedTerm returns the term for which replication to the server was
// suspended by a command, or 0. The server receives nothing from primaries of
// lower terms.
func (s *Server) SuspendedTerm() group.Term {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	return s.suspendedTerm
}

// closeStreams ends all connections to the server. The caller must hold the
// cluster's mutex.
func (s *Server) closeStreams() {
	for _, st := range s.streams {
		st.markClosed()
	}
	s.streams = nil
}

// replicate copies the primary's log to the server at intervals, until the
// cluster is stopped.
func (s *Server) replicate() {
	ticker := time.NewTicker(replicationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.cluster.stopped:
			return
		case <-ticker.C:
			s.replicateOnce()
		}
	}
}

// replicateOnce copies the primary's log to the server if it is a replica and no
// fault prevents it.
func (s *Server) replicateOnce() {
	cluster := s.cluster
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	primary := cluster.primary()
	if primary == nil || primary == s || !s.up || !primary.up || s.unreachable || primary.unreachable || s.replicationStopped || s.isolated || primary.isolated || s.suspendedTerm > primary.term {
		return
	}
	s.term = primary.term
	if slices.Equal(s.log, primary.log) {
		return
	}
	s.log = slices.Clone(primary.log)
	length := len(s.log)
	s.appliedCount = min(s.appliedCount, length)
	if s.applyDelay == 0 {
		s.appliedCount = length
		return
	}
	time.AfterFunc(s.applyDelay, func() {
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		s.appliedCount = max(s.appliedCount, min(length, len(s.log)))
	})
}

// isConfirmed reports whether a replica has received the primary's log up to the
// index.
func (c *Cluster) isConfirmed(primary *Server, index int) bool {
	for _, s := range c.servers {
		if s != primary && len(s.log) > index && s.log[index] == primary.log[index] {
			return true
		}
	}
	return false
}

// position returns the log position after the first length commits.
func (s *Server) position(length int) group.Position {
	return group.Position{Term: s.term, Offset: group.Offset(length)}
}

func (s *Server) status() *exchange.ServerStatus {
	role := exchange.Replica
	if s.primary {
		role = exchange.Primary
	}
	return &exchange.ServerStatus{
		Role: role, Term: s.term, ReceivedPosition: s.position(len(s.log)), SuspendedTerm: s.suspendedTerm, ConnectionsInUse: len(s.streams),
	}
}

// runCommand runs a command of a host, such as Suspend or Demote.
func (s *Server) runCommand(statement exchange.Statement) exchange.Answer {
	switch statement.Operation {
	case exchange.Suspend:
		if !s.primary && statement.Term > s.cluster.term {
			s.suspendedTerm = max(s.suspendedTerm, statement.Term)
		}
	case exchange.Resume:
		s.suspendedTerm = 0
	case exchange.Demote:
		if s.primary && statement.Term > s.term {
			s.primary = false
		}
	default:
	}
	return exchange.Answer{Status: s.status(), Position: s.position(s.appliedCount)}
}
