package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/detour"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/logevent"
	"basilmill/io/peer"
)

// relayLimit bounds the connections that a host relays for other hosts. It allows
// for several servers, with half of the largest connection limit of a server in
// current deployments for each.
const relayLimit = 64

// relayIdleThreshold is how long no bytes must have been relayed before a stopping
// host assumes that no statement is in flight through it. Nearly all statements
// take less time.
const relayIdleThreshold = 300 * time.Millisecond

// errUnknownServer is returned to a host that requests a relay to a server that is
// not in the catalogue.
var errUnknownServer = errors.New("the backend server is not known")

// detours opens connections to backend servers, through another host when the
// direct path fails, and relays connections for other hosts.
type detours struct {
	host   *Host
	dialer detour.Dialer
	relay  peer.Relay
}

func newDetours(h *Host) *detours {
	d := &detours{host: h}
	d.dialer.Network = d
	d.dialer.Observe = d.observe
	d.relay.MaxConnections = relayLimit
	d.relay.Connect = d.connect
	return d
}

// DialDirect implements detour.Network.
func (d *detours) DialDirect(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	return d.host.platform.Connect(ctx, address)
}

// DialThrough implements detour.Network.
func (d *detours) DialThrough(ctx context.Context, info host.Info, server group.ServerID) (net.Conn, error) {
	return peer.DialThrough(ctx, d.host.platform.Connect, info.PeerAddress, server)
}

// Hosts implements detour.Network.
func (d *detours) Hosts(ctx context.Context) []host.Info { return d.host.peers.otherHosts(ctx) }

// connect opens a connection to be relayed for another host. It uses the direct
// path only, so that a connection is never relayed twice.
func (d *detours) connect(ctx context.Context, id group.ServerID) (net.Conn, error) {
	server, ok := d.host.cache.View().Servers[id]
	if !ok {
		return nil, eris.Wrap(errUnknownServer, string(id))
	}
	return d.DialDirect(ctx, server.Address)
}

// observe counts and logs an attempt to connect through another host.
func (d *detours) observe(server group.ServerID, through host.ID, err error) {
	d.host.metrics.detours.WithLabelValues(resultLabel(err)).Inc()
	errorText := ""
	if err != nil {
		errorText = err.Error()
	}
	groupID := d.host.cache.View().Servers[server].Group
	d.host.log.Write(context.Background(), logevent.ServerDetour, slog.String("group", string(groupID)), slog.String("server", string(server)), slog.String("through", string(through)), slog.String("error", errorText))
}

// resultLabel returns the value of the metric label "result" for an error.
func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}
