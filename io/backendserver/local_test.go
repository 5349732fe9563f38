package backendserver_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/io/backendserver"
)

var target = backendserver.Target{Group: "g", Server: "s", Address: address, Database: "d", Account: "a"}

func query(sql string) *pgproto3.Query { return &pgproto3.Query{String: sql} }

// withConnector runs a test in a synctest bubble, with a LocalConnector that may
// open one connection to the fake server.
func withConnector(t *testing.T, f *fakeServer, test func(*testing.T, *backendserver.LocalConnector)) {
	synctest.Test(t, func(t *testing.T) {
		if f.answer == nil {
			f.answer = answerNormally
		}
		l := backendserver.NewLocalConnector(backendserver.LocalConnectorConfig{Dialer: f.dialer(), Limit: 1})
		defer synctest.Wait()
		defer l.Drain()
		test(t, l)
	})
}

func acquire(t *testing.T, l *backendserver.LocalConnector) backendserver.Conversation {
	t.Helper()
	c, err := l.Acquire(t.Context(), target)
	assert.NilError(t, err)
	return c
}

// Guards against a connection that another session reuses although it has an open
// transaction, an unread answer or a pending cancel request.
func TestReuse(t *testing.T) {
	f := &fakeServer{}
	withConnector(t, f, func(t *testing.T, l *backendserver.LocalConnector) {
		cases := []struct {
			use      func(backendserver.Conversation)
			reusable bool
			reused   bool
		}{
			{func(c backendserver.Conversation) { _, _ = exchange(t, c, 1, query("SELECT")) }, true, true},
			{func(c backendserver.Conversation) { _, _ = exchange(t, c, 1, query("BEGIN")) }, true, false},
			{func(c backendserver.Conversation) { _ = c.Send(t.Context(), query("SELECT")) }, true, false},
			{func(c backendserver.Conversation) { assert.NilError(t, c.Cancel(t.Context())) }, true, false},
			{func(backendserver.Conversation) {}, false, false},
		}
		for i, test := range cases {
			c := acquire(t, l)
			f.takeLog()
			test.use(c)
			c.Release(test.reusable)
			next := acquire(t, l)
			synctest.Wait() // until the server has recorded a closed connection
			assert.Equal(t, !strings.Contains(f.takeLog(), "open"), test.reused, "case %d", i)
			assert.NilError(t, c.Cancel(t.Context()))
			_, err := c.Receive(t.Context())
			assert.Equal(t, outcome.Of(err), outcome.NotRun)
			synctest.Wait()
			assert.Equal(t, f.takeLog(), "", "a released conversation reached the server")
			next.Release(true)
		}
	})
}

// Guards against a statement that is prepared twice under one name, and against
// answers in an order that does not match the session's messages.
func TestPreparedStatementsAreReused(t *testing.T) {
	f := &fakeServer{}
	errorCode := ""
	f.answer = func(b *pgproto3.Backend, m pgproto3.FrontendMessage) bool {
		if _, ok := m.(*pgproto3.Parse); ok && errorCode != "" {
			b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: errorCode})
			return true
		}
		return answerNormally(b, m)
	}
	withConnector(t, f, func(t *testing.T, l *backendserver.LocalConnector) {
		c := acquire(t, l)
		defer c.Release(true)
		parse := func(name string) string {
			f.takeLog()
			answers, err := exchange(t, c, 1, &pgproto3.Parse{Name: name, Query: "SELECT 1"}, &pgproto3.Sync{})
			assert.NilError(t, err)
			return strings.Join(answers, "") + " " + f.takeLog()
		}
		assert.Equal(t, parse("x"), "1Z parse(x) sync")
		assert.Equal(t, parse("x"), "1Z close(basilmill_absent) sync")
		errorCode = "42601"
		assert.Equal(t, parse("y"), "EZ parse(y) sync")
		errorCode = ""
		assert.Equal(t, parse("y"), "1Z parse(y) sync")
		errorCode = "0A000"
		assert.Equal(t, parse("z"), "EZ parse(z) sync")
		errorCode = ""
		closed := parse("x")
		assert.Assert(t, strings.Contains(closed, "close(x)") && strings.HasSuffix(closed, "parse(x) sync"), closed)
		parse("y")
		for i := range 198 {
			parse(fmt.Sprint(i))
		}
		assert.Equal(t, parse("last"), "1Z close(x) parse(last) sync")
		assert.Equal(t, parse("x"), "1Z close(y) parse(x) sync")
	})
}

