package gateway

import (
	"context"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/placement"
)

const (
	// minConnections is the least share of a server's connection limit for which
	// a host holds connections: one for shared statements and one for a
	// transaction.
	minConnections = 2
	// unresponsiveThreshold is how long a host may leave all statements in flight
	// unanswered before it is avoided. It is several times the duration of a
	// statement.
	unresponsiveThreshold = 250 * time.Millisecond
	// failureBackoff is how long after a failure a host is checked again. It doubles
	// with each consecutive failure up to maxFailureBackoff.
	failureBackoff    = 250 * time.Millisecond
	maxFailureBackoff = time.Second
	// leavingBackoff is how long a stopping host is avoided. It covers the usual
	// grace time.
	leavingBackoff = 6 * time.Second
	// noPathBackoff is how long a host is avoided for a server to which it has no
	// connection.
	noPathBackoff = time.Second
	// standbyHosts is the number of hosts after the gateway that take its place first.
	standbyHosts = 2
	// hostListTimeout is how long after its first request this host waits for the
	// list of hosts before it opens connections without it. The list is usually
	// known within 100 ms of the start, unless the store is unavailable.
	hostListTimeout = time.Second
)

// hostState is what is known about another host as a gateway.
type hostState struct {
	inFlight int
	// quietSince is when the host last answered, or when the oldest statement in
	// flight was sent if that is later.
	quietSince  time.Time
	avoidUntil  time.Time
	lastBackoff time.Duration
	// answeredAt is when the host last answered anything.
	answeredAt time.Time
	// unreachable is set after a failure until the host answers a check.
	unreachable bool
	// checking is set while a check is in flight, which started at checkedAt.
	checking  bool
	checkedAt time.Time
}

// isUnresponsive reports whether statements in flight have been unanswered for too
// long.
func (s *hostState) isUnresponsive(now time.Time) bool {
	return s.inFlight > 0 && now.Sub(s.quietSince) > unresponsiveThreshold
}

// pathKey identifies the path to a server through a host.
type pathKey struct {
	host   host.ID
	server group.ServerID
}

// rankingKey identifies the order of the hosts for a server: that of its gateway, or that
// of its holders for the accounts that prefer the given one.
type rankingKey struct {
	server group.ServerID
	holder host.ID
}

// ranking is the order in which hosts are chosen as the gateway to a server.
type ranking struct {
	version int64
	limit   int
	hosts   []host.Info
	// order is what the hosts are ranked by if they are holders.
	order *holderRanking
	// current is the gateway that was chosen last, at currentAt.
	current   host.ID
	currentAt time.Time
}

// awaitHosts waits until the list of hosts is known, for at most hostListTimeout from
// the first call. A host that does not know the others would use itself as the
// gateway to all servers.
func (c *Client) awaitHosts(ctx context.Context) {
	if _, version := c.Network.Hosts(); version != 0 {
		return
	}
	c.mu.Lock()
	if c.firstRequestAt.IsZero() {
		c.firstRequestAt = time.Now()
	}
	deadline := c.firstRequestAt.Add(hostListTimeout)
	c.mu.Unlock()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	// Without a list in time, this host goes on alone.
	_ = c.Network.AwaitHosts(ctx)
}

// ranking returns the ranking with a key, and whether it existed. The caller holds the
// mutex.
func (c *Client) ranking(key rankingKey) (r *ranking, ok bool) {
	r, ok = c.rankings[key]
	if !ok {
		r = &ranking{}
		if c.rankings == nil {
			c.rankings = map[rankingKey]*ranking{}
		}
		c.rankings[key] = r
	}
	return r, ok
}

// ranked returns the hosts that share connections to a server with this host, in the
// order in which they are chosen. The caller holds the mutex.
func (c *Client) ranked(server catalog.Server, hosts []host.Info, version int64, limit int) *ranking {
	r, ok := c.ranking(rankingKey{server: server.ID})
	if !ok || r.version != version || r.limit != limit {
		r.version, r.limit, r.hosts = version, limit, rank(c.Self, hosts, server.ID, limit)
		c.pruneHosts(hosts, version)
	}
	return r
}

// IsStandby reports whether this host is one of the next in rank after the gateway to a
// server. It returns false while the other hosts are not known.
func (c *Client) IsStandby(server catalog.Server) bool {
	hosts, version := c.Network.Hosts()
	if version == 0 {
		return false
	}
	limit := c.connectionLimit(server)
	c.mu.Lock()
	defer c.mu.Unlock()
	now, before := time.Now(), 0
	for _, h := range c.ranked(server, hosts, version, limit).hosts {
		switch {
		case h.ID == c.Self.ID:
			return true
		case c.usability(h.ID, server.ID, now) == unusable:
		case before == standbyHosts:
			return false
		default:
			before++
		}
	}
	return false
}

