package caller_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/core/statement"
)

func exec(conn *pgx.Conn, sql string) error {
	_, err := conn.Exec(context.Background(), sql)
	return err
}

func readRows(t *testing.T, conn *pgx.Conn, options ...any) string {
	t.Helper()
	var all string
	assert.NilError(t, conn.QueryRow(t.Context(), "SELECT rows", options...).Scan(&all))
	return all
}

// Guards against a client library whose statements fail in one of its query
// modes. The client authenticates with a password.
func TestClient(t *testing.T) {
	runInEnv(t, func(t *testing.T, e *testEnv) {
		e.verifier = verifier(t, "secret")
		conn := e.connect()
		for _, mode := range []pgx.QueryExecMode{
			pgx.QueryExecModeCacheStatement, pgx.QueryExecModeDescribeExec,
			pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
		} {
			before := e.committed()
			tag, err := conn.Exec(t.Context(), "INSERT "+mode.String(), mode)
			assert.NilError(t, err)
			assert.Equal(t, tag.String(), "INSERT 0 1")
			assert.Equal(t, strings.TrimSpace(before+" INSERT "+mode.String()), readRows(t, conn, mode))
			token := conn.PgConn().ParameterStatus("basilmill.token")
			assert.Equal(t, token, fmt.Sprintf("g/1/%d", strings.Count(e.committed(), "INSERT")))
		}
		e.statements()
		batch := &pgx.Batch{}
		batch.Queue("INSERT a")
		batch.Queue("SELECT rows")
		assert.NilError(t, conn.SendBatch(t.Context(), batch).Close())
		assert.Equal(t, e.statements(), "primary: INSERT a; primary: SELECT rows; primary: SELECT * FROM basilmill.position()")

		tx, err := conn.Begin(t.Context())
		assert.NilError(t, err)
		_, err = tx.Exec(t.Context(), "INSERT b")
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(e.committed(), "INSERT b"))
		assert.NilError(t, tx.Commit(t.Context()))
		assert.Assert(t, strings.Contains(e.committed(), "INSERT b"))
		assert.Equal(t, e.statements(), "primary: begin; primary: INSERT b; primary: commit; primary: SELECT * FROM basilmill.position()")
	})
}

func verifier(t *testing.T, password string) string {
	t.Helper()
	client, err := scram.SHA256.NewClient("", password, "")
	assert.NilError(t, err)
	c, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(make([]byte, sha256.Size)), Iters: 4096})
	assert.NilError(t, err)
	encode := base64.StdEncoding.EncodeToString
	return fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", c.Iters, encode([]byte(c.Salt)), encode(c.StoredKey), encode(c.ServerKey))
}

// Guards against a wrong password that is accepted, and against an answer that
// reveals whether a user exists.
func TestWrongPassword(t *testing.T) {
	runInEnv(t, func(t *testing.T, e *testEnv) {
		e.verifier = verifier(t, "other")
		for _, user := range []string{"notary", "unknown"} {
			e.assertLoginFails(t, user)
		}
	})
}

func (e *testEnv) assertLoginFails(t *testing.T, user string) {
	t.Helper()
	config, err := pgconn.ParseConfig("host=127.0.0.1 password=secret sslmode=disable user=" + user)
	assert.NilError(t, err)
	config.DialFunc = e.ln.dial
	var trace bytes.Buffer
	config.BuildFrontend = func(r io.Reader, w io.Writer) *pgproto3.Frontend {
		f := pgproto3.NewFrontend(r, w)
		f.Trace(&trace, pgproto3.TracerOptions{SuppressTimestamps: true})
		return f
	}
	_, err = pgconn.ConnectConfig(t.Context(), config)
	assertError(t, err, "28P01", outcome.NotRun)
	assert.Equal(t, strings.Count(trace.String(), "AuthenticationSASLContinue"), 1, trace.String())
}

