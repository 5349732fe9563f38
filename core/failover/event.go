package failover

import (
	"time"

	"basilmill/core/distribution"
	"basilmill/core/group"
	"basilmill/core/host"
)

// Event is an input of a Machine.
type Event interface{ event() }

// RecordChanged delivers the group's record: from the watch, from a relay, or
// as the answer to ReadRecord. An answer is delivered even if the version is
// already known, because it settles an update whose reply was lost.
type RecordChanged struct {
	Record  *group.Record
	Version distribution.Version
}

// CoordinatorsChanged delivers the group's watchers in the order of their rank,
// which placement computes; the own host may be among them. A host that is not
// among them probes nothing unless a watcher asks it to.
type CoordinatorsChanged struct {
	Coordinators []Coordinator
	// SingleDataCentre says that the platform's host list names only one data
	// centre, so that observers of a second one cannot exist. It must not be
	// derived from the hosts that are reachable at the moment: an isolated
	// data centre would take itself for the only one.
	SingleDataCentre bool
}

// Coordinator is a host that watches the group.
type Coordinator struct {
	Host       host.ID
	DataCentre host.DataCentre
}

// StatusReceived is a server's answer to a Probe. It may arrive after its
// timeout and still counts. SentAt is the Probe's own SentAt.
type StatusReceived struct {
	Status group.Status
	SentAt time.Time
}

// ProbeFailed says that a Probe got no answer. Refused is set when the server's
// host refused or reset the connection, which proves that the server does not
// run, and not for a refusal by the server itself.
type ProbeFailed struct {
	Server  group.ServerID
	SentAt  time.Time
	Refused bool
}

// ServerReached says that a ping over a connection of its own reached the server's
// host, although the status query has no answer yet. A status query waits
// behind the retransmissions of its connection; a ping does not. Answered is
// set when the server process itself answered, or refused a query with an
// error; otherwise only its host accepted the connection.
type ServerReached struct {
	Server   group.ServerID
	SentAt   time.Time
	Answered bool
}

// SuspicionReported says that the host, a holder of connections to the primary, lost
// one or got no answer on it.
type SuspicionReported struct{ From host.ID }

// WritesStalled says that writes up to the position wait for confirmation
// longer than usual.
type WritesStalled struct{ Position group.Position }

// ServerLeaving says that a peer or the platform marked the server as leaving.
type ServerLeaving struct{ Server group.ServerID }

// ObserveRequested is another watcher's question whether the own host reaches
// the server. The machine answers with one Observation action.
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

// UpdateApplied says that the platform accepted the UpdateRecord.
type UpdateApplied struct {
	ChangeID group.ChangeID
	Version  distribution.Version
	Record   *group.Record
}

// UpdateConflict says that the platform refused the UpdateRecord and has the
// given record.
type UpdateConflict struct {
	Record  *group.Record
	Version distribution.Version
}

// UpdateUnknown says that the reply to the UpdateRecord was lost or that the
// platform did not answer: the update may take effect, even later.
type UpdateUnknown struct{ ChangeID group.ChangeID }

// ReadFailed says that the platform did not answer a ReadRecord.
type ReadFailed struct{}

// CommandDone says that the server carried out the command. Offset is the
// result of Promote, SetSuccessor and Quiesce.
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

// TimerFired says that the time that NextTimer returned has come.
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
