package caller

import (
	"time"

	"basilmill/core/account"
	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/core/statement"
	"basilmill/io/backendserver"
)

// Event is something that happened to a session.
type Event interface{ event() }

// SessionStarted follows the authentication of a caller.
type SessionStarted struct{ Account account.ID }

// SessionEnded follows the end of a started session.
type SessionEnded struct{ Account account.ID }

// StatementDone follows the answer to a statement, or to a batch of the
// extended protocol up to its Sync or Flush.
type StatementDone struct {
	Account account.ID
	Class   statement.Class
	// ServedBy is the role of the server that answered last. It is without
	// meaning when Served is false.
	ServedBy group.Role
	Served   bool
	Outcome  outcome.Outcome
	Duration time.Duration
}

// ConnectionLost follows the loss of a connection during a conversation, or
// the failure to open one.
type ConnectionLost struct {
	Target backendserver.Target
	Err    error
}

// Rerouted follows a decision to run a statement elsewhere after it certainly
// did not run, or had no effect, on the target.
type Rerouted struct {
	Target backendserver.Target
	Cause  error
}

func (SessionStarted) event() {}
func (SessionEnded) event()   {}
func (StatementDone) event()  {}
func (ConnectionLost) event() {}
func (Rerouted) event()       {}
