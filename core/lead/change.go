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
		if len(members) < 2 || now-m.lost < goneTime || now-m.started < settleTime {
			return s, false
		}
		s.Cause = takeover.Gone
		// Another host reached a primary since.
		return s, m.newest() < m.lost
	}
	if now-m.newest() > suspectTime && now-m.started >= settleTime {
		s.Cause = takeover.Lost
		return s, true
	}
	if m.leader.Leaving {
		s.Cause = takeover.Leaving
		return s, true
	}
	if m.leftover {
		s.Cause = takeover.Suspended
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
		server, err := m.config.PrimaryChanger.Run(ctx, s)
		select {
		case m.inputs <- attemptInput{situation: s, server: server, err: err}:
		case <-ctx.Done():
		}
	}()
}

// startLook reads the record of the last change. No attempt runs meanwhile.
func (m *Monitor) startLook(ctx context.Context) {
	m.attempt, m.lookAt = true, 0
	go func() {
		err := m.config.PrimaryChanger.ReadRecord(ctx, m.config.Group)
		select {
		case m.inputs <- lookInput{err}:
		case <-ctx.Done():
		}
	}()
}

// startAudit looks for suspended replicas while the leader is in reach.
func (m *Monitor) startAudit(ctx context.Context, members []catalog.Server, now time.Duration) {
	m.auditing = true
	m.nextAudit = now + auditInterval + rand.N(auditInterval)
	m.audits++
	all := m.audits%remoteAudits == 0 || len(m.audited) > 0 || m.unfinished
	leader := m.leader.ID
	go func() {
		found := map[group.ServerID]bool{}
		for _, s := range members {
			if s.ID != leader && (all || s.DataCentre == m.config.DataCentre) && m.suspended(ctx, s) {
				found[s.ID] = true
			}
		}
		select {
		case m.inputs <- auditInput{found}:
		case <-ctx.Done():
		}
	}()
}

// suspended reports whether a server says that it is suspended.
func (m *Monitor) suspended(ctx context.Context, s catalog.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	status, err := m.config.Client.Command(ctx, s, exchange.Statement{Operation: exchange.Status})
	return err == nil && status.SuspendedTerm != 0
}
