package serve

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"basilmill/core/account"
	"basilmill/core/control"
	"basilmill/core/failover"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/logevent"
	"basilmill/core/outcome"
	"basilmill/core/retry"
	"basilmill/core/statement"
	"basilmill/io/backendserver"
	"basilmill/io/caller"
	"basilmill/io/peer"
)

const (
	// suspicionInterval limits the suspicions that a host reports about one
	// server, because every caller of a lost server reports its connection.
	suspicionInterval = 100 * time.Millisecond
	// peerTimeout bounds a report to another host.
	peerTimeout = time.Second
)

// entry implements caller.Host: it authenticates callers, routes their
// requests, locally for the groups that this host coordinates and through a
// coordinator otherwise, and has their writes confirmed.
type entry struct {
	ctx      context.Context
	snapshot func() *control.Snapshot
	post     func(control.Input)
	peers    *peer.Client
	local    *backendserver.LocalConnector
	router   *router
	log      *logevent.Logger
	metrics  *metrics

	mu        sync.Mutex
	suspected map[serverKey]time.Time
	shared    map[shareKey]account.Sharing
	budgets   map[account.ID]*retry.Budget
}

// shareKey identifies an account's share of a server's connections.
type shareKey struct {
	server  serverKey
	account account.ID
}

var errUnknownServer = errors.New("the group's record does not name the server")

// errNoAccount does not tell a caller whether the account or the database is
// wrong.
var errNoAccount = errors.New("no such account, or the account does not own the database")

// Authenticate implements caller.Host.
func (e *entry) Authenticate(ctx context.Context, user, database string) (caller.Identity, error) {
	a, ok := e.snapshot().Accounts[account.ID(user)]
	if !ok {
		e.log.Write(ctx, logevent.CallerRefused, slog.String("Account", user))
		return caller.Identity{}, errNoAccount
	}
	claim, ok := a.Template.ClaimFor(database)
	if !ok {
		e.log.Write(ctx, logevent.CallerRefused, slog.String("Account", user), slog.String("Database", database))
		return caller.Identity{}, errNoAccount
	}
	return caller.Identity{
		Account:             a.Template.ID,
		Group:               claim.Group,
		Database:            database,
		Verifier:            string(a.Template.Verifier),
		ConfirmationTimeout: a.Template.ConfirmationTimeout,
		QueueTimeout:        a.Template.Sharing.QueueTimeout,
	}, nil
}

// Route implements caller.Host.
func (e *entry) Route(ctx context.Context, request caller.Request) (caller.Decision, error) {
	start, err := e.demand(request)
	if err != nil {
		return caller.Decision{}, err
	}
	s := e.snapshot()
	g, ok := s.Groups[start.Group]
	if !ok {
		return caller.Decision{}, outcome.Unavailable("the database group is not known yet", nil)
	}
	ctx, cancel := context.WithTimeout(ctx, start.Timeout)
	defer cancel()
	if view := g.View(); view.Rank < 0 {
		return e.forward(ctx, view, start)
	}
	if start.MaxAge == 0 {
		r, err := e.router.route(ctx, g, start)
		return r.Decision, err
	}
	return e.open(ctx, g, start)
}

// maxRoutes bounds how often a request is routed again because no connection
// to the chosen server could be had.
const maxRoutes = 3

// open routes a request and opens a conversation for it. The conversation of
// a read with an age ends when its answer comes too late.
func (e *entry) open(ctx context.Context, g *control.Group, start peer.Start) (caller.Decision, error) {
	for attempt := 1; ; attempt++ {
		r, err := e.router.route(ctx, g, start)
		if err != nil {
			return caller.Decision{}, err
		}
		conversation, err := e.Acquire(ctx, r.Target)
		if err == nil {
			r.Conversation = guard(conversation, r.freshUntil)
			return r.Decision, nil
		}
		if !overloaded(err) && !errors.Is(ctx.Err(), context.Canceled) {
			e.connectionLost(r.Target)
		}
		if attempt == maxRoutes || ctx.Err() != nil || (r.Primary && overloaded(err)) {
			return caller.Decision{}, err
		}
		start.Excluded = append(start.Excluded, r.Target.Server)
	}
}

func overloaded(err error) bool {
	var failed *outcome.Error
	return errors.As(err, &failed) && failed.SQLState == outcome.TooManyConnections
}

