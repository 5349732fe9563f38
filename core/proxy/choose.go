package proxy

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

const (
	// remoteCost is what a read in another data centre must gain in time. It
	// stands for the price of bytes between data centres.
	remoteCost = 25 * time.Millisecond
	// primaryCost keeps reads away from the server that all writes need.
	primaryCost = 10 * time.Millisecond
	// startLatency is the assumed time of a read on a server not yet used.
	startLatency = 10 * time.Millisecond
	// penalty orders the servers that should be avoided behind all others.
	penalty = 10 * time.Second
)

// reader returns the server on which a read that needs the position is
// expected to be answered first, among those not yet tried.
func (r *request) reader(tried map[group.ServerID]bool) (catalog.Server, bool) {
	p := r.session.proxy
	snapshot := r.monitor.Snapshot()
	var best catalog.Server
	bestCost := time.Duration(-1)
	for _, s := range p.config.Book.View().Members(r.route.Group) {
		if s.Leaving || tried[s.ID] {
			continue
		}
		cost := p.cost(s, r.position)
		if snapshot.PrimaryKnown && s.ID == snapshot.Primary.ID {
			cost += primaryCost
		}
		if bestCost < 0 || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, bestCost >= 0
}

// cost estimates how long a read on the server takes.
func (p *Proxy) cost(s catalog.Server, needed group.Position) time.Duration {
	h := p.health.of(s.ID)
	load := time.Duration(p.config.Pool(s).Load())
	h.mu.Lock()
	defer h.mu.Unlock()
	latency := h.latency
	if latency == 0 {
		latency = startLatency
	}
	cost := latency + latency*load/2
	if s.DataCentre != p.config.DataCentre {
		cost += remoteCost
	}
	now := time.Now()
	if now.Before(h.avoidUntil) {
		cost += penalty
	}
	if now.Before(h.behindUntil) && h.position.Compare(needed) < 0 {
		cost += penalty
	}
	return cost
}

// sharedName returns the name under which connections know a prepared
// statement. Sessions that prepare the same thing share it.
func sharedName(prepared exchange.PreparedStatement) string {
	return fmt.Sprintf("p%x", xxhash.Sum64String(fmt.Sprint(prepared.Writes, prepared.Text)))
}
