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

// transaction is a caller's open transaction. Its connection is taken at the
// first statement, so that a caller that pauses after BEGIN holds none.
type transaction struct {
	route    catalog.Route
	monitor  *lead.Monitor
	readOnly bool
	arrived  time.Duration
	lease    *link.Lease
	server   group.ServerID
	wrote    bool
	// expired is closed by the timer when the caller has paused for too long.
	idle    *time.Timer
	expired chan struct{}
}

// begin opens a transaction. The caller's BEGIN is answered here.
func (s *Session) begin(statement exchange.Statement) exchange.Answer {
	if s.transaction != nil {
		return s.fail(exchange.Malformed, "a transaction is open")
	}
	r, failure := s.request(statement, false)
	if failure != nil {
		return exchange.Answer{Failure: failure, State: s.state}
	}
	s.transaction = &transaction{
		route: r.route, monitor: r.monitor, arrived: r.arrived,
		readOnly: statement.Operation == exchange.BeginRead,
	}
	s.state = exchange.InTransaction
	return s.done()
}

// rollback ends the transaction. The caller does not wait for the server.
func (s *Session) rollback() exchange.Answer {
	s.Close()
	return s.done()
}

// inTransaction runs a statement of the open transaction.
func (s *Session) inTransaction(ctx context.Context, statement exchange.Statement, writes bool) exchange.Answer {
	t := s.transaction
	r := t.request(s, statement, writes)
	ctx, cancel := context.WithTimeout(ctx, t.route.StatementTimeout)
	defer cancel()
	answer := t.execute(ctx, r)
	if answer.Failure == nil && writes {
		t.wrote = true
	}
	if answer.State != exchange.InTransaction {
		answer.State = exchange.TransactionFailed
		s.state = exchange.TransactionFailed
		t.end()
	}
	t.startIdle(s)
	return r.finish(answer)
}

// commit ends the transaction by the caller's COMMIT.
func (s *Session) commit(ctx context.Context, statement exchange.Statement) exchange.Answer {
	t := s.transaction
	if t == nil {
		return s.fail(exchange.Malformed, "no transaction is open")
	}
	r := t.request(s, statement, t.wrote)
	ctx, cancel := context.WithTimeout(ctx, t.route.StatementTimeout)
	defer cancel()
	answer := t.execute(ctx, r)
	switch {
	case answer.Failure == nil:
		if t.wrote {
			s.written = answer.Position
		}
	case answer.Failure.Code.NotRun(), answer.Failure.Code == exchange.Aborted:
		answer = exchange.ErrorAnswer(exchange.Aborted, answer.Failure.Text, exchange.Idle)
	case answer.Failure.Code == exchange.InDoubt && !t.wrote:
		answer = exchange.ErrorAnswer(exchange.Aborted, "no answer to the commit of a transaction that wrote nothing", exchange.Idle)
	default:
	}
	t.finish(answer)
	s.transaction = nil
	s.state = exchange.Idle
	answer.State = exchange.Idle
	return r.finish(answer)
}

func (t *transaction) request(s *Session, statement exchange.Statement, writes bool) *request {
	t.stopIdle()
	return &request{
		session: s, statement: statement, route: t.route, monitor: t.monitor, writes: writes,
		arrived: t.arrived, started: time.Now(), server: t.server,
	}
}

// execute runs a statement on the transaction's connection, which it takes if
// there is none yet.
func (t *transaction) execute(ctx context.Context, r *request) exchange.Answer {
	if t.isExpired() {
		r.reason = "the transaction was idle for too long"
		return exchange.ErrorAnswer(exchange.Aborted, r.reason, exchange.TransactionFailed)
	}
	if t.lease == nil {
		return t.first(ctx, r)
	}
	wanted, statement := r.session.wanted(r.statement)
	for {
		r.attempts++
		answer, pending := r.runOn(ctx, t.lease, wanted, statement)
		if pending != nil {
			t.drop()
			if r.statement.Operation == exchange.Commit {
				return answer
			}
			// A connection that ends before COMMIT was sent rolls back.
			return exchange.ErrorAnswer(exchange.Aborted, r.reason, exchange.TransactionFailed)
		}
		if answer.Failure == nil {
			return answer
		}
		r.refused(answer.Failure)
		if answer.Failure.Code != exchange.Busy || answer.State != exchange.InTransaction || !pauseRound(ctx) {
			return answer
		}
	}
}

