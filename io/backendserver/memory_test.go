package backendserver_test

import (
	"bytes"
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

	"basilmill/io/backendserver"
)

const (
	idleConnections = 64
	largeItemSize   = 1 << 20
	// maxIdleGrowth bounds the bytes that an idle connection holds beyond one that has
	// carried small messages only.
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

// idleGrowth returns by how many bytes the heap has grown for each connection. It waits for
// those that are still handling their last message.
func idleGrowth(before int64) int64 {
	deadline := time.Now().Add(5 * time.Second)
	for {
		growth := (heapSize() - before) / idleConnections
		if growth <= maxIdleGrowth || time.Now().After(deadline) {
			return growth
		}
		time.Sleep(10 * time.Millisecond) // Real time: the collector does not use a fake clock.
	}
}

// Guards against idle connections to backend servers that keep their largest statement
// or row.
func TestIdleConnectionHoldsNoLargeMessages(t *testing.T) {
	item := []byte("small")
	connector := backendserver.NewLocalConnector(backendserver.LocalConnectorConfig{
		Dialer: backendserver.Dialer{User: "basilmill", DialFunc: func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			t.Cleanup(func() { _ = server.Close() })
			go answerRaw(server, &item)
			return client, nil
		}},
		Limit: idleConnections, MaxOpening: idleConnections,
	})
	run := func() {
		var open []backendserver.Conversation
		for range idleConnections {
			c, err := connector.Acquire(t.Context(), backendserver.Target{Group: "g", Server: "s", Address: address, Database: "d", Account: "a"})
			assert.NilError(t, err)
			open = append(open, c)
			assert.NilError(t, c.Send(t.Context(), &pgproto3.Query{String: string(item)}))
			for ready := false; !ready; {
				m, err := c.Receive(t.Context())
				assert.NilError(t, err)
				_, ready = m.(*pgproto3.ReadyForQuery)
			}
		}
		for _, c := range open {
			c.Release(true)
		}
	}
	run()
	before := heapSize()
	item = []byte(strings.Repeat("x", largeItemSize))
	run()
	item = nil
	assert.Equal(t, connector.Stats("g", "s").Idle, idleConnections)
	growth := idleGrowth(before)
	t.Logf("%d bytes a connection", growth)
	assert.Check(t, growth <= maxIdleGrowth)
	connector.Drain()
}

// answerRaw answers each message with a row that holds the item. It keeps no message.
func answerRaw(conn net.Conn, item *[]byte) {
	b := pgproto3.NewBackend(conn, conn)
	if _, err := b.ReceiveStartupMessage(); err != nil {
		return
	}
	b.Send(&pgproto3.AuthenticationOk{})
	b.Send(&pgproto3.BackendKeyData{ProcessID: 1, SecretKey: []byte{1, 2, 3, 4}})
	b.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	if b.Flush() != nil {
		return
	}
	for {
		var header [5]byte
		if _, err := io.ReadFull(conn, header[:]); err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, conn, int64(binary.BigEndian.Uint32(header[1:]))-4); err != nil {
			return
		}
		var out bytes.Buffer
		for _, m := range []pgproto3.BackendMessage{
			&pgproto3.DataRow{Values: [][]byte{*item}}, &pgproto3.CommandComplete{CommandTag: []byte("SELECT 1")}, &pgproto3.ReadyForQuery{TxStatus: 'I'},
		} {
			encoded, err := m.Encode(nil)
			if err != nil {
				return
			}
			out.Write(encoded)
		}
		if _, err := conn.Write(out.Bytes()); err != nil {
			return
		}
	}
}
