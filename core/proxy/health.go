package proxy

import (
	"sync"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

const (
	// avoidTime is how long a server is avoided after a failed connection. It
	// doubles with each failure in a row.
	avoidTime = 300 * time.Millisecond
	// busyTime is how long a server is avoided after a busy answer: about one
	// statement's work.
	busyTime = 20 * time.Millisecond
	// behindTime is how long a server is taken to be behind after it said so:
	// a fraction of the pause between two writes of a session. It doubles with
	// each such answer in a row, because a replica that lags does so for
	// seconds and each attempt costs the caller a round trip.
	behindTime = 40 * time.Millisecond
	// longestTime bounds both times, so that a server that is well again is
	// soon used.
	longestTime = 1200 * time.Millisecond
	// smoothing is the weight of a new sample of the latency, in parts.
	smoothing = 8
)

// healths holds what the proxy noticed about each server.
type healths struct {
	mu      sync.Mutex
	servers map[group.ServerID]*health
}

// health is what the proxy noticed about one server.
type health struct {
	mu sync.Mutex
	// avoidUntil is set after a failed connection or a busy answer.
	avoidUntil time.Time
	// position is the last seen end of the server's readable log.
	position group.Position
	// behindUntil is set after an answer that the server's log is behind.
	behindUntil time.Time
	// avoidFor and behindFor are the last times; zero after another answer.
	avoidFor, behindFor time.Duration
	// latency is the smoothed time of a read on the server.
	latency time.Duration
}

func (h *healths) of(id group.ServerID) *health {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.servers == nil {
		h.servers = map[group.ServerID]*health{}
	}
	if h.servers[id] == nil {
		h.servers[id] = &health{}
	}
	return h.servers[id]
}

// Prune drops what was noticed about servers that the catalogue no longer
// has.
func (p *Proxy) Prune(view *catalog.View) {
	p.health.mu.Lock()
	defer p.health.mu.Unlock()
	for id := range p.health.servers {
		if _, ok := view.Servers[id]; !ok {
			delete(p.health.servers, id)
		}
	}
}

// learned updates what is known about a server from its answer to a read.
func (p *Proxy) learned(id group.ServerID, answer exchange.Answer, elapsed time.Duration) {
	h := p.health.of(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if !answer.Position.IsZero() {
		h.position = answer.Position
	}
	h.avoidFor = 0
	if answer.Failure == nil {
		h.behindFor = 0
		if h.latency == 0 {
			h.latency = elapsed
		}
		h.latency += (elapsed - h.latency) / smoothing
		return
	}
	switch answer.Failure.Code {
	case exchange.Busy:
		h.avoidUntil = now.Add(busyTime)
	case exchange.Behind:
		h.behindFor = doubled(h.behindFor, behindTime)
		h.behindUntil = now.Add(h.behindFor)
	default:
	}
}

// avoid notes that no answer could be had from a server.
func (p *Proxy) avoid(id group.ServerID) {
	h := p.health.of(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.avoidFor = doubled(h.avoidFor, avoidTime)
	h.avoidUntil = time.Now().Add(h.avoidFor)
}

// doubled returns twice the last time, at least the first and at most
// longestTime.
func doubled(last, first time.Duration) time.Duration {
	return min(max(2*last, first), longestTime)
}
