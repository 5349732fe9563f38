package lead

import (
	"errors"
	"log/slog"
	"math/rand/v2"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/logevent"
	"basilmill/core/takeover"
)

// probeRequestEvent requests a probe of the primary.
type probeRequestEvent struct{}

func (probeRequestEvent) apply(m *Monitor) {
	now := m.config.Clock()
	m.probeRequested = true
	if !m.isEngaged(now) {
		m.engagedAt = now
		if !m.primaryKnown {
			m.nextSearch, m.futileSearches = now, 0
		}
	}
	m.requestedUntil = now + requestRetention
}

// wakeEvent makes the goroutine check for due work.
type wakeEvent struct{}

func (wakeEvent) apply(*Monitor) {}

// storeRestoredEvent says that the platform's store was restored from a copy.
type storeRestoredEvent struct{}

// apply makes a responsible host read the record soon, so that a lost one is written
// again before the next change. The random delay lets one host do so for the others.
func (storeRestoredEvent) apply(m *Monitor) {
	m.recordReadAt = m.config.Clock() + rand.N(recordReadDelay)
}

// outdatedViewEvent says that the view may lack changes of servers since a time.
type outdatedViewEvent struct{ since time.Duration }

func (e outdatedViewEvent) apply(m *Monitor) { m.viewGap.extend(e.since, m.config.Clock()) }

// notPrimaryEvent says that a server refused a write or a transaction because it
// is not the primary.
type notPrimaryEvent struct{ server group.ServerID }

func (e notPrimaryEvent) apply(m *Monitor) {
	if m.primaryKnown && e.server == m.primary.ID {
		m.probeRequested = true
	}
}

// probeResultEvent is the result of a probe. The field search says whether the
// probe was part of a search or was sent to the known primary.
type probeResultEvent struct {
	server   catalog.Server
	sentAt   time.Duration
	position group.Position
	err      error
	search   bool
}

func (e probeResultEvent) apply(m *Monitor) {
	if e.search {
		m.searchProbesInFlight--
	} else {
		m.probeInFlight = false
	}
	if e.err == nil {
		m.recordProof(e.server, e.sentAt, e.position)
		return
	}
	if e.server.ID != m.primary.ID {
		return
	}
	var refusal *exchange.Error
	switch {
	case errors.As(e.err, &refusal) && refusal.Code == exchange.ReadOnly:
		m.primaryReplaced = true
		m.markLost("does not lead")
	case isConnectionRefused(e.err):
		m.markLost("refuses connections")
	}
}

// proofEvent is a proof from the answer to a caller's statement.
type proofEvent struct {
	server   catalog.Server
	at       time.Duration
	position group.Position
}

func (e proofEvent) apply(m *Monitor) { m.recordProof(e.server, e.at, e.position) }

// recordProof records a proof that a server was the primary after the given
// time. A proof of a lower term than a known one is stale and ignored, and so is
// one of another server that is older than the last proof of the known primary.
func (m *Monitor) recordProof(server catalog.Server, at time.Duration, position group.Position) {
	if n := len(m.samples); n > 0 && position.Term < m.samples[n-1].Position.Term {
		return
	}
	if m.primaryKnown && m.primary.ID != server.ID && at < m.provenAt {
		return
	}
	if !m.primaryKnown || m.primary.ID != server.ID {
		m.log(logevent.PrimaryFound, slog.String("server", string(server.ID)), slog.Int64("term", int64(position.Term)), slog.String("position", position.String()),
			slog.Duration("gap", m.config.Clock()-m.lostAt))
		m.primary, m.primaryKnown = server, true
		m.recordReadAt = m.config.Clock() + recordReadDelay
		m.lostAt = at
	}
	m.departures.noteProof(at, position)
	m.primaryReplaced = false
	m.provenAt = max(m.provenAt, at)
	m.unprovenSince = 0
	m.futileSearches, m.futilePeerQueries = 0, 0
	m.suspendingAttempts, m.yieldsUntil = 0, 0
	m.nextProbe = max(m.nextProbe, at+m.probeInterval())
	m.addSample(Sample{At: at, Position: position})
	m.publish()
}

// peerSamplesEvent holds the samples of other hosts.
type peerSamplesEvent struct{ samples []Sample }

func (e peerSamplesEvent) apply(m *Monitor) {
	m.peerQueryInFlight = false
	for _, s := range e.samples {
		if s.At <= m.newestProof() || len(m.samples) > 0 && s.Position.Term < m.samples[len(m.samples)-1].Position.Term {
			continue
		}
		m.departures.noteProof(s.At, s.Position)
		m.addSample(s)
		m.publish()
		m.futilePeerQueries = 0
	}
}

