package cluster

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"basilmill/cmd/serve"
	"basilmill/core/host"
	"basilmill/standin/pipenet"
)

// VirtualNetwork is an in-memory network for use inside a bubble of testing/synctest.
// Every machine has links of its own, so that a single machine can be cut off.
type VirtualNetwork struct {
	// Latency returns the one-way latency between two machines.
	Latency func(a, b Machine) time.Duration

	mu       sync.Mutex
	net      *pipenet.Network
	machines []Machine
	ports    uint16
}

// NewVirtualNetwork returns a network with the given latencies.
func NewVirtualNetwork(latency func(a, b Machine) time.Duration) *VirtualNetwork {
	return &VirtualNetwork{Latency: latency, net: pipenet.New()}
}

// label names a machine's end of its links.
func label(name string) host.DataCentre { return host.DataCentre(name) }

// ListenAddress implements Network.
func (v *VirtualNetwork) ListenAddress(Machine) netip.AddrPort {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.ports++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), v.ports)
}

// ForMachine implements Network.
func (v *VirtualNetwork) ForMachine(m Machine) serve.Network {
	v.add(m)
	return serve.Network{
		Listen: func(_ context.Context, _, address string) (net.Listener, error) {
			at, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, err
			}
			return v.net.Listen(label(m.Name), at)
		},
		Dial: v.net.Dialer(label(m.Name), netip.AddrFrom4([4]byte{127, 0, 0, 1})),
	}
}

func (v *VirtualNetwork) add(m Machine) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, o := range v.machines {
		if o == m {
			return
		}
	}
	v.machines = append(v.machines, m)
	for _, o := range v.machines {
		v.net.SetLatency(label(m.Name), label(o.Name), v.Latency(m, o))
	}
}

// SetLinkState sets the state of the link between two machines.
func (v *VirtualNetwork) SetLinkState(a, b string, state pipenet.LinkState) {
	v.net.SetLink(label(a), label(b), state)
}

// Isolate sets the state of all links of a machine, except those to the
// machines given.
func (v *VirtualNetwork) Isolate(name string, state pipenet.LinkState, except ...string) {
	v.mu.Lock()
	machines := append([]Machine(nil), v.machines...)
	v.mu.Unlock()
	for _, m := range machines {
		if m.Name != name && !contains(except, m.Name) {
			v.SetLinkState(name, m.Name, state)
		}
	}
}

// Partition sets the state of all links between the named machines and the
// others.
func (v *VirtualNetwork) Partition(state pipenet.LinkState, names ...string) {
	for _, name := range names {
		v.Isolate(name, state, names...)
	}
}

// Heal sets all links up.
func (v *VirtualNetwork) Heal() {
	v.mu.Lock()
	machines := append([]Machine(nil), v.machines...)
	v.mu.Unlock()
	for _, m := range machines {
		v.Isolate(m.Name, pipenet.Up)
	}
}

// IsolateDataCentre sets the state of all links that leave a data centre.
func (v *VirtualNetwork) IsolateDataCentre(place host.DataCentre, state pipenet.LinkState) {
	v.mu.Lock()
	machines := append([]Machine(nil), v.machines...)
	v.mu.Unlock()
	for _, a := range machines {
		for _, b := range machines {
			if a.DataCentre == place && b.DataCentre != place {
				v.SetLinkState(a.Name, b.Name, state)
			}
		}
	}
}

// Close resets all connections.
func (v *VirtualNetwork) Close() { v.net.Close() }

// ClientDialer returns a dial function for a client near a data centre.
func (v *VirtualNetwork) ClientDialer(name string, place host.DataCentre) func(ctx context.Context, network, address string) (net.Conn, error) {
	return v.ForMachine(Machine{name, place}).Dial
}

// Latencies returns a latency function of a deployment: between data centres,
// and between a client and everything else. Machines whose name starts with
// "client" are clients; the latency within a data centre is a tenth of a
// millisecond.
func Latencies(betweenCentres, toClients time.Duration) func(a, b Machine) time.Duration {
	const local = 100 * time.Microsecond
	client := func(m Machine) bool { return len(m.Name) >= 6 && m.Name[:6] == "client" }
	return func(a, b Machine) time.Duration {
		switch {
		case client(a) || client(b):
			return toClients
		case a.DataCentre != b.DataCentre:
			return betweenCentres
		default:
			return local
		}
	}
}

// ClientName returns the name of a client machine.
func ClientName(i int) string { return fmt.Sprintf("client-%d", i) }
