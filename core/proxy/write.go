package proxy

import (
	"context"
	"errors"
	"time"

	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/link"
)

// stallThreshold is how long a write may be unanswered before it is reported to
// the monitor as stalled. Execution, a round trip between regions and
// replication together take less than half of it.
const stallThreshold = 400 * time.Millisecond

// write runs a single write on the primary. It retries only writes that are known
// not to have run.
func (r *request) write(ctx context.Context) exchange.Answer {
	p := r.session.proxy
	for {
		server, ok := r.awaitPrimary(ctx)
		if !ok {
			return r.refuse()
		}
		desired, statement := r.session.desiredState(r.statement)
		lease, err := r.acquire(ctx, server, false, desired)
		if err != nil {
			r.reason = err.Error()
			if errors.Is(err, link.ErrQueueTimeout) || !awaitRetry(ctx) {
				return r.refuse()
			}
			continue
		}
		r.attempts++
		r.server, r.gateway, r.primary = server.ID, lease.Gateway, server
		sentAt := p.config.Clock()
		answer, pending, err := r.runStatement(ctx, lease, desired, statement)
		if err != nil {
			lease.Release()
			r.reason = err.Error()
			if errors.Is(err, link.ErrQueueTimeout) || !awaitRetry(ctx) {
				return r.refuse()
			}
			continue
		}
		if pending != nil {
			// The connection stays open because it is shared with other
			// sessions. The lease is held until the answer arrives.
			lease.Abandon(pending)
			go r.noteLateCommit(pending)
			return answer
		}
		if answer.Failure == nil || !answer.Failure.Code.NotRun() {
			lease.Release()
			if answer.Failure == nil {
				r.noteCommit(answer.Position)
				r.reportProof(sentAt, answer)
				return r.confirm(ctx, answer)
			}
			return answer
		}
		lease.Release()
		r.noteRefusal(answer.Failure)
		if !awaitRetry(ctx) {
			return r.refuse()
		}
	}
}

// noteCommit notes a commit that was acknowledged to this host.
func (r *request) noteCommit(position group.Position) {
	r.committed = position
	r.monitor.ReportCommit()
}

// noteLateCommit waits for the answer to a write that the caller no longer waits for. A
// change of primary must not drop the commit if it was acknowledged after all.
func (r *request) noteLateCommit(pending *link.Call) {
	<-pending.Done
	if answers, err := pending.Answers(); err == nil && answers[0].Failure == nil {
		r.monitor.ReportCommit()
	}
}

// refuse answers a request that is known not to have run.
func (r *request) refuse() exchange.Answer {
	if r.reason == "" {
		r.reason = "overloaded"
	}
	return exchange.ErrorAnswer(exchange.Busy, r.reason+", "+r.retryAdvice(), exchange.Idle)
}

// runStatement sends one statement and returns its answer. The answer is InDoubt
// when the connection was lost or ctx ended first. Then pending is not nil, and
// it is the call, which ends when the answer has arrived or the connection has closed.
// The error is set if the statement was not sent.
func (r *request) runStatement(ctx context.Context, lease *link.Lease, desired *link.SessionState, statement exchange.Statement) (answer exchange.Answer, pending *link.Call, err error) {
	call := lease.Submit(desired, statement)
	stall := time.NewTimer(stallThreshold)
	defer stall.Stop()
	inDoubt := func(reason string) (exchange.Answer, *link.Call, error) {
		r.reason = reason
		return exchange.ErrorAnswer(exchange.InDoubt, reason, exchange.Idle), call, nil
	}
	for {
		select {
		case <-call.Done:
			answers, err := call.Answers()
			if errors.Is(err, link.ErrNoConnection) {
				return exchange.Answer{}, nil, err
			}
			if err != nil {
				return inDoubt(err.Error())
			}
			lease.ReportAnswer(isBusy(answers[0]))
			if answers[0].Failure == nil && answers[0].Digest == "" {
				return inDoubt("answer without a digest")
			}
			return answers[0], nil, nil
		case <-stall.C:
			if r.writes {
				r.monitor.ReportStalledCommit()
			}
		case <-ctx.Done():
			return inDoubt("no answer in time")
		}
	}
}
