package entry

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"basilmill/core/exchange"
	"basilmill/core/logevent"
	"basilmill/core/proxy"
)

// Codec is the server side of the protocol of one caller's connection. A read
// that ended by a timeout may be repeated. Errors that the caller must be told
// are *exchange.Error.
type Codec interface {
	ReadStartup() (database string, err error)
	// ReadStatement returns io.EOF when the caller ends the session.
	ReadStatement() (exchange.Statement, error)
	// HasPartialMessage reports whether part of a message has been read.
	HasPartialMessage() bool
	WriteReady() error
	WriteAnswer(exchange.Answer) error
	WriteRefusal(*exchange.Error) error
}

const (
	// openingTimeout bounds the wait for a caller's first message.
	openingTimeout = 5 * time.Second
	// answerTimeout bounds the writing of an answer to a caller that does not
	// read.
	answerTimeout = 5 * time.Second
	// noticeTime is how long the balancer takes to notice that the host is not
	// ready: two probes a second apart, and the connections under way.
	noticeTime = 2300 * time.Millisecond
	// lastTime is kept free before the end of the grace time, for the answers
	// that are on their way.
	lastTime = 700 * time.Millisecond
	// drainPoll is the time between two looks at the sessions while draining.
	drainPoll = 50 * time.Millisecond
)

// callers serves the callers' connections.
type callers struct {
	host *Host

	mu       sync.Mutex
	sessions map[*session]struct{}
	// leaving is set when idle sessions are to be closed.
	leaving atomic.Bool
	// ending is set when transactions are to be closed too.
	ending atomic.Bool
}

// session is one caller's connection.
type session struct {
	callers *callers
	conn    net.Conn
	codec   Codec
	proxy   *proxy.Session
	// busy is set from the arrival of a statement to the end of its answer.
	busy atomic.Bool
	// open is set while a transaction is open.
	open atomic.Bool
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
			time.Sleep(drainPoll)
			continue
		}
		s := &session{callers: c, conn: conn, codec: c.host.platform.Codec(conn)}
		if !c.add(s) {
			_ = s.codec.WriteRefusal(&exchange.Error{Code: exchange.TooManyConnections, Text: "too many callers on this host"})
			_ = conn.Close()
			continue
		}
		go s.serve()
	}
}

func (c *callers) add(s *session) bool {
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

// drain ends the sessions within the grace time. The listener stays open until
// the balancer has noticed that the host is not ready. Then idle sessions are
// closed, and after half of the grace time those whose transaction is idle.
// Statements under way are finished.
func (c *callers) drain(listener net.Listener, grace time.Duration) {
	started := time.Now()
	for {
		elapsed := time.Since(started)
		if elapsed >= min(noticeTime, grace/2) && !c.leaving.Load() {
			c.leaving.Store(true)
			_ = listener.Close()
		}
		if elapsed >= grace/2 {
			c.ending.Store(true)
		}
		if c.leaving.Load() {
			c.wakeIdle()
			if c.count() == 0 {
				return
			}
		}
		if elapsed >= grace-lastTime {
			c.host.log.Write(context.Background(), logevent.DrainIncomplete, slog.Int("callers", c.count()), slog.Duration("elapsed", elapsed))
			return
		}
		time.Sleep(drainPoll)
	}
}

// wakeIdle interrupts the reads of the sessions that are to be closed.
func (c *callers) wakeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for s := range c.sessions {
		if !s.busy.Load() && s.mayClose() {
			_ = s.conn.SetReadDeadline(time.Now())
		}
	}
}

// mayClose reports whether the session may be closed between two statements.
func (s *session) mayClose() bool {
	if s.open.Load() {
		return s.callers.ending.Load()
	}
	return s.callers.leaving.Load()
}

// serve runs the session until the caller ends it.
func (s *session) serve() {
	defer s.callers.remove(s)
	defer func() { _ = s.conn.Close() }()
	if !s.start() {
		return
	}
	defer s.proxy.Close()
	for {
		statement, err := s.codec.ReadStatement()
		if err != nil {
			if errors.Is(err, os.ErrDeadlineExceeded) && !s.mayClose() {
				_ = s.conn.SetReadDeadline(time.Time{})
				continue
			}
			s.refuse(err)
			return
		}
		s.busy.Store(true)
		answer := s.proxy.Execute(context.Background(), statement)
		s.open.Store(s.proxy.InTransaction())
		err = s.write(func() error { return s.codec.WriteAnswer(answer) })
		s.busy.Store(false)
		if err != nil || s.mayClose() && !s.open.Load() {
			return
		}
	}
}

// start opens the session.
func (s *session) start() bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(openingTimeout))
	database, err := s.codec.ReadStartup()
	if err != nil {
		s.refuse(err)
		return false
	}
	_ = s.conn.SetReadDeadline(time.Time{})
	opened, failure := s.callers.host.proxy.Open(context.Background(), database)
	if failure != nil {
		s.refuse(failure)
		return false
	}
	s.proxy = opened
	return s.write(s.codec.WriteReady) == nil
}

// refuse tells the caller why the connection ends, if there is something to
// tell.
func (s *session) refuse(err error) {
	var failure *exchange.Error
	if !errors.As(err, &failure) {
		if !errors.Is(err, io.EOF) && !errors.Is(err, os.ErrDeadlineExceeded) {
			s.callers.host.metrics.lostCallers.Inc()
		}
		return
	}
	s.callers.host.log.Write(context.Background(), logevent.CallerRefused, slog.String("caller", s.conn.RemoteAddr().String()), slog.String("reason", failure.Error()))
	_ = s.write(func() error { return s.codec.WriteRefusal(failure) })
}

func (s *session) write(f func() error) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	return f()
}
