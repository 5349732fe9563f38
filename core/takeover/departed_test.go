package takeover_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/link"
	"basilmill/core/takeover"
)

// refusingServers are servers whose machines refuse connections, or whose addresses others
// have.
type refusingServers struct {
	takeover.ServerClient
	ids map[group.ServerID]bool
	err error
}

func (r refusingServers) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	if r.ids[s.ID] {
		return exchange.ServerStatus{}, r.err
	}
	return r.ServerClient.Command(ctx, s, statement)
}

// Guards against a change of primary that drops what a server has confirmed whose entry has
// gone, for a host that still counts it.
func TestDepartedServersAreAsked(t *testing.T) {
	ids := func(ids ...group.ServerID) map[group.ServerID]bool {
		set := map[group.ServerID]bool{}
		for _, id := range ids {
			set[id] = true
		}
		return set
	}
	departed := func(ids ...group.ServerID) (servers []takeover.DepartedServer) {
		for _, id := range ids {
			servers = append(servers, takeover.DepartedServer{Server: catalog.Server{ID: id}})
		}
		return servers
	}
	ended := departed("d")
	ended[0].MayHaveConfirmed = true
	for name, test := range map[string]struct {
		primary         group.ServerID
		departed        []takeover.DepartedServer
		silent, refuses map[group.ServerID]bool
		refusal         error
		promoted        group.ServerID
		err             error
	}{
		"it has more than the members":                  {primary: "a", departed: departed("d"), err: takeover.ErrLogIncomplete},
		"it is silent":                                  {primary: "a", departed: departed("d"), silent: ids("d"), err: takeover.ErrServerUnresponsive},
		"it is the silent primary":                      {primary: "a", departed: departed("a"), silent: ids("a"), promoted: "c"},
		"its process has ended":                         {primary: "a", departed: departed("d"), refuses: ids("d"), refusal: link.ErrServerRefused, promoted: "c"},
		"another server has its address":                {primary: "a", departed: departed("d"), refuses: ids("d"), refusal: link.ErrServerReplaced, promoted: "c"},
		"its process has ended and it may have commits": {primary: "a", departed: ended, refuses: ids("d"), refusal: link.ErrServerRefused, err: takeover.ErrLogIncomplete},
		"it may be the unknown primary":                 {departed: departed("d"), silent: ids("d"), promoted: "c"},
		"it is silent for too long":                     {primary: "a", departed: []takeover.DepartedServer{{Server: catalog.Server{ID: "d"}, Lost: true}}, silent: ids("d"), promoted: "c"},
		"one that has ended may be the unknown primary": {departed: departed("d", "e"), silent: ids("d"), refuses: ids("e"), refusal: link.ErrServerRefused, err: takeover.ErrServerUnresponsive},
		"one of two may be the unknown primary":         {departed: departed("d", "e"), silent: ids("d", "e"), err: takeover.ErrServerUnresponsive},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeCluster()
			f.statuses["d"] = replicaAt(10)
			if test.silent != nil {
				f.unresponsive = test.silent
			}
			f.unresponsive["a"] = true
			var server group.ServerID
			var err error
			synctest.Test(t, func(*testing.T) {
				r := &takeover.Runner{Self: "h1", Client: refusingServers{f, test.refuses, test.refusal}, Records: f, ServerLister: f, Promotions: f, NewUpdateID: func() string { return "x" }}
				server, err = r.Run(context.Background(), takeover.Request{
					Group: "g", Cause: takeover.PrimaryGone, Primary: catalog.Server{ID: test.primary}, Members: members()[1:], Departed: test.departed,
				})
			})
			assert.Assert(t, errors.Is(err, test.err), "%v", err)
			assert.Equal(t, server, test.promoted)
		})
	}
}

// deafTo is a client that gets no answer from one server.
type deafTo struct {
	takeover.ServerClient
	server group.ServerID
}

func (c deafTo) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	if s.ID == c.server {
		<-ctx.Done()
		return exchange.ServerStatus{}, ctx.Err()
	}
	return c.ServerClient.Command(ctx, s, statement)
}

// Guards against a group without a primary where hosts reach servers through others, which
// don't know one without an entry.
func TestDepartedServerIsAskedDirectly(t *testing.T) {
	f := newFakeCluster()
	f.statuses["d"] = replicaAt(9)
	f.unresponsive["a"] = true
	synctest.Test(t, func(t *testing.T) {
		r := &takeover.Runner{Self: "h1", Client: deafTo{f, "d"}, Direct: f, Records: f, ServerLister: f, Promotions: f, NewUpdateID: func() string { return "x" }}
		server, err := r.Run(context.Background(), takeover.Request{
			Group: "g", Cause: takeover.PrimaryGone, Primary: catalog.Server{ID: "a"}, Members: members()[1:],
			Departed: []takeover.DepartedServer{{Server: catalog.Server{ID: "d"}}},
		})
		assert.NilError(t, err)
		assert.Equal(t, server, group.ServerID("c"))
	})
}
