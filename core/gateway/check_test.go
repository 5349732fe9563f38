package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/gateway"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/link"
)

const (
	// dialTimeout is the time after which a connection to a dead host is given up.
	dialTimeout = 250 * time.Millisecond
	// roundTrip is the time of an answer of a live host.
	roundTrip = 2 * time.Millisecond
	// startTime is the time in which a request must be answered at the start, the time limit
	// of a statement. promptTime is that of any later request.
	startTime, promptTime = 800 * time.Millisecond, 50 * time.Millisecond
	// returnTime is the time in which a host must be used that is back.
	returnTime = 2 * time.Second
)

// mortalNetwork connects hosts of which some are dead: connections to them hang.
type mortalNetwork struct {
	mu      sync.Mutex
	hosts   []host.Info
	version int64
	dead    map[host.ID]bool
	// reached counts the attempts to reach each host.
	reached map[host.ID]int
}

func newMortalNetwork(live, dead int) *mortalNetwork {
	n := &mortalNetwork{version: 1, dead: map[host.ID]bool{}, reached: map[host.ID]int{}}
	for i := range live + dead {
		id := host.ID(fmt.Sprint("h", i))
		n.hosts = append(n.hosts, host.Info{ID: id, DataCentre: "dc"})
		n.dead[id] = i >= live
	}
	return n
}

func (n *mortalNetwork) Hosts() (hosts []host.Info, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts, n.version
}

func (*mortalNetwork) AwaitHosts(context.Context) error { return nil }

// setHosts replaces the list of hosts.
func (n *mortalNetwork) setHosts(hosts []host.Info) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.hosts = hosts
	n.version++
}

func (n *mortalNetwork) setDead(id host.ID, dead bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[id] = dead
}

// attempts returns the number of attempts to reach a host.
func (n *mortalNetwork) attempts(id host.ID) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.reached[id]
}

// reach waits for an answer of a host or the end of the dial.
func (n *mortalNetwork) reach(id host.ID) error {
	n.mu.Lock()
	dead := n.dead[id]
	n.reached[id]++
	n.mu.Unlock()
	if dead {
		time.Sleep(dialTimeout)
		return fmt.Errorf("%w: %s is dead", link.ErrNoConnection, id)
	}
	time.Sleep(roundTrip)
	return nil
}

func (n *mortalNetwork) Check(_ context.Context, info host.Info) error { return n.reach(info.ID) }

func (n *mortalNetwork) Probe(_ context.Context, info host.Info, _ group.ServerID) (gateway.ProbeResult, error) {
	return gateway.ProbeResult{Proof: gateway.Proof{Position: group.Position{Term: 1, Offset: 1}}}, n.reach(info.ID)
}

func (n *mortalNetwork) Open(info host.Info) gateway.Stream {
	return &mortalStream{network: n, target: info.ID}
}

// mortalStream answers one batch.
type mortalStream struct {
	network *mortalNetwork
	target  host.ID
}

func (*mortalStream) Send(gateway.Batch) error { return nil }

func (s *mortalStream) Receive() (gateway.Result, error) {
	if err := s.network.reach(s.target); err != nil {
		return gateway.Result{}, err
	}
	return gateway.Result{Answers: []exchange.Answer{{Digest: "d"}}}, nil
}

func (*mortalStream) CloseSend() error {
	return errors.New("the gateway releases the connection at once")
}

func (*mortalStream) Close() {}

// newMortalClient returns the client of a host that reaches no server itself.
func newMortalClient(network *mortalNetwork, self host.Info) *gateway.Client {
	cache := &catalog.Cache{}
	cache.SetConfig(&catalog.Config{Version: 1, Groups: map[group.ID]catalog.Group{"g": {ID: "g", ConnectionLimit: 2}}})
	return &gateway.Client{Self: self, Cache: cache, Network: network, Pools: func(catalog.Server) link.Source { return noPool{} }}
}

// noPool is the pool of a host that reaches no server.
type noPool struct{}

func (noPool) Load() int { return 0 }

func (noPool) Acquire(context.Context, link.Request) (*link.Lease, error) {
	return nil, link.ErrNoConnection
}

