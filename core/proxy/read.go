package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/link"
)

const (
	// ageMargin is subtracted from the staleness that a route allows, to cover
	// the time between a commit's acknowledgement and the caller's receipt of it.
	ageMargin = 50 * time.Millisecond
	// retryBackoff is the pause before an attempt is repeated on servers that
	// have already been tried: about one replication delay.
	retryBackoff = 15 * time.Millisecond
	// primaryProofTTL is how old the last proof of the primary may be for requests
	// that only the primary can serve. It is longer than the time after which a
	// failover is considered.
	primaryProofTTL = 650 * time.Millisecond
	// hedgeDivisor gives the fraction of the latency objective after which an
	// unanswered read is also sent to a second server, if the hedge budget allows
	// it.
	hedgeDivisor = 3
)

// readStale serves a read that may miss recent commits. It runs on any server
// whose log has reached a sufficiently recent position.
func (r *request) readStale(ctx context.Context) exchange.Answer {
	if !r.setMinPosition(ctx) {
		r.reason = "no position recent enough"
		return exchange.ErrorAnswer(exchange.PositionNotReached, r.reason+", "+r.retryAdvice(), exchange.Idle)
	}
	tried := map[group.ServerID]bool{}
	for {
		server, ok := r.chooseReadServer(tried)
		if !ok {
			clear(tried)
			if !awaitRetry(ctx) {
				return r.refuseRead()
			}
			// The term of the minimum position may have been replaced by a new
			// primary, so it is determined again.
			r.setMinPosition(ctx)
			continue
		}
		tried[server.ID] = true
		answer, next := r.readHedged(ctx, server, tried)
		switch next {
		case returnAnswer:
			return answer
		case giveUp:
			return r.refuseRead()
		case retryElsewhere:
		}
	}
}

// refuseRead answers a read that no server served within its time. Unlike a
// write, it may be refused after an attempt, because nothing that it did is kept.
func (r *request) refuseRead() exchange.Answer {
	if r.reason == "" {
		r.reason = "no server"
	}
	return exchange.ErrorAnswer(exchange.Busy, r.reason+", "+r.retryAdvice(), exchange.Idle)
}

// setMinPosition sets the lowest log position that satisfies the route's maximum
// age and, for read-your-writes routes, the session's last commit. It returns
// false when no sample of the primary's position became available in time.
func (r *request) setMinPosition(ctx context.Context) (ok bool) {
	earliest := r.arrived - r.route.MaxAge + ageMargin
	defer r.endWait(&ok)
	for {
		snapshot := r.monitor.Snapshot()
		if sample, found := snapshot.OldestSampleSince(earliest); found {
			r.minPosition = sample.Position
			r.positionAge = r.session.proxy.config.Clock() - sample.At
			if r.route.Consistency == catalog.OwnWrites && r.session.lastCommit.Compare(r.minPosition) > 0 {
				r.minPosition = r.session.lastCommit
			}
			return true
		}
		if !r.awaitProof(ctx, snapshot, false) {
			return false
		}
	}
}

// nextAction says how a request continues after an attempt.
type nextAction int

const (
	// returnAnswer returns the answer to the caller.
	returnAnswer nextAction = iota
	// retryElsewhere tries another server.
	retryElsewhere
	// giveUp refuses the request, because its time is over.
	giveUp
)

