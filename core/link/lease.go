package link

import (
	"context"
	"sync"
	"time"

	"basilmill/core/account"
	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/host"
)

// Channel carries the statements of a lease to a backend server.
type Channel interface {
	// Submit sends statements in one flush, preceded by the statements that set
	// up the desired session state if the connection has another one.
	// Statements that need no session state pass nil.
	Submit(desired *SessionState, statements ...exchange.Statement) *Call
	// Abandon states that nobody waits for the answers of a call any longer. The
	// call must not have been abandoned before.
	Abandon(call *Call)
	// Close closes the connection to the backend server, which rolls back an
	// open transaction. Statements in flight fail with ErrLost.
	Close()
}

// Source grants leases of connections to one backend server. It is safe for
// concurrent use.
type Source interface {
	// Acquire returns a lease. Without one the error is ErrNoConnection. A source
	// may also grant the lease first and end a call with ErrNoConnection later.
	Acquire(ctx context.Context, request Request) (*Lease, error)
	// Load returns the number of sessions that use or wait for connections.
	Load() int
}

// Sources returns the source of connections to a backend server.
type Sources func(catalog.Server) Source

// Request describes the connection that a session needs.
type Request struct {
	// Exclusive is set if no other session may have statements in flight on the
	// connection.
	Exclusive bool
	// Desired is the session state that the connection should have, if any.
	Desired *SessionState
	// Account is the client account for which the connection must have been opened. If it
	// is empty, the connection is one of basilmill itself; with a negative priority, any
	// connection will do.
	Account account.ID
	// Priority orders waiting requests; lower ones are served first.
	Priority int
	// TimeForAnswer is the time in which the request's answer is still in time; zero
	// if there is no such limit. A request that can't be answered in time any more
	// waits behind the others until its context ends.
	TimeForAnswer time.Duration
}

// Lease is the right to use a connection until Release, either exclusively or
// shared with other sessions.
type Lease struct {
	Channel
	// Gateway is the host that holds the connection; empty if it is this host.
	Gateway      host.ID
	release      func()
	reportAnswer func(busy bool)
	serverLoad   func() ServerLoad
	releaseOnce  sync.Once
}

// ServerLoad is what the holder of the connections to a server knows of the server's load.
type ServerLoad struct {
	// InUse is the number of requests that use the holder's connections, Waiting that of
	// the ones that wait for one.
	InUse, Waiting int
	// Latency is the moving average of the time from sending a statement to its answer;
	// zero without any.
	Latency time.Duration
}

// loadStater is a Channel to a holder that states its load.
type loadStater interface {
	// ServerLoad returns the load that the holder stated last, and whether it has stated
	// any.
	ServerLoad() (ServerLoad, bool)
}

// ServerLoad returns the load of the server, as its holder stated it with the latest
// result, and whether it stated any. It states none without accounts.
func (l *Lease) ServerLoad() (ServerLoad, bool) {
	if l.serverLoad != nil {
		return l.serverLoad(), true
	}
	if stater, ok := l.Channel.(loadStater); ok {
		return stater.ServerLoad()
	}
	return ServerLoad{}, false
}

// NewLease returns a lease of a channel. The function release is called once.
func NewLease(channel Channel, release func()) *Lease {
	return &Lease{Channel: channel, release: release}
}

// Run submits statements and waits for their answers. When ctx ends first, the
// statements stay in flight and Run returns the error of ctx.
func Run(ctx context.Context, channel Channel, desired *SessionState, statements ...exchange.Statement) ([]exchange.Answer, error) {
	call := channel.Submit(desired, statements...)
	select {
	case <-call.Done:
		return call.Answers()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Release returns the connection to its source. Further calls have no effect.
func (l *Lease) Release() { l.releaseOnce.Do(l.release) }

// Abandon stops waiting for the answers of a call and releases the lease when they have
// arrived or the connection has closed.
func (l *Lease) Abandon(call *Call) {
	l.Channel.Abandon(call)
	go func() {
		<-call.Done
		l.Release()
	}()
}

// ReportAnswer adjusts the source's window to an answer of the server: busy says
// that the server refused the statement for lack of a free slot.
func (l *Lease) ReportAnswer(busy bool) {
	if l.reportAnswer != nil {
		l.reportAnswer(busy)
	}
}

// rollbackTimeout bounds the wait for the answer to a rollback, after which the
// connection is closed. It covers several round trips between regions.
const rollbackTimeout = 500 * time.Millisecond

// RollBack sends ROLLBACK and releases the lease once the server has answered. A
// connection without an answer is closed after rollbackTimeout.
func (l *Lease) RollBack() {
	call := l.Submit(nil, exchange.Statement{Operation: exchange.Rollback})
	go func() {
		timer := time.NewTimer(rollbackTimeout)
		defer timer.Stop()
		select {
		case <-call.Done:
		case <-timer.C:
			l.Close()
		}
		l.Release()
	}()
}
