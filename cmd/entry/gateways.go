package entry

import (
	"basilmill/core/gateway"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/link"
	"basilmill/io/peer"
)

// gateways uses backend servers through other hosts, and runs statements for them.
type gateways struct {
	host    *Host
	client  gateway.Client
	service gateway.Service
	peers   *peer.GatewayClient
}

func newGateways(h *Host) *gateways {
	g := &gateways{host: h, peers: peer.NewGatewayClient(h.platform.Connect)}
	g.client.Self = h.info()
	g.client.Cache = h.cache
	g.client.Pools = h.pool
	g.client.Network = g
	g.service.Pool = g.knownPool
	return g
}

// Hosts implements gateway.Network.
func (g *gateways) Hosts() (hosts []host.Info, version int64) { return g.host.peers.knownHosts() }

// Open implements gateway.Network.
func (g *gateways) Open(info host.Info) gateway.Stream { return g.peers.Open(info) }

// knownPool returns this host's own connections to a server in its catalogue.
func (g *gateways) knownPool(id group.ServerID) (link.Source, bool) {
	server, ok := g.host.cache.View().Servers[id]
	if !ok {
		return nil, false
	}
	return g.host.pool(server), true
}
