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

// Snapshot is the control state at one moment. It is immutable. Each group
// publishes its own views, so that a status answer for one group does not copy
// the others.
type Snapshot struct {
	Self host.Info
	// Version is the version up to which all objects are in force.
	Version distribution.Version
	// Hosts are the usable hosts, including this one unless it is leaving.
	Hosts    []host.Info
	Groups   map[group.ID]*Group
	Accounts map[account.ID]*Account
	// LastContact is when this host last knew that its objects were up to date.
	LastContact time.Time
	// PlatformAvailable says whether the last call to the platform succeeded.
	PlatformAvailable bool
	// Applied is the version in force in each data centre.
	Applied []distribution.AppliedVersion
	// Changed is closed when a later snapshot has a higher version.
	Changed <-chan struct{}

	changed chan struct{}
}

// Account is a client account in force, with its matcher.
type Account struct {
	Template account.Template
	Matcher  account.Matcher
	Version  distribution.Version
}

// Group gives requests access to the state of one group.
type Group struct {
	// Gate holds writes until they are confirmed.
	Gate ack.Gate

	view atomic.Pointer[GroupView]
}

// View returns the current view. It is never nil and must not be changed.
func (g *Group) View() *GroupView { return g.view.Load() }

// GroupView is the immutable state of a group as this host knows it.
type GroupView struct {
	Record  *group.Record
	Version distribution.Version
	// Coordinators are the hosts that hold connections to the group.
	Coordinators []host.Info
	// Rank is the index of this host among them, -1 if it is not a coordinator.
	Rank int
	// Servers has the latest status of each server that answered.
	Servers map[group.ServerID]ServerView
	// Quiesced says that the primary was told to refuse writes, because a
	// planned change is replacing it.
	Quiesced bool
	// Changed is closed when there is a later view.
	Changed <-chan struct{}

	changed chan struct{}
}

// ServerView is what this host knows about a backend server.
type ServerView struct {
	Status group.Status
	// SentAt is when the query of the status was sent.
	SentAt time.Time
	// ReceivedAt is when the last answer of the server arrived.
	ReceivedAt time.Time
	// CompleteAt is the latest time for which reads on the server are proven to
	// see every write acknowledged before it; zero if there is no proof.
	CompleteAt time.Time
	// RoundTrip is the smoothed round-trip time of status queries.
	RoundTrip time.Duration
	// Lag is the smoothed time from the acknowledgement of a write until this
	// host knows that the server contains it; zero if unknown.
	Lag time.Duration
}

// Relays returns the relays of this host's data centre.
func (s *Snapshot) Relays() []host.Info {
	return placement.Relays(s.Self.DataCentre, s.Hosts, placement.DefaultRelays)
}

// IsRelay reports whether this host is a relay.
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
	t.convergence.Report(t.self, t.objects.Version())
	s := &Snapshot{
		Self:              t.self,
		Version:           t.objects.Version(),
		Hosts:             t.usableHosts,
		Groups:            make(map[group.ID]*Group, len(t.groups)),
		Accounts:          t.accounts,
		LastContact:       t.lastContact,
		PlatformAvailable: t.platformAvailable,
		Applied:           t.convergence.Summary(t.self.DataCentre),
	}
	if previous != nil && len(previous.Groups) == len(t.groups) {
		// Groups are never removed, so an equal number means the same groups.
		s.Groups = previous.Groups
	} else {
		for id, g := range t.groups {
			s.Groups[id] = g.published
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
