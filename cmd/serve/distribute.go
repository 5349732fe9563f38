package serve

import (
	"context"
	"errors"
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
	// watchWaitTimeout bounds how long a watch or a pull is held open while
	// nothing changes. Hosts report the version in force with each pull, so it
	// bounds the age of that report. Together with pullTimeout it bounds the time
	// until an unresponsive relay or platform is detected, which must leave time
	// for another attempt within configTTL.
	watchWaitTimeout = 2 * time.Second
	// hostListInterval is the time between two reads of the host list. Only
	// relays, and hosts that have no list yet, read it from the platform; other
	// hosts receive it with their pulls.
	hostListInterval = 2 * time.Second
	// retryBackoff is the pause after a failed watch or pull.
	retryBackoff = 200 * time.Millisecond
	// pullTimeout bounds a watch or a pull in addition to the time for which it
	// is held open.
	pullTimeout = 2 * time.Second
	// configTTL is the time within which an accepted configuration is in force on
	// every host. A host whose last contact is longer ago logs this and is not
	// ready for callers.
	configTTL = 7 * time.Second
)

// objectKinds are the kinds of platform objects that hosts use.
var objectKinds = []platform.Kind{platform.KindGroup, platform.KindAccount}

// distributor keeps the host's copies of the platform's objects and host list
// up to date. It gets them from the platform or from other hosts and posts
// them to the control thread.
type distributor struct {
	post     func(control.Input)
	snapshot func() *control.Snapshot
	platform platform.API
	peers    *peer.Client
	// seeds are the peer addresses of other hosts from the settings. With them a
	// host that knows no other host can start while the platform does not answer.
	// Later they are tried after repeated failures.
	seeds []netip.AddrPort
	log   *logevent.Logger
	// hosts is the host list, which is also passed on to other hosts.
	hosts hostList
}

// syncObjects keeps the objects up to date until the context ends. A relay
// watches the platform; any other host pulls from a relay of its data centre.
// While that source does not answer, the host alternates between the platform
// and other hosts, at last any host.
func (d *distributor) syncObjects(ctx context.Context) error {
	failures := 0
	for ctx.Err() == nil {
		s := d.snapshot()
		if d.attemptSync(ctx, s, failures) {
			failures = 0
			continue
		}
		failures++
		sleep(ctx, retryBackoff)
	}
	return ctx.Err()
}

// attemptSync makes one attempt and reports whether it succeeded. The number of
// failures in a row selects the source.
func (d *distributor) attemptSync(ctx context.Context, s *control.Snapshot, failures int) bool {
	sources := otherHosts(s.Relays(), s.Self.ID)
	fromPlatform := s.IsRelay() || len(sources) == 0
	if failures%2 == 1 {
		fromPlatform = !fromPlatform
	}
	if fromPlatform {
		return d.watchPlatform(ctx, s, failures)
	}
	if len(sources) == 0 {
		sources = otherHosts(s.Hosts, s.Self.ID)
	}
	if failures > 1 || len(sources) == 0 {
		// No relay of this host's data centre answers, so any host is tried.
		sources = append(otherHosts(s.Hosts, s.Self.ID), d.seedHosts()...)
	}
	if len(sources) == 0 {
		return d.watchPlatform(ctx, s, failures)
	}
	return d.pull(ctx, s, sources[failures/2%len(sources)], failures)
}

// attemptTimeout returns the bound of one attempt. A host without a
// configuration has no changes to wait for, so it tries the next source
// sooner. Its bound grows with the number of failures, in case the first
// transfer takes long.
func attemptTimeout(s *control.Snapshot, failures int) time.Duration {
	if s.Version == 0 {
		return pullTimeout * time.Duration(1+failures/4)
	}
	return watchWaitTimeout + pullTimeout
}

// otherHosts returns a copy of the list without this host.
func otherHosts(hosts []host.Info, self host.ID) []host.Info {
	return slices.DeleteFunc(slices.Clone(hosts), func(h host.Info) bool { return h.ID == self })
}

// seedHosts returns the seeds as hosts. Their IDs are placeholders, because
// only the addresses are known.
func (d *distributor) seedHosts() []host.Info {
	out := make([]host.Info, len(d.seeds))
	for i, address := range d.seeds {
		out[i] = host.Info{ID: host.ID("seed " + address.String()), PeerAddress: address}
	}
	return out
}

