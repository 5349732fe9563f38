// Package proxy executes the statements of callers' sessions on the backend
// servers of a group. It owns the session state that a caller sees, the choice
// of the server for each statement, and the outcome that the caller is told.
//
// A statement that certainly did not run is sent elsewhere or refused with a
// code that says so. A write or commit that was sent and not answered is in
// doubt, unless the transaction wrote nothing.
package proxy

import (
	"context"
	"log/slog"
	"maps"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/lead"
	"basilmill/core/link"
	"basilmill/core/logevent"
	"basilmill/core/retry"
)

// Config sets up a Proxy.
type Config struct {
	Book *catalog.Book
	// Monitor returns the monitor of a configured group.
	Monitor func(group.ID) *lead.Monitor
	// Pool returns the connections to a server.
	Pool       func(catalog.Server) *link.Pool
	DataCentre host.DataCentre
	// Clock is a clock that goes on while the machine is suspended.
	Clock func() time.Duration
	Log   *logevent.Logger
	// Observe, if set, receives the result of each statement.
	Observe func(Result)
}

// Result describes one statement that was answered.
type Result struct {
	Route     catalog.Route
	Operation exchange.Operation
	Elapsed   time.Duration
	Attempts  int
	Server    group.ServerID
	// PositionAge is the age of the proof that an aged read was served at.
	PositionAge time.Duration
	Answer      exchange.Answer
}

// Proxy executes statements. It is safe for concurrent use.
type Proxy struct {
	config Config
	health healths
	// hedges bounds the reads that are sent twice, so that they do not add to
	// an overload.
	hedges retry.Budget
}

// New returns a Proxy.
func New(config Config) *Proxy { return &Proxy{config: config} }

// firstConfigTime is how long a session waits for the host's first
// configuration, which a host usually reads within 60 ms of its start. It stays
// under a quarter of the shortest latency objective (300 ms), after which the
// users count a refusal as late.
const firstConfigTime = 70 * time.Millisecond

// Open starts a session on a database. Without any configuration it cannot be
// said whether the database exists, so the caller is told to come back.
func (p *Proxy) Open(ctx context.Context, database string) (*Session, *exchange.Error) {
	view := p.firstView(ctx)
	if view.Config == nil {
		return nil, &exchange.Error{Code: exchange.Busy, Text: "no configuration yet, retry later"}
	}
	if _, ok := view.Route(database); !ok {
		return nil, &exchange.Error{Code: exchange.NoDatabase, Text: "no route for this database"}
	}
	return &Session{proxy: p, database: database}, nil
}

