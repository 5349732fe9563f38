// Package lead owns what a host believes about the primary of one group: which
// server leads, when that was last proven, and which log positions were proven
// at which times. It decides when to look for another primary and when to
// attempt a change.
//
// A probe asks a server to begin a transaction for writing, which only a
// server that leads accepts, and reads the end of its log. A position that the
// leader states in answer to a probe sent at time t covers every commit
// acknowledged before t.
package lead

import (
	"context"
	"log/slog"
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
	// probeInterval is the time between two probes of the leader. It bounds
	// how much older than necessary the position for a read is.
	probeInterval = 200 * time.Millisecond
	// probeTimeout bounds a probe: ten round trips between regions.
	probeTimeout = 400 * time.Millisecond
	// searchInterval is the time between two searches for a leader.
	searchInterval = 60 * time.Millisecond
	// suspectTime is how long the leader may go unproven before a change is
	// considered: two probes with their time limits.
	suspectTime = 700 * time.Millisecond
	// goneTime is the same for a leader that refuses connections; it covers
	// the restart of its process.
	goneTime = 150 * time.Millisecond
	// sampleTime is how long positions are kept. It exceeds the ages that
	// today's routes allow (1.5 s and 2.5 s).
	sampleTime = 4 * time.Second
	// retryTime is the pause after an attempt that changed nothing.
	retryTime = 250 * time.Millisecond
	// aliveTime is the pause after an attempt that found that the primary
	// leads or that no server may replace it, so that an overloaded group is not
	// asked for its status all the time.
	aliveTime = 1500 * time.Millisecond
	// settleTime is how long after its start a host waits for servers to
	// register before it replaces a primary that is out of reach: entries that
	// lapsed are back within two seconds of the store's return.
	settleTime = 2500 * time.Millisecond
	// lonelyTime is how long a host goes without a proof before it asks others:
	// longer than the time between two probes. While it has no connection to
	// the primary, their proofs let it serve reads that allow some age.
	lonelyTime = 300 * time.Millisecond
	// askInterval is the time between two rounds of asking others.
	askInterval = 150 * time.Millisecond
	// proofSpacing is the time between two samples taken from traffic.
	proofSpacing = 50 * time.Millisecond
	// auditInterval is the least time between two looks for replicas that an
	// unfinished attempt left suspended. Each look is a priced request and
	// takes a slot.
	auditInterval = 3 * time.Second
	// lookDelay is the time from finding a primary until the record of its change
	// is read: its author completes it within a few calls of the store.
	lookDelay = time.Second
	// remoteAudits is the number of audits of the own data centre's replicas
	// for each audit of all.
	remoteAudits = 4
)

// ServerClient proves leadership and sends commands.
type ServerClient interface {
	// Probe returns the end of the server's log if the server leads. The error
	// is an *exchange.Error with ReadOnly if it does not lead.
	Probe(ctx context.Context, server catalog.Server) (group.Position, error)
	Command(ctx context.Context, server catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error)
}

// PrimaryChanger makes an attempt to change the primary.
type PrimaryChanger interface {
	Run(ctx context.Context, s takeover.Situation) (group.ServerID, error)
	// ReadRecord reads the number of the last attempt, so that a later attempt need
	// not wait because it sees that number for the first time.
	ReadRecord(ctx context.Context, id group.ID) error
}

// Peers asks other hosts what they have proven.
type Peers interface {
	// Positions returns proofs of some other hosts. At of each is a reading of
	// this host's clock that is not later than the proof.
	Positions(ctx context.Context, id group.ID) []Sample
}

// Sample is a position of the leader.
type Sample struct {
	// At is the clock's reading when the probe was sent.
	At       time.Duration
	Position group.Position
}

// Snapshot is an immutable state of the belief.
type Snapshot struct {
	// Primary is valid if Known.
	Primary      catalog.Server
	PrimaryKnown bool
	// ProvenAt is the clock's reading at the last proof that this host made.
	ProvenAt time.Duration
	// Samples are in order of time.
	Samples []Sample
	changed chan struct{}
}

// Changed returns a channel that is closed when a newer snapshot exists.
func (s *Snapshot) Changed() <-chan struct{} { return s.changed }

// OldestSampleSince returns the sample whose position covers every commit acknowledged
// before the given time, the lowest one known.
func (s *Snapshot) OldestSampleSince(at time.Duration) (Sample, bool) {
	for _, sample := range s.Samples {
		if sample.At >= at {
			return sample, true
		}
	}
	return Sample{}, false
}

// Term returns the term of the newest sample.
func (s *Snapshot) Term() group.Term {
	if len(s.Samples) == 0 {
		return 0
	}
	return s.Samples[len(s.Samples)-1].Position.Term
}

// Config sets up a Monitor.
type Config struct {
	Group          group.ID
	Book           *catalog.Book
	Client         ServerClient
	PrimaryChanger PrimaryChanger
	// Peers, if set, are asked for their proofs while this host has none.
	Peers Peers
	// DataCentre is the host's own, whose replicas it audits most often.
	DataCentre host.DataCentre
	// Clock is a clock that goes on while the machine is suspended.
	Clock func() time.Duration
	Log   *logevent.Logger
}

