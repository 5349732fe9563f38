package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/settings"
	"basilmill/e2e/cluster"
	"basilmill/io/platform"
	standin "basilmill/standin/platform"
)

// drainGracePeriod is the time after which a leaving server must not get new
// statements.
const drainGracePeriod = 5 * time.Second

// executedStatements returns the number of callers' statements that a server
// executed.
func executedStatements(s *cluster.Server) int64 {
	n := s.Counters().Statements
	return n["select"] + n["insert"] + n["update"] + n["begin"]
}

// markLeaving marks a server as leaving in the group's record.
func markLeaving(t *testing.T, c *cluster.Cluster, id group.ServerID) {
	key := standin.Key{Kind: string(platform.KindGroup), Name: "naamboek"}
	object, ok := c.Platform.Get(key)
	assert.Assert(t, ok)
	record, err := platform.DecodeGroup(object.Value)
	assert.NilError(t, err)
	for i := range record.Servers {
		record.Servers[i].Leaving = record.Servers[i].Leaving || record.Servers[i].ID == id
	}
	value, err := platform.EncodeGroup(record)
	assert.NilError(t, err)
	_, err = c.Platform.Put(key, value, object.Version)
	assert.NilError(t, err)
}

// startLoad starts three callers that write and read through all hosts. The returned
// function stops them and returns their errors.
func startLoad(t *testing.T, v *cluster.VirtualNetwork, hosts []*cluster.Host) (stop func() []error) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	var mu sync.Mutex
	var failures []error
	first := dial(t, v, 90, hosts[0], "orders")
	exec(t, first, "CREATE TABLE report (id bigint PRIMARY KEY, pages bigint)")
	for i := range 3 {
		exec(t, first, "INSERT INTO report VALUES ($1, 0)", i+1)
	}
	assert.NilError(t, first.Close(ctx))
	for i := range 3 {
		p := newPooledCaller(v, i+1, hosts)
		assert.NilError(t, p.open(ctx))
		running.Go(func() {
			defer p.close()
			for n := i; ctx.Err() == nil; n++ {
				h := n % len(hosts)
				for _, err := range []error{p.write(t.Context(), h), p.read(t.Context(), h)} {
					if err != nil {
						mu.Lock()
						failures = append(failures, fmt.Errorf("%s host %d: %w", time.Now().Format("05.000"), h+1, withDetail(err)))
						mu.Unlock()
					}
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return func() []error {
		cancel()
		running.Wait()
		return failures
	}
}

// Guards against new statements on a server that is leaving, whether its status or
// the group's record says so, also while the platform is down, and against a leaving
// primary that is not replaced.
func TestDrainServer(t *testing.T) {
	record := func(id group.ServerID) func(*testing.T, *cluster.Cluster, *faultInjector) {
		return func(t *testing.T, c *cluster.Cluster, _ *faultInjector) { markLeaving(t, c, id) }
	}
	faults := func(lines string) func(*testing.T, *cluster.Cluster, *faultInjector) {
		return func(t *testing.T, _ *cluster.Cluster, injector *faultInjector) {
			assert.NilError(t, injector.run(lines))
		}
	}
	for name, test := range map[string]struct {
		server     int
		markServer func(*testing.T, *cluster.Cluster, *faultInjector)
		// wantChange means that the primary must be replaced without a failed statement.
		wantChange bool
	}{
		"replica by status":                       {2, faults("0s leaving c"), false},
		"replica by record":                       {2, record("c"), false},
		"replica by status, platform down":        {2, faults("0s platform BlackHole\n100ms leaving c"), false},
		"primary by status":                       {0, faults("0s leaving a"), true},
		"primary by record":                       {0, record("a"), true},
		"primary by status, platform down":        {0, faults("0s platform Unavailable\n100ms leaving a"), false},
		"primary by status, a host cut off":       {0, faults("0s isolate host-1 Cut client-1 client-2 client-3 a b c\n100ms leaving a"), false},
		"successor by status, other replica slow": {1, faults("0s delay 500ms c\n100ms leaving b"), false},
	} {
		t.Run(name, func(t *testing.T) {
			virtual(t, config(t), func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
				stop := startLoad(t, v, c.Hosts)
				time.Sleep(time.Second)
				injector := newFaultInjector(c, v)
				test.markServer(t, c, injector)
				time.Sleep(drainGracePeriod)
				before := executedStatements(c.Servers[test.server])
				time.Sleep(5 * time.Second)
				after := executedStatements(c.Servers[test.server])
				failures := stop()
				r, err := c.Record()
				assert.NilError(t, err)
				t.Logf("work before %d, after %d; primary %s; %d failures", before, after, r.Primary, len(failures))
				assert.Equal(t, after, before)
				if test.wantChange {
					assert.Assert(t, r.Primary != "a")
					assert.Equal(t, len(failures), 0, "%v", failures)
				}
				for _, err := range failures {
					var refused *pgconn.PgError
					if errors.As(err, &refused) {
						assert.Equal(t, refused.Code, "57P03", "%v", err)
					}
				}
				injector.heal()
				time.Sleep(10 * time.Second)
				if test.server == 0 {
					r, err = c.Record()
					assert.NilError(t, err)
					assert.Assert(t, r.Primary != "a")
				}
			})
		})
	}
}

// Guards against a graceful shutdown of a host that interrupts a request in flight or
// an open transaction, of its own callers or forwarded, that fails statements of
// other hosts' callers, or that ends idle sessions without 57P01. Of the six hosts,
// three coordinate the group and three forward to them.
func TestDrainHost(t *testing.T) {
	for name, schedule := range map[string]string{
		"alone":         "",
		"platform down": "0s platform BlackHole",
		"replicas lag":  "0s delay 1s c\n0s apply b 500ms",
	} {
		t.Run(name, func(t *testing.T) {
			conf := config(t)
			conf.Hosts = 6
			conf.Settings = func(s *settings.Settings) { s.DrainTime = 10 * time.Second }
			virtual(t, conf, func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
				injector := newFaultInjector(c, v)
				leaving := injector.host(host.ID(c.Hosts[0].Status().Groups[0].Coordinators[0]))
				var remaining []*cluster.Host
				for _, h := range c.Hosts {
					if h != leaving {
						remaining = append(remaining, h)
					}
				}
				stop := startLoad(t, v, remaining)
				idleConn, busyConn := dial(t, v, 91, leaving, "namen"), dial(t, v, 92, leaving, "orders")
				// The stand-in locks the tables that a transaction writes, so that
				// the transactions need tables of their own.
				exec(t, busyConn, "CREATE TABLE orders (id bigint PRIMARY KEY, pages bigint)")
				exec(t, busyConn, "BEGIN")
				exec(t, busyConn, "INSERT INTO orders VALUES (1, 1)")
				var finishForwarded []func()
				for i, h := range remaining {
					conn := dial(t, v, 80+i, h, "orders")
					table := fmt.Sprintf("orders_%d", i)
					exec(t, conn, "CREATE TABLE "+table+" (id bigint PRIMARY KEY, pages bigint)")
					exec(t, conn, "BEGIN")
					exec(t, conn, "INSERT INTO "+table+" VALUES (1, 1)")
					finishForwarded = append(finishForwarded, func() {
						exec(t, conn, "UPDATE "+table+" SET pages = 2")
						exec(t, conn, "COMMIT")
						exec(t, conn, "UPDATE "+table+" SET pages = 3")
						assert.NilError(t, conn.Close(t.Context()))
					})
				}
				assert.NilError(t, injector.run(schedule))
				time.Sleep(time.Second)
				stopped := time.Now()
				leaving.Stop()
				// The host ends an idle session with an error that it sends unasked.
				time.Sleep(time.Second)
				_, err := idleConn.Exec(t.Context(), "SELECT 1")
				var ended *pgconn.PgError
				assert.Assert(t, errors.As(err, &ended), "%v", err)
				assert.Equal(t, ended.Code, "57P01")
				time.Sleep(3 * time.Second)
				exec(t, busyConn, "UPDATE orders SET pages = 2")
				for _, finish := range finishForwarded {
					finish()
				}
				exec(t, busyConn, "COMMIT")
				<-leaving.Done
				assert.NilError(t, leaving.Err)
				assert.Assert(t, time.Since(stopped) < 11*time.Second)
				_, err = busyConn.Exec(t.Context(), "SELECT 1")
				assert.Assert(t, err != nil)
				time.Sleep(2 * time.Second)
				failures := stop()
				assert.Equal(t, len(failures), 0, "%v", failures)
			})
		})
	}
}
