package caller_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/base64"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
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

// rawClient is a caller that sends and receives single protocol messages.
type rawClient struct {
	*pgproto3.Frontend
	t    *testing.T
	conn net.Conn
}

// newRawClient connects and completes the start-up.
func (e *testEnv) newRawClient(parameters map[string]string) *rawClient {
	e.t.Helper()
	conn, err := e.ln.dial(e.t.Context(), "", "")
	assert.NilError(e.t, err)
	e.t.Cleanup(func() { _ = conn.Close() })
	r := &rawClient{Frontend: pgproto3.NewFrontend(conn, conn), t: e.t, conn: conn}
	start := &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "notary"}}
	for name, value := range parameters {
		start.Parameters[name] = value
	}
	r.exchange(start)
	return r
}

// exchange sends messages and returns the answer in short form, up to
// ReadyForQuery or the end of the connection.
func (r *rawClient) exchange(messages ...pgproto3.FrontendMessage) string {
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

// extendedQuery returns the messages that run sql by the extended protocol.
func extendedQuery(sql string) []pgproto3.FrontendMessage {
	return []pgproto3.FrontendMessage{&pgproto3.Parse{Query: sql}, &pgproto3.Bind{}, &pgproto3.Execute{}}
}

func simpleQuery(sql string) pgproto3.FrontendMessage { return &pgproto3.Query{String: sql} }

// Guards against a batch that commits although one of its messages was rejected,
// and against answers in the wrong order.
func TestExtendedProtocol(t *testing.T) {
	runInEnv(t, func(t *testing.T, e *testEnv) {
		r := e.newRawClient(nil)
		sync := &pgproto3.Sync{}
		bad := &pgproto3.Bind{PreparedStatement: "none"}
		assert.Equal(t, r.exchange(append(extendedQuery("INSERT a"), bad, &pgproto3.Execute{}, sync)...), "1 2 INSERT 0 1 26000 ZI")
		assert.Equal(t, e.committed(), "")
		assert.Equal(t, r.exchange(append(extendedQuery("SELECT 1"), &pgproto3.Close{ObjectType: 'P'}, sync)...), "1 2 D SELECT 1 3 ZI")
		assert.Equal(t, r.exchange(append(extendedQuery("SHOW basilmill.token"), sync)...), "1 2 D SHOW ZI")
		assert.Equal(t, r.exchange(append(extendedQuery("COPY t FROM STDIN"), sync)...), "0A000 ZI")
		assert.Equal(t, r.exchange(simpleQuery("SET basilmill.request_key = 'k'; INSERT b")), "0A000 ZI")
		assert.Equal(t, r.exchange(simpleQuery("SET basilmill.token = 'other/1/5'")), "22023 ZI")

		assert.Equal(t, r.exchange(&pgproto3.Parse{Name: "p", Query: "BAD"}, sync), "42601 ZI")
		assert.Equal(t, r.exchange(&pgproto3.Parse{Name: "p", Query: "SELECT 1"}, sync), "1 ZI")
		assert.Equal(t, r.exchange(&pgproto3.Parse{Name: "p", Query: "SELECT 1"}, sync), "42P05 ZI")

		// A batch with a flushed part, and one with an error before Sync.
		assert.Equal(t, r.exchange(append(extendedQuery("BEGIN"), sync)...), "1 2 BEGIN ZT")
		for _, m := range append(extendedQuery("INSERT c"), &pgproto3.Flush{}) {
			r.Send(m)
		}
		assert.Equal(t, r.exchange(append(append(extendedQuery("SELECT fails"), extendedQuery("INSERT d")...), sync)...),
			"1 2 INSERT 0 1 1 2 D SELECT 1 1 2 INSERT 0 1 ZT")
		assert.Equal(t, r.exchange(append(extendedQuery("COMMIT"), &pgproto3.Flush{}, sync)...), "0A000 ZE")
		assert.Equal(t, r.exchange(simpleQuery("ROLLBACK")), "ROLLBACK ZI")
		assert.Equal(t, r.exchange(simpleQuery("SELECT rows"), &pgproto3.FunctionCall{}), "D SELECT 1 ZI")
	})
}

// Guards against running the statement of another caller: a connection takes statements of
// the same name for the same one, so that a shortened digest, or a name beyond the 63 bytes
// that PostgreSQL compares, lets two statements share a name.
func TestPreparedNamesHoldTheWholeDigest(t *testing.T) {
	runInEnv(t, func(t *testing.T, e *testEnv) {
		r := e.newRawClient(nil)
		names := map[string]bool{}
		for i, m := range []*pgproto3.Parse{{Query: "SELECT 1"}, {Query: "SELECT 2"}, {Query: "SELECT 1", ParameterOIDs: []uint32{23}}} {
			m.Name = fmt.Sprint("p", i)
			assert.Equal(t, r.exchange(m, &pgproto3.Bind{PreparedStatement: m.Name}, &pgproto3.Execute{}, &pgproto3.Sync{}), "1 2 D SELECT 1 ZI")
		}
		for _, name := range e.parsedNames {
			digest, err := base64.RawURLEncoding.DecodeString(strings.TrimPrefix(name, "basilmill_"))
			assert.NilError(t, err, name)
			assert.Equal(t, len(digest), sha256.Size)
			assert.Assert(t, len(name) <= 63)
			names[name] = true
		}
		assert.Equal(t, len(names), 3)
	})
}

// Guards against COPY data that is lost or mixed with the next statement, and
// against a COPY that is acknowledged without confirmation.
func TestCopy(t *testing.T) {
	runInEnv(t, func(t *testing.T, e *testEnv) {
		r := e.newRawClient(nil)
		assert.Equal(t, r.exchange(simpleQuery("COPY t FROM STDIN")), "G")
		assert.Equal(t, r.exchange(&pgproto3.CopyData{Data: []byte("row")}, &pgproto3.CopyDone{}), "COPY 1 ZI")
		assert.Equal(t, e.committed(), "row")
		assert.Equal(t, r.exchange(simpleQuery("COPY t FROM STDIN")), "G")
		assert.Equal(t, r.exchange(&pgproto3.CopyData{Data: []byte("x")}, &pgproto3.CopyFail{}), "57014 ZI")
		assert.Equal(t, r.exchange(simpleQuery("COPY t TO STDOUT")), "COPY 1 ZI")
		e.confirm = neverConfirm
		assert.Equal(t, r.exchange(simpleQuery("COPY t FROM STDIN")), "G")
		assert.Equal(t, r.exchange(&pgproto3.CopyDone{}), "08007 ZI")
	})
}

// Guards against a read that is run again after part of its answer was sent to
// the caller. If its connection is lost then, the read must end in an error.
func TestTruncatedAnswer(t *testing.T) {
	runInEnv(t, func(t *testing.T, e *testEnv) {
		r := e.newRawClient(nil)
		e.setFault(faultOnce("SELECT", truncateLarge))
		assert.Equal(t, r.exchange(simpleQuery("SELECT rows")), "D D 08007 ZI")
		assert.Equal(t, r.exchange(simpleQuery("SELECT rows")), "D SELECT 1 ZI")
	})
}

// Guards against a write that fails during a planned change of primary although
// it can run again, and against a wrong error when it cannot.
func TestPlannedChange(t *testing.T) {
	runInEnv(t, func(t *testing.T, e *testEnv) {
		r := e.newRawClient(nil)
		e.setFault(faultOnce("INSERT", refuseReadOnly))
		assert.Equal(t, r.exchange(simpleQuery("INSERT a")), "INSERT 0 1 ZI")
		assert.Equal(t, r.exchange(simpleQuery("BEGIN")), "BEGIN ZT")
		e.setFault(faultOnce("INSERT", refuseReadOnly))
		assert.Equal(t, r.exchange(simpleQuery("INSERT b")), "INSERT 0 1 ZT", "nothing else had run in the transaction")
		e.setFault(faultOnce("INSERT", refuseReadOnly))
		assert.Equal(t, r.exchange(simpleQuery("INSERT b")), "40001 ZE")
		assert.Equal(t, r.exchange(simpleQuery("COMMIT")), "ROLLBACK ZI")
		e.setFault(faultOnce("INSERT INTO basilmill", refuseReadOnly))
		r.exchange(simpleQuery("SET basilmill.request_key = 'k'"))
		assert.Equal(t, r.exchange(simpleQuery("INSERT c")), "INSERT 0 1 ZI")
		assert.Equal(t, e.committed(), "INSERT a INSERT c")
	})
}

// Guards against start-up parameters that are ignored or affect other sessions,
// and against a request key that a pinned session ignores.
func TestStartupParameters(t *testing.T) {
	runInEnv(t, func(t *testing.T, e *testEnv) {
		r := e.newRawClient(map[string]string{"search_path": "town'archive", "TimeZone": "UTC"})
		r.exchange(simpleQuery("SET basilmill.request_key = 'k'"))
		assert.Equal(t, r.exchange(simpleQuery("INSERT a")), "INSERT 0 1 ZI")
		assert.Assert(t, strings.HasPrefix(e.statements(), `primary: SET "search_path" TO 'town''archive'; primary: BEGIN; primary: INSERT INTO basilmill`))
		r.exchange(simpleQuery("SET basilmill.request_key = 'k'"))
		assert.Equal(t, r.exchange(simpleQuery("INSERT a")), "INSERT 0 1 ZI")
		assert.Equal(t, e.committed(), "INSERT a")
		e.statements()
		assert.NilError(t, r.conn.Close())
		synctest.Wait()
		assert.Equal(t, e.statements(), "primary: DISCARD ALL")
	})
}

// Guards against a session that does not end, or ends without an error, when its
// caller exceeds a limit.
func TestLimits(t *testing.T) {
	config := caller.Config{
		MaxMessageSize: 1000, IdleTimeout: time.Minute, TransactionIdleTimeout: time.Second,
		WriteTimeout: time.Second, StartupTimeout: time.Second,
	}
	runInEnvWithConfig(t, config, func(t *testing.T, e *testEnv) {
		long := strings.Repeat("x", 2000)
		assert.Equal(t, e.newRawClient(nil).exchange(simpleQuery(long)), "54000 EOF")
		r := e.newRawClient(nil)
		batch := append(extendedQuery("SELECT "+long[:500]), extendedQuery("SELECT "+long[:499])...)
		assert.Equal(t, r.exchange(append(batch, &pgproto3.Sync{})...), "1 2 D SELECT 1 1 54000 ZI")
		assert.Equal(t, r.exchange(simpleQuery("BEGIN")), "BEGIN ZT")
		assert.Equal(t, r.exchange(), "25P03 EOF")
		assert.Equal(t, e.newRawClient(nil).exchange(), "57P01 EOF")

		// Callers that do not read and callers that send nothing are disconnected.
		r = e.newRawClient(nil)
		r.Send(simpleQuery("SELECT rows"))
		assert.NilError(t, r.Flush())
		silent, err := e.ln.dial(t.Context(), "", "")
		assert.NilError(t, err)
		time.Sleep(2 * time.Second)
		for _, conn := range []net.Conn{r.conn, silent} {
			assert.ErrorIs(t, conn.SetWriteDeadline(time.Time{}), io.ErrClosedPipe)
		}
	})
}

// Guards against a server that accepts plain text where TLS is required, and
// against connections that fail with TLS.
func TestTLS(t *testing.T) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(100 * 365 * 24 * time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	certificate := tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}
	config := caller.Config{RequireTLS: true, TLS: &tls.Config{Certificates: []tls.Certificate{certificate}}}
	runInEnvWithConfig(t, config, func(t *testing.T, e *testEnv) {
		for mode, works := range map[string]bool{"disable": false, "require": true} {
			config, err := pgx.ParseConfig("host=127.0.0.1 user=notary sslmode=" + mode)
			assert.NilError(t, err)
			config.DialFunc = e.ln.dial
			conn, err := pgx.ConnectConfig(t.Context(), config)
			assert.Equal(t, err == nil, works, "%v", err)
			if works {
				assert.NilError(t, exec(conn, "INSERT a"))
				_ = conn.Close(t.Context())
			}
		}
	})
}

