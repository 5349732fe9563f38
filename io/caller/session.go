package caller

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
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

// Transaction statuses of ReadyForQuery.
const (
	statusIdle          byte = 'I'
	statusInTransaction byte = 'T'
	statusFailed        byte = 'E'
)

// resetTimeout bounds the DISCARD ALL that removes a session's state from its
// connection.
const resetTimeout = 5 * time.Second

// session serves one caller. Its fields are used only by the goroutine of run,
// except for those guarded by mu.
type session struct {
	stream
	server   *Server
	host     Host
	rawConn  *deadlineConn
	backend  *pgproto3.Backend
	identity Identity

	// processID and secret are the cancel key.
	processID uint32
	secret    []byte

	// floor is the log position that a server must have applied to serve the
	// session.
	floor group.Position
	// floorKnown is set after the caller presented a token, until it clears it.
	floorKnown bool
	// requestKey is the request key for the next write or transaction.
	requestKey string
	statements map[string]*preparedStatement
	// preparedSize is the total size of the prepared statements in bytes.
	preparedSize int
	portals      map[string]*preparedStatement

	// batch collects messages of the extended protocol up to Sync or Flush.
	batch *batch
	// awaitingSync is set when part of a batch was flushed, until its Sync.
	awaitingSync bool
	// skippingToSync is set after an error in a batch. Messages are then ignored
	// until Sync.
	skippingToSync bool

	// status is the transaction status as reported to the caller.
	status byte
	// conv is the conversation in use: for an open transaction, an unfinished
	// batch, or as long as the session is pinned. Otherwise it is nil.
	conv     backendserver.Conversation
	decision Decision
	// pinned is set while the connection holds state of the session, which then
	// keeps the connection between transactions.
	pinned bool
	// startupStatements apply the caller's start-up parameters to a connection.
	startupStatements []string
	// mayHaveWritten is set if the open transaction or batch ran a statement
	// that may have written.
	mayHaveWritten bool
	// queueDeadline is when the current request stops waiting for a server and a
	// connection; zero means never.
	queueDeadline time.Time
	// hasEffect is set if the open transaction is known to have changed data.
	hasEffect bool
	// requestedReadOnly is set if the caller may have made the transaction
	// read-only, for example by BEGIN READ ONLY or SET TRANSACTION.
	requestedReadOnly bool
	// beginSQL is the text of BEGIN while nothing else has run in the
	// transaction, so that it can be restarted on another server.
	beginSQL string
	// keyed is set if the open transaction runs under a request key.
	keyed *keyedTransaction

	mu                sync.Mutex
	waitingForRequest bool                       // between requests, outside a transaction
	runningConv       backendserver.Conversation // for cancel requests
	cancelWait        context.CancelCauseFunc    // cancels Route or Acquire
}

// preparedStatement is a prepared statement of the session, or the statement of
// a portal.
type preparedStatement struct {
	parse pgproto3.Parse // with the statement's name on connections
	stmt  statement.Statement
	size  int
}

func newSession(c *startup, identity Identity, startupStatements []string) *session {
	return &session{
		server:            c.server,
		host:              c.server.host,
		rawConn:           c.rawConn,
		backend:           c.backend,
		identity:          identity,
		startupStatements: startupStatements,
		statements:        map[string]*preparedStatement{},
		portals:           map[string]*preparedStatement{},
		batch:             &batch{},
		status:            statusIdle,
	}
}

// endError makes the session end. Its error, if any, is sent as FATAL.
type endError struct{ fatal *outcome.Error }

func (e *endError) Error() string { return "session ended" }

// errSessionEnd makes the session end without a message to the caller.
var errSessionEnd = &endError{}

// endSession returns the error that makes the session end with a FATAL error.
func endSession(fatal *outcome.Error) error { return &endError{fatal: fatal} }

// run serves the caller until the session ends.
func (s *session) run(ctx context.Context) {
	defer s.close(ctx)
	for {
		err := s.serveMessage(ctx)
		if err == nil {
			err = s.err
		}
		if err == nil {
			continue
		}
		var ended *endError
		if errors.As(err, &ended) && ended.fatal != nil {
			s.send(errorResponse("FATAL", ended.fatal))
			s.flush()
		}
		return
	}
}

// serveMessage receives and serves one message.
func (s *session) serveMessage(ctx context.Context) error {
	m, err := s.receiveRequest()
	if err != nil {
		return err
	}
	defer forget(m)
	switch m := m.(type) {
	case *pgproto3.Query:
		return s.serveSimple(ctx, m.String)
	case *pgproto3.Sync:
		return s.serveSync(ctx)
	case *pgproto3.Flush:
		return s.serveFlush(ctx)
	case *pgproto3.Terminate:
		return errSessionEnd
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil // remaining data of a failed COPY
	case *pgproto3.FunctionCall:
		return s.answerWithError(refuse(featureNotSupported, "function call messages are not supported"))
	default:
		return s.collect(m)
	}
}

// forget removes the contents of a message that has been served. pgproto3 decodes the
// messages of a type into the same object, which lives as long as the session.
func forget(m pgproto3.FrontendMessage) {
	switch m := m.(type) {
	case *pgproto3.Query:
		m.String = ""
	case *pgproto3.Parse:
		m.Query = ""
	case *pgproto3.Bind:
		clear(m.Parameters)
		m.Parameters = nil
	case *pgproto3.CopyData:
		m.Data = nil
	case *pgproto3.CopyFail:
		m.Message = ""
	case *pgproto3.FunctionCall:
		m.Arguments = nil
	}
}

