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
	// maxBuffered bounds the answer bytes held for one exchange; past it the
	// backend connection is not read until the stream takes more.
	maxBuffered = 256 << 10
	// cancelTimeout bounds the opening of a cancel connection.
	cancelTimeout = 2 * time.Second
)

// Forward implements the service: it runs one exchange.
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
	e := newExchange(conversation)
	if err := stream.Send(&peerpb.ForwardResponse{Started: startedToWire(started)}); err != nil {
		conversation.Release(true)
		return err
	}
	return e.run(ctx, stream)
}

// exchange runs the receiving side of Forward: one goroutine passes requests
// on, one reads answers from the backend server, one writes them to the
// stream.
type exchange struct {
	conversation backendserver.Conversation

	mu   sync.Mutex
	cond *sync.Cond
	// expected counts the ReadyForQuery messages still to come. The backend
	// connection is read only while one is expected or partial is set, so
	// that no read is pending when the connection is released.
	expected int
	// partial is set while messages were sent that no Sync has followed yet.
	partial bool
	buffer  []byte
	failure error
	closed  bool
}

func newExchange(conversation backendserver.Conversation) *exchange {
	e := &exchange{conversation: conversation}
	e.cond = sync.NewCond(&e.mu)
	return e
}

func (e *exchange) run(ctx context.Context, stream *connect.BidiStream[peerpb.ForwardRequest, peerpb.ForwardResponse]) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	group.Go(func() { e.readAnswers(ctx) })
	group.Go(func() { e.writeAnswers(stream) })
	reusable, err := e.passRequests(ctx, stream)
	e.close()
	if !reusable {
		// Ends a pending read. A reusable connection has none, and its context
		// must not end before it is released.
		cancel()
	}
	group.Wait()
	e.conversation.Release(reusable)
	return err
}

// passRequests returns when the asking host releases the connection, with
// reusable set if it was left clean, or when the exchange breaks.
func (e *exchange) passRequests(ctx context.Context, stream *connect.BidiStream[peerpb.ForwardRequest, peerpb.ForwardResponse]) (reusable bool, err error) {
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

func (e *exchange) cancelStatement(ctx context.Context) {
	ctx, stop := context.WithTimeout(ctx, cancelTimeout)
	defer stop()
	// A cancel request that fails has no effect, as the protocol allows.
	_ = e.conversation.Cancel(ctx)
}

func (e *exchange) send(ctx context.Context, encoded []byte) error {
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
			e.expected++
			e.partial = false
		} else {
			e.partial = true
		}
	}
	e.cond.Broadcast()
	e.mu.Unlock()
	return e.conversation.Send(ctx, batch...)
}

// endsBatch reports whether the backend server answers with ReadyForQuery.
func endsBatch(message pgproto3.FrontendMessage) bool {
	switch message.(type) {
	case *pgproto3.Query, *pgproto3.Sync, *pgproto3.FunctionCall:
		return true
	default:
		return false
	}
}

// idle reports whether every answer was read and passed on.
func (e *exchange) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.expected == 0 && !e.partial && e.failure == nil
}

func (e *exchange) readAnswers(ctx context.Context) {
	for e.awaitExpected() {
		message, err := e.conversation.Receive(ctx)
		if !e.buffered(message, err) {
			return
		}
	}
}

// awaitExpected blocks until an answer is expected and the buffer has room.
func (e *exchange) awaitExpected() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for !e.closed && ((e.expected == 0 && !e.partial) || len(e.buffer) > maxBuffered) {
		e.cond.Wait()
	}
	return !e.closed
}

func (e *exchange) buffered(message pgproto3.BackendMessage, err error) bool {
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
		e.expected--
	}
	return true
}

func (e *exchange) writeAnswers(stream *connect.BidiStream[peerpb.ForwardRequest, peerpb.ForwardResponse]) {
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

// nextAnswers blocks until there is something to write.
func (e *exchange) nextAnswers() (messages []byte, failure *peerpb.Failure, ok bool) {
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
		failure = failureToWire(failureOf(e.failure))
	}
	return messages, failure, messages != nil || failure != nil
}

func failureOf(err error) *outcome.Error {
	var failed *outcome.Error
	if errors.As(err, &failed) {
		return failed
	}
	return outcome.Unresolved("the connection to the backend server was lost", err)
}