// addSample adds a sample in order of time. It drops expired samples and those
// of other terms: positions of an earlier term may lie beyond the start of the
// new term, so that no server would ever reach them.
func (m *Monitor) addSample(s Sample) {
	n := len(m.samples)
	if n == 0 || s.Position.Term > m.samples[n-1].Position.Term {
		// A list of the time before may lack servers whose entries had expired.
		m.termKnownAt = max(m.config.Clock(), m.listedAt+startupGracePeriod)
	}
	if n > 0 && s.Position.Term > m.samples[n-1].Position.Term {
		m.formerLists.noteTerm(m.samples[n-1].At)
	}
	var kept []Sample
	for _, old := range m.samples {
		if old.Position.Term == s.Position.Term && s.At-old.At < sampleRetention {
			kept = append(kept, old)
		}
	}
	index := len(kept)
	for index > 0 && kept[index-1].At > s.At {
		index--
	}
	kept = append(kept, Sample{})
	copy(kept[index+1:], kept[index:])
	kept[index] = s
	m.samples = kept
}

// attemptResultEvent is the result of an attempt to change the primary.
type attemptResultEvent struct {
	request takeover.Request
	server  group.ServerID
	err     error
}

func (e attemptResultEvent) apply(m *Monitor) {
	m.attemptInFlight = false
	now := m.config.Clock()
	m.nextAttempt = now + attemptBackoff
	m.nextSuspensionsEnd = m.nextAttempt
	switch {
	case errors.Is(e.err, takeover.ErrPrimaryActive):
		m.nextAttempt = now + futileAttemptBackoff
		m.stalledCommits.Store(0)
	case errors.Is(e.err, takeover.ErrLogIncomplete), e.request.Cause == takeover.ReplicasSuspended:
		m.nextAttempt = now + futileAttemptBackoff
	}
	if e.request.Cause == takeover.PrimaryUnresponsive && errors.Is(e.err, takeover.ErrSuspensionsRemain) {
		if m.suspendingAttempts++; m.suspendingAttempts >= maxSuspendingAttempts {
			m.yieldsUntil = now + yieldBackoff
		}
	}
	// One that led to a later term, but not to that of all suspensions, is not futile.
	if e.request.Cause == takeover.ReplicasSuspended && e.server == "" {
		m.nextSuspensionsEnd = now + futileAttemptBackoff
	}
	if e.err != nil {
		m.log(logevent.ChangeRefused, slog.String("cause", e.request.Cause.String()), errAttr(e.err))
		// Suspended replicas stall the commits, too.
		stalled := e.request.Cause == takeover.CommitsStalled && !errors.Is(e.err, takeover.ErrPrimaryActive)
		m.mayHaveLeftSuspensions = m.mayHaveLeftSuspensions || stalled || errors.Is(e.err, takeover.ErrSuspensionsRemain)
		return
	}
	m.log(logevent.ChangeCompleted, slog.String("cause", e.request.Cause.String()), slog.String("server", string(e.server)))
	m.leftoverSuspensions, m.mayHaveLeftSuspensions = false, false
	if m.primaryKnown && m.primary.ID != e.server {
		m.markLost("replaced by this host")
		m.primaryReplaced = true
	}
	m.nextProbe, m.nextSearch = now, now
	m.nextAudit = now
}

// recordReadEvent is the result of reading the record of the last change. After
// a failure the next attempt may have to wait for a lease that counts from when
// that attempt reads the record.
type recordReadEvent struct{ err error }

func (e recordReadEvent) apply(m *Monitor) {
	m.attemptInFlight = false
	if e.err != nil {
		m.log(logevent.ChangeRefused, slog.String("cause", "look"), errAttr(e.err))
	}
}

// auditResultEvent is the result of an audit: the replicas found suspended.
type auditResultEvent struct{ suspended map[group.ServerID]bool }

// apply concludes that an unfinished attempt left a replica suspended if two
// audits in a row found it suspended, because few attempts last that long. One that does
// holds the lease, so that the suspension is not ended meanwhile. After an unfinished
// attempt of this host one audit is enough.
func (e auditResultEvent) apply(m *Monitor) {
	m.auditInFlight = false
	m.leftoverSuspensions = false
	for server := range e.suspended {
		if m.lastSuspended[server] || m.mayHaveLeftSuspensions {
			m.leftoverSuspensions = true
			m.log(logevent.ReplicaSuspended, slog.String("server", string(server)))
		}
	}
	m.mayHaveLeftSuspensions = false
	m.lastSuspended = e.suspended
}
