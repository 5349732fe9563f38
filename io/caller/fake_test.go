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

// world is a group of two fake servers with shared data, a host that routes
// to them, and a caller.Server, all in one synctest bubble.
type world struct {
	t       *testing.T
	mu      sync.Mutex
	rows    []string          // committed writes
	keys    map[string]string // committed request keys with their tags
	locks   map[string]chan struct{}
	log     []string // statements of all servers
	events  []caller.Event
	routed  []caller.Request
	local   *backendserver.LocalConnector
	server  *caller.Server
	ln      *listener
	verify  string
	term    string
	confirm func(context.Context, group.Position) error
	// fault is called before a statement and may return a behaviour.
	fault func(server, sql string) fault
}

type fault int

const (
	none           fault = iota
	dropBefore           // the connection is lost and the statement does not run
	dropAfter            // the statement runs and the connection is lost
	truncate             // a part of the answer is sent and the connection is lost
	refuseReadOnly       // 25006
	truncateLarge        // as truncate, after more than the caller's buffer
)

var addresses = map[string]netip.AddrPort{
	"primary": netip.MustParseAddrPort("127.0.0.1:1"),
	"replica": netip.MustParseAddrPort("127.0.0.1:2"),
}

// newWorld runs a test in a bubble.
func newWorld(t *testing.T, test func(*testing.T, *world)) {
	t.Helper()
	configuredWorld(t, caller.Config{}, test)
}

func configuredWorld(t *testing.T, config caller.Config, test func(*testing.T, *world)) {
	t.Helper()
	config.HostKey = 7
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, term: "1", keys: map[string]string{}, locks: map[string]chan struct{}{}}
		w.local = backendserver.NewLocalConnector(backendserver.LocalConnectorConfig{Limit: 4, Dialer: backendserver.Dialer{User: "b", DialFunc: w.dial}})
		w.server = caller.New(w, config)
		w.ln = &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.server.Serve(ctx, w.ln) }()
		defer func() {
			w.local.Drain()
			cancel()
			<-done
			synctest.Wait()
		}()
		test(t, w)
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

// connect returns a pgx client of the server.
func (w *world) connect() *pgx.Conn {
	w.t.Helper()
	config, err := pgx.ParseConfig("host=127.0.0.1 user=notary password=secret dbname=naamboek sslmode=disable")
	assert.NilError(w.t, err)
	config.DialFunc = w.ln.dial
	conn, err := pgx.ConnectConfig(w.t.Context(), config)
	assert.NilError(w.t, err)
	w.t.Cleanup(func() { _ = conn.Close(context.Background()) })
	return conn
}

func (w *world) Authenticate(_ context.Context, user, _ string) (caller.Identity, error) {
	if user == "unknown" {
		return caller.Identity{}, errors.New("no such account")
	}
	return caller.Identity{Account: "notary", Group: "g", Database: "naamboek", Verifier: w.verify}, nil
}

func (w *world) Route(_ context.Context, r caller.Request) (caller.Decision, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routed = append(w.routed, r)
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

func (w *world) Acquire(ctx context.Context, target backendserver.Target) (backendserver.Conversation, error) {
	return w.local.Acquire(ctx, target)
}

func (w *world) Confirm(ctx context.Context, _ group.ID, _ group.Generation, p group.Position, _ bool) error {
	if w.confirm != nil {
		return w.confirm(ctx, p)
	}
	return nil
}

func (w *world) MayRetry(account.ID) bool { return true }

func (w *world) Observe(event caller.Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.events = append(w.events, event)
}

// statements returns what the servers received since the last call.
func (w *world) statements() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := strings.Join(w.log, "; ")
	w.log = nil
	return all
}

func (w *world) committed() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Join(w.rows, " ")
}

// setFault replaces the fault function.
func (w *world) setFault(f func(server, sql string) fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fault = f
}

