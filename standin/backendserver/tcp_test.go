package backendserver_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/standin/backendserver"
)

// Guards against a server that works only on the in-memory network of the other
// tests.
func TestOverTCP(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	primary := listenTCP(t, backendserver.Config{ID: "a", Role: group.Primary, Generation: 1, Successor: "b"})
	replica := listenTCP(t, backendserver.Config{ID: "b", Primary: "a", PrimaryAddress: primary})
	a, err := pgx.Connect(ctx, "postgres://notary@"+primary+"/lineage?sslmode=prefer")
	assert.NilError(t, err)
	_, err = a.Exec(ctx, "CREATE TABLE orders (id int); INSERT INTO orders VALUES (1)")
	assert.NilError(t, err)
	var end group.Offset
	assert.NilError(t, a.QueryRow(ctx, `SELECT "offset" FROM basilmill.position()`).Scan(&end))
	b, err := pgx.Connect(ctx, "postgres://notary@"+replica+"/lineage")
	assert.NilError(t, err)
	for applied := group.Offset(0); applied < end; {
		assert.NilError(t, b.QueryRow(ctx, "SELECT applied FROM basilmill.status()").Scan(&applied))
	}
	var count int
	assert.NilError(t, b.QueryRow(ctx, "SELECT count(*) FROM orders").Scan(&count))
	assert.Equal(t, count, 1)
}

// listenTCP runs a server on a loopback address until the end of the test and
// returns the address.
func listenTCP(t *testing.T, config backendserver.Config) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	config.Listener = listener
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- backendserver.New(config).Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-ended)
	})
	return listener.Addr().String()
}

// BenchmarkInsert measures single-row inserts of one client over TCP.
func BenchmarkInsert(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	server := backendserver.New(backendserver.Config{ID: "a", Role: group.Primary, Listener: listener})
	go func() { _ = server.Run(ctx) }()
	conn, err := pgx.Connect(ctx, "postgres://notary@"+listener.Addr().String()+"/lineage")
	assert.NilError(b, err)
	_, err = conn.Exec(ctx, "CREATE TABLE orders (id int PRIMARY KEY, note text)")
	assert.NilError(b, err)
	for i := 0; b.Loop(); i++ {
		_, err = conn.Exec(ctx, "INSERT INTO orders VALUES ($1, $2)", i, "lineage")
		assert.NilError(b, err)
	}
}
