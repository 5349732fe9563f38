package entry

import (
	"cmp"
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"basilmill/core/distribution"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/lead"
	"basilmill/core/logevent"
	"basilmill/core/membership"
	"basilmill/io/peer"
)

const (
	// maxQueriedPeers bounds the hosts that are queried at the same time.
	maxQueriedPeers = 4
	// queryTimeout bounds a query: two round trips between regions and the opening
	// of a connection.
	queryTimeout = 200 * time.Millisecond
	// minHostListInterval is the time between two reads of the list of hosts after
	// it has changed, because hosts often start together. It doubles up to
	// maxHostListInterval while the list stays the same.
	minHostListInterval = time.Second
	maxHostListInterval = 5 * time.Second
	// firstHostListInterval is the time until the first list is requested again: after
	// a failure, and because it may lack hosts that start at the same time.
	firstHostListInterval = 300 * time.Millisecond
	// hostListReadTimeout bounds a read of the list: two pulls and a call of the store.
	hostListReadTimeout = 2 * time.Second
)

// Hosts is the platform's registry of entry hosts.
type Hosts interface {
	membership.Registry
	// RegisterHost creates or replaces the entry of this host, and reports whether there
	// was one before and the start that it stated. The entry states startedAt as the start
	// of this process, or the same as before if that is zero.
	RegisterHost(ctx context.Context, info host.Info, startedAt time.Time) (existed bool, startedBefore time.Time, err error)
	// ListHosts returns the entries of all hosts, with allowStale as of some seconds
	// ago at most.
	ListHosts(ctx context.Context, allowStale bool) (distribution.Update, error)
	// DecodeHost decodes an entry. It returns false if that is not possible.
	DecodeHost(entry distribution.Object) (decoded membership.Entry, ok bool)
}

// peers queries the other hosts for the positions that they have proven. It also
// registers this host and caches the list of hosts.
type peers struct {
	host   *Host
	client peer.ProvenPositionClient
	// directory is the list of hosts in the store. Only refresh uses it.
	directory    distribution.Directory
	registration membership.Registration
	// attempted is set after the first attempt to register.
	attempted bool
	sweeper   membership.Sweeper

	// listed is closed when the first list has been read.
	listed chan struct{}

	mu    sync.Mutex
	hosts []host.Info
	// entries are those of the data centre in the last list.
	entries []membership.Entry
	// version changes with each change of hosts; zero before the first list.
	version int64
	// refreshing is set while the list is being read.
	refreshing      bool
	nextRefresh     time.Time
	refreshInterval time.Duration
}

func newPeers(h *Host) *peers {
	p := &peers{host: h, client: peer.ProvenPositionClient{HTTP: &http.Client{}}, listed: make(chan struct{})}
	// Errors are not logged, because syncReporter logs that the store is unavailable.
	p.registration.Register = p.register
	p.sweeper = membership.Sweeper{Self: h.info(), Entries: p.knownEntries, Registry: h.platform.Hosts, OnChange: p.observeEntryChange}
	p.sweeper.Check = func(ctx context.Context, info host.Info) error { return h.gateways.peers.Check(ctx, info) }
	return p
}

// register creates or replaces the entry of this host. Only the first call shows whether
// the store had the entry before: the answer to an earlier one may have been lost.
func (p *peers) register(ctx context.Context) error {
	existed, _, err := p.host.platform.Hosts.RegisterHost(ctx, p.host.info(), time.Time{})
	p.host.limits.noteRegistration(existed && !p.attempted, err)
	p.attempted = true
	return err
}

// Positions implements lead.Peers.
func (p *peers) Positions(ctx context.Context, id group.ID) []lead.Sample {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	hosts := p.queriedHosts(ctx, id)
	samples := make([]lead.Sample, len(hosts))
	var wait sync.WaitGroup
	for i, info := range hosts {
		wait.Go(func() { samples[i] = p.queryPeer(ctx, info, id) })
	}
	wait.Wait()
	var found []lead.Sample
	for _, s := range samples {
		if !s.Position.IsZero() {
			found = append(found, s)
		}
	}
	return found
}

// queriedHosts returns some other hosts: one at random, because it may have reached a
// primary that this host does not know, and otherwise gateways to the primary, which
// have the newest proofs.
func (p *peers) queriedHosts(ctx context.Context, id group.ID) []host.Info {
	others := p.otherHosts(ctx)
	shuffle(others)
	var gateways []host.Info
	if monitor := p.host.groups.monitor(id); monitor != nil {
		if snapshot := monitor.Snapshot(); snapshot.PrimaryKnown {
			gateways = p.host.gateways.client.Elsewhere(snapshot.Primary)
		}
	}
	shuffle(gateways)
	hosts := slices.Clone(others[:min(len(others), 1)])
	for _, h := range append(gateways, others...) {
		if len(hosts) < maxQueriedPeers && !slices.Contains(hosts, h) {
			hosts = append(hosts, h)
		}
	}
	return hosts
}

func shuffle(hosts []host.Info) {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
}

