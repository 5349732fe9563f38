// Package proxy executes the statements of callers' sessions on the backend
// servers of a group. It owns the session state visible to a caller, the choice
// of the server for each statement, and the outcome reported to the caller.
//
// A statement that is known not to have run is retried on another server or
// refused with a code that says so. A write or commit that was sent and not
// answered is reported as in doubt, unless the transaction wrote nothing.
package proxy

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"basilmill/core/account"
	"basilmill/core/budget"
	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/lead"
	"basilmill/core/link"
	"basilmill/core/logevent"
	"basilmill/core/retry"
)

// Config holds the dependencies of a Proxy.
type Config struct {
	Cache *catalog.Cache
	// Monitor returns the primary monitor of a group, nil if it has none yet.
	Monitor func(group.ID) *lead.Monitor
	// Sources returns the source of connections to a backend server.
	Sources    link.Sources
	DataCentre host.DataCentre
	// ListServers, if set, lists the servers of a group from the platform's store. It is
	// called when a commit is held back for long, because the host's view may be older.
	ListServers func(context.Context, group.ID) ([]catalog.Server, error)
	// ChangeInProgress, if set, reports whether a change of the group's primary that was
	// begun before the call may still take effect, and the term to which the last one led. It
	// is called as ListServers is.
	ChangeInProgress func(context.Context, group.ID) (inProgress bool, term group.Term, err error)
	// Admission, if set, limits the operations of client accounts.
	Admission Admission
	// Via, if set, returns the host whose connections to a server the requests of an
	// account use. It is called for explanations only.
	Via func(catalog.Server, account.ID) host.ID
	// LeaveTime is how long after a server said that it is leaving requests may be
	// sent to it; zero means until it ends.
	LeaveTime time.Duration
	// Clock is a monotonic clock that includes the time the machine is suspended.
	Clock func() time.Duration
	Log   *logevent.Logger
	// Observe, if set, is called with the result of each read, write and commit.
	Observe func(Result)
}

// Result describes one completed statement, for metrics.
type Result struct {
	Route catalog.Route
	// Account is the client account of the request; empty if it has none.
	Account   account.ID
	Operation exchange.Operation
	Elapsed   time.Duration
	Attempts  int
	Server    group.ServerID
	// PositionAge is the age of the sample that set the minimum position of a
	// stale read; zero for other statements.
	PositionAge time.Duration
	// HeldBack is how long the success of a commit was held back until it could not be
	// lost any more; zero for other statements.
	HeldBack time.Duration
	Answer   exchange.Answer
}

// Proxy routes statements to backend servers and executes them there. It is
// safe for concurrent use.
type Proxy struct {
	config Config
	health healthTable
	// hedgeBudget limits hedged reads (reads sent to a second server), so that
	// they do not worsen an overload.
	hedgeBudget retry.Budget
	confirmers  confirmers
	outages     outages
}

// New returns a Proxy without open sessions.
func New(config Config) *Proxy { return &Proxy{config: config} }

// firstConfigTimeout bounds a new session's wait for the host's first
// configuration, which is usually read within 60 ms of the start. It is less
// than a quarter of the shortest latency objective (300 ms): a refusal after
// that counts as late.
const firstConfigTimeout = 70 * time.Millisecond

// Open starts a session of a caller without an API key on a database. Before the first
// configuration has been read, it is unknown whether the database exists, so the caller is
// told to retry.
func (p *Proxy) Open(ctx context.Context, database string) (*Session, *exchange.Error) {
	return p.OpenWithKey(ctx, database, catalog.KeyDigest{})
}

