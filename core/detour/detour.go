// Package detour opens connections to backend servers that a host does not
// reach by itself. A partition often separates a server from some hosts only;
// another host then passes on the bytes of the connection. The package owns the
// choice between the direct path and other hosts.
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
	// directTime bounds an opening on the direct path: six round trips of
	// 40 ms between regions.
	directTime = 250 * time.Millisecond
	// throughTime bounds an opening through other hosts: their opening, and the
	// round trips to them.
	throughTime = 350 * time.Millisecond
	// unreachableTime is how long a server is taken to be out of direct reach.
	unreachableTime = time.Second
	// forgetTime is how long a host that reached a server is tried first.
	forgetTime = time.Minute
	// asked is the number of hosts that are asked at a time. With half of the
	// hosts cut off, one of three reaches the server in seven of eight cases.
	asked = 3
)

// ErrNoHost is the error of openings for which no other host is known.
var ErrNoHost = errors.New("no other host is known")

// Network opens connections.
type Network interface {
	// DialDirect opens a connection to an address.
	DialDirect(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// DialThrough opens a connection to a server that another host passes on.
	DialThrough(ctx context.Context, info host.Info, server group.ServerID) (net.Conn, error)
	// Hosts returns the other hosts without waiting for long.
	Hosts(ctx context.Context) []host.Info
}

// Dialer opens connections to backend servers. It is safe for concurrent use.
type Dialer struct {
	Network Network
	// Observe, if set, receives the result of each opening through a host.
	Observe func(server group.ServerID, through host.ID, err error)

	mu    sync.Mutex
	paths map[group.ServerID]path
}

// path is what is known about the way to a server that could not be reached
// directly.
type path struct {
	// direct is when the direct path is tried again.
	direct time.Time
	// through reached the server last; empty if none did.
	through host.ID
}

// Connect opens a connection to a server. A server that refuses the connection
// is not tried through other hosts: its process is gone.
func (d *Dialer) Connect(ctx context.Context, server catalog.Server) (net.Conn, error) {
	known := d.path(server.ID)
	if !time.Now().Before(known.direct) {
		limited, cancel := context.WithTimeout(ctx, directTime)
		conn, err := d.Network.DialDirect(limited, server.Address)
		cancel()
		if err == nil {
			d.reached(server.ID)
			return conn, nil
		}
		if !silent(err) || ctx.Err() != nil {
			return nil, err
		}
		d.missed(server.ID)
	}
	return d.through(ctx, server.ID, known.through)
}

// silent reports whether an opening failed because nothing came back.
func silent(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) ||
		errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH) || errors.Is(err, syscall.ETIMEDOUT)
}

// through asks some hosts at once and returns the first connection.
func (d *Dialer) through(ctx context.Context, server group.ServerID, first host.ID) (net.Conn, error) {
	hosts := choose(d.Network.Hosts(ctx), first)
	if len(hosts) == 0 {
		return nil, ErrNoHost
	}
	type result struct {
		conn net.Conn
		host host.ID
		err  error
	}
	results := make(chan result, len(hosts))
	limited, cancel := context.WithTimeout(ctx, throughTime)
	for _, info := range hosts {
		go func() {
			conn, err := d.Network.DialThrough(limited, info, server)
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
		d.found(server, r.host)
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

// choose returns the hosts to ask, the given one among them.
func choose(hosts []host.Info, first host.ID) []host.Info {
	hosts = slices.Clone(hosts)
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	if i := slices.IndexFunc(hosts, func(h host.Info) bool { return h.ID == first }); i > 0 {
		hosts[0], hosts[i] = hosts[i], hosts[0]
	}
	return hosts[:min(len(hosts), asked)]
}

func (d *Dialer) path(server group.ServerID) path {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.paths[server]
}

// reached notes that the direct path works.
func (d *Dialer) reached(server group.ServerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.paths, server)
}

// missed notes that the direct path does not work, and forgets servers that
// have not been tried for long.
func (d *Dialer) missed(server group.ServerID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for id, p := range d.paths {
		if now.Sub(p.direct) > forgetTime {
			delete(d.paths, id)
		}
	}
	d.set(server, func(p *path) { p.direct = now.Add(unreachableTime) })
}

func (d *Dialer) found(server group.ServerID, through host.ID) {
	d.mu.Lock()
	d.set(server, func(p *path) { p.through = through })
	d.mu.Unlock()
	if d.Observe != nil {
		d.Observe(server, through, nil)
	}
}

// set changes the path of a server. The caller holds the lock.
func (d *Dialer) set(server group.ServerID, change func(*path)) {
	if d.paths == nil {
		d.paths = map[group.ServerID]path{}
	}
	p := d.paths[server]
	change(&p)
	d.paths[server] = p
}
