package backendserver

import (
	"maps"
	"slices"
	"strings"
	"time"

	"basilmill/core/group"
)

// Faults are the injected faults of a server. The zero value has none.
type Faults struct {
	// ReplicationDelay is the least age of an entry that a feed sends.
	ReplicationDelay time.Duration
	// ReplicationStalled stops the feeds without closing them.
	ReplicationStalled bool
	// ReplicationTo restricts the two faults above to the feeds of the listed
	// replicas; empty means all.
	ReplicationTo []group.ServerID
	// ApplyDelay is the least time between receiving and applying an entry.
	ApplyDelay time.Duration
	// StatementDelay delays each statement that reads or writes tables.
	StatementDelay time.Duration
	// ReceivedExcess is added to the received offset in the status: the server
	// claims entries that it does not have.
	ReceivedExcess group.Offset
	// Leaving sets the leaving mark in the status.
	Leaving bool
	// Cuts interrupt connections. The first cut that matches applies.
	Cuts []Cut
}

// CutMode tells how a cut interrupts connections.
type CutMode int

// Modes of a cut.
const (
	// Refuse closes existing and new connections.
	Refuse CutMode = iota
	// BlackHole accepts connections and neither reads nor answers on them.
	// Connections continue when the cut is removed.
	BlackHole
)

// Cut selects connections to interrupt.
type Cut struct {
	Mode CutMode
	// AllClients selects every client connection.
	AllClients bool
	// Applications selects clients by prefixes of application_name.
	Applications []string
	// Replicas selects feeds that the listed replicas receive.
	Replicas []group.ServerID
}

// Counters count what the server did since its start.
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

func (f *Faults) replication(replica group.ServerID) (delay time.Duration, stalled bool) {
	if len(f.ReplicationTo) > 0 && !slices.Contains(f.ReplicationTo, replica) {
		return 0, false
	}
	return f.ReplicationDelay, f.ReplicationStalled
}

// cut returns the mode of the first cut that selects a connection.
func (f *Faults) cut(p peer) (mode CutMode, ok bool) {
	i := slices.IndexFunc(f.Cuts, func(c Cut) bool { return c.selects(p) })
	if i < 0 {
		return 0, false
	}
	return f.Cuts[i].Mode, true
}

func (c Cut) selects(p peer) bool {
	switch p := p.(type) {
	case replica:
		return slices.Contains(c.Replicas, p.id)
	case client:
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

// applyCut puts a connection into the state that the faults require. The
// caller holds the mutex.
func (s *Server) applyCut(c *connection) {
	mode, cut := s.faults.cut(c.peer)
	if cut && mode == Refuse {
		_ = c.Close()
		return
	}
	c.hold(cut)
}

// CloseConnections closes all connections of clients and feeds at once.
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