// serve sends a statement until it is answered, as a session does, and returns the gateway
// and the time that it took.
func serve(t *testing.T, client *gateway.Client, server catalog.Server) (via host.ID, elapsed time.Duration) {
	t.Helper()
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), startTime)
	defer cancel()
	for ctx.Err() == nil {
		lease, err := client.Source(server).Acquire(ctx, link.Request{})
		if err == nil {
			_, err = link.Run(ctx, lease, nil, exchange.Statement{ID: "1", Operation: exchange.Read})
			lease.Release()
		}
		if err == nil {
			return lease.Gateway, time.Since(started)
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("no answer within %v", startTime)
	return "", 0
}

// serversBehind returns servers to which another host than self is the gateway as long as
// only the live hosts are listed.
func serversBehind(self host.Info, live []host.Info, count int) (servers []catalog.Server) {
	cache := &catalog.Cache{}
	cache.SetConfig(&catalog.Config{Version: 1, Groups: map[group.ID]catalog.Group{"g": {ID: "g", ConnectionLimit: 1}}})
	client := &gateway.Client{Self: self, Cache: cache, Network: fixedNetwork(live)}
	for i := 0; len(servers) < count; i++ {
		server := catalog.Server{ID: group.ServerID(fmt.Sprint("s", i)), Group: "g"}
		if !client.IsGateway(server) {
			servers = append(servers, server)
		}
	}
	return servers
}

// Guards against requests that meet only gateways that are gone for good, however many of
// them the list still has.
func TestDeadGatewaysCostNoRequestItsTime(t *testing.T) {
	for _, dead := range []int{1, 8, 25, 70} {
		t.Run(fmt.Sprint(dead, " dead hosts"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Checks and streams in flight end meanwhile.
				defer time.Sleep(time.Minute)
				network := newMortalNetwork(3, dead)
				self := network.hosts[0]
				servers := serversBehind(self, network.hosts[:3], 5)
				client := newMortalClient(network, self)
				for _, server := range servers {
					_, elapsed := serve(t, client, server)
					t.Logf("first request to %s: %v", server.ID, elapsed)
				}
				for range 300 {
					for _, server := range servers {
						via, elapsed := serve(t, client, server)
						assert.Assert(t, elapsed <= promptTime, "%v through %s", elapsed, via)
					}
					time.Sleep(100 * time.Millisecond)
				}
			})
		})
	}
}

// Guards against a host that is kept from being used after it is back.
func TestGatewayThatIsBackIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		network := newMortalNetwork(3, 0)
		self := network.hosts[0]
		server := serversBehind(self, network.hosts, 1)[0]
		client := newMortalClient(network, self)
		first, _ := serve(t, client, server)
		network.setDead(first, true)
		for range 600 {
			_, _ = serve(t, client, server)
			time.Sleep(100 * time.Millisecond)
		}
		network.setDead(first, false)
		for range returnTime / (100 * time.Millisecond) {
			_, elapsed := serve(t, client, server)
			assert.Assert(t, elapsed <= promptTime, "%v", elapsed)
			time.Sleep(100 * time.Millisecond)
		}
		via, _ := serve(t, client, server)
		assert.Equal(t, via, first)
	})
}

// Guards against checks of hosts that have left the list.
func TestRemovedHostIsNotChecked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		network := newMortalNetwork(3, 30)
		self := network.hosts[0]
		server := serversBehind(self, network.hosts[:3], 1)[0]
		client := newMortalClient(network, self)
		for range 100 {
			_, _ = serve(t, client, server)
			time.Sleep(100 * time.Millisecond)
		}
		all := network.hosts
		network.setHosts(all[:3])
		time.Sleep(time.Second)
		before := map[host.ID]int{}
		for _, h := range all {
			before[h.ID] = network.attempts(h.ID)
		}
		for range 100 {
			_, _ = serve(t, client, server)
			time.Sleep(100 * time.Millisecond)
		}
		for _, h := range all[3:] {
			assert.Equal(t, network.attempts(h.ID), before[h.ID], "%s", h.ID)
		}
	})
}