// OpenWithKey is Open for a caller that has sent an API key.
func (p *Proxy) OpenWithKey(ctx context.Context, database string, key catalog.KeyDigest) (*Session, *exchange.Error) {
	view := p.awaitConfig(ctx)
	if view.Config == nil {
		return nil, &exchange.Error{Code: exchange.Busy, Text: "no configuration yet, retry later"}
	}
	if _, ok := view.Route(database); !ok {
		return nil, &exchange.Error{Code: exchange.NoDatabase, Text: "no route for this database"}
	}
	s := &Session{proxy: p, database: database, key: key}
	if failure := s.identify(); failure != nil {
		return nil, failure
	}
	return s, nil
}

// awaitConfig returns the current view. It waits for the first configuration
// for at most firstConfigTimeout.
func (p *Proxy) awaitConfig(ctx context.Context) *catalog.View {
	ctx, cancel := context.WithTimeout(ctx, firstConfigTimeout)
	defer cancel()
	for {
		changed := p.config.Cache.Changed()
		view := p.config.Cache.View()
		if view.Config != nil {
			return view
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return view
		}
	}
}

// Session is the state of one caller's session. It must not be used by several
// goroutines at the same time.
type Session struct {
	proxy    *Proxy
	database string
	// key is the digest of the caller's API key.
	key catalog.KeyDigest
	// values and prepared are the session values and the prepared statements, by the
	// caller's names.
	values           map[string]string
	prepared         map[string]preparedStatement
	transactionState exchange.State
	// account is the client account of the statement or transaction that runs; empty if
	// the caller has none.
	account account.ID
	// lastCommit is the log position of the session's last commit, which
	// read-your-writes reads must see.
	lastCommit  group.Position
	transaction *transaction
	// holder counts the session's names and values.
	holder *budget.Holder
}

// InTransaction reports whether a transaction is open, including a failed one
// that has not been ended.
func (s *Session) InTransaction() bool { return s.transactionState != exchange.Idle }

// noteCommit notes the position of a commit of the session. An answer may lack the
// position, and must then not lower what the session's reads must see.
func (s *Session) noteCommit(position group.Position) {
	if position.Compare(s.lastCommit) > 0 {
		s.lastCommit = position
	}
}

// request is the execution of one statement.
type request struct {
	session *Session
	// account is that of the session when the request began. Reads that are no longer
	// waited for may still use it.
	account   account.ID
	statement exchange.Statement
	route     catalog.Route
	monitor   *lead.Monitor
	writes    bool
	// arrived is the reading of Config.Clock when the statement was received, or
	// when its transaction began.
	arrived  time.Duration
	started  time.Time
	attempts int
	server   group.ServerID
	// gateway is the host that held the connection of the last attempt; empty if
	// it was this host.
	gateway host.ID
	// primary is the primary that the last attempt was sent to; unset if any
	// server may run the statement.
	primary catalog.Server
	// minPosition is the log position that a server must have reached to serve
	// the read; zero if any position will do.
	minPosition group.Position
	// positionAge is the age of the sample that minPosition was taken from; zero
	// for requests without a minimum position.
	positionAge time.Duration
	// committed is the end of the primary's log right after the request's commit; zero
	// if the request has not committed.
	committed group.Position
	// heldBack is how long the success of the commit was held back.
	heldBack time.Duration
	// witness is a server that was known to have received the commit then.
	witness group.ServerID
	// witnessListed is how long before the store was last known to list the witness.
	witnessListed time.Duration
	// wait is set while the request waits for news of its group.
	wait *wait
	// retryText, if set, tells the caller when to come back.
	retryText string
	// reason says why the last attempt failed. It is logged and sent to the
	// caller.
	reason string
}

// Execute runs one statement and returns its answer. Failures are part of the
// answer.
func (s *Session) Execute(ctx context.Context, statement exchange.Statement) exchange.Answer {
	switch s.transactionState {
	case exchange.TransactionFailed:
		return s.executeFailed(statement)
	case exchange.Idle:
		if failure := s.identify(); failure != nil {
			return exchange.Answer{Failure: failure}
		}
	default:
	}
	switch statement.Operation {
	case exchange.Set:
		return s.set(statement)
	case exchange.Prepare:
		return s.prepare(statement)
	case exchange.Release:
		return s.release(statement)
	case exchange.Begin, exchange.BeginRead:
		return s.begin(ctx, statement)
	case exchange.Rollback:
		return s.rollback()
	case exchange.Commit:
		return s.commit(ctx, statement)
	case exchange.Read, exchange.Write, exchange.Execute:
		return s.run(ctx, statement)
	default:
		return s.fail(exchange.Malformed, "statement not allowed")
	}
}

