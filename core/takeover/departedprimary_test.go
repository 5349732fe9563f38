package takeover_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/group"
	"basilmill/core/link"
	"basilmill/core/takeover"
)

// Guards against taking a silent server for the unknown primary although another departed
// server may have led. The silent one may hold commits that it has confirmed alone.
func TestSilentServerBesideADepartedPrimaryThatHasEnded(t *testing.T) {
	f := newFakeCluster()
	f.unresponsive["a"], f.unresponsive["d"] = true, true
	client := refusingServers{f, map[group.ServerID]bool{"a": true}, link.ErrServerRefused}
	departed := []takeover.DepartedServer{{Server: catalog.Server{ID: "a"}}, {Server: catalog.Server{ID: "d"}}}
	synctest.Test(t, func(t *testing.T) {
		r := &takeover.Runner{Self: "h1", Client: client, Records: f, ServerLister: f, Promotions: f, NewUpdateID: func() string { return "x" }}
		server, err := r.Run(context.Background(), takeover.Request{Group: "g", Cause: takeover.PrimaryGone, Members: members()[1:], Departed: departed})
		assert.Assert(t, errors.Is(err, takeover.ErrServerUnresponsive), "%s is promoted: %v", server, err)
	})
}
