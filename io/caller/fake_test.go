package caller_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"basilmill/core/account"
	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/core/statement"
	"basilmill/io/backendserver"
	"basilmill/io/caller"
)

// testEnv is a group of two fake servers with shared data, a caller.Host that
// routes to them, and a caller.Server, all in one synctest bubble.
type testEnv struct {
	t              *testing.T
	mu             sync.Mutex
	rows           []string                 // committed writes
	keys           map[string]string        // committed request keys with their tags
	locks          map[string]chan struct{} // by request key, closed when its transaction ends
	log            []string                 // statements of all servers
	parsedNames    []string                 // names of statements prepared on all servers
	events         []caller.Event
	routedRequests []caller.Request
	local          *backendserver.LocalConnector
	server         *caller.Server
	ln             *listener
	verifier       string
	term           string
	confirm        func(context.Context, group.Position) error
	// fault, if set, is called before each statement and dial, and returns the
	// fault to inject.
	fault func(server, sql string) fault
}

type fault int

const (
	noFault        fault = iota
	dropBefore           // close the connection without running the statement
	dropAfter            // run the statement and close the connection
	truncate             // send part of the answer and close the connection
	refuseReadOnly       // reject the statement with 25006
	truncateLarge        // as truncate, with a part larger than the caller.Server's buffer
)

var addresses = map[string]netip.AddrPort{
	"primary": netip.MustParseAddrPort("127.0.0.1:1"),
	"replica": netip.MustParseAddrPort("127.0.0.1:2"),
}

// runInEnv runs a test with a testEnv in a synctest bubble.
func runInEnv(t *testing.T, test func(*testing.T, *testEnv)) {
	t.Helper()
	runInEnvWithConfig(t, caller.Config{}, test)
}

func runInEnvWithConfig(t *testing.T, config caller.Config, test func(*testing.T, *testEnv)) {
	t.Helper()
	config.HostKey = 7
	synctest.Test(t, func(t *testing.T) {
		e := &testEnv{t: t, term: "1", keys: map[string]string{}, locks: map[string]chan struct{}{}}
		e.local = backendserver.NewLocalConnector(backendserver.LocalConnectorConfig{Limit: 4, Dialer: backendserver.Dialer{User: "b", DialFunc: e.dial}})
		e.server = caller.New(e, config)
		e.ln = &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- e.server.Serve(ctx, e.ln) }()
		defer func() {
			e.local.Drain()
			cancel()
			<-done
			synctest.Wait()
		}()
		test(t, e)
	})
}

type listener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *listener) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// connect returns a pgx connection to the caller.Server.
func (e *testEnv) connect() *pgx.Conn {
	e.t.Helper()
	config, err := pgx.ParseConfig("host=127.0.0.1 user=notary password=secret dbname=naamboek sslmode=disable")
	assert.NilError(e.t, err)
	config.DialFunc = e.ln.dial
	conn, err := pgx.ConnectConfig(e.t.Context(), config)
	assert.NilError(e.t, err)
	e.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (e *testEnv) Authenticate(_ context.Context, user, _ string) (caller.Identity, error) {
	if user == "unknown" {
		return caller.Identity{}, errors.New("no such account")
	}
	return caller.Identity{Account: "notary", Group: "g", Database: "naamboek", Verifier: e.verifier}, nil
}

func (e *testEnv) Route(_ context.Context, r caller.Request) (caller.Decision, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.routedRequests = append(e.routedRequests, r)
	name := "primary"
	if r.Class == statement.Read && len(r.Excluded) == 0 {
		name = "replica"
	}
	return caller.Decision{
		Target:  backendserver.Target{Group: "g", Server: group.ServerID(name), Address: addresses[name], Database: r.Database, Account: r.Account},
		Term:    1,
		Primary: name == "primary",
	}, nil
}

func (e *testEnv) Acquire(ctx context.Context, target backendserver.Target) (backendserver.Conversation, error) {
	return e.local.Acquire(ctx, target)
}

func (e *testEnv) Confirm(ctx context.Context, _ group.ID, _ group.Generation, p group.Position, _ bool) error {
	if e.confirm != nil {
		return e.confirm(ctx, p)
	}
	return nil
}

func (e *testEnv) MayRetry(account.ID) bool { return true }

func (e *testEnv) Observe(event caller.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, event)
}

