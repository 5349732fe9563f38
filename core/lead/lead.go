// Package lead detects and monitors the primary of one group on behalf of a
// host. It owns the host's current knowledge: which server is the primary, when
// that was last proven, and which log positions were proven at which times. It
// decides when to search for another primary and when to attempt a change of
// primary.
//
// A probe asks a server to begin a read-write transaction, which only the
// primary accepts, and reads the end of its log. A position that the primary
// returns for a probe sent at time t covers every commit acknowledged before t.
package lead

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/logevent"
	"basilmill/core/takeover"
)

const (
	// probeInterval is the time between two probes of the primary. A read may
	// require a position up to this much newer than its allowed age calls for.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds a probe: ten round trips between regions.
	probeTimeout = 400 * time.Millisecond
	// standbyProbeInterval is the time between two probes of a standby host, while no
	// request waits for one. Together with standbyDelay it bounds the time until a
	// change that the responsible hosts don't make is made by others.
	standbyProbeInterval = 3 * time.Second
	// idleProbeInterval is that of all other hosts. A request that waits costs them a
	// round trip to a gateway, which has a recent proof.
	idleProbeInterval = 30 * time.Second
	// idleSearchInterval is the time between two searches of a standby host, and the
	// longest one of a host for which a request waits.
	idleSearchInterval = time.Second
	// responsibilityCheckInterval is the longest time between two checks whether the
	// host has become responsible, for example because a gateway was lost.
	responsibilityCheckInterval = time.Second
	// searchInterval is the time between two searches while no primary is known.
	searchInterval = 60 * time.Millisecond
	// requestRetention is how long after a request for a probe a host searches.
	// Requests that wait for longer renew theirs.
	requestRetention = 2 * time.Second
	// standbyDelay is how long a host that is not responsible leaves a due change
	// to those that are. It exceeds the duration of most changes.
	standbyDelay = 3 * time.Second
	// unsettledInterval is the time between two checks for due work while a
	// change of primary may be due.
	unsettledInterval = 30 * time.Millisecond
	// minWakeInterval is the least time between two checks for due work.
	minWakeInterval = time.Millisecond
	// unprovenThreshold is the age of the newest proof from which the primary
	// counts as unresponsive and a change is attempted: two probes with their
	// timeouts.
	unprovenThreshold = 700 * time.Millisecond
	// noPrimaryThreshold is how long no primary must be known, for example
	// because it refuses connections, before a change is attempted. It covers
	// a restart of the primary's process.
	noPrimaryThreshold = 150 * time.Millisecond
	// sampleRetention is how long samples are kept. It exceeds the maximum
	// ages that the routes allow at present (1.5 s and 2.5 s).
	sampleRetention = 4 * time.Second
	// attemptBackoff is the pause after an attempt to change the primary.
	attemptBackoff = 250 * time.Millisecond
	// futileAttemptBackoff is the pause after an attempt that found the primary
	// active or no server that may replace it, and after one that was to end
	// suspensions, so that status queries do not add to the load of an
	// overloaded group.
	futileAttemptBackoff = 1500 * time.Millisecond
	// yieldBackoff is the pause after repeated attempts to replace an unresponsive primary
	// that were given up with suspensions left. It exceeds the lease, so that a host which
	// reaches the primary can end them.
	yieldBackoff = takeover.LeaseTTL + 2*futileAttemptBackoff
	// maxSuspendingAttempts is the number of such attempts before the pause.
	maxSuspendingAttempts = 2
	// startupGracePeriod is how long after its first list of servers a host
	// tolerates an unreachable primary, so that servers can register: expired
	// entries are back within two seconds after the store recovers.
	startupGracePeriod = 2500 * time.Millisecond
	// peerQueryThreshold is the age of this host's own newest proof from which
	// it queries other hosts for theirs. It is longer than probeInterval and the
	// age of a probe that a gateway shares together. Their proofs let a host that
	// cannot reach the primary serve reads that allow some age.
	peerQueryThreshold = 400 * time.Millisecond
	// peerQueryInterval is the time between two queries to the other hosts.
	peerQueryInterval = 150 * time.Millisecond
	// maxPeerQueryInterval is the longest one. It doubles with each query that finds
	// nothing newer.
	maxPeerQueryInterval = 1200 * time.Millisecond
	// trafficProofInterval is the least time between two samples taken from
	// the answers to callers' statements.
	trafficProofInterval = 50 * time.Millisecond
	// auditInterval is the least time between two audits, which look for
	// replicas that an unfinished attempt left suspended. Each status query is
	// charged for and takes an execution slot.
	auditInterval = 3 * time.Second
	// recordReadDelay is the time from finding a new primary until the record
	// of its change is read: the host that made the change completes the
	// record within a few calls to the store.
	recordReadDelay = time.Second
	// auditsPerFullAudit: one in this many audits covers the replicas of all
	// data centres, and the others only those of the host's own.
	auditsPerFullAudit = 4
)

