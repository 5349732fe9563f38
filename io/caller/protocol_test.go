package caller_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"basilmill/core/account"
	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/io/backendserver"
	"basilmill/io/caller"
)

// raw is a caller at the level of messages.
type raw struct {
	*pgproto3.Frontend
	t    *testing.T
	conn net.Conn
}

func (w *world) raw(parameters map[string]string) *raw {
	w.t.Helper()
	conn, err := w.ln.dial(w.t.Context(), "", "")
	assert.NilError(w.t, err)
	w.t.Cleanup(func() { _ = conn.Close() })
	r := &raw{Frontend: pgproto3.NewFrontend(conn, conn), t: w.t, conn: conn}
	start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "notary"}}
	for name, value := range parameters {
		start.Parameters[name] = value
	}
	r.exchange(start)
	return r
}

// exchange sends messages and returns the answer up to ReadyForQuery, or the
// end of the connection, in short form.
func (r *raw) exchange(messages ...pgproto3.FrontendMessage) string {
	r.t.Helper()
	for _, m := range messages {
		r.Send(m)
	}
	assert.NilError(r.t, r.Flush())
	var answer []string
	for {
		m, err := r.Receive()
		if err != nil {
			return strings.Join(append(answer, "EOF"), " ")
		}
		switch m := m.(type) {
		case *pgproto3.ReadyForQuery:
			return strings.Join(append(answer, "Z"+string(m.TxStatus)), " ")
		case *pgproto3.CommandComplete:
			answer = append(answer, string(m.CommandTag))
		case *pgproto3.ErrorResponse:
			answer = append(answer, m.Code)
		case *pgproto3.CopyInResponse:
			return strings.Join(append(answer, "G"), " ")
		case *pgproto3.DataRow:
			answer = append(answer, "D")
		case *pgproto3.ParseComplete:
			answer = append(answer, "1")
		case *pgproto3.BindComplete:
			answer = append(answer, "2")
		case *pgproto3.CloseComplete:
			answer = append(answer, "3")
		}
	}
}

func execute(sql string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{}}
}

func simple(sql string) pgproto3.FrontendMessage { return &pgproto3.Query{String: sql} }

// Guards against a batch that commits although one of its messages was
// refused, and against answers in the wrong place.
func TestExtendedProtocol(t *testing.T) {
	newWorld(t, func(t *testing.T, w *world) {
		r := w.raw(nil)
		sync := &pgproto3.Sync{}
		bad := &pgproto3.Bind{PreparedStatement: "none"}
		assert.Equal(t, r.exchange(append(execute("INSERT a"), bad, &pgproto3.Execute{}, sync)...), "1 2 INSERT 0 1 26000 ZI")
		assert.Equal(t, w.committed(), "")
		assert.Equal(t, r.exchange(append(execute("SELECT 1"), &pgproto3.Close{ObjectType: 'P'}, sync)...), "1 2 D SELECT 1 3 ZI")
		assert.Equal(t, r.exchange(append(execute("SHOW basilmill.token"), sync)...), "1 2 D SHOW ZI")
		assert.Equal(t, r.exchange(append(execute("COPY t FROM STDIN"), sync)...), "0A000 ZI")
		assert.Equal(t, r.exchange(simple("SET basilmill.request_key = 'k'; INSERT b")), "0A000 ZI")
		assert.Equal(t, r.exchange(simple("SET basilmill.token = 'other/1/5'")), "22023 ZI")

		assert.Equal(t, r.exchange(&pgproto3.Parse{Name: "p", Query: "BAD"}, sync), "42601 ZI")
		assert.Equal(t, r.exchange(&pgproto3.Parse{Name: "p", Query: "SELECT 1"}, sync), "1 ZI")
		assert.Equal(t, r.exchange(&pgproto3.Parse{Name: "p", Query: "SELECT 1"}, sync), "42P05 ZI")

		// A flushed part, an error, and what is skipped until Sync.
		assert.Equal(t, r.exchange(append(execute("BEGIN"), sync)...), "1 2 BEGIN ZT")
		for _, m := range append(execute("INSERT c"), &pgproto3.Flush{}) {
			r.Send(m)
		}
		assert.Equal(t, r.exchange(append(append(execute("SELECT fails"), execute("INSERT d")...), sync)...),
			"1 2 INSERT 0 1 1 2 D SELECT 1 1 2 INSERT 0 1 ZT")
		assert.Equal(t, r.exchange(append(execute("COMMIT"), &pgproto3.Flush{}, sync)...), "0A000 ZE")
		assert.Equal(t, r.exchange(simple("ROLLBACK")), "ROLLBACK ZI")
		assert.Equal(t, r.exchange(simple("SELECT rows"), &pgproto3.FunctionCall{}), "D SELECT 1 ZI")
	})
}

