package failover

import (
	"time"

	"basilmill/core/distribution"
	"basilmill/core/group"
	"basilmill/core/host"
)

// Event is an input of a Machine, passed to Handle.
type Event interface{ event() }

// RecordChanged delivers the group's record from the platform's watch, from a
// relay, or as the answer to ReadRecord. An answer to ReadRecord is delivered
// even if its version is known, because it shows the outcome of an update whose
// reply was lost.
type RecordChanged struct {
	Record  *group.Record
	Version distribution.Version
}

// CoordinatorsChanged delivers the group's coordinators in the order of their
// rank, which placement computes. This host may be one of them. A host that is
// not sends probes only when a coordinator asks it to.
type CoordinatorsChanged struct {
	Coordinators []Coordinator
	// SingleDataCentre says that the platform's host list names only one data
	// centre, so that no observer in a second one can exist. It must not be
	// derived from the hosts that are currently reachable, because an isolated
	// data centre would then count as the only one.
	SingleDataCentre bool
}

// Coordinator is a host that runs a Machine for the group and decides on its
// changes.
type Coordinator struct {
	Host       host.ID
	DataCentre host.DataCentre
}

// StatusReceived is a server's answer to a Probe. It counts even if it arrives
// after the timeout. SentAt is copied from the Probe.
type StatusReceived struct {
	Status group.Status
	SentAt time.Time
}

// ProbeFailed says that a Probe got no answer. Refused is set if the server's
// host refused or reset the connection, which proves that the server process
// does not run. It is not set if the server itself refused the query.
type ProbeFailed struct {
	Server  group.ServerID
	SentAt  time.Time
	Refused bool
}

// ServerReached says that a ping over a separate connection reached the
// server's host although the status query has no answer yet. A status query may
// be blocked by retransmissions on its connection; a ping is not. Answered is
// set if the server process answered, even with an error; otherwise only its
// host accepted the connection.
type ServerReached struct {
	Server   group.ServerID
	SentAt   time.Time
	Answered bool
}

// SuspicionReported says that the host From lost a connection to the primary or
// got no answer on one.
type SuspicionReported struct{ From host.ID }

// WritesStalled says that writes up to the position have waited unusually long
// for confirmation.
type WritesStalled struct{ Position group.Position }

// ServerLeaving says that a peer or the platform has marked the server as
// leaving.
type ServerLeaving struct{ Server group.ServerID }

// ObserveRequested asks, for another coordinator, whether this host reaches the
// server. The machine answers with one Observation action.
type ObserveRequested struct {
	From   host.ID
	Server group.ServerID
	Term   group.Term
}

// ObservationReceived is the answer to an Observe action.
type ObservationReceived struct {
	From       host.ID
	DataCentre host.DataCentre
	Server     group.ServerID
	Term       group.Term
	Reachable  bool
}

// ObservationFailed says that an Observe action got no answer.
type ObservationFailed struct {
	From   host.ID
	Server group.ServerID
}

// UpdateApplied says that the platform applied the UpdateRecord.
type UpdateApplied struct {
	ChangeID group.ChangeID
	Version  distribution.Version
	Record   *group.Record
}

// UpdateConflict says that the platform rejected the UpdateRecord because its
// record has another version: the given one.
type UpdateConflict struct {
	Record  *group.Record
	Version distribution.Version
}

// UpdateUnknown says that the UpdateRecord got no reply: the update may have
// taken effect or may still do so.
type UpdateUnknown struct{ ChangeID group.ChangeID }

// ReadFailed says that the platform did not answer a ReadRecord.
type ReadFailed struct{}

// CommandDone says that the server executed the command. Offset is the result
// of Promote, SetSuccessor and Quiesce.
type CommandDone struct {
	Command Command
	Offset  group.Offset
}

// CommandFailed says that the command was refused or got no answer. Every
// command ends with a CommandDone or a CommandFailed.
type CommandFailed struct {
	Command Command
	Err     error
}

// TimerFired says that the time returned by NextTimer has been reached.
type TimerFired struct{}

func (RecordChanged) event()       {}
func (CoordinatorsChanged) event() {}
func (StatusReceived) event()      {}
func (ProbeFailed) event()         {}
func (ServerReached) event()       {}
func (SuspicionReported) event()   {}
func (WritesStalled) event()       {}
func (ServerLeaving) event()       {}
func (ObserveRequested) event()    {}
func (ObservationReceived) event() {}
func (ObservationFailed) event()   {}
func (UpdateApplied) event()       {}
func (UpdateConflict) event()      {}
func (UpdateUnknown) event()       {}
func (ReadFailed) event()          {}
func (CommandDone) event()         {}
func (CommandFailed) event()       {}
func (TimerFired) event()          {}
