// Package link owns the connections from a host to backend servers: the
// statements in flight on each connection, the session state that a connection
// carries, and the pool of each server, which shares its connections between
// sessions.
package link

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/account"
	"basilmill/core/catalog"
	"basilmill/core/dispatch"
	"basilmill/core/exchange"
	"basilmill/core/lifetime"
)

// Stream is one protocol connection to a backend server. Send and Receive may
// be called at the same time, each by one goroutine.
type Stream interface {
	// Send writes the statements in one flush.
	Send(batch []exchange.Statement) error
	// Receive returns the next answer. Answers arrive in the order of the
	// statements.
	Receive() (exchange.Answer, error)
	Close() error
}

// Dialer opens connections to backend servers, each for an account or, if the id is empty,
// for basilmill itself. A refusal by the server is
// returned as an *exchange.Error.
type Dialer interface {
	Dial(ctx context.Context, server catalog.Server, id account.ID) (Stream, error)
}

// ErrLost is returned for statements whose connection closed before all answers
// had arrived. Whether the statements ran is unknown.
var ErrLost = errors.New("connection to the backend server lost")

// Call is a batch of statements in flight on a channel.
type Call struct {
	// Done is closed when all answers have arrived or the connection has closed.
	Done <-chan struct{}

	done chan struct{}
	// expected is the number of answers that complete the call. The first
	// setupCount of them belong to statements that set up the session state.
	expected   int
	setupCount int
	answers    []exchange.Answer
	err        error
	sentAt     time.Time
	// usesSlot is set if a statement needs one of the server's slots, writes if one
	// may change data, and commits if one is a COMMIT.
	usesSlot, writes, commits bool
	// abandoned is set when nobody waits for the answers any longer.
	abandoned atomic.Bool
}

// Answers returns the answers to the statements of the batch, in order. It must
// not be called before Done is closed.
func (c *Call) Answers() ([]exchange.Answer, error) {
	if c.err != nil {
		return nil, c.err
	}
	return c.answers[c.setupCount:], nil
}

// NewCall returns a call that its channel ends with Complete or Fail.
func NewCall() *Call {
	call := &Call{done: make(chan struct{}), sentAt: time.Now()}
	call.Done = call.done
	return call
}

// Complete ends the call with the answers to its statements. It must not be
// called after Complete or Fail.
func (c *Call) Complete(answers []exchange.Answer) {
	c.answers = answers
	close(c.done)
}

// Fail ends the call without answers. It must not be called after Complete or
// Fail.
func (c *Call) Fail(err error) {
	c.err = err
	close(c.done)
}

// Conn is one connection to a backend server. Statements of several sessions may
// be in flight on it at the same time, unless a session has exclusive use of it.
type Conn struct {
	stream  Stream
	onClose func(*Conn)
	// account is the account that the connection was opened for; empty for basilmill
	// itself.
	account account.ID
	// onAnswer, if set, is called when a call has been answered that used a slot.
	onAnswer func(latency time.Duration)
	// openedAt is when the opening had ended.
	openedAt time.Time
	process  *process

	// sendMu is held while a batch is enqueued and written, so that calls are in
	// the same order as their statements on the connection.
	sendMu sync.Mutex

	mu           sync.Mutex
	calls        []*Call
	sessionState SessionState
	closed       bool
	cause        error
	// answeredSentAt is when the latest answered call was sent that used a slot, and
	// latency the moving average of the time that such calls took.
	answeredSentAt time.Time
	latency        time.Duration
	// answeredAt is when the last answer arrived.
	answeredAt time.Time

	// The fields below are guarded by the pool's mutex.
	exclusive      bool
	sharedSessions int
	grantedAt      time.Time
	idleSince      time.Time
}

// SessionState is the session state of a connection to a backend server: the
// session values set on it, and its prepared statements by their names on the
// connection.
type SessionState struct {
	Values   map[string]string
	Prepared map[string]exchange.PreparedStatement
}

