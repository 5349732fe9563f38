package serve

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"basilmill/core/control"
	"basilmill/core/failover"
	"basilmill/core/floor"
	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/core/route"
	"basilmill/io/backendserver"
	"basilmill/io/caller"
	"basilmill/io/peer"
)

// router chooses the backend servers of requests, for the groups that this
// host coordinates.
type router struct {
	runner *runner

	mu sync.Mutex
	// lossTimes is when a connection to a server was last lost. The server gets
	// requests again once it has answered a status query that was sent later.
	lossTimes map[serverKey]time.Time
	// resolvers holds the resolver of session floors of each group.
	resolvers map[group.ID]*floor.Resolver
	// refreshScheduled holds the servers for which a status query is scheduled
	// on behalf of waiting requests.
	refreshScheduled map[serverKey]bool
}

func (r *router) recordLoss(key serverKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lossTimes[key] = time.Now()
}

// lossTime returns when a connection to a server was last lost, zero if
// never.
func (r *router) lossTime(key serverKey) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lossTimes[key]
}

// routeResult is a routing decision for a request.
type routeResult struct {
	caller.Decision
	// freshUntil is the time after which an answer is too old for the request;
	// zero means that there is no limit.
	freshUntil time.Time
}

// route chooses the server of a request. It blocks until a server may serve
// the request or the context ends.
func (r *router) route(ctx context.Context, g *control.Group, start peer.Start) (routeResult, error) {
	q := requestOf(ctx, start)
	for {
		// Without this check, a request whose caller is gone would loop without
		// waiting.
		if err := ctx.Err(); err != nil {
			return routeResult{}, outcome.Unavailable("no server could be proved able to serve the statement in time", err)
		}
		view := g.View()
		if view.Rank < 0 {
			return routeResult{}, outcome.Unavailable(errNotCoordinator.Error(), nil)
		}
		switch d := route.Choose(q, r.viewOf(view, start)).(type) {
		case route.Serve:
			return r.resultOf(view, start, q, d), nil
		case route.NeedFloor:
			if err := r.resolveFloor(ctx, g, view, &q); err != nil {
				return routeResult{}, err
			}
		case route.WaitFor:
			r.awaitViewChange(ctx, view, d)
			// A passed deadline is handled in the next iteration, by the check at its
			// start or by route.Choose. Only a cancellation has a message of its own.
			if errors.Is(ctx.Err(), context.Canceled) {
				return routeResult{}, outcome.Unavailable("the request was cancelled while it waited for a server", ctx.Err())
			}
		case route.Refuse:
			return routeResult{}, d.Err
		}
	}
}

func requestOf(ctx context.Context, start peer.Start) route.Request {
	now := time.Now()
	q := route.Request{Need: needOf(start), Arrived: now, Random: rand.Uint64()}
	q.Deadline, _ = ctx.Deadline()
	// Without a token, another session of the same caller may have written
	// through another host, so a read of current data must have its floor
	// resolved. A read with a maximum age only has to see the writes of its own
	// session.
	if start.FloorKnown || start.MaxAge > 0 {
		q.Floor = start.Floor
	}
	return q
}

// needOf returns what a request requires of its server.
func needOf(start peer.Start) route.Need {
	switch {
	case start.Write:
		return route.Write{}
	case start.MaxAge > 0:
		return route.BoundedAgeRead{MaxAge: start.MaxAge, OwnWrites: start.OwnWrites && !start.Floor.IsZero()}
	default:
		return route.CurrentRead{}
	}
}

// viewOf converts a view of a group for route.Choose. It leaves out the
// servers that a request excludes, except the primary for a write.
func (r *router) viewOf(view *control.GroupView, start peer.Start) route.View {
	v := route.View{Now: time.Now(), Record: view.Record, DataCentre: r.runner.self.DataCentre}
	for _, server := range view.Record.Servers {
		if slices.Contains(start.Excluded, server.ID) && (!start.Write || server.ID != view.Record.Primary) {
			continue
		}
		s := view.Servers[server.ID]
		lostAt := r.lossTime(serverKey{view.Record.ID, server.ID})
		v.Servers = append(v.Servers, route.Server{
			ID:          server.ID,
			DataCentre:  server.DataCentre,
			Status:      s.Status,
			StatusAt:    s.ReceivedAt,
			CompleteAt:  s.CompleteAt,
			Leaving:     server.Leaving || (view.Quiesced && server.ID == view.Record.Primary),
			Unreachable: !lostAt.IsZero() && !s.SentAt.After(lostAt),
			RoundTrip:   s.RoundTrip,
			Lag:         s.Lag,
		})
	}
	return v
}

// resultOf returns the routing decision for the server that route.Choose
// chose.
func (r *router) resultOf(view *control.GroupView, start peer.Start, q route.Request, d route.Serve) routeResult {
	server, _ := view.Record.Server(d.Server)
	return routeResult{
		Decision: caller.Decision{
			Target: backendserver.Target{
				Group: view.Record.ID, Server: server.ID, Address: server.Address, Database: start.Database, Account: start.Account,
			},
			Term:       view.Record.Term,
			Generation: view.Record.Generation,
			Primary:    server.ID == view.Record.Primary,
			Floor:      q.Floor,
		},
		freshUntil: d.FreshUntil,
	}
}