// firstView returns the view, after a wait for its first configuration.
func (p *Proxy) firstView(ctx context.Context) *catalog.View {
	ctx, cancel := context.WithTimeout(ctx, firstConfigTime)
	defer cancel()
	for {
		changed := p.config.Book.Changed()
		view := p.config.Book.View()
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

// Session is a caller's session. One goroutine uses it at a time.
type Session struct {
	proxy    *Proxy
	database string
	settings link.SessionState
	state    exchange.State
	// written is the position of the session's last commit.
	written     group.Position
	transaction *transaction
}

// InTransaction reports whether a transaction is open.
func (s *Session) InTransaction() bool { return s.state != exchange.Idle }

// request is one statement under way.
type request struct {
	session   *Session
	statement exchange.Statement
	route     catalog.Route
	monitor   *lead.Monitor
	writes    bool
	// arrived is the clock's reading when the statement was read.
	arrived  time.Duration
	started  time.Time
	attempts int
	server   group.ServerID
	// leader is the leader that the last attempt was sent to.
	leader   catalog.Server
	position group.Position
	// positionAge is the age of the proof that the position is from; zero for
	// work that needs no position.
	positionAge time.Duration
	// reason is why the last attempt did not succeed.
	reason string
}

// Execute runs one statement and returns its answer.
func (s *Session) Execute(ctx context.Context, statement exchange.Statement) exchange.Answer {
	if s.state == exchange.Failed {
		return s.executeFailed(statement)
	}
	switch statement.Operation {
	case exchange.Set:
		return s.set(statement)
	case exchange.Prepare:
		return s.prepare(statement)
	case exchange.Release:
		delete(s.settings.Prepared, statement.Name)
		return s.done()
	case exchange.Begin, exchange.BeginRead:
		return s.begin(statement)
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

// Close ends the session and rolls back its transaction.
func (s *Session) Close() {
	if s.transaction != nil {
		s.transaction.end()
		s.transaction = nil
	}
	s.state = exchange.Idle
}

// executeFailed answers in a failed transaction: only its end is accepted.
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
	// Statements of this session that are still in flight use the old map.
	values := maps.Clone(s.settings.Values)
	if values == nil {
		values = map[string]string{}
	}
	values[statement.Name] = statement.Value
	s.settings.Values = values
	return s.done()
}

func (s *Session) prepare(statement exchange.Statement) exchange.Answer {
	if s.settings.Prepared == nil {
		s.settings.Prepared = map[string]exchange.Prepared{}
	}
	s.settings.Prepared[statement.Name] = statement.Prepared
	return s.done()
}

func (s *Session) done() exchange.Answer { return exchange.Answer{State: s.state} }

func (s *Session) fail(code exchange.Code, text string) exchange.Answer {
	return exchange.Fail(code, text, s.state)
}

// run executes a read, a write or a prepared statement.
func (s *Session) run(ctx context.Context, statement exchange.Statement) exchange.Answer {
	writes := statement.Operation == exchange.Write
	if statement.Operation == exchange.Execute {
		prepared, ok := s.settings.Prepared[statement.Name]
		if !ok {
			return s.fail(exchange.NoStatement, "no prepared statement of this name")
		}
		writes = prepared.Writes
	}
	if s.transaction != nil {
		return s.inTransaction(ctx, statement, writes)
	}
	r, failure := s.request(statement, writes)
	if failure != nil {
		return exchange.Answer{Failure: failure, State: s.state}
	}
	ctx, cancel := context.WithTimeout(ctx, r.route.StatementTimeout)
	defer cancel()
	var answer exchange.Answer
	switch {
	case writes:
		answer = r.write(ctx)
	case r.route.Class == catalog.Current:
		answer = r.readCurrent(ctx)
	default:
		answer = r.readAged(ctx)
	}
	answer.State = exchange.Idle
	return r.finish(answer)
}

// request resolves the route for a statement that starts a new transaction.
func (s *Session) request(statement exchange.Statement, writes bool) (*request, *exchange.Error) {
	route, ok := s.proxy.config.Book.View().Route(s.database)
	if !ok {
		return nil, &exchange.Error{Code: exchange.NoDatabase, Text: "the route was removed"}
	}
	monitor := s.proxy.config.Monitor(route.Group)
	if monitor == nil {
		// The configuration has just been applied; its groups start next.
		return nil, &exchange.Error{Code: exchange.Busy, Text: "the group is being set up, retry later"}
	}
	return &request{
		session: s, statement: statement, route: route, monitor: monitor, writes: writes,
		arrived: s.proxy.config.Clock(), started: time.Now(),
	}, nil
}

// wanted returns the session state that a connection needs for a statement,
// and the statement with the name that the connection knows.
func (s *Session) wanted(statement exchange.Statement) (*link.SessionState, exchange.Statement) {
	settings := &link.SessionState{Values: s.settings.Values}
	if statement.Operation == exchange.Execute {
		prepared := s.settings.Prepared[statement.Name]
		statement.Name = sharedName(prepared)
		settings.Prepared = map[string]exchange.Prepared{statement.Name: prepared}
	}
	return settings, statement
}

// finish records the result.
func (r *request) finish(answer exchange.Answer) exchange.Answer {
	p := r.session.proxy
	elapsed := time.Since(r.started)
	if p.config.Observe != nil {
		p.config.Observe(Result{
			Route: r.route, Operation: r.statement.Operation, Elapsed: elapsed, Attempts: r.attempts,
			Server: r.server, PositionAge: r.positionAge, Answer: answer,
		})
	}
	if answer.Failure != nil {
		number := logevent.RequestNotRun
		switch answer.Failure.Code {
		case exchange.InDoubt, exchange.TimedOut, exchange.Errored:
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

// log writes the decision on a request: what it was, the inputs with their
// ages, and the outcome.
func (r *request) log(number logevent.Number, outcome string, elapsed time.Duration) {
	snapshot := r.monitor.Snapshot()
	proven := r.session.proxy.config.Clock() - snapshot.Proven
	r.session.proxy.config.Log.Write(context.Background(), number,
		slog.String("request", string(r.statement.ID)), slog.String("route", r.route.Name), slog.String("class", r.route.Class.String()),
		slog.Int64("config", int64(r.session.proxy.config.Book.View().ConfigVersion())), slog.Bool("writes", r.writes), slog.String("group", string(r.route.Group)), slog.String("server", string(r.server)),
		slog.String("after", r.position.String()), slog.String("leader", string(snapshot.Leader.ID)), slog.Bool("leader_known", snapshot.Known),
		slog.Duration("leader_proven", proven), slog.Int("attempts", r.attempts), slog.Duration("elapsed", elapsed),
		slog.String("reason", r.reason), slog.String("outcome", outcome))
}