// NewConn returns a connection over the stream and starts receiving answers. The
// function onClose, if set, is called once when the connection has closed.
func NewConn(stream Stream, onClose func(*Conn)) *Conn {
	return newConn(stream, onClose, &process{})
}

// newConn returns a connection to a server whose process is tracked with its other
// connections.
func newConn(stream Stream, onClose func(*Conn), process *process) *Conn {
	c := &Conn{stream: stream, onClose: onClose, openedAt: time.Now(), process: process}
	go c.receive()
	return c
}

// newAccountConn returns a connection that was opened for an account.
func newAccountConn(stream Stream, onClose func(*Conn), process *process, id account.ID, onAnswer func(time.Duration)) *Conn {
	c := &Conn{stream: stream, onClose: onClose, openedAt: time.Now(), process: process, account: id, onAnswer: onAnswer}
	go c.receive()
	return c
}

// Submit sends statements in one flush, preceded by the statements that set up
// the desired session state if the connection has another one. Statements that
// need no session state pass nil.
func (c *Conn) Submit(desired *SessionState, statements ...exchange.Statement) *Call {
	c.sendMu.Lock()
	defer c.sendMu.Unlock()
	call := NewCall()
	call.classify(desired, statements)
	batch, ok := c.enqueue(call, desired, statements)
	if !ok {
		call.Fail(ErrLost)
		return call
	}
	if err := c.stream.Send(batch); err != nil {
		c.closeWith(err)
	}
	return call
}

// classify notes what the statements of the call need and change.
func (c *Call) classify(desired *SessionState, statements []exchange.Statement) {
	for _, s := range statements {
		switch s.Operation {
		case exchange.Commit:
			c.usesSlot, c.commits = true, true
		case exchange.Write:
			c.usesSlot, c.writes = true, true
		case exchange.Execute:
			c.usesSlot = true
			c.writes = c.writes || desired == nil || desired.Prepared[s.Name].Writes
		case exchange.Read:
			c.usesSlot = true
		default:
		}
	}
}

// Abandon implements Channel.
func (c *Conn) Abandon(call *Call) { call.abandoned.Store(true) }

// enqueue adds the call to the calls in flight and returns the statements to
// send. It returns false if the connection has closed.
func (c *Conn) enqueue(call *Call, desired *SessionState, statements []exchange.Statement) ([]exchange.Statement, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, false
	}
	var batch []exchange.Statement
	if desired != nil {
		batch = c.sessionState.transition(desired)
	}
	call.setupCount = len(batch)
	batch = append(batch, statements...)
	call.expected = len(batch)
	c.calls = append(c.calls, call)
	return batch, true
}

// transition returns the statements that bring a connection to the desired state
// and records that state. A value that the desired state lacks can only be
// removed by a reset, which also removes the prepared statements. A name that has
// another content is prepared again: hosts choose the names, and the connection
// does not rely on how.
func (s *SessionState) transition(desired *SessionState) []exchange.Statement {
	var batch []exchange.Statement
	for name := range s.Values {
		if _, ok := desired.Values[name]; !ok {
			batch = append(batch, exchange.Statement{Operation: exchange.Reset})
			s.Values, s.Prepared = nil, nil
			break
		}
	}
	for _, name := range slices.Sorted(maps.Keys(desired.Values)) {
		value := desired.Values[name]
		if current, ok := s.Values[name]; ok && current == value {
			continue
		}
		if s.Values == nil {
			s.Values = map[string]string{}
		}
		s.Values[name] = value
		batch = append(batch, exchange.Statement{Operation: exchange.Set, Name: name, Value: value})
	}
	for name, prepared := range desired.Prepared {
		current, ok := s.Prepared[name]
		if ok && current == prepared {
			continue
		}
		if ok {
			batch = append(batch, exchange.Statement{Operation: exchange.Release, Name: name})
		}
		if s.Prepared == nil {
			s.Prepared = map[string]exchange.PreparedStatement{}
		}
		s.Prepared[name] = prepared
		batch = append(batch, exchange.Statement{Operation: exchange.Prepare, Name: name, Prepared: prepared})
	}
	return batch
}

