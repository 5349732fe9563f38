// Package caller owns the server side of the PostgreSQL protocol. A caller is
// a client connection to this host. The package handles start-up and
// authentication, the sessions that run callers' statements on backend
// servers, the outcome reported to each caller, and cancel requests.
package caller

import (
	"context"
	"time"

	"basilmill/core/account"
	"basilmill/core/group"
	"basilmill/core/statement"
	"basilmill/io/backendserver"
)

// Identity describes a caller: its client account, database group and database,
// the verifier for its password, and the time limits of its requests.
type Identity struct {
	Account  account.ID
	Group    group.ID
	Database string
	// Verifier is the SCRAM-SHA-256 verifier in PostgreSQL's format. If it is
	// empty, the caller is accepted without a password.
	Verifier string
	// ConfirmationTimeout bounds the wait until a committed write is confirmed
	// to be on the successor; zero selects DefaultConfirmationTimeout.
	ConfirmationTimeout time.Duration
	// QueueTimeout bounds the wait for a server and a connection. It starts when
	// the request arrives and covers all attempts; zero means no bound.
	QueueTimeout time.Duration
}

// Request is a statement or transaction that needs a backend server.
type Request struct {
	Identity
	// SQL is the text of the first statement.
	SQL   string
	Class statement.Class
	// Floor is the session's floor: the log position that a server must have
	// applied to serve the session. Zero means none.
	Floor group.Position
	// FloorKnown is set when the caller presented a token in this session. The
	// floor then also covers what the caller wrote through other sessions.
	FloorKnown bool
	// Excluded lists the servers that failed to serve this request in earlier
	// attempts.
	Excluded []group.ServerID
}

// Decision is the result of routing a request: the server to run it on.
type Decision struct {
	Target     backendserver.Target
	Term       group.Term
	Generation group.Generation
	// Primary is set if the target is the primary of Term.
	Primary bool
	// Floor replaces the session's floor if it is higher.
	Floor group.Position
	// Conversation is set if routing has already opened one, as when the request
	// was forwarded to a coordinator.
	Conversation backendserver.Conversation
}

// Host provides authentication, routing, connections and confirmation of
// writes to sessions. Errors are *outcome.Error where an outcome other than
// NotRun is possible.
type Host interface {
	// Authenticate returns the identity for the user and database names in a
	// start-up message.
	Authenticate(ctx context.Context, user, database string) (Identity, error)
	// Route decides where to run a request. It may block for a bounded time.
	Route(ctx context.Context, request Request) (Decision, error)
	// Acquire opens a conversation with the target.
	Acquire(ctx context.Context, target backendserver.Target) (backendserver.Conversation, error)
	// Confirm returns nil once the successor has the write at the position. The
	// generation is the one under which the primary replicates to its successor.
	// effect is set if the write is known to have changed data. Otherwise it may
	// have left no record in the log, and its confirmation needs stronger proof.
	Confirm(ctx context.Context, group group.ID, generation group.Generation, position group.Position, effect bool) error
	// MayRetry reports whether the account's retry budget allows another
	// attempt, and counts the attempt against the budget.
	MayRetry(id account.ID) bool
	// Observe receives events. It must not block.
	Observe(event Event)
}
