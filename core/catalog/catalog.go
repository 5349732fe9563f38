// Package catalog owns a host's view of the routes that operators configure and
// of the backend servers that register themselves in the platform's store. It
// never replaces a configuration by one with a lower version.
package catalog

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"basilmill/core/group"
	"basilmill/core/host"
)

// Version is the version of a configuration. Later versions are higher, not
// necessarily by one.
type Version int64

// Consistency is the consistency guarantee of a route's reads: which acknowledged
// writes they must see.
type Consistency int

// Consistency guarantees.
const (
	// Current reads see every write acknowledged before the read arrived.
	Current Consistency = iota
	// BoundedAge reads may miss writes acknowledged within the route's MaxAge.
	BoundedAge
	// OwnWrites reads are BoundedAge reads that also see every write of the
	// same session.
	OwnWrites
)

// String returns the name of the guarantee for logs and metrics.
func (c Consistency) String() string {
	switch c {
	case Current:
		return "current"
	case BoundedAge:
		return "bounded-age"
	case OwnWrites:
		return "own-writes"
	default:
		return "unknown"
	}
}

// Route assigns the callers of a database to a group of backend servers, and sets
// the guarantees for their statements.
type Route struct {
	Name string
	// Database is the name that callers connect to.
	Database    string
	Group       group.ID
	Consistency Consistency
	MaxAge      time.Duration
	// StatementTimeout bounds one statement.
	StatementTimeout time.Duration
	// TargetLatency is the latency objective for a whole operation.
	TargetLatency time.Duration
	// Priority orders waiting requests; 0 is the highest.
	Priority int
	// Public is set if callers need no API key.
	Public bool
}

// Group is the configuration of a group of backend servers.
type Group struct {
	ID group.ID
	// ConnectionLimit bounds the connections of all callers to one server.
	ConnectionLimit int
	// SyncReplicas is the number of replicas that confirm a commit.
	SyncReplicas int
}

// Config is one version of the configuration that operators write.
type Config struct {
	Version Version
	Routes  map[string]Route // by database
	Groups  map[group.ID]Group
	// Accounts are the client accounts; nil if the configuration has none, and callers
	// then need no API key.
	Accounts *Accounts
	// IdleInTransactionTimeout bounds the pause between two statements of a
	// transaction; zero means no bound.
	IdleInTransactionTimeout time.Duration
}

// Server is a backend server as it registered itself.
type Server struct {
	ID         group.ServerID
	Group      group.ID
	Address    netip.AddrPort
	DataCentre host.DataCentre
	Leaving    bool
	// Slots is the number of statements that the server runs at the same time; zero if it
	// states none.
	Slots int
	// ClaimsPrimary is set if the server considered itself the primary when it
	// wrote the entry. That may be outdated.
	ClaimsPrimary bool
	// BootID changes when the server restarts, after which it has lost its
	// state.
	BootID int64
}

// View is an immutable snapshot of the configuration and the servers.
type View struct {
	Config  *Config // nil until a configuration is known
	Servers map[group.ServerID]Server
}

// Members returns the servers of a group, ordered by id.
func (v *View) Members(id group.ID) []Server {
	var members []Server
	for _, s := range v.Servers {
		if s.Group == id {
			members = append(members, s)
		}
	}
	slices.SortFunc(members, func(a, b Server) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	return members
}

// Route returns the route of a database.
func (v *View) Route(database string) (Route, bool) {
	if v.Config == nil {
		return Route{}, false
	}
	r, ok := v.Config.Routes[database]
	return r, ok
}

// ConfigVersion returns the version of the configuration, zero if there is
// none.
func (v *View) ConfigVersion() Version {
	if v.Config == nil {
		return 0
	}
	return v.Config.Version
}

// clone returns a copy whose map of servers may be modified.
func (v *View) clone() *View {
	return &View{Config: v.Config, Servers: maps.Clone(v.Servers)}
}
