package takeover_test

import (
	"context"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/takeover"
)

// withDepartedReplica runs a test after the replica "b", which alone received the end of
// the primary's log, was seen there and has left.
func withDepartedReplica(t *testing.T, test func(f *fakeCluster, run func(takeover.Cause) (group.ServerID, error))) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		r := &takeover.Runner{Self: "h1", Client: f, Records: f, ServerLister: f, Promotions: f, NewUpdateID: func() string { return "h1-1" }}
		request := takeover.Request{Group: "g", Primary: catalog.Server{ID: "a"}, Members: members()}
		f.statuses["b"] = replicaAt(12)
		f.unresponsive["c"] = true
		_, err := r.Run(context.Background(), request)
		assert.ErrorIs(t, err, takeover.ErrServerUnresponsive)
		f.unresponsive["c"] = false
		request.Members = []catalog.Server{{ID: "a"}, {ID: "c"}}
		test(f, func(cause takeover.Cause) (group.ServerID, error) {
			request.Cause = cause
			return r.Run(context.Background(), request)
		})
	})
}

// Guards against the loss of commits that only a replica confirmed which has left since
// (review/1).
func TestCommitsOfADepartedReplicaAreKept(t *testing.T) {
	withDepartedReplica(t, func(f *fakeCluster, run func(takeover.Cause) (group.ServerID, error)) {
		for _, cause := range []takeover.Cause{takeover.PrimaryUnresponsive, takeover.PrimaryGone, takeover.CommitsStalled} {
			f.statuses["a"] = primaryAt(14)
			_, err := run(cause)
			assert.ErrorIs(t, err, takeover.ErrLogIncomplete, "%v", cause)
			assert.Equal(t, len(f.orderedEpochs), 0)
		}
		f.statuses["c"] = replicaAt(12)
		server, err := run(takeover.PrimaryUnresponsive)
		assert.NilError(t, err)
		assert.Equal(t, server, group.ServerID("c"))
	})
}

// What was seen before the promotion of a server must not count after it: the promotion
// has settled which commits there are.
func TestReceivedPositionsEndWithTheNextPromotion(t *testing.T) {
	withDepartedReplica(t, func(f *fakeCluster, run func(takeover.Cause) (group.ServerID, error)) {
		f.record = takeover.Record{Epoch: 4, Holder: "h1", BasePosition: group.Position{Term: 1, Offset: 9}, Version: 4}
		server, err := run(takeover.PrimaryGone)
		assert.NilError(t, err)
		assert.Equal(t, server, group.ServerID("c"))
	})
}

// Guards against the promotion of a server that may lack what a replica confirmed which
// left after the last proof. A primary that answers holds it.
func TestUnprovenDepartureBlocksOnlyAnUnreachablePrimary(t *testing.T) {
	for cause, want := range map[takeover.Cause]error{
		takeover.PrimaryUnresponsive: takeover.ErrLogIncomplete, takeover.PrimaryGone: takeover.ErrLogIncomplete, takeover.PrimaryLeaving: nil, takeover.ReplicasSuspended: nil,
	} {
		f := newFakeCluster()
		f.statuses["a"] = exchange.ServerStatus{Role: exchange.Primary, Term: 1, ReceivedPosition: group.Position{Term: 1, Offset: 10}}
		synctest.Test(t, func(t *testing.T) {
			r := &takeover.Runner{Self: "h1", Client: f, Records: f, ServerLister: f, Promotions: f, NewUpdateID: func() string { return "h1-1" }}
			_, err := r.Run(context.Background(), takeover.Request{
				Group: "g", Cause: cause, Primary: catalog.Server{ID: "a"}, Members: members(), ReplicaDeparted: true,
			})
			assert.ErrorIs(t, err, want, "%v", cause)
		})
	}
}
