package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/distribution"
	"basilmill/core/gateway"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/link"
	"basilmill/io/peer"
	"basilmill/standin/pipenet"
)

// observedConn counts writes and can fall silent: what is written then is lost.
type observedConn struct {
	net.Conn
	writes *atomic.Int64
	silent atomic.Bool
}

func (c *observedConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// gatewayNetwork connects a host with one gateway. It implements gateway.Network.
type gatewayNetwork struct {
	*peer.GatewayClient
	pipes *pipenet.Network
	hosts []host.Info
	// writes counts those of the host.
	writes atomic.Int64

	mu    sync.Mutex
	conns []*observedConn
}

func (n *gatewayNetwork) Hosts() (hosts []host.Info, version int64) { return n.hosts, 1 }

func (*gatewayNetwork) AwaitHosts(context.Context) error { return nil }

// silence makes the open connections silent for good. New ones work.
func (n *gatewayNetwork) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.silent.Store(true)
	}
}

// withGateway runs a test in a bubble with a gateway client and the gateway to server
// "s", whose probes succeed. The host itself does not reach the server.
func withGateway(t *testing.T, test func(t *testing.T, client *gateway.Client, network *gatewayNetwork)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		pipes := pipenet.New()
		defer pipes.Close()
		network := &gatewayNetwork{pipes: pipes}
		for i := range 2 {
			address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
			network.hosts = append(network.hosts, host.Info{ID: host.ID(rune('a' + i)), DataCentre: "dc", PeerAddress: address})
			listener, err := pipes.Listen("dc", address)
			assert.NilError(t, err)
			mux := http.NewServeMux()
			mux.Handle(peer.GatewayHandler(&gateway.Service{Probe: func(context.Context, group.ServerID) (gateway.Proof, error) {
				return gateway.Proof{Position: group.Position{Term: 1, Offset: 1}}, nil
			}}))
			server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second, Protocols: new(http.Protocols), HTTP2: peer.GatewayPings()}
			server.Protocols.SetUnencryptedHTTP2(true)
			go func() { _ = server.Serve(listener) }()
			defer func() { _ = server.Close() }()
		}
		dial := pipes.Dialer("dc", netip.AddrFrom4([4]byte{10, 0, 0, 9}))
		network.GatewayClient = peer.NewGatewayClient(func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			conn, err := dial(ctx, "tcp", to.String())
			if err != nil {
				return nil, err
			}
			observed := &observedConn{Conn: conn, writes: &network.writes}
			network.mu.Lock()
			defer network.mu.Unlock()
			network.conns = append(network.conns, observed)
			return observed, nil
		})
		cache := &catalog.Cache{}
		cache.SetConfig(&catalog.Config{Version: 1, Groups: map[group.ID]catalog.Group{"g": {ID: "g", ConnectionLimit: 2}}})
		for _, self := range network.hosts {
			started := time.Now()
			client := &gateway.Client{Self: self, Cache: cache, Network: network, Pools: func(catalog.Server) link.Source { return nil }, Prober: &gateway.Prober{
				Clock: func() time.Duration { return time.Since(started) },
				Probe: func(context.Context, catalog.Server) (group.Position, error) {
					return group.Position{}, link.ErrNoConnection
				},
			}}
			if !client.IsGateway(catalog.Server{ID: "s", Group: "g"}) {
				test(t, client, network)
			}
		}
		network.silence()
		network.mu.Lock()
		defer network.mu.Unlock()
		for _, c := range network.conns {
			_ = c.Close()
		}
	})
}

// probe probes server "s" through its gateway, as a monitor does.
func probe(client *gateway.Client) error {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := client.Probe(ctx, catalog.Server{ID: "s", Group: "g"})
	return err
}

// Open connections may fall silent without a reset, while new ones work. Such a connection
// must be given up even if TCP does not notice.
func TestSilentConnectionIsGivenUp(t *testing.T) {
	withGateway(t, func(t *testing.T, client *gateway.Client, network *gatewayNetwork) {
		assert.NilError(t, probe(client))
		network.silence()
		assert.Assert(t, probe(client) != nil)
		time.Sleep(11 * time.Second)
		assert.NilError(t, probe(client))
	})
}

