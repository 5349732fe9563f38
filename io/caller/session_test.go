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

func rows(t *testing.T, conn *pgx.Conn, options ...any) string {
	t.Helper()
	var all string
	assert.NilError(t, conn.QueryRow(t.Context(), "SELECT rows", options...).Scan(&all))
	return all
}

// Guards against a client whose statements do not work in one of the
// protocol's forms, with password authentication.
func TestClient(t *testing.T) {
	newWorld(t, func(t *testing.T, w *world) {
		w.verify = verifier(t, "secret")
		conn := w.connect()
		for _, mode := range []pgx.QueryExecMode{
			pgx.QueryExecModeCacheStatement, pgx.QueryExecModeDescribeExec,
			pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol,
		} {
			before := w.committed()
			tag, err := conn.Exec(t.Context(), "INSERT "+mode.String(), mode)
			assert.NilError(t, err)
			assert.Equal(t, tag.String(), "INSERT 0 1")
			assert.Equal(t, strings.TrimSpace(before+" INSERT "+mode.String()), rows(t, conn, mode))
			token := conn.PgConn().ParameterStatus("basilmill.token")
			assert.Equal(t, token, fmt.Sprintf("g/1/%d", strings.Count(w.committed(), "INSERT")))
		}
		w.statements()
		batch := &pgx.Batch{}
		batch.Queue("INSERT a")
		batch.Queue("SELECT rows")
		assert.NilError(t, conn.SendBatch(t.Context(), batch).Close())
		assert.Equal(t, w.statements(), "primary: INSERT a; primary: SELECT rows; primary: SELECT * FROM basilmill.position()")

		tx, err := conn.Begin(t.Context())
		assert.NilError(t, err)
		_, err = tx.Exec(t.Context(), "INSERT b")
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(w.committed(), "INSERT b"))
		assert.NilError(t, tx.Commit(t.Context()))
		assert.Assert(t, strings.Contains(w.committed(), "INSERT b"))
		assert.Equal(t, w.statements(), "primary: begin; primary: INSERT b; primary: commit; primary: SELECT * FROM basilmill.position()")
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
// tells whether a user exists.
func TestWrongPassword(t *testing.T) {
	newWorld(t, func(t *testing.T, w *world) {
		w.verify = verifier(t, "other")
		for _, user := range []string{"notary", "unknown"} {
			w.login(t, user)
		}
	})
}

func (w *world) login(t *testing.T, user string) {
	t.Helper()
	config, err := pgconn.ParseConfig("host=127.0.0.1 password=secret sslmode=disable user=" + user)
	assert.NilError(t, err)
	config.DialFunc = w.ln.dial
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

// Guards against a write that is acknowledged before it is confirmed, or
// reported as done or not run when its confirmation never comes.
func TestConfirmation(t *testing.T) {
	newWorld(t, func(t *testing.T, w *world) {
		conn := w.connect()
		w.confirm = after(time.Second)
		begun := time.Now()
		err := exec(conn, "INSERT a")
		assert.NilError(t, err)
		assert.Equal(t, time.Since(begun), time.Second)

		w.confirm = never
		err = exec(conn, "INSERT b")
		assertError(t, err, outcome.TransactionResolutionUnknown, outcome.Unknown)
		err = exec(conn, "begin")
		assert.NilError(t, err)
		err = exec(conn, "INSERT c")
		assert.NilError(t, err)
		err = exec(conn, "commit")
		assertError(t, err, outcome.TransactionResolutionUnknown, outcome.Unknown)
		several := simple("BEGIN; INSERT d; COMMIT; SELECT rows")
		assert.Equal(t, w.raw(nil).exchange(several), "BEGIN INSERT 0 1 08007 ZI")

		w.confirm, w.term = nil, "2"
		assertError(t, exec(conn, "INSERT e"), outcome.TransactionResolutionUnknown, outcome.Unknown)
		_ = rows(t, conn)
		assert.Equal(t, w.routed[len(w.routed)-1].Floor, group.Position{Term: 1, Offset: 1})
	})
}

// Guards against each wrong report of a lost connection, and against a write
// that is sent again.
func TestLostConnection(t *testing.T) {
	cases := []struct {
		name  string
		fault fault
		at    string
		run   []string // the last statement meets the fault
		code  outcome.SQLState
		o     outcome.Outcome
		rows  string
	}{
		{"write before", dropBefore, "INSERT", []string{"INSERT a"}, outcome.TransactionResolutionUnknown, outcome.Unknown, ""},
		{"write after", dropAfter, "INSERT", []string{"INSERT a"}, outcome.TransactionResolutionUnknown, outcome.Unknown, "INSERT a"},
		{"position", dropBefore, "position", []string{"INSERT a"}, outcome.TransactionResolutionUnknown, outcome.Unknown, "INSERT a"},
		{"in transaction", dropBefore, "INSERT b", []string{"BEGIN", "INSERT a", "INSERT b"}, outcome.SerializationFailure, outcome.NotRun, ""},
		{"first in transaction", dropAfter, "INSERT a", []string{"BEGIN", "INSERT a", "COMMIT"}, "", outcome.Done, "INSERT a"},
		{"at commit", dropAfter, "COMMIT", []string{"BEGIN", "INSERT a", "COMMIT"}, outcome.TransactionResolutionUnknown, outcome.Unknown, "INSERT a"},
		{"truncated read", truncate, "SELECT rows", []string{"SELECT rows"}, "", outcome.Done, ""},
		{"read before", dropBefore, "SELECT rows", []string{"SELECT rows"}, "", outcome.Done, ""},
		{"begin", dropBefore, "BEGIN", []string{"BEGIN"}, "", outcome.Done, ""},
	}
	for _, c := range cases {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
			t.Run(c.name+" "+mode.String(), func(t *testing.T) {
				newWorld(t, func(t *testing.T, w *world) {
					conn := w.connect()
					w.setFault(once(c.at, c.fault))
					var err error
					for _, sql := range c.run {
						assert.NilError(t, err)
						_, err = conn.Exec(t.Context(), sql, mode)
					}
					if c.code == "" {
						assert.NilError(t, err)
						assert.Equal(t, w.committed(), c.rows)
						return
					}
					assertError(t, err, c.code, c.o)
					synctest.Wait()
					assert.Equal(t, w.committed(), c.rows)
					if c.code == outcome.SerializationFailure {
						_, err = conn.Exec(t.Context(), "INSERT c", mode)
						assertError(t, err, "25P02", outcome.NotRun)
						tag, err := conn.Exec(t.Context(), "COMMIT", mode)
						assert.NilError(t, err)
						assert.Equal(t, tag.String(), "ROLLBACK")
					}
					_, err = conn.Exec(t.Context(), "INSERT d", mode)
					assert.NilError(t, err, "the session did not go on")
				})
			})
		}
	}
}

// Guards against a wrongly classed statement that fails, and against one that
// is sent to the replica again.
func TestReadOnlyServerReroutes(t *testing.T) {
	newWorld(t, func(t *testing.T, w *world) {
		conn := w.connect()
		w.setFault(func(server, sql string) fault {
			if server == "replica" && sql == "SELECT order_book()" {
				return refuseReadOnly
			}
			return none
		})
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol} {
			w.statements()
			_, err := conn.Exec(t.Context(), "SELECT order_book()", mode)
			assert.NilError(t, err)
			assert.Equal(t, w.routed[len(w.routed)-1].Class, statement.Write)
			assert.Assert(t, strings.HasSuffix(w.statements(), "primary: SELECT order_book(); primary: SELECT * FROM basilmill.position()"))
		}
	})
}

// Guards against a request that fails, or that goes to the same server again,
// when its server cannot be reached, and against a wrong code for a refusal.
func TestUnreachableServer(t *testing.T) {
	newWorld(t, func(t *testing.T, w *world) {
		conn := w.connect()
		w.setFault(func(server, sql string) fault {
			if sql == "dial" && server == "replica" {
				return dropBefore
			}
			return none
		})
		_ = rows(t, conn)
		assert.DeepEqual(t, w.routed[len(w.routed)-1].Excluded, []group.ServerID{"replica"})
		assert.NilError(t, exec(conn, "INSERT a"))
		w.local.Drain()
		assertError(t, exec(conn, "INSERT b"), outcome.CannotConnectNow, outcome.NotRun)
		assert.Equal(t, w.committed(), "INSERT a")
	})
}

// Guards against a keyed write that runs twice: repeated, concurrent, after an
// unknown outcome, and as a transaction.
func TestRequestKey(t *testing.T) {
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeExec} {
		newWorld(t, func(t *testing.T, w *world) {
			conn, other := w.connect(), w.connect()
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
			assert.Equal(t, w.committed(), "INSERT a")

			var both [][]string
			results := make(chan []string)
			for _, c := range []*pgx.Conn{conn, other} {
				go func() { results <- keyed(c, "same time", "INSERT b") }()
			}
			both = append(both, <-results, <-results)
			assert.DeepEqual(t, both, [][]string{{"INSERT 0 1"}, {"INSERT 0 1"}})
			assert.Equal(t, w.committed(), "INSERT a INSERT b")

			w.setFault(once("COMMIT", dropAfter))
			assert.DeepEqual(t, keyed(conn, "unknown", "INSERT c"), []string{"INSERT 0 1"})
			w.setFault(once("INSERT d", dropAfter))
			assert.DeepEqual(t, keyed(conn, "rolled back", "INSERT d"), []string{"INSERT 0 1"})
			assert.Equal(t, w.committed(), "INSERT a INSERT b INSERT c INSERT d")

			transaction := []string{"BEGIN", "INSERT e", "SELECT rows", "UPDATE f", "COMMIT"}
			want := []string{"BEGIN", "INSERT 0 1", "SELECT 1", "UPDATE", "COMMIT"}
			assert.DeepEqual(t, keyed(conn, "t", transaction...), want)
			assert.DeepEqual(t, keyed(other, "t", transaction...), want)
			assert.Equal(t, w.committed(), "INSERT a INSERT b INSERT c INSERT d INSERT e")
		})
	}
}

