package caller_test

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"basilmill/core/account"
	"basilmill/core/group"
	"basilmill/io/backendserver"
	"basilmill/io/caller"
)

const (
	idleSessions  = 32
	largeItemSize = 1 << 20
	// maxIdleGrowth bounds the bytes that an idle session holds beyond one that has sent
	// small statements only.
	maxIdleGrowth = 8 << 10
)

// heapSize returns the bytes of the reachable objects.
func heapSize() int64 {
	// The second collection frees what the first one has moved to the victim caches of
	// sync.Pool.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// idleGrowth returns by how many bytes the heap has grown for each session. It waits for
// those that are still handling their last message.
func idleGrowth(before int64) int64 {
	deadline := time.Now().Add(5 * time.Second)
	for {
		growth := (heapSize() - before) / idleSessions
		if growth <= maxIdleGrowth || time.Now().After(deadline) {
			return growth
		}
		time.Sleep(10 * time.Millisecond) // Real time: the collector does not use a fake clock.
	}
}

// echoHost is a caller.Host whose only server answers each execution with a row that
// holds item. It keeps no message.
type echoHost struct{ item []byte }

func (*echoHost) Authenticate(context.Context, string, string) (caller.Identity, error) {
	return caller.Identity{Account: "notary", Group: "g", Database: "naamboek"}, nil
}

func (*echoHost) Route(context.Context, caller.Request) (caller.Decision, error) {
	return caller.Decision{Target: backendserver.Target{Group: "g", Server: "primary"}, Term: 1, Primary: true}, nil
}

func (h *echoHost) Acquire(context.Context, backendserver.Target) (backendserver.Conversation, error) {
	return &echoConversation{item: h.item}, nil
}

func (*echoHost) Confirm(context.Context, group.ID, group.Generation, group.Position, bool) error {
	return nil
}

func (*echoHost) MayRetry(account.ID) bool { return false }

func (*echoHost) Observe(caller.Event) {}

type echoConversation struct {
	item    []byte
	answers []pgproto3.BackendMessage
}

func (c *echoConversation) Send(_ context.Context, batch ...pgproto3.FrontendMessage) error {
	for _, m := range batch {
		switch m := m.(type) {
		case *pgproto3.Query:
			values := [][]byte{c.item}
			if m.String == backendserver.PositionQuery {
				values = [][]byte{[]byte("1"), []byte("1"), []byte("1")}
			}
			if strings.Contains(m.String, "COMMIT") {
				c.answers = append(c.answers, &pgproto3.CommandComplete{CommandTag: []byte("BEGIN")}, &pgproto3.CommandComplete{CommandTag: []byte("COMMIT")})
			}
			c.answers = append(c.answers, &pgproto3.DataRow{Values: values}, &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'})
		case *pgproto3.Parse:
			c.answers = append(c.answers, &pgproto3.ParseComplete{})
		case *pgproto3.Bind:
			c.answers = append(c.answers, &pgproto3.BindComplete{})
		case *pgproto3.Execute:
			c.answers = append(c.answers, &pgproto3.DataRow{Values: [][]byte{c.item}}, &pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")})
		case *pgproto3.Sync:
			c.answers = append(c.answers, &pgproto3.ReadyForQuery{TxStatus: 'I'})
		}
	}
	return nil
}

func (c *echoConversation) Receive(context.Context) (pgproto3.BackendMessage, error) {
	if len(c.answers) == 0 {
		return nil, io.ErrUnexpectedEOF
	}
	next := c.answers[0]
	c.answers = c.answers[1:]
	return next, nil
}

func (*echoConversation) Cancel(context.Context) error { return nil }

func (*echoConversation) Release(bool) {}

// Guards against idle sessions that keep their largest message, row or held answer.
func TestIdleSessionHoldsNoLargeMessages(t *testing.T) {
	for name, request := range map[string]func(item string) []pgproto3.FrontendMessage{
		"read": func(item string) []pgproto3.FrontendMessage {
			return []pgproto3.FrontendMessage{&pgproto3.Query{String: "SELECT '" + item + "'"}}
		},
		"held answer": func(string) []pgproto3.FrontendMessage {
			return []pgproto3.FrontendMessage{&pgproto3.Query{String: "BEGIN; COMMIT; SELECT name FROM report"}}
		},
		"write": func(item string) []pgproto3.FrontendMessage {
			return []pgproto3.FrontendMessage{&pgproto3.Query{String: "INSERT INTO report VALUES ('" + item + "') RETURNING name"}}
		},
		"parameter": func(item string) []pgproto3.FrontendMessage {
			return []pgproto3.FrontendMessage{
				&pgproto3.Parse{Query: "SELECT $1"}, &pgproto3.Bind{Parameters: [][]byte{[]byte(item)}}, &pgproto3.Execute{}, &pgproto3.Sync{},
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := &echoHost{}
			server := caller.New(h, caller.Config{})
			ln := &listener{conns: make(chan net.Conn), closed: make(chan struct{})}
			ctx, cancel := context.WithCancel(t.Context())
			served := make(chan error, 1)
			go func() { served <- server.Serve(ctx, ln) }()
			var callers []net.Conn
			for range idleSessions {
				conn, err := ln.dial(ctx, "", "")
				assert.NilError(t, err)
				callers = append(callers, conn)
				sendMessages(t, conn, &pgproto3.StartupMessage{ProtocolVersion: pgproto3.ProtocolVersion30, Parameters: map[string]string{"user": "notary"}})
				awaitReady(t, conn)
			}
			exchange := func(item string) {
				h.item = []byte(item)
				for _, conn := range callers {
					sendMessages(t, conn, request(item)...)
					awaitReady(t, conn)
				}
				h.item = nil
			}
			exchange("small")
			before := heapSize()
			// The held answer must stay below its limit.
			exchange(strings.Repeat("x", largeItemSize-1000))
			growth := idleGrowth(before)
			t.Logf("%d bytes a session", growth)
			assert.Check(t, growth <= maxIdleGrowth)
			for _, conn := range callers {
				assert.NilError(t, conn.Close())
			}
			cancel()
			<-served
		})
	}
}

func sendMessages(t *testing.T, conn net.Conn, messages ...pgproto3.FrontendMessage) {
	t.Helper()
	var encoded []byte
	var err error
	for _, m := range messages {
		encoded, err = m.Encode(encoded)
		assert.NilError(t, err)
	}
	_, err = conn.Write(encoded)
	assert.NilError(t, err)
}

// awaitReady reads up to ReadyForQuery and keeps nothing.
func awaitReady(t *testing.T, conn net.Conn) {
	t.Helper()
	for {
		var header [5]byte
		_, err := io.ReadFull(conn, header[:])
		assert.NilError(t, err)
		assert.Assert(t, header[0] != 'E')
		_, err = io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(header[1:]))-4)
		assert.NilError(t, err)
		if header[0] == 'Z' {
			return
		}
	}
}
