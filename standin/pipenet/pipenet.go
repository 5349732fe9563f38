// Package pipenet owns an in-memory network for tests in bubbles of
// testing/synctest. It provides listeners and connections by address, with a
// latency and a link state for each pair of data centres. It waits only on
// channels and timers of the bubble: a goroutine that waits on them counts as
// durably blocked, so that the virtual clock of the bubble can advance.
package pipenet

import (
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"basilmill/core/host"
)

// LinkState is the state of the link between two data centres.
type LinkState int

// States of a link.
const (
	// Up delivers bytes after the latency.
	Up LinkState = iota
	// Down resets connections and refuses new ones.
	Down
	// BlackHole delivers nothing. Bytes, closes and attempts to connect wait
	// until the link is up again and then continue, as TCP does by
	// retransmission.
	BlackHole
)

// pair is an unordered pair of data centres.
type pair struct{ a, b host.DataCentre }

func newPair(a, b host.DataCentre) pair {
	if b < a {
		a, b = b, a
	}
	return pair{a, b}
}

// link is the network link between a pair of data centres. Its fields are guarded
// by the network's mutex.
type link struct {
	latency time.Duration
	jitter  func() time.Duration
	state   LinkState
	changed chan struct{} // closed when the state changes
}

// Network is an in-memory network.
type Network struct {
	mu        sync.Mutex
	links     map[pair]*link
	listeners map[netip.AddrPort]*listener
	streams   map[*stream]pair
	lastPort  uint16
	closed    chan struct{}
}

// New returns a network in which all links are up and have no latency.
func New() *Network {
	return &Network{
		links:     map[pair]*link{},
		listeners: map[netip.AddrPort]*listener{},
		streams:   map[*stream]pair{},
		closed:    make(chan struct{}),
	}
}

// Listen returns a listener on an address in a data centre.
func (n *Network) Listen(centre host.DataCentre, address netip.AddrPort) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, &net.OpError{Op: "listen", Net: "tcp", Addr: net.TCPAddrFromAddrPort(address), Err: syscall.EADDRINUSE}
	}
	l := &listener{
		network: n, centre: centre, address: address,
		backlog: make(chan net.Conn), closed: make(chan struct{}),
	}
	n.listeners[address] = l
	return l, nil
}

// SetLatency sets the one-way latency between two data centres, or within one.
func (n *Network) SetLatency(a, b host.DataCentre, oneWay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link(newPair(a, b)).latency = oneWay
}

// SetJitter sets a function that returns an additional delay of the link between
// two data centres. It is called for each write and for each direction of
// connecting, by several goroutines. To an application, packet loss under TCP
// appears as such a delay. Bytes stay in order. Nil removes the jitter.
func (n *Network) SetJitter(a, b host.DataCentre, jitter func() time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link(newPair(a, b)).jitter = jitter
}

// SetLinkState sets the state of the link between two data centres, or within
// one.
func (n *Network) SetLinkState(a, b host.DataCentre, state LinkState) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := newPair(a, b)
	l := n.link(p)
	l.state = state
	close(l.changed)
	l.changed = make(chan struct{})
	if state != Down {
		return
	}
	for s, streamPair := range n.streams {
		if streamPair == p {
			s.reset()
		}
	}
}

// Close closes all listeners, resets all connections and makes pending and later
// attempts to connect fail. It must be called only once.
func (n *Network) Close() {
	close(n.closed)
	n.mu.Lock()
	listeners := slices.Collect(maps.Values(n.listeners))
	for s := range n.streams {
		s.reset()
	}
	n.mu.Unlock()
	for _, l := range listeners {
		_ = l.Close()
	}
}

// link returns the link of a pair. The caller must hold the mutex.
func (n *Network) link(p pair) *link {
	l := n.links[p]
	if l == nil {
		l = &link{changed: make(chan struct{})}
		n.links[p] = l
	}
	return l
}

// sampleDelay returns the delay of the next transfer over the link, which is the
// latency plus jitter.
func (l link) sampleDelay() time.Duration {
	if l.jitter == nil {
		return l.latency
	}
	return l.latency + l.jitter()
}

// snapshot returns a copy of the current state of a link.
func (n *Network) snapshot(p pair) link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return *n.link(p)
}

// Dialer returns a dial function for clients in a data centre. Connections have
// from as their local address.
func (n *Network) Dialer(
	centre host.DataCentre, from netip.Addr,
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (conn net.Conn, err error) {
		defer func() {
			if err != nil {
				err = &net.OpError{Op: "dial", Net: "tcp", Err: err}
			}
		}()
		to, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		return n.dial(ctx, centre, from, to)
	}
}

// dial connects to a listener. This takes one round trip over the link.
func (n *Network) dial(
	ctx context.Context, centre host.DataCentre, from netip.Addr, to netip.AddrPort,
) (net.Conn, error) {
	target, p := n.findListener(centre, to)
	for range 2 {
		if err := n.traverse(ctx, p); err != nil {
			return nil, err
		}
	}
	if target == nil {
		return nil, syscall.ECONNREFUSED
	}
	n.mu.Lock()
	n.lastPort++
	local := netip.AddrPortFrom(from, n.lastPort)
	n.mu.Unlock()
	client, server := n.connect(p, local, to)
	select {
	case target.backlog <- server:
		return client, nil
	case <-target.closed:
		_ = client.Close()
		_ = server.Close()
		return nil, syscall.ECONNREFUSED
	case <-ctx.Done():
		_ = client.Close()
		_ = server.Close()
		return nil, ctx.Err()
	}
}

// findListener returns the listener on an address, or nil, and the pair of data
// centres of a connection to it.
func (n *Network) findListener(centre host.DataCentre, to netip.AddrPort) (*listener, pair) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[to]
	if l == nil {
		return nil, newPair(centre, centre)
	}
	return l, newPair(centre, l.centre)
}

// traverse waits for the time that a packet takes over a link. It fails if the
// link is down, the network is closed or ctx is done.
func (n *Network) traverse(ctx context.Context, p pair) error {
	for {
		l := n.snapshot(p)
		var timerFired <-chan time.Time
		switch l.state {
		case Down:
			return syscall.ECONNREFUSED
		case Up:
			timer := time.NewTimer(l.sampleDelay())
			defer timer.Stop()
			timerFired = timer.C
		case BlackHole:
		}
		select {
		case <-timerFired:
			return nil
		case <-l.changed:
		case <-n.closed:
			return syscall.ENETDOWN
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// listener is a net.Listener on an address of the network.
type listener struct {
	network *Network
	centre  host.DataCentre
	address netip.AddrPort
	backlog chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.backlog:
		return conn, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: net.ErrClosed}
	}
}

// Close implements net.Listener. It frees the address.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
