package replicated

import (
	"fmt"
	"maps"
	"slices"
	"strings"
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
	s.cluster.notify()
}

// End stops the server for good. Its entry and its log are gone.
func (s *Server) End() {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.end()
}

// Transfer stops the server for good, and transfers its log to another one.
func (s *Server) Transfer(to *Server) {
	c := s.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers[s.id] != s {
		return
	}
	if c.servers[to.id] == to && len(s.log) > len(to.log) {
		to.log, to.appliedCount, to.term = s.log, len(s.log), max(to.term, s.term)
	}
	s.end()
}

// end stops the server for good. The caller must hold the cluster's mutex.
func (s *Server) end() {
	if s.cluster.servers[s.id] != s {
		return
	}
	s.up, s.primary, s.unlisted = false, false, true
	s.log, s.appliedCount = nil, 0
	s.closeStreams()
	delete(s.cluster.servers, s.id)
	s.cluster.notify()
}

// StartEmpty restarts the server under its id as a replica without a log. Its entry shows
// another boot.
func (s *Server) StartEmpty() {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	if s.cluster.servers[s.id] != s {
		return
	}
	s.up, s.primary, s.suspendedTerm = true, false, 0
	s.log, s.appliedCount = nil, 0
	s.catalogEntry.BootID++
	s.closeStreams()
	s.cluster.notify()
}

// StartAs starts the server under another id, with its log and term, and as the primary
// unless another server has been promoted meanwhile. The store lists it after the delay.
// It returns nil if the server has ended.
func (s *Server) StartAs(id group.ServerID, listingDelay time.Duration) *Server {
	c := s.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.servers[s.id] != s {
		return nil
	}
	primary, term, log := s.primary, s.term, s.log
	address := s.catalogEntry.Address
	s.end()
	c.inheritFaults(s.id, id)
	started := c.add(id)
	started.primary, started.term, started.log, started.appliedCount = primary, term, log, len(log)
	started.catalogEntry.Address = address
	started.unlisted = true
	time.AfterFunc(listingDelay, func() { started.SetUnlisted(false) })
	return started
}

// Start restarts the server with its log. It is a replica afterwards if another
// server has been promoted meanwhile.
func (s *Server) Start() {
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	if s.cluster.servers[s.id] != s {
		return
	}
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

// replicate copies the primary's log to the replicas at intervals, until the cluster is
// stopped.
func (c *Cluster) replicate() {
	ticker := time.NewTicker(replicationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stopped:
			return
		case <-ticker.C:
			c.replicateOnce()
		}
	}
}

// replicateOnce copies the primary's log to each replica unless a fault prevents it.
func (c *Cluster) replicateOnce() {
	c.mu.Lock()
	defer c.mu.Unlock()
	primary := c.primary()
	if primary == nil || !primary.up || primary.unreachable || primary.isolated {
		return
	}
	copied := false
	for _, s := range c.servers {
		if s != primary && s.receivesFrom(primary) {
			copied = s.copyLog(primary) || copied
		}
	}
	if copied {
		c.notify()
	}
}

// receivesFrom reports whether a replica receives the log of a primary that sends it.
func (s *Server) receivesFrom(primary *Server) bool {
	return s.up && !s.unreachable && !s.replicationStopped && !s.isolated && s.suspendedTerm <= primary.term &&
		!s.cluster.areSeparated(s.id, primary.id)
}

// copyLog copies the primary's log to the server and reports whether that changed it. The
// caller must hold the cluster's mutex.
func (s *Server) copyLog(primary *Server) bool {
	s.term = primary.term
	if sharesLog(s, primary) {
		return false
	}
	// The servers can share the log, because appending to it copies it.
	s.log = primary.log
	length := len(s.log)
	s.appliedCount = min(s.appliedCount, length)
	if s.applyDelay == 0 {
		s.appliedCount = length
		return true
	}
	cluster := s.cluster
	time.AfterFunc(s.applyDelay, func() {
		cluster.mu.Lock()
		defer cluster.mu.Unlock()
		s.appliedCount = max(s.appliedCount, min(length, len(s.log)))
	})
	return true
}

// sharesLog reports whether a replica has the same log as the primary since it copied it.
func sharesLog(s, primary *Server) bool {
	return len(s.log) == len(primary.log) && (len(s.log) == 0 || &s.log[0] == &primary.log[0])
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

// position returns the log position after the first length commits. Its term is that of
// the last of them, the first one if there is none.
func (s *Server) position(length int) group.Position {
	if length == 0 {
		return group.Position{Term: 1}
	}
	return group.Position{Term: s.log[length-1].term, Offset: group.Offset(length)}
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
			s.suspendedTerm = statement.Term
		}
	case exchange.Resume:
		s.suspendedTerm = 0
	case exchange.Demote:
		if s.primary && statement.Term > s.term {
			s.primary = false
			s.cluster.notify()
		}
	default:
	}
	return exchange.Answer{Status: s.status(), Position: s.position(s.appliedCount)}
}

// States describes the servers, without the ends of their logs. The primary is marked by an
// asterisk, a server that is down by an exclamation mark.
func (c *Cluster) States() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var states []string
	for _, id := range slices.Sorted(maps.Keys(c.servers)) {
		s := c.servers[id]
		state := fmt.Sprintf("%s term %d", id, s.term)
		if s.primary {
			state += "*"
		}
		if !s.up {
			state += "!"
		}
		if s.suspendedTerm != 0 {
			state += fmt.Sprintf(" suspended for %d", s.suspendedTerm)
		}
		states = append(states, state)
	}
	return strings.Join(states, ", ")
}