// Guards against the outcome "not run" for a request that may have run.
func TestOutcomeOfLostConnection(t *testing.T) {
	f := &fakeServer{}
	f.answer = func(b *pgproto3.Backend, m pgproto3.FrontendMessage) bool {
		b.Send(&pgproto3.RowDescription{})
		_ = b.Flush()
		return false
	}
	withConnector(t, f, func(t *testing.T, l *backendserver.LocalConnector) {
		c := acquire(t, l)
		_, err := exchange(t, c, 1, query("INSERT"))
		assert.Equal(t, outcome.Of(err), outcome.Unknown)
		assert.Equal(t, outcome.Of(c.Send(t.Context(), query("INSERT"))), outcome.Unknown)
		c.Release(true)

		c = acquire(t, l)
		endedCtx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Equal(t, outcome.Of(c.Send(endedCtx, query("INSERT"))), outcome.NotRun)
		c.Release(true)

		f.startupError = &pgproto3.ErrorResponse{Severity: "FATAL", Code: "53300", Message: "too many"}
		_, err = l.Acquire(t.Context(), target)
		var refused *outcome.Error
		assert.Assert(t, errors.As(err, &refused))
		assert.Equal(t, refused.Outcome, outcome.NotRun)
		assert.Equal(t, refused.SQLState, outcome.TooManyConnections)
	})
}

// Guards against a statement that still waits for a server, which may be isolated,
// after the server was reported lost.
func TestLostServerEndsConversations(t *testing.T) {
	noAnswer := func(*pgproto3.Backend, pgproto3.FrontendMessage) bool { return true }
	withConnector(t, &fakeServer{answer: noAnswer}, func(t *testing.T, l *backendserver.LocalConnector) {
		c := acquire(t, l)
		time.AfterFunc(time.Second, func() { l.ReportLost("g", "s", errors.New("replaced")) })
		_, err := exchange(t, c, 1, query("INSERT"))
		assert.Equal(t, outcome.Of(err), outcome.Unknown)
		assert.ErrorContains(t, err, "replaced")
		c.Release(true)

		c = acquire(t, l)
		l.ReportLost("g", "s", errors.New("replaced"))
		assert.Equal(t, outcome.Of(c.Send(t.Context(), query("INSERT"))), outcome.NotRun)
		c.Release(true)
		synctest.Wait()
		assert.Equal(t, l.Stats("g", "s").Open, 0)
	})
}

// Guards against a deadlock when a server sends answers to a large batch before it
// has read the whole batch.
func TestLargeBatchIsReadWhileWritten(t *testing.T) {
	f := &fakeServer{}
	f.answer = func(b *pgproto3.Backend, m pgproto3.FrontendMessage) bool {
		for range 100 {
			b.Send(&pgproto3.DataRow{Values: [][]byte{make([]byte, 1000)}})
		}
		return answerNormally(b, m)
	}
	withConnector(t, f, func(t *testing.T, l *backendserver.LocalConnector) {
		c := acquire(t, l)
		batch := make([]pgproto3.FrontendMessage, 10)
		for i := range batch {
			batch[i] = query(strings.Repeat("x", 10_000))
		}
		_, err := exchange(t, c, len(batch), batch...)
		assert.NilError(t, err)
		c.Release(true)
	})
}

// Guards against a call that waits for an unresponsive server beyond its deadline,
// a ControlClient that does not recover from that, and columns parsed wrongly.
func TestControlClient(t *testing.T) {
	f := &fakeServer{}
	f.answer = func(b *pgproto3.Backend, m pgproto3.FrontendMessage) bool {
		var row []string
		switch describe(m) {
		case "query(SELECT * FROM basilmill.status())":
			row = []string{"s1", "primary", "3", "100", "4", "s2", "250", "240", "true"}
		case "query(SELECT * FROM basilmill.position())":
			row = []string{"3", "4", "250"}
		case "query(SELECT basilmill.promote(4, 5, 's''3'))":
			b.Send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: "55000", Message: "beyond"})
			b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
			return true
		default:
			return true // no answer
		}
		description, values := &pgproto3.RowDescription{}, &pgproto3.DataRow{}
		for _, column := range row {
			description.Fields = append(description.Fields, pgproto3.FieldDescription{Name: []byte("c")})
			values.Values = append(values.Values, []byte(column))
		}
		b.Send(description)
		b.Send(values)
		b.Send(&pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")})
		b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
		return true
	}
	synctest.Test(t, func(t *testing.T) {
		c := backendserver.NewControlClient(f.dialer(), address, "d")
		defer c.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Quiesce(ctx, 3)
		assert.ErrorIs(t, err, context.DeadlineExceeded)

		status, err := c.Status(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, status, group.Status{
			Server: "s1", Role: group.Primary, Term: 3, TermStart: 100, Generation: 4,
			Successor: "s2", Received: 250, Applied: 240, Leaving: true,
		})
		_, err = c.Promote(t.Context(), 4, 5, "s'3")
		var refused *backendserver.RefusedError
		assert.Assert(t, errors.As(err, &refused), "%v", err)
		position, generation, err := c.Position(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, position, group.Position{Term: 3, Offset: 250})
		assert.Equal(t, generation, group.Generation(4))
	})
}

// Guards against a connection that a call opens after Close. It would stay open and
// count against the server's connection limit.
func TestClosedControlClientOpensNoConnection(t *testing.T) {
	f := &fakeServer{answer: answerNormally}
	synctest.Test(t, func(t *testing.T) {
		c := backendserver.NewControlClient(f.dialer(), address, "d")
		c.Close()
		_, err := c.Status(t.Context())
		assert.Check(t, err != nil)
		assert.Equal(t, f.takeLog(), "")
	})
}