// ServerClient probes backend servers and sends them commands.
type ServerClient interface {
	// Probe returns the end of the server's log if the server is the primary. The
	// position covers every commit acknowledged more than the age before the
	// call. The error is an *exchange.Error with the code ReadOnly if the server
	// is not the primary.
	Probe(ctx context.Context, server catalog.Server) (position group.Position, age time.Duration, err error)
	Command(ctx context.Context, server catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error)
}

// PrimaryChanger attempts to change the primary of a group.
type PrimaryChanger interface {
	Run(ctx context.Context, request takeover.Request) (group.ServerID, error)
	// ReadRecord reads the record of the last attempt. The lease in it counts
	// from the first time that the host reads it, so that reading it early
	// spares a later attempt the wait.
	ReadRecord(ctx context.Context, id group.ID) error
}

// Peers queries other hosts for the positions that they have proven.
type Peers interface {
	// Positions returns the newest samples of some other hosts. Their At is a
	// reading of this host's clock that is not later than the proof.
	Positions(ctx context.Context, id group.ID) []Sample
}

// Sample is a proven log position of a group's primary: it covers every commit
// acknowledged before At.
type Sample struct {
	// At is the reading of Config.Clock when the probe or the caller's
	// statement that proved the position was sent. For a sample of another
	// host it may be earlier, but not later.
	At       time.Duration
	Position group.Position
}

// Snapshot is an immutable copy of what a Monitor knows about the primary.
type Snapshot struct {
	// Primary is valid if PrimaryKnown is set.
	Primary      catalog.Server
	PrimaryKnown bool
	// LeavingSince is the clock reading from which on the primary may have been leaving;
	// valid if Primary.Leaving is set.
	LeavingSince time.Duration
	// ProvenAt is the clock reading of the last proof that this host made itself.
	ProvenAt time.Duration
	// Samples are sorted by At.
	Samples []Sample
	// TermKnownAt is the clock reading at which the term of the samples became known, and the
	// servers of the group had registered in the store.
	TermKnownAt time.Duration
	changed     chan struct{}
}

// Changed returns a channel that is closed when a newer snapshot is published.
func (s *Snapshot) Changed() <-chan struct{} { return s.changed }

// OldestSampleSince returns the oldest sample that covers every commit
// acknowledged before the given time. Newer ones would exclude more of the
// replicas that lag.
func (s *Snapshot) OldestSampleSince(at time.Duration) (Sample, bool) {
	for _, sample := range s.Samples {
		if sample.At >= at {
			return sample, true
		}
	}
	return Sample{}, false
}

// Term returns the term of the newest sample, zero if there is none.
func (s *Snapshot) Term() group.Term {
	if len(s.Samples) == 0 {
		return 0
	}
	return s.Samples[len(s.Samples)-1].Position.Term
}

// Config holds the parameters and dependencies of a Monitor.
type Config struct {
	Group          group.ID
	Cache          *catalog.Cache
	Client         ServerClient
	PrimaryChanger PrimaryChanger
	// Peers, if set, are queried for their samples while this host has no
	// recent proof of its own.
	Peers Peers
	// DataCentre is the data centre of this host. Its replicas are audited
	// more often than the others.
	DataCentre host.DataCentre
	// Responsible, if set, reports whether this host monitors the group for other
	// hosts too, because it holds connections to one of the servers. Other hosts
	// probe rarely and on request, leave audits to the responsible ones, and attempt
	// a change only if these have not made it within standbyDelay.
	Responsible func(servers []catalog.Server) bool
	// Standby, if set, reports whether this host is to notice that the responsible ones
	// don't act. Without it, every host is. Standby hosts probe now and then without a
	// request, so that the probes of a group do not grow with the hosts.
	Standby func(primary catalog.Server) bool
	// MaxViewDelay bounds how much later than the store this host learns that a server is
	// leaving, also after it was suspended or cut off from the store.
	MaxViewDelay time.Duration
	// Clock returns a monotonic time that also advances while the machine is
	// suspended.
	Clock func() time.Duration
	Log   *logevent.Logger
}

