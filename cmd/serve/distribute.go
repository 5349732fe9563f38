package serve

import (
	"context"
	"log/slog"
	"net/netip"
	"slices"
	"time"

	"basilmill/core/control"
	"basilmill/core/distribution"
	"basilmill/core/host"
	"basilmill/core/logevent"
	"basilmill/io/peer"
	"basilmill/io/platform"
)

const (
	// watchWait bounds a watch or a pull without a change. Hosts report the
	// version in force with each pull, so it bounds the age of that report. With
	// pullTimeout it bounds the time in which a silent relay or platform is
	// noticed, which must leave room for another attempt within promisedTime.
	watchWait = 2 * time.Second
	// hostListInterval is the time between two reads of the host list. Only
	// relays read it; the others receive it with their pulls.
	hostListInterval = 2 * time.Second
	// retryPause follows a failed watch or pull.
	retryPause = 200 * time.Millisecond
	// pullTimeout bounds a pull beyond its wait.
	pullTimeout = 2 * time.Second
	// promisedTime is the time within which an accepted configuration is in
	// force everywhere. A host without contact for longer reports it.
	promisedTime = 7 * time.Second
)

// kinds are the kinds of objects that hosts use.
var kinds = []platform.Kind{platform.KindGroup, platform.KindAccount}

// distributor keeps the host's objects and host list up to date.
type distributor struct {
	post     func(control.Input)
	snapshot func() *control.Snapshot
	platform platform.API
	peers    *peer.Client
	// seeds are addresses of other hosts from the settings. They are asked
	// when the platform does not answer at the start.
	seeds []netip.AddrPort
	log   *logevent.Logger
	hosts hostList
}

// watch runs until the context ends. A relay watches the platform; any other
// host pulls from a relay of its data centre, and from the platform or any
// host while no relay answers.
func (d *distributor) watch(ctx context.Context) error {
	failed := 0
	for ctx.Err() == nil {
		s := d.snapshot()
		if d.once(ctx, s, failed) {
			failed = 0
			continue
		}
		failed++
		pause(ctx, retryPause)
	}
	return ctx.Err()
}

// once makes one attempt and alternates between sources after failures.
func (d *distributor) once(ctx context.Context, s *control.Snapshot, failed int) bool {
	relays := others(s.Relays(), s.Self.ID)
	fromPlatform := s.IsRelay() || len(relays) == 0
	if failed%2 == 1 {
		fromPlatform = !fromPlatform
	}
	if fromPlatform {
		return d.watchPlatform(ctx, s, failed)
	}
	if len(relays) == 0 {
		relays = others(s.Hosts, s.Self.ID)
	}
	if failed > 1 || len(relays) == 0 {
		// No relay of the own data centre answers; any host may know more.
		relays = append(others(s.Hosts, s.Self.ID), d.seedHosts()...)
	}
	if len(relays) == 0 {
		return d.watchPlatform(ctx, s, failed)
	}
	return d.pull(ctx, s, relays[failed/2%len(relays)], failed)
}

// attemptTime bounds one attempt. A host without a configuration has nothing
// to wait for and tries the next source sooner; the bound rises with the
// failures in case the first transfer is long.
func attemptTime(s *control.Snapshot, failed int) time.Duration {
	if s.Version == 0 {
		return pullTimeout * time.Duration(1+failed/4)
	}
	return watchWait + pullTimeout
}

func others(hosts []host.Info, self host.ID) []host.Info {
	return slices.DeleteFunc(slices.Clone(hosts), func(h host.Info) bool { return h.ID == self })
}

func (d *distributor) seedHosts() []host.Info {
	out := make([]host.Info, len(d.seeds))
	for i, address := range d.seeds {
		out[i] = host.Info{ID: host.ID("seed " + address.String()), PeerAddress: address}
	}
	return out
}

func (d *distributor) watchPlatform(ctx context.Context, s *control.Snapshot, failed int) bool {
	limited, cancel := context.WithTimeout(ctx, attemptTime(s, failed))
	defer cancel()
	items, err := d.platform.Watch(limited, platform.Version(s.Version), watchWait, kinds...)
	if err != nil {
		d.post(control.PlatformFailed{})
		if ctx.Err() == nil {
			d.log.Write(ctx, logevent.PlatformUnavailable, slog.String("Error", err.Error()))
		}
		return false
	}
	d.post(control.PlatformAnswered{})
	d.receive(ctx, updateOf(s.Version, items))
	return true
}

