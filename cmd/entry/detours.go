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

// relayLimit bounds the connections that a host passes on for others: half of
// today's largest limit of a server, for each of some servers.
const relayLimit = 64

// relayQuiet is how long nothing was passed on before a stopping host takes
// the statements sent through it for finished: longer than nearly all of them
// take.
const relayQuiet = 300 * time.Millisecond

// errUnknownServer is the error of a relay for a server that has no entry.
var errUnknownServer = errors.New("the backend server is not known")

// detours opens connections to backend servers, through other hosts where the
// direct path fails, and passes on connections for other hosts.
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
func (d *detours) Hosts(ctx context.Context) []host.Info { return d.host.peers.list(ctx) }

// connect opens a connection that is passed on for another host. It goes the
// direct way only, so that hosts do not pass it around.
func (d *detours) connect(ctx context.Context, id group.ServerID) (net.Conn, error) {
	server, ok := d.host.book.View().Servers[id]
	if !ok {
		return nil, eris.Wrap(errUnknownServer, string(id))
	}
	return d.DialDirect(ctx, server.Address)
}

func (d *detours) observe(server group.ServerID, through host.ID, err error) {
	d.host.metrics.detours.WithLabelValues(result(err)).Inc()
	problem := ""
	if err != nil {
		problem = err.Error()
	}
	of := d.host.book.View().Servers[server].Group
	d.host.log.Write(context.Background(), logevent.ServerDetour, slog.String("group", string(of)), slog.String("server", string(server)), slog.String("through", string(through)), slog.String("error", problem))
}

// result is the label of a metric for an error.
func result(err error) string {
	if err != nil {
		return "failed"
	}
	return "done"
}
