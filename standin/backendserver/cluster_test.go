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

// cluster runs servers on an in-memory network in a bubble of testing/synctest.
type cluster struct {
	t       *testing.T
	network *pipenet.Network
	ctx     context.Context
	wg      sync.WaitGroup
	servers map[group.ServerID]*backendserver.Server
	// stopFuncs stop a server and wait until Run has returned.
	stopFuncs map[group.ServerID]func()
}

// inBubble runs a test with a cluster in a bubble of testing/synctest, with its
// virtual clock.
func inBubble(t *testing.T, f func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{
			t: t, ctx: ctx, network: pipenet.New(),
			servers: map[group.ServerID]*backendserver.Server{}, stopFuncs: map[group.ServerID]func(){},
		}
		defer func() {
			cancel()
			c.network.Close()
			c.wg.Wait()
		}()
		c.network.SetLatency(centre, centre, time.Millisecond)
		f(t, c)
	})
}

func address(id group.ServerID) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, id[0]}), 5432)
}

// add starts a server and returns a function that stops it. Server "a" is the
// primary with successor "b" under generation 1; the others replicate from it.
func (c *cluster) add(id group.ServerID, configure func(*backendserver.Config)) func() {
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
	if configure != nil {
		configure(&config)
	}
	return c.run(id, backendserver.New(config))
}

func (c *cluster) run(id group.ServerID, server *backendserver.Server) func() {
	ctx, cancel := context.WithCancel(c.ctx)
	ended := make(chan struct{})
	c.wg.Go(func() {
		defer close(ended)
		_ = server.Run(ctx)
	})
	c.servers[id] = server
	c.stopFuncs[id] = func() {
		cancel()
		<-ended
	}
	return c.stopFuncs[id]
}

// restart starts a stopped server again with its log.
func (c *cluster) restart(id group.ServerID) {
	c.t.Helper()
	listener, err := c.network.Listen(centre, address(id))
	assert.NilError(c.t, err)
	c.run(id, c.servers[id].Restart(listener))
}

// config returns the client configuration for connections to a server.
func (c *cluster) config(id group.ServerID, options string) *pgx.ConnConfig {
	c.t.Helper()
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://notary@%s/lineage?sslmode=disable%s", address(id), options))
	assert.NilError(c.t, err)
	config.DialFunc = pgconn.DialFunc(c.network.Dialer(centre, netip.MustParseAddr("10.0.1.1")))
	return config
}

// connect opens a client connection to a server.
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

// queryInt runs a query that returns one integer.
func (c *cluster) queryInt(conn *pgx.Conn, query string, args ...any) int64 {
	c.t.Helper()
	var n int64
	assert.NilError(c.t, conn.QueryRow(c.ctx, query, args...).Scan(&n), query)
	return n
}

// advance advances the virtual clock by a duration and waits until all other
// goroutines of the bubble are blocked.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}
