package e2e_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"basilmill/core/account"
	"basilmill/core/host"
	"basilmill/core/placement"
	"basilmill/core/pool"
	"basilmill/e2e/cluster"
	"basilmill/standin/backendserver"
	"basilmill/standin/pipenet"
)

// serverLimit is the connection limit of each backend server.
const serverLimit = 16

// Guards against more connections to a server than its limit and, without faults,
// against connections that the server refuses, with 3 to 9 hosts.
func TestPoolLimit(t *testing.T) {
	for _, test := range []struct {
		name     string
		hosts    int
		schedule string
		addHosts bool
		noFaults bool
	}{
		{name: "3 hosts", hosts: 3, noFaults: true},
		{name: "6 hosts", hosts: 6, noFaults: true},
		{name: "9 hosts", hosts: 9, noFaults: true},
		{name: "host list lags", hosts: 6, schedule: "0s hostlag 3s", addHosts: true},
		{name: "host isolated from platform and hosts", hosts: 6, schedule: "1s link host-1 platform Cut\n" +
			"1s link host-1 host-2 BlackHole\n1s link host-1 host-3 BlackHole\n2s stop host-2\n3s hostlag 3s", addHosts: true},
		{name: "hosts leave and join in an outage", hosts: 9, schedule: "1s platform BlackHole\n2s stop host-1\n3s stop host-2", addHosts: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			conf := config(t)
			conf.Hosts, conf.StartupDelay = test.hosts, 12*time.Millisecond
			virtual(t, conf, func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
				if test.noFaults {
					// Waits until every host has received the host list.
					time.Sleep(10 * time.Second)
				}
				stop := startLoad(t, v, c.Hosts)
				waitForCallers := runCallers(t, v, c.Hosts, "vandermeersch", 30, 2*time.Second)
				injector := newFaultInjector(c, v)
				assert.NilError(t, injector.run(test.schedule))
				if test.addHosts {
					_, err := c.StartHost("host-20", "gent-a")
					assert.NilError(t, err)
					_, err = c.StartHost("host-21", "namur-a")
					assert.NilError(t, err)
				}
				counts := waitForCallers()
				failures := stop()
				for _, s := range c.Servers {
					n := s.Counters()
					t.Logf("server %s: peak %d, opened %d, refused %d; %d statements, %d failures", s.ID(), n.PeakOpen, n.Opened, n.Refused, counts.succeeded, len(failures))
					assert.Check(t, n.PeakOpen <= serverLimit)
					assert.Check(t, !test.noFaults || n.Refused == 0, "refused: %d", n.Refused)
				}
				assert.Check(t, !test.noFaults || len(failures) == 0, "%v", failures)
				assert.Check(t, counts.succeeded > 0)
			})
		})
	}
}

// Guards against status connections that a host opens after it has stopped coordinating
// a group. They are in no host's share and stay open, so that servers refuse the
// connections of the coordinators.
func TestOnlyCoordinatorsKeepStatusConnections(t *testing.T) {
	assertOpen := func(t *testing.T, c *cluster.Cluster) {
		for _, s := range c.Servers {
			assert.Check(t, s.Counters().Open <= placement.DefaultCoordinators, "server %s: %d connections", s.ID(), s.Counters().Open)
		}
	}
	t.Run("each host coordinates until it has the host list", func(t *testing.T) {
		conf := config(t)
		conf.Hosts, conf.StartupDelay = 9, 12*time.Millisecond
		virtual(t, conf, func(t *testing.T, c *cluster.Cluster, _ *cluster.VirtualNetwork) {
			time.Sleep(10 * time.Second)
			assertOpen(t, c)
		})
	})
	t.Run("a session floor is being resolved", func(t *testing.T) {
		conf := config(t)
		conf.Account.Sharing = account.Sharing{QueueTimeout: 20 * time.Second}
		virtual(t, conf, func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
			stop := startLoad(t, v, c.Hosts)
			assert.Equal(t, len(stop()), 0)
			// The servers refuse connections if two hosts keep theirs: the three
			// coordinators use the limit but for the one reserved for commands.
			former := c.Hosts[1]
			for range 2 {
				former = handOverDuringRead(t, c, v, former)
			}
			time.Sleep(2 * pool.DefaultIdleRetention)
			assertOpen(t, c)
			// The reads of all coordinators go to the one replica that is left.
			c.Servers[2].Kill()
			for _, s := range c.Servers {
				s.SetFaults(backendserver.Faults{StatementDelay: 50 * time.Millisecond})
			}
			runCallers(t, v, c.Hosts, "vandermeersch", 60, 2*time.Second)()
			for _, s := range c.Servers {
				n := s.Counters()
				t.Logf("server %s: peak %d, refused %d", s.ID(), n.PeakOpen, n.Refused)
				assert.Check(t, n.Refused == 0)
			}
		})
	})
}

// handOverDuringRead starts a host that coordinates the group in place of the given
// one, while that host waits for the primary and its successor on behalf of a read. It
// returns the new host.
func handOverDuringRead(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork, former *cluster.Host) *cluster.Host {
	conn := dial(t, v, 1, former, "orders")
	for _, server := range []string{"a", "b"} {
		v.SetLinkState(string(former.Self().ID), server, pipenet.BlackHole)
	}
	answered := make(chan error)
	go func() {
		_, err := conn.Exec(t.Context(), "SELECT pages FROM report WHERE id = 1")
		answered <- err
	}()
	time.Sleep(time.Second)
	next, err := c.StartHost(successorOf(t, c, former), former.DataCentre)
	assert.NilError(t, err)
	time.Sleep(8 * time.Second)
	for _, server := range []string{"a", "b"} {
		v.SetLinkState(string(former.Self().ID), server, pipenet.Up)
	}
	t.Logf("answer to the read: %v", <-answered)
	assert.NilError(t, conn.Close(t.Context()))
	assert.NilError(t, c.Ready(t.Context()))
	assert.Check(t, !slices.Contains(former.Status().Groups[0].Coordinators, former.Status().Host))
	assert.Check(t, slices.Contains(next.Status().Groups[0].Coordinators, next.Status().Host))
	return next
}

