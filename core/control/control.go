// Package control owns the control state of a host: its copy of the platform's
// objects, its view of the other hosts, and one failover machine for each
// group that it coordinates. One goroutine changes this state; traffic reads
// immutable snapshots of it without a lock.
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
	// inputQueue bounds the inputs that wait for the control thread. Status
	// answers of a few groups arrive every few milliseconds under load.
	inputQueue = 4096
	// tick is how often changes of the usable hosts by mere passage of time
	// are noticed.
	tick = time.Second
)

// Kinds of the platform objects that hosts use.
const (
	KindGroup   distribution.Kind = "group"
	KindAccount distribution.Kind = "account"
)

// Decoder decodes the values of platform objects.
type Decoder interface {
	Group(value []byte) (*group.Record, error)
	Account(value []byte) (account.Template, error)
}

// Config configures a Thread.
type Config struct {
	Self    host.Info
	Decoder Decoder
	// Failover holds the settings of the failover machines; the group and the
	// host are filled in.
	Failover failover.Config
	// Coordinators is the number of coordinators of a group; zero takes
	// placement.DefaultCoordinators.
	Coordinators int
	// Act carries out an action. It runs on the control thread and must not
	// block.
	Act func(Action)
}

// Thread is the control thread.
type Thread struct {
	config   Config
	inputs   chan Input
	done     chan struct{}
	snapshot atomic.Pointer[Snapshot]

	self     host.Info
	objects  distribution.Set
	members  membership.View
	listed   []host.Info
	usable   []host.Info
	groups   map[group.ID]*groupState
	accounts map[account.ID]*Account
	// converged tracks which version is in force where.
	converged distribution.Convergence
	contact   time.Time
	platform  bool
	dirty     bool
}

// New returns a thread that Run drives.
func New(config Config) *Thread {
	if config.Coordinators == 0 {
		config.Coordinators = placement.DefaultCoordinators
	}
	t := &Thread{
		config:   config,
		inputs:   make(chan Input, inputQueue),
		done:     make(chan struct{}),
		self:     config.Self,
		groups:   make(map[group.ID]*groupState),
		accounts: make(map[account.ID]*Account),
		contact:  time.Now(),
	}
	t.usable = []host.Info{t.self}
	t.publish(nil)
	return t
}

// Snapshot returns the current state. It is never nil and must not be changed.
func (t *Thread) Snapshot() *Snapshot { return t.snapshot.Load() }

// Post hands an input to the thread. It blocks while the queue is full and
// drops the input once the thread has stopped.
func (t *Thread) Post(input Input) {
	select {
	case t.inputs <- input:
	case <-t.done:
	}
}

// Run processes inputs until the context ends.
func (t *Thread) Run(ctx context.Context) error {
	defer close(t.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	timer := time.NewTimer(tick)
	defer timer.Stop()
	for {
		timer.Reset(t.untilTimer())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case input := <-t.inputs:
			t.handle(input)
		case <-timer.C:
			t.fireTimers()
		case <-ticker.C:
			t.refreshHosts()
			t.dropSilent()
		}
		t.publishIfDirty()
	}
}

func (t *Thread) handle(input Input) {
	switch in := input.(type) {
	case ObjectsReceived:
		t.merge(in.Update)
	case ObjectsRequested:
		in.Reply <- t.objects.Since(in.After)
	case PlatformAnswered:
		t.noteContact(true)
	case PlatformFailed:
		t.notePlatform(false)
	case RelayAnswered:
		t.noteContact(t.platform)
	case HostsListed:
		t.listed = in.Hosts
		t.members.SetList(in.Hosts)
		t.refreshHosts()
	case HostHeard:
		t.members.RecordSuccess(in.Info)
		if in.Applied > 0 {
			t.converged.Report(in.Info, in.Applied)
		}
		t.converged.MergeSummary(in.Summary)
		t.refreshHosts()
	case HostFailed:
		t.members.RecordFailure(in.ID)
		t.refreshHosts()
	case HostLeaving:
		t.members.MarkLeaving(in.Info)
		t.refreshHosts()
	case Leave:
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

func (t *Thread) noteContact(platform bool) {
	t.contact = time.Now()
	t.notePlatform(platform)
	t.dirty = true
}

func (t *Thread) notePlatform(available bool) {
	if t.platform != available {
		t.platform = available
		t.dirty = true
	}
}

// merge applies changed objects. An object that cannot be decoded is reported
// and leaves the last valid one in force.
func (t *Thread) merge(update distribution.Update) {
	before := t.objects.Version()
	for _, o := range t.objects.Merge(update) {
		if err := t.apply(o); err != nil {
			t.config.Act(ObjectRejected{Key: o.Key, Version: o.Version, Err: err})
		}
	}
	if version := t.objects.Version(); version != before {
		t.dirty = true
		t.config.Act(VersionApplied{Version: version})
	}
}

func (t *Thread) apply(o distribution.Object) error {
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
// that a change affects.
func (t *Thread) refreshHosts() {
	usable := t.members.Usable()
	if t.self.State == host.Live {
		usable = withHost(usable, t.self)
	}
	added, removed := difference(t.usable, usable)
	if len(added) == 0 && len(removed) == 0 {
		return
	}
	t.usable = usable
	t.dirty = true
	for _, g := range t.groups {
		if placement.CoordinatorsMayChange(g.record, g.coordinators, t.config.Coordinators, added, removed) {
			t.assign(g)
		}
	}
	t.config.Act(HostsChanged{Added: added, Removed: removed})
}