// Monitor keeps track of the primary of one group. The goroutine that calls Run
// owns the state and publishes snapshots of it.
type Monitor struct {
	config   Config
	snapshot atomic.Pointer[Snapshot]
	events   chan event
	// stalledCommits counts the reports of commits that have been waiting for
	// their confirmation for too long.
	stalledCommits atomic.Int64
	createdAt      time.Time
	// lastCommit is the time from createdAt until a commit was last acknowledged to
	// this host, in nanoseconds; zero if none was.
	lastCommit atomic.Int64

	view        *catalog.View
	members     []catalog.Server // the group's servers in view
	responsible bool
	// requestedUntil is until when the host searches as often as a responsible
	// one, because a request waits for a proof.
	requestedUntil time.Duration
	// engagedAt is when the first of these requests was made.
	engagedAt time.Duration

	primary      catalog.Server
	primaryKnown bool
	// primaryReplaced is set if the last primary stated, since its last proof, that it does
	// not lead, or was replaced by this host. It may have confirmed commits since, as a
	// replica.
	primaryReplaced bool
	// listedAt is when the view first held servers of the group; zero if it never did.
	listedAt time.Duration
	// lostAt is when the last primary was lost; while one is known, when the
	// probe or statement that first proved it was sent.
	lostAt   time.Duration
	provenAt time.Duration // when the probe of the last own proof was sent
	// unprovenSince is when the first probe after the last own proof was sent;
	// zero if none was.
	unprovenSince  time.Duration
	probeInFlight  bool
	probeRequested bool // a probe is due as soon as the current one ends
	nextProbe      time.Duration
	// searchProbesInFlight counts the unfinished probes of the current search, and
	// futileSearches the searches since the last proof.
	searchProbesInFlight int
	futileSearches       int
	nextSearch           time.Duration
	// attemptInFlight is set while an attempt runs or the record is read.
	attemptInFlight bool
	nextAttempt     time.Duration
	// nextSuspensionsEnd is when suspensions may be ended next.
	nextSuspensionsEnd time.Duration
	// suspendingAttempts counts the attempts since the last proof that were to replace an
	// unresponsive primary and left servers suspended.
	suspendingAttempts int
	// yieldsUntil is until when an unresponsive primary is left to other hosts.
	yieldsUntil time.Duration
	// changeDueSince is since when a change has been due; zero if none is.
	changeDueSince time.Duration
	// recordReadAt is when the record is to be read; zero if it need not be.
	recordReadAt      time.Duration
	nextAudit         time.Duration
	auditInFlight     bool
	peerQueryInFlight bool
	nextPeerQuery     time.Duration
	// futilePeerQueries counts the queries since the last that found newer samples.
	futilePeerQueries int
	auditCount        int
	lastSuspended     map[group.ServerID]bool
	// leftoverSuspensions is set if the last audit found replicas that an
	// unfinished attempt left suspended. mayHaveLeftSuspensions is set after
	// an attempt of this host that may have left some, and while commits are stalled and
	// this host can't replace the primary.
	leftoverSuspensions    bool
	mayHaveLeftSuspensions bool
	samples                []Sample
	// termKnownAt is Snapshot.TermKnownAt.
	termKnownAt time.Duration
	departures  departures
	formerLists formerLists
	leaving     leaving
	viewGap     viewGap
}

// event is an update that the goroutine of a Monitor applies to its state.
type event interface{ apply(m *Monitor) }

// New returns a Monitor that knows no primary yet.
func New(config Config) *Monitor {
	m := &Monitor{config: config, events: make(chan event, 64), createdAt: time.Now()}
	m.snapshot.Store(&Snapshot{changed: make(chan struct{})})
	return m
}

// Snapshot returns the current snapshot.
func (m *Monitor) Snapshot() *Snapshot { return m.snapshot.Load() }

// RequestProbe requests a probe of the primary that is sent after the call.
func (m *Monitor) RequestProbe() { m.send(probeRequestEvent{}) }

// ReportNotPrimary reports that a server refused a write or a transaction
// because it is not the primary.
func (m *Monitor) ReportNotPrimary(id group.ServerID) { m.send(notPrimaryEvent{id}) }

