package peer

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"basilmill/core/host"
	"basilmill/core/outcome"
	"basilmill/io/backendserver"
	"basilmill/io/peer/peerpb"
)

const (
	// maxBufferedBytes bounds the bytes of answers that are buffered for one
	// exchange. Above it the backend connection is not read until the stream has
	// taken them.
	maxBufferedBytes = 256 << 10
	// cancelTimeout bounds a cancel request to a backend server, and the wait
	// for the end of a stream after its connection was released.
	cancelTimeout = 2 * time.Second
)

// Forward implements peerpbconnect.PeerServiceHandler. It runs one exchange.
func (s *Server) Forward(ctx context.Context, stream *connect.BidiStream[peerpb.ForwardRequest, peerpb.ForwardResponse]) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	from, err := sender(first.GetStart().GetSender())
	if err != nil {
		return err
	}
	started, conversation, err := s.handler.Start(ctx, from, startFromWire(first.GetStart()))
	if err != nil {
		return toConnect(err)
	}
	e := newForwarding(conversation)
	if err := stream.Send(&peerpb.ForwardResponse{Started: startedToWire(started)}); err != nil {
		conversation.Release(true)
		return err
	}
	return e.run(ctx, stream)
}

// forwarding is the server side of Forward. One goroutine forwards requests from
// the stream to the backend server, one reads answers from the backend server and
// one writes them to the stream.
type forwarding struct {
	conversation backendserver.Conversation

	mu   sync.Mutex
	cond *sync.Cond
	// pendingReady counts the ReadyForQuery messages that the backend server has
	// yet to send. The backend connection is read only while there is one or
	// unsynced is set, so that no read is pending when the connection is
	// released.
	pendingReady int
	// unsynced is set while messages have been sent without a Sync after them.
	unsynced bool
	buffer   []byte
	failure  error
	closed   bool
}

func newForwarding(conversation backendserver.Conversation) *forwarding {
	e := &forwarding{conversation: conversation}
	e.cond = sync.NewCond(&e.mu)
	return e
}

func (e *forwarding) run(ctx context.Context, stream *connect.BidiStream[peerpb.ForwardRequest, peerpb.ForwardResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { e.readAnswers(ctx) })
	group.Go(func() { e.writeAnswers(stream) })
	reusable, err := e.forwardRequests(ctx, stream)
	e.close()
	if !reusable {
		// Aborts a pending read. A reusable connection has none, and its context
		// must not end before it is released.
		cancel()
	}
	group.Wait()
	e.conversation.Release(reusable)
	return err
}

// forwardRequests returns when the requesting host releases the connection, or
// when the exchange fails. reusable is set if that host allows the reuse and no
// answer is outstanding.
func (e *forwarding) forwardRequests(ctx context.Context, stream *connect.BidiStream[peerpb.ForwardRequest, peerpb.ForwardResponse]) (reusable bool, err error) {
	for {
		request, err := stream.Receive()
		if errors.Is(err, io.EOF) {
			return false, nil
		}
		if err != nil {
			return false, err
		}
		if request.GetCancel() {
			go e.cancelStatement(ctx)
		}
		if err := e.send(ctx, request.GetMessages()); err != nil {
			return false, toConnect(err)
		}
		if request.GetRelease() {
			return request.GetReusable() && e.idle(), nil
		}
	}
}

func (e *forwarding) cancelStatement(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	// The PostgreSQL protocol allows a cancel request without effect, so a
	// failure is not reported.
	_ = e.conversation.Cancel(ctx)
}

func (e *forwarding) send(ctx context.Context, encoded []byte) error {
	if len(encoded) == 0 {
		return nil
	}
	batch, err := decodeFrontend(encoded)
	if err != nil {
		return err
	}
	e.mu.Lock()
	for _, message := range batch {
		if endsBatch(message) {
			e.pendingReady++
			e.unsynced = false
		} else {
			e.unsynced = true
		}
	}
	e.cond.Broadcast()
	e.mu.Unlock()
	return e.conversation.Send(ctx, batch...)
}

