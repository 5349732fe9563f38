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
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"syscall"
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
	// leads, so that an overloaded group is not asked for its status all the
	// time.
	aliveTime = 1500 * time.Millisecond
	// settleTime is how long after its start a host waits for servers to
	// register before it takes a group without a primary for one that lost it:
	// entries that lapsed are back within two seconds of the store's return.
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
	// remoteAudits is the number of audits of the own data centre's replicas
	// for each audit of all.
	remoteAudits = 4
)

// Databases proves leadership and sends commands.
type Databases interface {
	// Probe returns the end of the server's log if the server leads. The error
	// is an *exchange.Error with ReadOnly if it does not lead.
	Probe(ctx context.Context, server catalog.Server) (group.Position, error)
	Command(ctx context.Context, server catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error)
}

// Attempter makes an attempt to change the primary.
type Attempter interface {
	Run(ctx context.Context, s takeover.Situation) (group.ServerID, error)
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
	// Leader is valid if Known.
	Leader catalog.Server
	Known  bool
	// Since is the clock's reading at which the leader was lost or found.
	Since time.Duration
	// Proven is the clock's reading at the last proof that this host made.
	Proven time.Duration
	// Samples are in order of time.
	Samples []Sample
	changed chan struct{}
}

// Changed returns a channel that is closed when a newer snapshot exists.
func (s *Snapshot) Changed() <-chan struct{} { return s.changed }

// Covering returns a position that covers every commit acknowledged before the
// given time, the lowest one known.
func (s *Snapshot) Covering(at time.Duration) (group.Position, bool) {
	for _, sample := range s.Samples {
		if sample.At >= at {
			return sample.Position, true
		}
	}
	return group.Position{}, false
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
	Group     group.ID
	Book      *catalog.Book
	Databases Databases
	Attempter Attempter
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
	nextAudit  time.Duration
	auditing   bool
	asking     bool
	nextAsk    time.Duration
	audits     int
	audited    map[group.ServerID]bool
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

// Ask causes a probe that is sent after the call.
func (m *Monitor) Ask() { m.send(askInput{}) }

// NotLeading reports that a server refused a write or a transaction because it
// does not lead.
func (m *Monitor) NotLeading(id group.ServerID) { m.send(refusedInput{id}) }

// Proven reports that traffic proved that a server led after the given time,
// and the end of its log then.
func (m *Monitor) Proven(server catalog.Server, at time.Duration, position group.Position) {
	snapshot := m.Snapshot()
	if snapshot.Known && at-snapshot.Proven < proofSpacing && snapshot.Leader.ID == server.ID {
		return
	}
	m.send(provenInput{server: server, at: at, position: position})
}

// Stalled reports that a commit has been waiting for a confirmation for longer
// than replication takes.
func (m *Monitor) Stalled() { m.stalls.Add(1) }

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
	m.lost = m.config.Clock()
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
	if m.config.Peers != nil && !m.asking && now >= m.nextAsk && now-m.proven > lonelyTime {
		m.askPeers(ctx, now)
	}
	if m.known && !m.auditing && !m.attempt && now >= m.nextAudit {
		m.startAudit(ctx, members, now)
	}
}

// follow updates the leader's entry and forgets a leader whose entry is gone.
func (m *Monitor) follow(members []catalog.Server) {
	if !m.known {
		return
	}
	for _, s := range members {
		if s.ID == m.leader.ID {
			if s.Boot != m.leader.Boot || s.Address != m.leader.Address {
				break
			}
			if s != m.leader {
				m.leader = s
				m.publish()
			}
			return
		}
	}
	m.lose("entry gone or restarted")
}

// searchDue reports whether other servers should be probed: no leader is
// known, it is unproven for too long, or another server says that it leads.
func (m *Monitor) searchDue(members []catalog.Server, now time.Duration) bool {
	if m.searching > 0 || now < m.nextSearch {
		return false
	}
	if !m.known || now-m.proven > suspectTime {
		return true
	}
	for _, s := range members {
		if s.Primary && s.ID != m.leader.ID {
			return true
		}
	}
	return false
}

func (m *Monitor) startProbe(ctx context.Context, now time.Duration) {
	m.probing, m.asked = true, false
	m.nextProbe = now + probeInterval
	m.probe(ctx, m.leader, now, false)
}

func (m *Monitor) startSearch(ctx context.Context, members []catalog.Server, now time.Duration) {
	m.nextSearch = now + searchInterval
	if m.known {
		m.nextSearch = now + probeInterval
	}
	for _, s := range members {
		if m.known && s.ID == m.leader.ID {
			continue
		}
		m.searching++
		m.probe(ctx, s, now, true)
	}
}