func updateOf(after distribution.Version, items platform.Items) distribution.Update {
	u := distribution.Update{After: after, Version: distribution.Version(items.Version)}
	for _, o := range items.Items {
		u.Objects = append(u.Objects, distribution.Object{
			Key:     distribution.Key{Kind: distribution.Kind(o.Kind), Name: o.Name},
			Version: distribution.Version(o.Version),
			Value:   o.Value,
		})
	}
	return u
}

// receive posts an update and waits until it is in force, so that the next
// request asks from its version.
func (d *distributor) receive(ctx context.Context, u distribution.Update) {
	d.post(control.ObjectsReceived{Update: u})
	if u.Version <= u.After {
		return
	}
	for s := d.snapshot(); s.Version < u.Version; s = d.snapshot() {
		select {
		case <-ctx.Done():
			return
		case <-s.Changed:
		}
	}
}

func (d *distributor) pull(ctx context.Context, s *control.Snapshot, from host.Info, failed int) bool {
	ctx, cancel := context.WithTimeout(ctx, attemptTime(s, failed))
	defer cancel()
	reply, relay, err := d.peers.Pull(ctx, from, peer.Pull{
		After:          s.Version,
		WaitTimeout:    watchWait,
		AppliedVersion: s.Version,
		Applied:        s.Applied,
		HostsDigest:    d.hosts.digest(),
	})
	if err != nil {
		d.post(control.HostFailed{ID: from.ID})
		return false
	}
	d.post(control.HostContacted{Info: relay, Applied: reply.Update.Version, Summary: reply.Applied})
	if reply.Current {
		d.post(control.RelayAnswered{})
	}
	if reply.Hosts != nil {
		d.hosts.set(reply.Hosts)
		d.post(control.HostsListed{Hosts: reply.Hosts})
	}
	d.receive(ctx, reply.Update)
	return true
}

// readHosts keeps the host list up to date on relays, and on a host that has
// none yet. It also tells the relays of the other data centres what is in
// force here.
func (d *distributor) readHosts(ctx context.Context) error {
	for ctx.Err() == nil {
		s := d.snapshot()
		if s.IsRelay() || !d.hosts.known() {
			d.readHostList(ctx)
			d.exchange(ctx, s)
		}
		pause(ctx, hostListInterval)
	}
	return ctx.Err()
}

func (d *distributor) readHostList(ctx context.Context) {
	hosts, err := d.platform.Hosts(ctx)
	if err != nil {
		return
	}
	if d.hosts.set(hosts) {
		d.post(control.HostsListed{Hosts: hosts})
	}
}

// exchange pulls without waiting from one relay of each other data centre, so
// that every relay knows which version is in force where, and learns objects
// that its own data centre cannot get from the platform.
func (d *distributor) exchange(ctx context.Context, s *control.Snapshot) {
	if !s.IsRelay() {
		return
	}
	for _, relay := range s.RemoteRelays() {
		d.exchangeWith(ctx, s, relay)
	}
}

func (d *distributor) exchangeWith(ctx context.Context, s *control.Snapshot, relay host.Info) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, from, err := d.peers.Pull(ctx, relay, peer.Pull{
		After: s.Version, AppliedVersion: s.Version, Applied: s.Applied, HostsDigest: d.hosts.digest(),
	})
	if err != nil {
		d.post(control.HostFailed{ID: relay.ID})
		return
	}
	d.post(control.HostContacted{Info: from, Applied: reply.Update.Version, Summary: reply.Applied})
	d.post(control.ObjectsReceived{Update: reply.Update})
}

// reportStaleness logs when the host has been out of contact for longer than
// the promised time.
func (d *distributor) reportStaleness(ctx context.Context) error {
	for ctx.Err() == nil {
		if age := time.Since(d.snapshot().LastContact); age > promisedTime {
			d.log.Write(ctx, logevent.ConfigurationStale, slog.Duration("Age", age))
		}
		pause(ctx, time.Second)
	}
	return ctx.Err()
}
