// Package control owns the control state of a host: its copy of the platform's
// objects, what it knows about the other hosts, and one failover machine for
// each group that it coordinates. One goroutine, the control thread, changes
// this state. Requests read immutable snapshots of it without a lock.
package control

import (
	"context"
	"sync/atomic"
	"time"

	"basilmill/core/account"
	"basilmill/core/distribution"
	"basilmill/core/failover"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/membership"
	"basilmill/core/placement"
)

const (
	// inputQueueLength bounds the inputs queued for the control thread. Under
	// load, status answers of a few groups arrive every few milliseconds.
	inputQueueLength = 4096
	// refreshInterval is the period of checks for changes that no input
	// announces, such as hosts and servers from which nothing has been received
	// for long.
	refreshInterval = time.Second
)

// Kinds of platform objects that hosts use.
const (
	KindGroup   distribution.Kind = "group"
	KindAccount distribution.Kind = "account"
)

// Decoder decodes the stored values of platform objects.
type Decoder interface {
	Group(value []byte) (*group.Record, error)
	Account(value []byte) (account.Template, error)
	// AccountSupersedes reports whether the value of an account is a later state of the
	// other one.
	AccountSupersedes(known, stored []byte) bool
}

// Config configures a Thread.
type Config struct {
	Self    host.Info
	Decoder Decoder
	// Failover holds the settings of the failover machines. The thread fills in
	// the group and the host.
	Failover failover.Config
	// Coordinators is the number of coordinators of a group; zero means
	// placement.DefaultCoordinators.
	Coordinators int
	// OnAction is called for each action and has it carried out. It runs on the
	// control thread and must not block.
	OnAction func(Action)
}

// Thread is the control thread: it processes inputs one at a time, calls
// Config.OnAction with the resulting actions and publishes snapshots.
type Thread struct {
	config   Config
	inputs   chan Input
	done     chan struct{}
	snapshot atomic.Pointer[Snapshot]

	self        host.Info
	objects     distribution.Set
	members     membership.View
	listedHosts []host.Info
	usableHosts []host.Info
	groups      map[group.ID]*groupState
	accounts    map[account.ID]*Account
	// convergence tracks which version is in force on which host.
	convergence       distribution.Convergence
	lastContact       time.Time
	platformAvailable bool
	dirty             bool
}

// New returns a Thread. It processes inputs while Run runs.
func New(config Config) *Thread {
	if config.Coordinators == 0 {
		config.Coordinators = placement.DefaultCoordinators
	}
	t := &Thread{
		config:      config,
		inputs:      make(chan Input, inputQueueLength),
		done:        make(chan struct{}),
		self:        config.Self,
		groups:      make(map[group.ID]*groupState),
		accounts:    make(map[account.ID]*Account),
		lastContact: time.Now(),
	}
	t.usableHosts = []host.Info{t.self}
	t.publish(nil)
	return t
}

// Snapshot returns the current state. It is never nil and must not be changed.
func (t *Thread) Snapshot() *Snapshot { return t.snapshot.Load() }

// Post queues an input for the thread. It blocks while the queue is full and
// discards the input once the thread has stopped.
func (t *Thread) Post(input Input) {
	select {
	case t.inputs <- input:
	case <-t.done:
	}
}

// Run processes inputs until the context ends.
func (t *Thread) Run(ctx context.Context) error {
	defer close(t.done)
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	timer := time.NewTimer(refreshInterval)
	defer timer.Stop()
	for {
		timer.Reset(t.timeUntilTimer())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case input := <-t.inputs:
			t.handle(input)
		case <-timer.C:
			t.fireTimers()
		case <-ticker.C:
			t.refreshHosts()
			t.reportUnresponsiveServers()
		}
		t.publishIfDirty()
	}
}

func (t *Thread) handle(input Input) {
	switch in := input.(type) {
	case ObjectsReceived:
		t.mergeObjects(in.Update)
	case ObjectsRequested:
		in.Reply <- t.objects.Since(in.After)
	case PlatformAnswered:
		t.recordContact(true)
	case PlatformFailed:
		t.setPlatformAvailable(false)
	case RelayAnswered:
		t.recordContact(t.platformAvailable)
	case HostsListed:
		t.listedHosts = in.Hosts
		t.members.SetList(in.Hosts)
		t.refreshHosts()
	case HostContacted:
		t.members.RecordSuccess(in.Info)
		if in.Applied > 0 {
			t.convergence.Report(in.Info, in.Applied)
		}
		t.convergence.MergeSummary(in.Summary)
		t.refreshHosts()
	case HostFailed:
		t.members.RecordFailure(in.ID)
		t.refreshHosts()
	case HostLeaving:
		t.members.MarkLeaving(in.Info)
		t.refreshHosts()
	case LeaveRequested:
		t.self.State = host.Leaving
		t.members.MarkLeaving(t.self)
		t.refreshHosts()
	case GroupEvent:
		t.groupEvent(in)
	case StatusObserved:
		t.observeStatus(in.Group, in.Status, in.SentAt)
		if in.Done != nil {
			close(in.Done)
		}
	}
}

func (t *Thread) recordContact(platformAvailable bool) {
	t.lastContact = time.Now()
	t.setPlatformAvailable(platformAvailable)
	t.dirty = true
}

func (t *Thread) setPlatformAvailable(available bool) {
	if t.platformAvailable != available {
		t.platformAvailable = available
		t.dirty = true
	}
}

// mergeObjects applies changed objects. An object that cannot be decoded is
// reported, and the last valid version stays in force.
func (t *Thread) mergeObjects(update distribution.Update) {
	before := t.objects.Version()
	known := t.lostCandidates(update)
	for _, o := range t.objects.Merge(update) {
		if err := t.applyObject(t.unlessLost(known, o)); err != nil {
			t.config.OnAction(ObjectRejected{Key: o.Key, Version: o.Version, Err: err})
		}
		delete(known, o.Key)
	}
	t.reportMissing(known)
	if version := t.objects.Version(); version != before {
		t.dirty = true
		t.config.OnAction(VersionApplied{Version: version})
	}
}

func (t *Thread) applyObject(o distribution.Object) error {
	switch o.Key.Kind {
	case KindGroup:
		record, err := t.config.Decoder.Group(o.Value)
		if err != nil {
			return err
		}
		t.applyRecord(record, o.Version)
	case KindAccount:
		template, err := t.config.Decoder.Account(o.Value)
		if err != nil {
			return err
		}
		return t.applyAccount(template, o.Version)
	}
	return nil
}

func (t *Thread) applyAccount(template account.Template, version distribution.Version) error {
	matcher, err := template.Matcher()
	if err != nil {
		return err
	}
	accounts := make(map[account.ID]*Account, len(t.accounts)+1)
	for id, a := range t.accounts {
		accounts[id] = a
	}
	accounts[template.ID] = &Account{Template: template, Matcher: matcher, Version: version}
	t.accounts = accounts
	t.dirty = true
	return nil
}

// refreshHosts recomputes the usable hosts and the coordinators of the groups
// that a change of the hosts affects.
func (t *Thread) refreshHosts() {
	usable := t.members.Usable()
	if t.self.State == host.Live {
		usable = withHost(usable, t.self)
	}
	added, removed := difference(t.usableHosts, usable)
	if len(added) == 0 && len(removed) == 0 {
		return
	}
	t.usableHosts = usable
	t.dirty = true
	for _, g := range t.groups {
		if placement.CoordinatorsMayChange(g.record, g.coordinators, t.config.Coordinators, added, removed) {
			t.assignCoordinators(g)
		}
	}
	t.config.OnAction(HostsChanged{Added: added, Removed: removed})
}