// readHedged sends the read to a server, and also to a second one when the first
// does not answer within a fraction of the latency objective.
func (r *request) readHedged(ctx context.Context, server catalog.Server, tried map[group.ServerID]bool) (exchange.Answer, nextAction) {
	results := make(chan readResult, 2)
	var sent atomic.Bool
	desired, statement := r.session.desiredState(r.statement)
	statement.MinPosition = r.minPosition
	r.attempts++
	go r.readOnce(ctx, server, desired, statement, &sent, results)
	hedge := time.NewTimer(r.route.TargetLatency / hedgeDivisor)
	defer hedge.Stop()
	pending := 1
	for {
		select {
		case result := <-results:
			pending--
			if result.next == returnAnswer || pending == 0 {
				r.server, r.gateway = result.server, result.gateway
				if result.next == returnAnswer {
					r.session.proxy.hedgeBudget.RecordSuccess()
				}
				if result.reason != "" {
					r.reason = result.reason
				}
				return result.answer, result.next
			}
		case <-hedge.C:
			other, ok := r.chooseReadServer(tried)
			if !ok || !r.session.proxy.hedgeBudget.Allow() || !r.admitHedge() {
				continue
			}
			tried[other.ID] = true
			pending++
			r.attempts++
			go r.readOnce(ctx, other, desired, statement, &sent, results)
		case <-ctx.Done():
			if !sent.Load() {
				r.reason = "no free connection to " + string(server.ID)
				return exchange.Answer{}, giveUp
			}
			r.reason = "no answer in time from " + string(server.ID)
			return exchange.ErrorAnswer(exchange.TimedOut, r.reason, exchange.Idle), returnAnswer
		}
	}
}

// acquire takes a connection to a server.
func (r *request) acquire(ctx context.Context, server catalog.Server, exclusive bool, desired *link.SessionState) (*link.Lease, error) {
	return r.session.proxy.config.Sources(server).Acquire(ctx, link.Request{
		Exclusive: exclusive, Account: r.account, Desired: desired, Priority: r.route.Priority, TimeForAnswer: max(r.route.TargetLatency-time.Since(r.started), minTimeForAnswer),
	})
}

// minTimeForAnswer is the TimeForAnswer of a request that is late already.
const minTimeForAnswer = time.Millisecond

// readResult is the result of one attempt of a read.
type readResult struct {
	server  group.ServerID
	gateway host.ID
	answer  exchange.Answer
	next    nextAction
	reason  string
}

// readOnce makes one attempt of a read on one server and sends its result. It
// sets sent once the statement has been submitted.
func (r *request) readOnce(ctx context.Context, server catalog.Server, desired *link.SessionState, statement exchange.Statement, sent *atomic.Bool, results chan<- readResult) {
	p := r.session.proxy
	result := readResult{server: server.ID, next: retryElsewhere}
	defer func() { results <- result }()
	failed := func(err error) {
		result.reason = err.Error()
		if errors.Is(err, link.ErrQueueTimeout) {
			result.next = giveUp
			return
		}
		p.recordFailure(server.ID)
	}
	lease, err := r.acquire(ctx, server, false, desired)
	if err != nil {
		failed(err)
		return
	}
	result.gateway = lease.Gateway
	sentAt := p.now()
	sent.Store(true)
	defer p.noteSent(server.ID, sentAt)()
	call := lease.Submit(desired, statement)
	select {
	case <-call.Done:
		lease.Release()
	case <-ctx.Done():
		lease.Abandon(call)
		result.next = giveUp
		return
	}
	answers, err := call.Answers()
	if err != nil {
		failed(err)
		return
	}
	lease.ReportAnswer(isBusy(answers[0]))
	p.noteLoad(server.ID, lease)
	p.recordAnswer(server, answers[0], sentAt)
	result.answer, result.next = answers[0], classify(answers[0])
	if answers[0].Failure != nil {
		result.reason = answers[0].Failure.Error()
	}
}

func isBusy(a exchange.Answer) bool { return a.Failure != nil && a.Failure.Code == exchange.Busy }

// classify decides whether an answer to a read is returned to the caller or the
// read is retried. A successful answer without a digest does not prove that the
// server ran the statement.
func classify(answer exchange.Answer) nextAction {
	if answer.Failure != nil {
		switch answer.Failure.Code {
		case exchange.ExecutionFailed, exchange.TimedOut, exchange.Malformed, exchange.TooLarge:
			return returnAnswer
		default:
			return retryElsewhere
		}
	}
	if answer.Digest == "" {
		return retryElsewhere
	}
	return returnAnswer
}