// Guards against a write that is acknowledged before it is confirmed, and
// against an unconfirmed write that is not reported as outcome unknown.
func TestConfirmation(t *testing.T) {
	runInEnv(t, func(t *testing.T, e *testEnv) {
		conn := e.connect()
		e.confirm = confirmAfter(time.Second)
		started := time.Now()
		err := exec(conn, "INSERT a")
		assert.NilError(t, err)
		assert.Equal(t, time.Since(started), time.Second)

		e.confirm = neverConfirm
		err = exec(conn, "INSERT b")
		assertError(t, err, outcome.TransactionResolutionUnknown, outcome.Unknown)
		err = exec(conn, "begin")
		assert.NilError(t, err)
		err = exec(conn, "INSERT c")
		assert.NilError(t, err)
		err = exec(conn, "commit")
		assertError(t, err, outcome.TransactionResolutionUnknown, outcome.Unknown)
		several := simpleQuery("BEGIN; INSERT d; COMMIT; SELECT rows")
		assert.Equal(t, e.newRawClient(nil).exchange(several), "BEGIN INSERT 0 1 08007 ZI")

		e.confirm, e.term = nil, "2"
		assertError(t, exec(conn, "INSERT e"), outcome.TransactionResolutionUnknown, outcome.Unknown)
		_ = readRows(t, conn)
		assert.Equal(t, e.routedRequests[len(e.routedRequests)-1].Floor, group.Position{Term: 1, Offset: 1})
	})
}

// Guards against a wrong outcome after a lost connection, and against a write
// that is sent again.
func TestLostConnection(t *testing.T) {
	cases := []struct {
		name       string
		fault      fault
		faultAt    string   // text of the statement at which the fault is injected
		statements []string // all but the last must succeed
		code       outcome.SQLState
		outcome    outcome.Outcome
		committed  string
	}{
		{"write lost before it ran", dropBefore, "INSERT", []string{"INSERT a"}, outcome.TransactionResolutionUnknown, outcome.Unknown, ""},
		{"write lost after it ran", dropAfter, "INSERT", []string{"INSERT a"}, outcome.TransactionResolutionUnknown, outcome.Unknown, "INSERT a"},
		{"position query", dropBefore, "position", []string{"INSERT a"}, outcome.TransactionResolutionUnknown, outcome.Unknown, "INSERT a"},
		{"in transaction", dropBefore, "INSERT b", []string{"BEGIN", "INSERT a", "INSERT b"}, outcome.SerializationFailure, outcome.NotRun, ""},
		{"first in transaction", dropAfter, "INSERT a", []string{"BEGIN", "INSERT a", "COMMIT"}, "", outcome.Done, "INSERT a"},
		{"at commit", dropAfter, "COMMIT", []string{"BEGIN", "INSERT a", "COMMIT"}, outcome.TransactionResolutionUnknown, outcome.Unknown, "INSERT a"},
		{"truncated read", truncate, "SELECT rows", []string{"SELECT rows"}, "", outcome.Done, ""},
		{"read lost before it ran", dropBefore, "SELECT rows", []string{"SELECT rows"}, "", outcome.Done, ""},
		{"begin", dropBefore, "BEGIN", []string{"BEGIN"}, "", outcome.Done, ""},
	}
	for _, c := range cases {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
			t.Run(c.name+" "+mode.String(), func(t *testing.T) {
				runInEnv(t, func(t *testing.T, e *testEnv) {
					conn := e.connect()
					e.setFault(faultOnce(c.faultAt, c.fault))
					var err error
					for _, sql := range c.statements {
						assert.NilError(t, err)
						_, err = conn.Exec(t.Context(), sql, mode)
					}
					if c.code == "" {
						assert.NilError(t, err)
						assert.Equal(t, e.committed(), c.committed)
						return
					}
					assertError(t, err, c.code, c.outcome)
					synctest.Wait()
					assert.Equal(t, e.committed(), c.committed)
					if c.code == outcome.SerializationFailure {
						_, err = conn.Exec(t.Context(), "INSERT c", mode)
						assertError(t, err, "25P02", outcome.NotRun)
						tag, err := conn.Exec(t.Context(), "COMMIT", mode)
						assert.NilError(t, err)
						assert.Equal(t, tag.String(), "ROLLBACK")
					}
					_, err = conn.Exec(t.Context(), "INSERT d", mode)
					assert.NilError(t, err, "the session did not continue")
				})
			})
		}
	}
}

