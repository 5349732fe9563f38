package control

import (
	"time"

	"basilmill/core/distribution"
	"basilmill/core/failover"
	"basilmill/core/group"
	"basilmill/core/host"
)

// Input is an event that the control thread processes.
type Input interface{ input() }

// ObjectsReceived delivers objects from the platform or a relay.
type ObjectsReceived struct{ Update distribution.Update }

// ObjectsRequested asks for the objects that changed after a version. Reply
// must be buffered, because the thread sends one update and must not block.
type ObjectsRequested struct {
	After distribution.Version
	Reply chan<- distribution.Update
}

// PlatformAnswered says that the platform answered a watch, so that this host
// has every object that the platform accepted before the answer.
type PlatformAnswered struct{}

// PlatformFailed says that the platform did not answer.
type PlatformFailed struct{}

// RelayAnswered says that a relay in contact with the platform answered.
type RelayAnswered struct{}

// HostsListed delivers the platform's host list.
type HostsListed struct{ Hosts []host.Info }

// HostContacted says that an exchange with another host succeeded. Applied is
// the version in force there, zero if unknown. Summary has the versions in
// force in the data centres, as far as the other host knows.
type HostContacted struct {
	Info    host.Info
	Applied distribution.Version
	Summary []distribution.AppliedVersion
}

// HostFailed says that an exchange with another host failed.
type HostFailed struct{ ID host.ID }

// HostLeaving says that another host announced that it is leaving.
type HostLeaving struct{ Info host.Info }

// LeaveRequested makes this host leave, so that other hosts become the
// coordinators of its groups.
type LeaveRequested struct{}

// GroupEvent delivers an event to a group's failover machine.
type GroupEvent struct {
	Group group.ID
	Event failover.Event
}

// StatusObserved delivers the answer to a status query that did not come from a
// machine: one that was sent to confirm writes or to find a session floor.
type StatusObserved struct {
	Group  group.ID
	Status group.Status
	SentAt time.Time
	// Done, if set, is closed once the group's view contains the status.
	Done chan<- struct{}
}

func (ObjectsReceived) input()  {}
func (ObjectsRequested) input() {}
func (PlatformAnswered) input() {}
func (PlatformFailed) input()   {}
func (RelayAnswered) input()    {}
func (HostsListed) input()      {}
func (HostContacted) input()    {}
func (HostFailed) input()       {}
func (HostLeaving) input()      {}
func (LeaveRequested) input()   {}
func (GroupEvent) input()       {}
func (StatusObserved) input()   {}

// Action is something that the control thread wants done outside it.
type Action interface{ action() }

// GroupAction carries an action of a group's failover machine. Record is the
// group's current record, which has the addresses of its servers.
type GroupAction struct {
	Record *group.Record
	Action failover.Action
}

// ObjectRejected says that an object could not be decoded or applied.
type ObjectRejected struct {
	Key     distribution.Key
	Version distribution.Version
	Err     error
}

// RecordLost says that the platform holds an older record than the one in force, in the
// expected version, because its store was restored from a copy.
type RecordLost struct {
	Record          *group.Record
	ExpectedVersion distribution.Version
}

// AccountLost says the same of an account. ExpectedVersion is zero if the platform has no
// such account.
type AccountLost struct {
	Name            string
	Value           []byte
	ExpectedVersion distribution.Version
}

// VersionApplied says that all objects up to the version are in force.
type VersionApplied struct{ Version distribution.Version }

// HostsChanged says that the usable hosts changed.
type HostsChanged struct{ Added, Removed []host.Info }

// CoordinatorsChanged says that the coordinators of a group changed, and with
// them this host's share of the connections to its servers.
type CoordinatorsChanged struct{ View *GroupView }

// ServerLost says that a server was replaced as primary or is unresponsive, so
// that the statements that run on it must be given up.
type ServerLost struct {
	Group  group.ID
	Server group.ServerID
	// Replaced is set when the server is no longer the primary.
	Replaced bool
}

func (GroupAction) action()         {}
func (ObjectRejected) action()      {}
func (RecordLost) action()          {}
func (AccountLost) action()         {}
func (VersionApplied) action()      {}
func (HostsChanged) action()        {}
func (CoordinatorsChanged) action() {}
func (ServerLost) action()          {}
