// Package group defines a database group, that is, one primary and its
// replicas: identifiers, log positions, the group record that the platform
// stores with its legal transitions, and the status that a backend server
// reports.
package group

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"basilmill/core/host"
)

// ID names a database group.
type ID string

// ServerID names a backend server within its group.
type ServerID string

// ChangeID identifies one attempt to update a record. A writer that got no
// reply to its update finds out by the ChangeID whether the stored record
// contains that update.
type ChangeID string

// Term counts the changes of primary of a group, starting at 1.
type Term int64

// Generation counts the changes of primary or successor of a group, starting
// at 1. In a replica's status, zero means that it does not replicate directly
// from the primary as the named successor.
type Generation int64

// Offset is a byte offset in a group's log. Offsets continue across terms.
type Offset int64

// Position is a point in the replicated log of a group. The term is part of it
// because logs of different terms may hold different entries at an offset.
type Position struct {
	Term   Term
	Offset Offset
}

// IsZero reports whether the position is unset.
func (p Position) IsZero() bool { return p == Position{} }

// Compare orders positions by term, then by offset.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Term, q.Term), cmp.Compare(p.Offset, q.Offset))
}

// String formats the position as term:offset.
func (p Position) String() string { return fmt.Sprintf("%d:%d", p.Term, p.Offset) }

// Role is the replication role of a backend server.
type Role int

// Roles of a backend server.
const (
	Replica Role = iota
	Primary
)

// String returns "replica" or "primary".
func (r Role) String() string {
	if r == Primary {
		return "primary"
	}
	return "replica"
}

// Server describes one backend server of a group.
type Server struct {
	ID         ServerID
	Address    netip.AddrPort
	DataCentre host.DataCentre
	// Leaving marks a server that is being taken out of service.
	Leaving bool
}

// Record is the authoritative configuration of a group: its members, their
// roles, the term and the generation. The platform stores it, and hosts change
// it only by conditional update on its version.
type Record struct {
	ID         ID
	Term       Term
	Generation Generation
	Primary    ServerID
	// Successor is the only replica whose receipt of a write acknowledges the
	// write, and the only one that may be promoted.
	Successor ServerID
	// Candidate is the next successor while a change of successor is in
	// progress, else empty.
	Candidate ServerID
	// Databases lists the databases that every server of the group holds.
	Databases []string
	// ConnectionLimit bounds the open connections to each server.
	ConnectionLimit int
	Servers         []Server
	ChangeID        ChangeID
	// Changes holds the most recent audit entries, oldest first.
	Changes []Change
}

// Change is the audit entry of one update of a record.
type Change struct {
	ID         ChangeID
	Host       host.ID
	Time       time.Time
	Cause      string
	Term       Term
	Generation Generation
	Primary    ServerID
	Successor  ServerID
}

// Server returns the server with the given id.
func (r *Record) Server(id ServerID) (server Server, ok bool) {
	i := slices.IndexFunc(r.Servers, func(s Server) bool { return s.ID == id })
	if i < 0 {
		return Server{}, false
	}
	return r.Servers[i], true
}

// Status is a backend server's answer to a status query.
type Status struct {
	Server ServerID
	Role   Role
	Term   Term
	// TermStart is the log offset at which the server's current term begins.
	TermStart Offset
	// Generation is, on a replica, the generation that its replication stream
	// last carried in the current term and, on a primary, the generation under
	// which it replicates to its successor.
	Generation Generation
	// Successor is the replica to which a primary replicates under Generation.
	Successor ServerID
	// Received is the end of the log that the server holds; Applied is the end
	// of the part that its reads see.
	Received Offset
	Applied  Offset
	Leaving  bool
}

// Contains reports whether every acknowledged write up to p is visible to
// reads on the server. A server of a lower term never contains p because its
// log may have diverged; a server of a higher term contains every
// acknowledged write of earlier terms once it has applied its term's start.
func (s Status) Contains(p Position) bool { return contains(s, s.Applied, p) }

// HasReceived reports whether the server holds every acknowledged write up to
// p in its log, whether or not reads see it yet.
func (s Status) HasReceived(p Position) bool { return contains(s, s.Received, p) }

func contains(s Status, offset Offset, p Position) bool {
	switch {
	case s.Term < p.Term:
		return false
	case s.Term == p.Term:
		return offset >= p.Offset
	default:
		return offset >= min(p.Offset, s.TermStart)
	}
}

// Confirms reports whether the status proves that the write at p is in the
// successor's log. The status must come from the record's successor, as a
// replica, in the record's term and generation.
func (s Status) Confirms(r *Record, p Position) bool {
	return s.Server == r.Successor &&
		s.Role == Replica &&
		s.Term == r.Term &&
		s.Generation == r.Generation &&
		p.Term == r.Term &&
		s.Received >= p.Offset
}
