package control

import (
	"slices"
	"time"

	"basilmill/core/distribution"
	"basilmill/core/failover"
	"basilmill/core/freshness"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/placement"
)

// smoothingDivisor is the inverse weight of a new sample in smoothed durations,
// as in TCP's round-trip estimator.
const smoothingDivisor = 8

// groupState is the control thread's state of one group.
type groupState struct {
	published *Group
	record    *group.Record
	version   distribution.Version
	// machine is nil while another host coordinates the group.
	machine      *failover.Machine
	coordinators []host.Info
	rank         int
	ageTracker   freshness.Tracker
	servers      map[group.ServerID]ServerView
	quiesced     bool
	// unresponsive marks the servers that were reported as unresponsive.
	unresponsive map[group.ServerID]bool
}

func (t *Thread) applyRecord(record *group.Record, version distribution.Version) {
	g := t.groups[record.ID]
	if g == nil {
		g = &groupState{published: &Group{}, rank: -1, servers: make(map[group.ServerID]ServerView), unresponsive: make(map[group.ServerID]bool)}
		t.groups[record.ID] = g
		t.dirty = true
	}
	if version <= g.version {
		return
	}
	record = t.unlessOlder(g, record, version)
	t.reportReplacedPrimary(g, record)
	g.record, g.version = record, version
	t.assignCoordinators(g)
	t.publishGroup(g)
	g.published.Gate.ObserveRecord(record)
	t.runMachine(g, failover.RecordChanged{Record: record, Version: version})
}

// assignCoordinators chooses the group's coordinators and starts or stops this
// host's machine for it.
func (t *Thread) assignCoordinators(g *groupState) {
	previous := g.coordinators
	g.coordinators = placement.Coordinators(g.record, t.usableHosts, t.config.Coordinators)
	g.rank = slices.IndexFunc(g.coordinators, func(h host.Info) bool { return h.ID == t.self.ID })
	started := g.machine == nil && g.rank >= 0
	switch {
	case g.rank < 0:
		g.machine = nil
		g.servers = make(map[group.ServerID]ServerView)
	case started:
		config := t.config.Failover
		config.Group, config.Host, config.DataCentre = g.record.ID, t.self.ID, t.self.DataCentre
		g.machine = failover.New(config)
	}
	t.publishGroup(g)
	// The machine's first actions need the connections that this action provides.
	if !slices.Equal(previous, g.coordinators) {
		t.config.OnAction(CoordinatorsChanged{View: g.published.View()})
	}
	if started {
		t.runMachine(g, failover.RecordChanged{Record: g.record, Version: g.version})
	}
	t.runMachine(g, failover.CoordinatorsChanged{Coordinators: machineCoordinators(g.coordinators), SingleDataCentre: t.singleDataCentre()})
}

// machineCoordinators returns the hosts as coordinators for a failover machine,
// in the order of their rank.
func machineCoordinators(hosts []host.Info) []failover.Coordinator {
	out := make([]failover.Coordinator, len(hosts))
	for i, h := range hosts {
		out[i] = failover.Coordinator{Host: h.ID, DataCentre: h.DataCentre}
	}
	return out
}

// singleDataCentre reports whether the platform lists hosts of only one data
// centre. Reachability is ignored, because an isolated data centre must not
// count as the only one.
func (t *Thread) singleDataCentre() bool {
	for _, h := range t.listedHosts {
		if h.DataCentre != t.self.DataCentre {
			return false
		}
	}
	return len(t.listedHosts) > 0
}

func (t *Thread) groupEvent(in GroupEvent) {
	g := t.groups[in.Group]
	if g == nil {
		return
	}
	switch e := in.Event.(type) {
	case failover.UpdateConflict:
		e.Record = t.unlessOlder(g, e.Record, e.Version)
		in.Event = e
	case failover.RecordChanged:
		e.Record = t.unlessOlder(g, e.Record, e.Version)
		in.Event = e
	}
	switch e := in.Event.(type) {
	case failover.StatusReceived:
		t.recordStatus(g, e.Status, e.SentAt)
	case failover.UpdateApplied:
		t.adopt(g, e.Record, e.Version)
	case failover.UpdateConflict:
		t.adopt(g, e.Record, e.Version)
	case failover.RecordChanged:
		t.adopt(g, e.Record, e.Version)
	}
	t.runMachine(g, in.Event)
}

// adopt puts a record in force that a call to the platform returned, before the
// watch delivers it. The set of objects gets the version only from the watch.
func (t *Thread) adopt(g *groupState, record *group.Record, version distribution.Version) {
	if version <= g.version {
		return
	}
	t.reportReplacedPrimary(g, record)
	g.record, g.version = record, version
	t.publishGroup(g)
	g.published.Gate.ObserveRecord(record)
}