// statements returns the statements that the servers received since the last
// call.
func (e *testEnv) statements() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := strings.Join(e.log, "; ")
	e.log = nil
	return all
}

// committed returns the committed writes.
func (e *testEnv) committed() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return strings.Join(e.rows, " ")
}

// setFault replaces the fault function.
func (e *testEnv) setFault(f func(server, sql string) fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// faultFor returns the fault to inject for a statement, or for a dial if sql is
// "dial".
func (e *testEnv) faultFor(server, sql string) fault {
	e.mu.Lock()
	faultFunc := e.fault
	e.mu.Unlock()
	if faultFunc == nil {
		return noFault
	}
	return faultFunc(server, sql)
}

// addressedConn is a pipe with a remote address, to which cancel requests are
// sent.
type addressedConn struct {
	net.Conn
	address netip.AddrPort
}

func (c addressedConn) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.address) }

func (e *testEnv) dial(_ context.Context, _, address string) (net.Conn, error) {
	client, server := net.Pipe()
	for name, a := range addresses {
		if a.String() != address {
			continue
		}
		if e.faultFor(name, "dial") == dropBefore {
			return nil, errDropped
		}
		go (&fakeConnection{testEnv: e, name: name, wire: pgproto3.NewBackend(server, nonEmptyWrites{server}), status: 'I'}).serve(server)
	}
	return addressedConn{client, netip.MustParseAddrPort(address)}, nil
}

// fakeConnection is a fake server's side of one connection. It implements INSERT,
// which adds its text to the rows, SELECT, which returns the rows, COPY, and the
// request key table.
type fakeConnection struct {
	*testEnv
	name           string
	wire           *pgproto3.Backend
	status         byte
	rows           []string
	keys           map[string]string
	readOnly       bool
	parsed         map[string]string
	boundSQL       string
	skippingToSync bool
}

// nonEmptyWrites drops empty writes, because net.Pipe blocks them until a read.
type nonEmptyWrites struct{ net.Conn }

func (c nonEmptyWrites) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return c.Conn.Write(p)
}

var errDropped = errors.New("dropped")

func (c *fakeConnection) serve(conn net.Conn) {
	defer conn.Close()
	start, err := c.wire.ReceiveStartupMessage()
	if _, cancel := start.(*pgproto3.CancelRequest); cancel {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.log = append(c.log, c.name+": cancel")
		return
	}
	if err != nil {
		return
	}
	defer func() { c.endTransaction(false) }()
	c.parsed = map[string]string{}
	c.wire.Send(&pgproto3.AuthenticationOk{})
	c.wire.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte("abcd")})
	c.wire.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for c.wire.Flush() == nil {
		m, err := c.wire.Receive()
		if err != nil || c.handle(m) != nil {
			return
		}
	}
}

