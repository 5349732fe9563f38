package proxy

import (
	"context"
	"errors"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/lead"
	"basilmill/core/link"
)

// transaction is a caller's open transaction. Its connection is acquired for the
// first statement, so that a caller that is idle after BEGIN does not hold one.
type transaction struct {
	route    catalog.Route
	monitor  *lead.Monitor
	readOnly bool
	arrived  time.Duration
	// startBy is the reading of Config.Clock until which the first statement may come without
	// another admission; zero if there is no such limit.
	startBy time.Duration
	// lease is nil until the first statement and after the transaction's end.
	lease  *link.Lease
	server group.ServerID
	// wrote is set once a write has succeeded.
	wrote     bool
	idleTimer *time.Timer
	// expired is closed by idleTimer when the caller has been idle for too long.
	expired chan struct{}
}

// begin opens a transaction. The caller's BEGIN is answered without contacting a
// backend server.
func (s *Session) begin(ctx context.Context, statement exchange.Statement) exchange.Answer {
	if s.transaction != nil {
		return s.fail(exchange.Malformed, "a transaction is open")
	}
	r, failure := s.newRequest(statement, false)
	if failure != nil {
		return exchange.Answer{Failure: failure, State: s.transactionState}
	}
	refusal, verdict := r.admit(ctx)
	if !verdict.Admitted {
		return r.record(refusal)
	}
	s.transaction = &transaction{
		route: r.route, monitor: r.monitor, arrived: r.arrived,
		readOnly: statement.Operation == exchange.BeginRead,
	}
	if verdict.UseWithin > 0 {
		s.transaction.startBy = s.proxy.config.Clock() + verdict.UseWithin
	}
	s.transactionState = exchange.InTransaction
	return s.success()
}

// rollback ends the transaction by the caller's ROLLBACK, without waiting for the
// backend server.
func (s *Session) rollback() exchange.Answer {
	s.Close()
	return s.success()
}

// runInTransaction runs a statement in the open transaction. The transaction fails
// if the backend server is no longer in it.
func (s *Session) runInTransaction(ctx context.Context, statement exchange.Statement, writes bool) exchange.Answer {
	t := s.transaction
	r := t.newRequest(s, statement, writes)
	ctx, cancel := context.WithTimeout(ctx, t.route.StatementTimeout)
	defer cancel()
	answer := t.execute(ctx, r)
	if answer.Failure == nil && writes {
		t.wrote = true
	}
	if answer.State != exchange.InTransaction {
		answer.State = exchange.TransactionFailed
		s.transactionState = exchange.TransactionFailed
		t.rollBack()
	}
	t.startIdleTimer(s)
	return r.record(answer)
}

// commit ends the transaction by the caller's COMMIT. A commit without an answer
// is in doubt only if the transaction wrote something.
func (s *Session) commit(ctx context.Context, statement exchange.Statement) exchange.Answer {
	t := s.transaction
	if t == nil {
		return s.fail(exchange.Malformed, "no transaction is open")
	}
	r := t.newRequest(s, statement, t.wrote)
	ctx, cancel := context.WithTimeout(ctx, t.route.StatementTimeout)
	defer cancel()
	answer := t.execute(ctx, r)
	t.releaseAfterCommit(answer)
	switch {
	case answer.Failure == nil:
		if t.wrote {
			r.noteCommit(answer.Position)
			answer = r.confirm(ctx, answer)
		}
	case answer.Failure.Code.NotRun(), answer.Failure.Code == exchange.Aborted:
		answer = exchange.ErrorAnswer(exchange.Aborted, answer.Failure.Text, exchange.Idle)
	case answer.Failure.Code == exchange.InDoubt && !t.wrote:
		answer = exchange.ErrorAnswer(exchange.Aborted, "no answer to the commit of a transaction that wrote nothing", exchange.Idle)
	default:
	}
	s.transaction = nil
	s.transactionState = exchange.Idle
	answer.State = exchange.Idle
	return r.record(answer)
}

// newRequest returns the request of a statement in the transaction and stops the
// idle timer.
func (t *transaction) newRequest(s *Session, statement exchange.Statement, writes bool) *request {
	t.stopIdleTimer()
	return &request{
		session: s, account: s.account, statement: statement, route: t.route, monitor: t.monitor, writes: writes,
		arrived: t.arrived, started: time.Now(), server: t.server,
	}
}

// execute runs a statement on the transaction's connection. It acquires one for
// the first statement.
func (t *transaction) execute(ctx context.Context, r *request) exchange.Answer {
	if t.isExpired() {
		r.reason = "the transaction was idle for too long"
		return exchange.ErrorAnswer(exchange.Aborted, r.reason, exchange.TransactionFailed)
	}
	if t.lease == nil {
		return t.runFirst(ctx, r)
	}
	r.gateway = t.lease.Gateway
	desired, statement := r.session.desiredState(r.statement)
	for {
		r.attempts++
		answer, pending, err := r.runStatement(ctx, t.lease, desired, statement)
		if err != nil {
			t.closeConnection()
			return exchange.ErrorAnswer(exchange.Aborted, err.Error(), exchange.TransactionFailed)
		}
		if pending != nil {
			t.closeConnection()
			if r.statement.Operation == exchange.Commit {
				return answer
			}
			// The server rolls back when the connection closes before COMMIT was
			// sent.
			return exchange.ErrorAnswer(exchange.Aborted, r.reason, exchange.TransactionFailed)
		}
		if answer.Failure == nil {
			return answer
		}
		r.noteRefusal(answer.Failure)
		if answer.Failure.Code != exchange.Busy || answer.State != exchange.InTransaction || !awaitRetry(ctx) {
			return answer
		}
	}
}