// Guards against a cancel request that reaches another session, by a wrong
// key or by a late effect on a connection that was lent again.
func TestCancel(t *testing.T) {
	newWorld(t, func(t *testing.T, w *world) {
		conn := w.connect()
		release := make(chan struct{})
		w.setFault(func(_, sql string) fault {
			if sql == "SELECT slow" {
				<-release
			}
			return none
		})
		done := make(chan error, 1)
		go func() { done <- exec(conn, "SELECT slow") }()
		synctest.Wait()
		assert.Equal(t, conn.PgConn().PID()>>16, uint32(7))
		w.server.Cancel(t.Context(), conn.PgConn().PID(), []byte("none"))
		synctest.Wait()
		assert.Equal(t, w.statements(), "replica: SELECT slow")
		used := w.local.Stats("g", "replica").Opened
		assert.NilError(t, conn.PgConn().CancelRequest(t.Context()))
		synctest.Wait()
		assert.Equal(t, w.statements(), "replica: cancel")
		close(release)
		assert.NilError(t, <-done)
		_ = rows(t, w.connect())
		assert.Equal(t, w.local.Stats("g", "replica").Opened, used+1, "the cancelled connection was lent again")
	})
}

// Guards against a shutdown that cuts a transaction, keeps an idle session, or
// does not end.
func TestShutdown(t *testing.T) {
	newWorld(t, func(t *testing.T, w *world) {
		idle, busy := w.connect(), w.connect()
		err := exec(busy, "BEGIN")
		assert.NilError(t, err)
		done := make(chan error, 1)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		go func() { done <- w.server.Shutdown(ctx) }()
		synctest.Wait()
		assertError(t, idle.PgConn().WaitForNotification(t.Context()), outcome.AdminShutdown, outcome.NotRun)
		err = exec(busy, "INSERT a")
		assert.NilError(t, err)
		err = exec(busy, "COMMIT")
		assert.NilError(t, err)
		assertError(t, busy.PgConn().WaitForNotification(t.Context()), outcome.AdminShutdown, outcome.NotRun)
		assert.NilError(t, <-done)
		assert.Equal(t, w.committed(), "INSERT a")
	})
}

// Guards against state of a session that another session sees, or that is
// lost while the session needs it.
func TestPinnedSession(t *testing.T) {
	newWorld(t, func(t *testing.T, w *world) {
		conn := w.connect()
		err := exec(conn, "SET timezone = 'UTC'")
		assert.NilError(t, err)
		w.statements()
		_ = rows(t, conn, pgx.QueryExecModeExec)
		assert.Equal(t, w.statements(), "primary: SELECT rows")
		err = exec(conn, "DISCARD ALL")
		assert.NilError(t, err)
		_ = rows(t, conn, pgx.QueryExecModeExec)
		assert.Equal(t, w.statements(), "primary: DISCARD ALL; replica: SELECT rows")

		err = exec(conn, "LISTEN c")
		assert.NilError(t, err)
		w.setFault(once("SELECT", dropBefore))
		err = exec(conn, "SELECT rows")
		assert.Assert(t, err != nil && conn.IsClosed(), "the session went on without its state")
	})
}
