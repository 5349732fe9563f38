package backendserver

import (
	"maps"
	"slices"
	"strings"
	"time"

	"basilmill/core/group"
)

// Faults are the faults injected into a server. The zero value injects none.
type Faults struct {
	// ReplicationDelay is the minimum age at which a log entry is sent to
	// replicas.
	ReplicationDelay time.Duration
	// ReplicationStalled stops sending entries without closing the replication
	// streams.
	ReplicationStalled bool
	// ReplicationTo restricts the two faults above to the listed replicas;
	// empty means all.
	ReplicationTo []group.ServerID
	// ApplyDelay is the minimum time between the receipt of an entry and its
	// application.
	ApplyDelay time.Duration
	// StatementDelay delays each statement, except transaction control,
	// settings and calls of functions of the schema basilmill.
	StatementDelay time.Duration
	// ReceivedExcess is added to the received offset in the status, so that
	// the server reports entries that it does not have.
	ReceivedExcess group.Offset
	// Leaving makes the status report that the server is about to stop.
	Leaving bool
	// Cuts interrupt connections. The first cut that selects a connection
	// applies.
	Cuts []Cut
}

// CutMode is the way in which a cut interrupts connections.
type CutMode int

// Modes of a cut.
const (
	// Refuse closes existing connections, and new ones after their start-up
	// message.
	Refuse CutMode = iota
	// BlackHole accepts connections but blocks all further reads and writes on
	// them. Connections continue when the cut is removed.
	BlackHole
)

// Cut is a fault that interrupts selected connections of a server.
type Cut struct {
	Mode CutMode
	// AllClients selects every client connection.
	AllClients bool
	// Applications selects clients by prefixes of application_name.
	Applications []string
	// Replicas selects the replication streams to the listed replicas.
	Replicas []group.ServerID
}

// Counters count events since the start of the server.
type Counters struct {
	// Opened counts client connections that completed their start-up.
	Opened int64
	// Open and PeakOpen are the current and the highest number of client
	// connections, including those that are starting up.
	Open, PeakOpen int64
	// Refused counts connections refused at the connection limit.
	Refused int64
	// Statements counts executed statements by kind: "insert", "select",
	// "begin", "basilmill.status" and so on.
	Statements map[string]int64
}

// replicationFaults returns the replication faults that apply to a replica.
func (f *Faults) replicationFaults(replica group.ServerID) (delay time.Duration, stalled bool) {
	if len(f.ReplicationTo) > 0 && !slices.Contains(f.ReplicationTo, replica) {
		return 0, false
	}
	return f.ReplicationDelay, f.ReplicationStalled
}

// matchingCut returns the mode of the first cut that selects connections of a
// peer.
func (f *Faults) matchingCut(p peer) (mode CutMode, ok bool) {
	i := slices.IndexFunc(f.Cuts, func(c Cut) bool { return c.selects(p) })
	if i < 0 {
		return 0, false
	}
	return f.Cuts[i].Mode, true
}

func (c Cut) selects(p peer) bool {
	switch p := p.(type) {
	case replicaPeer:
		return slices.Contains(c.Replicas, p.id)
	case clientPeer:
		return c.AllClients || slices.ContainsFunc(c.Applications, func(prefix string) bool {
			return strings.HasPrefix(p.application, prefix)
		})
	}
	return false
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.faults
}

// SetFaults replaces the faults and applies cuts to existing connections.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	for c := range s.connections {
		s.applyCut(c)
	}
	s.notify()
}

// applyCut closes, blocks or unblocks a connection according to the cuts in
// force. The caller must hold the mutex.
func (s *Server) applyCut(c *connection) {
	mode, isCut := s.faults.matchingCut(c.peer)
	if isCut && mode == Refuse {
		_ = c.Close()
		return
	}
	c.setBlocked(isCut)
}

// CloseConnections closes all connections of clients and replicas.
func (s *Server) CloseConnections() {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for c := range s.connections {
		_ = c.Close()
	}
}

// Counters returns a copy of the counters.
func (s *Server) Counters() Counters {
	s.mu.RLock()
	defer s.mu.RUnlock()
	counters := s.counters
	counters.Statements = maps.Clone(counters.Statements)
	return counters
}

func (s *Server) count(kind string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Statements[kind]++
}