// meet returns the fault for a statement or a "dial".
func (w *world) meet(server, sql string) fault {
	w.mu.Lock()
	f := w.fault
	w.mu.Unlock()
	if f == nil {
		return none
	}
	return f(server, sql)
}

// addressed gives a pipe the address that cancel requests are sent to.
type addressed struct {
	net.Conn
	address netip.AddrPort
}

func (c addressed) RemoteAddr() net.Addr { return net.TCPAddrFromAddrPort(c.address) }

func (w *world) dial(_ context.Context, _, address string) (net.Conn, error) {
	client, server := net.Pipe()
	for name, a := range addresses {
		if a.String() != address {
			continue
		}
		if w.meet(name, "dial") == dropBefore {
			return nil, errDropped
		}
		go (&backend{world: w, name: name, wire: pgproto3.NewBackend(server, nonEmpty{server}), status: 'I'}).serve(server)
	}
	return addressed{client, netip.MustParseAddrPort(address)}, nil
}

// backend is one connection to a fake server. It knows INSERT, which adds its
// text to the rows, SELECT, which returns them, and the request key table.
type backend struct {
	*world
	name     string
	wire     *pgproto3.Backend
	status   byte
	rows     []string
	keys     map[string]string
	readOnly bool
	parsed   map[string]string
	bound    string
	skipping bool
}

// nonEmpty drops empty writes, for which net.Pipe would wait for a reader.
type nonEmpty struct{ net.Conn }

func (c nonEmpty) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	return c.Conn.Write(p)
}

var errDropped = errors.New("dropped")

func (b *backend) serve(conn net.Conn) {
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
	defer func() { b.end(false) }()
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

func (b *backend) handle(m pgproto3.FrontendMessage) (err error) {
	if _, isSync := m.(*pgproto3.Sync); b.skipping && !isSync {
		return nil
	}
	switch m := m.(type) {
	case *pgproto3.Query:
		for sql := range strings.SplitSeq(m.String, "; ") {
			err = errors.Join(err, b.run(sql, true))
		}
		if b.status == 'I' {
			b.end(true)
		}
		b.wire.Send(&pgproto3.ReadyForQuery{TxStatus: b.status})
	case *pgproto3.Parse:
		if m.Query == "BAD" {
			b.skipping = true
			return b.fail("42601")
		}
		b.parsed[m.Name] = m.Query
		b.wire.Send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		b.bound = b.parsed[m.PreparedStatement]
		b.wire.Send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		if _, known := b.parsed[m.Name]; m.ObjectType == 'S' && !known {
			b.skipping = true
			return b.fail("26000")
		}
		if m.ObjectType == 'S' {
			b.wire.Send(&pgproto3.ParameterDescription{})
			b.bound = b.parsed[m.Name]
		}
		b.describe(b.bound)
	case *pgproto3.Execute:
		err = b.run(b.bound, false)
	case *pgproto3.Close:
		b.wire.Send(&pgproto3.CloseComplete{})
	case *pgproto3.Sync:
		if b.status == 'I' {
			b.end(!b.skipping)
		}
		b.skipping = false
		b.wire.Send(&pgproto3.ReadyForQuery{TxStatus: b.status})
	}
	return err
}

func (b *backend) describe(sql string) {
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

func (b *backend) fail(code string) error {
	b.wire.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: "refused"})
	b.skipping = b.skipping || b.bound != ""
	if b.status == 'T' {
		b.status = 'E'
	}
	return nil
}

func (b *backend) run(sql string, simple bool) error {
	b.mu.Lock()
	b.log = append(b.log, b.name+": "+sql)
	b.mu.Unlock()
	f := b.meet(b.name, sql)
	if simple {
		b.bound = ""
	}
	if upper := strings.ToUpper(sql); upper == "BEGIN" || upper == "COMMIT" || upper == "ROLLBACK" {
		sql = upper
	}
	writes := strings.HasPrefix(sql, "INSERT") || strings.HasPrefix(sql, "UPDATE")
	switch {
	case f == dropBefore:
		return errDropped
	case b.status == 'E' && sql != "ROLLBACK" && sql != "COMMIT":
		return b.fail("25P02")
	case f == refuseReadOnly, writes && (b.name == "replica" || b.readOnly):
		return b.fail("25006")
	}
	err := b.apply(sql, simple, f)
	if err == nil && f == dropAfter {
		b.end(b.status == 'I')
		return errDropped
	}
	return err
}

