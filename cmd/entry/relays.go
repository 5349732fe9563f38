package entry

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/distribution"
	"basilmill/core/host"
	"basilmill/core/logevent"
	"basilmill/core/placement"
	"basilmill/io/peer"
)

// relays reads the objects of the store, from the store or through the relays of the
// data centre, and is a relay for other hosts. It implements
// distribution.RelayNetwork.
type relays struct {
	host     *Host
	relay    distribution.Relay
	follower distribution.Follower
	client   *peer.Client

	mu sync.Mutex
	// ranked is the order of the hosts of the data centre, as of the version of the
	// list of hosts.
	ranked  []host.Info
	version int64
}

func newRelays(h *Host) *relays {
	r := &relays{host: h}
	r.relay.Clock = h.platform.Clock
	r.relay.OnIgnore = r.observeIgnored
	r.client = peer.NewClient(h.info, func(ctx context.Context, _, address string) (net.Conn, error) {
		target, err := netip.ParseAddrPort(address)
		if err != nil {
			return nil, err
		}
		return h.platform.Connect(ctx, target)
	})
	r.follower = distribution.Follower{
		Self: h.settings.HostID, Store: h.platform.Objects, Relay: &r.relay, Network: r, OnAvoid: r.observeAvoidance,
		Eras: h.platform.Eras, FollowOthers: h.hasAccounts,
	}
	return r
}

// source returns the source of the catalogue.
func (r *relays) source() catalog.Source {
	if r.host.platform.Objects == nil {
		return r.host.platform.Source
	}
	return r.host.platform.Catalog(&r.follower)
}

// Ranked implements distribution.RelayNetwork.
func (r *relays) Ranked() []host.Info {
	hosts, version := r.host.peers.knownHosts()
	r.mu.Lock()
	defer r.mu.Unlock()
	if version != r.version {
		r.ranked, r.version = r.rank(hosts), version
	}
	return r.ranked
}

// AwaitRanked implements distribution.RelayNetwork.
func (r *relays) AwaitRanked(ctx context.Context) error { return r.host.peers.awaitHosts(ctx) }

// rank returns the hosts of this host's data centre, with this host, in the order in
// which they are relays.
func (r *relays) rank(hosts []host.Info) []host.Info {
	self := r.host.info()
	local := []host.Info{self}
	for _, h := range hosts {
		if h.DataCentre == self.DataCentre && h.ID != self.ID {
			local = append(local, h)
		}
	}
	return placement.Relays(self.DataCentre, local, len(local))
}

// Pull implements distribution.RelayNetwork.
func (r *relays) Pull(ctx context.Context, info host.Info, kind distribution.Kind, after distribution.Version, wait time.Duration) (distribution.Update, bool, error) {
	reply, _, err := r.client.Pull(ctx, info, peer.Pull{Kind: kind, After: after, WaitTimeout: wait})
	result := "current"
	switch {
	case err != nil:
		result = "failed"
	case !reply.Current:
		result = "not current"
	}
	r.host.metrics.pulls.WithLabelValues(result).Inc()
	return reply.Update, reply.Current, err
}

// observeIgnored counts and logs that the copy for other hosts leaves an object out.
func (r *relays) observeIgnored(ignored distribution.Object, held distribution.Version) {
	r.host.metrics.objectsIgnored.WithLabelValues(string(ignored.Key.Kind)).Inc()
	r.host.log.Write(context.Background(), logevent.ObjectIgnored, slog.String("kind", string(ignored.Key.Kind)), slog.String("object", ignored.Key.Name),
		slog.Int64("revision", ignored.Version.Revision()), slog.Int64("era", int64(ignored.Version.Era())),
		slog.Int64("held_revision", held.Revision()), slog.Int64("held_era", int64(held.Era())))
}

// observeAvoidance logs that a relay is avoided.
func (r *relays) observeAvoidance(relay host.ID, kind distribution.Kind, cause error) {
	r.host.log.Write(context.Background(), logevent.RelayAvoided, slog.String("relay", string(relay)),
		slog.String("kind", string(kind)), slog.String("reason", cause.Error()))
}
