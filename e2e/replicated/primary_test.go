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

func serverID(id string) group.ServerID { return group.ServerID(id) }

// failoverTimeout is the maximum failover gap at the users' sizes (design.md,
// section 1.3).
const failoverTimeout = 2 * time.Second

// awaitWrite retries a write until it is acknowledged and returns the time taken.
func awaitWrite(t *testing.T, h *entryHost, timeout time.Duration) time.Duration {
	t.Helper()
	started := time.Now()
	s := h.open(t, currentDB)
	for i := 0; ; i++ {
		answer := s.Execute(context.Background(), write("w-"+time.Now().String()))
		if answer.Failure == nil {
			return time.Since(started)
		}
		if time.Since(started) > timeout {
			t.Fatalf("no write in %v: %v", timeout, answer.Failure)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// A crashed primary must be replaced within failoverTimeout.
func TestCrashedPrimaryIsReplaced(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		cluster.Server("a").Crash()
		awaitWrite(t, h, failoverTimeout)
		assert.Equal(t, cluster.Promotions(), 1)
	})
}

// A primary that is unreachable must be replaced, although its connections are
// neither closed nor refused.
func TestUnreachablePrimaryIsReplaced(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		cluster.Server("a").SetUnreachable(true)
		gap := awaitWrite(t, h, 2*failoverTimeout)
		t.Logf("gap %v", gap)
		assert.Equal(t, cluster.Promotions(), 1)
		cluster.Server("a").SetUnreachable(false)
	})
}

// A primary that is isolated from its replicas cannot confirm a commit. It must be
// replaced although the hosts still reach it.
func TestIsolatedPrimaryIsReplaced(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		cluster.Server("a").SetIsolatedFromServers(true)
		awaitWrite(t, h, 5*time.Second)
		assert.Equal(t, cluster.Promotions(), 1)
	})
}

// An unreachable replica may be the only one that received an acknowledged commit,
// so that no server may be promoted until it answers.
func TestUnreachableReplicaBlocksPromotion(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		cluster.Server("b").SetReplicationStopped(true)
		awaitWrite(t, h, time.Second)
		cluster.Server("c").SetUnreachable(true)
		cluster.Server("a").Crash()
		time.Sleep(5 * time.Second)
		assert.Equal(t, cluster.Promotions(), 0)
		cluster.Server("c").SetUnreachable(false)
		cluster.Server("b").SetReplicationStopped(false)
		awaitWrite(t, h, 3*time.Second)
		assert.Equal(t, string(cluster.Primary()), "c")
	})
}

// A primary that announces that it is leaving must be replaced before it stops,
// without losing a commit.
func TestLeavingPrimaryIsReplaced(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		cluster.Server("a").SetLeaving(true)
		time.Sleep(2 * time.Second)
		assert.Equal(t, cluster.Promotions(), 1)
		awaitWrite(t, h, time.Second)
	})
}

// Replicas that stay suspended after a failed change of primary keep the primary
// from acknowledging commits. A host must find and resume them.
func TestLeftoverSuspensionIsEnded(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		for _, s := range cluster.ServerEntries() {
			if s.ID != "a" {
				_, err := h.commander.Command(context.Background(), s, exchange.Statement{Operation: exchange.Suspend, Term: 9})
				assert.NilError(t, err)
			}
		}
		awaitWrite(t, h, 30*time.Second)
		time.Sleep(20 * time.Second)
		assert.Equal(t, int(cluster.Server("b").SuspendedTerm()), 0)
		assert.Equal(t, int(cluster.Server("c").SuspendedTerm()), 0)
	})
}

// A promotion whose answer is lost may be executed late, after newer ones. It must
// then have no effect.
func TestLateOrderChangesNothing(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		cluster.LosePromotionAnswers(12 * time.Second)
		cluster.Server("a").Crash()
		time.Sleep(3 * time.Second)
		cluster.LosePromotionAnswers(0)
		awaitWrite(t, h, 15*time.Second)
		time.Sleep(20 * time.Second)
		awaitWrite(t, h, time.Second)
	})
}

// No server may be promoted while the store is down, because no epoch can be
// recorded.
func TestNoPromotionWithoutStore(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		cluster.SetStoreFaults(true, false)
		cluster.Server("a").Crash()
		time.Sleep(4 * time.Second)
		assert.Equal(t, cluster.Promotions(), 0)
		cluster.SetStoreFaults(false, true)
		awaitWrite(t, h, 4*time.Second)
	})
}

// promoteB makes "b" the primary of a group whose only other server, "c", lacks
// commits that were acknowledged under the first primary.
func promoteB(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
	t.Helper()
	cluster.Server("c").SetReplicationStopped(true)
	awaitWrite(t, h, time.Second)
	awaitWrite(t, h, time.Second)
	cluster.Server("a").Crash()
	cluster.Server("a").SetUnlisted(true)
	deadline := time.Now().Add(failoverTimeout)
	for cluster.Primary() != "b" {
		if time.Now().After(deadline) {
			t.Fatal("b was not promoted")
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * catalog.DefaultMissingEntryGracePeriod)
}

// A primary without replication to any replica must not be replaced by a replica
// that lacks commits acknowledged under an earlier primary.
func TestStalledPrimaryKeepsCommitsOfEarlierTerms(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		promoteB(t, cluster, h)
		s := h.open(t, currentDB)
		for i := range 10 {
			_ = s.Execute(context.Background(), write(fmt.Sprint("stalled-", i)))
		}
		assert.Equal(t, string(cluster.Primary()), "b")
		cluster.Server("c").SetReplicationStopped(false)
		awaitWrite(t, h, 5*time.Second)
	})
}

