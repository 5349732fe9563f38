package replicated_test

import (
	"context"
	"io"
	"math"
	"sync"
	"time"

	"basilmill/core/gateway"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/link"
)

// hostDelay is the one-way delay between two hosts.
const hostDelay = time.Millisecond

// silenceTimeout is the time after which a stream to a silent host ends, as the TCP user
// timeout ends it on a real connection.
const silenceTimeout = 2 * time.Second

// hostNetwork connects the hosts of a test. It implements gateway.Network.
type hostNetwork struct {
	mu      sync.Mutex
	infos   []host.Info
	version int64
	// unknownUntil is when the hosts learn the list of hosts.
	unknownUntil time.Time
	hosts        map[host.ID]*entryHost
	silent       map[host.ID]bool
}

func newHostNetwork() *hostNetwork {
	return &hostNetwork{hosts: map[host.ID]*entryHost{}, silent: map[host.ID]bool{}}
}

// add connects a host.
func (n *hostNetwork) add(h *entryHost, dataCentre host.DataCentre, clock func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	info := host.Info{ID: h.id, DataCentre: dataCentre, Region: host.Region(dataCentre)}
	n.infos = append(n.infos[:len(n.infos):len(n.infos)], info)
	n.version++
	n.hosts[h.id] = h
	h.gateways.Self, h.gateways.Cache, h.gateways.Network = info, h.cache, n
	h.gateways.Pools = h.pool
	h.gateways.Prober = &gateway.Prober{Probe: link.Commander{Sources: h.pool}.Probe, Clock: clock}
	h.service.Probe = func(ctx context.Context, id group.ServerID) (gateway.Proof, error) {
		server, ok := h.cache.View().Servers[id]
		if !ok {
			return gateway.Proof{}, gateway.ErrUnknownServer
		}
		return h.gateways.Prober.Run(ctx, server)
	}
	h.service.Pool = func(id group.ServerID) (link.Source, bool) {
		server, ok := h.cache.View().Servers[id]
		if !ok {
			return nil, false
		}
		return h.registry.Pool(server), true
	}
}

// setSilent makes a host leave everything that other hosts send unanswered, and
// not receive it.
func (n *hostNetwork) setSilent(id host.ID) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent[id] = true
}

func (n *hostNetwork) isSilent(id host.ID) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.silent[id]
}

// Hosts implements gateway.Network.
func (n *hostNetwork) Hosts() (hosts []host.Info, version int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if time.Now().Before(n.unknownUntil) {
		return nil, 0
	}
	return n.infos, n.version
}

// AwaitHosts implements gateway.Network.
func (n *hostNetwork) AwaitHosts(ctx context.Context) error {
	select {
	case <-time.After(time.Until(n.unknownUntil)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Open implements gateway.Network.
func (n *hostNetwork) Open(info host.Info) gateway.Stream {
	n.mu.Lock()
	target := n.hosts[info.ID]
	n.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	s := &hostStream{network: n, target: info.ID, ctx: ctx, cancel: cancel, batches: make(chan gateway.Batch, 8), results: make(chan gateway.Result, 8), ended: make(chan struct{}), served: make(chan struct{})}
	go func() {
		defer close(s.served)
		// The result of Serve is that of the stream, which the client sees.
		_ = target.service.Serve(ctx, servedHostStream{s})
	}()
	return s
}

// Check implements gateway.Network.
func (n *hostNetwork) Check(ctx context.Context, info host.Info) error {
	_, err := n.Probe(ctx, info, "")
	return err
}

// Probe implements gateway.Network.
func (n *hostNetwork) Probe(ctx context.Context, info host.Info, server group.ServerID) (gateway.ProbeResult, error) {
	n.mu.Lock()
	target := n.hosts[info.ID]
	n.mu.Unlock()
	time.Sleep(hostDelay)
	if n.isSilent(info.ID) {
		<-ctx.Done()
		return gateway.ProbeResult{}, ctx.Err()
	}
	result := target.service.ServeProbe(ctx, server)
	time.Sleep(hostDelay)
	return result, ctx.Err()
}

// hostStream is a stream between two hosts.
type hostStream struct {
	network *hostNetwork
	target  host.ID
	ctx     context.Context //nolint:containedctx // the context is that of the stream
	cancel  func()
	batches chan gateway.Batch
	results chan gateway.Result
	ended   chan struct{}
	served  chan struct{}
	endOnce sync.Once
}

// Send implements gateway.Stream.
func (s *hostStream) Send(b gateway.Batch) error {
	time.Sleep(hostDelay)
	if !s.network.isSilent(s.target) {
		s.batches <- b
	}
	return nil
}

// untilSilenceTimeout returns silenceTimeout for a silent host, else an unlimited
// time.
func (s *hostStream) untilSilenceTimeout() time.Duration {
	if s.network.isSilent(s.target) {
		return silenceTimeout
	}
	return math.MaxInt64
}

// Receive implements gateway.Stream.
func (s *hostStream) Receive() (gateway.Result, error) {
	select {
	case r := <-s.results:
		time.Sleep(hostDelay)
		if !s.network.isSilent(s.target) {
			return r, nil
		}
	case <-time.After(s.untilSilenceTimeout()):
	case <-s.served:
		select {
		case r := <-s.results:
			return r, nil
		default:
		}
	case <-s.ctx.Done():
	}
	return gateway.Result{}, io.EOF
}

// CloseSend implements gateway.Stream.
func (s *hostStream) CloseSend() error {
	s.endOnce.Do(func() { close(s.ended) })
	return nil
}

// Close implements gateway.Stream.
func (s *hostStream) Close() { s.cancel() }

// servedHostStream implements gateway.ServedStream.
type servedHostStream struct{ *hostStream }

// Receive returns the next batch.
func (s servedHostStream) Receive() (gateway.Batch, error) {
	select {
	case b := <-s.batches:
		return b, nil
	case <-s.ended:
		return gateway.Batch{}, io.EOF
	case <-s.ctx.Done():
		return gateway.Batch{}, s.ctx.Err()
	}
}

// Send sends a result.
func (s servedHostStream) Send(r gateway.Result) error {
	s.results <- r
	return nil
}