// Close rolls back the open transaction, if any.
func (s *Session) Close() {
	if s.transaction != nil {
		s.transaction.rollBack()
		s.transaction = nil
	}
	s.transactionState = exchange.Idle
}

// executeFailed handles a statement in a failed transaction. Only ROLLBACK and
// COMMIT are accepted, and both roll back.
func (s *Session) executeFailed(statement exchange.Statement) exchange.Answer {
	switch statement.Operation {
	case exchange.Rollback:
		return s.rollback()
	case exchange.Commit:
		s.Close()
		return s.fail(exchange.Aborted, "the transaction had failed and is rolled back")
	default:
		return s.fail(exchange.Malformed, "the transaction has failed")
	}
}

func (s *Session) set(statement exchange.Statement) exchange.Answer {
	old, known := s.values[statement.Name]
	if !s.keep(entrySize(statement.Name, old), entrySize(statement.Name, statement.Value), known, len(s.values) >= maxValues) {
		return s.fail(exchange.Busy, "too many session values")
	}
	// Statements of this session that are still in flight use the old map, so it
	// must not be modified.
	values := maps.Clone(s.values)
	if values == nil {
		values = map[string]string{}
	}
	values[statement.Name] = statement.Value
	s.values = values
	return s.success()
}

func (s *Session) prepare(statement exchange.Statement) exchange.Answer {
	old, known := s.prepared[statement.Name]
	if !s.keep(entrySize(statement.Name, old.content.Text), entrySize(statement.Name, statement.Prepared.Text), known, len(s.prepared) >= maxPrepared) {
		return s.fail(exchange.Busy, "too many prepared statements")
	}
	if s.prepared == nil {
		s.prepared = map[string]preparedStatement{}
	}
	s.prepared[statement.Name] = newPreparedStatement(statement.Prepared)
	return s.success()
}

func (s *Session) release(statement exchange.Statement) exchange.Answer {
	if old, known := s.prepared[statement.Name]; known {
		s.holder.Return(budget.State, entrySize(statement.Name, old.content.Text))
		delete(s.prepared, statement.Name)
	}
	return s.success()
}

func (s *Session) success() exchange.Answer { return exchange.Answer{State: s.transactionState} }

func (s *Session) fail(code exchange.Code, text string) exchange.Answer {
	return exchange.ErrorAnswer(code, text, s.transactionState)
}

// run executes a read, a write or a prepared statement, inside the open
// transaction if there is one.
func (s *Session) run(ctx context.Context, statement exchange.Statement) exchange.Answer {
	writes := statement.Operation == exchange.Write
	if statement.Operation == exchange.Execute {
		prepared, ok := s.prepared[statement.Name]
		if !ok {
			return s.fail(exchange.NoStatement, "no prepared statement of this name")
		}
		writes = prepared.content.Writes
	}
	if s.transaction != nil {
		return s.runInTransaction(ctx, statement, writes)
	}
	r, failure := s.newRequest(statement, writes)
	if failure != nil {
		return exchange.Answer{Failure: failure, State: s.transactionState}
	}
	ctx, cancel := context.WithTimeout(ctx, r.route.StatementTimeout)
	defer cancel()
	answer, verdict := r.admit(ctx)
	switch {
	case !verdict.Admitted:
	case writes:
		answer = r.write(ctx)
	case r.route.Consistency == catalog.Current:
		answer = r.readCurrent(ctx)
	default:
		answer = r.readStale(ctx)
	}
	answer.State = exchange.Idle
	return r.record(answer)
}