// After a loss of power all hosts start together, and gateways answer after seconds. Hosts
// that then replace their connections add to that load, so that it does not end.
func TestSlowGatewayKeepsItsConnections(t *testing.T) {
	withGateway(t, func(t *testing.T, client *gateway.Client, network *gatewayNetwork) {
		assert.NilError(t, probe(client))
		network.pipes.SetLatency("dc", "dc", 1500*time.Millisecond)
		for range 20 {
			assert.Assert(t, probe(client) != nil)
			time.Sleep(200 * time.Millisecond)
		}
		network.pipes.SetLatency("dc", "dc", 0)
		time.Sleep(5 * time.Second)
		assert.NilError(t, probe(client))
		assert.Equal(t, len(network.conns), 1)
	})
}

// A host makes many calls as soon as it starts. They must share one connection, also while
// it is being opened.
func TestCallsShareAConnectionThatIsBeingOpened(t *testing.T) {
	withGateway(t, func(t *testing.T, client *gateway.Client, network *gatewayNetwork) {
		network.pipes.SetLatency("dc", "dc", 20*time.Millisecond)
		var wait sync.WaitGroup
		for range 50 {
			wait.Go(func() { assert.Check(t, probe(client)) })
		}
		wait.Wait()
		assert.Equal(t, len(network.conns), 1)
	})
}

// A host has connections to most other hosts of its data centre. What an idle one costs
// grows with the fleet, so it may cost two messages in five seconds at most.
func TestIdleConnectionIsQuiet(t *testing.T) {
	withGateway(t, func(t *testing.T, client *gateway.Client, network *gatewayNetwork) {
		assert.NilError(t, probe(client))
		before := network.writes.Load()
		time.Sleep(20 * time.Second)
		assert.Assert(t, network.writes.Load()-before <= 2*20/5, "%d messages", network.writes.Load()-before)
	})
}

// encodings records the encodings of the answers.
type encodings struct {
	http.Handler
	mu   sync.Mutex
	seen map[string]int
}

func (e *encodings) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.Handler.ServeHTTP(w, r)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seen[w.Header().Get("Content-Encoding")+w.Header().Get("Connect-Content-Encoding")]++
}

// The state of a compressor takes more memory than everything else that a small answer
// needs, so that a host with little memory collects garbage after every few answers.
func TestAnswersAreNotCompressed(t *testing.T) {
	recorded := &encodings{seen: map[string]int{}}
	relay := &distribution.Relay{Clock: func() time.Duration { return 0 }}
	info := serveHost(t, func(mux *http.ServeMux) {
		inner := http.NewServeMux()
		inner.Handle(peer.GatewayHandler(&gateway.Service{
			Pool: func(group.ServerID) (link.Source, bool) { return nil, false },
			Probe: func(context.Context, group.ServerID) (gateway.Proof, error) {
				return gateway.Proof{Position: group.Position{Term: 1, Offset: 1}}, nil
			},
		}))
		inner.Handle(peer.PullHandler(host.Info{ID: "g1", PeerAddress: netip.MustParseAddrPort("10.0.0.1:7000")}, relay))
		inner.Handle(peer.ProvenPositionHandler(func(group.ID) (peer.ProvenPosition, bool) { return peer.ProvenPosition{}, true }))
		recorded.Handler = inner
		mux.Handle("/", recorded)
	})
	client := peer.NewGatewayClient(dialTCP)
	defer client.Close()
	_, err := client.Probe(context.Background(), info, "s")
	assert.NilError(t, err)
	s := client.Open(info)
	assert.NilError(t, s.Send(gateway.Batch{Server: "absent"}))
	_, _ = s.Receive()
	s.Close()
	pulls := peer.NewClient(func() host.Info { return host.Info{ID: "h", PeerAddress: netip.MustParseAddrPort("10.0.0.2:7000")} }, nil)
	defer pulls.Close()
	_, _, err = pulls.Pull(context.Background(), info, peer.Pull{Kind: "servers"})
	assert.NilError(t, err)
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	_, _, err = peer.ProvenPositionClient{HTTP: &http.Client{Transport: transport}}.Get(context.Background(), info.PeerAddress, "g")
	assert.NilError(t, err)
	recorded.mu.Lock()
	defer recorded.mu.Unlock()
	assert.DeepEqual(t, recorded.seen, map[string]int{"": 4})
}
