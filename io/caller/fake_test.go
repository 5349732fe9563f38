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
	rows           []string          // committed writes
	keys           map[string]string // committed request keys with their tags
	locks          map[string]chan struct{}
	log            []string // statements of all servers
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

func (b *fakeConnection) serve(conn net.Conn) {
	defer conn.Close()
	start, err := b.wire.ReceiveStartupMessage()
	if _, cancel := start.(*pgproto3.CancelRequest); cancel {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.log = append(b.log, b.name+": cancel")
		return
	}
	if err != nil {
		return
	}
	defer func() { b.endTransaction(false) }()
	b.parsed = map[string]string{}
	b.wire.Send(&pgproto3.AuthenticationOk{})
	b.wire.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte("abcd")})
	b.wire.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	for b.wire.Flush() == nil {
		m, err := b.wire.Receive()
		if err != nil || b.handle(m) != nil {
			return
		}
	}
}

func (b *fakeConnection) handle(m pgproto3.FrontendMessage) (err error) {
	if _, isSync := m.(*pgproto3.Sync); b.skippingToSync && !isSync {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		for sql := range strings.SplitSeq(m.String, "; ") {
			err = errors.Join(err, b.run(sql, true))
		}
		if b.status == 'I' {
			b.endTransaction(true)
		}
		b.wire.Send(&pgproto3.ReadyForQuery{TxStatus: b.status})
	case *pgproto3.Parse:
		if m.Query == "BAD" {
			b.skippingToSync = true
			return b.sendError("42601")
		}
		b.parsed[m.Name] = m.Query
		b.wire.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		b.boundSQL = b.parsed[m.PreparedStatement]
		b.wire.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if _, known := b.parsed[m.Name]; m.ObjectType == 'S' && !known {
			b.skippingToSync = true
			return b.sendError("26000")
		}
		if m.ObjectType == 'S' {
			b.wire.Send(&pgproto3.ParameterDescription{})
			b.boundSQL = b.parsed[m.Name]
		}
		b.describe(b.boundSQL)
	case *pgproto3.Execute:
		err = b.run(b.boundSQL, false)
	case *pgproto3.Close:
		b.wire.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		if b.status == 'I' {
			b.endTransaction(!b.skippingToSync)
		}
		b.skippingToSync = false
		b.wire.Send(&pgproto3.ReadyForQuery{TxStatus: b.status})
	}
	return err
}

func (b *fakeConnection) describe(sql string) {
	if !strings.HasPrefix(sql, "SELECT") {
		b.wire.Send(&pgproto3.NoData{})
		return
	}
	fields := make([]pgproto3.FieldDescription, 1+2*strings.Count(sql, "position()"))
	for i := range fields {
		fields[i] = pgproto3.FieldDescription{Name: []byte("v"), DataTypeOID: 25, DataTypeSize: -1}
	}
	b.wire.Send(&pgproto3.RowDescription{Fields: fields})
}

func (b *fakeConnection) sendError(code string) error {
	b.wire.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "refused"})
	b.skippingToSync = b.skippingToSync || b.boundSQL != ""
	if b.status == 'T' {
		b.status = 'E'
	}
	return nil
}

func (b *fakeConnection) run(sql string, simple bool) error {
	b.mu.Lock()
	b.log = append(b.log, b.name+": "+sql)
	b.mu.Unlock()
	f := b.faultFor(b.name, sql)
	if simple {
		b.boundSQL = ""
	}
	if upper := strings.ToUpper(sql); upper == "BEGIN" || upper == "COMMIT" || upper == "ROLLBACK" {
		sql = upper
	}
	writes := strings.HasPrefix(sql, "INSERT") || strings.HasPrefix(sql, "UPDATE")
	switch {
	case f == dropBefore:
		return errDropped
	case b.status == 'E' && sql != "ROLLBACK" && sql != "COMMIT":
		return b.sendError("25P02")
	case f == refuseReadOnly, writes && (b.name == "replica" || b.readOnly):
		return b.sendError("25006")
	}
	err := b.apply(sql, simple, f)
	if err == nil && f == dropAfter {
		b.endTransaction(b.status == 'I')
		return errDropped
	}
	return err
}

