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

// router chooses the backend server of a request on a coordinator.
type router struct {
	runner *runner

	mu sync.Mutex
	// lost is when a connection to a server was last lost; the server gets
	// requests again once it answered a later status query.
	lost   map[serverKey]time.Time
	askers map[group.ID]*floor.Resolver
	// refreshing has the servers whose status is about to be queried for
	// requests that wait.
	refreshing map[serverKey]bool
}

func (r *router) avoid(key serverKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost[key] = time.Now()
}

func (r *router) lostAt(key serverKey) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lost[key]
}

// routed is a decision with the time after which an answer is too old; zero
// means that it does not age.
type routed struct {
	caller.Decision
	freshUntil time.Time
}

// route blocks until a server may serve the request or the context ends.
func (r *router) route(ctx context.Context, g *control.Group, start peer.Start) (routed, error) {
	q := requestOf(ctx, start)
	for {
		// A request whose caller is gone must not go round without waiting.
		if err := ctx.Err(); err != nil {
			return routed{}, outcome.Unavailable("no server could be proved able to serve the statement in time", err)
		}
		view := g.View()
		if view.Rank < 0 {
			return routed{}, outcome.Unavailable("the host does not coordinate the group any more", nil)
		}
		switch d := route.Choose(q, r.viewOf(view, start)).(type) {
		case route.Serve:
			return r.decide(view, start, q, d), nil
		case route.NeedFloor:
			if err := r.askFloor(ctx, g, view, &q); err != nil {
				return routed{}, err
			}
		case route.WaitFor:
			r.await(ctx, view, d)
			// Only the deadline ends the wait in the choice itself.
			if errors.Is(ctx.Err(), context.Canceled) {
				return routed{}, outcome.Unavailable("the request was cancelled while it waited for a server", ctx.Err())
			}
		case route.Refuse:
			return routed{}, d.Err
		}
	}
}

func requestOf(ctx context.Context, start peer.Start) route.Request {
	now := time.Now()
	q := route.Request{Need: needOf(start), Arrived: now, Random: rand.Uint64()}
	q.Deadline, _ = ctx.Deadline()
	// Without a token, another session of the same caller may have written
	// through another host, so a current read asks for its floor. A read with
	// an age only honours the writes of its own session.
	if start.FloorKnown || start.MaxAge > 0 {
		q.Floor = start.Floor
	}
	return q
}

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

func (r *router) viewOf(view *control.GroupView, start peer.Start) route.View {
	v := route.View{Now: time.Now(), Record: view.Record, DataCentre: r.runner.self.DataCentre}
	for _, server := range view.Record.Servers {
		if slices.Contains(start.Excluded, server.ID) && (!start.Write || server.ID != view.Record.Primary) {
			continue
		}
		s := view.Servers[server.ID]
		lost := r.lostAt(serverKey{view.Record.ID, server.ID})
		v.Servers = append(v.Servers, route.Server{
			ID:          server.ID,
			DataCentre:  server.DataCentre,
			Status:      s.Status,
			StatusAt:    s.ReceivedAt,
			CompleteAt:  s.CompleteAt,
			Leaving:     server.Leaving || (view.Quiesced && server.ID == view.Record.Primary),
			Unreachable: !lost.IsZero() && !s.SentAt.After(lost),
			RoundTrip:   s.RoundTrip,
			Lag:         s.Lag,
		})
	}
	return v
}

