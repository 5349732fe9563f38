package replicated_test

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/standin/replicated"
)

func replicatedID(id string) group.ServerID { return group.ServerID(id) }

// failoverTarget is the target of the failover gap at the users' sizes
// (design.md, section 1.3).
const failoverTarget = 2 * time.Second

// awaitWrite writes until a write is acknowledged and returns the time taken.
func awaitWrite(t *testing.T, h *entryHost, limit time.Duration) time.Duration {
	t.Helper()
	started := time.Now()
	s := h.open(t, currentDB)
	for i := 0; ; i++ {
		answer := s.Execute(context.Background(), write("w-"+time.Now().String()))
		if answer.Failure == nil {
			return time.Since(started)
		}
		if time.Since(started) > limit {
			t.Fatalf("no write in %v: %v", limit, answer.Failure)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// A crashed primary must be replaced within the failover target.
func TestCrashedPrimaryIsReplaced(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.Server("a").Crash()
		awaitWrite(t, h, failoverTarget)
		assert.Equal(t, world.Promotions(), 1)
	})
}

// A silent primary must be replaced too, although nothing refuses connections.
func TestDarkPrimaryIsReplaced(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.Server("a").SetUnreachable(true)
		gap := awaitWrite(t, h, 2*failoverTarget)
		t.Logf("gap %v", gap)
		assert.Equal(t, world.Promotions(), 1)
		world.Server("a").SetUnreachable(false)
	})
}

// A primary whose replicas receive nothing acknowledges nothing; it must be
// replaced although it answers.
func TestStrandedPrimaryIsReplaced(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.Server("a").SetIsolatedFromServers(true)
		awaitWrite(t, h, 5*time.Second)
		assert.Equal(t, world.Promotions(), 1)
	})
}

// A replica that is out of reach may hold acknowledged commits, so that nobody
// may be promoted without it.
func TestSilentReplicaBlocksPromotion(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.Server("b").SetReplicationStopped(true)
		awaitWrite(t, h, time.Second)
		world.Server("c").SetUnreachable(true)
		world.Server("a").Crash()
		time.Sleep(5 * time.Second)
		assert.Equal(t, world.Promotions(), 0)
		world.Server("c").SetUnreachable(false)
		world.Server("b").SetReplicationStopped(false)
		awaitWrite(t, h, 3*time.Second)
		assert.Equal(t, string(world.Primary()), "c")
	})
}

// A leaving primary is replaced before it stops, without a lost commit.
func TestLeavingPrimaryIsReplaced(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.Server("a").SetLeaving(true)
		time.Sleep(2 * time.Second)
		assert.Equal(t, world.Promotions(), 1)
		awaitWrite(t, h, time.Second)
	})
}

// Replicas that a lost promoter left suspended keep the primary from
// acknowledging; a host has to find them.
func TestLeftoverSuspensionIsEnded(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		for _, s := range world.ServerEntries() {
			if s.ID != "a" {
				_, err := h.registry.Command(context.Background(), s, exchange.Statement{Operation: exchange.Suspend, Term: 9})
				assert.NilError(t, err)
			}
		}
		awaitWrite(t, h, 30*time.Second)
		time.Sleep(20 * time.Second)
		assert.Equal(t, int(world.Server("b").SuspendedTerm()), 0)
		assert.Equal(t, int(world.Server("c").SuspendedTerm()), 0)
	})
}

// An order whose answer is lost may be carried out late, after newer ones.
func TestLateOrderChangesNothing(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.LosePromotionAnswers(12 * time.Second)
		world.Server("a").Crash()
		time.Sleep(3 * time.Second)
		world.LosePromotionAnswers(0)
		awaitWrite(t, h, 15*time.Second)
		time.Sleep(20 * time.Second)
		awaitWrite(t, h, time.Second)
	})
}

// Without the store no number can be taken, so nobody is promoted.
func TestNoPromotionWithoutStore(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.SetStoreFaults(true, false)
		world.Server("a").Crash()
		time.Sleep(4 * time.Second)
		assert.Equal(t, world.Promotions(), 0)
		world.SetStoreFaults(false, true)
		awaitWrite(t, h, 4*time.Second)
	})
}