// watchPlatform waits for changes of the platform's objects once and applies
// them.
func (d *distributor) watchPlatform(ctx context.Context, s *control.Snapshot, failures int) bool {
	attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout(s, failures))
	defer cancel()
	after := s.Version
	items, err := d.platform.Watch(attemptCtx, after, watchWaitTimeout, objectKinds...)
	if errors.Is(err, distribution.ErrHistoryGone) {
		after = 0
		items, err = d.platform.Watch(attemptCtx, after, watchWaitTimeout, objectKinds...)
	}
	if err != nil {
		d.post(control.PlatformFailed{})
		if ctx.Err() == nil {
			d.log.Write(ctx, logevent.PlatformUnavailable, slog.String("Error", err.Error()))
		}
		return false
	}
	d.post(control.PlatformAnswered{})
	d.applyUpdate(ctx, updateOf(after, items))
	return true
}

// updateOf converts the platform's answer to a watch that started after the
// given version.
func updateOf(after distribution.Version, items platform.Items) distribution.Update {
	u := distribution.Update{After: after, Version: items.Version}
	for _, o := range items.Items {
		u.Objects = append(u.Objects, distribution.Object{
			Key:     distribution.Key{Kind: distribution.Kind(o.Kind), Name: o.Name},
			Version: o.Version,
			Value:   o.Value,
		})
	}
	return u
}

// applyUpdate posts an update and waits until it is in force, so that the
// next request starts from its version.
func (d *distributor) applyUpdate(ctx context.Context, u distribution.Update) {
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

// pull requests changes from another host once and applies them.
func (d *distributor) pull(ctx context.Context, s *control.Snapshot, from host.Info, failures int) bool {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout(s, failures))
	defer cancel()
	reply, responder, err := d.peers.Pull(ctx, from, peer.Pull{
		After:          s.Version,
		WaitTimeout:    watchWaitTimeout,
		AppliedVersion: s.Version,
		Applied:        s.Applied,
		HostsDigest:    d.hosts.digest(),
	})
	if err != nil {
		d.post(control.HostFailed{ID: from.ID})
		return false
	}
	d.post(control.HostContacted{Info: responder, Applied: reply.Update.Version, Summary: reply.Applied})
	if reply.Current {
		d.post(control.RelayAnswered{})
	}
	if reply.Hosts != nil {
		d.hosts.set(reply.Hosts)
		d.post(control.HostsListed{Hosts: reply.Hosts})
	}
	d.applyUpdate(ctx, reply.Update)
	return true
}

// syncHostList keeps the host list up to date on relays, and on a host that
// has none yet. On relays it also exchanges the versions in force with the
// relays of the other data centres.
func (d *distributor) syncHostList(ctx context.Context) error {
	for ctx.Err() == nil {
		s := d.snapshot()
		if s.IsRelay() || !d.hosts.known() {
			d.readHostList(ctx)
			d.pullFromRemoteRelays(ctx, s)
		}
		sleep(ctx, hostListInterval)
	}
	return ctx.Err()
}

// readHostList reads the host list from the platform once. After a failure
// the last list stays valid.
func (d *distributor) readHostList(ctx context.Context) {
	hosts, err := d.platform.Hosts(ctx)
	if err != nil {
		return
	}
	if d.hosts.set(hosts) {
		d.post(control.HostsListed{Hosts: hosts})
	}
}

// pullFromRemoteRelays pulls, without waiting for changes, from one relay of
// each other data centre. This way every relay knows which version is in
// force in each data centre, and receives objects that its data centre cannot
// get from the platform. On a host that is not a relay it does nothing.
func (d *distributor) pullFromRemoteRelays(ctx context.Context, s *control.Snapshot) {
	if !s.IsRelay() {
		return
	}
	for _, relay := range s.RemoteRelays() {
		d.pullFromRemoteRelay(ctx, s, relay)
	}
}

func (d *distributor) pullFromRemoteRelay(ctx context.Context, s *control.Snapshot, relay host.Info) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, responder, err := d.peers.Pull(ctx, relay, peer.Pull{
		After: s.Version, AppliedVersion: s.Version, Applied: s.Applied, HostsDigest: d.hosts.digest(),
	})
	if err != nil {
		d.post(control.HostFailed{ID: relay.ID})
		return
	}
	d.post(control.HostContacted{Info: responder, Applied: reply.Update.Version, Summary: reply.Applied})
	d.post(control.ObjectsReceived{Update: reply.Update})
}

// reportStaleness logs, once a second, while the host has had no contact for
// longer than configTTL with the platform or with a host that is in contact
// with it.
func (d *distributor) reportStaleness(ctx context.Context) error {
	for ctx.Err() == nil {
		if age := time.Since(d.snapshot().LastContact); age > configTTL {
			d.log.Write(ctx, logevent.ConfigurationStale, slog.Duration("Age", age))
		}
		sleep(ctx, time.Second)
	}
	return ctx.Err()
}
