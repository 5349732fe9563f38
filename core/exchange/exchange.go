// Package exchange defines the statements and answers that basilmill exchanges
// with callers and backend servers, independently of any protocol. Protocol
// packages encode and decode these types.
package exchange

import (
	"time"

	"basilmill/core/group"
)

// StatementID is the identifier that a caller gave a statement. It is empty for
// statements that basilmill issues itself.
type StatementID string

// Operation is the kind of a statement.
type Operation int

// Operations. Reset, Status, Suspend, Resume and Demote are only sent to
// backend servers.
const (
	Invalid Operation = iota
	Begin
	BeginRead
	Commit
	Rollback
	Read
	Write
	Set
	Prepare
	Execute
	Release
	Reset
	Status
	Suspend
	Resume
	Demote
)

// Statement is one statement that a caller or basilmill itself issues.
type Statement struct {
	ID        StatementID
	Operation Operation
	// Name names the session value that Set assigns, or the prepared statement
	// of Prepare, Execute and Release.
	Name string
	// Value is the value that Set assigns.
	Value string
	// Prepared is the statement that Prepare creates.
	Prepared PreparedStatement
	// Arguments is the remaining text of a Read, Write or Execute. It is passed
	// to backend servers unchanged.
	Arguments string
	// MinPosition is the log position that a server must have reached before
	// it runs a Read, Execute, Begin or BeginRead; zero means any.
	MinPosition group.Position
	// Term is the term for which Suspend or Demote is issued.
	Term group.Term
}

// PreparedStatement is the content of a prepared statement. Writes says whether
// executing it may change data.
type PreparedStatement struct {
	Writes bool
	Text   string
}

// State is the transaction state of a session or of a connection to a backend
// server.
type State int

// Transaction states.
const (
	Idle State = iota
	InTransaction
	// TransactionFailed means that a statement of the transaction failed: the
	// transaction can only be ended, which rolls it back.
	TransactionFailed
)

// Answer is the complete answer to a statement.
type Answer struct {
	Rows []string
	// Digest is the backend server's proof that it ran the statement. It is
	// empty if no backend server was involved.
	Digest string
	// Failure is set if the statement did not succeed.
	Failure *Error
	State   State
	// Position is the end of the part of the server's log that reads see; zero
	// if the server did not state it.
	Position group.Position
	// Status is set in the answers to Status, Suspend, Resume and Demote.
	Status *ServerStatus
	// ProcessAge is how long the backend server's process is known to have run when the
	// host that holds the connection received the answer; zero if it is not known.
	ProcessAge time.Duration
}

// Error is the reason why a statement did not succeed.
type Error struct {
	Code Code
	Text string
}

// Error returns the code and the text.
func (e *Error) Error() string { return e.Code.String() + ": " + e.Text }

// Code classifies the failure of a statement.
type Code int

// Failure codes. Each implies what is known about the execution of the
// statement.
const (
	// Unclassified stands for a code that basilmill does not know. Whether the
	// statement ran is unknown.
	Unclassified Code = iota
	// Busy, PositionNotReached, ReadOnly, WrongServer, TooManyConnections and
	// NoStatement mean that the statement did not run.
	Busy
	PositionNotReached
	ReadOnly
	WrongServer
	TooManyConnections
	NoStatement
	// ExecutionFailed means that the statement ran and failed.
	ExecutionFailed
	// TimedOut means that the statement exceeded its time limit.
	TimedOut
	// Aborted means that the transaction has been rolled back.
	Aborted
	// InDoubt means that the outcome is unknown: the statement may have taken
	// effect or not.
	InDoubt
	NoDatabase
	TooLarge
	Malformed
	Unauthorised
)

var codeNames = [...]string{
	Unclassified: "unclassified", Busy: "busy", PositionNotReached: "behind", ReadOnly: "read only",
	WrongServer: "wrong server", TooManyConnections: "too many connections", NoStatement: "no such statement",
	ExecutionFailed: "failed", TimedOut: "timed out", Aborted: "aborted", InDoubt: "in doubt", NoDatabase: "no such database",
	TooLarge: "too large", Malformed: "malformed", Unauthorised: "unauthorised",
}

// String returns the name of the code.
func (c Code) String() string {
	if c < 0 || int(c) >= len(codeNames) {
		return codeNames[Unclassified]
	}
	return codeNames[c]
}

// NotRun reports whether a backend server's failure with this code proves that
// the statement did not run.
func (c Code) NotRun() bool {
	switch c {
	case Busy, PositionNotReached, ReadOnly, WrongServer, TooManyConnections, NoStatement:
		return true
	default:
		return false
	}
}

// ErrorAnswer returns an answer that states a failure.
func ErrorAnswer(code Code, text string, state State) Answer {
	return Answer{Failure: &Error{Code: code, Text: text}, State: state}
}

// Role is the role of a backend server in the replication of its group.
type Role int

// Roles. The zero value stands for a role that basilmill does not know.
const (
	UnknownRole Role = iota
	Primary
	Replica
)

// ServerStatus is a backend server's answer to Status, Suspend, Resume and
// Demote.
type ServerStatus struct {
	Role Role
	Term group.Term
	// ReceivedPosition is the end of the log that the server has received.
	// Reads may not see all of it yet.
	ReceivedPosition group.Position
	// SuspendedTerm is the term of the Suspend on which the server stopped
	// receiving the log; zero if it receives.
	SuspendedTerm group.Term
	// ReplicationLag is how far the server's reads lag behind the primary, as
	// the server states it.
	ReplicationLag time.Duration
	// SlotsInUse and ConnectionsInUse count the execution slots and the
	// connections that are in use on the server.
	SlotsInUse, ConnectionsInUse int
}