// successorOf returns the id of a host that, once started in the same data centre,
// coordinates the group in place of the given one.
func successorOf(t *testing.T, c *cluster.Cluster, former *cluster.Host) host.ID {
	record, err := c.Record()
	assert.NilError(t, err)
	var hosts []host.Info
	for _, h := range c.Hosts {
		hosts = append(hosts, h.Self())
	}
	for i := 20; ; i++ {
		added := host.Info{ID: host.ID(fmt.Sprintf("host-%d", i)), DataCentre: former.DataCentre}
		coordinators := placement.Coordinators(record, append(hosts, added), placement.DefaultCoordinators)
		if !slices.ContainsFunc(coordinators, func(h host.Info) bool { return h.ID == former.Self().ID }) {
			return added.ID
		}
	}
}

// statementCounts counts the statements of a number of callers by their result.
type statementCounts struct {
	succeeded, overloaded int64
	slowest               time.Duration
	otherErrors           []error
}

// runCallers starts callers of an account that read through the hosts, each on a
// connection of its own, for the given duration. The returned function waits for them
// and returns their results.
func runCallers(t *testing.T, v *cluster.VirtualNetwork, hosts []*cluster.Host, user string, callers int, duration time.Duration) func() statementCounts {
	var running sync.WaitGroup
	var mu sync.Mutex
	var sum statementCounts
	until := time.Now().Add(duration)
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
					sum.succeeded++
				case errors.As(err, &refused) && refused.Code == "53300" && strings.HasPrefix(refused.Detail, "not run"):
					sum.overloaded++
				default:
					sum.otherErrors = append(sum.otherErrors, err)
				}
				mu.Unlock()
			}
		})
	}
	return func() statementCounts {
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

// Guards against one account that uses up the connections of another. At equal weights,
// each of 3 callers of one account, who need less than its half, must run at least
// twice as many statements as each of 60 callers of the other.
func TestPoolFairSharing(t *testing.T) {
	conf := config(t)
	conf.Account.Groups[0].Shared = true
	virtual(t, conf, func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		second := conf.Account
		second.ID = "notaris"
		assert.NilError(t, c.PutAccount(second))
		time.Sleep(inForceTimeout)
		stop := startLoad(t, v, c.Hosts)
		assert.Equal(t, len(stop()), 0)
		for _, s := range c.Servers {
			s.SetFaults(backendserver.Faults{StatementDelay: 50 * time.Millisecond})
		}
		many, few := runCallers(t, v, c.Hosts, "vandermeersch", 60, 8*time.Second), runCallers(t, v, c.Hosts, "notaris", 3, 8*time.Second)
		a, b := many(), few()
		t.Logf("60 callers: %d statements; 3 callers: %d statements, slowest %s", a.succeeded, b.succeeded, b.slowest)
		assert.Equal(t, len(a.otherErrors)+len(b.otherErrors), 0, "%v %v", a.otherErrors, b.otherErrors)
		assert.Assert(t, b.succeeded/3 >= 2*a.succeeded/60)
	})
}

// Guards against an overload in which callers wait for longer than the account's
// QueueTimeout of 500 ms, or that is not answered as "not run".
func TestPoolOverload(t *testing.T) {
	conf := config(t)
	conf.Account.Sharing = account.Sharing{QueueTimeout: 500 * time.Millisecond}
	virtual(t, conf, func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		stop := startLoad(t, v, c.Hosts)
		assert.Equal(t, len(stop()), 0)
		const delay = 2 * time.Second
		for _, s := range c.Servers {
			s.SetFaults(backendserver.Faults{StatementDelay: delay})
		}
		sum := runCallers(t, v, c.Hosts, "vandermeersch", 100, 5*time.Second)()
		t.Logf("%d done, %d overloaded, slowest %s", sum.succeeded, sum.overloaded, sum.slowest)
		assert.Equal(t, len(sum.otherErrors), 0, "%v", sum.otherErrors)
		assert.Assert(t, sum.succeeded > 0 && sum.overloaded > 0)
		// 50 ms allow for the latencies to the client and between the hosts.
		assert.Assert(t, sum.slowest <= delay+500*time.Millisecond+50*time.Millisecond)
	})
}

// Guards against a multiplication of new connections while 1000 callers wait for a
// primary that returns: one host's share of the limit of 16 connections suffices.
func TestPoolStorm(t *testing.T) {
	conf := config(t)
	conf.StartupDelay = 12 * time.Millisecond
	virtual(t, conf, func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		stop := startLoad(t, v, c.Hosts)
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
		injector := newFaultInjector(c, v)
		assert.NilError(t, injector.run("0s platform Unavailable\n0s isolate a Cut"))
		c.Servers[0].CloseConnections()
		close(begin)
		assert.NilError(t, injector.run("1s isolate a Up\n1s platform None"))
		before := c.Servers[0].Counters()
		running.Wait()
		after := c.Servers[0].Counters()
		t.Logf("%d of %d served; %d connections opened, peak %d, refused %d", done.Load(), callers, after.Opened-before.Opened, after.PeakOpen, after.Refused)
		assert.Check(t, after.Opened-before.Opened <= serverLimit)
		assert.Check(t, after.PeakOpen <= serverLimit)
		assert.Equal(t, done.Load(), int64(callers))
	})
}
