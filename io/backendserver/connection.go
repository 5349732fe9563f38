package backendserver

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
)

const (
	// smallWrite is the size up to which a flush is written without a
	// goroutine. It fits the send buffer of a socket, so the write does not
	// wait for the server, which may itself wait for its answers to be read.
	smallWrite = 16 << 10

	// maxAnswer bounds one message of a server and with it the memory of a
	// conversation. PostgreSQL's rows are smaller unless they hold large values.
	maxAnswer = 64 << 20
)

var errReleased = errors.New("the conversation was released")

// past is a deadline that interrupts a blocked read or write at once.
var past = time.Unix(1, 0)

// connection is one open connection. One goroutine may send while another
// receives. While the connection is idle, watchIdle receives.
type connection struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
	// origin sends cancel requests.
	origin *pgconn.PgConn

	writing chan error // result of a write in the background; of the sender

	idle     chan struct{} // closed when watchIdle has ended
	idleLost error

	mu       sync.Mutex // never held while reading or writing
	prepared *prepared
	// status is the transaction status of the last ReadyForQuery and zero
	// while an answer is due.
	status byte
	// due counts the ReadyForQuery messages that are still due.
	due int
	// sent says that something was written since the last complete answer;
	// firstBatch says that only the last batch was.
	sent       bool
	firstBatch bool
	broken     error

	watched     context.Context
	stopWatched func() bool

	// retired keeps the connection from being used again.
	retired atomic.Bool

	// interrupted is the reason why another goroutine ended the use.
	interrupted atomic.Pointer[error]
}

func newConnection(conn *pgconn.PgConn) (*connection, error) {
	h, err := conn.Hijack()
	if err != nil {
		return nil, err
	}
	h.Frontend.SetMaxBodyLen(maxAnswer)
	_ = h.Conn.SetDeadline(time.Time{})
	return &connection{
		conn:     h.Conn,
		frontend: h.Frontend,
		prepared: newPrepared(),
		status:   h.TxStatus,
		origin:   conn,
	}, nil
}

func (c *connection) send(ctx context.Context, batch []pgproto3.FrontendMessage) error {
	if err := c.awaitWrite(); err != nil {
		return c.fail(err)
	}
	size, err := c.buffer(ctx, batch)
	if err != nil {
		return err
	}
	if size > smallWrite {
		c.writing = make(chan error, 1)
		go c.flush(c.writing)
		return nil
	}
	if err = c.frontend.Flush(); err == nil {
		return nil
	}
	var safe interface{ SafeToRetry() bool }
	if errors.As(err, &safe) && safe.SafeToRetry() {
		c.noteUnsent()
	}
	return c.fail(err)
}

// buffer encodes the batch for the next flush and returns its size.
func (c *connection) buffer(ctx context.Context, batch []pgproto3.FrontendMessage) (size int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstBatch = c.due == 0 && c.status != 0
	if c.firstBatch {
		c.sent = false // of this batch, nothing yet
	}
	if c.broken == nil {
		c.watch(ctx)
	}
	if c.broken == nil && ctx.Err() != nil {
		c.breakOff(context.Cause(ctx))
	}
	if c.broken != nil {
		return 0, lost(c.sent, c.broken)
	}
	// Set before the write, because a concurrent Receive that fails must not
	// take a batch that is being written for one that was not sent.
	c.sent = true
	for _, m := range batch {
		switch m.(type) {
		case *pgproto3.Sync, *pgproto3.Query, *pgproto3.FunctionCall:
			c.due++
		}
		for _, out := range c.prepared.outgoing(m) {
			c.frontend.Send(out)
			size += sizeOf(out)
		}
	}
	c.status = 0
	return size, nil
}

// noteUnsent records that nothing of the last batch was written.
func (c *connection) noteUnsent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstBatch {
		c.sent = false
	}
}

// flush writes what is buffered. A failure interrupts the pending Receive.
func (c *connection) flush(done chan<- error) {
	err := c.frontend.Flush()
	if err != nil {
		_ = c.conn.SetReadDeadline(past)
	}
	done <- err
}

func (c *connection) awaitWrite() error {
	if c.writing == nil {
		return nil
	}
	err := <-c.writing
	c.writing = nil
	return err
}

// sizeOf estimates the encoded size of the messages that can be large.
func sizeOf(m pgproto3.FrontendMessage) int {
	const overhead = 64
	switch m := m.(type) {
	case *pgproto3.Query:
		return overhead + len(m.String)
	case *pgproto3.Parse:
		return overhead + len(m.Query) + 4*len(m.ParameterOIDs)
	case *pgproto3.Bind:
		size := overhead + 2*len(m.ParameterFormatCodes) + 2*len(m.ResultFormatCodes)
		for _, p := range m.Parameters {
			size += 4 + len(p)
		}
		return size
	case *pgproto3.CopyData:
		return overhead + len(m.Data)
	default:
		return overhead
	}
}

func (c *connection) receive(ctx context.Context) (pgproto3.BackendMessage, error) {
	if err := c.beginReceive(ctx); err != nil {
		return nil, err
	}
	for {
		m, err := c.frontend.Receive()
		if err != nil {
			return nil, c.fail(err)
		}
		if e, ok := m.(*pgproto3.ErrorResponse); ok && isFatal(e) {
			return nil, c.fail(pgconn.ErrorResponseToPgError(e))
		}
		if m = c.note(m); m != nil {
			return m, nil
		}
	}
}

func (c *connection) beginReceive(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken == nil {
		c.watch(ctx)
	}
	if c.broken != nil {
		return lost(c.sent, c.broken)
	}
	return nil
}

