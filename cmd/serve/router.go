package serve

import (
	"context"
	"slices"
	"sync"
	"time"

	"basilmill/core/control"
	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/io/backendserver"
	"basilmill/io/caller"
	"basilmill/io/peer"
)

// router chooses the backend server of a request on a coordinator.
type router struct {
	mu sync.Mutex
	// lost is when a connection to a server was last lost; the server gets
	// requests again once it answered a later status query.
	lost map[serverKey]time.Time
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

// route blocks until a server may serve the request or the context ends.
func (r *router) route(ctx context.Context, g *control.Group, start peer.Start) (caller.Decision, error) {
	for {
		view := g.View()
		if view.Index < 0 {
			return caller.Decision{}, outcome.NoPrimary("the host does not coordinate the group any more", nil)
		}
		if server, ok := r.choose(view, start); ok {
			return r.decide(view, start, server), nil
		}
		select {
		case <-view.Changed:
		case <-ctx.Done():
			return caller.Decision{}, outcome.NoPrimary("no server could be proved able to serve the request in time", ctx.Err())
		}
	}
}

func (r *router) decide(view *control.GroupView, start peer.Start, server group.Server) caller.Decision {
	return caller.Decision{
		Target: backendserver.Target{
			Group: view.Record.ID, Server: server.ID, Address: server.Address, Database: start.Database, Account: start.Account,
		},
		Term:       view.Record.Term,
		Generation: view.Record.Generation,
		Primary:    server.ID == view.Record.Primary,
	}
}

func (r *router) choose(view *control.GroupView, start peer.Start) (group.Server, bool) {
	if !start.Write && start.MaxAge > 0 {
		for _, server := range view.Record.Servers {
			if server.ID != view.Record.Primary && r.usable(view, server.ID) && !slices.Contains(start.Excluded, server.ID) &&
				freshEnough(view.Servers[server.ID], start) {
				return server, true
			}
		}
	}
	if view.Quiesced || !r.usable(view, view.Record.Primary) {
		return group.Server{}, false
	}
	return view.Record.Server(view.Record.Primary)
}

func freshEnough(v control.ServerView, start peer.Start) bool {
	if start.OwnWrites && !v.Status.Contains(start.Floor) {
		return false
	}
	return !v.CompleteAt.IsZero() && time.Since(v.CompleteAt) <= start.MaxAge
}

// usable reports whether the server answered since a connection to it was
// last lost, in the role that the record gives it.
func (r *router) usable(view *control.GroupView, id group.ServerID) bool {
	v, ok := view.Servers[id]
	if !ok || !v.SentAt.After(r.lostAt(serverKey{view.Record.ID, id})) {
		return false
	}
	if id == view.Record.Primary {
		return v.Status.Role == group.Primary && v.Status.Term == view.Record.Term
	}
	return v.Status.Role == group.Replica
}