// demand states what a request asks of routing, as its account's template has
// it.
func (e *entry) demand(request caller.Request) (peer.Start, error) {
	a, ok := e.snapshot().Accounts[request.Account]
	if !ok {
		return peer.Start{}, outcome.Unavailable("the client account does not exist any more", nil)
	}
	claim, ok := a.Template.ClaimFor(request.Database)
	if !ok {
		return peer.Start{}, outcome.Unavailable("the client account does not own the database any more", nil)
	}
	start := peer.Start{
		Account:    request.Account,
		Group:      claim.Group,
		Database:   request.Database,
		Write:      request.Class != statement.Read,
		Floor:      request.Floor,
		FloorKnown: request.FloorKnown,
		Excluded:   request.Excluded,
		Timeout:    a.Template.Sharing.QueueTimeout,
	}
	if claim.ReadOnly && request.Class == statement.Write {
		return peer.Start{}, &outcome.Error{Outcome: outcome.NotRun, SQLState: "42501", Message: "the client account only reads from this group"}
	}
	if class, ok := a.Matcher.Match(request.SQL); ok && request.Class == statement.Read {
		start.MaxAge, start.OwnWrites = class.MaxAge, class.RequireOwnWrites
	}
	return start, nil
}

// forward has the request served by a coordinator: that of the own data
// centre first, then the others.
func (e *entry) forward(ctx context.Context, view *control.GroupView, start peer.Start) (caller.Decision, error) {
	failure := outcome.Unavailable("no coordinator of the group is known", nil)
	for _, to := range e.nearestFirst(view.Coordinators) {
		// The conversation outlives routing, so it is not bound to ctx.
		started, conversation, err := e.peers.Forward(e.ctx, to, start)
		if err == nil {
			e.metrics.forwards.WithLabelValues("done").Inc()
			return decisionOf(view, start, started, conversation), nil
		}
		e.metrics.forwards.WithLabelValues("failed").Inc()
		if !errors.As(err, &failure) {
			failure = outcome.Unavailable("the coordinator of the group failed", err)
		}
		if failure.SQLState == outcome.TooManyConnections || ctx.Err() != nil {
			return caller.Decision{}, failure
		}
		if errors.Is(err, peer.ErrUnreachable) {
			e.post(control.HostFailed{ID: to.ID})
			e.log.Write(ctx, logevent.PeerUnreachable, slog.String("Host", string(to.ID)), slog.String("Error", err.Error()))
		}
	}
	return caller.Decision{}, failure
}

func decisionOf(view *control.GroupView, start peer.Start, started peer.Started, conversation backendserver.Conversation) caller.Decision {
	server, _ := view.Record.Server(started.Server)
	return caller.Decision{
		Target: backendserver.Target{
			Group: start.Group, Server: started.Server, Address: server.Address, Database: start.Database, Account: start.Account,
		},
		Term:         started.Term,
		Generation:   started.Generation,
		Primary:      started.Primary,
		Floor:        started.Floor,
		Conversation: conversation,
	}
}

// nearestFirst orders hosts of the own data centre before the others.
func (e *entry) nearestFirst(hosts []host.Info) []host.Info {
	own := e.snapshot().Self.DataCentre
	var near, far []host.Info
	for _, h := range hosts {
		if h.DataCentre == own {
			near = append(near, h)
		} else {
			far = append(far, h)
		}
	}
	return append(near, far...)
}

// start serves a request that another host forwarded.
func (e *entry) start(ctx context.Context, start peer.Start) (peer.Started, backendserver.Conversation, error) {
	g, ok := e.snapshot().Groups[start.Group]
	if !ok || g.View().Rank < 0 {
		return peer.Started{}, nil, outcome.Unavailable("the host does not coordinate the group", nil)
	}
	ctx, cancel := context.WithTimeout(ctx, start.Timeout)
	defer cancel()
	decision, err := e.open(ctx, g, start)
	if err != nil {
		return peer.Started{}, nil, err
	}
	return peer.Started{
		Server:     decision.Target.Server,
		Term:       decision.Term,
		Generation: decision.Generation,
		Primary:    decision.Primary,
		Floor:      decision.Floor,
	}, decision.Conversation, nil
}

