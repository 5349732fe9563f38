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

// readCurrent serves a read that must see every commit acknowledged before it
// arrived. It runs in a transaction of its own on the leader, which the leader
// accepts only while it leads.
func (r *request) readCurrent(ctx context.Context) exchange.Answer {
	for {
		server, ok := r.awaitLeader(ctx)
		if !ok {
			return r.refuseRead()
		}
		wanted, statement := r.session.wanted(r.statement)
		lease, err := r.lease(ctx, server, false, wanted)
		if err != nil {
			r.reason = err.Error()
			if errors.Is(err, errQueued) || !pauseRound(ctx) {
				return r.refuseRead()
			}
			continue
		}
		r.attempts++
		r.server, r.leader = server.ID, server
		answer, verdict := r.currentOn(ctx, lease, wanted, statement)
		if verdict == answered {
			return answer
		}
		if verdict == ended || !pauseRound(ctx) {
			return r.refuseRead()
		}
	}
}

func (r *request) currentOn(ctx context.Context, lease *link.Lease, wanted *link.SessionState, statement exchange.Statement) (exchange.Answer, verdict) {
	sent := r.session.proxy.config.Clock()
	call := lease.Submit(wanted, exchange.Statement{Operation: exchange.Begin}, statement, exchange.Statement{Operation: exchange.Rollback})
	select {
	case <-call.Done:
		lease.Release()
	case <-ctx.Done():
		go func() { <-call.Done; lease.Release() }()
		r.reason = "no answer in time"
		return exchange.Fail(exchange.TimedOut, r.reason, exchange.Idle), answered
	}
	answers, err := call.Answers()
	if err != nil {
		r.reason = err.Error()
		return exchange.Answer{}, elsewhere
	}
	if answers[0].Failure != nil {
		// The read ran outside a transaction, so its answer may be old.
		r.refused(answers[0].Failure)
		return exchange.Answer{}, elsewhere
	}
	lease.ReportAnswer(isBusy(answers[1]))
	r.proven(sent, answers[0])
	if answers[1].Failure != nil {
		r.refused(answers[1].Failure)
	}
	return answers[1], judge(answers[1])
}

// proven passes on that the leader accepted work that only a leader accepts,
// sent at the given reading of the clock.
func (r *request) proven(sent time.Duration, answer exchange.Answer) {
	if !answer.Position.IsZero() {
		r.monitor.Proven(r.leader, sent, answer.Position)
	}
}

// refused notes a server's refusal.
func (r *request) refused(f *exchange.Error) {
	r.reason = f.Error()
	if f.Code == exchange.ReadOnly {
		r.monitor.NotLeading(r.server)
	}
}

// awaitLeader waits for a leader whose last proof is recent.
func (r *request) awaitLeader(ctx context.Context) (catalog.Server, bool) {
	for {
		snapshot := r.monitor.Snapshot()
		if snapshot.Known && r.provenRecently(snapshot) {
			return snapshot.Leader, true
		}
		r.reason = "no primary"
		if !waitChange(ctx, snapshot) {
			return catalog.Server{}, false
		}
	}
}

func (r *request) provenRecently(snapshot *lead.Snapshot) bool {
	return r.session.proxy.config.Clock()-snapshot.Proven < unprovenTime
}

func waitChange(ctx context.Context, snapshot *lead.Snapshot) bool {
	select {
	case <-snapshot.Changed():
		return true
	case <-ctx.Done():
		return false
	}
}

// pauseRound waits before servers are tried again. It returns false when ctx
// ends first.
func pauseRound(ctx context.Context) bool {
	timer := time.NewTimer(roundPause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