// Elsewhere returns the gateways to a server of the hosts that do not share connections
// with this one, as far as this host can tell.
func (c *Client) Elsewhere(server catalog.Server) (gateways []host.Info) {
	hosts, _ := c.Network.Hosts()
	shareOf := shares(c.Self, hosts, c.connectionLimit(server))
	sharing := map[string][]host.Info{}
	for _, h := range hosts {
		if share := shareOf(h); share != shareOf(c.Self) {
			sharing[share] = append(sharing[share], h)
		}
	}
	for _, hosts := range sharing {
		gateways = append(gateways, placement.Rank("server", string(server.ID), hosts)[0])
	}
	return gateways
}

// connectionLimit returns the connection limit of a server, zero if it is unknown.
func (c *Client) connectionLimit(server catalog.Server) int {
	config := c.Cache.View().Config
	if config == nil {
		return 0
	}
	return config.Groups[server.Group].ConnectionLimit
}

// rank returns the hosts that share connections to a server with this host, in
// order of preference. It returns only this host if the connection limit suffices
// for every host.
func rank(self host.Info, hosts []host.Info, server group.ServerID, limit int) []host.Info {
	return placement.Rank("server", string(server), sharingHosts(self, hosts, limit))
}

// sharingHosts returns the hosts that share connections with this host.
func sharingHosts(self host.Info, hosts []host.Info, limit int) []host.Info {
	shareOf := shares(self, hosts, limit)
	sharing := []host.Info{self}
	for _, h := range hosts {
		if h.ID != self.ID && shareOf(h) == shareOf(self) {
			sharing = append(sharing, h)
		}
	}
	return sharing
}

// shares returns a function that names the share of a server's connections that a host
// uses: the smallest of the host itself, its data centre, its region and the deployment
// with which the limit suffices for one gateway in each.
func shares(self host.Info, hosts []host.Info, limit int) func(host.Info) string {
	ids, dataCentres, regions := map[host.ID]bool{self.ID: true}, map[host.DataCentre]bool{self.DataCentre: true}, map[host.Region]bool{self.Region: true}
	for _, h := range hosts {
		ids[h.ID], dataCentres[h.DataCentre], regions[h.Region] = true, true, true
	}
	gateways := limit / minConnections
	switch {
	case limit == 0 || len(ids) <= gateways:
		return func(h host.Info) string { return string(h.ID) }
	case len(dataCentres) <= gateways:
		return func(h host.Info) string { return string(h.DataCentre) }
	case len(regions) <= gateways:
		return func(h host.Info) string { return string(h.Region) }
	default:
		return func(host.Info) string { return "" }
	}
}

// began notes that a batch is being sent to a host.
func (c *Client) began(id host.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.state(id)
	if s.inFlight == 0 {
		s.quietSince = time.Now()
	}
	s.inFlight++
}

// answered notes that a host has answered a batch.
func (c *Client) answered(id host.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.hosts[id]
	s.inFlight--
	s.quietSince = time.Now()
	s.answeredAt = s.quietSince
	s.lastBackoff = 0
}

// failed notes that a batch got no answer, because the host could not be reached or
// the stream was closed. The host is avoided unless this host closed the stream
// while others were being answered.
func (c *Client) failed(id host.ID, closedHere bool, cause error) {
	if c.backOff(id, closedHere) {
		c.reportAvoidance(id, "", cause.Error())
	}
}

// backOff ends a batch without an answer. It reports whether the host is avoided from
// now on.
func (c *Client) backOff(id host.ID, closedHere bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	s := c.hosts[id]
	unresponsive := s.isUnresponsive(now)
	s.inFlight--
	if closedHere && !unresponsive || now.Before(s.avoidUntil) {
		return false
	}
	s.markUnreachable(now)
	return true
}

// avoidHost avoids a host for all servers.
func (c *Client) avoidHost(id host.ID, period time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.hosts[id]
	s.avoidUntil, s.unreachable = time.Now().Add(period), true
}

// avoidPath avoids a host for one server. It also removes expired entries.
func (c *Client) avoidPath(id host.ID, server group.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for key, until := range c.noPathUntil {
		if now.After(until) {
			delete(c.noPathUntil, key)
		}
	}
	if c.noPathUntil == nil {
		c.noPathUntil = map[pathKey]time.Time{}
	}
	c.noPathUntil[pathKey{id, server}] = now.Add(noPathBackoff)
}