// ReportProof reports that the answer to a caller's statement proved a server
// to be the primary after the given time, and the end of its log then.
func (m *Monitor) ReportProof(server catalog.Server, at time.Duration, position group.Position) {
	snapshot := m.Snapshot()
	if snapshot.PrimaryKnown && at-snapshot.ProvenAt < trafficProofInterval && snapshot.Primary.ID == server.ID {
		return
	}
	m.send(proofEvent{server: server, at: at, position: position})
}

// ReportCommit reports that a commit was acknowledged to this host.
func (m *Monitor) ReportCommit() { m.lastCommit.Store(int64(time.Since(m.createdAt))) }

// lastCommitAt returns when a commit was last acknowledged to this host, or when the
// monitor was created.
func (m *Monitor) lastCommitAt() time.Time {
	return m.createdAt.Add(time.Duration(m.lastCommit.Load()))
}

// ReportStalledCommit reports that a commit has been waiting for its
// confirmation for longer than replication normally takes.
func (m *Monitor) ReportStalledCommit() {
	m.stalledCommits.Add(1)
	m.send(wakeEvent{})
}

// ReportStoreRestored reports that the platform's store was restored from a copy, which
// may lack the record of the last change.
func (m *Monitor) ReportStoreRestored() { m.send(storeRestoredEvent{}) }

// ReportOutdatedView reports that the view may lack changes of servers since the given
// time, because the platform's store does not answer.
func (m *Monitor) ReportOutdatedView(since time.Duration) { m.send(outdatedViewEvent{since}) }

// send queues an event unless the queue is full. It never blocks: a dropped
// report costs one probe interval.
func (m *Monitor) send(e event) {
	select {
	case m.events <- e:
	default:
	}
}

// Run monitors the primary until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	m.lostAt = m.config.Clock()
	m.departures = departures{lastAt: m.lostAt, unproven: true}
	viewChanged := m.config.Cache.Changed()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-m.events:
			e.apply(m)
		case <-viewChanged:
			viewChanged = m.config.Cache.Changed()
		case <-timer.C:
		}
		m.startDueWork(ctx)
		wait := m.untilDue()
		m.viewGap.noteWait(wait)
		timer.Reset(wait)
	}
}

// startDueWork starts the probes, searches, attempts, queries and audits that
// are due.
func (m *Monitor) startDueWork(ctx context.Context) {
	now := m.config.Clock()
	m.viewGap.noteCheck(now)
	m.updateMembers(now)
	m.departures.update(m.primary.ID, now, m.samples)
	if !m.isStartingUp(now) {
		m.formerLists.note(m.config.Cache.Listed(m.config.Group), now)
	}
	m.updateResponsible(now)
	m.updatePrimaryEntry(m.members)
	if m.primaryKnown && !m.probeInFlight && (m.probeRequested || now >= m.nextProbe) {
		m.startProbe(ctx, now)
	}
	if m.searchDue(m.members, now) {
		m.startSearch(ctx, m.members, now)
	}
	if m.attemptDue(now) {
		m.startDueChange(ctx, now)
	}
	if m.responsible && !m.attemptInFlight && m.recordReadAt != 0 && now >= m.recordReadAt {
		m.startRecordRead(ctx)
	}
	if m.peerQueryDue(now) {
		m.queryPeers(ctx, now)
	}
	if m.auditDue(now) {
		m.startAudit(ctx, m.members, now)
	}
}

// updateResponsible notes whether this host is responsible for the group: it is the
// gateway to the primary, or to any server while there is no primary that stays. A host
// that has become responsible probes at once.
func (m *Monitor) updateResponsible(now time.Duration) {
	before := m.responsible
	servers := m.members
	if m.primaryKnown && !m.primary.Leaving {
		servers = []catalog.Server{m.primary}
	}
	m.responsible = m.config.Responsible == nil || m.config.Responsible(servers)
	if m.responsible && !before {
		m.nextProbe = min(m.nextProbe, now)
	}
}

// updateMembers notes the group's servers if the view has changed.
func (m *Monitor) updateMembers(now time.Duration) {
	view := m.config.Cache.View()
	if view == m.view {
		return
	}
	members := view.Members(m.config.Group)
	if !m.primaryKnown && !slices.Equal(members, m.members) {
		m.nextSearch, m.futileSearches = now, 0
	}
	m.view, m.members = view, members
	if m.listedAt == 0 && len(members) > 0 {
		m.listedAt = now
	}
	m.departures.note(members, m.primary.ID, now, m.samples)
	m.leaving.note(members, now, m.viewGap.earliest(now), m.config.MaxViewDelay)
}

