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

// errCanceled ends a statement after a cancel request.
var errCanceled error = sql.Errorf(sql.QueryCanceled, "canceling statement due to user request")

// serve handles one connection: a client, a feed or a cancel request.
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
		if m.Parameters[feedParameter] == feedValue {
			s.serveReplica(c, group.ServerID(m.Parameters[idParameter]))
			return
		}
		s.serveClient(c, backend, m)
	}
}

// track registers a connection so that cuts and the end of the server reach
// it.
func (s *Server) track(c *connection) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections[c] = struct{}{}
	return s.running.Err() == nil
}

func (s *Server) untrack(c *connection) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.connections, c)
	_ = c.Close()
}

// identify records the other end of a connection, to which cuts now apply.
func (s *Server) identify(c *connection, p peer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.peer = p
	s.applyCut(c)
}

// receiveStartup returns the start-up message or a cancel request. Requests
// for encryption are declined.
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
	s.identify(c, replica{id})
	if err := c.wait(); err != nil {
		return
	}
	err := s.serveFeed(c.ctx, c, id)
	s.logger.Debug("feed closed", "replica", id, "error", eris.ToString(err, false))
}

// cancelStatement cancels what a session executes.
func (s *Server) cancelStatement(request *pgproto3.CancelRequest) {
	s.mu.RLock()
	target := s.sessions[request.ProcessID]
	s.mu.RUnlock()
	if target != nil && subtle.ConstantTimeCompare(target.secret, request.SecretKey) == 1 {
		target.cancelStatement()
	}
}

// session is one client connection.
type session struct {
	server   *Server
	conn     *connection
	backend  *pgproto3.Backend
	id       uint32
	secret   []byte
	database string
	// defaults and settings are replaced and never changed.
	defaults map[string]string
	settings map[string]string

	transaction *transaction
	statements  map[string]*prepared
	portals     map[string]*portal
	// skipping tells that messages are dropped until the next Sync.
	skipping bool

	cancel statementCancel
}

func (s *Server) serveClient(c *connection, backend *pgproto3.Backend, startup *pgproto3.StartupMessage) {
	parameters := maps.Clone(startup.Parameters)
	s.identify(c, client{parameters["application_name"]})
	x, err := s.openSession(c, backend, parameters)
	if x != nil {
		defer s.closeSession(x)
	}
	if err == nil {
		err = x.start(c.ctx, parameters)
	}
	if err != nil {
		backend.Send(errorResponse(err, "FATAL"))
		_ = backend.Flush()
		return
	}
	x.run(c.ctx)
	x.rollback()
}