// reportReplacedPrimary emits ServerLost for the primary that the new record
// replaces, so that requests running on it are given up.
func (t *Thread) reportReplacedPrimary(g *groupState, record *group.Record) {
	if g.record == nil || record.Term <= g.record.Term {
		return
	}
	g.quiesced = false
	t.config.OnAction(ServerLost{Group: record.ID, Server: g.record.Primary, Replaced: true})
}

// unresponsiveThreshold is how long a server may leave status queries
// unanswered before the requests that run on it are given up. It allows for
// queries up to 1.5 s apart and for answers that are late by ten round trips.
const unresponsiveThreshold = 4 * time.Second

// reportUnresponsiveServers emits ServerLost for servers that have become
// unresponsive, so that requests running on them are given up.
func (t *Thread) reportUnresponsiveServers() {
	for id, g := range t.groups {
		if g.machine == nil {
			continue
		}
		for server, v := range g.servers {
			unresponsive := time.Since(v.ReceivedAt) > unresponsiveThreshold
			if unresponsive && !g.unresponsive[server] {
				t.config.OnAction(ServerLost{Group: id, Server: server})
			}
			g.unresponsive[server] = unresponsive
		}
	}
}

func (t *Thread) observeStatus(id group.ID, status group.Status, sentAt time.Time) {
	if g := t.groups[id]; g != nil && g.machine != nil {
		t.recordStatus(g, status, sentAt)
	}
}

func (t *Thread) recordStatus(g *groupState, status group.Status, sentAt time.Time) {
	g.ageTracker.Observe(status, sentAt, g.record)
	g.published.Gate.Observe(status, sentAt, g.record)
	v := g.servers[status.Server]
	v.ReceivedAt = time.Now()
	v.RoundTrip = smoothed(v.RoundTrip, v.ReceivedAt.Sub(sentAt))
	if supersedes(status, v.Status) {
		v.Status, v.SentAt = status, sentAt
	}
	if at, known := g.ageTracker.CompleteAt(v.Status); known {
		v.Lag = smoothed(v.Lag, v.ReceivedAt.Sub(at))
	}
	g.servers[status.Server] = v
	t.publishGroup(g)
}

// smoothed returns the exponentially smoothed average with a new sample. The
// first sample becomes the average.
func smoothed(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + (sample-average)/smoothingDivisor
}

// supersedes reports whether a status replaces another one of the same server.
// Answers to overlapping queries may arrive in any order.
func supersedes(s, old group.Status) bool {
	if s.Term != old.Term {
		return s.Term > old.Term
	}
	return s.Applied >= old.Applied
}

// publishGroup publishes a new view of the group, with the CompleteAt of each
// server recomputed.
func (t *Thread) publishGroup(g *groupState) {
	servers := make(map[group.ServerID]ServerView, len(g.servers))
	for id, v := range g.servers {
		if at, known := g.ageTracker.CompleteAt(v.Status); known {
			v.CompleteAt = at
		}
		servers[id] = v
	}
	changed := make(chan struct{})
	previous := g.published.view.Swap(&GroupView{
		Record:       g.record,
		Version:      g.version,
		Coordinators: g.coordinators,
		Rank:         g.rank,
		Servers:      servers,
		Quiesced:     g.quiesced,
		Changed:      changed,
		changed:      changed,
	})
	if previous != nil {
		close(previous.changed)
	}
}

// runMachine passes an event to the group's machine and emits the resulting
// actions.
func (t *Thread) runMachine(g *groupState, event failover.Event) {
	if g.machine == nil {
		return
	}
	for _, action := range g.machine.Handle(event) {
		if command, ok := action.(failover.Execute); ok {
			if _, quiesce := command.Command.(failover.Quiesce); quiesce && !g.quiesced {
				g.quiesced = true
				t.publishGroup(g)
			}
		}
		t.config.OnAction(GroupAction{Record: g.record, Action: action})
	}
}

func (t *Thread) fireTimers() {
	now := time.Now()
	for _, g := range t.groups {
		if g.machine == nil {
			continue
		}
		if due := g.machine.NextTimer(); !due.IsZero() && !due.After(now) {
			t.runMachine(g, failover.TimerFired{})
		}
	}
}

// timeUntilTimer returns the time until the next timer of any machine, at most
// refreshInterval.
func (t *Thread) timeUntilTimer() time.Duration {
	next := time.Now().Add(refreshInterval)
	for _, g := range t.groups {
		if g.machine == nil {
			continue
		}
		if due := g.machine.NextTimer(); !due.IsZero() && due.Before(next) {
			next = due
		}
	}
	return max(0, time.Until(next))
}
