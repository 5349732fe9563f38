// Package detour opens connections to backend servers, including those that a
// host cannot reach directly. A network partition often separates a server from
// some hosts only; another host can then relay the connection. The package owns
// the choice between the direct path and relays.
package detour

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/group"
	"basilmill/core/host"
)

const (
	// directTimeout bounds the opening of a direct connection: six round trips
	// of 40 ms between regions.
	directTimeout = 250 * time.Millisecond
	// relayTimeout bounds the opening of a connection through relays: the
	// opening by the relay, and the round trips to the relay.
	relayTimeout = 350 * time.Millisecond
	// directRetryBackoff is the pause before the direct path to a server is
	// tried again after it failed.
	directRetryBackoff = time.Second
	// pathRetention is the least time for which the path state of a server, and
	// with it the preferred relay, is kept after a retry of the direct path
	// was due.
	pathRetention = time.Minute
	// maxRelays is the number of hosts that are tried at the same time. If half
	// of the hosts cannot reach the server, at least one of three can in seven
	// of eight cases.
	maxRelays = 3
)

// ErrNoHost is returned if the direct path fails and no other host is known that
// could relay the connection.
var ErrNoHost = errors.New("no other host is known")

// Network opens single connections, directly or through a relay, and lists the
// hosts that can act as relays.
type Network interface {
	// DialDirect opens a connection to an address.
	DialDirect(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// DialThrough opens a connection to a server that another host relays.
	DialThrough(ctx context.Context, info host.Info, server group.ServerID) (net.Conn, error)
	// Hosts returns the other hosts. It must not block for long.
	Hosts(ctx context.Context) []host.Info
}

// Dialer opens connections to backend servers, directly if possible and else
// through other hosts. It is safe for concurrent use.
type Dialer struct {
	Network Network
	// Observe, if set, is called with the result of each opening through
	// relays. The argument relay is empty after a failure.
	Observe func(server group.ServerID, relay host.ID, err error)

	mu    sync.Mutex
	paths map[group.ServerID]pathState
}

// pathState is the state of the paths to a server that could not be reached
// directly.
type pathState struct {
	// retryDirectAt is the time from which the direct path is tried again.
	retryDirectAt time.Time
	// lastRelay is the host that last relayed a connection to the server;
	// empty if none did.
	lastRelay host.ID
}

// Connect opens a connection to a server. If the server refuses the direct
// connection, no relay is tried: the network path works and the server's process
// is not running.
func (d *Dialer) Connect(ctx context.Context, server catalog.Server) (net.Conn, error) {
	known := d.knownPath(server.ID)
	if !time.Now().Before(known.retryDirectAt) {
		dialCtx, cancel := context.WithTimeout(ctx, directTimeout)
		conn, err := d.Network.DialDirect(dialCtx, server.Address)
		cancel()
		if err == nil {
			d.directSucceeded(server.ID)
			return conn, nil
		}
		if !isUnreachable(err) || ctx.Err() != nil {
			return nil, err
		}
		d.directFailed(server.ID)
	}
	return d.dialThroughRelays(ctx, server.ID, known.lastRelay)
}

// isUnreachable reports whether a connection could not be opened because the
// server did not answer or the network has no path to it.
func isUnreachable(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.ETIMEDOUT)
}

// dialThroughRelays tries some hosts concurrently and returns the first
// connection that one of them opened. It closes the others.
func (d *Dialer) dialThroughRelays(ctx context.Context, server group.ServerID, preferred host.ID) (net.Conn, error) {
	hosts := chooseRelays(d.Network.Hosts(ctx), preferred)
	if len(hosts) == 0 {
		return nil, ErrNoHost
	}
	type result struct {
		conn net.Conn
		host host.ID
		err  error
	}
	results := make(chan result, len(hosts))
	dialCtx, cancel := context.WithTimeout(ctx, relayTimeout)
	for _, info := range hosts {
		go func() {
			conn, err := d.Network.DialThrough(dialCtx, info, server)
			results <- result{conn, info.ID, err}
		}()
	}
	var err error
	for i := range hosts {
		r := <-results
		if r.err != nil {
			err = r.err
			continue
		}
		cancel()
		d.relaySucceeded(server, r.host)
		go func() {
			for range len(hosts) - 1 - i {
				if late := <-results; late.err == nil {
					// The connection was not needed, whatever Close returns.
					_ = late.conn.Close()
				}
			}
		}()
		return r.conn, nil
	}
	cancel()
	if d.Observe != nil {
		d.Observe(server, "", err)
	}
	return nil, eris.Wrapf(err, "reach %s through %d hosts", server, len(hosts))
}

// chooseRelays returns up to maxRelays hosts in random order. The preferred host,
// if it is listed, is among them.
func chooseRelays(hosts []host.Info, preferred host.ID) []host.Info {
	hosts = slices.Clone(hosts)
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	if i := slices.IndexFunc(hosts, func(h host.Info) bool { return h.ID == preferred }); i > 0 {
		hosts[0], hosts[i] = hosts[i], hosts[0]
	}
	return hosts[:min(len(hosts), maxRelays)]
}

// knownPath returns the path state of a server, zero if there is none.
func (d *Dialer) knownPath(server group.ServerID) pathState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths[server]
}

// directSucceeded notes that the direct path to a server works.
func (d *Dialer) directSucceeded(server group.ServerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.paths, server)
}

// directFailed notes that the direct path to a server does not work. It also
// removes the state of servers that has expired.
func (d *Dialer) directFailed(server group.ServerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for id, p := range d.paths {
		if now.Sub(p.retryDirectAt) > pathRetention {
			delete(d.paths, id)
		}
	}
	d.updatePath(server, func(p *pathState) { p.retryDirectAt = now.Add(directRetryBackoff) })
}

// relaySucceeded notes which relay opened a connection to a server.
func (d *Dialer) relaySucceeded(server group.ServerID, relay host.ID) {
	d.mu.Lock()
	d.updatePath(server, func(p *pathState) { p.lastRelay = relay })
	d.mu.Unlock()
	if d.Observe != nil {
		d.Observe(server, relay, nil)
	}
}

// updatePath changes the path state of a server. The caller holds the lock.
func (d *Dialer) updatePath(server group.ServerID, change func(*pathState)) {
	if d.paths == nil {
		d.paths = map[group.ServerID]pathState{}
	}
	p := d.paths[server]
	change(&p)
	d.paths[server] = p
}
