package e2e_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"basilmill/e2e/cluster"
	"basilmill/standin/platform"
)

// Guards against status queries that multiply while writes wait for a new
// primary: each answer woke every waiting write, and each of them then sent a
// query of its own.
func TestWaitingWritesShareQueries(t *testing.T) {
	virtual(t, config(t), func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		const writes = 60
		var conns []*pgx.Conn
		for i := range writes {
			conns = append(conns, dial(t, v, i, c.Hosts[i%len(c.Hosts)], "orders"))
		}
		exec(t, conns[0], "CREATE TABLE report (id bigint PRIMARY KEY)")
		idle := runtime.NumGoroutine()
		c.Platform.SetOutage(platform.Unavailable)
		c.Servers[0].Kill()
		time.Sleep(50 * time.Millisecond)
		var waiting sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for i, conn := range conns {
			waiting.Go(func() {
				_, _ = conn.Exec(ctx, fmt.Sprintf("INSERT INTO report VALUES (%d)", i))
			})
		}
		most := 0
		for range 500 {
			time.Sleep(time.Millisecond)
			if most = max(most, runtime.NumGoroutine()-idle); most > 10*writes {
				break
			}
		}
		c.Platform.SetOutage(platform.NoOutage)
		assert.Check(t, most < 3*writes, "%d goroutines for %d writes", most, writes)
		waiting.Wait()
		for _, conn := range conns {
			assert.NilError(t, conn.Close(context.Background()))
		}
	})
}

// advancing ends the test program when the paused clock stands still, because
// some goroutine runs without end. It is called outside the bubble and returns
// the function that ends the watch.
func advancing(t *testing.T, limit time.Duration) (stop func() bool) {
	watchdog := time.AfterFunc(limit, func() { panic(t.Name() + ": the paused clock stands still") })
	return watchdog.Stop
}

// Guards against a cancelled request that keeps choosing a server in a loop
// until its deadline and takes up a processor meanwhile.
func TestCancelledWaitEnds(t *testing.T) {
	defer advancing(t, 30*time.Second)()
	virtual(t, config(t), func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		conn := dial(t, v, 1, c.Hosts[0], "akten")
		exec(t, conn, "CREATE TABLE report (id bigint PRIMARY KEY)")
		c.Platform.SetOutage(platform.Unavailable)
		c.Servers[0].Kill()
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		_, err := conn.Exec(ctx, "INSERT INTO report VALUES (1)")
		assert.Assert(t, err != nil)
		time.Sleep(10 * time.Second)
		c.Platform.SetOutage(platform.NoOutage)
		time.Sleep(time.Second)
		after := dial(t, v, 1, c.Hosts[0], "akten")
		var count int
		assert.NilError(t, after.QueryRow(t.Context(), "SELECT count(*) FROM report").Scan(&count))
		assert.Equal(t, count, 0)
		assert.NilError(t, after.Close(context.Background()))
	})
}