// Guards against COPY data that is lost, or that a following statement is
// mixed with, and a COPY that is acknowledged without confirmation.
func TestCopy(t *testing.T) {
	newWorld(t, func(t *testing.T, w *world) {
		r := w.raw(nil)
		assert.Equal(t, r.exchange(simple("COPY t FROM STDIN")), "G")
		assert.Equal(t, r.exchange(&pgproto3.CopyData{Data: []byte("row")}, &pgproto3.CopyDone{}), "COPY 1 ZI")
		assert.Equal(t, w.committed(), "row")
		assert.Equal(t, r.exchange(simple("COPY t FROM STDIN")), "G")
		assert.Equal(t, r.exchange(&pgproto3.CopyData{Data: []byte("x")}, &pgproto3.CopyFail{}), "57014 ZI")
		assert.Equal(t, r.exchange(simple("COPY t TO STDOUT")), "COPY 1 ZI")
		w.confirm = never
		assert.Equal(t, r.exchange(simple("COPY t FROM STDIN")), "G")
		assert.Equal(t, r.exchange(&pgproto3.CopyDone{}), "08007 ZI")
	})
}

// Guards against a read whose answer was cut short after a part was passed on:
// it must end in an error, and must not start again.
func TestTruncatedAnswer(t *testing.T) {
	newWorld(t, func(t *testing.T, w *world) {
		r := w.raw(nil)
		w.setFault(once("SELECT", truncateLarge))
		assert.Equal(t, r.exchange(simple("SELECT rows")), "D D 08007 ZI")
		assert.Equal(t, r.exchange(simple("SELECT rows")), "D SELECT 1 ZI")
	})
}

// Guards against a failed write during a planned change of primary, and
// against a write that is reported as failed when it can run again.
func TestPlannedChange(t *testing.T) {
	newWorld(t, func(t *testing.T, w *world) {
		r := w.raw(nil)
		w.setFault(once("INSERT", refuseReadOnly))
		assert.Equal(t, r.exchange(simple("INSERT a")), "INSERT 0 1 ZI")
		assert.Equal(t, r.exchange(simple("BEGIN")), "BEGIN ZT")
		w.setFault(once("INSERT", refuseReadOnly))
		assert.Equal(t, r.exchange(simple("INSERT b")), "INSERT 0 1 ZT", "a transaction in which nothing had run")
		w.setFault(once("INSERT", refuseReadOnly))
		assert.Equal(t, r.exchange(simple("INSERT b")), "40001 ZE")
		assert.Equal(t, r.exchange(simple("COMMIT")), "ROLLBACK ZI")
		w.setFault(once("INSERT INTO basilmill", refuseReadOnly))
		r.exchange(simple("SET basilmill.request_key = 'k'"))
		assert.Equal(t, r.exchange(simple("INSERT c")), "INSERT 0 1 ZI")
		assert.Equal(t, w.committed(), "INSERT a INSERT c")
	})
}

// Guards against start-up parameters that are ignored or that leak into other
// sessions, and a request key that a session with state of its own ignores.
func TestStartupParameters(t *testing.T) {
	newWorld(t, func(t *testing.T, w *world) {
		r := w.raw(map[string]string{"search_path": "town'archive", "TimeZone": "UTC"})
		r.exchange(simple("SET basilmill.request_key = 'k'"))
		assert.Equal(t, r.exchange(simple("INSERT a")), "INSERT 0 1 ZI")
		assert.Assert(t, strings.HasPrefix(w.statements(), `primary: SET "search_path" TO 'town''archive'; primary: BEGIN; primary: INSERT INTO basilmill`))
		r.exchange(simple("SET basilmill.request_key = 'k'"))
		assert.Equal(t, r.exchange(simple("INSERT a")), "INSERT 0 1 ZI")
		assert.Equal(t, w.committed(), "INSERT a")
		w.statements()
		assert.NilError(t, r.conn.Close())
		synctest.Wait()
		assert.Equal(t, w.statements(), "primary: DISCARD ALL")
	})
}