func (m *Monitor) probe(ctx context.Context, s catalog.Server, now time.Duration, search bool) {
	go func() {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		position, err := m.config.Databases.Probe(probeCtx, s)
		select {
		case m.inputs <- probeInput{server: s, sent: now, position: position, err: err, search: search}:
		case <-ctx.Done():
		}
	}()
}

// askPeers asks other hosts for their proofs.
func (m *Monitor) askPeers(ctx context.Context, now time.Duration) {
	m.asking = true
	m.nextAsk = now + askInterval
	go func() {
		samples := m.config.Peers.Positions(ctx, m.config.Group)
		select {
		case m.inputs <- peersInput{samples}:
		case <-ctx.Done():
		}
	}()
}

// newest returns the time of the newest proof of any host.
func (m *Monitor) newest() time.Duration {
	if n := len(m.samples); n > 0 {
		return max(m.proven, m.samples[n-1].At)
	}
	return m.proven
}

// situation returns the change that the belief calls for.
func (m *Monitor) situation(members []catalog.Server, now time.Duration) (takeover.Situation, bool) {
	s := takeover.Situation{Group: m.config.Group, Primary: m.leader, Members: members}
	if !m.known {
		// Servers register within the first second of a deployment.
		if len(members) < 2 || now-m.lost < goneTime || m.leader.ID == "" && now-m.lost < settleTime {
			return s, false
		}
		s.Cause = takeover.Gone
		// Another host reached a primary since.
		return s, m.newest() < m.lost
	}
	if now-m.newest() > suspectTime {
		s.Cause = takeover.Lost
		return s, true
	}
	if m.leader.Leaving {
		s.Cause = takeover.Leaving
		return s, true
	}
	if m.stalls.Swap(0) > 0 {
		s.Cause = takeover.Stalled
		return s, true
	}
	return s, false
}

func (m *Monitor) startAttempt(ctx context.Context, s takeover.Situation) {
	m.attempt = true
	m.log(logevent.PrimarySuspected, slog.String("cause", s.Cause.String()), slog.String("primary", string(s.Primary.ID)),
		slog.Duration("unproven", m.config.Clock()-m.proven), slog.Int("members", len(s.Members)))
	go func() {
		if s.Cause == takeover.Leaving {
			// Hosts learn of a leaving server at the same time; the first one
			// to claim makes the change.
			timer := time.NewTimer(rand.N(retryTime))
			defer timer.Stop()
			<-timer.C
		}
		server, err := m.config.Attempter.Run(ctx, s)
		select {
		case m.inputs <- attemptInput{situation: s, server: server, err: err}:
		case <-ctx.Done():
		}
	}()
}

// startAudit looks for suspended replicas while the leader is in reach.
func (m *Monitor) startAudit(ctx context.Context, members []catalog.Server, now time.Duration) {
	m.auditing = true
	m.nextAudit = now + auditInterval + rand.N(auditInterval)
	m.audits++
	all := m.audits%remoteAudits == 0 || len(m.audited) > 0
	leader, suspects := m.leader.ID, m.audited
	go func() {
		found := map[group.ServerID]bool{}
		for _, s := range members {
			if s.ID != leader && (all || s.DataCentre == m.config.DataCentre) {
				m.audit(ctx, s, suspects, found)
			}
		}
		select {
		case m.inputs <- auditInput{found}:
		case <-ctx.Done():
		}
	}()
}

// audit resumes a replica that two audits in a row found suspended: no attempt
// lasts that long.
func (m *Monitor) audit(ctx context.Context, s catalog.Server, suspects, found map[group.ServerID]bool) {
	commandCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := m.config.Databases.Command(commandCtx, s, exchange.Statement{Operation: exchange.Status})
	if err != nil || status.Suspended == 0 {
		return
	}
	found[s.ID] = true
	if !suspects[s.ID] {
		return
	}
	_, err = m.config.Databases.Command(commandCtx, s, exchange.Statement{Operation: exchange.Resume})
	m.log(logevent.ReplicaResumed, slog.String("server", string(s.ID)), slog.Int64("suspended", int64(status.Suspended)), errAttr(err))
}

func (m *Monitor) publish() {
	old := m.snapshot.Load()
	m.snapshot.Store(&Snapshot{
		Leader: m.leader, Known: m.known, Since: m.lost, Proven: m.proven,
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

// refuses reports whether an error proves that no process serves the address.
func refuses(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
