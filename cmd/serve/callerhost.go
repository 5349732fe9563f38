package serve

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"basilmill/core/account"
	"basilmill/core/budget"
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
	// suspicionInterval is the minimum time between two suspicions that this host
	// reports about one server, because each caller that used a lost server
	// causes one.
	suspicionInterval = 100 * time.Millisecond
	// peerTimeout bounds a suspicion or an announcement sent to another host.
	peerTimeout = time.Second
)

// callerHost implements caller.Host, which the sessions of callers use: it
// authenticates callers, routes their requests and has their writes
// confirmed. For groups that this host does not coordinate, it forwards
// requests to a coordinator.
type callerHost struct {
	// ctx ends when the host stops.
	ctx      context.Context
	snapshot func() *control.Snapshot
	post     func(control.Input)
	peers    *peer.Client
	local    *backendserver.LocalConnector
	router   *router
	log      *logevent.Logger
	metrics  *metrics

	mu sync.Mutex
	// lastSuspicion is when this host last reported a suspicion of a server.
	lastSuspicion map[serverKey]time.Time
	// shares are the shares last set in the connection pools.
	shares  map[shareKey]account.Sharing
	budgets map[account.ID]*retry.Budget
}

// shareKey identifies an account's share of a server's connections.
type shareKey struct {
	server  serverKey
	account account.ID
}

// errNoAccount does not reveal to a caller whether the account or the
// database is wrong.
var errNoAccount = errors.New("no such account, or the account does not own the database")

