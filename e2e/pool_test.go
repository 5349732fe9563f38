package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"basilmill/core/account"
	"basilmill/e2e/cluster"
	"basilmill/standin/backendserver"
)

// serverLimit is the connection limit of each backend server.
const serverLimit = 16

// Guards against more connections to a server than its limit, and in calm
// operation against refusals by the server, with 3 to 9 hosts.
func TestPoolLimit(t *testing.T) {
	for _, test := range []struct {
		name     string
		hosts    int
		schedule string
		join     bool
		calm     bool
	}{
		{name: "3 hosts", hosts: 3, calm: true},
		{name: "6 hosts", hosts: 6, calm: true},
		{name: "9 hosts", hosts: 9, calm: true},
		{name: "host list lags", hosts: 6, schedule: "0s hostlag 3s", join: true},
		{name: "host isolated from platform and hosts", hosts: 6, schedule: "1s link host-1 platform Cut\n" +
			"1s link host-1 host-2 BlackHole\n1s link host-1 host-3 BlackHole\n2s stop host-2\n3s hostlag 3s", join: true},
		{name: "hosts leave and join in an outage", hosts: 9, schedule: "1s platform BlackHole\n2s stop host-1\n3s stop host-2", join: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			conf := config(t)
			conf.Hosts, conf.StartupDelay = test.hosts, 12*time.Millisecond
			virtual(t, conf, func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
				if test.calm {
					// Until the host lists have arrived everywhere.
					time.Sleep(10 * time.Second)
				}
				stop := load(t, v, c.Hosts)
				busy := crowd(t, v, c.Hosts, "vandermeersch", 30, 2*time.Second)
				w := newFaultWorld(c, v)
				assert.NilError(t, w.run(test.schedule))
				if test.join {
					_, err := c.StartHost("host-20", "gent-a")
					assert.NilError(t, err)
					_, err = c.StartHost("host-21", "namur-a")
					assert.NilError(t, err)
				}
				done := busy()
				failures := stop()
				for _, s := range c.Servers {
					n := s.Counters()
					t.Logf("server %s: peak %d, opened %d, refused %d; %d statements, %d failures", s.ID(), n.PeakOpen, n.Opened, n.Refused, done.done, len(failures))
					assert.Check(t, n.PeakOpen <= serverLimit)
					assert.Check(t, !test.calm || n.Refused == 0, "refused: %d", n.Refused)
				}
				assert.Check(t, !test.calm || len(failures) == 0, "%v", failures)
				assert.Check(t, done.done > 0)
			})
		})
	}
}

// tally counts the statements of a crowd.
type tally struct {
	done, overloaded int64
	slowest          time.Duration
	others           []error
}

// crowd has callers of an account insert rows through the hosts in turn, each
// on its own connection, for a time. The result waits for them.
func crowd(t *testing.T, v *cluster.VirtualNetwork, hosts []*cluster.Host, user string, callers int, length time.Duration) func() tally {
	var running sync.WaitGroup
	var mu sync.Mutex
	var sum tally
	until := time.Now().Add(length)
	for i := range callers {
		running.Go(func() {
			conn, err := login(t.Context(), v, user, 200+i, hosts[i%len(hosts)])
			if err != nil {
				return
			}
			defer conn.Close(context.Background()) //nolint:errcheck // the connection may be lost already
			for time.Now().Before(until) && !conn.IsClosed() {
				began := time.Now()
				_, err := conn.Exec(t.Context(), "SELECT pages FROM report WHERE id = 1")
				mu.Lock()
				sum.slowest = max(sum.slowest, time.Since(began))
				var refused *pgconn.PgError
				switch {
				case err == nil:
					sum.done++
				case errors.As(err, &refused) && refused.Code == "53300" && strings.HasPrefix(refused.Detail, "not run"):
					sum.overloaded++
				default:
					sum.others = append(sum.others, err)
				}
				mu.Unlock()
			}
		})
	}
	return func() tally {
		running.Wait()
		return sum
	}
}

func login(ctx context.Context, v *cluster.VirtualNetwork, user string, client int, h *cluster.Host) (*pgx.Conn, error) {
	conf, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/orders?sslmode=disable", user, password, h.CallerAddress()))
	if err != nil {
		return nil, err
	}
	conf.DialFunc = v.ClientDialer(cluster.ClientName(client), h.DataCentre)
	return pgx.ConnectConfig(ctx, conf)
}

