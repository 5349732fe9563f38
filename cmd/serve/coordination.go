package serve

import (
	"context"
	"errors"

	"basilmill/core/control"
	"basilmill/core/group"
	"basilmill/io/backendserver"
)

// coordination is what this host holds while it coordinates a group: the
// confirmation loop and the status connections. Status connections count against
// the connection limits of the servers, which the coordinators share, so none may
// be opened once they have been closed.
type coordination struct {
	// ctx ends when the host no longer coordinates the group.
	ctx  context.Context
	stop context.CancelFunc
	// loops counts the confirmation loops that have not ended. The connections
	// stay open until the last one has confirmed the writes that wait.
	loops      int
	coalescers map[group.ServerID]*serverCoalescer
}

var (
	errNotCoordinator = errors.New("the host does not coordinate the group any more")
	// errNoStatusConnection is the error of a query or command to a server for which
	// there is no coalescer.
	errNoStatusConnection = errors.New("the group's record does not name the server, or the host does not coordinate the group any more")
)

// serverCoalescer combines the concurrent status queries of a server at one
// address.
type serverCoalescer struct {
	*backendserver.StatusCoalescer
	server group.Server
}

// updateCoordination starts the confirmation loop of a group when this host
// becomes one of its coordinators, and stops it when the host no longer is.
func (r *runner) updateCoordination(view *control.GroupView) {
	id := view.Record.ID
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.coordinations[id]
	switch {
	case view.Rank >= 0 && (c == nil || c.ctx.Err() != nil):
		if c == nil {
			c = &coordination{coalescers: make(map[group.ServerID]*serverCoalescer)}
			r.coordinations[id] = c
		}
		c.ctx, c.stop = context.WithCancel(r.ctx)
		c.loops++
		go r.runConfirmationLoop(c.ctx, id)
	case view.Rank < 0 && c != nil:
		c.stop()
	}
}

// whileCoordinating returns a context that also ends, with the cause
// errNotCoordinator, when this host no longer coordinates the group.
func (r *runner) whileCoordinating(ctx context.Context, id group.ID) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.coordinations[id]
	if !ok {
		cancel(errNotCoordinator)
		return ctx, func() {}
	}
	stop := context.AfterFunc(c.ctx, func() { cancel(errNotCoordinator) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// confirmationLoopEnded closes the status connections to a group's servers after
// the last confirmation loop of the group.
func (r *runner) confirmationLoopEnded(id group.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.coordinations[id]
	c.loops--
	if c.loops > 0 {
		return
	}
	delete(r.coordinations, id)
	for _, coalescer := range c.coalescers {
		go coalescer.Close()
	}
}

// coalescer returns the coalescer of a server in a record. When the address
// of the server has changed, it replaces the coalescer. It returns false if
// the record does not name the server, or if this host does not coordinate the
// group: probes, floor queries and commands may start after that has ended.
func (r *runner) coalescer(record *group.Record, id group.ServerID) (*serverCoalescer, bool) {
	server, ok := record.Server(id)
	if !ok {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c, ok := r.coordinations[record.ID]
	if !ok {
		return nil, false
	}
	coalescer := c.coalescers[id]
	if coalescer != nil && coalescer.server.Address == server.Address {
		return coalescer, true
	}
	if coalescer != nil {
		go coalescer.Close()
	}
	coalescer = &serverCoalescer{
		StatusCoalescer: backendserver.NewStatusCoalescer(backendserver.NewControlClient(r.dialer, server.Address, controlDatabase(record)), statusTimeout),
		server:          server,
	}
	c.coalescers[id] = coalescer
	return coalescer, true
}