// first takes a connection and runs the transaction's first statement.
func (t *transaction) first(ctx context.Context, r *request) exchange.Answer {
	tried := map[group.ServerID]bool{}
	for {
		server, ok := t.place(ctx, r, tried)
		if !ok {
			return exchange.ErrorAnswer(exchange.Aborted, r.reason+", retry later", exchange.TransactionFailed)
		}
		answer, verdict := t.startOn(ctx, r, server)
		if verdict == answered {
			return answer
		}
		if verdict == ended {
			return exchange.ErrorAnswer(exchange.Aborted, r.reason+", retry later", exchange.TransactionFailed)
		}
		tried[server.ID] = true
	}
}

// place chooses the server of the transaction: the leader, or for a read-only
// transaction of a route that allows some age any server.
func (t *transaction) place(ctx context.Context, r *request, tried map[group.ServerID]bool) (catalog.Server, bool) {
	if !t.readOnly || t.route.Consistency == catalog.Current {
		if len(tried) > 0 && !pauseRound(ctx) {
			return catalog.Server{}, false
		}
		return r.awaitLeader(ctx)
	}
	if !r.findPosition(ctx) {
		r.reason = "no position recent enough"
		return catalog.Server{}, false
	}
	server, ok := r.reader(tried)
	if ok {
		return server, true
	}
	clear(tried)
	if !pauseRound(ctx) {
		return catalog.Server{}, false
	}
	return r.reader(tried)
}

// startOn begins the transaction on a server and runs its first statement. The
// statement waits for the answer to BEGIN, because it would run outside the
// transaction if BEGIN was refused.
func (t *transaction) startOn(ctx context.Context, r *request, server catalog.Server) (exchange.Answer, verdict) {
	p := r.session.proxy
	wanted, _ := r.session.wanted(r.statement)
	lease, err := r.lease(ctx, server, true, wanted)
	if err != nil {
		r.reason = err.Error()
		if errors.Is(err, errQueued) {
			return exchange.Answer{}, ended
		}
		p.avoid(server.ID)
		return exchange.Answer{}, elsewhere
	}
	t.lease, t.server = lease, server.ID
	r.server = server.ID
	begin := exchange.Statement{Operation: exchange.Begin}
	if t.readOnly && t.route.Consistency != catalog.Current {
		begin = exchange.Statement{Operation: exchange.BeginRead, MinPosition: r.position}
	}
	started, sent := time.Now(), p.config.Clock()
	answers, err := lease.Run(ctx, wanted, begin)
	if err != nil {
		t.drop()
		r.attempts++
		r.reason = err.Error()
		p.avoid(server.ID)
		if ctx.Err() != nil {
			return exchange.Answer{}, ended
		}
		return exchange.Answer{}, elsewhere
	}
	if answers[0].Failure != nil {
		r.attempts++
		p.learned(server.ID, answers[0], time.Since(started))
		r.refused(answers[0].Failure)
		t.release()
		return exchange.Answer{}, elsewhere
	}
	if begin.Operation == exchange.Begin {
		r.leader = server
		r.proven(sent, answers[0])
	}
	return t.execute(ctx, r), answered
}

// release hands back a connection on which no transaction is open.
func (t *transaction) release() {
	t.lease.Release()
	t.lease = nil
}

// finish hands the connection back after COMMIT, or ends it when its state is
// not known to be clean.
func (t *transaction) finish(answer exchange.Answer) {
	if t.lease == nil {
		return
	}
	if answer.Failure != nil {
		t.end()
		return
	}
	t.release()
}

// end rolls back: the connection is handed back once the server has confirmed
// the rollback.
func (t *transaction) end() {
	t.stopIdle()
	lease := t.lease
	t.lease = nil
	if lease == nil {
		return
	}
	call := lease.Submit(nil, exchange.Statement{Operation: exchange.Rollback})
	go func() {
		timer := time.NewTimer(rollbackTime)
		defer timer.Stop()
		select {
		case <-call.Done:
		case <-timer.C:
			lease.Close()
		}
		lease.Release()
	}()
}

// rollbackTime bounds the wait for the answer to a rollback, after which the
// connection is closed: several round trips between regions.
const rollbackTime = 500 * time.Millisecond

// drop closes the connection, which rolls back.
func (t *transaction) drop() {
	if t.lease != nil {
		t.lease.Close()
		t.lease.Release()
		t.lease = nil
	}
}

// startIdle limits the pause until the next statement, so that a caller that
// went away does not keep a connection.
func (t *transaction) startIdle(s *Session) {
	limit := s.proxy.config.Book.View().Config.IdleInTransactionTimeout
	if t.lease == nil || limit <= 0 {
		return
	}
	lease := t.lease
	t.expired = make(chan struct{})
	expired := t.expired
	t.idle = time.AfterFunc(limit, func() {
		close(expired)
		lease.Close()
		lease.Release()
	})
}

func (t *transaction) stopIdle() {
	if t.idle != nil && !t.idle.Stop() {
		<-t.expired
	}
	t.idle = nil
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