// awaitViewChange blocks until the view changes or the wait is over. If the
// request waits for a particular server, it has the status of the server
// refreshed.
func (r *router) awaitViewChange(ctx context.Context, view *control.GroupView, d route.WaitFor) {
	expired := make(<-chan time.Time)
	if !d.Until.IsZero() {
		timer := time.NewTimer(time.Until(d.Until))
		defer timer.Stop()
		expired = timer.C
	}
	if d.Server != "" {
		r.refreshForWaiting(view, d.Server)
	}
	select {
	case <-view.Changed:
	case <-expired:
	case <-ctx.Done():
	}
}

// resolveFloor finds the session floor for a request. Concurrently it
// refreshes the status of the nearest replica, so that the replica is often
// known to contain the floor.
func (r *router) resolveFloor(ctx context.Context, g *control.Group, view *control.GroupView, q *route.Request) error {
	startedAt := time.Now()
	ctx, cancel := r.runner.whileCoordinating(ctx, view.Record.ID)
	defer cancel()
	refreshed := make(chan struct{})
	go func() {
		defer close(refreshed)
		r.refreshNearest(ctx, view)
	}()
	position, err := r.resolver(view.Record.ID, g).Resolve(ctx)
	if errors.Is(context.Cause(ctx), errNotCoordinator) {
		return outcome.Unavailable(errNotCoordinator.Error(), err)
	}
	if err != nil {
		return err
	}
	<-refreshed
	if position.Compare(q.Floor) > 0 {
		q.Floor = position
	}
	q.FloorAt = startedAt
	return nil
}

// floorRefreshTimeout bounds the refresh of a replica's status that runs
// concurrently with a floor query. The floor query itself takes a round trip
// to the primary.
const floorRefreshTimeout = 20 * time.Millisecond

// refreshNearest refreshes the status of the replica with the shortest round
// trip, if that is below floorRefreshTimeout.
func (r *router) refreshNearest(ctx context.Context, view *control.GroupView) {
	var nearest group.ServerID
	var nearestRoundTrip time.Duration
	for id, s := range view.Servers {
		if id == view.Record.Primary || s.Status.Leaving || s.RoundTrip == 0 {
			continue
		}
		if nearest == "" || s.RoundTrip < nearestRoundTrip {
			nearest, nearestRoundTrip = id, s.RoundTrip
		}
	}
	if nearest != "" && nearestRoundTrip < floorRefreshTimeout {
		r.refresh(ctx, view, nearest, floorRefreshTimeout)
	}
}

// waitingRefreshInterval is the minimum time between status queries of a
// server for which requests wait. It is below the latency between data
// centres.
const waitingRefreshInterval = 2 * time.Millisecond

// waitingRefreshTimeout bounds one such query. The server may be in another
// region, where it is being promoted.
const waitingRefreshTimeout = time.Second

// refreshForWaiting queries a server's status once for all requests that wait
// for it. The answer changes the view, and each waiting request then chooses
// again. If each request sent a query of its own, every answer would cause as
// many further queries as there are waiting requests.
func (r *router) refreshForWaiting(view *control.GroupView, id group.ServerID) {
	key := serverKey{view.Record.ID, id}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refreshScheduled[key] {
		return
	}
	r.refreshScheduled[key] = true
	go func() {
		sleep(r.runner.ctx, waitingRefreshInterval)
		r.mu.Lock()
		// The entry is removed before the query, so that requests woken by its answer
		// can schedule the next one.
		delete(r.refreshScheduled, key)
		r.mu.Unlock()
		r.refresh(r.runner.ctx, view, id, waitingRefreshTimeout)
	}()
}

// refresh queries a server's status and waits until the view contains the
// answer.
func (r *router) refresh(ctx context.Context, view *control.GroupView, id group.ServerID, timeout time.Duration) {
	coalescer, ok := r.runner.coalescer(view.Record, id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, sentAt, err := coalescer.Status(ctx)
	if err != nil {
		return
	}
	done := make(chan struct{})
	r.runner.post(control.StatusObserved{Group: view.Record.ID, Status: status, SentAt: sentAt, Done: done})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

func (r *router) resolver(id group.ID, g *control.Group) *floor.Resolver {
	r.mu.Lock()
	defer r.mu.Unlock()
	resolver, ok := r.resolvers[id]
	if !ok {
		resolver = floor.NewResolver(r.floorConfig(id, g))
		r.resolvers[id] = resolver
	}
	return resolver
}

// floorConfig connects a floor resolver to the servers' status and to the
// platform.
func (r *router) floorConfig(id group.ID, g *control.Group) floor.Config {
	query := func(ctx context.Context, record *group.Record, server group.ServerID) (group.Status, error) {
		coalescer, ok := r.runner.coalescer(record, server)
		if !ok {
			return group.Status{}, errNoStatusConnection
		}
		r.runner.metrics.floorQueries.Inc()
		status, sentAt, err := coalescer.Status(ctx)
		if err == nil {
			r.runner.post(control.StatusObserved{Group: id, Status: status, SentAt: sentAt})
		}
		return status, err
	}
	return floor.Config{
		Record: func() *group.Record { return g.View().Record },
		QueryPrimary: func(ctx context.Context, record *group.Record) (group.Status, error) {
			return query(ctx, record, record.Primary)
		},
		QuerySuccessor: func(ctx context.Context, record *group.Record) (group.Status, error) {
			return query(ctx, record, record.Successor)
		},
		ReadRecord: func(ctx context.Context) (*group.Record, error) {
			record, version, err := r.runner.fetchRecord(ctx, id)
			if err == nil {
				r.runner.postGroupEvent(id, failover.RecordChanged{Record: record, Version: version})
			}
			return record, err
		},
	}
}
