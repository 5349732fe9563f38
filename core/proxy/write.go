package proxy

import (
	"context"
	"errors"
	"time"

	"basilmill/core/exchange"
	"basilmill/core/link"
)

// stallTime is how long a write waits for its answer before it counts as
// stalled: a write's work, a round trip between regions and replication take
// less than half of it.
const stallTime = 400 * time.Millisecond

// write runs a single write on the leader.
func (r *request) write(ctx context.Context) exchange.Answer {
	p := r.session.proxy
	for {
		server, ok := r.awaitLeader(ctx)
		if !ok {
			return r.refuse(exchange.Idle)
		}
		wanted, statement := r.session.wanted(r.statement)
		lease, err := r.lease(ctx, server, false, wanted)
		if err != nil {
			r.reason = err.Error()
			if errors.Is(err, errQueued) || !pauseRound(ctx) {
				return r.refuse(exchange.Idle)
			}
			continue
		}
		r.attempts++
		r.server, r.leader = server.ID, server
		sentAt := p.config.Clock()
		answer, pending := r.runOn(ctx, lease, wanted, statement)
		if pending != nil {
			// Other sessions have statements on the connection.
			go func() { <-pending; lease.Release() }()
			return answer
		}
		if answer.Failure == nil || !answer.Failure.Code.NotRun() {
			lease.Release()
			if answer.Failure == nil {
				r.session.written = answer.Position
				r.proven(sentAt, answer)
			}
			return answer
		}
		lease.Release()
		r.refused(answer.Failure)
		if !pauseRound(ctx) {
			return r.refuse(exchange.Idle)
		}
	}
}

// refuse answers a request that was never run.
func (r *request) refuse(state exchange.State) exchange.Answer {
	if r.reason == "" {
		r.reason = "overloaded"
	}
	return exchange.Fail(exchange.Busy, r.reason+", retry later", state)
}

// runOn sends one statement and returns its answer. The answer is InDoubt when
// the connection or the time ended first; pending is then closed when nothing
// more can arrive.
func (r *request) runOn(ctx context.Context, lease *link.Lease, wanted *link.SessionState, statement exchange.Statement) (answer exchange.Answer, pending <-chan struct{}) {
	call := lease.Submit(wanted, statement)
	stall := time.NewTimer(stallTime)
	defer stall.Stop()
	inDoubt := func(reason string) (exchange.Answer, <-chan struct{}) {
		r.reason = reason
		return exchange.Fail(exchange.InDoubt, reason, exchange.Idle), call.Done
	}
	for {
		select {
		case <-call.Done:
			answers, err := call.Answers()
			if err != nil {
				return inDoubt(err.Error())
			}
			lease.ReportAnswer(isBusy(answers[0]))
			if answers[0].Failure == nil && answers[0].Digest == "" {
				return inDoubt("answer without a digest")
			}
			return answers[0], nil
		case <-stall.C:
			if r.writes {
				r.monitor.Stalled()
			}
		case <-ctx.Done():
			return inDoubt("no answer in time")
		}
	}
}