// Guards against a write, classified as a read, that fails on a replica or is
// sent to the replica again. It must be sent to the primary.
func TestReadOnlyServerReroutes(t *testing.T) {
	runInEnv(t, func(t *testing.T, e *testEnv) {
		conn := e.connect()
		e.setFault(func(server, sql string) fault {
			if server == "replica" && sql == "SELECT order_book()" {
				return refuseReadOnly
			}
			return noFault
		})
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol} {
			e.statements()
			_, err := conn.Exec(t.Context(), "SELECT order_book()", mode)
			assert.NilError(t, err)
			assert.Equal(t, e.routedRequests[len(e.routedRequests)-1].Class, statement.Write)
			assert.Assert(t, strings.HasSuffix(e.statements(), "primary: SELECT order_book(); primary: SELECT * FROM basilmill.position()"))
		}
	})
}

// Guards against a request that fails or is sent to the same server again when
// that server is unreachable, and against a wrong error code while the host
// drains.
func TestUnreachableServer(t *testing.T) {
	runInEnv(t, func(t *testing.T, e *testEnv) {
		conn := e.connect()
		e.setFault(func(server, sql string) fault {
			if sql == "dial" && server == "replica" {
				return dropBefore
			}
			return noFault
		})
		_ = readRows(t, conn)
		assert.DeepEqual(t, e.routedRequests[len(e.routedRequests)-1].Excluded, []group.ServerID{"replica"})
		assert.NilError(t, exec(conn, "INSERT a"))
		e.local.Drain()
		assertError(t, exec(conn, "INSERT b"), outcome.CannotConnectNow, outcome.NotRun)
		assert.Equal(t, e.committed(), "INSERT a")
	})
}

// Guards against a write with a request key that takes effect twice: when it is
// repeated, concurrent, run again after an unknown outcome, or a transaction.
func TestRequestKey(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
		runInEnv(t, func(t *testing.T, e *testEnv) {
			conn, other := e.connect(), e.connect()
			keyed := func(conn *pgx.Conn, key string, statements ...string) (tags []string) {
				for _, sql := range append([]string{"SET basilmill.request_key = '" + key + "'"}, statements...) {
					tag, err := conn.Exec(t.Context(), sql, mode)
					assert.NilError(t, err)
					tags = append(tags, tag.String())
				}
				return tags[1:]
			}
			assert.DeepEqual(t, keyed(conn, "k", "INSERT a"), []string{"INSERT 0 1"})
			assert.DeepEqual(t, keyed(other, "k", "INSERT a"), []string{"INSERT 0 1"})
			assert.Equal(t, e.committed(), "INSERT a")

			var both [][]string
			results := make(chan []string)
			for _, c := range []*pgx.Conn{conn, other} {
				go func() { results <- keyed(c, "same time", "INSERT b") }()
			}
			both = append(both, <-results, <-results)
			assert.DeepEqual(t, both, [][]string{{"INSERT 0 1"}, {"INSERT 0 1"}})
			assert.Equal(t, e.committed(), "INSERT a INSERT b")

			e.setFault(faultOnce("COMMIT", dropAfter))
			assert.DeepEqual(t, keyed(conn, "unknown", "INSERT c"), []string{"INSERT 0 1"})
			e.setFault(faultOnce("INSERT d", dropAfter))
			assert.DeepEqual(t, keyed(conn, "rolled back", "INSERT d"), []string{"INSERT 0 1"})
			assert.Equal(t, e.committed(), "INSERT a INSERT b INSERT c INSERT d")

			transaction := []string{"BEGIN", "INSERT e", "SELECT rows", "UPDATE f", "COMMIT"}
			want := []string{"BEGIN", "INSERT 0 1", "SELECT 1", "UPDATE", "COMMIT"}
			assert.DeepEqual(t, keyed(conn, "t", transaction...), want)
			assert.DeepEqual(t, keyed(other, "t", transaction...), want)
			assert.Equal(t, e.committed(), "INSERT a INSERT b INSERT c INSERT d INSERT e")
		})
	}
}

