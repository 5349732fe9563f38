// Package exchange defines the statements and answers that basilmill exchanges
// with callers and backend servers, independent of any protocol. Protocol
// packages translate to and from these types.
package exchange

import (
	"time"

	"basilmill/core/group"
)

// StatementID identifies a statement of a caller. It is empty for statements
// that basilmill issues itself.
type StatementID string

// Operation says what a statement does.
type Operation int

// Operations. The last five are only sent to backend servers.
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

// Statement is one statement of a caller or of basilmill.
type Statement struct {
	ID        StatementID
	Operation Operation
	// Name is the session value of Set, or the prepared statement of Prepare,
	// Execute and Release.
	Name string
	// Value is the value of Set.
	Value string
	// Prepared is what Prepare prepares.
	Prepared PreparedStatement
	// Arguments is the rest of a Read, Write or Execute. Backend servers get
	// it as the caller wrote it.
	Arguments string
	// MinPosition is the position that a server's log must contain before it runs a
	// Read, Execute, Begin or BeginRead; zero means any.
	MinPosition group.Position
	// Term is the term of Suspend and Demote.
	Term group.Term
}

// PreparedStatement is the content of a prepared statement.
type PreparedStatement struct {
	Writes bool
	Text   string
}

// State is the transaction state of a session or connection.
type State int

// Transaction states.
const (
	Idle State = iota
	InTransaction
	// TransactionFailed means that the transaction can only be ended, which rolls it back.
	TransactionFailed
)

// Answer is the complete answer to a statement.
type Answer struct {
	Rows []string
	// Digest is the backend server's proof that it ran the statement; empty
	// for statements that were answered without one.
	Digest string
	// Failure is set when the statement did not succeed.
	Failure *Error
	State   State
	// Position is the end of the server's readable log; zero if not stated.
	Position group.Position
	// Status is set in the answers to Status, Suspend, Resume and Demote.
	Status *ServerStatus
}

// Error is the reason why a statement did not succeed.
type Error struct {
	Code Code
	Text string
}

// Error returns the code and the text.
func (e *Error) Error() string { return e.Code.String() + ": " + e.Text }

// Code classifies failures.
type Code int

// Codes of failures. Each says whether the statement ran.
const (
	// Unclassified is a code that basilmill does not know; nothing is known
	// about the execution.
	Unclassified Code = iota
	// Busy, PositionNotReached, ReadOnly, WrongServer, TooManyConnections and NoStatement
	// mean that the statement did not run.
	Busy
	PositionNotReached
	ReadOnly
	WrongServer
	TooManyConnections
	NoStatement
	// ExecutionFailed means that the statement ran and failed.
	ExecutionFailed
	// TimedOut means that the time limit of the statement passed.
	TimedOut
	// Aborted means that nothing of the transaction is kept.
	Aborted
	// InDoubt means that the outcome is unknown.
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

// ErrorAnswer returns an answer with a failure.
func ErrorAnswer(code Code, text string, state State) Answer {
	return Answer{Failure: &Error{Code: code, Text: text}, State: state}
}

// Role is a backend server's role in its group.
type Role int

// Roles. The zero value is a role that basilmill does not know.
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
	// ReceivedPosition is the end of the server's log, which may not be readable yet.
	ReceivedPosition group.Position
	// SuspendedTerm is the term for which the server has stopped receiving; zero
	// if it receives.
	SuspendedTerm group.Term
	// ReplicationLag is how far reads are behind, as the server states it.
	ReplicationLag time.Duration
	// SlotsInUse and ConnectionsInUse count slots and connections in use.
	SlotsInUse, ConnectionsInUse int
}
