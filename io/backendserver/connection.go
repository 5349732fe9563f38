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
	// maxSyncWriteSize is the size in bytes up to which a flush is written
	// without a goroutine. It fits into a socket's send buffer, so the write does
	// not block on the server. A larger write could deadlock: the server stops
	// reading while its answers are not read.
	maxSyncWriteSize = 16 << 10

	// maxMessageSize bounds one message of a server in bytes, and thereby the
	// memory of a conversation. Rows are smaller unless they hold large values.
	maxMessageSize = 64 << 20
)

var errReleased = errors.New("the conversation was released")

// pastDeadline is a deadline in the past. It interrupts a blocked read or write
// at once.
var pastDeadline = time.Unix(1, 0)

// connection is one open connection to a backend server. One goroutine may send
// while another receives. While the connection is idle in the pool, watchIdle
// receives in order to detect its loss.
type connection struct {
	conn     net.Conn
	frontend *pgproto3.Frontend
	// cancelConn is the connection as pgconn opened it; it is used only to send
	// cancel requests.
	cancelConn *pgconn.PgConn

	writeResult chan error // receives the result of a background write; used by the sender only

	received receivedMessages // used by the receiver only

	idleWatchDone chan struct{} // closed when watchIdle has ended
	idleLoss      error

	mu       sync.Mutex // never held while reading or writing
	prepared *preparedCache
	// txStatus is the transaction status of the last ReadyForQuery, or zero
	// while an answer is pending.
	txStatus byte
	// pendingReady counts the expected ReadyForQuery messages.
	pendingReady int
	// sent is set if anything may have been written since the last complete
	// answer. firstBatch is set if the current batch is the first since then.
	sent       bool
	firstBatch bool
	lossCause  error

	watchedCtx context.Context
	stopWatch  func() bool

	// retired is set if the connection must not be reused.
	retired atomic.Bool

	// interruptCause is set when another goroutine interrupts the connection.
	interruptCause atomic.Pointer[error]
}

func newConnection(conn *pgconn.PgConn) (*connection, error) {
	hijacked, err := conn.Hijack()
	if err != nil {
		return nil, err
	}
	hijacked.Frontend.SetMaxBodyLen(maxMessageSize)
	_ = hijacked.Conn.SetDeadline(time.Time{})
	return &connection{
		conn:       hijacked.Conn,
		frontend:   hijacked.Frontend,
		prepared:   newPreparedCache(),
		txStatus:   hijacked.TxStatus,
		cancelConn: conn,
	}, nil
}

// send writes a batch. It writes a large batch in the background, so that the
// caller can receive meanwhile.
func (c *connection) send(ctx context.Context, batch []pgproto3.FrontendMessage) error {
	if err := c.awaitWrite(); err != nil {
		return c.fail(err)
	}
	size, err := c.encode(ctx, batch)
	if err != nil {
		return err
	}
	if size > maxSyncWriteSize {
		c.writeResult = make(chan error, 1)
		go c.flushAsync(c.writeResult)
		return nil
	}
	if err = c.frontend.Flush(); err == nil {
		return nil
	}
	var retryable interface{ SafeToRetry() bool }
	if errors.As(err, &retryable) && retryable.SafeToRetry() {
		c.markUnsent()
	}
	return c.fail(err)
}

// encode encodes the batch for the next flush and returns its estimated size.
func (c *connection) encode(ctx context.Context, batch []pgproto3.FrontendMessage) (size int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.firstBatch = c.pendingReady == 0 && c.txStatus != 0
	if c.firstBatch {
		c.sent = false // nothing of this batch yet
	}
	if c.lossCause == nil {
		c.watchContext(ctx)
	}
	if c.lossCause == nil && ctx.Err() != nil {
		c.markLost(context.Cause(ctx))
	}
	if c.lossCause != nil {
		return 0, lossError(c.sent, c.lossCause)
	}
	// This is set before the write, so that a concurrent Receive that fails does
	// not report a batch that is being written as not sent.
	c.sent = true
	for _, m := range batch {
		switch m.(type) {
		case *pgproto3.Sync, *pgproto3.Query, *pgproto3.FunctionCall:
			c.pendingReady++
		}
		for _, out := range c.prepared.rewriteOutgoing(m) {
			c.frontend.Send(out)
			size += encodedSize(out)
		}
	}
	c.txStatus = 0
	return size, nil
}