// newRequest resolves the route for a statement outside a transaction or for a
// BEGIN.
func (s *Session) newRequest(statement exchange.Statement, writes bool) (*request, *exchange.Error) {
	route, ok := s.proxy.config.Cache.View().Route(s.database)
	if !ok {
		return nil, &exchange.Error{Code: exchange.NoDatabase, Text: "the route was removed"}
	}
	monitor := s.proxy.config.Monitor(route.Group)
	if monitor == nil {
		// The configuration has just been applied and the monitor of the group
		// has not been started yet.
		return nil, &exchange.Error{Code: exchange.Busy, Text: "the group is being set up, retry later"}
	}
	return &request{
		session: s, account: s.account, statement: statement, route: route, monitor: monitor, writes: writes,
		arrived: s.proxy.config.Clock(), started: time.Now(),
	}, nil
}

// desiredState returns the session state that a connection must have for a
// statement, and the statement with the prepared statement's name on the
// connection instead of the caller's.
func (s *Session) desiredState(statement exchange.Statement) (*link.SessionState, exchange.Statement) {
	state := &link.SessionState{Values: s.values}
	if statement.Operation == exchange.Execute {
		prepared := s.prepared[statement.Name]
		statement.Name = prepared.sharedName
		state.Prepared = map[string]exchange.PreparedStatement{statement.Name: prepared.content}
	}
	return state, statement
}

// record reports the result to the metrics and the log and returns the answer.
func (r *request) record(answer exchange.Answer) exchange.Answer {
	p := r.session.proxy
	elapsed := time.Since(r.started)
	if p.config.Observe != nil {
		p.config.Observe(Result{
			Route: r.route, Account: r.account, Operation: r.statement.Operation, Elapsed: elapsed, Attempts: r.attempts,
			Server: r.server, PositionAge: r.positionAge, HeldBack: r.heldBack, Answer: answer,
		})
	}
	if answer.Failure != nil {
		number := logevent.RequestNotRun
		switch answer.Failure.Code {
		case exchange.InDoubt, exchange.TimedOut, exchange.ExecutionFailed:
			number = logevent.OutcomeUnknown
		default:
		}
		r.log(number, answer.Failure.Code.String(), elapsed)
	} else if r.attempts > 1 {
		r.log(logevent.RequestRetried, "done", elapsed)
	} else {
		r.log(logevent.RequestServed, "done", elapsed)
	}
	return answer
}

// log writes a log event for a request: the request, the data that the choice
// of the server was based on with its age, and the outcome.
func (r *request) log(number logevent.Number, outcome string, elapsed time.Duration) {
	snapshot := r.monitor.Snapshot()
	proofAge := r.session.proxy.config.Clock() - snapshot.ProvenAt
	r.session.proxy.config.Log.Write(context.Background(), number,
		slog.String("request", string(r.statement.ID)), slog.String("account", string(r.account)), slog.String("route", r.route.Name), slog.String("class", r.route.Consistency.String()),
		slog.Int64("config", int64(r.session.proxy.config.Cache.View().ConfigVersion())), slog.Bool("writes", r.writes), slog.String("group", string(r.route.Group)), slog.String("server", string(r.server)), slog.String("gateway", string(r.gateway)),
		slog.String("after", r.minPosition.String()), slog.String("committed", r.committed.String()), slog.Duration("held_back", r.heldBack), slog.String("witness", string(r.witness)), slog.Duration("witness_listed", r.witnessListed), slog.String("leader", string(snapshot.Primary.ID)), slog.Bool("leader_known", snapshot.PrimaryKnown),
		slog.Duration("leader_proven", proofAge), slog.Int("attempts", r.attempts), slog.Duration("elapsed", elapsed),
		slog.String("reason", r.reason), slog.String("outcome", outcome))
}