// endsBatch reports whether the backend server answers the message with
// ReadyForQuery.
func endsBatch(message pgproto3.FrontendMessage) bool {
	switch message.(type) {
	case *pgproto3.Query, *pgproto3.Sync, *pgproto3.FunctionCall:
		return true
	default:
		return false
	}
}

// idle reports whether all answers were read from the backend server without an
// error.
func (e *forwarding) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pendingReady == 0 && !e.unsynced && e.failure == nil
}

func (e *forwarding) readAnswers(ctx context.Context) {
	for e.awaitReadable() {
		message, err := e.conversation.Receive(ctx)
		if !e.store(message, err) {
			return
		}
	}
}

// awaitReadable blocks until an answer is outstanding and the buffer has room.
// It returns false once the exchange is closed.
func (e *forwarding) awaitReadable() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for !e.closed && ((e.pendingReady == 0 && !e.unsynced) || len(e.buffer) > maxBufferedBytes) {
		e.cond.Wait()
	}
	return !e.closed
}

// store appends a message to the buffer, or records the error that ends the
// exchange. It reports whether reading may go on.
func (e *forwarding) store(message pgproto3.BackendMessage, err error) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.cond.Broadcast()
	if err == nil {
		e.buffer, err = message.Encode(e.buffer)
	}
	if err != nil {
		e.failure = err
		return false
	}
	if _, ok := message.(*pgproto3.ReadyForQuery); ok {
		e.pendingReady--
	}
	return true
}

func (e *forwarding) writeAnswers(stream *connect.BidiStream[peerpb.ForwardRequest, peerpb.ForwardResponse]) {
	for {
		messages, failure, ok := e.nextAnswers()
		if !ok {
			return
		}
		if err := stream.Send(&peerpb.ForwardResponse{Messages: messages, Failure: failure}); err != nil {
			e.close()
			return
		}
		if failure != nil {
			return
		}
	}
}

// nextAnswers blocks until there are answers or a failure to write. It
// returns false once the exchange is closed and nothing is left to write.
func (e *forwarding) nextAnswers() (messages []byte, failure *peerpb.Failure, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for !e.closed && len(e.buffer) == 0 && e.failure == nil {
		e.cond.Wait()
	}
	if len(e.buffer) > 0 {
		messages, e.buffer = e.buffer, nil
		e.cond.Broadcast()
	}
	if e.failure != nil {
		failure = failureToWire(outcomeError(e.failure))
	}
	return messages, failure, messages != nil || failure != nil
}

// outcomeError returns the outcome.Error in the chain of an error. Any other
// error means that the connection was lost with an unknown outcome.
func outcomeError(err error) *outcome.Error {
	var failed *outcome.Error
	if errors.As(err, &failed) {
		return failed
	}
	return outcome.Unresolved("the connection to the backend server was lost", err)
}

func (e *forwarding) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.cond.Broadcast()
}

// ErrUnreachable is in the chain of an error if the other host could not be
// reached, but not if that host refused the request.
var ErrUnreachable = errors.New("the host cannot be reached")

// Forward opens an exchange on a coordinator. The context applies to the
// conversation until it is released. If Forward returns an error, nothing was
// run.
func (c *Client) Forward(ctx context.Context, to host.Info, start Start) (started Started, conversation backendserver.Conversation, err error) {
	defer annotate(&err, "forward to host %s", to.ID)
	ctx, cancel := context.WithCancel(ctx)
	stream := c.to(to).Forward(ctx)
	// On a broken link no response arrives, so the request is given up when the
	// time for the connection to the host and for routing there has passed.
	watchdog := time.AfterFunc(start.Timeout+dialTimeout, cancel)
	started, err = openExchange(stream, &peerpb.ForwardRequest{Start: startToWire(c.self(), start)})
	if !watchdog.Stop() && err == nil {
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		var failed *outcome.Error
		if !errors.As(err, &failed) {
			err = outcome.Unavailable("the coordinator of the group cannot be reached", errors.Join(ErrUnreachable, err))
		}
		return Started{}, nil, err
	}
	conn := &streamConn{stream: stream, cancel: cancel}
	return started, &forwardedConversation{conn: conn, frontend: pgproto3.NewFrontend(conn, conn)}, nil
}

