package entry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"basilmill/core/budget"
	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/logevent"
	"basilmill/core/proxy"
)

// Codec is the server side of the protocol on one caller's connection. A read
// that ended with a timeout may be repeated and continues with the same message.
// Errors that are to be sent to the caller are of type *exchange.Error.
type Codec interface {
	// ReadStartup reads the first message, which names the database. The digest is that of
	// the API key, zero without one.
	ReadStartup() (database string, key catalog.KeyDigest, err error)
	// ReadStatement returns io.EOF when the caller ends the session.
	ReadStatement() (exchange.Statement, error)
	// HasPartialMessage reports whether part of the next message has been read.
	HasPartialMessage() bool
	// WriteReady tells the caller that its session is open.
	WriteReady() error
	WriteAnswer(exchange.Answer) error
	// WriteRefusal tells the caller why its connection is about to be closed.
	WriteRefusal(*exchange.Error) error
}

const (
	// startupTimeout bounds the wait for a caller's first message.
	startupTimeout = 5 * time.Second
	// writeTimeout bounds a write to a caller, which may have stopped reading.
	writeTimeout = 5 * time.Second
	// listenerCloseDelay is how long the listener stays open after the host has
	// become unready. It covers the time until the load balancer has noticed that
	// (two probes, one second apart) and the connections that are being opened
	// then.
	listenerCloseDelay = 2300 * time.Millisecond
	// flushGracePeriod is how long before the end of the grace time draining stops,
	// so that answers that have been written are still delivered.
	flushGracePeriod = 700 * time.Millisecond
	// finalReadTimeout is how long a session that is about to be closed is read once
	// more, for a statement that has arrived but has not been read.
	finalReadTimeout = 20 * time.Millisecond
	// partialReadTimeout is how long the rest of a statement that has been read in
	// part may take to arrive before the session is closed.
	partialReadTimeout = 500 * time.Millisecond
	// drainPollInterval is the period between checks of the sessions while
	// draining, and the pause after a failed accept.
	drainPollInterval = 50 * time.Millisecond
)

// callers accepts and serves the callers' connections, and drains them at
// shutdown.
type callers struct {
	host *Host

	mu       sync.Mutex
	sessions map[*session]struct{}
	// closingIdle is set when sessions without a transaction are to be closed
	// between two statements.
	closingIdle atomic.Bool
	// closingTransactions is set when sessions with an open transaction are to be
	// closed too.
	closingTransactions atomic.Bool
	refusedKeys         refusedKeys
}

// session is the session on one caller's connection.
type session struct {
	callers *callers
	conn    net.Conn
	holder  *budget.Holder
	codec   Codec
	// key is the digest of the caller's API key.
	key catalog.KeyDigest
	// proxy is nil until the session is opened. It is written with callers.mu held, and
	// other goroutines read it so.
	proxy *proxy.Session
	// expectedAnswer is the size of the next answer, by that of the last one.
	expectedAnswer int
	// executing is set from the arrival of a statement until its answer has been
	// written.
	executing atomic.Bool
	// inTransaction is set while a transaction is open.
	inTransaction atomic.Bool
	// interrupted is set once the read of the idle session has been interrupted.
	interrupted atomic.Bool
	// revokedAt is when the session's key was first found to be removed; guarded by
	// callers.mu.
	revokedAt time.Time
	// closingTransaction is set when the session is to be closed between two statements
	// although a transaction is open, because its key was removed.
	closingTransaction atomic.Bool
}

func newCallers(h *Host) *callers {
	return &callers{host: h, sessions: map[*session]struct{}{}}
}

// serve accepts connections until the listener is closed.
func (c *callers) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.host.log.Write(context.Background(), logevent.ListenerFailed, slog.String("error", err.Error()))
			time.Sleep(drainPollInterval)
			continue
		}
		s := c.newSession(conn)
		if !c.add(s) {
			s.holder.Close()
			c.host.clientLimited(conn.RemoteAddr().String(), budget.Places)
			_ = s.codec.WriteRefusal(&exchange.Error{Code: exchange.TooManyConnections, Text: "too many callers on this host"})
			_ = conn.Close()
			continue
		}
		go s.serve()
	}
}

// newSession returns the session on a connection.
func (c *callers) newSession(conn net.Conn) *session {
	s := &session{callers: c}
	s.holder = c.host.platform.Budget.OpenCaller(conn.RemoteAddr().String(), func() {
		_ = conn.Close()
		c.remove(s)
	})
	s.conn = &callerConn{conn, s.holder}
	s.codec = c.host.platform.Codec(s.conn)
	if codec, ok := s.codec.(budgetedCodec); ok {
		codec.SetHolder(s.holder)
	}
	return s
}

// add registers a session. It returns false at the connection limit, if no connection can
// be closed for it.
func (c *callers) add(s *session) bool {
	if c.tryAdd(s) {
		return true
	}
	if !c.host.platform.Budget.MakePlace() {
		return false
	}
	time.Sleep(placeInterval)
	return c.tryAdd(s)
}

func (c *callers) tryAdd(s *session) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.sessions) >= c.host.settings.ConnectionLimit {
		return false
	}
	c.sessions[s] = struct{}{}
	return true
}

