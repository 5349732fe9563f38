package replicated_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/host"
	"basilmill/standin/replicated"
)

// Guards against two hosts that order promotions with the same epoch, because the claim
// of the first one was lost when the store was restored.
func TestEpochOfALostClaimIsNotGivenOutAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		first := startHost(cluster, "h1", hostOptions{})
		defer stop(cluster, first)
		first.awaitSettled(t)
		from := cluster.CopyStore()
		cluster.Server("a").Crash()
		awaitWrite(t, first, failoverTimeout)
		assert.Equal(t, cluster.Promotions(), 1)
		first.cancel()
		cluster.Server("a").Start()
		cluster.RestoreStore(from)
		second := startHost(cluster, "h2", hostOptions{})
		defer second.cancel()
		second.awaitSettled(t)
		cluster.Server(cluster.Primary()).Crash()
		awaitWrite(t, second, 2*failoverTimeout)
		assert.Equal(t, cluster.Promotions(), 2)
		assert.DeepEqual(t, cluster.Violations(), []string(nil))
	})
}

// Guards against a second holder within the lease of the first one, whose claim was lost
// when the store was restored.
func TestLeaseOfALostClaimIsRespected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		hosts := map[host.ID]*entryHost{}
		for _, id := range []host.ID{"h1", "h2"} {
			hosts[id] = startHost(cluster, id, hostOptions{})
			defer hosts[id].cancel()
		}
		defer stop(cluster)
		for _, h := range hosts {
			h.awaitSettled(t)
		}
		from := cluster.CopyStore()
		cluster.Server("a").Crash()
		for cluster.Promotions() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		holder, primary := cluster.LastHolder(), cluster.Primary()
		for id, h := range hosts {
			for id != holder && h.monitor.Snapshot().Primary.ID != primary {
				time.Sleep(10 * time.Millisecond)
			}
		}
		hosts[holder].cancel()
		cluster.RestoreStore(from)
		cluster.Server("a").Start()
		cluster.Server(primary).Crash()
		time.Sleep(4 * failoverTimeout)
		assert.Equal(t, cluster.Promotions(), 2)
		assert.DeepEqual(t, cluster.Violations(), []string(nil))
	})
}

// Guards against a record that stays lost: it alone tells a host that starts which
// commits of earlier terms a server must hold to be promoted.
func TestRecordIsWrittenAgainAfterARestoration(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		from := cluster.CopyStore()
		promoteB(t, cluster, h)
		written := cluster.Record()
		assert.Assert(t, !written.BasePosition.IsZero())
		cluster.RestoreStore(from)
		time.Sleep(5 * time.Second)
		again := cluster.Record()
		assert.Equal(t, again.BasePosition, written.BasePosition)
		assert.Assert(t, again.Epoch >= written.Epoch)
	})
}