func (b *backend) apply(sql string, simple bool, f fault) error {
	tag := strings.Fields(sql + " ?")[0]
	switch {
	case strings.HasPrefix(sql, "BEGIN"):
		b.status, b.readOnly = 'T', strings.HasSuffix(sql, "READ ONLY")
	case sql == "COMMIT" && b.status == 'E', sql == "ROLLBACK":
		b.end(false)
		tag = "ROLLBACK"
	case sql == "COMMIT":
		b.end(true)
	case strings.HasPrefix(sql, "INSERT INTO basilmill"):
		if !b.lock(strings.Split(sql, "'")[3]) {
			return b.fail("23505")
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
func (b *backend) copyIn() error {
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
			b.end(true)
			b.wire.Send(&pgproto3.CommandComplete{CommandTag: []byte("COPY 1")})
			return nil
		default:
			return b.fail("57014")
		}
	}
}

func (b *backend) query(sql string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	var values [][]byte
	switch {
	case strings.Contains(sql, "position()") && b.name == "replica":
		return 0
	case strings.Contains(sql, "position()"):
		values = [][]byte{[]byte(b.term), []byte("1"), fmt.Append(nil, len(b.world.rows))}
	case strings.Contains(sql, "basilmill"):
		tag, ok := b.world.keys[strings.Split(sql, "'")[3]]
		if !ok {
			return 0
		}
		values = [][]byte{[]byte(tag)}
	default:
		values = [][]byte{[]byte(strings.Join(append(b.world.rows[:len(b.world.rows):len(b.world.rows)], b.rows...), " "))}
	}
	b.wire.Send(&pgproto3.DataRow{Values: values})
	return 1
}

// lock claims a request key, waiting for another transaction that has it. It
// fails when the key is committed.
func (b *backend) lock(key string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.locks[key] != nil {
		held := b.locks[key]
		b.mu.Unlock()
		<-held
		b.mu.Lock()
	}
	if _, exists := b.world.keys[key]; exists {
		return false
	}
	b.locks[key] = make(chan struct{})
	b.keys = map[string]string{key: ""}
	return true
}

// end ends the transaction.
func (b *backend) end(commit bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, tag := range b.keys {
		if commit {
			b.world.keys[key] = tag
		}
		close(b.locks[key])
		delete(b.locks, key)
	}
	if commit {
		b.world.rows = append(b.world.rows, b.rows...)
	}
	b.keys, b.rows, b.status, b.readOnly = nil, nil, 'I', false
}

// once returns a fault for the first statement that contains the text.
func once(text string, f fault) func(server, sql string) fault {
	var done atomic.Bool
	return func(_, sql string) fault {
		if !strings.Contains(sql, text) || done.Swap(true) {
			return none
		}
		return f
	}
}

// assertError checks the code and that DETAIL starts with the outcome.
func assertError(t *testing.T, err error, code outcome.SQLState, o outcome.Outcome) {
	t.Helper()
	var pgErr *pgconn.PgError
	assert.Assert(t, errors.As(err, &pgErr), "%v", err)
	assert.Equal(t, pgErr.Code, string(code))
	assert.Assert(t, strings.HasPrefix(pgErr.Detail, o.String()), "detail %q", pgErr.Detail)
}

// never waits for the end of the context.
func never(ctx context.Context, _ group.Position) error {
	<-ctx.Done()
	return ctx.Err()
}

// after returns a confirmation that takes a time.
func after(d time.Duration) func(context.Context, group.Position) error {
	return func(context.Context, group.Position) error {
		time.Sleep(d)
		return nil
	}
}
