package proxy

import (
	"context"
	"errors"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/lead"
	"basilmill/core/link"
)

// readCurrent serves a strongly consistent read: it sees every commit
// acknowledged before it arrived. It runs in its own read-write transaction on
// the primary, because a server accepts such a transaction only while it is the
// primary.
func (r *request) readCurrent(ctx context.Context) exchange.Answer {
	for {
		server, ok := r.awaitPrimary(ctx)
		if !ok {
			return r.refuseRead()
		}
		desired, statement := r.session.desiredState(r.statement)
		lease, err := r.acquire(ctx, server, false, desired)
		if err != nil {
			r.reason = err.Error()
			if errors.Is(err, link.ErrQueueTimeout) || !awaitRetry(ctx) {
				return r.refuseRead()
			}
			continue
		}
		r.attempts++
		r.server, r.gateway, r.primary = server.ID, lease.Gateway, server
		answer, next := r.readCurrentOn(ctx, lease, desired, statement)
		if next == returnAnswer {
			return answer
		}
		if next == giveUp || !awaitRetry(ctx) {
			return r.refuseRead()
		}
	}
}

// readCurrentOn makes one attempt of a strongly consistent read on a connection
// to the primary. It releases the lease.
func (r *request) readCurrentOn(ctx context.Context, lease *link.Lease, desired *link.SessionState, statement exchange.Statement) (exchange.Answer, nextAction) {
	sentAt := r.session.proxy.config.Clock()
	call := lease.Submit(desired, exchange.Statement{Operation: exchange.Begin}, statement, exchange.Statement{Operation: exchange.Rollback})
	select {
	case <-call.Done:
		lease.Release()
	case <-ctx.Done():
		lease.Abandon(call)
		r.reason = "no answer in time"
		return exchange.ErrorAnswer(exchange.TimedOut, r.reason, exchange.Idle), returnAnswer
	}
	answers, err := call.Answers()
	if err != nil {
		r.reason = err.Error()
		if errors.Is(err, link.ErrQueueTimeout) {
			return exchange.Answer{}, giveUp
		}
		return exchange.Answer{}, retryElsewhere
	}
	if answers[0].Failure != nil {
		// The read ran outside a transaction, so its answer may be stale.
		r.noteRefusal(answers[0].Failure)
		return exchange.Answer{}, retryElsewhere
	}
	lease.ReportAnswer(isBusy(answers[1]))
	r.session.proxy.noteLoad(r.server, lease)
	r.reportProof(sentAt, answers[0])
	if answers[1].Failure != nil {
		r.noteRefusal(answers[1].Failure)
	}
	return answers[1], classify(answers[1])
}

// reportProof tells the monitor that the server accepted a statement that only a
// primary accepts. sentAt is the reading of Config.Clock when it was sent.
func (r *request) reportProof(sentAt time.Duration, answer exchange.Answer) {
	if !answer.Position.IsZero() {
		r.monitor.ReportProof(r.primary, sentAt, answer.Position)
	}
}

// noteRefusal records why a server refused a statement. A server that refuses
// writes is not the primary, so the monitor is told.
func (r *request) noteRefusal(f *exchange.Error) {
	r.reason = f.Error()
	if f.Code == exchange.ReadOnly {
		r.monitor.ReportNotPrimary(r.server)
	}
}

// awaitPrimary waits until the primary is known, accepts requests and its last proof is
// not older than primaryProofTTL.
func (r *request) awaitPrimary(ctx context.Context) (primary catalog.Server, ok bool) {
	defer r.endWait(&ok)
	for {
		snapshot := r.monitor.Snapshot()
		if r.session.proxy.isClosed(snapshot) {
			r.reason = "the primary is leaving"
			if !r.awaitReplacement(ctx) {
				return catalog.Server{}, false
			}
			continue
		}
		if snapshot.PrimaryKnown && r.hasRecentProof(snapshot) {
			return snapshot.Primary, true
		}
		r.reason = "no primary"
		if !r.awaitProof(ctx, snapshot, true) {
			return catalog.Server{}, false
		}
	}
}

// proofRequestInterval is the time between two requests for a proof of a request that
// waits for one. It is shorter than the time for which the monitor remembers one.
const proofRequestInterval = time.Second

// awaitProof requests a proof of the primary and waits for a newer snapshot, or until it
// is time to request one again. It returns false when ctx ends first, or is known to end
// first in an outage of the group.
func (r *request) awaitProof(ctx context.Context, snapshot *lead.Snapshot, needsPrimary bool) bool {
	r.monitor.RequestProbe()
	if r.wait == nil {
		r.wait = r.session.proxy.outages.begin(outageKey{r.route.Group, needsPrimary})
	}
	outage := r.wait.state()
	left := r.route.StatementTimeout
	if deadline, ok := ctx.Deadline(); ok {
		left = time.Until(deadline)
	}
	if !outage.MayWait(left) {
		r.retryText = retryText(outage)
		return false
	}
	interval := proofRequestInterval
	if until := outage.UntilDecision(); until > 0 {
		interval = min(interval, until)
	}
	waitCtx, cancel := context.WithTimeout(ctx, interval)
	defer cancel()
	return awaitChange(waitCtx, snapshot) || ctx.Err() == nil
}

// endWait ends the request's wait for news of its group, if it waited. ok says whether
// there was news.
func (r *request) endWait(ok *bool) {
	if r.wait != nil {
		r.wait.end(*ok)
		r.wait = nil
	}
}

// replacementInterval is the time between two requests for a probe of a request that
// waits for the replacement of a leaving primary. That one may go on proving its lead.
const replacementInterval = 100 * time.Millisecond

// awaitReplacement requests a probe and waits for replacementInterval. It returns false
// when ctx ends first.
func (r *request) awaitReplacement(ctx context.Context) bool {
	r.monitor.RequestProbe()
	timer := time.NewTimer(replacementInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// hasRecentProof reports whether the primary has been proven within
// primaryProofTTL.
func (r *request) hasRecentProof(snapshot *lead.Snapshot) bool {
	return r.session.proxy.config.Clock()-snapshot.ProvenAt < primaryProofTTL
}

// leaveMargin is how long before the end of the time that a leaving server serves no
// more requests are sent to it. It covers the time until this host has learnt that the
// server is leaving, and the request's way there.
const leaveMargin = time.Second

// isClosed reports whether the primary has been leaving for so long that no request must
// be sent to it any more. It may have been promoted after it began to leave.
func (p *Proxy) isClosed(snapshot *lead.Snapshot) bool {
	return p.config.LeaveTime > 0 && snapshot.PrimaryKnown && snapshot.Primary.Leaving &&
		p.config.Clock()-snapshot.LeavingSince > p.config.LeaveTime-leaveMargin
}

// awaitChange waits for a newer snapshot. It returns false when ctx ends first.
func awaitChange(ctx context.Context, snapshot *lead.Snapshot) bool {
	select {
	case <-snapshot.Changed():
		return true
	case <-ctx.Done():
		return false
	}
}

// awaitRetry waits for retryBackoff. It returns false when ctx ends first.
func awaitRetry(ctx context.Context) bool {
	timer := time.NewTimer(retryBackoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
