package gateway

import (
	"cmp"
	"context"
	"slices"
	"time"

	"basilmill/core/account"
	"basilmill/core/catalog"
	"basilmill/core/dispatch"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/link"
	"basilmill/core/placement"
)

// hasAccounts reports whether the configuration in force has accounts.
func (c *Client) hasAccounts() bool {
	config := c.Cache.View().Config
	return config != nil && config.Accounts != nil
}

// accountSource is the source of connections to a server while the configuration has
// accounts. Requests of an account go to a holder, and others to the gateway.
type accountSource struct {
	client *Client
	server catalog.Server
}

// Acquire implements link.Source.
func (a accountSource) Acquire(ctx context.Context, request link.Request) (*link.Lease, error) {
	return a.client.source(a.server, request.Account).Acquire(ctx, request)
}

// Load implements link.Source with the leases of this host, and those of others that it
// holds the connections for.
func (a accountSource) Load() int {
	load := remoteSource{client: a.client, server: a.server.ID}.Load()
	if a.client.IsHolder(a.server) {
		load += a.client.Pools(a.server).Load()
	}
	return load
}

// holderRanking is the order of all hosts as holders of the connections of accounts to a
// server.
type holderRanking struct {
	version    int64
	dataCentre host.DataCentre
	hosts      []host.Info
}

// IsHolder reports whether this host is one of those that hold the connections of accounts
// to a server. It returns false while the other hosts are not known.
func (c *Client) IsHolder(server catalog.Server) bool {
	hosts, version := c.Network.Hosts()
	if version == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	ranked := c.rankHolders(server, hosts, version).hosts
	return slices.ContainsFunc(ranked[:min(dispatch.Holders, len(ranked))], func(h host.Info) bool { return h.ID == c.Self.ID })
}

// DataCentres returns the number of data centres that have a gateway to each server.
func (c *Client) DataCentres() int {
	hosts, _ := c.Network.Hosts()
	dataCentres := map[host.DataCentre]bool{c.Self.DataCentre: true}
	for _, h := range hosts {
		dataCentres[h.DataCentre] = true
	}
	return len(dataCentres)
}

// rankedHolders returns the hosts in the order in which they are chosen for an account.
// The caller holds the mutex.
func (c *Client) rankedHolders(server catalog.Server, id account.ID, hosts []host.Info, version int64) *ranking {
	order := c.rankHolders(server, hosts, version)
	holders := order.hosts[:min(dispatch.Holders, len(order.hosts))]
	first := placement.Rank("account", string(server.ID)+"/"+string(id), holders)[0]
	r, ok := c.ranking(rankingKey{server.ID, first.ID})
	if !ok || r.order != order {
		r.version, r.order, r.hosts = version, order, slices.Clone(order.hosts)
		slices.SortStableFunc(r.hosts, func(a, b host.Info) int { return cmp.Compare(rankOf(a, first), rankOf(b, first)) })
		c.pruneHosts(hosts, version)
	}
	return r
}

// rankOf returns 0 for the first choice and 1 for all other hosts.
func rankOf(h, first host.Info) int {
	if h.ID == first.ID {
		return 0
	}
	return 1
}

// rankHolders returns the order of all hosts for a server. The caller holds the mutex.
func (c *Client) rankHolders(server catalog.Server, hosts []host.Info, version int64) *holderRanking {
	r := c.holders[server.ID]
	if r == nil || r.version != version || r.dataCentre != server.DataCentre {
		r = &holderRanking{version, server.DataCentre, rankHolders(c.Self, hosts, server)}
		if c.holders == nil {
			c.holders = map[group.ServerID]*holderRanking{}
		}
		c.holders[server.ID] = r
		c.dropRankings(server.ID, r.hosts[:min(dispatch.Holders, len(r.hosts))])
	}
	return r
}

// dropRankings drops the rankings of former holders of a server. The caller holds the
// mutex.
func (c *Client) dropRankings(server group.ServerID, holders []host.Info) {
	for key := range c.rankings {
		isHolder := slices.ContainsFunc(holders, func(h host.Info) bool { return h.ID == key.holder })
		if key.server == server && key.holder != "" && !isHolder {
			delete(c.rankings, key)
		}
	}
}

// rankHolders returns all hosts by rendezvous hashing: those of the server's data centre,
// those of its region, and the others.
func rankHolders(self host.Info, hosts []host.Info, server catalog.Server) []host.Info {
	all := []host.Info{self}
	for _, h := range hosts {
		if h.ID != self.ID {
			all = append(all, h)
		}
	}
	regions := map[host.Region]bool{}
	for _, h := range all {
		if h.DataCentre == server.DataCentre {
			regions[h.Region] = true
		}
	}
	distance := func(h host.Info) int {
		switch {
		case h.DataCentre == server.DataCentre:
			return 0
		case regions[h.Region]:
			return 1
		default:
			return 2
		}
	}
	ranked := placement.Rank("server", string(server.ID), all)
	slices.SortStableFunc(ranked, func(a, b host.Info) int { return cmp.Compare(distance(a), distance(b)) })
	return ranked
}

// Via returns the host whose connections to a server a request of an account would use now.
func (c *Client) Via(server catalog.Server, id account.ID) host.ID {
	if c.hasAccounts() && id != "" {
		hosts, version := c.Network.Hosts()
		c.mu.Lock()
		defer c.mu.Unlock()
		via, _ := c.pick(c.rankedHolders(server, id, hosts, version), server.ID, time.Now(), false)
		return via.ID
	}
	via, _ := c.choose(server)
	return via.ID
}