func (c *fakeConnection) handle(m pgproto3.FrontendMessage) (err error) {
	if _, isSync := m.(*pgproto3.Sync); c.skippingToSync && !isSync {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		for sql := range strings.SplitSeq(m.String, "; ") {
			err = errors.Join(err, c.run(sql, true))
		}
		if c.status == 'I' {
			c.endTransaction(true)
		}
		c.wire.Send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	case *pgproto3.Parse:
		if m.Query == "BAD" {
			c.skippingToSync = true
			return c.sendError("42601")
		}
		c.parsed[m.Name] = m.Query
		c.mu.Lock()
		c.parsedNames = append(c.parsedNames, m.Name)
		c.mu.Unlock()
		c.wire.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		c.boundSQL = c.parsed[m.PreparedStatement]
		c.wire.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if _, known := c.parsed[m.Name]; m.ObjectType == 'S' && !known {
			c.skippingToSync = true
			return c.sendError("26000")
		}
		if m.ObjectType == 'S' {
			c.wire.Send(&pgproto3.ParameterDescription{})
			c.boundSQL = c.parsed[m.Name]
		}
		c.describe(c.boundSQL)
	case *pgproto3.Execute:
		err = c.run(c.boundSQL, false)
	case *pgproto3.Close:
		c.wire.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		if c.status == 'I' {
			c.endTransaction(!c.skippingToSync)
		}
		c.skippingToSync = false
		c.wire.Send(&pgproto3.ReadyForQuery{TxStatus: c.status})
	}
	return err
}

func (c *fakeConnection) describe(sql string) {
	if !strings.HasPrefix(sql, "SELECT") {
		c.wire.Send(&pgproto3.NoData{})
		return
	}
	fields := make([]pgproto3.FieldDescription, 1+2*strings.Count(sql, "position()"))
	for i := range fields {
		fields[i] = pgproto3.FieldDescription{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1}
	}
	c.wire.Send(&pgproto3.RowDescription{Fields: fields})
}

func (c *fakeConnection) sendError(code string) error {
	c.wire.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "refused"})
	c.skippingToSync = c.skippingToSync || c.boundSQL != ""
	if c.status == 'T' {
		c.status = 'E'
	}
	return nil
}

func (c *fakeConnection) run(sql string, simple bool) error {
	c.mu.Lock()
	c.log = append(c.log, c.name+": "+sql)
	c.mu.Unlock()
	f := c.faultFor(c.name, sql)
	if simple {
		c.boundSQL = ""
	}
	if upper := strings.ToUpper(sql); upper == "BEGIN" || upper == "COMMIT" || upper == "ROLLBACK" {
		sql = upper
	}
	writes := strings.HasPrefix(sql, "INSERT") || strings.HasPrefix(sql, "UPDATE")
	switch {
	case f == dropBefore:
		return errDropped
	case c.status == 'E' && sql != "ROLLBACK" && sql != "COMMIT":
		return c.sendError("25P02")
	case f == refuseReadOnly, writes && (c.name == "replica" || c.readOnly):
		return c.sendError("25006")
	}
	err := c.apply(sql, simple, f)
	if err == nil && f == dropAfter {
		c.endTransaction(c.status == 'I')
		return errDropped
	}
	return err
}

func (c *fakeConnection) apply(sql string, simple bool, f fault) error {
	tag := strings.Fields(sql + " ?")[0]
	switch {
	case strings.HasPrefix(sql, "BEGIN"):
		c.status, c.readOnly = 'T', strings.HasSuffix(sql, "READ ONLY")
	case sql == "COMMIT" && c.status == 'E', sql == "ROLLBACK":
		c.endTransaction(false)
		tag = "ROLLBACK"
	case sql == "COMMIT":
		c.endTransaction(true)
	case strings.HasPrefix(sql, "INSERT INTO basilmill"):
		if !c.lockKey(strings.Split(sql, "'")[3]) {
			return c.sendError("23505")
		}
	case strings.HasPrefix(sql, "UPDATE basilmill"):
		part := strings.Split(sql, "'")
		c.keys[part[5]] = part[1]
	case strings.HasPrefix(sql, "INSERT"):
		c.rows = append(c.rows, sql)
		tag = "INSERT 0 1"
	case strings.HasPrefix(sql, "SELECT"):
		if simple {
			c.describe(sql)
		}
		tag = fmt.Sprintf("SELECT %d", c.query(sql))
		if f == truncateLarge {
			c.wire.Send(&pgproto3.DataRow{Values: [][]byte{make([]byte, 64<<10)}})
		}
		if f == truncate || f == truncateLarge {
			_ = c.wire.Flush()
			return errDropped
		}
	case strings.HasSuffix(sql, "FROM STDIN"):
		return c.copyIn()
	case strings.HasSuffix(sql, "TO STDOUT"):
		c.wire.Send(&pgproto3.CopyOutResponse{})
		c.wire.Send(&pgproto3.CopyData{Data: []byte(c.committed())})
		c.wire.Send(&pgproto3.CopyDone{})
		tag = "COPY 1"
	}
	c.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// copyIn adds the copied text to the rows.
func (c *fakeConnection) copyIn() error {
	c.wire.Send(&pgproto3.CopyInResponse{})
	if err := c.wire.Flush(); err != nil {
		return err
	}
	var data []byte
	for {
		m, err := c.wire.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			data = append(data, m.Data...)
		case *pgproto3.CopyDone:
			c.rows = append(c.rows, string(data))
			c.endTransaction(true)
			c.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY 1")})
			return nil
		default:
			return c.sendError("57014")
		}
	}
}