// markUnsent records that nothing of the current batch was written.
func (c *connection) markUnsent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstBatch {
		c.sent = false
	}
}

// flushAsync writes the encoded messages and sends the result. A failure
// interrupts a pending Receive.
func (c *connection) flushAsync(result chan<- error) {
	err := c.frontend.Flush()
	if err != nil {
		_ = c.conn.SetReadDeadline(pastDeadline)
	}
	result <- err
}

// awaitWrite waits for the background write, if any, and returns its result.
func (c *connection) awaitWrite() error {
	if c.writeResult == nil {
		return nil
	}
	err := <-c.writeResult
	c.writeResult = nil
	return err
}

// encodedSize estimates the encoded size of a message. The estimate is close for
// the kinds of message that can be large.
func encodedSize(m pgproto3.FrontendMessage) int {
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
		c.received.note(m)
		if e, ok := m.(*pgproto3.ErrorResponse); ok && isFatal(e) {
			return nil, c.fail(pgconn.ErrorResponseToPgError(e))
		}
		if m = c.trackMessage(m); m != nil {
			return m, nil
		}
	}
}

func (c *connection) beginReceive(ctx context.Context) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lossCause == nil {
		c.watchContext(ctx)
	}
	if c.lossCause != nil {
		return lossError(c.sent, c.lossCause)
	}
	return nil
}

// trackMessage updates the state of the connection for a received message. It
// returns the message to return from Receive, or nil if there is none.
func (c *connection) trackMessage(m pgproto3.BackendMessage) pgproto3.BackendMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ready, ok := m.(*pgproto3.ReadyForQuery); ok {
		c.pendingReady--
		if c.pendingReady == 0 {
			c.txStatus = ready.TxStatus
		}
	}
	return c.prepared.rewriteIncoming(m)
}

func isFatal(e *pgproto3.ErrorResponse) bool {
	severity := e.SeverityUnlocalized
	if severity == "" {
		severity = e.Severity
	}
	return severity == "FATAL" || severity == "PANIC"
}

// watchContext arranges that reads and writes are interrupted when ctx ends. It
// does nothing if ctx is already watched, because Receive is called for every
// row. The caller holds mu.
func (c *connection) watchContext(ctx context.Context) {
	if c.watchedCtx == ctx {
		return
	}
	c.unwatchContext()
	c.watchedCtx = ctx
	c.stopWatch = context.AfterFunc(ctx, func() { _ = c.conn.SetDeadline(pastDeadline) })
}

// unwatchContext ends the effect of the watched context. If that context has
// ended, it may have interrupted the connection, which is then marked as lost.
// The caller holds mu or is the only user.
func (c *connection) unwatchContext() {
	if c.watchedCtx == nil {
		return
	}
	if !c.stopWatch() && c.lossCause == nil {
		c.lossCause = context.Cause(c.watchedCtx)
	}
	c.watchedCtx, c.stopWatch = nil, nil
}

// fail marks the connection as lost and returns the error with its outcome.
func (c *connection) fail(cause error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lossCause != nil {
		return lossError(c.sent, c.lossCause)
	}
	if c.watchedCtx != nil && c.watchedCtx.Err() != nil {
		cause = context.Cause(c.watchedCtx)
	}
	if interruptCause := c.interruptCause.Load(); interruptCause != nil {
		cause = *interruptCause
	}
	c.markLost(cause)
	return lossError(c.sent, cause)
}

// markLost closes the connection and records the cause. The caller holds mu.
func (c *connection) markLost(cause error) {
	c.lossCause = cause
	_ = c.conn.Close()
}