func (c *callers) remove(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sessions, s)
}

func (c *callers) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sessions)
}

// drain closes the sessions within the grace time. The listener stays open until
// the load balancer has noticed that the host is not ready. Then idle sessions
// are closed, and after half of the grace time also those with an idle
// transaction. Statements in flight are completed.
func (c *callers) drain(listener net.Listener, grace time.Duration) {
	started := time.Now()
	for {
		elapsed := time.Since(started)
		if elapsed >= min(listenerCloseDelay, grace/2) && !c.closingIdle.Load() {
			c.closingIdle.Store(true)
			_ = listener.Close()
		}
		if elapsed >= grace/2 {
			c.closingTransactions.Store(true)
		}
		if c.closingIdle.Load() {
			c.interruptIdle()
			if c.count() == 0 {
				return
			}
		}
		if elapsed >= grace-flushGracePeriod {
			c.host.log.Write(context.Background(), logevent.DrainIncomplete, slog.Int("callers", c.count()), slog.Duration("elapsed", elapsed))
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// interruptIdle interrupts the reads of the idle sessions that may be closed.
func (c *callers) interruptIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.sessions {
		s.interruptIdle()
	}
}

// closeRevoked closes the sessions whose key was removed: idle ones at once, the others
// when the statement in flight has been answered. An open transaction may end first if that
// happens within the timeout. It reports whether such sessions are left.
func (c *callers) closeRevoked(timeout time.Duration) (left bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.sessions {
		if !s.isRevoked() {
			s.revokedAt = time.Time{}
			s.closingTransaction.Store(false)
			continue
		}
		left = true
		if s.revokedAt.IsZero() {
			s.revokedAt = time.Now()
		}
		if time.Since(s.revokedAt) >= timeout {
			s.closingTransaction.Store(true)
		}
		s.interruptIdle()
	}
	return left
}

// interruptIdle interrupts the read of the session if it is idle and may be closed.
func (s *session) interruptIdle() {
	if !s.executing.Load() && s.mayClose() && s.interrupted.CompareAndSwap(false, true) {
		_ = s.conn.SetReadDeadline(time.Now())
	}
}

// mayClose reports whether the session may be closed between two statements.
func (s *session) mayClose() bool {
	if s.inTransaction.Load() {
		return s.callers.closingTransactions.Load() || s.closingTransaction.Load()
	}
	return s.callers.closingIdle.Load() || s.isRevoked()
}

// isRevoked reports whether the session's key was removed.
func (s *session) isRevoked() bool { return s.proxy != nil && s.proxy.CheckKey() != nil }

// serve runs the session until the caller ends it, the connection fails or the
// host drains it.
func (s *session) serve() {
	defer s.callers.remove(s)
	defer func() { _ = s.conn.Close() }()
	defer s.holder.Close()
	defer s.recoverPanic()
	if !s.start() {
		return
	}
	defer s.proxy.Close()
	for {
		s.awaitMessage()
		statement, err := s.readStatement()
		exceeded := errors.Is(err, budget.ErrExceeded)
		if err != nil && !exceeded {
			s.refuse(s.closingReason(err))
			return
		}
		s.executing.Store(true)
		var answer exchange.Answer
		if exceeded || !s.admit() {
			answer = s.proxy.Refuse(exchange.Busy, budget.ErrExceeded.Error())
		} else {
			s.holder.Enter(budget.Executing)
			answer = s.proxy.Execute(context.Background(), statement)
			s.expectedAnswer = expectedSize(answer)
		}
		s.inTransaction.Store(s.proxy.InTransaction())
		err = s.writeAnswer(statement, answer)
		s.executing.Store(false)
		if err != nil {
			return
		}
		if s.closingTransaction.Load() || s.mayClose() && !s.inTransaction.Load() {
			s.endRevoked(answer)
			return
		}
	}
}

// endRevoked tells the caller of a session that is about to be closed that its key was
// removed, unless its last answer says so.
func (s *session) endRevoked(last exchange.Answer) {
	failure := s.proxy.CheckKey()
	switch {
	case failure == nil:
	case isRefusalOfKey(last.Failure):
		s.reportKey()
	default:
		s.refuse(failure)
	}
}

// closingReason returns the reason for closing the session after a read that failed: that of
// the read, or that the session's key was removed.
func (s *session) closingReason(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if failure := s.proxy.CheckKey(); failure != nil {
			return failure
		}
	}
	return err
}

// isRefusalOfKey reports whether a failure says that no account has the caller's key.
func isRefusalOfKey(failure *exchange.Error) bool {
	return failure != nil && failure.Code == exchange.Unauthorised
}

// awaitMessage notes that the session waits for a message, of which a part may have
// arrived.
func (s *session) awaitMessage() {
	phase := budget.Idle
	if s.codec.HasPartialMessage() {
		phase = budget.Receiving
	}
	s.holder.Enter(phase)
}

// admit reports whether there is memory for the answer to the next statement. Less is
// expected after a refusal, so that the session is served again when it is its turn.
func (s *session) admit() bool {
	if s.expectedAnswer < minExpectedAnswer {
		return true
	}
	if s.holder.Take(budget.Answer, s.expectedAnswer) {
		s.holder.Return(budget.Answer, s.expectedAnswer)
		return true
	}
	s.expectedAnswer /= 2
	return false
}

// writeAnswer writes the answer to a statement, which counts as long as the caller has not
// read it. A large answer to a read is replaced by a failure if there is no memory for it:
// answers through other hosts are not counted before.
func (s *session) writeAnswer(statement exchange.Statement, answer exchange.Answer) error {
	size := answerSize(answer)
	s.holder.Enter(budget.Sending)
	if statement.Operation == exchange.Read && size >= minExpectedAnswer {
		if !s.holder.Take(budget.Answer, size) {
			size = 0
			answer = exchange.ErrorAnswer(exchange.TooLarge, budget.ErrExceeded.Error(), answer.State)
		}
	} else {
		s.holder.Force(budget.Answer, size)
	}
	// The kernel accepts twice the size of its buffer before a write waits.
	buffered := 2 * s.callers.host.settings.SocketBuffer(s.callers.host.settings.ConnectionLimit)
	s.holder.Force(budget.Answer, buffered)
	defer s.holder.Return(budget.Answer, size+buffered)
	return s.write(func() error { return s.codec.WriteAnswer(answer) })
}

// recoverPanic ends a panic with its session, so that the other sessions continue.
func (s *session) recoverPanic() {
	cause := recover()
	if cause == nil {
		return
	}
	s.callers.host.metrics.sessionPanics.Inc()
	s.callers.host.log.Write(context.Background(), logevent.SessionFailed, slog.String("caller", s.conn.RemoteAddr().String()),
		slog.Any("panic", cause), slog.String("stack", string(debug.Stack())))
}

// readStatement reads the next statement. If the read is interrupted because the
// session may be closed, it returns a statement that has arrived by then, also if that
// has to be completed first.
func (s *session) readStatement() (exchange.Statement, error) {
	for interruptions := 0; ; interruptions++ {
		statement, err := s.codec.ReadStatement()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return statement, err
		}
		partial := s.codec.HasPartialMessage()
		switch {
		case !s.mayClose():
			interruptions = -1
			// In the opposite order the deadline of another interruption could be lost.
			_ = s.conn.SetReadDeadline(time.Time{})
			s.interrupted.Store(false)
		case partial && interruptions <= 1:
			interruptions = 1
			_ = s.conn.SetReadDeadline(time.Now().Add(partialReadTimeout))
		case interruptions == 0:
			_ = s.conn.SetReadDeadline(time.Now().Add(finalReadTimeout))
		default:
			return statement, err
		}
	}
}