// receiveRequest receives a message. Outside a request and a transaction it
// returns an error when the server shuts down.
func (s *session) receiveRequest() (pgproto3.FrontendMessage, error) {
	betweenRequests := s.status == statusIdle && !s.inUnfinishedBatch() && len(s.batch.steps) == 0
	if betweenRequests {
		s.releaseBuffers()
	}
	for {
		if err := s.prepareReceive(betweenRequests); err != nil {
			return nil, err
		}
		bytesBefore := s.rawConn.bytesRead.Load()
		m, err := s.backend.Receive()
		s.setWaiting(false)
		if err == nil {
			return m, s.rawConn.SetReadDeadline(time.Time{})
		}
		switch {
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, s.readError(err)
		case s.rawConn.bytesRead.Load() != bytesBefore:
			betweenRequests = false // part of a request has arrived
		case !betweenRequests:
			return nil, endSession(refuse(idleInTransaction, "the session was idle within a transaction for too long"))
		case !s.server.isDraining():
			return nil, endSession(refuse(outcome.AdminShutdown, "the session was idle for too long"))
		}
	}
}

// prepareReceive sets the read deadline before the wait for a message.
func (s *session) prepareReceive(betweenRequests bool) error {
	timeout := s.server.config.TransactionIdleTimeout
	if betweenRequests {
		timeout = s.server.config.IdleTimeout
	}
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	if err := s.rawConn.SetReadDeadline(deadline); err != nil {
		return err
	}
	// Shutdown interrupts sessions that are marked as waiting. A session that
	// is marked later detects the shutdown here.
	s.setWaiting(betweenRequests)
	if betweenRequests && s.server.isDraining() {
		return endSession(refuse(outcome.AdminShutdown, "the host is shutting down"))
	}
	return nil
}

func (s *session) readError(err error) error {
	var tooLong *pgproto3.ExceededMaxBodyLenErr
	if errors.As(err, &tooLong) {
		return endSession(refuse(programLimitExceeded, "the message is too long"))
	}
	return err
}

func (s *session) setWaiting(waiting bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waitingForRequest = waiting
}

// interruptIdle interrupts the wait of a session that is between requests, so
// that it detects the server's shutdown.
func (s *session) interruptIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waitingForRequest {
		_ = s.rawConn.SetReadDeadline(time.Unix(1, 0))
	}
}

// cancelRunning cancels the running statement or the wait for a server.
func (s *session) cancelRunning(ctx context.Context) {
	s.mu.Lock()
	conv, cancelWait := s.runningConv, s.cancelWait
	s.mu.Unlock()
	if cancelWait != nil {
		cancelWait(refuse(queryCancelled, "the statement was cancelled before it was sent"))
	}
	if conv != nil {
		_ = conv.Cancel(ctx)
	}
}

func (s *session) setRunning(conv backendserver.Conversation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runningConv = conv
}

// close releases the session's connection. The connection is reusable if the
// session's state was removed from it.
func (s *session) close(ctx context.Context) {
	if s.conv == nil {
		return
	}
	reusable := false
	if s.pinned && s.status == statusIdle && ctx.Err() == nil {
		resetCtx, cancel := context.WithTimeout(ctx, resetTimeout)
		defer cancel()
		x := exchange{session: s, conv: s.conv, steps: []step{hiddenQuery("DISCARD ALL", &capture{})}}
		discard := x.steps[0].capture
		err := x.run(resetCtx, x.steps)
		reusable = err == nil && discard.code == ""
	}
	s.release(reusable)
}

// release ends the conversation, if any. The session is then no longer
// pinned.
func (s *session) release(reusable bool) {
	if s.conv == nil {
		return
	}
	s.conv.Release(reusable)
	s.conv = nil
	s.pinned = false
}

// addPrepared adds a prepared statement to the session. Its name on connections
// is a hash of its text and parameter types, so that sessions can share it. The
// unnamed statement stays unnamed.
func (s *session) addPrepared(m *pgproto3.Parse) *outcome.Error {
	if _, exists := s.statements[m.Name]; exists && m.Name != "" {
		return refuse(duplicateStatementName, "prepared statement "+quoteIdentifier(m.Name)+" already exists")
	}
	s.deletePrepared(m.Name)
	size := messageOverhead + len(m.Name) + len(m.Query)
	if s.preparedSize+size > s.server.config.MaxMessageSize {
		return refuse(programLimitExceeded, "the session's prepared statements are too large")
	}
	p := &preparedStatement{
		parse: pgproto3.Parse{Query: m.Query, ParameterOIDs: slices.Clone(m.ParameterOIDs)},
		stmt:  statement.Classify(m.Query),
		size:  size,
	}
	s.preparedSize += size
	if m.Name != "" {
		p.parse.Name = preparedName(m)
	}
	s.statements[m.Name] = p
	return nil
}

// removeDefinition removes a prepared statement whose Parse failed.
func (s *session) removeDefinition(p *preparedStatement) {
	for name, known := range s.statements {
		if known == p {
			s.deletePrepared(name)
		}
	}
}

func (s *session) deletePrepared(name string) {
	if p, ok := s.statements[name]; ok {
		s.preparedSize -= p.size
		delete(s.statements, name)
	}
}

// preparedName returns a name for connections. It holds the whole digest, because a
// connection takes statements of the same name for the same one, and is shorter than the
// 63 bytes of a name that PostgreSQL compares.
func preparedName(m *pgproto3.Parse) string {
	h := sha256.New()
	h.Write([]byte(m.Query))
	h.Write([]byte{0})
	for _, oid := range m.ParameterOIDs {
		h.Write(binary.BigEndian.AppendUint32(nil, oid))
	}
	return "basilmill_" + base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}