// Authenticate implements caller.Host.
func (h *callerHost) Authenticate(ctx context.Context, user, database string) (caller.Identity, error) {
	a, ok := h.snapshot().Accounts[account.ID(user)]
	if !ok {
		h.log.Write(ctx, logevent.CallerRefused, slog.String("Account", user))
		return caller.Identity{}, errNoAccount
	}
	claim, ok := a.Template.ClaimFor(database)
	if !ok {
		h.log.Write(ctx, logevent.CallerRefused, slog.String("Account", user), slog.String("Database", database))
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
func (h *callerHost) Route(ctx context.Context, request caller.Request) (caller.Decision, error) {
	start, err := h.startOf(request)
	if err != nil {
		return caller.Decision{}, err
	}
	s := h.snapshot()
	g, ok := s.Groups[start.Group]
	if !ok {
		return caller.Decision{}, outcome.Unavailable("the database group is not known yet", nil)
	}
	ctx, cancel := context.WithTimeout(ctx, start.Timeout)
	defer cancel()
	if view := g.View(); view.Rank < 0 {
		return h.forward(ctx, view, start)
	}
	if start.MaxAge == 0 {
		r, err := h.router.route(ctx, g, start)
		return r.Decision, err
	}
	return h.routeAndOpen(ctx, g, start)
}

// maxRoutingAttempts bounds how often a request is routed while no connection
// to the chosen server is available.
const maxRoutingAttempts = 3

// routeAndOpen routes a request and opens a conversation for it. The
// conversation of a read with a maximum age rejects an answer that arrives
// too late.
func (h *callerHost) routeAndOpen(ctx context.Context, g *control.Group, start peer.Start) (caller.Decision, error) {
	for attempt := 1; ; attempt++ {
		r, err := h.router.route(ctx, g, start)
		if err != nil {
			return caller.Decision{}, err
		}
		conversation, err := h.Acquire(ctx, r.Target)
		if err == nil {
			r.Conversation = withFreshnessLimit(conversation, r.freshUntil)
			return r.Decision, nil
		}
		if !overloaded(err) && !errors.Is(ctx.Err(), context.Canceled) {
			h.connectionLost(r.Target)
		}
		if attempt == maxRoutingAttempts || ctx.Err() != nil || (r.Primary && overloaded(err)) {
			return caller.Decision{}, err
		}
		start.Excluded = append(start.Excluded, r.Target.Server)
	}
}

// overloaded reports whether a request failed because of a connection or queue
// limit, or because its deadline passed in the queue.
func overloaded(err error) bool {
	var outcomeErr *outcome.Error
	return errors.As(err, &outcomeErr) && outcomeErr.SQLState == outcome.TooManyConnections
}

// startOf returns the description of a request for routing, with the settings
// of its account's template.
func (h *callerHost) startOf(request caller.Request) (peer.Start, error) {
	a, ok := h.snapshot().Accounts[request.Account]
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

// forward runs a request through a coordinator of its group. It tries the
// coordinators in this host's data centre first.
func (h *callerHost) forward(ctx context.Context, view *control.GroupView, start peer.Start) (caller.Decision, error) {
	failure := outcome.Unavailable("no coordinator of the group is known", nil)
	for _, to := range h.nearestFirst(view.Coordinators) {
		// The conversation continues after routing has ended, so it does not use ctx.
		started, conversation, err := h.peers.Forward(h.ctx, to, start)
		if err == nil {
			h.metrics.forwards.WithLabelValues("done").Inc()
			return decisionOf(view, start, started, conversation), nil
		}
		h.metrics.forwards.WithLabelValues("failed").Inc()
		if !errors.As(err, &failure) {
			failure = outcome.Unavailable("the coordinator of the group failed", err)
		}
		if failure.SQLState == outcome.TooManyConnections || ctx.Err() != nil {
			return caller.Decision{}, failure
		}
		if errors.Is(err, peer.ErrUnreachable) {
			h.post(control.HostFailed{ID: to.ID})
			h.log.Write(ctx, logevent.PeerUnreachable, slog.String("Host", string(to.ID)), slog.String("Error", err.Error()))
		}
	}
	return caller.Decision{}, failure
}

// decisionOf converts a coordinator's reply to a forwarded request.
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

// nearestFirst puts the hosts in this host's data centre before the others.
func (h *callerHost) nearestFirst(hosts []host.Info) []host.Info {
	ownDataCentre := h.snapshot().Self.DataCentre
	var near, far []host.Info
	for _, candidate := range hosts {
		if candidate.DataCentre == ownDataCentre {
			near = append(near, candidate)
		} else {
			far = append(far, candidate)
		}
	}
	return append(near, far...)
}

// startForwarded routes a request that another host forwarded and opens a
// conversation for it.
func (h *callerHost) startForwarded(ctx context.Context, start peer.Start) (peer.Started, backendserver.Conversation, error) {
	g, ok := h.snapshot().Groups[start.Group]
	if !ok || g.View().Rank < 0 {
		return peer.Started{}, nil, outcome.Unavailable("the host does not coordinate the group", nil)
	}
	ctx, cancel := context.WithTimeout(ctx, start.Timeout)
	defer cancel()
	decision, err := h.routeAndOpen(ctx, g, start)
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
func (h *callerHost) Acquire(ctx context.Context, target backendserver.Target) (backendserver.Conversation, error) {
	timeout := account.QueueTimeoutRange.Default
	if a, ok := h.snapshot().Accounts[target.Account]; ok {
		h.updateShare(target, a.Template.Sharing)
		timeout = a.Template.Sharing.QueueTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		conversation, err := h.local.Acquire(ctx, target)
		if err == nil || !h.retryWhenFull(target, err) {
			return conversation, err
		}
		sleep(ctx, serverFullBackoff)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

// serverFullBackoff is the pause before a request is retried after a server
// refused a connection at its connection limit. The pool is notified only of
// connections that this host returns, not of those that other hosts close.
const serverFullBackoff = 50 * time.Millisecond

// retryWhenFull reports whether a request is retried after the server refused
// a connection at its connection limit, which happens for a short time while
// hosts disagree about the coordinators. Only requests for the primary are
// retried; a read that a replica refused is routed to another server.
func (h *callerHost) retryWhenFull(target backendserver.Target, err error) bool {
	g, ok := h.snapshot().Groups[target.Group]
	return ok && g.View().Record.Primary == target.Server && errors.Is(err, backendserver.ErrServerFull)
}

// Confirm implements caller.Host.
func (h *callerHost) Confirm(ctx context.Context, id group.ID, generation group.Generation, position group.Position, effect bool) error {
	g, ok := h.snapshot().Groups[id]
	if !ok {
		return outcome.Unresolved("the database group is not known", nil)
	}
	view := g.View()
	if view.Rank >= 0 {
		return confirm(ctx, g, generation, position, effect)
	}
	var err error
	for _, to := range h.nearestFirst(view.Coordinators) {
		if err = h.peers.Confirm(ctx, to, peer.Confirmation{Group: id, Generation: generation, Position: position, Effect: effect}); err == nil || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// confirm waits in the gate of a group that this host coordinates. A write that
// is not known to have changed data needs stronger proof, because it may have
// left no record in the log.
func confirm(ctx context.Context, g *control.Group, generation group.Generation, position group.Position, effect bool) error {
	if effect {
		return g.Gate.Confirm(ctx, generation, position)
	}
	return g.Gate.ConfirmNoEffect(ctx, generation, position)
}

// Retry budget of an account. Retries wait in routing until a server has
// answered, so the burst may cover all callers that wait when a primary is
// lost. The ratio bounds the load that persistent failures add. The minimum
// rate is in retries a second.
const (
	retryRatio   = 0.2
	retryMinRate = 100
	retryBurst   = 1000
)

// MayRetry implements caller.Host.
func (h *callerHost) MayRetry(id account.ID) bool {
	allowed := h.retryBudget(id).Allow()
	if !allowed {
		h.metrics.retriesRefused.Inc()
	}
	return allowed
}

func (h *callerHost) retryBudget(id account.ID) *retry.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b, ok := h.budgets[id]
	if !ok {
		b = &retry.Budget{Ratio: retryRatio, MinRate: retryMinRate, Burst: retryBurst}
		// A budget starts empty. It is filled here, because a primary may be lost
		// before the account has had enough successes.
		for range int(retryBurst / retryRatio) {
			b.RecordSuccess()
		}
		h.budgets[id] = b
	}
	return b
}

// Observe implements caller.Host.
func (h *callerHost) Observe(event caller.Event) {
	h.metrics.observeEvent(event)
	switch ev := event.(type) {
	case caller.ConnectionLost:
		h.connectionLost(ev.Target)
		h.log.Write(h.ctx, logevent.ConnectionLost, slog.String("Group", string(ev.Target.Group)),
			slog.String("Server", string(ev.Target.Server)), slog.String("Error", ev.Err.Error()))
	case caller.StartingClosed:
		h.log.Write(h.ctx, logevent.ClientClosed, slog.String("Peer", ev.Peer), slog.String("Limit", budget.Places))
	case caller.StatementDone:
		if ev.Outcome == outcome.Done {
			h.retryBudget(ev.Account).RecordSuccess()
		}
		h.logOutcome(ev)
	}
}

// logOutcome logs a statement that was not run or whose outcome is unknown.
func (h *callerHost) logOutcome(done caller.StatementDone) {
	event := logevent.RequestNotRun
	switch done.Outcome {
	case outcome.Done:
		return
	case outcome.Unknown:
		event = logevent.OutcomeUnknown
	}
	h.log.Write(h.ctx, event, slog.String("Account", string(done.Account)), slog.String("Class", done.Class.String()))
}

// connectionLost handles a lost connection to a server: the coordinators of
// the group probe the server at once, and no new requests are routed to it
// until it answers.
func (h *callerHost) connectionLost(target backendserver.Target) {
	key := serverKey{target.Group, target.Server}
	h.router.recordLoss(key)
	if !h.allowSuspicion(key) {
		return
	}
	s := h.snapshot()
	h.post(control.GroupEvent{Group: target.Group, Event: failover.SuspicionReported{From: s.Self.ID}})
	g, ok := s.Groups[target.Group]
	if !ok {
		return
	}
	view := g.View()
	for _, to := range view.Coordinators {
		if to.ID != s.Self.ID {
			go h.sendSuspicion(to, peer.Suspicion{Group: target.Group, Server: target.Server, Term: view.Record.Term})
		}
	}
}

func (h *callerHost) sendSuspicion(to host.Info, suspicion peer.Suspicion) {
	ctx, cancel := context.WithTimeout(h.ctx, peerTimeout)
	defer cancel()
	if err := h.peers.Suspect(ctx, to, suspicion); err != nil {
		h.post(control.HostFailed{ID: to.ID})
	}
}

// allowSuspicion reports whether a suspicion of the server may be reported
// now, and records it.
func (h *callerHost) allowSuspicion(key serverKey) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if now.Sub(h.lastSuspicion[key]) < suspicionInterval {
		return false
	}
	h.lastSuspicion[key] = now
	return true
}
