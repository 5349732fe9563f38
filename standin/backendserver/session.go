package backendserver

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"errors"
	"maps"
	"net"
	"slices"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"basilmill/core/group"
	"basilmill/standin/internal/sql"
)

// errCanceled is the error of a statement that a cancel request ended.
var errCanceled error = sql.Errorf(sql.QueryCanceled, "canceling statement due to user request")

// serve handles one connection of a client or a replica, or one with a cancel
// request.
func (s *Server) serve(ctx context.Context, conn net.Conn) {
	c := newConnection(ctx, conn)
	if !s.track(c) {
		_ = c.Close()
		return
	}
	defer s.untrack(c)
	backend := pgproto3.NewBackend(c, c)
	startup, err := receiveStartup(backend, c)
	if err != nil {
		return
	}
	switch m := startup.(type) {
	case *pgproto3.CancelRequest:
		s.cancelStatement(m)
	case *pgproto3.StartupMessage:
		if m.Parameters[replicationParameter] == replicationValue {
			s.serveReplica(c, group.ServerID(m.Parameters[serverIDParameter]))
			return
		}
		s.serveClient(c, backend, m)
	}
}

// track registers a connection, so that cuts apply to it and Run closes it. It
// returns false if the server is stopping.
func (s *Server) track(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[c] = struct{}{}
	return s.runCtx.Err() == nil
}

func (s *Server) untrack(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	_ = c.Close()
}

// setPeer records the other end of a connection and applies the cuts that
// select it.
func (s *Server) setPeer(c *connection, p peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.peer = p
	s.applyCut(c)
}

// receiveStartup returns the start-up message or a cancel request. It declines
// requests for encryption.
func receiveStartup(backend *pgproto3.Backend, c *connection) (pgproto3.FrontendMessage, error) {
	for {
		message, err := backend.ReceiveStartupMessage()
		if err != nil {
			return nil, err
		}
		switch message.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.Write([]byte("N")); err != nil {
				return nil, err
			}
		default:
			return message, nil
		}
	}
}

func (s *Server) serveReplica(c *connection, id group.ServerID) {
	s.setPeer(c, replicaPeer{id})
	if err := c.waitUntilUnblocked(); err != nil {
		return
	}
	err := s.serveStream(c.ctx, c, id)
	s.logger.Debug("replication to a replica ended", "replica", id, "error", eris.ToString(err, false))
}

// cancelStatement cancels the statement that a session is executing if the
// request has the session's cancel key.
func (s *Server) cancelStatement(request *pgproto3.CancelRequest) {
	s.mu.RLock()
	target := s.sessions[request.ProcessID]
	s.mu.RUnlock()
	if target != nil && subtle.ConstantTimeCompare(target.cancelKey, request.SecretKey) == 1 {
		target.cancelStatement()
	}
}

// session is the state of one client connection.
type session struct {
	server    *Server
	conn      *connection
	backend   *pgproto3.Backend
	id        uint32
	cancelKey []byte
	database  string
	// defaults and settings are replaced as a whole, never modified, so that a
	// transaction can keep the settings of its start.
	defaults map[string]string
	settings map[string]string

	transaction *transaction
	statements  map[string]*preparedStatement
	portals     map[string]*portal
	// skipUntilSync is set after an error in the extended protocol: messages
	// are dropped until the next Sync.
	skipUntilSync bool

	cancel statementCancel
}

func (s *Server) serveClient(c *connection, backend *pgproto3.Backend, startup *pgproto3.StartupMessage) {
	parameters := maps.Clone(startup.Parameters)
	s.setPeer(c, clientPeer{parameters["application_name"]})
	x, err := s.openSession(c, backend, parameters)
	if x != nil {
		defer s.closeSession(x)
	}
	if err == nil {
		err = x.completeStartup(c.ctx, parameters)
	}
	if err != nil {
		backend.Send(errorResponse(err, "FATAL"))
		_ = backend.Flush()
		return
	}
	x.run(c.ctx)
	x.rollback()
}

// openSession returns the session of a new client connection. It fails if the
// connection limit is reached.
func (s *Server) openSession(
	c *connection, backend *pgproto3.Backend, parameters map[string]string,
) (*session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.ConnectionLimit > 0 && s.counters.Open >= int64(s.config.ConnectionLimit) {
		s.counters.Refused++
		return nil, sql.Errorf(sql.TooManyConnections, "too many connections for server %s", s.config.ID)
	}
	s.counters.Open++
	s.counters.PeakOpen = max(s.counters.PeakOpen, s.counters.Open)
	s.lastSessionID++
	x := &session{
		server: s, conn: c, backend: backend, id: s.lastSessionID, cancelKey: make([]byte, 4),
		database:   parameters["database"],
		statements: map[string]*preparedStatement{},
		portals:    map[string]*portal{},
	}
	if x.database == "" {
		x.database = parameters["user"]
	}
	if _, err := rand.Read(x.cancelKey); err != nil {
		return x, err
	}
	x.defaults = defaultSettings(parameters, s.role)
	x.settings = x.defaults
	s.sessions[x.id] = x
	return x, nil
}

