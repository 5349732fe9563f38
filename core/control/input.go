package control

import (
	"time"

	"basilmill/core/distribution"
	"basilmill/core/failover"
	"basilmill/core/group"
	"basilmill/core/host"
)

// Input is an input of the control thread.
type Input interface{ input() }

// ObjectsReceived delivers objects from the platform or a relay.
type ObjectsReceived struct{ Update distribution.Update }

// ObjectsRequested asks for the objects that changed after a version. Reply
// must have room for one update.
type ObjectsRequested struct {
	After distribution.Version
	Reply chan<- distribution.Update
}

// PlatformAnswered says that the platform answered a watch, so that the host
// has everything accepted before the answer.
type PlatformAnswered struct{}

// PlatformFailed says that the platform did not answer.
type PlatformFailed struct{}

// RelayAnswered says that a relay in contact with the platform answered.
type RelayAnswered struct{}

// HostsListed delivers the platform's host list.
type HostsListed struct{ Hosts []host.Info }

// HostHeard says that an exchange with another host succeeded. Applied is the
// version in force there, or zero if that was not told; Summary is what it knows about data centres.
type HostHeard struct {
	Info    host.Info
	Applied distribution.Version
	Summary []distribution.AppliedVersion
}

// HostFailed says that an exchange with another host failed.
type HostFailed struct{ ID host.ID }

// HostLeaving says that another host announced that it leaves.
type HostLeaving struct{ Info host.Info }

// Leave makes the own host leave: it hands its groups over.
type Leave struct{}

// GroupEvent delivers an event to a group's failover machine.
type GroupEvent struct {
	Group group.ID
	Event failover.Event
}

// StatusObserved delivers a status answer to a query that no machine asked
// for: an evidence or floor query.
type StatusObserved struct {
	Group  group.ID
	Status group.Status
	SentAt time.Time
	// Done, if set, is closed when the group's view has the status.
	Done chan<- struct{}
}

func (ObjectsReceived) input()  {}
func (ObjectsRequested) input() {}
func (PlatformAnswered) input() {}
func (PlatformFailed) input()   {}
func (RelayAnswered) input()    {}
func (HostsListed) input()      {}
func (HostHeard) input()        {}
func (HostFailed) input()       {}
func (HostLeaving) input()      {}
func (Leave) input()            {}
func (GroupEvent) input()       {}
func (StatusObserved) input()   {}

// Action is an output of the control thread.
type Action interface{ action() }

// GroupAction carries an action of a group's failover machine. Record is the
// group's record, with the addresses of its servers.
type GroupAction struct {
	Record *group.Record
	Action failover.Action
}

// ObjectRejected says that an object could not be used.
type ObjectRejected struct {
	Key     distribution.Key
	Version distribution.Version
	Err     error
}

// VersionApplied says that everything up to the version is in force.
type VersionApplied struct{ Version distribution.Version }

// HostsChanged says that the usable hosts changed.
type HostsChanged struct{ Added, Removed []host.Info }

// CoordinatorsChanged says that the coordinators of a group or the own share
// of its connections changed.
type CoordinatorsChanged struct{ View *GroupView }

// ServerLost says that a server was replaced as primary or has not answered
// for a while, so that statements that run on it have to be given up.
type ServerLost struct {
	Group  group.ID
	Server group.ServerID
	// Replaced is set when the server is no longer the primary.
	Replaced bool
}

func (GroupAction) action()         {}
func (ObjectRejected) action()      {}
func (VersionApplied) action()      {}
func (HostsChanged) action()        {}
func (CoordinatorsChanged) action() {}
func (ServerLost) action()          {}
