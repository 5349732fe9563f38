package control

import (
	"slices"
	"sync/atomic"
	"time"

	"basilmill/core/account"
	"basilmill/core/ack"
	"basilmill/core/distribution"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/placement"
)

// Snapshot is the control state at one moment. It is immutable; the groups in
// it publish their own views, so that a status answer of one group does not
// copy the others.
type Snapshot struct {
	Self host.Info
	// Version is the version up to which all objects are in force.
	Version distribution.Version
	// Hosts are the usable hosts, including the own one unless it leaves.
	Hosts    []host.Info
	Groups   map[group.ID]*Group
	Accounts map[account.ID]*Account
	// Contact is when the host last knew that it was up to date.
	Contact time.Time
	// PlatformAvailable says whether the last call to the platform succeeded.
	PlatformAvailable bool
	// Applied is the version in force in each data centre.
	Applied []distribution.AppliedVersion
	// Changed is closed when a later snapshot has a higher version.
	Changed <-chan struct{}

	changed chan struct{}
}

// Account is a client account in force.
type Account struct {
	Template account.Template
	Matcher  account.Matcher
	Version  distribution.Version
}

// Group gives traffic access to the state of one group.
type Group struct {
	// Gate holds writes until they are confirmed.
	Gate ack.Gate

	view atomic.Pointer[GroupView]
}

// View returns the current view. It is never nil and must not be changed.
func (g *Group) View() *GroupView { return g.view.Load() }

// GroupView is the state of a group as this host knows it.
type GroupView struct {
	Record  *group.Record
	Version distribution.Version
	// Coordinators are the hosts that hold connections to the group.
	Coordinators []host.Info
	// Index is the own place among them, or -1.
	Index int
	// Servers has the latest status of each server that answered.
	Servers map[group.ServerID]ServerView
	// Quiesced says that the primary is being replaced by a planned change.
	Quiesced bool
	// Changed is closed when there is a later view.
	Changed <-chan struct{}

	changed chan struct{}
}

// ServerView is the latest knowledge about a backend server.
type ServerView struct {
	Status group.Status
	// SentAt is when the query of the status was sent.
	SentAt time.Time
	// ReceivedAt is when the last answer of the server arrived.
	ReceivedAt time.Time
	// CompleteAt is the time up to which reads on the server are proven to
	// see every acknowledged write; zero if nothing is proven.
	CompleteAt time.Time
	// RoundTrip is the smoothed duration of status queries.
	RoundTrip time.Duration
	// Lag is the smoothed time from the acknowledgement of a write until this
	// host knows that the server contains it; zero if unknown.
	Lag time.Duration
}

// Relays returns the relays of the own data centre.
func (s *Snapshot) Relays() []host.Info {
	return placement.Relays(s.Self.DataCentre, s.Hosts, placement.DefaultRelays)
}

// IsRelay reports whether the own host is a relay.
func (s *Snapshot) IsRelay() bool {
	return slices.ContainsFunc(s.Relays(), func(h host.Info) bool { return h.ID == s.Self.ID })
}

// RemoteRelays returns the first relay of each other data centre.
func (s *Snapshot) RemoteRelays() []host.Info {
	seen := map[host.DataCentre]bool{s.Self.DataCentre: true}
	var out []host.Info
	for _, h := range s.Hosts {
		if seen[h.DataCentre] {
			continue
		}
		seen[h.DataCentre] = true
		out = append(out, placement.Relays(h.DataCentre, s.Hosts, 1)...)
	}
	return out
}

func (t *Thread) publishIfDirty() {
	if t.dirty {
		t.publish(t.snapshot.Load())
		t.dirty = false
	}
}

func (t *Thread) publish(previous *Snapshot) {
	t.converged.Report(t.self, t.objects.Version())
	s := &Snapshot{
		Self:              t.self,
		Version:           t.objects.Version(),
		Hosts:             t.usable,
		Groups:            make(map[group.ID]*Group, len(t.groups)),
		Accounts:          t.accounts,
		Contact:           t.contact,
		PlatformAvailable: t.platform,
		Applied:           t.converged.Summary(t.self.DataCentre),
	}
	if previous != nil && len(previous.Groups) == len(t.groups) {
		// Groups are only ever added, so an equal number means equal groups.
		s.Groups = previous.Groups
	} else {
		for id, g := range t.groups {
			s.Groups[id] = g.public
		}
	}
	if previous != nil && previous.Version == s.Version {
		s.changed = previous.changed
	} else {
		s.changed = make(chan struct{})
	}
	s.Changed = s.changed
	t.snapshot.Store(s)
	if previous != nil && previous.changed != s.changed {
		close(previous.changed)
	}
}
