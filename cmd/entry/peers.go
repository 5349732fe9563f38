package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/lead"
	"basilmill/core/retry"
	"basilmill/io/peer"
)

const (
	// askedPeers is the number of hosts that are asked at a time.
	askedPeers = 4
	// askTimeout bounds one question: two round trips between regions and the
	// opening of a connection.
	askTimeout = 200 * time.Millisecond
	// listAge is how old the list of hosts may be: hosts come and go within
	// minutes.
	listAge = 10 * time.Second
	// registerTimeout bounds one call of the store.
	registerTimeout = time.Second
)

// Hosts is the platform's list of the entry hosts.
type Hosts interface {
	// RegisterHost enters this host, or replaces its entry.
	RegisterHost(ctx context.Context, info host.Info) error
	ListHosts(ctx context.Context) ([]host.Info, error)
}

// peers asks the other hosts for their proofs.
type peers struct {
	host   *Host
	client peer.ProvenPositionClient

	mu     sync.Mutex
	known  []host.Info
	listed time.Time
	// refreshed is closed when the list that is being read is there; nil if
	// none is.
	refreshed chan struct{}
}

func newPeers(h *Host) *peers {
	return &peers{host: h, client: peer.ProvenPositionClient{HTTP: &http.Client{}}}
}

// register enters this host into the list until it succeeds.
func (p *peers) register(ctx context.Context) error {
	info := host.Info{ID: p.host.settings.HostID, DataCentre: p.host.settings.DataCentre, Region: p.host.settings.Region, PeerAddress: p.host.settings.Operators}
	var pause retry.Backoff
	for ctx.Err() == nil && !p.enter(ctx, info) {
		// A wait that ends early is noticed by the loop.
		_ = pause.Wait(ctx)
	}
	<-ctx.Done()
	return nil
}

// enter makes one attempt to register. Failures repeat until the store is
// back, whose loss the feeds log.
func (p *peers) enter(ctx context.Context, info host.Info) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	return p.host.platform.Hosts.RegisterHost(ctx, info) == nil
}

// Positions implements lead.Peers.
func (p *peers) Positions(ctx context.Context, id group.ID) []lead.Sample {
	hosts := p.list(ctx)
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	hosts = hosts[:min(len(hosts), askedPeers)]
	samples := make([]lead.Sample, len(hosts))
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for i, info := range hosts {
		wait.Go(func() { samples[i] = p.ask(ctx, info, id) })
	}
	wait.Wait()
	var found []lead.Sample
	for _, s := range samples {
		if !s.Position.IsZero() {
			found = append(found, s)
		}
	}
	return found
}

// ask asks one host. The proof is at least as old as its age before the
// question was sent.
func (p *peers) ask(ctx context.Context, info host.Info, id group.ID) lead.Sample {
	sent := p.host.platform.Clock()
	belief, known, err := p.client.Get(ctx, info.PeerAddress, id)
	if err != nil {
		p.host.metrics.peerCalls.WithLabelValues("failed").Inc()
		return lead.Sample{}
	}
	if !known {
		p.host.metrics.peerCalls.WithLabelValues("unknown").Inc()
		return lead.Sample{}
	}
	p.host.metrics.peerCalls.WithLabelValues("known").Inc()
	return lead.Sample{At: sent - belief.Age, Position: belief.Position}
}

// list returns the other hosts. Only the first call waits for the store; later
// ones have an old list brought up to date in the background.
func (p *peers) list(ctx context.Context) []host.Info {
	p.mu.Lock()
	refreshed := p.refreshed
	if refreshed == nil && time.Since(p.listed) > listAge {
		refreshed = make(chan struct{})
		p.refreshed = refreshed
		go p.refresh(refreshed) //nolint:gosec // the list outlives the call
	}
	known := p.known
	p.mu.Unlock()
	if known == nil && refreshed != nil {
		select {
		case <-refreshed:
		case <-ctx.Done():
		}
		p.mu.Lock()
		known = p.known
		p.mu.Unlock()
	}
	var others []host.Info
	for _, info := range known {
		if info.ID != p.host.settings.HostID {
			others = append(others, info)
		}
	}
	return others
}

// refresh reads the list. An old list is better than none; the loss of the
// store is logged by the feeds.
func (p *peers) refresh(done chan struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), registerTimeout)
	defer cancel()
	hosts, err := p.host.platform.Hosts.ListHosts(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		p.known = hosts
	}
	p.listed = time.Now()
	p.refreshed = nil
	close(done)
}

// belief returns what this host has proven about a group.
func (p *peers) belief(id group.ID) (peer.ProvenPosition, bool) {
	monitor := p.host.groups.monitor(id)
	if monitor == nil {
		return peer.ProvenPosition{}, false
	}
	snapshot := monitor.Snapshot()
	n := len(snapshot.Samples)
	if n == 0 {
		return peer.ProvenPosition{}, false
	}
	newest := snapshot.Samples[n-1]
	return peer.ProvenPosition{Position: newest.Position, Age: p.host.platform.Clock() - newest.At}, true
}
