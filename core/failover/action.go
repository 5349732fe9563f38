package failover

import (
	"net/netip"
	"time"

	"basilmill/core/distribution"
	"basilmill/core/group"
	"basilmill/core/host"
)

// Action is something that a Machine wants done. Handle returns it.
type Action interface{ action() }

// Probe queries the server's status. Probes of one server may overlap. The
// query must run until the timeout, long after the machine counts it as late,
// because a late answer still proves that the server runs.
type Probe struct {
	Server  group.ServerID
	SentAt  time.Time
	Timeout time.Duration
}

// Observe asks another coordinator whether it reaches the server. The answer is
// an ObservationReceived or an ObservationFailed. It may take as long as the
// other host needs to detect a failure.
type Observe struct {
	Host   host.ID
	Server group.ServerID
	Term   group.Term
}

// Observation answers an ObserveRequested.
type Observation struct {
	To        host.ID
	Server    group.ServerID
	Term      group.Term
	Reachable bool
}

// UpdateRecord updates the record if it still has the expected version. The
// answer is UpdateApplied, UpdateConflict or UpdateUnknown. At most one update
// is in flight; it may be repeated unchanged.
type UpdateRecord struct {
	Record          *group.Record
	ExpectedVersion distribution.Version
}

// ReadRecord reads the record from the platform directly, bypassing relays. The
// answer is RecordChanged or ReadFailed.
type ReadRecord struct{}

// Execute sends a command to a backend server. At most one command per server
// is in flight.
type Execute struct{ Command Command }

// Command is a command to a backend server. Commands are comparable values and
// idempotent.
type Command interface {
	command()
	// Target is the server that executes the command.
	Target() group.ServerID
}

// Promote makes the server primary of the term.
type Promote struct {
	Server     group.ServerID
	Term       group.Term
	Generation group.Generation
	Successor  group.ServerID
}

// SetSuccessor makes the primary replicate to the successor under the
// generation.
type SetSuccessor struct {
	Server     group.ServerID
	Term       group.Term
	Generation group.Generation
	Successor  group.ServerID
}

// Follow makes the server a replica of the primary. It is repeated until the
// server reports the term, so a repetition must not restart replication that is
// already in progress.
type Follow struct {
	Server  group.ServerID
	Term    group.Term
	Primary group.ServerID
	Address netip.AddrPort
}

// Quiesce makes the primary finish open transactions and refuse writes.
type Quiesce struct {
	Server group.ServerID
	Term   group.Term
}

// Report is an action that informs logs and metrics. It needs no answer.
type Report interface {
	Action
	report()
}

// PrimarySuspected reports that probes of the primary fail and other
// coordinators are being asked.
type PrimarySuspected struct {
	Server group.ServerID
	Term   group.Term
}

// SuspicionWithdrawn reports that a suspected primary answered after all.
type SuspicionWithdrawn struct {
	Server   group.ServerID
	Term     group.Term
	Duration time.Duration
}

// ChangeDecided reports that an update of the record is being attempted.
type ChangeDecided struct {
	Record *group.Record
	Cause  string
}

// ChangeLost reports that another host's update took effect instead of this
// host's.
type ChangeLost struct{ ChangeID group.ChangeID }

// NoEligibleSuccessor reports, once per suspicion, that the primary is lost and
// the successor cannot replace it.
type NoEligibleSuccessor struct {
	Successor group.ServerID
	Term      group.Term
}

// ChangeCompleted reports that the new primary executed its promotion. Gap is
// the time since this host last had an answer from the old primary or, for a
// planned change, since the old primary began to refuse writes.
type ChangeCompleted struct {
	Primary group.ServerID
	Term    group.Term
	Start   group.Offset
	Gap     time.Duration
}

// SuccessorChanged reports that a change of successor was recorded.
type SuccessorChanged struct {
	Successor  group.ServerID
	Generation group.Generation
}

// CommandRefused reports that a command was refused or got no answer. It is
// reported for every attempt.
type CommandRefused struct {
	Command Command
	Err     error
}

// PlatformUnavailable reports that an update or a read got no answer. It is not
// repeated until PlatformAvailable.
type PlatformUnavailable struct{}

// PlatformAvailable reports that the platform answers again.
type PlatformAvailable struct{}

func (Probe) action()               {}
func (Observe) action()             {}
func (Observation) action()         {}
func (UpdateRecord) action()        {}
func (ReadRecord) action()          {}
func (Execute) action()             {}
func (PrimarySuspected) action()    {}
func (SuspicionWithdrawn) action()  {}
func (ChangeDecided) action()       {}
func (ChangeLost) action()          {}
func (NoEligibleSuccessor) action() {}
func (ChangeCompleted) action()     {}
func (SuccessorChanged) action()    {}
func (CommandRefused) action()      {}
func (PlatformUnavailable) action() {}
func (PlatformAvailable) action()   {}

func (PrimarySuspected) report()    {}
func (SuspicionWithdrawn) report()  {}
func (ChangeDecided) report()       {}
func (ChangeLost) report()          {}
func (NoEligibleSuccessor) report() {}
func (ChangeCompleted) report()     {}
func (SuccessorChanged) report()    {}
func (CommandRefused) report()      {}
func (PlatformUnavailable) report() {}
func (PlatformAvailable) report()   {}

func (Promote) command()      {}
func (SetSuccessor) command() {}
func (Follow) command()       {}
func (Quiesce) command()      {}

// Target returns the server to be promoted.
func (c Promote) Target() group.ServerID { return c.Server }

// Target returns the primary.
func (c SetSuccessor) Target() group.ServerID { return c.Server }

// Target returns the replica.
func (c Follow) Target() group.ServerID { return c.Server }

// Target returns the primary.
func (c Quiesce) Target() group.ServerID { return c.Server }