// Acquire implements caller.Host.
func (e *entry) Acquire(ctx context.Context, target backendserver.Target) (backendserver.Conversation, error) {
	timeout := account.QueueTimeoutRange.Default
	if a, ok := e.snapshot().Accounts[target.Account]; ok {
		e.share(target, a.Template.Sharing)
		timeout = a.Template.Sharing.QueueTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		conversation, err := e.local.Acquire(ctx, target)
		if err == nil || !e.mayWait(target, err) {
			return conversation, err
		}
		pause(ctx, fullPause)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

// fullPause follows a refusal by a server at its connection limit. A returned
// connection serves the request sooner only if it is this host's.
const fullPause = 50 * time.Millisecond

// mayWait reports whether a request waits although the server refused a
// connection at its limit. This happens for a short time while the hosts
// disagree about the coordinators. A replica is left for another server.
func (e *entry) mayWait(target backendserver.Target, err error) bool {
	g, ok := e.snapshot().Groups[target.Group]
	return ok && g.View().Record.Primary == target.Server && errors.Is(err, backendserver.ErrServerFull)
}

// Confirm implements caller.Host.
func (e *entry) Confirm(ctx context.Context, id group.ID, generation group.Generation, position group.Position, effect bool) error {
	g, ok := e.snapshot().Groups[id]
	if !ok {
		return outcome.Unresolved("the database group is not known", nil)
	}
	view := g.View()
	if view.Rank >= 0 {
		return confirm(ctx, g, generation, position, effect)
	}
	var err error
	for _, to := range e.nearestFirst(view.Coordinators) {
		if err = e.peers.Confirm(ctx, to, peer.Confirmation{Group: id, Generation: generation, Position: position, Effect: effect}); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

func confirm(ctx context.Context, g *control.Group, generation group.Generation, position group.Position, effect bool) error {
	if effect {
		return g.Gate.Confirm(ctx, generation, position)
	}
	return g.Gate.ConfirmNoEffect(ctx, generation, position)
}

// Retry budget of an account. Retries wait in routing until a server has
// answered, so the burst may cover every caller that waits when a primary is
// lost; the share bounds the load that lasting failures add.
const (
	retryShare   = 0.2
	retryMinRate = 100
	retryBurst   = 1000
)

// MayRetry implements caller.Host.
func (e *entry) MayRetry(id account.ID) bool {
	allowed := e.budget(id).Allow()
	if !allowed {
		e.metrics.retriesRefused.Inc()
	}
	return allowed
}

func (e *entry) budget(id account.ID) *retry.Budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b, ok := e.budgets[id]
	if !ok {
		b = &retry.Budget{Ratio: retryShare, MinRate: retryMinRate, Burst: retryBurst}
		// A budget starts empty; the first loss of a primary must find it full.
		for range int(retryBurst / retryShare) {
			b.RecordSuccess()
		}
		e.budgets[id] = b
	}
	return b
}

// Observe implements caller.Host.
func (e *entry) Observe(event caller.Event) {
	e.metrics.observe(event)
	switch ev := event.(type) {
	case caller.ConnectionLost:
		e.connectionLost(ev.Target)
		e.log.Write(e.ctx, logevent.ConnectionLost, slog.String("Group", string(ev.Target.Group)),
			slog.String("Server", string(ev.Target.Server)), slog.String("Error", ev.Err.Error()))
	case caller.StatementDone:
		if ev.Outcome == outcome.Done {
			e.budget(ev.Account).RecordSuccess()
		}
		e.logOutcome(ev)
	}
}

func (e *entry) logOutcome(done caller.StatementDone) {
	number := logevent.RequestNotRun
	switch done.Outcome {
	case outcome.Done:
		return
	case outcome.Unknown:
		number = logevent.OutcomeUnknown
	}
	e.log.Write(e.ctx, number, slog.String("Account", string(done.Account)), slog.String("Class", done.Class.String()))
}

// connectionLost makes the coordinators of the group probe the server at once
// and keeps new requests away from it until it answers.
func (e *entry) connectionLost(target backendserver.Target) {
	key := serverKey{target.Group, target.Server}
	e.router.avoid(key)
	if !e.maySuspect(key) {
		return
	}
	s := e.snapshot()
	e.post(control.GroupEvent{Group: target.Group, Event: failover.SuspicionReported{From: s.Self.ID}})
	g, ok := s.Groups[target.Group]
	if !ok {
		return
	}
	view := g.View()
	for _, to := range view.Coordinators {
		if to.ID != s.Self.ID {
			go e.suspect(to, peer.Suspicion{Group: target.Group, Server: target.Server, Term: view.Record.Term})
		}
	}
}

func (e *entry) suspect(to host.Info, suspicion peer.Suspicion) {
	ctx, cancel := context.WithTimeout(e.ctx, peerTimeout)
	defer cancel()
	if err := e.peers.Suspect(ctx, to, suspicion); err != nil {
		e.post(control.HostFailed{ID: to.ID})
	}
}

func (e *entry) maySuspect(key serverKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if now.Sub(e.suspected[key]) < suspicionInterval {
		return false
	}
	e.suspected[key] = now
	return true
}