// Guards against a cancel request that affects another session, because its key
// is wrong or because it takes effect late on a connection that is in use again.
func TestCancel(t *testing.T) {
	runInEnv(t, func(t *testing.T, e *testEnv) {
		conn := e.connect()
		release := make(chan struct{})
		e.setFault(func(_, sql string) fault {
			if sql == "SELECT slow" {
				<-release
			}
			return noFault
		})
		done := make(chan error, 1)
		go func() { done <- exec(conn, "SELECT slow") }()
		synctest.Wait()
		assert.Equal(t, conn.PgConn().PID()>>16, uint32(7))
		e.server.Cancel(t.Context(), conn.PgConn().PID(), []byte("none"))
		synctest.Wait()
		assert.Equal(t, e.statements(), "replica: SELECT slow")
		opened := e.local.Stats("g", "replica").Opened
		assert.NilError(t, conn.PgConn().CancelRequest(t.Context()))
		synctest.Wait()
		assert.Equal(t, e.statements(), "replica: cancel")
		close(release)
		assert.NilError(t, <-done)
		_ = readRows(t, e.connect())
		assert.Equal(t, e.local.Stats("g", "replica").Opened, opened+1, "the cancelled connection was reused")
	})
}

// Guards against a shutdown that interrupts a transaction, leaves an idle session
// open, or does not end.
func TestShutdown(t *testing.T) {
	runInEnv(t, func(t *testing.T, e *testEnv) {
		idle, busy := e.connect(), e.connect()
		err := exec(busy, "BEGIN")
		assert.NilError(t, err)
		done := make(chan error, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		go func() { done <- e.server.Shutdown(ctx) }()
		synctest.Wait()
		assertError(t, idle.PgConn().WaitForNotification(t.Context()), outcome.AdminShutdown, outcome.NotRun)
		err = exec(busy, "INSERT a")
		assert.NilError(t, err)
		err = exec(busy, "COMMIT")
		assert.NilError(t, err)
		assertError(t, busy.PgConn().WaitForNotification(t.Context()), outcome.AdminShutdown, outcome.NotRun)
		assert.NilError(t, <-done)
		assert.Equal(t, e.committed(), "INSERT a")
	})
}

// Guards against session state that another session sees, and against session
// state that is lost while the session is open.
func TestPinnedSession(t *testing.T) {
	runInEnv(t, func(t *testing.T, e *testEnv) {
		conn := e.connect()
		err := exec(conn, "SET timezone = 'UTC'")
		assert.NilError(t, err)
		e.statements()
		_ = readRows(t, conn, pgx.QueryExecModeExec)
		assert.Equal(t, e.statements(), "primary: SELECT rows")
		err = exec(conn, "DISCARD ALL")
		assert.NilError(t, err)
		_ = readRows(t, conn, pgx.QueryExecModeExec)
		assert.Equal(t, e.statements(), "primary: DISCARD ALL; replica: SELECT rows")

		err = exec(conn, "LISTEN c")
		assert.NilError(t, err)
		e.setFault(faultOnce("SELECT", dropBefore))
		err = exec(conn, "SELECT rows")
		assert.Assert(t, err != nil && conn.IsClosed(), "the session continued without its state")
	})
}
