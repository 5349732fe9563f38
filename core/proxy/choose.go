package proxy

import (
	"math/rand/v2"
	"time"

	"basilmill/core/balance"
	"basilmill/core/catalog"
	"basilmill/core/group"
	"basilmill/core/lead"
)

const (
	// remotePenalty is added to the cost of a server in another data centre. It
	// represents the price of traffic between data centres.
	remotePenalty = 25 * time.Millisecond
	// primaryPenalty is added to the cost of the primary, which has to serve all
	// writes.
	primaryPenalty = 10 * time.Millisecond
	// initialLatency is the assumed latency of a server without samples.
	initialLatency = 10 * time.Millisecond
	// avoidancePenalty ranks servers that should be avoided after all others.
	avoidancePenalty = 10 * time.Second
)

// chooseReadServer returns the server with the lowest estimated cost for a read
// at minPosition, among the servers not yet tried.
func (r *request) chooseReadServer(tried map[group.ServerID]bool) (catalog.Server, bool) {
	p := r.session.proxy
	snapshot := r.monitor.Snapshot()
	if config := p.config.Cache.View().Config; config != nil && config.Accounts != nil {
		return r.chooseBalanced(snapshot, tried)
	}
	var best catalog.Server
	bestCost := time.Duration(-1)
	for _, s := range p.config.Cache.View().Members(r.route.Group) {
		if s.Leaving || tried[s.ID] {
			continue
		}
		cost := p.readCost(s, r.minPosition)
		if snapshot.PrimaryKnown && s.ID == snapshot.Primary.ID {
			cost += primaryPenalty
		}
		if bestCost < 0 || cost < bestCost {
			best, bestCost = s, cost
		}
	}
	return best, bestCost >= 0
}

// chooseBalanced returns a server for a read at minPosition among the servers not yet tried,
// such that the hosts together load the servers evenly.
func (r *request) chooseBalanced(snapshot *lead.Snapshot, tried map[group.ServerID]bool) (catalog.Server, bool) {
	p := r.session.proxy
	var candidates []catalog.Server
	var known []balance.Server
	for _, s := range p.config.Cache.View().Members(r.route.Group) {
		if s.Leaving || tried[s.ID] {
			continue
		}
		candidates = append(candidates, s)
		known = append(known, p.knownLoad(s, snapshot.PrimaryKnown && s.ID == snapshot.Primary.ID, r.minPosition))
	}
	i := balance.Choose(known, rand.Float64)
	if i < 0 {
		return catalog.Server{}, false
	}
	return candidates[i], true
}

// knownLoad returns what this host knows of a server's load and health, for a read at a
// position.
func (p *Proxy) knownLoad(s catalog.Server, primary bool, minPosition group.Position) balance.Server {
	h := p.health.get(s.ID)
	inFlight := p.config.Sources(s).Load()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	known := balance.Server{Latency: h.latency, InFlight: inFlight, Slots: s.Slots, Primary: primary}
	if !h.loadAt.IsZero() {
		known.Load = balance.Load{InUse: h.load.InUse, Waiting: h.load.Waiting, Age: now.Sub(h.loadAt)}
	}
	for _, sentAt := range h.unanswered {
		known.Unanswered = max(known.Unanswered, now.Sub(sentAt))
	}
	known.Avoided = now.Before(h.avoidUntil) || now.Before(h.laggingUntil) && h.position.Compare(minPosition) < 0
	return known
}

// readCost estimates the latency of a read on the server from its smoothed
// latency and load, plus penalties.
func (p *Proxy) readCost(s catalog.Server, minPosition group.Position) time.Duration {
	h := p.health.get(s.ID)
	load := time.Duration(p.config.Sources(s).Load())
	h.mu.Lock()
	defer h.mu.Unlock()
	latency := h.latency
	if latency == 0 {
		latency = initialLatency
	}
	cost := latency + latency*load/2
	if s.DataCentre != p.config.DataCentre {
		cost += remotePenalty
	}
	now := time.Now()
	if now.Before(h.avoidUntil) {
		cost += avoidancePenalty
	}
	if now.Before(h.laggingUntil) && h.position.Compare(minPosition) < 0 {
		cost += avoidancePenalty
	}
	return cost
}