// note tracks the state of the connection and returns the message to pass on,
// or nil for none.
func (c *connection) note(m pgproto3.BackendMessage) pgproto3.BackendMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	if z, ok := m.(*pgproto3.ReadyForQuery); ok {
		c.due--
		if c.due == 0 {
			c.status = z.TxStatus
		}
	}
	return c.prepared.incoming(m)
}

func isFatal(e *pgproto3.ErrorResponse) bool {
	severity := e.SeverityUnlocalized
	if severity == "" {
		severity = e.Severity
	}
	return severity == "FATAL" || severity == "PANIC"
}

// watch interrupts reads and writes when ctx ends. It keeps the registration
// while the same context is used, because Receive is called for every row.
// The caller holds mu.
func (c *connection) watch(ctx context.Context) {
	if c.watched == ctx {
		return
	}
	c.unwatch()
	c.watched = ctx
	c.stopWatched = context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(past) })
}

// unwatch ends the registration. A context that has ended may have
// interrupted the connection, which is then of no further use. The caller
// holds mu or is the only user.
func (c *connection) unwatch() {
	if c.watched == nil {
		return
	}
	if !c.stopWatched() && c.broken == nil {
		c.broken = context.Cause(c.watched)
	}
	c.watched, c.stopWatched = nil, nil
}

// fail marks the connection as lost and returns the error with its outcome.
func (c *connection) fail(cause error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken != nil {
		return lost(c.sent, c.broken)
	}
	if c.watched != nil && c.watched.Err() != nil {
		cause = context.Cause(c.watched)
	}
	if reason := c.interrupted.Load(); reason != nil {
		cause = *reason
	}
	c.breakOff(cause)
	return lost(c.sent, cause)
}

// breakOff marks the connection as lost. The caller holds mu.
func (c *connection) breakOff(cause error) {
	c.broken = cause
	_ = c.conn.Close()
}

// interrupt makes the pending and every later use fail. It may be called from
// any goroutine while the connection is lent.
func (c *connection) interrupt(cause error) {
	c.interrupted.Store(&cause)
	_ = c.conn.SetDeadline(past)
}

// ready reports whether another session may use the connection.
func (c *connection) ready() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken == nil && !c.retired.Load() && c.interrupted.Load() == nil && c.due == 0 && c.status == 'I'
}

// startIdle begins to watch for the loss of the idle connection, which is
// reported to observe. Nothing is due, so only notices can arrive.
func (c *connection) startIdle(observe func(error)) {
	c.sent = false
	c.idle = make(chan struct{})
	go c.watchIdle(observe)
}

func (c *connection) watchIdle(observe func(error)) {
	defer close(c.idle)
	for {
		m, err := c.frontend.Receive()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if e, ok := m.(*pgproto3.ErrorResponse); ok && err == nil {
			err = pgconn.ErrorResponseToPgError(e)
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok && err == nil {
			err = errors.New("answer without a request")
		}
		if err != nil {
			c.idleLost = err
			observe(err)
			return
		}
	}
}

// stopIdle ends the watch and reports whether the connection is still usable.
func (c *connection) stopIdle() bool {
	if c.idle == nil {
		return true
	}
	_ = c.conn.SetReadDeadline(past)
	<-c.idle
	c.idle = nil
	if c.idleLost != nil {
		c.broken = c.idleLost
		return false
	}
	return c.conn.SetReadDeadline(time.Time{}) == nil
}

// close says goodbye if the server can still listen and closes the socket.
func (c *connection) close() {
	c.stopIdle()
	c.unwatch()
	if c.broken == nil && c.writing == nil {
		_ = c.conn.SetDeadline(time.Now().Add(time.Second))
		c.frontend.Send(&pgproto3.Terminate{})
		_ = c.frontend.Flush()
	}
	_ = c.conn.Close()
	_ = c.awaitWrite()
}

// conversation lends a connection until it is released.
type conversation struct {
	*connection
	release func(*connection, bool)

	mu       sync.Mutex
	released bool
	// cancelled is set once a cancel request was sent. The server may act on
	// it after the statement has ended, so the connection is not used again.
	cancelled bool
}

// Send implements Conversation.
func (c *conversation) Send(ctx context.Context, batch ...pgproto3.FrontendMessage) error {
	if c.ended() {
		return lost(false, errReleased)
	}
	return c.send(ctx, batch)
}

// Receive implements Conversation.
func (c *conversation) Receive(ctx context.Context) (pgproto3.BackendMessage, error) {
	if c.ended() {
		return nil, lost(false, errReleased)
	}
	return c.receive(ctx)
}

// ended guards the connection against use by a conversation that has given
// it back, because it may serve another session by then.
func (c *conversation) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released
}

// Cancel implements Conversation. It is without effect after Release.
func (c *conversation) Cancel(ctx context.Context) (err error) {
	c.mu.Lock()
	if c.released {
		c.mu.Unlock()
		return nil
	}
	c.cancelled = true
	c.mu.Unlock()
	defer func() {
		if err != nil {
			err = fmt.Errorf("backendserver: cancel: %w", err)
		}
	}()
	return c.origin.CancelRequest(ctx)
}

// Release implements Conversation.
func (c *conversation) Release(reusable bool) {
	c.mu.Lock()
	done := c.released
	c.released = true
	reusable = reusable && !c.cancelled
	c.mu.Unlock()
	if done {
		return
	}
	if c.writing != nil {
		reusable = reusable && c.ready()
		if !reusable {
			_ = c.conn.Close()
		}
		_ = c.awaitWrite()
	}
	c.unwatch()
	c.release(c.connection, reusable && c.ready())
}

var _ Conversation = (*conversation)(nil)