// Monitor keeps the belief about one group. One goroutine, Run, owns its state
// and publishes snapshots.
type Monitor struct {
	config   Config
	snapshot atomic.Pointer[Snapshot]
	inputs   chan input
	// stalls counts commits in flight without an answer for too long.
	stalls atomic.Int64

	leader    catalog.Server
	known     bool
	started   time.Duration // when the first view was there
	lost      time.Duration // when the leader was lost
	proven    time.Duration // when the probe of the last proof was sent
	probing   bool
	asked     bool // a probe is wanted as soon as the current one ends
	nextProbe time.Duration
	// searching counts the probes of the current search.
	searching  int
	nextSearch time.Duration
	attempt    bool
	nextTry    time.Duration
	// lookAt is when the record is read; zero if it need not be.
	lookAt    time.Duration
	nextAudit time.Duration
	auditing  bool
	asking    bool
	nextAsk   time.Duration
	audits    int
	audited   map[group.ServerID]bool
	// leftover is set while an audit found suspensions of an unfinished
	// attempt, unfinished after an attempt of this host that may have left some.
	leftover   bool
	unfinished bool
	samples    []Sample
}

// input is what the goroutine of a Monitor receives.
type input interface{ apply(m *Monitor) }

// New returns a Monitor whose belief is empty.
func New(config Config) *Monitor {
	m := &Monitor{config: config, inputs: make(chan input, 64)}
	m.snapshot.Store(&Snapshot{changed: make(chan struct{})})
	return m
}

// Snapshot returns the current belief.
func (m *Monitor) Snapshot() *Snapshot { return m.snapshot.Load() }

// RequestProbe causes a probe that is sent after the call.
func (m *Monitor) RequestProbe() { m.send(askInput{}) }

// ReportNotPrimary reports that a server refused a write or a transaction because it
// does not lead.
func (m *Monitor) ReportNotPrimary(id group.ServerID) { m.send(refusedInput{id}) }

// ReportProof reports that traffic proved that a server led after the given time,
// and the end of its log then.
func (m *Monitor) ReportProof(server catalog.Server, at time.Duration, position group.Position) {
	snapshot := m.Snapshot()
	if snapshot.PrimaryKnown && at-snapshot.ProvenAt < proofSpacing && snapshot.Primary.ID == server.ID {
		return
	}
	m.send(provenInput{server: server, at: at, position: position})
}

// ReportStalledCommit reports that a commit has been waiting for a confirmation for longer
// than replication takes.
func (m *Monitor) ReportStalledCommit() { m.stalls.Add(1) }

// send never blocks: a lost hint costs one probe interval.
func (m *Monitor) send(i input) {
	select {
	case m.inputs <- i:
	default:
	}
}

// Run keeps the belief until ctx ends.
func (m *Monitor) Run(ctx context.Context) error {
	ticker := time.NewTicker(searchInterval / 2)
	defer ticker.Stop()
	m.started = m.config.Clock()
	m.lost = m.started
	for {
		select {
		case <-ctx.Done():
			return nil
		case i := <-m.inputs:
			i.apply(m)
		case <-ticker.C:
		}
		m.step(ctx)
	}
}

// step starts what is due.
func (m *Monitor) step(ctx context.Context) {
	now := m.config.Clock()
	members := m.config.Book.View().Members(m.config.Group)
	m.follow(members)
	if m.known && !m.probing && (m.asked || now >= m.nextProbe) {
		m.startProbe(ctx, now)
	}
	if m.searchDue(members, now) {
		m.startSearch(ctx, members, now)
	}
	if !m.attempt && now >= m.nextTry {
		if s, ok := m.situation(members, now); ok {
			m.startAttempt(ctx, s)
		}
	}
	if !m.attempt && m.lookAt != 0 && now >= m.lookAt {
		m.startLook(ctx)
	}
	if m.config.Peers != nil && !m.asking && now >= m.nextAsk && now-m.proven > lonelyTime {
		m.askPeers(ctx, now)
	}
	if m.known && !m.auditing && !m.attempt && (now >= m.nextAudit || m.unfinished) {
		m.startAudit(ctx, members, now)
	}
}

func (m *Monitor) publish() {
	old := m.snapshot.Load()
	m.snapshot.Store(&Snapshot{
		Primary: m.leader, PrimaryKnown: m.known, ProvenAt: m.proven,
		Samples: append([]Sample(nil), m.samples...), changed: make(chan struct{}),
	})
	close(old.changed)
}

// lose forgets the leader.
func (m *Monitor) lose(why string) {
	if !m.known {
		return
	}
	m.known = false
	m.lost = m.config.Clock()
	m.nextProbe, m.nextSearch = m.lost, m.lost
	m.log(logevent.PrimaryLost, slog.String("server", string(m.leader.ID)), slog.String("why", why), slog.Duration("proven_before", m.lost-m.proven))
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