// unavailableHost is a caller.Host that cannot route any request.
type unavailableHost struct{}

func (unavailableHost) Authenticate(context.Context, string, string) (caller.Identity, error) {
	return caller.Identity{}, nil
}

func (unavailableHost) Route(context.Context, caller.Request) (caller.Decision, error) {
	return caller.Decision{}, outcome.Unavailable("no primary", nil)
}

func (unavailableHost) Acquire(context.Context, backendserver.Target) (backendserver.Conversation, error) {
	return nil, outcome.Unavailable("no primary", nil)
}

func (unavailableHost) Confirm(context.Context, group.ID, group.Generation, group.Position, bool) error {
	return nil
}

func (unavailableHost) MayRetry(account.ID) bool { return true }

func (unavailableHost) Observe(caller.Event) {}

// Guards against a panic or a session that does not end on arbitrary input.
func FuzzSession(f *testing.F) {
	start, err := (&pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "u"}}).Encode(nil)
	assert.NilError(f, err)
	for _, messages := range [][]pgproto3.FrontendMessage{
		{simpleQuery("SET basilmill.request_key = 'k'"), simpleQuery("BEGIN"), simpleQuery("INSERT")},
		append(extendedQuery("SHOW basilmill.token"), &pgproto3.Describe{ObjectType: 'P'}, &pgproto3.Flush{}, &pgproto3.Sync{}),
		append(extendedQuery("COMMIT"), &pgproto3.Close{ObjectType: 'S'}, &pgproto3.CopyDone{}, &pgproto3.Sync{}, &pgproto3.Terminate{}),
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
		server := caller.New(unavailableHost{}, caller.Config{MaxMessageSize: 1 << 16})
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

// Guards against connections that never identify themselves and keep others from being
// accepted, and against closing sessions for them.
func TestOldestConnectionWithoutASessionIsClosed(t *testing.T) {
	runInEnvWithConfig(t, caller.Config{MaxStarting: 2}, func(t *testing.T, e *testEnv) {
		conn := e.connect()
		defer func() { _ = conn.Close(t.Context()) }()
		var silent []net.Conn
		for range 3 {
			c, err := e.ln.dial(t.Context(), "", "")
			assert.NilError(t, err)
			silent = append(silent, c)
			time.Sleep(time.Second)
		}
		before := time.Now()
		_, err := silent[0].Read(make([]byte, 1))
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, time.Since(before), time.Duration(0), "closed after the time of a start-up")
		for _, c := range silent[1:] {
			assert.NilError(t, c.SetReadDeadline(time.Now()))
			_, err := c.Read(make([]byte, 1))
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
		}
		_, err = conn.Exec(t.Context(), "SELECT 1")
		assert.NilError(t, err)
	})
}
