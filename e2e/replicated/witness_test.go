package replicated_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/takeover"
	"basilmill/standin/replicated"
)

// Guards against a success that rests on a witness whose entry has expired, for a host that
// is cut off from the store together with the primary and the witness.
func TestWitnessWhoseEntryHasExpiredDoesNotCount(t *testing.T) {
	for name, restart := range map[string]bool{"other host runs": false, "other host starts": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := replicated.New()
				cluster.StartServer("d", 0)
				time.Sleep(time.Second)
				far, near := &partition{}, &partition{}
				h1 := startHost(cluster, "h1", hostOptions{partition: far})
				h2 := startHost(cluster, "h2", hostOptions{partition: near, dataCentre: "dc-c"})
				hosts := []*entryHost{h1, h2}
				h1.awaitSettled(t)
				h2.awaitSettled(t)
				recordWrites(h2, time.Now().Add(200*time.Millisecond))
				far.set(false, "a", "c")
				near.set(true, "b", "d")
				cluster.Server("b").SetReplicationStopped(true)
				cluster.Server("d").SetReplicationStopped(true)
				go func() {
					time.Sleep(time.Second)
					cluster.Server("a").SetUnlisted(true)
					cluster.Server("c").SetUnlisted(true)
				}()
				if restart {
					h1.cancel()
					time.Sleep(2 * time.Second)
					hosts = append(hosts, startHost(cluster, "h3", hostOptions{partition: far}))
				}
				written := recordWrites(h2, time.Now().Add(40*time.Second))
				stop(cluster, hosts...)
				lost := lostSuccesses(cluster, written)
				assert.Equal(t, len(lost), 0, "%v", lost)
			})
		})
	}
}

// Guards against a host that withholds all successes for as long as it does not reach one
// listed replica, because the record of an attempt whose host has died says that it goes on.
func TestHostThatHasJustStartedGivesSuccesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		_, err := cluster.Store(context.Background(), replicated.Group, takeover.Record{Epoch: 1, Holder: "dead"})
		assert.NilError(t, err)
		cut := &partition{}
		cut.set(false, "b")
		h := startHost(cluster, "h1", hostOptions{partition: cut, dataCentre: "dc-c"})
		h.awaitSettled(t)
		written := recordWrites(h, time.Now().Add(60*time.Second))
		stop(cluster, h)
		succeeded := 0
		for _, o := range written {
			if o.answer.Failure == nil {
				succeeded++
			}
		}
		assert.Assert(t, succeeded > 0)
	})
}