// openSession admits a connection within the connection limit.
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
	s.lastSession++
	x := &session{
		server: s, conn: c, backend: backend, id: s.lastSession, secret: make([]byte, 4),
		database:   parameters["database"],
		statements: map[string]*prepared{},
		portals:    map[string]*portal{},
	}
	if x.database == "" {
		x.database = parameters["user"]
	}
	if _, err := rand.Read(x.secret); err != nil {
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

// start authenticates the client and completes the start-up.
func (x *session) start(ctx context.Context, parameters map[string]string) error {
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
	x.backend.Send(&pgproto3.BackendKeyData{ProcessID: x.id, SecretKey: x.secret})
	x.ready()
	x.server.mu.Lock()
	x.server.counters.Opened++
	x.server.mu.Unlock()
	return x.backend.Flush()
}

// run handles messages until the connection ends.
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

// handle handles one message. It returns an error when the connection failed.
func (x *session) handle(ctx context.Context, message pgproto3.FrontendMessage) error {
	_, isSync := message.(*pgproto3.Sync)
	if x.skipping && !isSync {
		return nil
	}
	switch m := message.(type) {
	case *pgproto3.Query:
		x.query(ctx, m.String)
		x.ready()
		return x.backend.Flush()
	case *pgproto3.Sync:
		x.sync()
		x.ready()
		return x.backend.Flush()
	case *pgproto3.Flush:
		return x.backend.Flush()
	}
	if err := x.extended(ctx, message); err != nil {
		x.fail(err)
		x.skipping = true
		return x.backend.Flush()
	}
	return ctx.Err()
}

func (x *session) extended(ctx context.Context, message pgproto3.FrontendMessage) error {
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

func (x *session) ready() {
	status := byte('I')
	if t := x.transaction; t != nil && t.explicit {
		status = 'T'
		if t.failed {
			status = 'E'
		}
	}
	x.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
}

// fail reports an error and fails the current transaction.
func (x *session) fail(err error) {
	x.backend.Send(errorResponse(err, "ERROR"))
	if x.transaction == nil {
		return
	}
	if x.transaction.explicit {
		x.transaction.failed = true
		// A failed transaction can only be rolled back: its locks are free.
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

// query executes the statements of a simple query as one implicit
// transaction.
func (x *session) query(ctx context.Context, text string) {
	statements, err := sql.Parse(text)
	if err != nil {
		x.fail(err)
		return
	}
	if len(statements) == 0 {
		x.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, statement := range statements {
		last := i == len(statements)-1
		if err := x.simpleStatement(ctx, statement, last); err != nil {
			x.fail(err)
			return
		}
	}
}

func (x *session) simpleStatement(ctx context.Context, statement sql.Statement, last bool) error {
	x.begin()
	p, err := x.plan(statement, nil)
	if err != nil {
		return err
	}
	r, err := x.runStatement(ctx, statement, nil)
	if err != nil {
		return err
	}
	if last {
		// The implicit transaction ends before its last statement completes.
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

// sync ends a batch of the extended protocol.
func (x *session) sync() {
	x.skipping = false
	if err := x.endImplicit(); err != nil {
		x.fail(err)
	}
}

// begin starts an implicit transaction if there is none.
func (x *session) begin() {
	if x.transaction == nil {
		x.transaction = &transaction{
			server:   x.server,
			readOnly: x.settings[defaultReadOnly] == "on",
			settings: x.settings,
		}
	}
}

// endImplicit commits the implicit transaction if there is one.
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

// plan describes a statement, with the object ids that the client declared.
func (x *session) plan(statement sql.Statement, declared []uint32) (plan, error) {
	if err := x.checkFailed(statement); err != nil {
		return plan{}, err
	}
	types := make([]sql.Type, len(declared))
	for i, oid := range declared {
		types[i] = typeOf(oid)
	}
	x.server.mu.RLock()
	defer x.server.mu.RUnlock()
	return newPlan(statement, x.transaction, x.database, types)
}

// checkFailed refuses all but the end of a failed transaction.
func (x *session) checkFailed(statement sql.Statement) error {
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

// runStatement executes a statement; a cancel request interrupts it.
func (x *session) runStatement(ctx context.Context, statement sql.Statement, params row) (result, error) {
	if err := x.checkFailed(statement); err != nil {
		return result{}, err
	}
	x.server.count(statement.Kind())
	ctx = x.cancel.start(ctx)
	defer x.cancel.stop()
	switch s := statement.(type) {
	case *sql.Begin, *sql.Commit, *sql.Rollback, *sql.SetTransaction:
		return x.control(s)
	case *sql.Set, *sql.Show, *sql.Discard, *sql.Deallocate:
		return x.setting(s)
	}
	if err := x.delay(ctx, statement); err != nil {
		return result{}, err
	}
	e := &execution{session: x, transaction: x.transaction, params: params}
	return e.run(ctx, statement)
}

// delay waits for the statement delay. Functions of the schema basilmill are
// exempt: the platform provides them outside the database's own work.
func (x *session) delay(ctx context.Context, statement sql.Statement) error {
	if strings.HasPrefix(statement.Kind(), "basilmill.") {
		return nil
	}
	return sleep(ctx, x.server.Faults().StatementDelay)
}

// control executes the statements that begin and end transactions.
func (x *session) control(statement sql.Statement) (result, error) {
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