// Guards against one account that keeps the other from its connections: at
// equal weights, 3 callers of one account, who need less than its half, run at
// least twice as often each as 60 callers of the other.
func TestPoolFairSharing(t *testing.T) {
	conf := config(t)
	conf.Account.Groups[0].Shared = true
	virtual(t, conf, func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		second := conf.Account
		second.ID = "notaris"
		assert.NilError(t, c.PutAccount(second))
		time.Sleep(inForceWithin)
		stop := load(t, v, c.Hosts)
		assert.Equal(t, len(stop()), 0)
		for _, s := range c.Servers {
			s.SetFaults(backendserver.Faults{StatementDelay: 50 * time.Millisecond})
		}
		many, few := crowd(t, v, c.Hosts, "vandermeersch", 60, 8*time.Second), crowd(t, v, c.Hosts, "notaris", 3, 8*time.Second)
		a, b := many(), few()
		t.Logf("60 callers: %d statements; 3 callers: %d statements, slowest %s", a.done, b.done, b.slowest)
		assert.Equal(t, len(a.others)+len(b.others), 0, "%v %v", a.others, b.others)
		assert.Assert(t, b.done/3 >= 2*a.done/60)
	})
}

// Guards against an overload that keeps callers waiting beyond the account's
// QueueTimeout of 500 ms, or that is not answered as "not run".
func TestPoolOverload(t *testing.T) {
	conf := config(t)
	conf.Account.Sharing = account.Sharing{QueueTimeout: 500 * time.Millisecond}
	virtual(t, conf, func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		stop := load(t, v, c.Hosts)
		assert.Equal(t, len(stop()), 0)
		const delay = 2 * time.Second
		for _, s := range c.Servers {
			s.SetFaults(backendserver.Faults{StatementDelay: delay})
		}
		sum := crowd(t, v, c.Hosts, "vandermeersch", 100, 5*time.Second)()
		t.Logf("%d done, %d overloaded, slowest %s", sum.done, sum.overloaded, sum.slowest)
		assert.Equal(t, len(sum.others), 0, "%v", sum.others)
		assert.Assert(t, sum.done > 0 && sum.overloaded > 0)
		// The path adds the latencies to the client and between the hosts.
		assert.Assert(t, sum.slowest <= delay+500*time.Millisecond+50*time.Millisecond)
	})
}

// Guards against openings that multiply when 1000 callers wait for a primary
// that returns: one host's part of the limit of 16 connections serves them.
func TestPoolStorm(t *testing.T) {
	conf := config(t)
	conf.StartupDelay = 12 * time.Millisecond
	virtual(t, conf, func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		stop := load(t, v, c.Hosts)
		assert.Equal(t, len(stop()), 0)
		const callers = 1000
		var connected, running sync.WaitGroup
		begin := make(chan struct{})
		var done atomic.Int64
		for i := range callers {
			connected.Add(1)
			running.Go(func() {
				conn, err := login(t.Context(), v, "vandermeersch", 100+i%10, c.Hosts[i%len(c.Hosts)])
				connected.Done()
				if !assert.Check(t, err) {
					return
				}
				defer conn.Close(context.Background()) //nolint:errcheck // the connection may be lost already
				<-begin
				if _, err := conn.Exec(t.Context(), "UPDATE report SET pages = 1 WHERE id = 1"); err == nil {
					done.Add(1)
				}
			})
		}
		connected.Wait()
		w := newFaultWorld(c, v)
		assert.NilError(t, w.run("0s platform Unavailable\n0s isolate a Cut"))
		c.Servers[0].CloseConnections()
		close(begin)
		assert.NilError(t, w.run("1s isolate a Up\n1s platform None"))
		before := c.Servers[0].Counters()
		running.Wait()
		after := c.Servers[0].Counters()
		t.Logf("%d of %d served; %d connections opened, peak %d, refused %d", done.Load(), callers, after.Opened-before.Opened, after.PeakOpen, after.Refused)
		assert.Check(t, after.Opened-before.Opened <= serverLimit)
		assert.Check(t, after.PeakOpen <= serverLimit)
		assert.Equal(t, done.Load(), int64(callers))
	})
}