// matches reports whether the connection has the session values of the desired
// state. Prepared statements are not compared.
func (c *Conn) matches(desired *SessionState) bool {
	if desired == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Equal(c.sessionState.Values, desired.Values)
}

// receive delivers answers until the connection closes. An answer that makes the
// stream panic closes it too.
func (c *Conn) receive() {
	defer func() {
		if cause := recover(); cause != nil {
			c.closeWith(eris.Errorf("panic on an answer: %v", cause))
		}
	}()
	for {
		answer, err := c.stream.Receive()
		var answered *Call
		if err == nil {
			answered, err = c.deliver(answer)
		}
		if err != nil {
			c.closeWith(err)
			return
		}
		if answered != nil && answered.usesSlot && c.onAnswer != nil {
			c.onAnswer(time.Since(answered.sentAt))
		}
	}
}

// deliver assigns an answer to the oldest call in flight. An answer to a setup
// statement must be empty: anything else means that an answer has been lost, and
// later answers would go to the wrong sessions. It returns the call if that is complete.
func (c *Conn) deliver(answer exchange.Answer) (answered *Call, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.calls) == 0 {
		return nil, eris.New("received an answer without a statement in flight")
	}
	call := c.calls[0]
	if len(call.answers) < call.setupCount && (answer.Failure != nil || answer.Digest != "" || len(answer.Rows) > 0) {
		return nil, eris.New("received an unexpected answer to a session setup statement")
	}
	c.answeredAt = time.Now()
	answer.ProcessAge = c.answeredAt.Sub(c.process.note(lifetime.Span{Since: c.openedAt, Until: call.sentAt}))
	call.answers = append(call.answers, answer)
	if len(call.answers) == call.expected {
		// The array must not keep the call, because the connection may be idle for long.
		c.calls[0] = nil
		c.calls = c.calls[1:]
		if call.usesSlot {
			c.answeredSentAt = call.sentAt
			c.latency += (time.Since(call.sentAt) - c.latency) / latencySmoothing
		}
		close(call.done)
		answered = call
	}
	return answered, nil
}

// Close closes the connection. Statements in flight fail with ErrLost.
func (c *Conn) Close() { c.closeWith(ErrLost) }

// Closed reports whether the connection has been closed or lost.
func (c *Conn) Closed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// closeWith closes the connection for the given cause and fails the calls in
// flight.
func (c *Conn) closeWith(cause error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.cause = cause
	calls := c.calls
	c.calls = nil
	c.mu.Unlock()
	// The stream is not used again, so an error of Close does not matter.
	_ = c.stream.Close()
	for _, call := range calls {
		call.Fail(ErrLost)
	}
	if c.onClose != nil {
		c.onClose(c)
	}
}

// latencySmoothing is the divisor of the moving average of the latency.
const latencySmoothing = 8

// state returns the state of the connection. The caller holds the pool's mutex.
func (c *Conn) state() dispatch.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := dispatch.Conn{
		Account: c.account, Exclusive: c.exclusive, Sessions: c.sharedSessions, AnsweredSentAt: c.answeredSentAt, Latency: c.latency, IdleSince: c.idleSince,
	}
	state.Starting = c.exclusive && len(c.calls) == 0 && !c.answeredAt.After(c.grantedAt)
	state.QuietSince = c.grantedAt
	if c.answeredAt.After(c.grantedAt) {
		state.QuietSince = c.answeredAt
	}
	if len(c.calls) > 0 {
		state.OldestSentAt = c.calls[0].sentAt
	}
	state.AwaitsCommit = slices.ContainsFunc(c.calls, func(call *Call) bool {
		// Without exclusive use there is no transaction, so that a write commits.
		return !call.abandoned.Load() && (call.commits || call.writes && !c.exclusive)
	})
	return state
}