// Guards against a session that is ended without a reason, or not at all,
// when its caller exceeds a limit.
func TestLimits(t *testing.T) {
	config := caller.Config{
		MaxMessageSize: 1000, IdleTimeout: time.Minute, TransactionIdleTimeout: time.Second,
		WriteTimeout: time.Second, StartupTimeout: time.Second,
	}
	configuredWorld(t, config, func(t *testing.T, w *world) {
		long := strings.Repeat("x", 2000)
		assert.Equal(t, w.raw(nil).exchange(simple(long)), "54000 EOF")
		r := w.raw(nil)
		batch := append(execute("SELECT "+long[:500]), execute("SELECT "+long[:499])...)
		assert.Equal(t, r.exchange(append(batch, &pgproto3.Sync{})...), "1 2 D SELECT 1 1 54000 ZI")
		assert.Equal(t, r.exchange(simple("BEGIN")), "BEGIN ZT")
		assert.Equal(t, r.exchange(), "25P03 EOF")
		assert.Equal(t, w.raw(nil).exchange(), "57P01 EOF")

		// Neither a caller that does not read nor one that sends nothing is kept.
		r = w.raw(nil)
		r.Send(simple("SELECT rows"))
		assert.NilError(t, r.Flush())
		silent, err := w.ln.dial(t.Context(), "", "")
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		for _, conn := range []net.Conn{r.conn, silent} {
			assert.ErrorIs(t, conn.SetWriteDeadline(time.Time{}), io.ErrClosedPipe)
		}
	})
}

// Guards against a server that accepts plain text where TLS is required, and
// against TLS that does not work.
func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(100 * 365 * 24 * time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	config := caller.Config{RequireTLS: true, TLS: &tls.Config{Certificates: []tls.Certificate{certificate}}}
	configuredWorld(t, config, func(t *testing.T, w *world) {
		for mode, works := range map[string]bool{"disable": false, "require": true} {
			config, err := pgx.ParseConfig("host=127.0.0.1 user=notary sslmode=" + mode)
			assert.NilError(t, err)
			config.DialFunc = w.ln.dial
			conn, err := pgx.ConnectConfig(t.Context(), config)
			assert.Equal(t, err == nil, works, "%v", err)
			if works {
				assert.NilError(t, exec(conn, "INSERT a"))
				_ = conn.Close(t.Context())
			}
		}
	})
}

// refusing is a host that refuses every request without a server.
type refusing struct{}

func (refusing) Authenticate(context.Context, string, string) (caller.Identity, error) {
	return caller.Identity{}, nil
}

func (refusing) Route(context.Context, caller.Request) (caller.Decision, error) {
	return caller.Decision{}, outcome.NoPrimary("no primary", nil)
}

func (refusing) Acquire(context.Context, backendserver.Target) (backendserver.Conversation, error) {
	return nil, outcome.NoPrimary("no primary", nil)
}

func (refusing) Confirm(context.Context, group.ID, group.Generation, group.Position, bool) error {
	return nil
}

func (refusing) MayRetry(account.ID) bool { return true }

func (refusing) Observe(caller.Event) {}

// Guards against a panic, or a session that does not end, on hostile bytes.
func FuzzSession(f *testing.F) {
	start, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}}).Encode(nil)
	assert.NilError(f, err)
	for _, messages := range [][]pgproto3.FrontendMessage{
		{simple("SET basilmill.request_key = 'k'"), simple("BEGIN"), simple("INSERT")},
		append(execute("SHOW basilmill.token"), &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Flush{}, &pgproto3.Sync{}),
		append(execute("COMMIT"), &pgproto3.Close{ObjectType: 'S'}, &pgproto3.CopyDone{}, &pgproto3.Sync{}, &pgproto3.Terminate{}),
	} {
		encoded := bytes.Clone(start)
		for _, m := range messages {
			encoded, err = m.Encode(encoded)
			assert.NilError(f, err)
		}
		f.Add(encoded)
	}
	f.Add([]byte{0, 0, 0, 8, 4, 210, 22, 47, 0, 0, 0, 8, 4, 210, 22, 48})
	f.Fuzz(func(t *testing.T, data []byte) {
		server := caller.New(refusing{}, caller.Config{MaxMessageSize: 1 << 16})
		l := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
		done := make(chan error, 1)
		go func() { done <- server.Serve(t.Context(), l) }()
		conn, err := l.dial(t.Context(), "", "")
		assert.NilError(t, err)
		go func() {
			_, _ = conn.Write(data)
			_ = conn.Close()
		}()
		_, _ = new(bytes.Buffer).ReadFrom(conn)
		assert.NilError(t, server.Shutdown(t.Context()))
		assert.NilError(t, <-done)
	})
}
