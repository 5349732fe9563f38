package gateway

import (
	"context"
	"sync"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/group"
)

const (
	// probeReuseTTL is the age up to which a probe serves further requests of this
	// host. It is half of the interval at which a host probes a primary.
	probeReuseTTL = 100 * time.Millisecond
	// sharedProbeTTL is the age up to which a probe serves other hosts. It exceeds
	// the interval at which the gateway itself probes the primary, so that their
	// requests add no probes.
	sharedProbeTTL = 250 * time.Millisecond
	// probeTimeout bounds a probe: seven round trips between regions. It is shorter
	// than the time that a host waits for its gateway, so that the host learns
	// that the server did not answer.
	probeTimeout = 300 * time.Millisecond
)

// Proof is the result of a probe of a primary. It covers every commit acknowledged
// more than Age before the result was requested.
type Proof struct {
	Position group.Position
	Age      time.Duration
}

// Prober probes backend servers for several hosts, of which each would probe the
// primary itself otherwise.
type Prober struct {
	// Probe checks that a server is the primary and returns the end of its log.
	Probe func(context.Context, catalog.Server) (group.Position, error)
	// Clock is a monotonic clock that includes the time the machine is suspended.
	Clock func() time.Duration

	mu     sync.Mutex
	probes map[group.ServerID]*probe
}

// probe is one probe that has been sent.
type probe struct {
	sentAt time.Duration
	done   chan struct{}
	// position and err are set before done is closed.
	position group.Position
	err      error
}

// Run returns the result of a probe for this host.
func (p *Prober) Run(ctx context.Context, server catalog.Server) (Proof, error) {
	return p.run(ctx, server, probeReuseTTL)
}

// RunShared returns the result of a probe for another host. It may be older than
// that of Run.
func (p *Prober) RunShared(ctx context.Context, server catalog.Server) (Proof, error) {
	return p.run(ctx, server, sharedProbeTTL)
}

// run returns the result of a probe that is not older than the TTL, or waits for that
// of a new one.
func (p *Prober) run(ctx context.Context, server catalog.Server, ttl time.Duration) (Proof, error) {
	current := p.current(server, ttl)
	select {
	case <-current.done:
		return Proof{Position: current.position, Age: p.Clock() - current.sentAt}, current.err
	case <-ctx.Done():
		return Proof{}, ctx.Err()
	}
}

// current returns the last probe of a server, or a new one if that is older than the
// TTL.
func (p *Prober) current(server catalog.Server, ttl time.Duration) *probe {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock()
	if last := p.probes[server.ID]; last != nil && now-last.sentAt <= ttl {
		return last
	}
	if p.probes == nil {
		p.probes = map[group.ServerID]*probe{}
	}
	next := &probe{sentAt: now, done: make(chan struct{})}
	p.probes[server.ID] = next
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		next.position, next.err = p.Probe(ctx, server)
		close(next.done)
	}()
	return next
}

// Prune drops the probes of servers that are no longer in the catalogue.
func (p *Prober) Prune(view *catalog.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id := range p.probes {
		if _, ok := view.Servers[id]; !ok {
			delete(p.probes, id)
		}
	}
}