func (r *router) decide(view *control.GroupView, start peer.Start, q route.Request, d route.Serve) routed {
	server, _ := view.Record.Server(d.Server)
	return routed{
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

// await blocks until the view changes or the wait is over.
func (r *router) await(ctx context.Context, view *control.GroupView, d route.WaitFor) {
	until := make(<-chan time.Time)
	if !d.Until.IsZero() {
		timer := time.NewTimer(time.Until(d.Until))
		defer timer.Stop()
		until = timer.C
	}
	if d.Server != "" {
		r.refreshForWaiting(view, d.Server)
	}
	select {
	case <-view.Changed:
	case <-until:
	case <-ctx.Done():
	}
}

// askFloor finds the floor of a request. Meanwhile it refreshes the status of
// the nearest replica, which then often contains the floor.
func (r *router) askFloor(ctx context.Context, g *control.Group, view *control.GroupView, q *route.Request) error {
	began := time.Now()
	refreshed := make(chan struct{})
	go func() {
		defer close(refreshed)
		r.refreshNearest(ctx, view)
	}()
	position, err := r.asker(view.Record.ID, g).Resolve(ctx)
	if err != nil {
		return err
	}
	<-refreshed
	if position.Compare(q.Floor) > 0 {
		q.Floor = position
	}
	q.FloorAt = began
	return nil
}

// refreshTimeout bounds the refresh of a replica's status next to a floor
// query, which takes a round trip to the primary itself.
const refreshTimeout = 20 * time.Millisecond

func (r *router) refreshNearest(ctx context.Context, view *control.GroupView) {
	var nearest group.ServerID
	var best time.Duration
	for id, s := range view.Servers {
		if id == view.Record.Primary || s.Status.Leaving || s.RoundTrip == 0 {
			continue
		}
		if nearest == "" || s.RoundTrip < best {
			nearest, best = id, s.RoundTrip
		}
	}
	if nearest != "" && best < refreshTimeout {
		r.refresh(ctx, view, nearest, refreshTimeout)
	}
}

// waitingRefreshInterval is the least time between status queries of a server
// for which requests wait. It is below the latency between data centres.
const waitingRefreshInterval = 2 * time.Millisecond

// waitingRefreshTimeout bounds one such query. The server may be the one that
// is being promoted in another region.
const waitingRefreshTimeout = time.Second

// refreshForWaiting queries a server's status once for all requests that wait
// for it. Its answer changes the view, which makes them choose again: with a
// query for each, every answer would cause as many further queries as requests
// wait, and so on.
func (r *router) refreshForWaiting(view *control.GroupView, id group.ServerID) {
	key := serverKey{view.Record.ID, id}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refreshing[key] {
		return
	}
	r.refreshing[key] = true
	go func() {
		pause(r.runner.ctx, waitingRefreshInterval)
		r.mu.Lock()
		// Requests that this answer wakes may start the next query.
		delete(r.refreshing, key)
		r.mu.Unlock()
		r.refresh(r.runner.ctx, view, id, waitingRefreshTimeout)
	}()
}

// refresh queries a server's status and waits until the view has it.
func (r *router) refresh(ctx context.Context, view *control.GroupView, id group.ServerID, timeout time.Duration) {
	p, ok := r.runner.poller(view.Record, id)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	status, sentAt, err := p.Status(ctx)
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

func (r *router) asker(id group.ID, g *control.Group) *floor.Resolver {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.askers[id]
	if !ok {
		a = floor.NewResolver(r.floorConfig(id, g))
		r.askers[id] = a
	}
	return a
}

func (r *router) floorConfig(id group.ID, g *control.Group) floor.Config {
	ask := func(ctx context.Context, record *group.Record, server group.ServerID) (group.Status, error) {
		p, ok := r.runner.poller(record, server)
		if !ok {
			return group.Status{}, errUnknownServer
		}
		r.runner.metrics.floorQueries.Inc()
		status, sentAt, err := p.Status(ctx)
		if err == nil {
			r.runner.post(control.StatusObserved{Group: id, Status: status, SentAt: sentAt})
		}
		return status, err
	}
	return floor.Config{
		Record: func() *group.Record { return g.View().Record },
		QueryPrimary: func(ctx context.Context, record *group.Record) (group.Status, error) {
			return ask(ctx, record, record.Primary)
		},
		QuerySuccessor: func(ctx context.Context, record *group.Record) (group.Status, error) {
			return ask(ctx, record, record.Successor)
		},
		ReadRecord: func(ctx context.Context) (*group.Record, error) {
			record, version, err := r.runner.fetchRecord(ctx, id)
			if err == nil {
				r.runner.groupEvent(id, failover.RecordChanged{Record: record, Version: version})
			}
			return record, err
		},
	}
}