func (s *Server) closeSession(x *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Open--
	delete(s.sessions, x.id)
}

// completeStartup checks the database, authenticates the client and sends the
// messages that end the start-up.
func (x *session) completeStartup(ctx context.Context, parameters map[string]string) error {
	config := x.server.config
	if len(config.Databases) > 0 && !slices.Contains(config.Databases, x.database) {
		return sql.Errorf(sql.InvalidDatabase, "database %q does not exist", x.database)
	}
	if err := sleep(ctx, config.StartupDelay); err != nil {
		return sql.Errorf(sql.AdminShutdown, "the server closes the connection")
	}
	if err := x.authenticate(parameters["user"]); err != nil {
		return err
	}
	x.backend.Send(&pgproto3.AuthenticationOk{})
	for _, name := range reportedSettings {
		x.backend.Send(&pgproto3.ParameterStatus{Name: reportedName(name), Value: x.settings[name]})
	}
	x.backend.Send(&pgproto3.BackendKeyData{ProcessID: x.id, SecretKey: x.cancelKey})
	x.sendReadyForQuery()
	x.server.mu.Lock()
	x.server.counters.Opened++
	x.server.mu.Unlock()
	return x.backend.Flush()
}

// run handles messages until the client terminates or the connection fails.
func (x *session) run(ctx context.Context) {
	for {
		message, err := x.backend.Receive()
		if err != nil {
			return
		}
		if _, terminated := message.(*pgproto3.Terminate); terminated {
			return
		}
		if err := x.handle(ctx, message); err != nil {
			return
		}
	}
}

// handle handles one message. It returns an error only if the connection has
// failed or was closed.
func (x *session) handle(ctx context.Context, message pgproto3.FrontendMessage) error {
	_, isSync := message.(*pgproto3.Sync)
	if x.skipUntilSync && !isSync {
		return nil
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		x.runSimpleQuery(ctx, m.String)
		x.sendReadyForQuery()
		return x.backend.Flush()
	case *pgproto3.Sync:
		x.endBatch()
		x.sendReadyForQuery()
		return x.backend.Flush()
	case *pgproto3.Flush:
		return x.backend.Flush()
	}
	if err := x.handleExtended(ctx, message); err != nil {
		x.reportError(err)
		x.skipUntilSync = true
		return x.backend.Flush()
	}
	return ctx.Err()
}

func (x *session) handleExtended(ctx context.Context, message pgproto3.FrontendMessage) error {
	switch m := message.(type) {
	case *pgproto3.Parse:
		return x.parse(m)
	case *pgproto3.Bind:
		return x.bind(m)
	case *pgproto3.Describe:
		return x.describe(m)
	case *pgproto3.Execute:
		return x.execute(ctx, m)
	case *pgproto3.Close:
		x.closeObject(m)
		return nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return nil
	}
	return sql.Errorf(sql.FeatureNotSupported, "this message is not supported")
}

func (x *session) sendReadyForQuery() {
	status := byte('I')
	if t := x.transaction; t != nil && t.explicit {
		status = 'T'
		if t.failed {
			status = 'E'
		}
	}
	x.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// reportError sends an error to the client and fails the current transaction.
func (x *session) reportError(err error) {
	x.backend.Send(errorResponse(err, "ERROR"))
	if x.transaction == nil {
		return
	}
	if x.transaction.explicit {
		x.transaction.failed = true
		// A failed transaction can only be rolled back, so it needs its locks
		// no longer.
		x.transaction.end()
		return
	}
	x.rollback()
}

func errorResponse(err error, severity string) *pgproto3.ErrorResponse {
	reported := sql.Errorf(sql.InternalError, "%v", err)
	if !errors.As(err, &reported) && errors.Is(err, context.Canceled) {
		reported = sql.Errorf(sql.AdminShutdown, "terminating connection")
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity, Code: string(reported.Code), Message: reported.Message,
	}
}

// runSimpleQuery executes the statements of a simple query as one implicit
// transaction.
func (x *session) runSimpleQuery(ctx context.Context, text string) {
	statements, err := sql.Parse(text)
	if err != nil {
		x.reportError(err)
		return
	}
	if len(statements) == 0 {
		x.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, statement := range statements {
		last := i == len(statements)-1
		if err := x.runSimpleStatement(ctx, statement, last); err != nil {
			x.reportError(err)
			return
		}
	}
}

func (x *session) runSimpleStatement(ctx context.Context, statement sql.Statement, last bool) error {
	x.ensureTransaction()
	p, err := x.planStatement(statement, nil)
	if err != nil {
		return err
	}
	r, err := x.runStatement(ctx, statement, nil)
	if err != nil {
		return err
	}
	if last {
		// The implicit transaction commits before the last statement is
		// reported as complete.
		if err := x.endImplicit(); err != nil {
			return err
		}
	}
	if p.columns != nil {
		x.backend.Send(rowDescription(p.columns, nil))
		x.sendRows(r.rows, p.columns, nil)
	}
	x.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(r.tag)})
	return nil
}

