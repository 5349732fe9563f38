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

// sampleWeight is the inverse weight of a new sample in smoothed durations,
// the customary value of TCP's estimator.
const sampleWeight = 8

// groupState is the control thread's state of one group.
type groupState struct {
	public  *Group
	record  *group.Record
	version distribution.Version
	// machine is nil while another host coordinates the group.
	machine      *failover.Machine
	coordinators []host.Info
	index        int
	ages         freshness.Tracker
	servers      map[group.ServerID]ServerView
	quiesced     bool
	// silent marks the servers whose silence was acted on.
	silent map[group.ServerID]bool
}

func (t *Thread) applyRecord(record *group.Record, version distribution.Version) {
	g := t.groups[record.ID]
	if g == nil {
		g = &groupState{public: &Group{}, index: -1, servers: make(map[group.ServerID]ServerView), silent: make(map[group.ServerID]bool)}
		t.groups[record.ID] = g
		t.dirty = true
	}
	if version <= g.version {
		return
	}
	t.noteReplacement(g, record)
	g.record, g.version = record, version
	t.assign(g)
	t.publishGroup(g)
	g.public.Gate.ObserveRecord(record)
	t.drive(g, failover.RecordChanged{Record: record, Version: version})
}

// assign chooses the group's coordinators and starts or stops its machine.
func (t *Thread) assign(g *groupState) {
	previous := g.coordinators
	g.coordinators = placement.Coordinators(g.record, t.usable, t.config.Coordinators)
	g.index = slices.IndexFunc(g.coordinators, func(h host.Info) bool { return h.ID == t.self.ID })
	switch {
	case g.index < 0:
		g.machine = nil
		g.servers = make(map[group.ServerID]ServerView)
	case g.machine == nil:
		config := t.config.Failover
		config.Group, config.Host, config.DataCentre = g.record.ID, t.self.ID, t.self.DataCentre
		g.machine = failover.New(config)
		t.drive(g, failover.RecordChanged{Record: g.record, Version: g.version})
	}
	t.drive(g, failover.CoordinatorsChanged{Coordinators: watchers(g.coordinators), SingleDataCentre: t.singleDataCentre()})
	t.publishGroup(g)
	if !slices.Equal(previous, g.coordinators) {
		t.config.OnAction(CoordinatorsChanged{View: g.public.View()})
	}
}

func watchers(hosts []host.Info) []failover.Coordinator {
	out := make([]failover.Coordinator, len(hosts))
	for i, h := range hosts {
		out[i] = failover.Coordinator{Host: h.ID, DataCentre: h.DataCentre}
	}
	return out
}

// singleDataCentre reports whether the platform lists one data centre only.
// The hosts that are reachable at the moment do not matter: an isolated data
// centre must not take itself for the only one.
func (t *Thread) singleDataCentre() bool {
	for _, h := range t.listed {
		if h.DataCentre != t.self.DataCentre {
			return false
		}
	}
	return len(t.listed) > 0
}

func (t *Thread) groupEvent(in GroupEvent) {
	g := t.groups[in.Group]
	if g == nil {
		return
	}
	switch e := in.Event.(type) {
	case failover.StatusReceived:
		t.noteStatus(g, e.Status, e.SentAt)
	case failover.UpdateApplied:
		t.adopt(g, e.Record, e.Version)
	case failover.UpdateConflict:
		t.adopt(g, e.Record, e.Version)
	case failover.RecordChanged:
		t.adopt(g, e.Record, e.Version)
	}
	t.drive(g, in.Event)
}

// adopt puts a record in force that a call to the platform returned, ahead of
// the watch. The watch delivers the same version later; the set of objects
// learns it then.
func (t *Thread) adopt(g *groupState, record *group.Record, version distribution.Version) {
	if version <= g.version {
		return
	}
	t.noteReplacement(g, record)
	g.record, g.version = record, version
	t.publishGroup(g)
	g.public.Gate.ObserveRecord(record)
}

// noteReplacement gives up what runs on a primary that the record replaces.
func (t *Thread) noteReplacement(g *groupState, record *group.Record) {
	if g.record == nil || record.Term <= g.record.Term {
		return
	}
	g.quiesced = false
	t.config.OnAction(ServerLost{Group: record.ID, Server: g.record.Primary, Replaced: true})
}

// silence is how long a server may leave status queries unanswered before
// what runs on it is given up. Queries are at most 1.5 s apart, and an
// answer that is merely late by ten round trips still counts.
const silence = 4 * time.Second

// dropSilent gives up what runs on servers that have become silent.
func (t *Thread) dropSilent() {
	for id, g := range t.groups {
		if g.machine == nil {
			continue
		}
		for server, v := range g.servers {
			silent := time.Since(v.ReceivedAt) > silence
			if silent && !g.silent[server] {
				t.config.OnAction(ServerLost{Group: id, Server: server})
			}
			g.silent[server] = silent
		}
	}
}

func (t *Thread) observeStatus(id group.ID, status group.Status, sentAt time.Time) {
	if g := t.groups[id]; g != nil && g.machine != nil {
		t.noteStatus(g, status, sentAt)
	}
}

func (t *Thread) noteStatus(g *groupState, status group.Status, sentAt time.Time) {
	g.ages.Observe(status, sentAt, g.record)
	g.public.Gate.Observe(status, sentAt, g.record)
	v := g.servers[status.Server]
	v.ReceivedAt = time.Now()
	v.RoundTrip = smooth(v.RoundTrip, v.ReceivedAt.Sub(sentAt))
	if newer(status, v.Status) {
		v.Status, v.SentAt = status, sentAt
	}
	if at, known := g.ages.CompleteAt(v.Status); known {
		v.Lag = smooth(v.Lag, v.ReceivedAt.Sub(at))
	}
	g.servers[status.Server] = v
	t.publishGroup(g)
}

// smooth moves an average towards a sample. The first sample is the average.
func smooth(average, sample time.Duration) time.Duration {
	if average == 0 {
		return sample
	}
	return average + (sample-average)/sampleWeight
}

// newer reports whether a status supersedes another one of the same server.
// Answers of overlapping queries may arrive in any order.
func newer(s, than group.Status) bool {
	if s.Term != than.Term {
		return s.Term > than.Term
	}
	return s.Applied >= than.Applied
}

// publishGroup publishes the group's view with the ages as proven now.
func (t *Thread) publishGroup(g *groupState) {
	servers := make(map[group.ServerID]ServerView, len(g.servers))
	for id, v := range g.servers {
		if at, known := g.ages.CompleteAt(v.Status); known {
			v.CompleteAt = at
		}
		servers[id] = v
	}
	changed := make(chan struct{})
	previous := g.public.view.Swap(&GroupView{
		Record:       g.record,
		Version:      g.version,
		Coordinators: g.coordinators,
		Rank:         g.index,
		Servers:      servers,
		Quiesced:     g.quiesced,
		Changed:      changed,
		changed:      changed,
	})
	if previous != nil {
		close(previous.changed)
	}
}

// drive feeds an event to the group's machine and carries out its actions.
func (t *Thread) drive(g *groupState, event failover.Event) {
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
			t.drive(g, failover.TimerFired{})
		}
	}
}

// untilTimer returns the time until the next timer of a machine.
func (t *Thread) untilTimer() time.Duration {
	next := time.Now().Add(tick)
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