// untilDue returns the time until work may be due that neither an event nor a
// change of the view announces.
func (m *Monitor) untilDue() time.Duration {
	now := m.config.Clock()
	if m.isUnsettled(now) {
		return unsettledInterval
	}
	due := now + responsibilityCheckInterval
	switch {
	case !m.primaryKnown:
		if m.searchProbesInFlight == 0 && m.isInvolved(now) {
			due = min(due, m.nextSearch)
		}
	case !m.probeInFlight:
		due = min(due, m.nextProbe)
	}
	if m.responsible && !m.attemptInFlight {
		if m.recordReadAt != 0 {
			due = min(due, m.recordReadAt)
		}
		if m.primaryKnown && !m.auditInFlight {
			due = min(due, m.nextAudit)
		}
	}
	return max(due-now, minWakeInterval)
}

// isUnsettled reports whether a change of primary, or another reaction to a fault,
// may become due at any time.
func (m *Monitor) isUnsettled(now time.Duration) bool {
	if !m.primaryKnown {
		return m.isEngaged(now)
	}
	return m.unprovenSince != 0 || m.changeDueSince != 0 || m.primary.Leaving || m.leftoverSuspensions ||
		m.mayHaveLeftSuspensions || m.stalledCommits.Load() > 0 || m.otherClaimsPrimary(m.members)
}

// isEngaged reports whether this host has to find the primary of the group soon:
// it is responsible, or a request waits.
func (m *Monitor) isEngaged(now time.Duration) bool { return m.responsible || now < m.requestedUntil }

// isInvolved reports whether this host has to find the primary of the group at all.
// After a start of many hosts, the others would add a search each for every group to the
// load of the few that hold connections.
func (m *Monitor) isInvolved(now time.Duration) bool {
	return m.isEngaged(now) || slices.ContainsFunc(m.members, m.isStandby)
}

// isStandby reports whether this host stands by for the gateway to a server.
func (m *Monitor) isStandby(s catalog.Server) bool {
	return m.config.Standby == nil || m.config.Standby(s)
}

// probeInterval returns the time from a proof to the next probe.
func (m *Monitor) probeInterval() time.Duration {
	switch {
	case m.responsible:
		return probeInterval
	case m.isStandby(m.primary):
		return standbyProbeInterval
	default:
		return idleProbeInterval
	}
}

// unprovenFor returns for how long this host has sought a newer proof of the
// primary. It counts from the last proof, but not for the time in which the host
// left probes out.
func (m *Monitor) unprovenFor(now time.Duration) time.Duration {
	if m.unprovenSince == 0 {
		return 0
	}
	return now - max(m.provenAt, m.unprovenSince-probeInterval)
}

// publish replaces the snapshot by a copy of the current state.
func (m *Monitor) publish() {
	old := m.snapshot.Load()
	m.snapshot.Store(&Snapshot{
		Primary: m.primary, PrimaryKnown: m.primaryKnown, LeavingSince: m.leaving.since(m.primary.ID), ProvenAt: m.provenAt,
		Samples: append([]Sample(nil), m.samples...), TermKnownAt: m.termKnownAt, changed: make(chan struct{}),
	})
	close(old.changed)
}

// markLost notes that no primary is known any more.
func (m *Monitor) markLost(reason string) {
	if !m.primaryKnown {
		return
	}
	m.primaryKnown = false
	m.unprovenSince = 0
	m.lostAt = m.config.Clock()
	m.nextProbe, m.nextSearch = m.lostAt, m.lostAt
	m.log(logevent.PrimaryLost, slog.String("server", string(m.primary.ID)), slog.String("why", reason), slog.Duration("proven_before", m.lostAt-m.provenAt))
	m.publish()
}

func (m *Monitor) log(number logevent.Number, attrs ...slog.Attr) {
	m.config.Log.Write(context.Background(), number, append([]slog.Attr{slog.String("group", string(m.config.Group))}, attrs...)...)
}

func errAttr(err error) slog.Attr {
	if err == nil {
		return slog.String("error", "")
	}
	return slog.String("error", err.Error())
}