// endBatch handles Sync, which ends a batch of the extended protocol.
func (x *session) endBatch() {
	x.skipUntilSync = false
	if err := x.endImplicit(); err != nil {
		x.reportError(err)
	}
}

// ensureTransaction starts an implicit transaction if there is no transaction.
func (x *session) ensureTransaction() {
	if x.transaction == nil {
		x.transaction = &transaction{
			server:   x.server,
			readOnly: x.settings[defaultReadOnly] == "on",
			settings: x.settings,
		}
	}
}

// endImplicit commits the current transaction if it is implicit.
func (x *session) endImplicit() error {
	if x.transaction == nil || x.transaction.explicit {
		return nil
	}
	return x.commit()
}

func (x *session) commit() error {
	t := x.transaction
	x.transaction = nil
	clear(x.portals)
	err := t.commit()
	if err != nil {
		x.settings = t.settings
	}
	return err
}

func (x *session) rollback() {
	if t := x.transaction; t != nil {
		x.transaction = nil
		clear(x.portals)
		x.settings = t.settings
		t.end()
	}
}

// planStatement returns the plan of a statement, given the object ids of the
// parameter types that the client declared.
func (x *session) planStatement(statement sql.Statement, declaredOIDs []uint32) (plan, error) {
	if err := x.checkNotFailed(statement); err != nil {
		return plan{}, err
	}
	types := make([]sql.Type, len(declaredOIDs))
	for i, oid := range declaredOIDs {
		types[i] = typeOfOID(oid)
	}
	x.server.mu.RLock()
	defer x.server.mu.RUnlock()
	return newPlan(statement, x.transaction, x.database, types)
}

// checkNotFailed returns an error if the transaction has failed and the
// statement does not end it.
func (x *session) checkNotFailed(statement sql.Statement) error {
	if x.transaction == nil || !x.transaction.failed {
		return nil
	}
	switch statement.(type) {
	case *sql.Commit, *sql.Rollback:
		return nil
	}
	return sql.Errorf(sql.FailedTransaction,
		"current transaction is aborted, commands ignored until end of transaction block")
}

// runStatement executes a statement. A cancel request interrupts it.
func (x *session) runStatement(ctx context.Context, statement sql.Statement, params row) (result, error) {
	if err := x.checkNotFailed(statement); err != nil {
		return result{}, err
	}
	x.server.count(statement.Kind())
	ctx = x.cancel.start(ctx)
	defer x.cancel.stop()
	switch s := statement.(type) {
	case *sql.Begin, *sql.Commit, *sql.Rollback, *sql.SetTransaction:
		return x.runTransactionControl(s)
	case *sql.Set, *sql.Show, *sql.Discard, *sql.Deallocate:
		return x.runSettingStatement(s)
	}
	if err := x.applyStatementDelay(ctx, statement); err != nil {
		return result{}, err
	}
	e := &execution{session: x, transaction: x.transaction, params: params}
	return e.run(ctx, statement)
}

// applyStatementDelay waits for the injected statement delay. Functions of the
// schema basilmill are exempt, because the platform provides them and they do
// not depend on the speed of the database.
func (x *session) applyStatementDelay(ctx context.Context, statement sql.Statement) error {
	if strings.HasPrefix(statement.Kind(), "basilmill.") {
		return nil
	}
	return sleep(ctx, x.server.Faults().StatementDelay)
}

// runTransactionControl executes BEGIN, SET TRANSACTION, COMMIT and ROLLBACK.
func (x *session) runTransactionControl(statement sql.Statement) (result, error) {
	switch s := statement.(type) {
	case *sql.Begin:
		x.transaction.explicit = true
		x.transaction.readOnly = x.transaction.readOnly || s.ReadOnly
		return result{tag: "BEGIN"}, nil
	case *sql.SetTransaction:
		if s.ReadOnly != nil {
			x.transaction.readOnly = *s.ReadOnly
		}
		return result{tag: "SET"}, nil
	case *sql.Commit:
		if x.transaction.failed {
			x.rollback()
			return result{tag: "ROLLBACK"}, nil
		}
		return result{tag: "COMMIT"}, x.commit()
	default:
		x.rollback()
		return result{tag: "ROLLBACK"}, nil
	}
}