// As TestStalledPrimaryKeepsCommitsOfEarlierTerms, for a primary that crashes: its
// commits are available again after its restart.
func TestCrashedPrimaryKeepsCommitsOfEarlierTerms(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		promoteB(t, cluster, h)
		cluster.Server("b").Crash()
		time.Sleep(5 * time.Second)
		assert.Equal(t, cluster.Promotions(), 1)
		cluster.Server("c").SetReplicationStopped(false)
		cluster.Server("b").Start()
		awaitWrite(t, h, 5*time.Second)
	})
}

// The commits that a replica confirmed before it left the group are on the primary
// alone while the other replica receives nothing. Neither a stalled nor a crashed
// primary may then be replaced by that replica.
func TestCommitsConfirmedByADepartedReplicaAreKept(t *testing.T) {
	for _, crash := range []bool{false, true} {
		t.Run(fmt.Sprint("crash=", crash), func(t *testing.T) {
			withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
				cluster.Server("c").SetLeaving(true)
				time.Sleep(time.Second)
				cluster.Server("b").SetReplicationStopped(true)
				awaitWrite(t, h, time.Second)
				cluster.Server("c").Crash()
				cluster.Server("c").SetUnlisted(true)
				time.Sleep(time.Second)
				if crash {
					cluster.Server("a").Crash()
					time.Sleep(5 * time.Second)
					cluster.Server("a").Start()
				}
				s := h.open(t, currentDB)
				for i := range 10 {
					_ = s.Execute(context.Background(), write(fmt.Sprint("stalled-", i)))
				}
				assert.Equal(t, string(cluster.Primary()), "a")
				cluster.Server("b").SetReplicationStopped(false)
				awaitWrite(t, h, 5*time.Second)
			})
		})
	}
}

// A host whose list lacks a replica that the store lists must not choose a new
// primary without asking that replica.
func TestServerMissingFromTheViewIsAccountedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		var listComplete atomic.Bool
		h := startHost(cluster, "h1", hostOptions{filterServers: func(servers []catalog.Server) []catalog.Server {
			if listComplete.Load() {
				return servers
			}
			return slices.DeleteFunc(servers, func(s catalog.Server) bool { return s.ID == "c" })
		}})
		defer stop(cluster, h)
		h.awaitSettled(t)
		cluster.Server("b").SetReplicationStopped(true)
		awaitWrite(t, h, time.Second)
		cluster.Server("a").Crash()
		time.Sleep(failoverTimeout)
		assert.Equal(t, string(cluster.Primary()), "c")
		listComplete.Store(true)
		cluster.Server("b").SetReplicationStopped(false)
		awaitWrite(t, h, time.Second)
		assert.DeepEqual(t, cluster.Violations(), []string(nil))
	})
}

// A promotion whose answer is lost may be executed after the primary has restarted
// and has acknowledged more commits, which the server to be promoted lacks.
func TestLateOrderLosesNoCommit(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		awaitWrite(t, h, time.Second)
		cluster.LosePromotionAnswers(12 * time.Second)
		cluster.Server("a").Crash()
		time.Sleep(2 * time.Second)
		cluster.Server("b").SetReplicationStopped(true)
		cluster.Server("a").Start()
		time.Sleep(4 * time.Second)
		cluster.LosePromotionAnswers(0)
		awaitWrite(t, h, 8*time.Second)
		time.Sleep(20 * time.Second)
		cluster.Server("b").SetReplicationStopped(false)
		awaitWrite(t, h, time.Second)
	})
}

// A host that has just started may get a list that lacks servers, whose entries
// return within two seconds. One of those servers may hold acknowledged commits.
func TestHostThatHasJustStartedWaitsForEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		first := startHost(cluster, "h1", hostOptions{})
		first.awaitSettled(t)
		cluster.Server("b").SetReplicationStopped(true)
		awaitWrite(t, first, time.Second)
		first.cancel()
		cluster.Server("c").SetUnlisted(true)
		h := startHost(cluster, "h2", hostOptions{})
		defer stop(cluster, first, h)
		time.Sleep(500 * time.Millisecond)
		cluster.Server("a").Crash()
		time.Sleep(1400 * time.Millisecond)
		cluster.Server("c").SetUnlisted(false)
		time.Sleep(failoverTimeout)
		cluster.Server("b").SetReplicationStopped(false)
		awaitWrite(t, h, 5*time.Second)
		assert.DeepEqual(t, cluster.Violations(), []string(nil))
		assert.Equal(t, string(cluster.Primary()), "c")
	})
}
