package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/link"
)

const (
	// ageMargin is taken off the age that a route allows, for the time between
	// a commit's acknowledgement and the caller's receipt of it.
	ageMargin = 50 * time.Millisecond
	// roundPause is the pause before servers that were all tried are tried
	// again: about one replication delay.
	roundPause = 15 * time.Millisecond
	// unprovenTime is how old the last proof of the leader may be for work
	// that only the leader can do. It exceeds the time after which a change
	// of primary is considered.
	unprovenTime = 650 * time.Millisecond
	// hedgeShare is the part of the latency objective after which an
	// unanswered read is sent to another server too, within a budget.
	hedgeShare = 3
	// queueShare is the part of the latency objective for which a request may
	// wait for a connection. The users count a refusal after a quarter of the
	// objective as late.
	queueShare = 4
)

// readAged serves a read that may miss recent commits on any server whose log
// contains a position that is recent enough.
func (r *request) readAged(ctx context.Context) exchange.Answer {
	if !r.findPosition(ctx) {
		r.reason = "no position recent enough"
		return exchange.Fail(exchange.Behind, r.reason+", retry later", exchange.Idle)
	}
	tried := map[group.ServerID]bool{}
	for {
		server, ok := r.reader(tried)
		if !ok {
			clear(tried)
			if !pauseRound(ctx) {
				return r.refuseRead()
			}
			// The position may belong to a term that has been replaced.
			r.findPosition(ctx)
			continue
		}
		tried[server.ID] = true
		answer, verdict := r.readOn(ctx, server, tried)
		switch verdict {
		case answered:
			return answer
		case ended:
			return r.refuseRead()
		case elsewhere:
		}
	}
}

// refuseRead answers a read that found no server in its time. Nothing that it
// did is kept.
func (r *request) refuseRead() exchange.Answer {
	if r.reason == "" {
		r.reason = "no server"
	}
	return exchange.Fail(exchange.Busy, r.reason+", retry later", exchange.Idle)
}

// findPosition sets the lowest position that the read may be served at.
func (r *request) findPosition(ctx context.Context) bool {
	at := r.arrived - r.route.MaxAge + ageMargin
	for {
		snapshot := r.monitor.Snapshot()
		if sample, ok := snapshot.Covering(at); ok {
			r.position = sample.Position
			r.positionAge = r.session.proxy.config.Clock() - sample.At
			if r.route.Class == catalog.OwnWrites && r.session.written.Compare(r.position) > 0 {
				r.position = r.session.written
			}
			return true
		}
		r.monitor.Ask()
		if !waitChange(ctx, snapshot) {
			return false
		}
	}
}

// verdict says how to go on after an attempt.
type verdict int

const (
	answered verdict = iota
	elsewhere
	ended
)

// readOn sends the read to a server, and to another one when the answer takes
// long.
func (r *request) readOn(ctx context.Context, server catalog.Server, tried map[group.ServerID]bool) (exchange.Answer, verdict) {
	results := make(chan readResult, 2)
	var sent atomic.Bool
	wanted, statement := r.session.wanted(r.statement)
	statement.After = r.position
	r.attempts++
	go r.readOnce(ctx, server, wanted, statement, &sent, results)
	hedge := time.NewTimer(r.route.Target / hedgeShare)
	defer hedge.Stop()
	pending := 1
	for {
		select {
		case result := <-results:
			pending--
			if result.verdict == answered || pending == 0 {
				r.server = result.server
				if result.verdict == answered {
					r.session.proxy.hedges.Succeeded()
				}
				if result.reason != "" {
					r.reason = result.reason
				}
				return result.answer, result.verdict
			}
		case <-hedge.C:
			other, ok := r.reader(tried)
			if !ok || !r.session.proxy.hedges.Allow() {
				continue
			}
			tried[other.ID] = true
			pending++
			r.attempts++
			go r.readOnce(ctx, other, wanted, statement, &sent, results)
		case <-ctx.Done():
			if !sent.Load() {
				r.reason = "no free connection to " + string(server.ID)
				return exchange.Answer{}, ended
			}
			r.reason = "no answer in time from " + string(server.ID)
			return exchange.Fail(exchange.TimedOut, r.reason, exchange.Idle), answered
		}
	}
}

// errQueued is the error of a request that waited too long for a connection.
var errQueued = errors.New("no free connection in time")

// lease takes a connection of a server's pool. A request that can't be served
// soon is refused early, so that its caller can come back while it has time
// left. While the host has no connection to the server at all, a new one is
// worth waiting for: servers drop the connections of lost hosts within seconds.
func (r *request) lease(ctx context.Context, server catalog.Server, exclusive bool, wanted *link.SessionState) (*link.Lease, error) {
	pool := r.session.proxy.config.Pool(server)
	if pool.Stats().Open > 0 {
		limited, cancel := context.WithTimeout(ctx, r.route.Target/queueShare)
		defer cancel()
		ctx = limited
	}
	take := pool.AcquireShared
	if exclusive {
		take = pool.AcquireExclusive
	}
	lease, err := take(ctx, wanted, r.route.Priority)
	if err != nil && ctx.Err() != nil {
		return nil, errQueued
	}
	return lease, err
}

type readResult struct {
	server  group.ServerID
	answer  exchange.Answer
	verdict verdict
	reason  string
}

// readOnce makes one attempt on one server.
func (r *request) readOnce(ctx context.Context, server catalog.Server, wanted *link.SessionState, statement exchange.Statement, sent *atomic.Bool, results chan<- readResult) {
	p := r.session.proxy
	result := readResult{server: server.ID, verdict: elsewhere}
	defer func() { results <- result }()
	lease, err := r.lease(ctx, server, false, wanted)
	if errors.Is(err, errQueued) {
		result.verdict, result.reason = ended, err.Error()
		return
	}
	if err != nil {
		p.avoid(server.ID)
		result.reason = err.Error()
		return
	}
	started := time.Now()
	sent.Store(true)
	call := lease.Submit(wanted, statement)
	select {
	case <-call.Done:
		lease.Release()
	case <-ctx.Done():
		go func() { <-call.Done; lease.Release() }()
		result.verdict = ended
		return
	}
	answers, err := call.Answers()
	if err != nil {
		p.avoid(server.ID)
		result.reason = err.Error()
		return
	}
	lease.ReportAnswer(isBusy(answers[0]))
	p.learned(server.ID, answers[0], time.Since(started))
	result.answer, result.verdict = answers[0], judge(answers[0])
	if answers[0].Failure != nil {
		result.reason = answers[0].Failure.Error()
	}
}

func isBusy(a exchange.Answer) bool { return a.Failure != nil && a.Failure.Code == exchange.Busy }

// judge says whether an answer to a read is the caller's.
func judge(answer exchange.Answer) verdict {
	if answer.Failure != nil {
		switch answer.Failure.Code {
		case exchange.Errored, exchange.TimedOut, exchange.Malformed, exchange.TooLarge:
			return answered
		default:
			return elsewhere
		}
	}
	if answer.Digest == "" {
		return elsewhere
	}
	return answered
}
