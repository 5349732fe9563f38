package replicated_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/standin/replicated"
)

// Guards against the loss of commits that a former primary confirmed as a replica, when a
// host that has not found the later primary makes the change.
func TestCommitsOfAFormerPrimaryAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		cut, elsewhere := &partition{}, &partition{}
		h1 := startHost(cluster, "h1", hostOptions{partition: cut})
		h1.awaitSettled(t)
		assert.Equal(t, h1.monitor.Snapshot().Primary.ID, group.ServerID("a"))
		cut.set(false, "b", "c")
		h2 := startHost(cluster, "h2", hostOptions{partition: elsewhere, dataCentre: "dc-c"})
		h2.awaitSettled(t)
		cluster.Server("c").SetReplicationStopped(true)
		cluster.Server("a").Crash()
		time.Sleep(3 * time.Second)
		cluster.Server("a").Start()
		for cluster.Primary() != "b" {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		written := recordWrites(h2, time.Now().Add(2*time.Second))
		cut.set(false, "b")
		elsewhere.set(false, "a")
		cluster.Server("b").End()
		time.Sleep(20 * time.Second)
		stop(cluster, h1, h2)
		lost := lostSuccesses(cluster, written)
		assert.Equal(t, len(lost), 0, "%v", lost)
	})
}

// Guards against a group that has no primary for ever, because the former one was to be
// promoted again and the order was lost.
func TestFormerPrimaryLeadsAgainAfterALostOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		h := startHost(cluster, "h1", hostOptions{dataCentre: "dc-c"})
		h.awaitSettled(t)
		cluster.LosePromotionAnswers(time.Hour)
		cluster.Server("b").SetReplicationStopped(true)
		cluster.Server("c").SetReplicationStopped(true)
		go func() { _ = cluster.Commit("stalled") }()
		cluster.Server("a").SetLeaving(true)
		time.Sleep(5 * time.Second)
		cluster.Server("a").SetLeaving(false)
		cluster.Server("b").SetReplicationStopped(false)
		cluster.Server("c").SetReplicationStopped(false)
		cluster.LosePromotionAnswers(0)
		time.Sleep(60 * time.Second)
		primary := cluster.Primary()
		stop(cluster, h)
		assert.Assert(t, primary != "")
	})
}
