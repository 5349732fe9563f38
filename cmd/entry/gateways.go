package entry

import (
	"context"
	"log/slog"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/gateway"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/link"
	"basilmill/core/logevent"
	"basilmill/io/peer"
)

// gateways uses backend servers through other hosts, and runs statements and probes
// for them. It implements lead.ServerClient and takeover.ServerClient.
type gateways struct {
	link.Commander

	host    *Host
	prober  gateway.Prober
	client  gateway.Client
	service gateway.Service
	peers   *peer.GatewayClient
	// held are the servers of which this host is a holder. Only checkHolders uses it.
	held map[group.ServerID]bool
}

func newGateways(h *Host) *gateways {
	g := &gateways{host: h, peers: peer.NewGatewayClient(h.platform.Connect), held: map[group.ServerID]bool{}}
	g.client.Self = h.info()
	g.client.Cache = h.cache
	g.client.Pools = h.pool
	g.client.Prober = &g.prober
	g.client.Network = gatewayNetwork{g.peers, h.peers}
	g.client.OnAvoid = g.observeAvoidance
	g.Sources = g.client.Source
	g.service.Pool = g.knownPool
	g.service.Probe = g.probeKnown
	g.service.Check = h.platform.CheckStatement
	g.prober.Probe = link.Commander{Sources: h.pool}.Probe
	g.prober.Clock = h.platform.Clock
	return g
}

// Probe implements lead.ServerClient.
func (g *gateways) Probe(ctx context.Context, server catalog.Server) (position group.Position, age time.Duration, err error) {
	proof, err := g.client.Probe(ctx, server)
	return proof.Position, proof.Age, err
}

// gatewayNetwork connects this host with the gateways on others. It implements
// gateway.Network.
type gatewayNetwork struct {
	*peer.GatewayClient
	peers *peers
}

// Hosts implements gateway.Network.
func (n gatewayNetwork) Hosts() (hosts []host.Info, version int64) { return n.peers.knownHosts() }

// AwaitHosts implements gateway.Network.
func (n gatewayNetwork) AwaitHosts(ctx context.Context) error { return n.peers.awaitHosts(ctx) }

// observeAvoidance counts and logs that a gateway is avoided.
func (g *gateways) observeAvoidance(via host.ID, server group.ServerID, reason string) {
	g.host.metrics.gatewaysAvoided.Inc()
	g.host.log.Write(context.Background(), logevent.GatewayAvoided, slog.String("gateway", string(via)),
		slog.String("server", string(server)), slog.String("reason", reason))
}

// probeKnown probes a server in this host's catalogue on its own connections.
func (g *gateways) probeKnown(ctx context.Context, id group.ServerID) (gateway.Proof, error) {
	server, ok := g.host.cache.View().Servers[id]
	if !ok {
		return gateway.Proof{}, gateway.ErrUnknownServer
	}
	return g.prober.RunShared(ctx, server)
}

// prune drops the state of servers that are no longer in the catalogue.
func (g *gateways) prune(view *catalog.View) {
	g.client.Prune(view)
	g.prober.Prune(view)
}

// checkHolders checks the holders of all servers and logs of which servers this host has
// become one, or is one no longer.
func (g *gateways) checkHolders(ctx context.Context) {
	g.client.CheckHolders()
	servers := g.host.cache.View().Servers
	for id := range g.held {
		if _, ok := servers[id]; !ok {
			delete(g.held, id)
		}
	}
	hasAccounts := g.host.hasAccounts()
	for id, server := range servers {
		holds := hasAccounts && g.client.IsHolder(server)
		if holds == g.held[id] {
			continue
		}
		if holds {
			g.held[id] = true
		} else {
			delete(g.held, id)
		}
		g.host.log.Write(ctx, logevent.HolderChanged, slog.String("server", string(id)), slog.Bool("holder", holds))
	}
}

// knownPool returns this host's own connections to a server in its catalogue.
func (g *gateways) knownPool(id group.ServerID) (link.Source, bool) {
	server, ok := g.host.cache.View().Servers[id]
	if !ok {
		return nil, false
	}
	return g.host.pool(server), true
}
