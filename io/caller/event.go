package caller

import (
	"time"

	"basilmill/core/account"
	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/core/statement"
	"basilmill/io/backendserver"
)

// Event is an event in the life of a session, for logs and metrics.
type Event interface{ event() }

// SessionStarted reports that a caller was authenticated.
type SessionStarted struct{ Account account.ID }

// SessionEnded reports that a started session has ended.
type SessionEnded struct{ Account account.ID }

// StartingClosed reports that a connection was closed before its caller was authenticated,
// because there were too many.
type StartingClosed struct{ Peer string }

// StatementDone reports the answer to a simple query, or to a batch of the
// extended protocol up to its Sync or Flush.
type StatementDone struct {
	Account account.ID
	Class   statement.Class
	// ServedBy is the role of the server that the session used last. It has no
	// meaning if Served is false.
	ServedBy group.Role
	Served   bool
	Outcome  outcome.Outcome
	Duration time.Duration
}

// ConnectionLost reports that a connection was lost during a conversation or
// could not be opened.
type ConnectionLost struct {
	Target backendserver.Target
	Err    error
}

// Rerouted reports that a statement will be routed again, either because it is
// certain that it had no effect on the target or because its request key prevents
// a second effect. Cause is the failure of the attempt.
type Rerouted struct {
	Target backendserver.Target
	Cause  error
}

func (SessionStarted) event() {}
func (SessionEnded) event()   {}
func (StartingClosed) event() {}
func (StatementDone) event()  {}
func (ConnectionLost) event() {}
func (Rerouted) event()       {}