// promoteB leaves "b" as the primary of a group whose only other server, "c",
// lacks commits that were acknowledged under the first primary.
func promoteB(t *testing.T, world *replicated.Cluster, h *entryHost) {
	t.Helper()
	world.Server("c").SetReplicationStopped(true)
	awaitWrite(t, h, time.Second)
	awaitWrite(t, h, time.Second)
	world.Server("a").Crash()
	world.Server("a").SetUnlisted(true)
	deadline := time.Now().Add(failoverTarget)
	for world.Primary() != "b" {
		if time.Now().After(deadline) {
			t.Fatal("b was not promoted")
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * catalog.DefaultMissingEntryGracePeriod)
}

// A primary that no replica follows is not replaced by a replica that lacks
// commits acknowledged under an earlier primary.
func TestStalledPrimaryKeepsCommitsOfEarlierTerms(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		promoteB(t, world, h)
		s := h.open(t, currentDB)
		for i := range 10 {
			_ = s.Execute(context.Background(), write(fmt.Sprint("stalled-", i)))
		}
		assert.Equal(t, string(world.Primary()), "b")
		world.Server("c").SetReplicationStopped(false)
		awaitWrite(t, h, 5*time.Second)
	})
}

// The same for a primary that crashes: its commits come back with it.
func TestCrashedPrimaryKeepsCommitsOfEarlierTerms(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		promoteB(t, world, h)
		world.Server("b").Crash()
		time.Sleep(5 * time.Second)
		assert.Equal(t, world.Promotions(), 1)
		world.Server("c").SetReplicationStopped(false)
		world.Server("b").Start()
		awaitWrite(t, h, 5*time.Second)
	})
}

// A host whose view lacks a replica that the store lists must not choose
// without it.
func TestServerMissingFromTheViewIsAccountedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := replicated.New()
		var current atomic.Bool
		h := startHost(world, "h1", parts{view: func(servers []catalog.Server) []catalog.Server {
			if current.Load() {
				return servers
			}
			return slices.DeleteFunc(servers, func(s catalog.Server) bool { return s.ID == "c" })
		}})
		defer stop(world, h)
		h.settled(t)
		world.Server("b").SetReplicationStopped(true)
		awaitWrite(t, h, time.Second)
		world.Server("a").Crash()
		time.Sleep(failoverTarget)
		assert.Equal(t, string(world.Primary()), "c")
		current.Store(true)
		world.Server("b").SetReplicationStopped(false)
		awaitWrite(t, h, time.Second)
		assert.DeepEqual(t, world.Violations(), []string(nil))
	})
}

// An order whose answer is lost is carried out after the primary is back and
// has acknowledged more commits, which the named server lacks.
func TestLateOrderLosesNoCommit(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.LosePromotionAnswers(12 * time.Second)
		world.Server("a").Crash()
		time.Sleep(2 * time.Second)
		world.Server("b").SetReplicationStopped(true)
		world.Server("a").Start()
		time.Sleep(4 * time.Second)
		world.LosePromotionAnswers(0)
		awaitWrite(t, h, 8*time.Second)
		time.Sleep(20 * time.Second)
		world.Server("b").SetReplicationStopped(false)
		awaitWrite(t, h, time.Second)
	})
}

// A host that has just started may see a list that lacks servers, whose entries
// are back within two seconds; one of them may hold acknowledged commits.
func TestHostThatHasJustStartedWaitsForEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := replicated.New()
		first := startHost(world, "h1", parts{})
		first.settled(t)
		world.Server("b").SetReplicationStopped(true)
		awaitWrite(t, first, time.Second)
		first.cancel()
		world.Server("c").SetUnlisted(true)
		h := startHost(world, "h2", parts{})
		defer stop(world, first, h)
		time.Sleep(500 * time.Millisecond)
		world.Server("a").Crash()
		time.Sleep(1400 * time.Millisecond)
		world.Server("c").SetUnlisted(false)
		time.Sleep(failoverTarget)
		world.Server("b").SetReplicationStopped(false)
		awaitWrite(t, h, 5*time.Second)
		assert.DeepEqual(t, world.Violations(), []string(nil))
		assert.Equal(t, string(world.Primary()), "c")
	})
}
