package takeover_test

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/takeover"
)

// assertSuspensionsEnd checks that an attempt which was given up with the error has left
// replicas suspended, and that this ends once the active primary "a" has been promoted again
// as often as stated.
func assertSuspensionsEnd(t *testing.T, f *fakeCluster, givenUp error, promotions int, prepare func(*takeover.Runner)) {
	t.Helper()
	assert.ErrorIs(t, givenUp, takeover.ErrSuspensionsRemain)
	assert.Assert(t, len(f.suspensions()) > 0)
	ordered := len(f.orderedEpochs)
	for n := 1; n <= promotions; n++ {
		server, err := runAttempt(t, f, takeover.ReplicasSuspended, prepare)
		assert.Equal(t, errors.Is(err, takeover.ErrSuspensionsRemain), n < promotions, "%v", err)
		assert.Equal(t, err == nil, n == promotions, "%v", err)
		assert.Equal(t, server, group.ServerID("a"))
		assert.Equal(t, f.primary, group.ServerID("a"))
		assert.Equal(t, len(f.suspensions()) == 0, n == promotions)
	}
	assert.Equal(t, len(f.orderedEpochs), ordered+promotions)
	assert.Assert(t, f.record.Ended && !f.record.PromotionPending)
}

// Guards against a Resume of an attempt that was given up, which may be delivered during a
// later attempt, and against a group that stays without replicas after it.
func TestAttemptThatIsGivenUpLeavesServersSuspended(t *testing.T) {
	for name, test := range map[string]struct {
		fail, repair func(f *fakeCluster)
		prepare      func(f *fakeCluster, r *takeover.Runner)
		promotions   int
	}{
		"incomplete log": {
			prepare:    func(f *fakeCluster, r *takeover.Runner) { r.Client = lostBeforeSuspension{f} },
			fail:       func(f *fakeCluster) { f.record.BasePosition = group.Position{Term: 1, Offset: 4} },
			promotions: 1,
		},
		"a server is not suspended": {
			prepare: func(f *fakeCluster, r *takeover.Runner) { r.Client = deafServer{f, "b"} },
			// The other one is suspended for a higher term with each try.
			promotions: 4,
		},
		"order refused": {
			fail:       func(f *fakeCluster) { f.refusedPromotions = 1 },
			repair:     func(f *fakeCluster) { f.refusedPromotions = 0 },
			promotions: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeCluster()
			if test.fail != nil {
				test.fail(f)
			}
			_, err := runAttempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) {
				if test.prepare != nil {
					test.prepare(f, r)
				}
			})
			assert.Assert(t, f.record.Ended)
			if test.repair != nil {
				test.repair(f)
			}
			assertSuspensionsEnd(t, f, err, test.promotions, nil)
		})
	}
}

// deafServer is a group in which one server ignores its suspension.
type deafServer struct {
	*fakeCluster
	server group.ServerID
}

func (c deafServer) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	if statement.Operation == exchange.Suspend && s.ID == c.server {
		statement.Operation = exchange.Status
	}
	return c.fakeCluster.Command(ctx, s, statement)
}

// A promotion of the primary costs the group the time that it takes. It must not be repeated
// once the suspensions have ended.
func TestEndedSuspensionsAreNotEndedAgain(t *testing.T) {
	f := newFakeCluster()
	server, err := runAttempt(t, f, takeover.ReplicasSuspended, nil)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("a"))
	assert.Equal(t, f.statuses["a"].Role, exchange.Primary)
	assert.Equal(t, len(f.orderedEpochs)+len(f.fencedEpochs), 0)
	assert.Equal(t, f.record.Epoch, takeover.Epoch(0))
}

// A replica may be suspended for a term that the primary has reached and that the replica has
// not heard of yet. That suspension is over.
func TestSuspensionForTheTermOfThePrimaryIsOver(t *testing.T) {
	f := newFakeCluster()
	primary, replica := primaryAt(10), replicaAt(9)
	primary.Term, replica.SuspendedTerm = 2, 2
	f.statuses["a"], f.statuses["c"] = primary, replica
	_, err := runAttempt(t, f, takeover.ReplicasSuspended, nil)
	assert.NilError(t, err)
	assert.Equal(t, len(f.orderedEpochs), 0)
}