// start reads the startup message and opens the session. It returns false if the
// connection is to be closed.
func (s *session) start() bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(startupTimeout))
	database, key, err := s.codec.ReadStartup()
	s.key = key
	if errors.Is(err, budget.ErrExceeded) {
		err = &exchange.Error{Code: exchange.Busy, Text: err.Error()}
	}
	if err != nil {
		s.refuse(err)
		return false
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	s.holder.Enter(budget.Executing)
	opened, failure := s.callers.host.proxy.OpenWithKey(context.Background(), database, key)
	if failure != nil {
		s.refuse(failure)
		return false
	}
	s.callers.mu.Lock()
	s.proxy = opened
	s.callers.mu.Unlock()
	opened.SetHolder(s.holder)
	// The key may have been removed before closeRevoked could see the session.
	if failure := opened.CheckKey(); failure != nil {
		s.refuse(failure)
		return false
	}
	return s.write(s.codec.WriteReady) == nil
}

// reportKey counts the refusal of an API key, and logs the first one of each key in a version
// of the configuration, without the key.
func (s *session) reportKey() {
	h := s.callers.host
	h.metrics.keysRefused.Inc()
	version := h.cache.View().ConfigVersion()
	if !s.callers.refusedKeys.isFirst(s.key, version) {
		return
	}
	fingerprint := "none"
	if s.key != (catalog.KeyDigest{}) {
		fingerprint = s.key.Fingerprint()
	}
	h.log.Write(context.Background(), logevent.KeyRefused, slog.String("caller", s.conn.RemoteAddr().String()),
		slog.String("key", fingerprint), slog.Int64("version", int64(version)))
}

// refuse tells the caller why its connection is being closed, if err is meant for
// the caller. Other errors are counted as lost connections, except the end of the
// input and timeouts.
func (s *session) refuse(err error) {
	var failure *exchange.Error
	if !errors.As(err, &failure) {
		if !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
			s.callers.host.metrics.lostCallers.Inc()
		}
		return
	}
	if isRefusalOfKey(failure) {
		s.reportKey()
	} else {
		s.callers.host.log.Write(context.Background(), logevent.CallerRefused, slog.String("caller", s.conn.RemoteAddr().String()), slog.String("reason", failure.Error()))
	}
	_ = s.write(func() error { return s.codec.WriteRefusal(failure) })
}

// write calls f with a deadline for writes to the caller.
func (s *session) write(f func() error) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return f()
}
