package detour_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/detour"
	"basilmill/core/group"
	"basilmill/core/host"
)

// fakeNetwork is a Network with one server that some hosts can reach.
type fakeNetwork struct {
	mu           sync.Mutex
	refuseDirect bool
	directWorks  bool
	hosts        []host.Info
	relayWorks   map[host.ID]bool
	directDials  int
	relaysTried  []host.ID
	openConns    int
}

// countedConn is a connection that its network counts while it is open.
type countedConn struct {
	net.Conn
	network *fakeNetwork
}

func (c countedConn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.openConns--
	return nil
}

func (n *fakeNetwork) connection() net.Conn {
	n.openConns++
	return countedConn{network: n}
}

func (n *fakeNetwork) DialDirect(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.directDials++
	switch {
	case n.refuseDirect:
		return nil, syscall.ECONNREFUSED
	case n.directWorks:
		return n.connection(), nil
	}
	n.mu.Unlock()
	<-ctx.Done()
	n.mu.Lock()
	return nil, ctx.Err()
}

func (n *fakeNetwork) DialThrough(ctx context.Context, info host.Info, _ group.ServerID) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relaysTried = append(n.relaysTried, info.ID)
	if n.relayWorks[info.ID] {
		return n.connection(), nil
	}
	n.mu.Unlock()
	<-ctx.Done()
	n.mu.Lock()
	return nil, ctx.Err()
}

// withLock runs f while holding the lock of the network.
func (n *fakeNetwork) withLock(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *fakeNetwork) Hosts(context.Context) []host.Info { return n.hosts }

func hosts(ids ...host.ID) (all []host.Info) {
	for _, id := range ids {
		all = append(all, host.Info{ID: id})
	}
	return all
}

var server = catalog.Server{ID: "a"}

// A host that a network partition separates from a server must reach it through
// another host.
func TestRelayIsUsedWhenDirectPathFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{hosts: hosts("h2", "h3"), relayWorks: map[host.ID]bool{"h3": true}}
		d := detour.Dialer{Network: n}
		_, err := d.Connect(context.Background(), server)
		assert.NilError(t, err)
		// The direct path must not be tried again before directRetryBackoff
		// has passed.
		_, err = d.Connect(context.Background(), server)
		assert.NilError(t, err)
		n.withLock(func() { assert.Equal(t, n.directDials, 1) })
		// It must be used again once it works.
		n.withLock(func() { n.directWorks = true })
		time.Sleep(2 * time.Second)
		n.withLock(func() { n.relaysTried = nil })
		_, err = d.Connect(context.Background(), server)
		assert.NilError(t, err)
		n.withLock(func() { assert.Equal(t, len(n.relaysTried), 0) })
	})
}

// A server whose process has ended refuses connections. Trying relays would delay
// the search for a new primary.
func TestRefusedConnectionIsNotRelayed(t *testing.T) {
	n := &fakeNetwork{refuseDirect: true, hosts: hosts("h2"), relayWorks: map[host.ID]bool{"h2": true}}
	d := detour.Dialer{Network: n}
	_, err := d.Connect(context.Background(), server)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED))
	assert.Equal(t, len(n.relaysTried), 0)
}

// Servers allow few connections, so that those that are not needed must be
// closed.
func TestUnneededConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{hosts: hosts("h2", "h3", "h4"), relayWorks: map[host.ID]bool{"h2": true, "h3": true, "h4": true}}
		d := detour.Dialer{Network: n}
		_, err := d.Connect(context.Background(), server)
		assert.NilError(t, err)
		synctest.Wait()
		n.withLock(func() { assert.Equal(t, n.openConns, 1) })
	})
}

// The host that last reached the server must be among the few relays that are
// tried.
func TestLastWorkingRelayIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{hosts: hosts("h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"), relayWorks: map[host.ID]bool{"h9": true}}
		d := detour.Dialer{Network: n}
		// The probability that fifty random choices of three out of eight hosts
		// all miss the one that works is below 1e-10.
		reached := false
		for range 50 {
			if _, err := d.Connect(context.Background(), server); err == nil {
				reached = true
				break
			}
		}
		assert.Assert(t, reached)
		for range 20 {
			_, err := d.Connect(context.Background(), server)
			assert.NilError(t, err)
		}
	})
}

// Connecting to a server that no host reaches must fail within the timeouts.
func TestUnreachableServerFailsWithinTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{hosts: hosts("h2", "h3")}
		d := detour.Dialer{Network: n}
		started := time.Now()
		_, err := d.Connect(context.Background(), server)
		assert.Assert(t, err != nil)
		assert.Assert(t, time.Since(started) < time.Second)
		n.hosts = nil
		_, err = d.Connect(context.Background(), server)
		assert.Assert(t, errors.Is(err, detour.ErrNoHost))
	})
}