// interrupt makes pending and later reads and writes fail. Any goroutine may call
// it while the connection is in use.
func (c *connection) interrupt(cause error) {
	c.interruptCause.Store(&cause)
	_ = c.conn.SetDeadline(pastDeadline)
}

// isReusable reports whether another session may use the connection.
func (c *connection) isReusable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lossCause == nil && !c.retired.Load() && c.interruptCause.Load() == nil && c.pendingReady == 0 && c.txStatus == 'I'
}

// startIdleWatch starts watchIdle. No answer is pending, so only notices and
// errors can arrive.
func (c *connection) startIdleWatch(onLoss func(error)) {
	c.sent = false
	c.received.forget()
	c.idleWatchDone = make(chan struct{})
	go c.watchIdle(onLoss)
}

// watchIdle receives until stopIdleWatch interrupts it. If the connection is lost,
// it calls onLoss.
func (c *connection) watchIdle(onLoss func(error)) {
	defer close(c.idleWatchDone)
	for {
		m, err := c.frontend.Receive()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			return
		}
		if e, ok := m.(*pgproto3.ErrorResponse); ok && err == nil {
			err = pgconn.ErrorResponseToPgError(e)
		}
		if _, ok := m.(*pgproto3.ReadyForQuery); ok && err == nil {
			err = errors.New("unexpected ReadyForQuery on an idle connection")
		}
		if err != nil {
			c.idleLoss = err
			onLoss(err)
			return
		}
	}
}

// stopIdleWatch stops watchIdle and reports whether the connection is usable.
func (c *connection) stopIdleWatch() bool {
	if c.idleWatchDone == nil {
		return true
	}
	_ = c.conn.SetReadDeadline(pastDeadline)
	<-c.idleWatchDone
	c.idleWatchDone = nil
	if c.idleLoss != nil {
		c.lossCause = c.idleLoss
		return false
	}
	return c.conn.SetReadDeadline(time.Time{}) == nil
}

// close closes the socket. Before that it sends Terminate, unless the connection
// is lost or a write is in progress.
func (c *connection) close() {
	c.stopIdleWatch()
	c.unwatchContext()
	if c.lossCause == nil && c.writeResult == nil {
		_ = c.conn.SetDeadline(time.Now().Add(time.Second))
		c.frontend.Send(&pgproto3.Terminate{})
		_ = c.frontend.Flush()
	}
	_ = c.conn.Close()
	_ = c.awaitWrite()
}

// conversation implements Conversation on a pooled connection.
type conversation struct {
	*connection
	returnConn func(*connection, bool)

	mu       sync.Mutex
	released bool
	// cancelled is set when a cancel request is sent. The server may act on it
	// after the statement has ended, so the connection is not reused.
	cancelled bool
}

// Send implements Conversation.
func (c *conversation) Send(ctx context.Context, batch ...pgproto3.FrontendMessage) error {
	if c.isReleased() {
		return lossError(false, errReleased)
	}
	return c.send(ctx, batch)
}

// Receive implements Conversation.
func (c *conversation) Receive(ctx context.Context) (pgproto3.BackendMessage, error) {
	if c.isReleased() {
		return nil, lossError(false, errReleased)
	}
	return c.receive(ctx)
}

// isReleased reports whether the conversation was released. The connection may
// then serve another session and must not be used.
func (c *conversation) isReleased() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.released
}

// Cancel implements Conversation. It has no effect after Release.
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
	return c.cancelConn.CancelRequest(ctx)
}

// Release implements Conversation.
func (c *conversation) Release(reusable bool) {
	c.mu.Lock()
	alreadyReleased := c.released
	c.released = true
	reusable = reusable && !c.cancelled
	c.mu.Unlock()
	if alreadyReleased {
		return
	}
	if c.writeResult != nil {
		reusable = reusable && c.isReusable()
		if !reusable {
			_ = c.conn.Close()
		}
		_ = c.awaitWrite()
	}
	c.unwatchContext()
	c.returnConn(c.connection, reusable && c.isReusable())
}

var _ Conversation = (*conversation)(nil)
