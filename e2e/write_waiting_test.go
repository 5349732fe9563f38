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

// Guards against status queries that multiply while writes wait for a new primary: each
// answer woke every waiting write, and each of these then sent its own query.
func TestWaitingWritesShareQueries(t *testing.T) {
	virtual(t, config(t), func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		const writes = 60
		var conns []*pgx.Conn
		for i := range writes {
			conns = append(conns, dial(t, v, i, c.Hosts[i%len(c.Hosts)], "orders"))
		}
		exec(t, conns[0], "CREATE TABLE report (id bigint PRIMARY KEY)")
		goroutinesBefore := runtime.NumGoroutine()
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
		maxGoroutines := 0
		for range 500 {
			time.Sleep(time.Millisecond)
			if maxGoroutines = max(maxGoroutines, runtime.NumGoroutine()-goroutinesBefore); maxGoroutines > 10*writes {
				break
			}
		}
		c.Platform.SetOutage(platform.NoOutage)
		assert.Check(t, maxGoroutines < 3*writes, "%d goroutines for %d writes", maxGoroutines, writes)
		waiting.Wait()
		for _, conn := range conns {
			assert.NilError(t, conn.Close(context.Background()))
		}
	})
}

// startClockWatchdog panics if the test takes longer than the limit in real time. A
// goroutine that runs in a loop keeps virtual time from advancing, so that no virtual
// timeout ends the test. It must be called outside the bubble; the returned function
// stops the watchdog.
func startClockWatchdog(t *testing.T, limit time.Duration) (stop func() bool) {
	watchdog := time.AfterFunc(limit, func() { panic(t.Name() + ": virtual time does not advance") })
	return watchdog.Stop
}

// Guards against a cancelled request that retries the choice of a server without a pause
// until its deadline and uses a processor meanwhile.
func TestCancelledWaitEnds(t *testing.T) {
	defer startClockWatchdog(t, 30*time.Second)()
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
