// Package link owns the connections from a host to one backend server: the
// statements in flight on each connection, the session state that a connection
// carries, and the pool that shares the connections between sessions.
package link

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
)

// Stream is one protocol connection to a backend server. Send and Receive may
// be called at the same time, each by one goroutine.
type Stream interface {
	// Send writes the statements in one flush.
	Send(batch []exchange.Statement) error
	// Receive returns the next answer. Answers come in the order of the
	// statements.
	Receive() (exchange.Answer, error)
	Close() error
}

// Dialer opens connections. A refusal by the server is an *exchange.Error.
type Dialer interface {
	Dial(ctx context.Context, server catalog.Server) (Stream, error)
}

// ErrLost is the error of statements whose connection ended before their
// answers were complete. Whether they ran is unknown.
var ErrLost = errors.New("connection to the backend server lost")

// Call is a batch of statements in flight.
type Call struct {
	// Done is closed when all answers arrived or the connection was lost.
	Done <-chan struct{}

	done    chan struct{}
	want    int
	prelude int
	answers []exchange.Answer
	err     error
	sent    time.Time
}

// Answers returns the answers to the statements of the batch, in order. It is
// valid after Done is closed.
func (c *Call) Answers() ([]exchange.Answer, error) {
	if c.err != nil {
		return nil, c.err
	}
	return c.answers[c.prelude:], nil
}

// Conn is one connection. Statements of several sessions may be in flight on
// it at the same time, unless a session holds it exclusively.
type Conn struct {
	stream Stream
	onEnd  func(*Conn)

	// send is held while a batch is written, so that the order of the calls
	// is the order on the connection.
	send sync.Mutex

	mu       sync.Mutex
	calls    []*Call
	settings SessionState
	ended    bool
	cause    error

	// The pool's lock guards the rest.
	exclusive bool
	shares    int
	idleSince time.Time
}

// SessionState is the session state of a connection: the session values and the
// prepared statements by the names under which the connection knows them.
type SessionState struct {
	Values   map[string]string
	Prepared map[string]exchange.Prepared
}

// NewConn returns a connection over the stream. The function onEnd, if set, is
// called once when the connection has ended.
func NewConn(stream Stream, onEnd func(*Conn)) *Conn {
	c := &Conn{stream: stream, onEnd: onEnd}
	go c.receive()
	return c
}

// Submit sends statements in one flush, after those that give the connection
// the wanted session state. Statements without a session pass nil.
func (c *Conn) Submit(wanted *SessionState, statements ...exchange.Statement) *Call {
	c.send.Lock()
	defer c.send.Unlock()
	call := &Call{done: make(chan struct{})}
	call.Done = call.done
	batch, ok := c.enqueue(call, wanted, statements)
	if !ok {
		call.err = ErrLost
		close(call.done)
		return call
	}
	if err := c.stream.Send(batch); err != nil {
		c.end(err)
	}
	return call
}

// Run submits statements and waits for their answers. When ctx ends first the
// statements go on and the error is that of ctx.
func (c *Conn) Run(ctx context.Context, wanted *SessionState, statements ...exchange.Statement) ([]exchange.Answer, error) {
	call := c.Submit(wanted, statements...)
	select {
	case <-call.Done:
		return call.Answers()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *Conn) enqueue(call *Call, wanted *SessionState, statements []exchange.Statement) ([]exchange.Statement, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil, false
	}
	var batch []exchange.Statement
	if wanted != nil {
		batch = c.settings.transition(wanted)
	}
	call.prelude = len(batch)
	batch = append(batch, statements...)
	call.want = len(batch)
	call.sent = time.Now()
	c.calls = append(c.calls, call)
	return batch, true
}

// transition returns the statements that give a connection the wanted state
// and records it. A value that the session does not have can only be removed
// by a reset, which also removes the prepared statements.
func (s *SessionState) transition(wanted *SessionState) []exchange.Statement {
	var batch []exchange.Statement
	for name := range s.Values {
		if _, ok := wanted.Values[name]; !ok {
			batch = append(batch, exchange.Statement{Operation: exchange.Reset})
			s.Values, s.Prepared = nil, nil
			break
		}
	}
	for _, name := range slices.Sorted(maps.Keys(wanted.Values)) {
		value := wanted.Values[name]
		if had, ok := s.Values[name]; ok && had == value {
			continue
		}
		if s.Values == nil {
			s.Values = map[string]string{}
		}
		s.Values[name] = value
		batch = append(batch, exchange.Statement{Operation: exchange.Set, Name: name, Value: value})
	}
	for name, prepared := range wanted.Prepared {
		if _, ok := s.Prepared[name]; ok {
			continue
		}
		if s.Prepared == nil {
			s.Prepared = map[string]exchange.Prepared{}
		}
		s.Prepared[name] = prepared
		batch = append(batch, exchange.Statement{Operation: exchange.Prepare, Name: name, Prepared: prepared})
	}
	return batch
}

// matches reports whether the connection needs no statements to reach the
// wanted session state.
func (c *Conn) matches(wanted *SessionState) bool {
	if wanted == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Equal(c.settings.Values, wanted.Values)
}

func (c *Conn) receive() {
	for {
		answer, err := c.stream.Receive()
		if err == nil {
			err = c.accept(answer)
		}
		if err != nil {
			c.end(err)
			return
		}
	}
}

// accept assigns an answer to the oldest call. A call is complete only when
// each answer fits its statement, because an answer that went missing would
// otherwise shift the later ones to other sessions.
func (c *Conn) accept(answer exchange.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 {
		return eris.New("answer without a statement")
	}
	call := c.calls[0]
	if len(call.answers) < call.prelude && (answer.Failure != nil || answer.Digest != "" || len(answer.Rows) > 0) {
		return eris.New("unexpected answer while setting up the session")
	}
	call.answers = append(call.answers, answer)
	if len(call.answers) == call.want {
		c.calls = c.calls[1:]
		close(call.done)
	}
	return nil
}

// Close ends the connection. Statements in flight fail with ErrLost.
func (c *Conn) Close() { c.end(ErrLost) }

// Closed reports whether the connection has ended.
func (c *Conn) Closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func (c *Conn) end(cause error) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		return
	}
	c.ended = true
	c.cause = cause
	calls := c.calls
	c.calls = nil
	c.mu.Unlock()
	// The stream is of no further use, whatever its Close returns.
	_ = c.stream.Close()
	for _, call := range calls {
		call.err = ErrLost
		close(call.done)
	}
	if c.onEnd != nil {
		c.onEnd(c)
	}
}

// waitingSince returns when the oldest unanswered call was sent.
func (c *Conn) waitingSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 {
		return time.Time{}, false
	}
	return c.calls[0].sent, true
}
