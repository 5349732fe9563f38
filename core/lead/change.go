package lead

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/logevent"
	"basilmill/core/takeover"
)

// newestProof returns the time of the newest proof of this or another host.
func (m *Monitor) newestProof() time.Duration {
	if n := len(m.samples); n > 0 {
		return max(m.provenAt, m.samples[n-1].At)
	}
	return m.provenAt
}

// dueChange returns the change of primary that the state calls for, if any.
func (m *Monitor) dueChange(members []catalog.Server, now time.Duration) (takeover.Request, bool) {
	request := takeover.Request{
		Group: m.config.Group, Primary: m.primary, Members: members, Departed: m.departures.departed(now, m.primaryReplaced || m.primary.ID == ""),
		FormerLists:       m.formerLists.lists(now, m.primaryReplaced || m.primary.ID == ""),
		DeparturePosition: m.departures.position, DepartureUnproven: m.departures.unproven,
		ReplicaDeparted: m.mayLackDepartedCommits(now),
		LastCommitAt:    m.lastCommitAt,
	}
	if n := len(m.samples); n > 0 {
		request.Term = m.samples[n-1].Position.Term
		oldest := m.samples[0]
		request.Proven, request.ProvenAge = oldest.Position, func() time.Duration { return m.config.Clock() - oldest.At }
	}
	if !m.primaryKnown {
		if len(members) < 2 || now-m.lostAt < noPrimaryThreshold || m.isStartingUp(now) {
			return request, false
		}
		request.Cause = takeover.PrimaryGone
		if m.primaryReplaced {
			request.Primary = catalog.Server{}
		}
		// A proof newer than the loss means that another host has reached a
		// primary since.
		return request, m.newestProof() < m.lostAt
	}
	if m.isUnresponsive(now) {
		request.Cause = takeover.PrimaryUnresponsive
		return request, now >= m.yieldsUntil
	}
	if m.primary.Leaving {
		request.Cause = takeover.PrimaryLeaving
		return request, true
	}
	if m.leftoverSuspensions {
		request.Cause = takeover.ReplicasSuspended
		return request, true
	}
	if m.stalledCommits.Swap(0) > 0 {
		request.Cause = takeover.CommitsStalled
		return request, true
	}
	return request, false
}

// isUnresponsive reports whether no host has proven the primary for some time.
func (m *Monitor) isUnresponsive(now time.Duration) bool {
	return min(m.unprovenFor(now), now-m.newestProof()) > unprovenThreshold && !m.isStartingUp(now)
}

// isStartingUp reports whether the list of servers may still lack entries that expired before
// this host had one.
func (m *Monitor) isStartingUp(now time.Duration) bool {
	return m.listedAt == 0 || now-m.listedAt < startupGracePeriod
}

// attemptDue reports whether an attempt may start. Suspensions that the last one left beside
// an active primary are ended without the pause for a replacement that is futile.
func (m *Monitor) attemptDue(now time.Duration) bool {
	if m.attemptInFlight {
		return false
	}
	if m.primaryKnown && m.leftoverSuspensions && !m.primary.Leaving && !m.isUnresponsive(now) {
		return now >= m.nextSuspensionsEnd
	}
	return now >= m.nextAttempt
}

// mayLackDepartedCommits reports whether a replica that left may have confirmed commits
// alone, on a primary that goes on out of this host's reach or has crashed.
func (m *Monitor) mayLackDepartedCommits(now time.Duration) bool {
	return m.primary.ID != "" && !m.primaryReplaced && m.departures.replicaDeparted(now)
}

// startDueChange starts an attempt if a change is due. Stalled commits and suspended
// replicas concern what this host has observed; any other change is left to the
// responsible hosts for standbyDelay.
func (m *Monitor) startDueChange(ctx context.Context, now time.Duration) {
	request, due := m.dueChange(m.members, now)
	// A host that does not search cannot tell that there is no primary.
	searches := m.primaryKnown || m.isInvolved(now)
	if !due || !searches {
		m.changeDueSince = 0
		return
	}
	if m.changeDueSince == 0 {
		m.changeDueSince = now
	}
	observedHere := request.Cause == takeover.CommitsStalled || request.Cause == takeover.ReplicasSuspended
	if m.responsible || observedHere || now-m.changeDueSince >= standbyDelay {
		m.startAttempt(ctx, request)
	}
}

func (m *Monitor) startAttempt(ctx context.Context, request takeover.Request) {
	m.attemptInFlight = true
	m.log(logevent.PrimarySuspected, slog.String("cause", request.Cause.String()), slog.String("primary", string(request.Primary.ID)),
		slog.Duration("unproven", m.config.Clock()-m.provenAt), slog.Int("members", len(request.Members)))
	go func() {
		if request.Cause == takeover.PrimaryLeaving {
			// All hosts learn of a leaving server at the same time. The random
			// delay spreads their attempts; the first one to claim the record
			// makes the change.
			timer := time.NewTimer(rand.N(attemptBackoff))
			defer timer.Stop()
			<-timer.C
		}
		server, err := m.config.PrimaryChanger.Run(ctx, request)
		select {
		case m.events <- attemptResultEvent{request: request, server: server, err: err}:
		case <-ctx.Done():
		}
	}()
}

// startRecordRead reads the record of the last change. No attempt runs at the
// same time.
func (m *Monitor) startRecordRead(ctx context.Context) {
	m.attemptInFlight, m.recordReadAt = true, 0
	go func() {
		err := m.config.PrimaryChanger.ReadRecord(ctx, m.config.Group)
		select {
		case m.events <- recordReadEvent{err}:
		case <-ctx.Done():
		}
	}()
}

// auditDue reports whether an audit should start: in the interval of a responsible
// host, or at once after an attempt that may have left replicas suspended.
func (m *Monitor) auditDue(now time.Duration) bool {
	if !m.primaryKnown || m.auditInFlight || m.attemptInFlight {
		return false
	}
	return m.responsible && now >= m.nextAudit || m.mayHaveLeftSuspensions
}

// startAudit looks for suspended replicas while a primary is known. Each
// auditsPerFullAudit-th audit covers all data centres, and so does one for which
// replicas may have been left suspended.
func (m *Monitor) startAudit(ctx context.Context, members []catalog.Server, now time.Duration) {
	m.auditInFlight = true
	m.nextAudit = now + auditInterval + rand.N(auditInterval)
	m.auditCount++
	allDataCentres := m.auditCount%auditsPerFullAudit == 0 || len(m.lastSuspended) > 0 || m.mayHaveLeftSuspensions
	primary, term := m.primary.ID, m.Snapshot().Term()
	go func() {
		suspended := map[group.ServerID]bool{}
		for _, s := range members {
			if s.ID != primary && (allDataCentres || s.DataCentre == m.config.DataCentre) && m.isSuspended(ctx, s, term) {
				suspended[s.ID] = true
			}
		}
		select {
		case m.events <- auditResultEvent{suspended}:
		case <-ctx.Done():
		}
	}()
}

// isSuspended reports whether a server's status says that it receives nothing from the
// primary of a term, because it is suspended for a later one. It returns false if the server
// does not answer.
func (m *Monitor) isSuspended(ctx context.Context, s catalog.Server, term group.Term) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := m.config.Client.Command(ctx, s, exchange.Statement{Operation: exchange.Status})
	return err == nil && status.SuspendedTerm > term
}
