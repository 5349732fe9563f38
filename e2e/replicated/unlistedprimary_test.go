package replicated_test

import (
	"testing"
	"testing/synctest"
	"time"

	"basilmill/standin/replicated"
)

// Guards against a group that is not served because the promoted server has no entry: the
// hosts don't route requests to it, and all changes find a primary. The primary before has
// started again.
func TestGroupIsServedByAPromotedServerWithoutAnEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		h := startHost(cluster, "h1", hostOptions{})
		defer stop(cluster, h)
		h.awaitSettled(t)
		awaitWrite(t, h, time.Second)
		cluster.Server("c").SetUnlisted(true)
		cluster.Server("b").SetReplicationStopped(true)
		awaitWrite(t, h, time.Second)
		time.Sleep(5 * time.Second)
		cluster.Server("a").Crash()
		cluster.Server("b").SetReplicationStopped(false)
		time.AfterFunc(3*time.Second, cluster.Server("a").Start)
		defer func() { t.Logf("primary %v, %d promotions", cluster.Primary(), cluster.Promotions()) }()
		t.Logf("gap %v", awaitWrite(t, h, departedTimeout))
	})
}
