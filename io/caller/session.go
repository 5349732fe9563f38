package caller

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/core/statement"
	"basilmill/io/backendserver"
)

// Transaction states as ReadyForQuery reports them.
const (
	idle   byte = 'I'
	open   byte = 'T'
	failed byte = 'E'
)

// resetTimeout bounds the removal of a session's state from its connection.
const resetTimeout = 5 * time.Second

// session serves one caller. Its fields belong to the goroutine of run, except
// for those under mu.
type session struct {
	stream
	server   *Server
	host     Host
	counted  *deadlineConn
	backend  *pgproto3.Backend
	identity Identity

	processID uint32
	secret    []byte

	floor group.Position
	// floorKnown is set while the caller passes tokens between its sessions.
	floorKnown bool
	// key is the request key for the next write or transaction.
	key        string
	statements map[string]*prepared
	// preparedSize is the total size of the statements' texts.
	preparedSize int
	portals      map[string]*prepared

	// batch collects messages of the extended protocol up to Sync or Flush.
	batch *batch
	// unsynced is set when a part of a batch was flushed, until Sync.
	unsynced bool
	// skipping is set after an error within a batch, until Sync.
	skipping bool

	// status is the transaction status that the caller was told.
	status byte
	// conv is the conversation of an open transaction, an unfinished batch or
	// a session with state on its connection.
	conv     backendserver.Conversation
	decision Decision
	// pinned is set while the connection holds state of the session.
	pinned bool
	// settings are the statements that apply the start-up parameters.
	settings []string
	// wrote is set when the open transaction or batch ran something that may
	// have written.
	wrote bool
	// queueDeadline bounds the wait of the current request; zero means none.
	queueDeadline time.Time
	// effect is set when the open transaction certainly changed something.
	effect bool
	// readOnly is set when the transaction may be read-only by the caller's
	// own wish: after BEGIN READ ONLY, SET TRANSACTION and the like.
	readOnly bool
	// begun is the text of the BEGIN of a transaction in which nothing else
	// has run, so that it can begin again elsewhere.
	begun string
	// keyed is the request key's part in the open transaction, if any.
	keyed *keyedTransaction

	mu        sync.Mutex
	waiting   bool // for a request, outside a transaction
	running   backendserver.Conversation
	interrupt context.CancelCauseFunc
}

// prepared is a prepared statement of the session, or the statement behind a
// portal.
type prepared struct {
	parse pgproto3.Parse // with the name used on connections
	facts statement.Statement
	size  int
}

func newSession(c *startup, identity Identity, settings []string) *session {
	return &session{
		server:     c.server,
		host:       c.server.host,
		counted:    c.counted,
		backend:    c.backend,
		identity:   identity,
		settings:   settings,
		statements: map[string]*prepared{},
		portals:    map[string]*prepared{},
		batch:      &batch{},
		status:     idle,
	}
}

// endError ends the session; its error, if any, is sent as FATAL.
type endError struct{ fatal *outcome.Error }

func (e *endError) Error() string { return "session ended" }

// errEnd ends the session without a message.
var errEnd = &endError{}

func end(fatal *outcome.Error) error { return &endError{fatal: fatal} }

// run serves the caller until the session ends.
func (s *session) run(ctx context.Context) {
	defer s.leave(ctx)
	for {
		err := s.step(ctx)
		if err == nil {
			err = s.err
		}
		if err == nil {
			continue
		}
		var ended *endError
		if errors.As(err, &ended) && ended.fatal != nil {
			s.send(response("FATAL", ended.fatal))
			s.flush()
		}
		return
	}
}

// step serves one message.
func (s *session) step(ctx context.Context) error {
	m, err := s.next()
	if err != nil {
		return err
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.simple(ctx, m.String)
	case *pgproto3.Sync:
		return s.sync(ctx)
	case *pgproto3.Flush:
		return s.flushBatch(ctx)
	case *pgproto3.Terminate:
		return errEnd
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // the rest of a COPY that has failed
	case *pgproto3.FunctionCall:
		return s.answerLocally(refuse(featureNotSupported, "function call messages are not supported"))
	default:
		return s.collect(m)
	}
}

