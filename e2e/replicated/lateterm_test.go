package replicated_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/core/takeover"
	"basilmill/standin/replicated"
)

// Guards against replicas that receive between the order and its effect, because they were
// suspended for the term of the primary that they have never reached.
func TestReplicasThatHaveNotSeenTheTermOfThePrimaryAreSuspended(t *testing.T) {
	var lost []string
	var errs []error
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		cluster.PromotionDelay = time.Second
		cluster.StartServer("d", 0)
		h2 := startHost(cluster, "h2", hostOptions{dataCentre: "dc-c", partition: &partition{}})
		h2.awaitSettled(t)
		cut := &partition{}
		commander, closeAll := commanderOf(cluster, cut)
		r := runnerOf(cluster, h2)
		r.Self, r.Client = "h1", commander
		reconnect := func() {}
		r.Observe = func(_ group.ID, s takeover.Step) {
			if s.Name == "ordered" && s.Server == "c" {
				reconnect()
			}
		}
		recordWrites(h2, time.Now().Add(200*time.Millisecond))
		time.Sleep(time.Second)
		run := func(cause takeover.Cause, primary group.ServerID) {
			request := takeover.Request{Group: replicated.Group, Cause: cause}
			for _, s := range cluster.ServerEntries() {
				if s.ID == primary {
					request.Primary = s
				}
				request.Members = append(request.Members, s)
			}
			_, err := r.Run(context.Background(), request)
			errs = append(errs, err)
		}
		cluster.Server("a").Crash()
		cluster.SeparateServers("b", "c")
		reconnect = cluster.SeparateServers("b", "d")
		run(takeover.PrimaryGone, "a")
		cluster.Server("a").End()
		written := make(chan []clientOperation, 1)
		go func() { written <- recordWrites(h2, time.Now().Add(6*time.Second)) }()
		cut.set(false, "b")
		run(takeover.PrimaryUnresponsive, "b")
		operations := <-written
		closeAll()
		stop(cluster, h2)
		lost = lostSuccesses(cluster, operations)
	})
	assert.Equal(t, len(lost), 0, "%v: %v", fmt.Sprint(errs), lost)
}
