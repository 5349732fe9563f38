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

// VirtualNetwork is an in-memory network for use inside a bubble of
// testing/synctest. There is a separate link between any two machines, so that
// a single machine can be isolated.
type VirtualNetwork struct {
	// Latency returns the one-way latency between two machines.
	Latency func(a, b Machine) time.Duration

	mu       sync.Mutex
	net      *pipenet.Network
	machines []Machine
	lastPort uint16
}

// NewVirtualNetwork returns a network with the given one-way latencies.
func NewVirtualNetwork(latency func(a, b Machine) time.Duration) *VirtualNetwork {
	return &VirtualNetwork{Latency: latency, net: pipenet.New()}
}

// linkEnd returns the name of a machine in pipenet, which has links between
// data centres: each machine is a data centre of its own there.
func linkEnd(name string) host.DataCentre { return host.DataCentre(name) }

// ListenAddress implements Network.
func (v *VirtualNetwork) ListenAddress(Machine) netip.AddrPort {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.lastPort++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), v.lastPort)
}

// ForMachine implements Network.
func (v *VirtualNetwork) ForMachine(m Machine) serve.Network {
	v.addMachine(m)
	return serve.Network{
		Listen: func(_ context.Context, _, address string) (net.Listener, error) {
			at, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, err
			}
			return v.net.Listen(linkEnd(m.Name), at)
		},
		Dial: v.net.Dialer(linkEnd(m.Name), netip.AddrFrom4([4]byte{127, 0, 0, 1})),
	}
}

func (v *VirtualNetwork) addMachine(m Machine) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, o := range v.machines {
		if o == m {
			return
		}
	}
	v.machines = append(v.machines, m)
	for _, o := range v.machines {
		v.net.SetLatency(linkEnd(m.Name), linkEnd(o.Name), v.Latency(m, o))
	}
}

// SetLinkState sets the state of the link between two machines.
func (v *VirtualNetwork) SetLinkState(a, b string, state pipenet.LinkState) {
	v.net.SetLinkState(linkEnd(a), linkEnd(b), state)
}

// Isolate sets the state of all links of a machine, except those to the given
// machines.
func (v *VirtualNetwork) Isolate(name string, state pipenet.LinkState, except ...string) {
	v.mu.Lock()
	machines := append([]Machine(nil), v.machines...)
	v.mu.Unlock()
	for _, m := range machines {
		if m.Name != name && !containsString(except, m.Name) {
			v.SetLinkState(name, m.Name, state)
		}
	}
}

// Partition sets the state of all links between the named machines and all
// others.
func (v *VirtualNetwork) Partition(state pipenet.LinkState, names ...string) {
	for _, name := range names {
		v.Isolate(name, state, names...)
	}
}

// Heal sets all links to pipenet.Up.
func (v *VirtualNetwork) Heal() {
	v.mu.Lock()
	machines := append([]Machine(nil), v.machines...)
	v.mu.Unlock()
	for _, m := range machines {
		v.Isolate(m.Name, pipenet.Up)
	}
}

// IsolateDataCentre sets the state of all links between the machines of a data
// centre and all others.
func (v *VirtualNetwork) IsolateDataCentre(dataCentre host.DataCentre, state pipenet.LinkState) {
	v.mu.Lock()
	machines := append([]Machine(nil), v.machines...)
	v.mu.Unlock()
	for _, a := range machines {
		for _, b := range machines {
			if a.DataCentre == dataCentre && b.DataCentre != dataCentre {
				v.SetLinkState(a.Name, b.Name, state)
			}
		}
	}
}

// Close resets all connections.
func (v *VirtualNetwork) Close() { v.net.Close() }

// ClientDialer returns the dial function of a client machine in a data centre.
func (v *VirtualNetwork) ClientDialer(name string, dataCentre host.DataCentre) func(ctx context.Context, network, address string) (net.Conn, error) {
	return v.ForMachine(Machine{name, dataCentre}).Dial
}

// Latencies returns a function that returns the one-way latency between two
// machines: toClients if one of them is a client, betweenCentres between
// different data centres, and 0.1 ms within a data centre. Clients are the
// machines whose names start with "client".
func Latencies(betweenCentres, toClients time.Duration) func(a, b Machine) time.Duration {
	const localLatency = 100 * time.Microsecond
	isClient := func(m Machine) bool { return len(m.Name) >= 6 && m.Name[:6] == "client" }
	return func(a, b Machine) time.Duration {
		switch {
		case isClient(a) || isClient(b):
			return toClients
		case a.DataCentre != b.DataCentre:
			return betweenCentres
		default:
			return localLatency
		}
	}
}

// ClientName returns the name of a client machine.
func ClientName(i int) string { return fmt.Sprintf("client-%d", i) }