func (e *exchange) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	e.cond.Broadcast()
}

// ErrUnreachable is in the chain of a failure to reach the other host, as
// opposed to a refusal by it.
var ErrUnreachable = errors.New("the host cannot be reached")

// Forward opens an exchange on a coordinator. The conversation is bound to
// the context given here until it is released. Nothing has run when Forward
// returns an error.
func (c *Client) Forward(ctx context.Context, to host.Info, start Start) (started Started, conversation backendserver.Conversation, err error) {
	defer annotate(&err, "forward to host %s", to.ID)
	ctx, cancel := context.WithCancel(ctx)
	stream := c.to(to).Forward(ctx)
	// The deadline covers routing; a link that is cut must not hold the
	// request longer than that.
	watchdog := time.AfterFunc(start.Deadline+dialTimeout, cancel)
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
	link := &link{stream: stream, cancel: cancel}
	return started, &forwarded{link: link, frontend: pgproto3.NewFrontend(link, link)}, nil
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
		return Started{}, eris.New("the exchange did not begin with its start")
	}
	return startedFromWire(response.GetStarted()), nil
}

// link carries encoded messages over the stream.
type link struct {
	stream *connect.BidiStreamForClient[peerpb.ForwardRequest, peerpb.ForwardResponse]
	cancel context.CancelFunc
	sendMu sync.Mutex
	rest   []byte
	// failure ended the exchange; it is reported after the answers before it.
	failure *outcome.Error
}

// Write sends encoded frontend messages.
func (l *link) Write(p []byte) (int, error) {
	if err := l.send(&peerpb.ForwardRequest{Messages: p}); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (l *link) send(request *peerpb.ForwardRequest) error {
	l.sendMu.Lock()
	defer l.sendMu.Unlock()
	return l.stream.Send(request)
}

// Read returns encoded backend messages.
func (l *link) Read(p []byte) (int, error) {
	for len(l.rest) == 0 {
		if l.failure != nil {
			return 0, l.failure
		}
		response, err := l.stream.Receive()
		if err != nil {
			return 0, fromConnect(err)
		}
		l.rest = response.GetMessages()
		if failure := response.GetFailure(); failure != nil {
			l.failure = failureFromWire(failure)
		}
	}
	n := copy(p, l.rest)
	l.rest = l.rest[n:]
	return n, nil
}

// forwarded is the asking side of an exchange.
type forwarded struct {
	link     *link
	frontend *pgproto3.Frontend
	release  sync.Once
}

// Send writes a batch to the coordinator. Once it was called, the fate of the
// batch is unknown unless an answer arrives.
func (f *forwarded) Send(ctx context.Context, batch ...pgproto3.FrontendMessage) error {
	stop := context.AfterFunc(ctx, f.link.cancel)
	defer stop()
	for _, message := range batch {
		f.frontend.Send(message)
	}
	if err := f.frontend.Flush(); err != nil {
		return failureOf(err)
	}
	return nil
}

// Receive returns the next message; it is valid until the next call. A
// context that ends breaks the exchange.
func (f *forwarded) Receive(ctx context.Context) (pgproto3.BackendMessage, error) {
	stop := context.AfterFunc(ctx, f.link.cancel)
	defer stop()
	message, err := f.frontend.Receive()
	if err != nil {
		return nil, failureOf(err)
	}
	return message, nil
}

// Cancel asks the coordinator to cancel the running statement.
func (f *forwarded) Cancel(context.Context) error {
	return f.link.send(&peerpb.ForwardRequest{Cancel: true})
}

// Release ends the exchange.
func (f *forwarded) Release(reusable bool) {
	f.release.Do(func() {
		if err := f.link.send(&peerpb.ForwardRequest{Release: true, Reusable: reusable}); err != nil {
			f.link.cancel()
			return
		}
		go f.finish()
	})
}

// finish waits for the coordinator's end of the stream, so that the release
// reaches it before the stream is closed.
func (f *forwarded) finish() {
	watchdog := time.AfterFunc(cancelTimeout, f.link.cancel)
	defer watchdog.Stop()
	defer f.link.cancel()
	_ = f.link.stream.CloseRequest()
	for {
		if _, err := f.link.stream.Receive(); err != nil {
			return
		}
	}
}