// runFirst acquires a connection and runs the transaction's first statement. It
// tries other servers until one has begun the transaction.
func (t *transaction) runFirst(ctx context.Context, r *request) exchange.Answer {
	if !t.admitFirst(ctx, r) {
		return exchange.ErrorAnswer(exchange.Aborted, r.reason+", "+r.retryAdvice(), exchange.TransactionFailed)
	}
	tried := map[group.ServerID]bool{}
	for {
		server, ok := t.chooseServer(ctx, r, tried)
		if !ok {
			return exchange.ErrorAnswer(exchange.Aborted, r.reason+", "+r.retryAdvice(), exchange.TransactionFailed)
		}
		answer, next := t.startOn(ctx, r, server)
		if next == returnAnswer {
			return answer
		}
		if next == giveUp {
			return exchange.ErrorAnswer(exchange.Aborted, r.reason+", "+r.retryAdvice(), exchange.TransactionFailed)
		}
		tried[server.ID] = true
	}
}

// chooseServer returns the server for the transaction: the primary, or any server
// for a read-only transaction on a route that allows stale reads.
func (t *transaction) chooseServer(ctx context.Context, r *request, tried map[group.ServerID]bool) (catalog.Server, bool) {
	if !t.readOnly || t.route.Consistency == catalog.Current {
		if len(tried) > 0 && !awaitRetry(ctx) {
			return catalog.Server{}, false
		}
		return r.awaitPrimary(ctx)
	}
	if !r.setMinPosition(ctx) {
		r.reason = "no position recent enough"
		return catalog.Server{}, false
	}
	server, ok := r.chooseReadServer(tried)
	if ok {
		return server, true
	}
	clear(tried)
	if !awaitRetry(ctx) {
		return catalog.Server{}, false
	}
	return r.chooseReadServer(tried)
}

// startOn begins the transaction on a server and runs its first statement. The
// statement is not sent before BEGIN has been answered, because it would run
// outside a transaction if the server refused BEGIN.
func (t *transaction) startOn(ctx context.Context, r *request, server catalog.Server) (exchange.Answer, nextAction) {
	p := r.session.proxy
	desired, _ := r.session.desiredState(r.statement)
	lease, err := r.acquire(ctx, server, true, desired)
	if err != nil {
		r.reason = err.Error()
		if errors.Is(err, link.ErrQueueTimeout) {
			return exchange.Answer{}, giveUp
		}
		p.recordFailure(server.ID)
		return exchange.Answer{}, retryElsewhere
	}
	t.lease, t.server = lease, server.ID
	r.server, r.gateway = server.ID, lease.Gateway
	begin := exchange.Statement{Operation: exchange.Begin}
	if t.readOnly && t.route.Consistency != catalog.Current {
		begin = exchange.Statement{Operation: exchange.BeginRead, MinPosition: r.minPosition}
	}
	started, sentAt := p.now(), p.config.Clock()
	answers, err := link.Run(ctx, lease, desired, begin)
	if err != nil {
		t.closeConnection()
		r.attempts++
		r.reason = err.Error()
		if errors.Is(err, link.ErrQueueTimeout) {
			return exchange.Answer{}, giveUp
		}
		p.recordFailure(server.ID)
		if ctx.Err() != nil {
			return exchange.Answer{}, giveUp
		}
		return exchange.Answer{}, retryElsewhere
	}
	if answers[0].Failure != nil {
		r.attempts++
		p.recordAnswer(server, answers[0], started)
		r.noteRefusal(answers[0].Failure)
		t.release()
		return exchange.Answer{}, retryElsewhere
	}
	if begin.Operation == exchange.Begin {
		r.primary = server
		r.reportProof(sentAt, answers[0])
	}
	return t.execute(ctx, r), returnAnswer
}

// release returns the connection to the pool. No transaction may be open on it.
func (t *transaction) release() {
	t.lease.Release()
	t.lease = nil
}

// releaseAfterCommit returns the connection to the pool after COMMIT. If the
// commit failed, it rolls back first, because a transaction may still be open.
func (t *transaction) releaseAfterCommit(answer exchange.Answer) {
	if t.lease == nil {
		return
	}
	if answer.Failure != nil {
		t.rollBack()
		return
	}
	t.release()
}

// rollBack rolls back on the server and returns the connection to its source.
func (t *transaction) rollBack() {
	t.stopIdleTimer()
	lease := t.lease
	t.lease = nil
	if lease == nil {
		return
	}
	lease.RollBack()
}

// closeConnection closes the connection, upon which the server rolls back.
func (t *transaction) closeConnection() {
	if t.lease != nil {
		t.lease.Close()
		t.lease.Release()
		t.lease = nil
	}
}

// startIdleTimer bounds the time until the next statement, so that an inactive
// caller does not keep a connection.
func (t *transaction) startIdleTimer(s *Session) {
	timeout := s.proxy.config.Cache.View().Config.IdleInTransactionTimeout
	if t.lease == nil || timeout <= 0 {
		return
	}
	lease := t.lease
	t.expired = make(chan struct{})
	expired := t.expired
	t.idleTimer = time.AfterFunc(timeout, func() {
		close(expired)
		lease.Close()
		lease.Release()
	})
}

// stopIdleTimer stops the idle timer. If it has already fired, it waits until the
// expiry is recorded.
func (t *transaction) stopIdleTimer() {
	if t.idleTimer != nil && !t.idleTimer.Stop() {
		<-t.expired
	}
	t.idleTimer = nil
}

func (t *transaction) isExpired() bool {
	if t.expired == nil {
		return false
	}
	select {
	case <-t.expired:
		return true
	default:
		return false
	}
}