func (c *fakeConnection) query(sql string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	var values [][]byte
	switch {
	case strings.Contains(sql, "position()") && c.name == "replica":
		return 0
	case strings.Contains(sql, "position()"):
		values = [][]byte{[]byte(c.term), []byte("1"), fmt.Append(nil, len(c.testEnv.rows))}
	case strings.Contains(sql, "basilmill"):
		tags, ok := c.testEnv.keys[strings.Split(sql, "'")[3]]
		if !ok {
			return 0
		}
		values = [][]byte{[]byte(tags)}
	default:
		values = [][]byte{[]byte(strings.Join(append(c.testEnv.rows[:len(c.testEnv.rows):len(c.testEnv.rows)], c.rows...), " "))}
	}
	c.wire.Send(&pgproto3.DataRow{Values: values})
	return 1
}

// lockKey inserts a request key, waiting while another transaction has inserted
// it. It returns false if the key has been committed.
func (c *fakeConnection) lockKey(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.locks[key] != nil {
		claim := c.locks[key]
		c.mu.Unlock()
		<-claim
		c.mu.Lock()
	}
	if _, exists := c.testEnv.keys[key]; exists {
		return false
	}
	c.locks[key] = make(chan struct{})
	c.keys = map[string]string{key: ""}
	return true
}

// endTransaction commits or rolls back the transaction.
func (c *fakeConnection) endTransaction(commit bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, tag := range c.keys {
		if commit {
			c.testEnv.keys[key] = tag
		}
		close(c.locks[key])
		delete(c.locks, key)
	}
	if commit {
		c.testEnv.rows = append(c.testEnv.rows, c.rows...)
	}
	c.keys, c.rows, c.status, c.readOnly = nil, nil, 'I', false
}

// faultOnce returns a fault function that injects f at the first statement that
// contains the text.
func faultOnce(text string, f fault) func(server, sql string) fault {
	var done atomic.Bool
	return func(_, sql string) fault {
		if !strings.Contains(sql, text) || done.Swap(true) {
			return noFault
		}
		return f
	}
}

// assertError checks the error's code and that its DETAIL starts with the
// outcome.
func assertError(t *testing.T, err error, code outcome.SQLState, o outcome.Outcome) {
	t.Helper()
	var pgErr *pgconn.PgError
	assert.Assert(t, errors.As(err, &pgErr), "%v", err)
	assert.Equal(t, pgErr.Code, string(code))
	assert.Assert(t, strings.HasPrefix(pgErr.Detail, o.String()), "detail %q", pgErr.Detail)
}

// neverConfirm is a confirmation that does not arrive before ctx ends.
func neverConfirm(ctx context.Context, _ group.Position) error {
	<-ctx.Done()
	return ctx.Err()
}

// confirmAfter returns a confirmation that takes the duration d.
func confirmAfter(d time.Duration) func(context.Context, group.Position) error {
	return func(context.Context, group.Position) error {
		time.Sleep(d)
		return nil
	}
}