func openExchange(stream *connect.BidiStreamForClient[peerpb.ForwardRequest, peerpb.ForwardResponse], request *peerpb.ForwardRequest) (Started, error) {
	if err := stream.Send(request); err != nil && !errors.Is(err, io.EOF) {
		return Started{}, fromConnect(err)
	}
	response, err := stream.Receive()
	if err != nil {
		return Started{}, fromConnect(err)
	}
	if response.GetStarted() == nil {
		return Started{}, eris.New("the first response of the exchange is not Started")
	}
	return startedFromWire(response.GetStarted()), nil
}

// streamConn is the client side of a Forward stream as an io.ReadWriter of
// encoded PostgreSQL messages.
type streamConn struct {
	stream *connect.BidiStreamForClient[peerpb.ForwardRequest, peerpb.ForwardResponse]
	cancel context.CancelFunc
	sendMu sync.Mutex
	// unread is the part of the last response that Read has not returned yet.
	unread []byte
	// failure is the error that ended the exchange. Read returns it after the
	// messages that were sent before it.
	failure *outcome.Error
}

// Write sends encoded frontend messages.
func (c *streamConn) Write(p []byte) (int, error) {
	if err := c.send(&peerpb.ForwardRequest{Messages: p}); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *streamConn) send(request *peerpb.ForwardRequest) error {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	return c.stream.Send(request)
}

// Read returns encoded backend messages.
func (c *streamConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.failure != nil {
			return 0, c.failure
		}
		response, err := c.stream.Receive()
		if err != nil {
			return 0, fromConnect(err)
		}
		c.unread = response.GetMessages()
		if failure := response.GetFailure(); failure != nil {
			c.failure = failureFromWire(failure)
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// forwardedConversation is a conversation with a backend server through a
// coordinator. It is the client side of an exchange.
type forwardedConversation struct {
	conn        *streamConn
	frontend    *pgproto3.Frontend
	releaseOnce sync.Once
}

// Send sends a batch to the coordinator. After an error, or without an answer, it
// is unknown whether the batch was run.
func (f *forwardedConversation) Send(ctx context.Context, batch ...pgproto3.FrontendMessage) error {
	stop := context.AfterFunc(ctx, f.conn.cancel)
	defer stop()
	for _, message := range batch {
		f.frontend.Send(message)
	}
	if err := f.frontend.Flush(); err != nil {
		return outcomeError(err)
	}
	return nil
}

// Receive returns the next message, which is valid until the next call. If the
// context ends, the exchange is aborted.
func (f *forwardedConversation) Receive(ctx context.Context) (pgproto3.BackendMessage, error) {
	stop := context.AfterFunc(ctx, f.conn.cancel)
	defer stop()
	message, err := f.frontend.Receive()
	if err != nil {
		return nil, outcomeError(err)
	}
	return message, nil
}

// Cancel asks the coordinator to cancel the running statement.
func (f *forwardedConversation) Cancel(context.Context) error {
	return f.conn.send(&peerpb.ForwardRequest{Cancel: true})
}

// Release ends the exchange.
func (f *forwardedConversation) Release(reusable bool) {
	f.releaseOnce.Do(func() {
		if err := f.conn.send(&peerpb.ForwardRequest{Release: true, Reusable: reusable}); err != nil {
			f.conn.cancel()
			return
		}
		go f.finish()
	})
}

// finish waits until the coordinator ends the stream, so that the release
// reaches it before the stream is cancelled.
func (f *forwardedConversation) finish() {
	watchdog := time.AfterFunc(cancelTimeout, f.conn.cancel)
	defer watchdog.Stop()
	defer f.conn.cancel()
	_ = f.conn.stream.CloseRequest()
	for {
		if _, err := f.conn.stream.Receive(); err != nil {
			return
		}
	}
}