func (b *fakeConnection) apply(sql string, simple bool, f fault) error {
	tag := strings.Fields(sql + " ?")[0]
	switch {
	case strings.HasPrefix(sql, "BEGIN"):
		b.status, b.readOnly = 'T', strings.HasSuffix(sql, "READ ONLY")
	case sql == "COMMIT" && b.status == 'E', sql == "ROLLBACK":
		b.endTransaction(false)
		tag = "ROLLBACK"
	case sql == "COMMIT":
		b.endTransaction(true)
	case strings.HasPrefix(sql, "INSERT INTO basilmill"):
		if !b.lockKey(strings.Split(sql, "'")[3]) {
			return b.sendError("23505")
		}
	case strings.HasPrefix(sql, "UPDATE basilmill"):
		part := strings.Split(sql, "'")
		b.keys[part[5]] = part[1]
	case strings.HasPrefix(sql, "INSERT"):
		b.rows = append(b.rows, sql)
		tag = "INSERT 0 1"
	case strings.HasPrefix(sql, "SELECT"):
		if simple {
			b.describe(sql)
		}
		tag = fmt.Sprintf("SELECT %d", b.query(sql))
		if f == truncateLarge {
			b.wire.Send(&pgproto3.DataRow{Values: [][]byte{make([]byte, 64<<10)}})
		}
		if f == truncate || f == truncateLarge {
			_ = b.wire.Flush()
			return errDropped
		}
	case strings.HasSuffix(sql, "FROM STDIN"):
		return b.copyIn()
	case strings.HasSuffix(sql, "TO STDOUT"):
		b.wire.Send(&pgproto3.CopyOutResponse{})
		b.wire.Send(&pgproto3.CopyData{Data: []byte(b.committed())})
		b.wire.Send(&pgproto3.CopyDone{})
		tag = "COPY 1"
	}
	b.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte(tag)})
	return nil
}

// copyIn adds the copied text to the rows.
func (b *fakeConnection) copyIn() error {
	b.wire.Send(&pgproto3.CopyInResponse{})
	if err := b.wire.Flush(); err != nil {
		return err
	}
	var data []byte
	for {
		m, err := b.wire.Receive()
		if err != nil {
			return err
		}
		switch m := m.(type) {
		case *pgproto3.CopyData:
			data = append(data, m.Data...)
		case *pgproto3.CopyDone:
			b.rows = append(b.rows, string(data))
			b.endTransaction(true)
			b.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY 1")})
			return nil
		default:
			return b.sendError("57014")
		}
	}
}

func (b *fakeConnection) query(sql string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var values [][]byte
	switch {
	case strings.Contains(sql, "position()") && b.name == "replica":
		return 0
	case strings.Contains(sql, "position()"):
		values = [][]byte{[]byte(b.term), []byte("1"), fmt.Append(nil, len(b.testEnv.rows))}
	case strings.Contains(sql, "basilmill"):
		tags, ok := b.testEnv.keys[strings.Split(sql, "'")[3]]
		if !ok {
			return 0
		}
		values = [][]byte{[]byte(tags)}
	default:
		values = [][]byte{[]byte(strings.Join(append(b.testEnv.rows[:len(b.testEnv.rows):len(b.testEnv.rows)], b.rows...), " "))}
	}
	b.wire.Send(&pgproto3.DataRow{Values: values})
	return 1
}

// lockKey inserts a request key, waiting while another transaction has inserted
// it. It returns false if the key has been committed.
func (b *fakeConnection) lockKey(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.locks[key] != nil {
		claim := b.locks[key]
		b.mu.Unlock()
		<-claim
		b.mu.Lock()
	}
	if _, exists := b.testEnv.keys[key]; exists {
		return false
	}
	b.locks[key] = make(chan struct{})
	b.keys = map[string]string{key: ""}
	return true
}

// endTransaction commits or rolls back the transaction.
func (b *fakeConnection) endTransaction(commit bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, tag := range b.keys {
		if commit {
			b.testEnv.keys[key] = tag
		}
		close(b.locks[key])
		delete(b.locks, key)
	}
	if commit {
		b.testEnv.rows = append(b.testEnv.rows, b.rows...)
	}
	b.keys, b.rows, b.status, b.readOnly = nil, nil, 'I', false
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
