package takeover_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/takeover"
)

// lateMemberClient lists the server "d" some time after the first command of an
// operation. Until then only the server itself knows that it has confirmed commits.
type lateMemberClient struct {
	*fakeCluster
	operation exchange.Operation
	delay     time.Duration
	begun     atomic.Bool
}

func (c *lateMemberClient) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	if statement.Operation == c.operation && c.begun.CompareAndSwap(false, true) {
		// A timer without a delay could run after all that the attempt does in the same
		// instant of virtual time.
		if c.delay == 0 {
			c.list()
		} else {
			time.AfterFunc(c.delay, c.list)
		}
	}
	return c.fakeCluster.Command(ctx, s, statement)
}

func (c *lateMemberClient) list() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedServers = append(c.listedServers, catalog.Server{ID: "d"})
}

// replaceWithLateMember replaces the primary "a" while a server "d", which has received
// its whole log, is listed after the delay. The last commit was acknowledged to this host
// at the given time after the start of the attempt; never if that is negative.
func replaceWithLateMember(t *testing.T, cause takeover.Cause, after exchange.Operation, delay, lastCommit time.Duration) (f *fakeCluster, server group.ServerID, err error) {
	t.Helper()
	f = newFakeCluster()
	f.statuses["d"] = replicaAt(10)
	synctest.Test(t, func(*testing.T) {
		r := &takeover.Runner{
			Self: "h1", Client: &lateMemberClient{fakeCluster: f, operation: after, delay: delay}, Records: f, ServerLister: f, Promotions: f, NewUpdateID: func() string { return "h1-1" },
		}
		started := time.Now()
		server, err = r.Run(context.Background(), takeover.Request{
			Group: "g", Cause: cause, Primary: catalog.Server{ID: "a"}, Members: members(),
			LastCommitAt: func() time.Time { return started.Add(lastCommit) },
		})
		// Time for the timer of an attempt that did not wait for "d".
		time.Sleep(time.Minute)
	})
	return f, server, err
}

// Guards against the loss of commits that a server confirmed before the primary was
// demoted, and that the store lists only after that (review/2).
func TestServerListedAfterTheDemotionIsAccountedFor(t *testing.T) {
	for _, delay := range []time.Duration{0, 400 * time.Millisecond, 1100 * time.Millisecond} {
		_, server, err := replaceWithLateMember(t, takeover.CommitsStalled, exchange.Demote, delay, -1)
		assert.NilError(t, err)
		assert.Equal(t, server, group.ServerID("d"), "%v", delay)
	}
}

// Guards against the loss of commits that a server confirmed which the store does not list
// in time: an acknowledgement shows that there is one, and only the old primary is known
// to hold its commits.
func TestAcknowledgedCommitsOfAnUnlistedServerAreKept(t *testing.T) {
	f, server, err := replaceWithLateMember(t, takeover.CommitsStalled, exchange.Demote, 20*time.Second, 200*time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("a"))
	assert.Equal(t, len(f.orderedEpochs), 1)
}

// Commits that were acknowledged before the replicas were checked are on one of them.
// They must not keep a stalled primary in place.
func TestStalledPrimaryIsReplacedAfterEarlierCommits(t *testing.T) {
	_, server, err := replaceWithLateMember(t, takeover.CommitsStalled, exchange.Demote, 20*time.Second, -time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("c"))
}

// Guards against the loss of commits that a server confirmed while the others were being
// suspended, and that the store lists only after that.
func TestServerListedDuringTheSuspensionIsAccountedFor(t *testing.T) {
	for _, cause := range []takeover.Cause{takeover.PrimaryGone, takeover.PrimaryUnresponsive} {
		f, server, err := replaceWithLateMember(t, cause, exchange.Suspend, 0, -1)
		assert.NilError(t, err)
		assert.Equal(t, server, group.ServerID("d"), "%v", cause)
		assert.Equal(t, f.record.BasePosition, group.Position{Term: 1, Offset: 10})
	}
}

// A server that the store lists during the suspension and that does not answer may hold
// acknowledged commits.
func TestUnresponsiveLateMemberEndsTheAttempt(t *testing.T) {
	f := newFakeCluster()
	f.unresponsive["d"] = true
	_, err := runAttempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) {
		r.Client = &lateMemberClient{fakeCluster: f, operation: exchange.Suspend}
	})
	assert.ErrorIs(t, err, takeover.ErrServerUnresponsive)
	assert.Equal(t, len(f.orderedEpochs), 0)
	f.unresponsive["d"] = false
	assertSuspensionsEnd(t, f, err, 1, nil)
}

// restartingClient is a group whose replica "c", the one with the highest position, starts
// again without its log once it has been suspended.
type restartingClient struct{ *fakeCluster }

func (c restartingClient) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	status, err := c.fakeCluster.Command(ctx, s, statement)
	if statement.Operation == exchange.Suspend {
		c.mu.Lock()
		defer c.mu.Unlock()
		if s.ID == "c" && s.BootID == 0 {
			c.statuses["c"] = replicaAt(2)
			c.listedServers = []catalog.Server{{ID: "a"}, {ID: "b"}, {ID: "c", BootID: 1}}
		}
	}
	return status, err
}

// Guards against the promotion of a server that has started again, without its log, since
// it was suspended.
func TestReplicaThatStartsAgainIsSuspendedAgain(t *testing.T) {
	run := func(other group.Offset) (group.ServerID, error) {
		f := newFakeCluster()
		f.statuses["b"] = replicaAt(other)
		return runAttempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) { r.Client = restartingClient{f} })
	}
	server, err := run(9)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("b"))
	_, err = run(8)
	assert.ErrorIs(t, err, takeover.ErrLogIncomplete)
}

// Guards against the loss of commits of a server that the store lists between the last list
// of the change of a stalled primary and the suspension of the replicas: until then they
// make it a witness.
func TestServerListedBeforeTheSuspensionOfAStalledGroupIsAccountedFor(t *testing.T) {
	_, server, err := replaceWithLateMember(t, takeover.CommitsStalled, exchange.Suspend, 0, -1)
	assert.NilError(t, err)
	assert.Assert(t, server == "d" || server == "a", "%s", server)
}
