// Package gateway shares connections to backend servers between hosts. A server
// accepts few connections, so with many hosts only some of them can hold any. Each
// group of hosts, usually those of one data centre, selects one host for each
// server by rendezvous hashing. This host is the gateway to the server: it runs the
// statements of the others on its own connections.
//
// The package owns the choice of the gateway, the channels to it, and the service
// that a gateway offers.
package gateway

import (
	"context"
	"fmt"
	"time"

	"basilmill/core/account"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/link"
)

// ErrLeaving is the link.ErrNoConnection of a gateway that is stopping.
var ErrLeaving = fmt.Errorf("%w: the gateway is stopping", link.ErrNoConnection)

// ErrUnknownServer is the link.ErrNoConnection of a gateway that does not know the
// server.
var ErrUnknownServer = fmt.Errorf("%w: the server is not known", link.ErrNoConnection)

// ErrMalformedBatch is the link.ErrNoConnection of a batch with a statement that cannot be
// sent to a server.
var ErrMalformedBatch = fmt.Errorf("%w: malformed batch", link.ErrNoConnection)

// ErrMalformedResult is the link.ErrLost of a result that does not answer what was sent.
var ErrMalformedResult = fmt.Errorf("%w: malformed result of the gateway", link.ErrLost)

// Batch is a batch of statements for a gateway, which sends them in one flush.
type Batch struct {
	// Server, Exclusive, Account, Priority and TimeForAnswer apply to the first batch of a
	// stream. They have the meaning of link.Request.
	Server        group.ServerID
	Exclusive     bool
	Account       account.ID
	Priority      int
	TimeForAnswer time.Duration
	// WaitLimit also applies to the first batch. It bounds the wait for a
	// connection in any case, so that the refusal arrives while the caller still
	// waits; zero means no bound.
	WaitLimit time.Duration
	// Desired is the session state that the statements need, if any.
	Desired    *link.SessionState
	Statements []exchange.Statement
}

// Result is the result of a batch: the answers to its statements, or the reason why
// there are none. Err is link.ErrLost if the statements may have run. It is
// link.ErrNoConnection if none was sent.
type Result struct {
	Answers []exchange.Answer
	Err     error
	// Load is the load of the server for a request of an account; nil otherwise.
	Load *link.ServerLoad
}

// ProbeResult is the result of a probe on another host. Err is set if the probe
// failed there: an *exchange.Error of the server, or an error as in Result.
type ProbeResult struct {
	Proof Proof
	Err   error
}

// Stream carries the batches of one lease to a gateway.
type Stream interface {
	// Send may block until the gateway has been reached.
	Send(Batch) error
	// Receive returns the results in the order of the batches. If the gateway
	// could not be reached, the error is link.ErrNoConnection.
	Receive() (Result, error)
	// CloseSend tells the gateway that no batch follows. The gateway then ends
	// the stream.
	CloseSend() error
	// Close ends the stream at once.
	Close()
}

// ServedStream is the gateway's side of a Stream.
type ServedStream interface {
	// Receive returns an error after the last batch.
	Receive() (Batch, error)
	Send(Result) error
}

// Network connects a host with the others.
type Network interface {
	// Hosts returns all known hosts and the version of the list, zero before the
	// first one is known. The list must not be modified.
	Hosts() (hosts []host.Info, version int64)
	// AwaitHosts waits until a list is known. The error is that of ctx.
	AwaitHosts(ctx context.Context) error
	// Open returns a stream to a host. It does not block.
	Open(info host.Info) Stream
	// Check returns an error unless a host answers that it accepts batches.
	Check(ctx context.Context, info host.Info) error
	// Probe requests the result of a probe of a server from a host.
	Probe(ctx context.Context, info host.Info, server group.ServerID) (ProbeResult, error)
}
