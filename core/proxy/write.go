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
		answer, sent := r.runOn(ctx, lease, wanted, statement)
		if answer.Failure == nil || !answer.Failure.Code.NotRun() {
			if sent {
				lease.Release()
			} else {
				lease.Close()
			}
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

// runOn sends one statement and returns its answer.
// The answer is InDoubt and complete is false when the connection or the time
// ended first.
func (r *request) runOn(ctx context.Context, lease *link.Lease, wanted *link.Settings, statement exchange.Statement) (answer exchange.Answer, complete bool) {
	call := lease.Submit(wanted, statement)
	stall := time.NewTimer(stallTime)
	defer stall.Stop()
	for {
		select {
		case <-call.Done:
			answers, err := call.Answers()
			if err != nil {
				r.reason = err.Error()
				return exchange.Fail(exchange.InDoubt, r.reason, exchange.Idle), false
			}
			answer = answers[0]
			lease.Answered(isBusy(answer))
			if answer.Failure == nil && answer.Digest == "" {
				r.reason = "answer without a digest"
				return exchange.Fail(exchange.InDoubt, r.reason, exchange.Idle), false
			}
			return answer, true
		case <-stall.C:
			if r.writes {
				r.monitor.Stalled()
			}
		case <-ctx.Done():
			r.reason = "no answer in time"
			return exchange.Fail(exchange.InDoubt, r.reason, exchange.Idle), false
		}
	}
}
