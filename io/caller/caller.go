// Package caller owns the server side of the PostgreSQL protocol towards
// callers: start-up and authentication, the sessions that run their
// statements on conversations with backend servers, the outcome that each
// caller sees, and cancel requests.
package caller

import (
	"context"
	"time"

	"basilmill/core/account"
	"basilmill/core/group"
	"basilmill/core/statement"
	"basilmill/io/backendserver"
)

// Identity is an authenticated or still to be authenticated caller.
type Identity struct {
	Account  account.ID
	Group    group.ID
	Database string
	// Verifier is the SCRAM-SHA-256 verifier in PostgreSQL's format, or empty
	// when the caller is trusted without a password.
	Verifier string
	// ConfirmationTimeout bounds the wait for the confirmation of a write; zero
	// selects DefaultConfirmationTimeout.
	ConfirmationTimeout time.Duration
	// QueueTimeout bounds the wait for a server and a connection, counted from
	// the arrival of a request over all attempts; zero means no bound.
	QueueTimeout time.Duration
}

// Request is a statement or transaction to route.
type Request struct {
	Identity
	// SQL is the text of the first statement.
	SQL   string
	Class statement.Class
	// Floor is the session's floor, zero if it has none.
	Floor group.Position
	// FloorKnown says that the caller presented a token in this session: the
	// floor then covers what the caller wrote through other sessions.
	FloorKnown bool
	// Excluded lists servers that have just failed to serve this request.
	Excluded []group.ServerID
}

// Decision is where to run a request.
type Decision struct {
	Target     backendserver.Target
	Term       group.Term
	Generation group.Generation
	// Primary is set when the target is the primary of Term.
	Primary bool
	// Floor raises the session's floor if it is higher.
	Floor group.Position
	// Conversation is set when routing has opened one already, as a
	// coordinator does for a request that was forwarded to it.
	Conversation backendserver.Conversation
}

// Host is what sessions need from the host they run on. Errors are
// *outcome.Error where an outcome other than NotRun is possible.
type Host interface {
	// Authenticate returns the identity behind the user and database names of
	// a start-up message.
	Authenticate(ctx context.Context, user, database string) (Identity, error)
	// Route decides where to run a request. It may block for a bounded time.
	Route(ctx context.Context, request Request) (Decision, error)
	// Acquire opens a conversation with the target.
	Acquire(ctx context.Context, target backendserver.Target) (backendserver.Conversation, error)
	// Confirm returns nil once the successor has the write at the position.
	// The generation is the one under which the primary feeds its successor.
	// Effect is set when the write certainly changed something; a write that
	// may have left no trace in the log needs a stronger proof.
	Confirm(ctx context.Context, group group.ID, generation group.Generation, position group.Position, effect bool) error
	// MayRetry reports whether the account's retry budget allows one more
	// attempt, and counts it.
	MayRetry(id account.ID) bool
	// Observe receives events. It must not block.
	Observe(event Event)
}