// next receives a message. Outside requests and transactions it ends with the
// server's shutdown.
func (s *session) next() (pgproto3.FrontendMessage, error) {
	between := s.status == idle && !s.inBatch() && len(s.batch.steps) == 0
	for {
		if err := s.await(between); err != nil {
			return nil, err
		}
		before := s.counted.read.Load()
		m, err := s.backend.Receive()
		s.setWaiting(false)
		if err == nil {
			return m, s.counted.SetReadDeadline(time.Time{})
		}
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, s.readError(err)
		case s.counted.read.Load() != before:
			between = false // a request is arriving
		case !between:
			return nil, end(refuse(idleInTransaction, "the session was idle within a transaction for too long"))
		case !s.server.isDraining():
			return nil, end(refuse(outcome.AdminShutdown, "the session was idle for too long"))
		}
	}
}

// await prepares to wait for a message.
func (s *session) await(between bool) error {
	timeout := s.server.config.TransactionIdleTimeout
	if between {
		timeout = s.server.config.IdleTimeout
	}
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := s.counted.SetReadDeadline(deadline); err != nil {
		return err
	}
	// Shutdown interrupts a session that it sees waiting; one that starts to
	// wait later sees the shutdown here.
	s.setWaiting(between)
	if between && s.server.isDraining() {
		return end(refuse(outcome.AdminShutdown, "the host is shutting down"))
	}
	return nil
}

func (s *session) readError(err error) error {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLong) {
		return end(refuse(programLimitExceeded, "the message is too long"))
	}
	return err
}

func (s *session) setWaiting(waiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = waiting
}

// interruptIdle makes a session that waits between requests notice the
// server's shutdown.
func (s *session) interruptIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting {
		_ = s.counted.SetReadDeadline(time.Unix(1, 0))
	}
}

// cancelRunning cancels the running statement, or the wait for a server.
func (s *session) cancelRunning(ctx context.Context) {
	s.mu.Lock()
	conv, interrupt := s.running, s.interrupt
	s.mu.Unlock()
	if interrupt != nil {
		interrupt(refuse(queryCancelled, "the statement was cancelled before it was sent"))
	}
	if conv != nil {
		_ = conv.Cancel(ctx)
	}
}

func (s *session) setRunning(conv backendserver.Conversation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running = conv
}

// leave gives back what the session holds. A connection is given back for
// reuse when the session's state could be removed from it.
func (s *session) leave(ctx context.Context) {
	if s.conv == nil {
		return
	}
	reusable := false
	if s.pinned && s.status == idle && ctx.Err() == nil {
		reset, cancel := context.WithTimeout(ctx, resetTimeout)
		defer cancel()
		x := exchange{session: s, conv: s.conv, steps: []step{hiddenQuery("DISCARD ALL", &capture{})}}
		discard := x.steps[0].capture
		err := x.run(reset, x.steps)
		reusable = err == nil && discard.code == ""
	}
	s.release(reusable)
}

// release ends the conversation.
func (s *session) release(reusable bool) {
	if s.conv == nil {
		return
	}
	s.conv.Release(reusable)
	s.conv = nil
	s.pinned = false
}

// parse remembers a prepared statement. Its name on connections is a hash of
// everything that defines it; the unnamed statement stays unnamed.
func (s *session) parse(m *pgproto3.Parse) *outcome.Error {
	if _, exists := s.statements[m.Name]; exists && m.Name != "" {
		return refuse(duplicateStatementName, "prepared statement "+quoteName(m.Name)+" already exists")
	}
	s.forget(m.Name)
	size := messageOverhead + len(m.Name) + len(m.Query)
	if s.preparedSize+size > s.server.config.MaxMessageSize {
		return refuse(programLimitExceeded, "the session's prepared statements are too large")
	}
	p := &prepared{
		parse: pgproto3.Parse{Query: m.Query, ParameterOIDs: slices.Clone(m.ParameterOIDs)},
		facts: statement.Classify(m.Query),
		size:  size,
	}
	s.preparedSize += size
	if m.Name != "" {
		p.parse.Name = hashName(m)
	}
	s.statements[m.Name] = p
	return nil
}

// undefine forgets a statement whose Parse failed.
func (s *session) undefine(p *prepared) {
	for name, known := range s.statements {
		if known == p {
			s.forget(name)
		}
	}
}

func (s *session) forget(name string) {
	if p, ok := s.statements[name]; ok {
		s.preparedSize -= p.size
		delete(s.statements, name)
	}
}

func hashName(m *pgproto3.Parse) string {
	h := sha256.New()
	h.Write([]byte(m.Query))
	h.Write([]byte{0})
	for _, oid := range m.ParameterOIDs {
		h.Write(binary.BigEndian.AppendUint32(nil, oid))
	}
	return "basilmill_" + hex.EncodeToString(h.Sum(nil)[:16])
}