// queryPeer queries one host. The returned age counts from before the query was
// sent, so that the proof is never taken to be newer than it is. The sample is
// zero if the host has no proof or does not answer.
func (p *peers) queryPeer(ctx context.Context, info host.Info, id group.ID) lead.Sample {
	sentAt := p.host.platform.Clock()
	proven, known, err := p.client.Get(ctx, info.PeerAddress, id)
	if err != nil {
		p.host.metrics.peerCalls.WithLabelValues("failed").Inc()
		return lead.Sample{}
	}
	if !known {
		p.host.metrics.peerCalls.WithLabelValues("unknown").Inc()
		return lead.Sample{}
	}
	p.host.metrics.peerCalls.WithLabelValues("known").Inc()
	return lead.Sample{At: sentAt - proven.Age, Position: proven.Position}
}

// otherHosts returns the other hosts. It waits for the store only while there is
// no list yet.
func (p *peers) otherHosts(ctx context.Context) []host.Info {
	// Without a list there are no other hosts.
	_ = p.awaitHosts(ctx)
	known, _ := p.knownHosts()
	var others []host.Info
	for _, info := range known {
		if info.ID != p.host.settings.HostID {
			others = append(others, info)
		}
	}
	return others
}

// awaitHosts waits until the first list has been read.
func (p *peers) awaitHosts(ctx context.Context) error {
	p.knownHosts()
	select {
	case <-p.listed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// knownHosts returns the hosts of the last list, in ascending order of their ids,
// and its version. A list that is due is read in the background. The result must
// not be modified.
func (p *peers) knownHosts() (hosts []host.Info, version int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.refreshing && !time.Now().Before(p.nextRefresh) {
		p.refreshing = true
		go p.refresh()
	}
	return p.hosts, p.version
}

// refresh reads the list. If that fails, the old list stays in use, and the error
// is not logged because syncReporter logs that the store is unavailable.
func (p *peers) refresh() {
	entries, err := p.listEntries()
	hosts := make([]host.Info, len(entries))
	for i, e := range entries {
		hosts[i] = e.Info
	}
	slices.SortFunc(hosts, func(a, b host.Info) int { return cmp.Compare(a.ID, b.ID) })
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refreshing = false
	if err == nil {
		p.entries = slices.DeleteFunc(entries, func(e membership.Entry) bool { return e.DataCentre != p.host.settings.DataCentre })
	}
	switch {
	case err != nil && p.version == 0:
		p.refreshInterval = firstHostListInterval
	case err != nil:
		p.refreshInterval = min(max(2*p.refreshInterval, minHostListInterval), maxHostListInterval)
	case p.version == 0:
		p.hosts, p.version = hosts, 1
		p.refreshInterval = firstHostListInterval
		time.AfterFunc(firstHostListInterval, func() { p.knownHosts() })
		close(p.listed)
	case !slices.Equal(hosts, p.hosts):
		p.hosts = hosts
		p.version++
		p.refreshInterval = minHostListInterval
	default:
		p.refreshInterval = min(max(2*p.refreshInterval, minHostListInterval), maxHostListInterval)
	}
	p.nextRefresh = time.Now().Add(p.refreshInterval)
}

// kindHosts is the kind of the hosts' entries.
const kindHosts distribution.Kind = "hosts"

// listEntries returns the entries of the registered hosts. Those that cannot be decoded
// are skipped.
func (p *peers) listEntries() (entries []membership.Entry, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), hostListReadTimeout)
	defer cancel()
	objects, err := p.directory.Refresh(ctx)
	for _, o := range objects {
		if entry, ok := p.host.platform.Hosts.DecodeHost(o); ok {
			entries = append(entries, entry)
		}
	}
	if err == nil {
		self := p.host.settings.HostID
		p.registration.NoteListed(p.directory.Has(string(self)) && !membership.Suspected(entries, self))
	}
	return entries, err
}

// knownEntries returns the entries of the data centre in the last list. The result must not be modified.
func (p *peers) knownEntries() []membership.Entry {
	p.knownHosts()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entries
}

// observeEntryChange logs that the entry of an unreachable host was marked or removed.
func (p *peers) observeEntryChange(entry membership.Entry, removed bool) {
	event := logevent.HostSuspected
	if removed {
		event = logevent.HostRemoved
	}
	p.host.log.Write(context.Background(), event, slog.String("host", string(entry.ID)), slog.String("address", entry.PeerAddress.String()),
		slog.String("suspected_by", string(entry.SuspectedBy)), slog.Int64("revision", entry.Version.Revision()), slog.Int64("era", int64(entry.Version.Era())))
}

// latestProof returns the newest position of a group's primary that this host has
// proven. It returns false if there is none.
func (p *peers) latestProof(id group.ID) (peer.ProvenPosition, bool) {
	monitor := p.host.groups.monitor(id)
	if monitor == nil {
		return peer.ProvenPosition{}, false
	}
	snapshot := monitor.Snapshot()
	n := len(snapshot.Samples)
	if n == 0 {
		return peer.ProvenPosition{}, false
	}
	newest := snapshot.Samples[n-1]
	return peer.ProvenPosition{Position: newest.Position, Age: p.host.platform.Clock() - newest.At}, true
}
