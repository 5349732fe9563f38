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

// network is a network in which some hosts reach the server.
type network struct {
	mu      sync.Mutex
	refused bool
	direct  bool
	hosts   []host.Info
	reaches map[host.ID]bool
	tries   int // of the direct path
	asked   []host.ID
	open    int
}

// counted is a connection that counts itself until it is closed.
type counted struct {
	net.Conn
	network *network
}

func (c counted) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.network.open--
	return nil
}

func (n *network) connection() net.Conn {
	n.open++
	return counted{network: n}
}

func (n *network) DialDirect(ctx context.Context, _ netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tries++
	switch {
	case n.refused:
		return nil, syscall.ECONNREFUSED
	case n.direct:
		return n.connection(), nil
	}
	n.mu.Unlock()
	<-ctx.Done()
	n.mu.Lock()
	return nil, ctx.Err()
}

func (n *network) DialThrough(ctx context.Context, info host.Info, _ group.ServerID) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.asked = append(n.asked, info.ID)
	if n.reaches[info.ID] {
		return n.connection(), nil
	}
	n.mu.Unlock()
	<-ctx.Done()
	n.mu.Lock()
	return nil, ctx.Err()
}

// with runs f while no call changes the network.
func (n *network) with(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
}

func (n *network) Hosts(context.Context) []host.Info { return n.hosts }

func hosts(ids ...host.ID) (all []host.Info) {
	for _, id := range ids {
		all = append(all, host.Info{ID: id})
	}
	return all
}

var server = catalog.Server{ID: "a"}

// A host that a partition separates from a server must still reach it.
func TestOtherHostPassesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{hosts: hosts("h2", "h3"), reaches: map[host.ID]bool{"h3": true}}
		d := detour.Dialer{Network: n}
		_, err := d.Connect(context.Background(), server)
		assert.NilError(t, err)
		// The direct path is not tried again at once.
		_, err = d.Connect(context.Background(), server)
		assert.NilError(t, err)
		n.with(func() { assert.Equal(t, n.tries, 1) })
		// It is used again when it works.
		n.with(func() { n.direct = true })
		time.Sleep(2 * time.Second)
		n.with(func() { n.asked = nil })
		_, err = d.Connect(context.Background(), server)
		assert.NilError(t, err)
		n.with(func() { assert.Equal(t, len(n.asked), 0) })
	})
}

// A server whose process is gone refuses connections; asking other hosts would
// delay the search for a new primary.
func TestRefusedConnectionIsNotPassedOn(t *testing.T) {
	n := &network{refused: true, hosts: hosts("h2"), reaches: map[host.ID]bool{"h2": true}}
	d := detour.Dialer{Network: n}
	_, err := d.Connect(context.Background(), server)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED))
	assert.Equal(t, len(n.asked), 0)
}

// Servers allow few connections: those that were not needed must be closed.
func TestOneConnectionIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{hosts: hosts("h2", "h3", "h4"), reaches: map[host.ID]bool{"h2": true, "h3": true, "h4": true}}
		d := detour.Dialer{Network: n}
		_, err := d.Connect(context.Background(), server)
		assert.NilError(t, err)
		synctest.Wait()
		n.with(func() { assert.Equal(t, n.open, 1) })
	})
}

// The host that reached the server last is asked first, among few.
func TestLastHostIsAskedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{hosts: hosts("h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"), reaches: map[host.ID]bool{"h9": true}}
		d := detour.Dialer{Network: n}
		// The chance that fifty choices miss one of eight hosts is below 1e-10.
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

// A server that nobody reaches must fail within the time of an opening.
func TestDarkServerFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{hosts: hosts("h2", "h3")}
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
