package backendserver_test

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/standin/backendserver"
	"basilmill/standin/pipenet"
)

const centre = host.DataCentre("gent-a")

// cluster runs servers on an in-memory network in a bubble.
type cluster struct {
	t       *testing.T
	network *pipenet.Network
	ctx     context.Context
	running sync.WaitGroup
	servers map[group.ServerID]*backendserver.Server
	// stops ends a server and waits for its end.
	stops map[group.ServerID]func()
}

// inBubble runs a test with a cluster under the virtual clock.
func inBubble(t *testing.T, f func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{
			t: t, ctx: ctx, network: pipenet.New(),
			servers: map[group.ServerID]*backendserver.Server{}, stops: map[group.ServerID]func(){},
		}
		defer func() {
			cancel()
			c.network.Close()
			c.running.Wait()
		}()
		c.network.SetLatency(centre, centre, time.Millisecond)
		f(t, c)
	})
}

func address(id group.ServerID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, id[0]}), 5432)
}

// add starts a server. Server "a" is the primary that feeds "b" under
// generation 1; the others follow it. The result stops the server.
func (c *cluster) add(id group.ServerID, change func(*backendserver.Config)) func() {
	c.t.Helper()
	listener, err := c.network.Listen(centre, address(id))
	assert.NilError(c.t, err)
	config := backendserver.Config{
		ID: id, Listener: listener, Dial: c.network.Dialer(centre, address(id).Addr()),
		Primary: "a", PrimaryAddress: address("a").String(),
	}
	if id == "a" {
		config.Role, config.Term, config.Generation, config.Successor = group.Primary, 1, 1, "b"
	}
	if change != nil {
		change(&config)
	}
	return c.run(id, backendserver.New(config))
}

func (c *cluster) run(id group.ServerID, server *backendserver.Server) func() {
	ctx, cancel := context.WithCancel(c.ctx)
	ended := make(chan struct{})
	c.running.Go(func() {
		defer close(ended)
		_ = server.Run(ctx)
	})
	c.servers[id] = server
	c.stops[id] = func() {
		cancel()
		<-ended
	}
	return c.stops[id]
}

// restart starts a stopped server with its log.
func (c *cluster) restart(id group.ServerID) {
	c.t.Helper()
	listener, err := c.network.Listen(centre, address(id))
	assert.NilError(c.t, err)
	c.run(id, c.servers[id].Restart(listener))
}

// config returns the settings of a client that connects to a server.
func (c *cluster) config(id group.ServerID, options string) *pgx.ConnConfig {
	c.t.Helper()
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://notary@%s/lineage?sslmode=disable%s", address(id), options))
	assert.NilError(c.t, err)
	config.DialFunc = pgconn.DialFunc(c.network.Dialer(centre, netip.MustParseAddr("10.0.1.1")))
	return config
}

// connect opens a connection that closes at the end of the test.
func (c *cluster) connect(id group.ServerID) *pgx.Conn {
	c.t.Helper()
	conn, err := pgx.ConnectConfig(c.ctx, c.config(id, ""))
	assert.NilError(c.t, err)
	return conn
}

func (c *cluster) exec(conn *pgx.Conn, query string, args ...any) {
	c.t.Helper()
	_, err := conn.Exec(c.ctx, query, args...)
	assert.NilError(c.t, err, query)
}

// number runs a query that returns one integer.
func (c *cluster) number(conn *pgx.Conn, query string, args ...any) int64 {
	c.t.Helper()
	var n int64
	assert.NilError(c.t, conn.QueryRow(c.ctx, query, args...).Scan(&n), query)
	return n
}

// wait advances the virtual clock until the goroutines are idle after it.
func wait(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
