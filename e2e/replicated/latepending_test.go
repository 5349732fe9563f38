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

// Guards against replicas that receive between the order and its effect: a late order has
// promoted the former primary, which the host does not reach, and has ended their
// suspension while the attempt settled that order.
func TestOrderOfAnUnreachableServerThatTakesEffectLateLosesNoSuccess(t *testing.T) {
	for late := 5800 * time.Millisecond; late < 7400*time.Millisecond; late += 100 * time.Millisecond {
		var lost []string
		var errs []error
		synctest.Test(t, func(t *testing.T) {
			cluster := replicated.New()
			cluster.PromotionDelay = time.Second
			h2 := startHost(cluster, "h2", hostOptions{dataCentre: "dc-c"})
			h2.awaitSettled(t)
			cut := &partition{}
			commander, closeAll := commanderOf(cluster, cut)
			r := runnerOf(cluster, h2)
			r.Self, r.Client = "h1", commander
			attempts := 0
			r.Observe = func(_ group.ID, s takeover.Step) {
				switch {
				case s.Name == "demoted":
					cut.set(false, "a")
				case s.Name == "ordered" && attempts == 1:
					// The stand-in copies the log to all replicas at the same time.
					cluster.Server(s.Server).SetReplicationStopped(true)
				}
			}
			request := takeover.Request{Group: replicated.Group, Cause: takeover.PrimaryUnresponsive, Members: cluster.ServerEntries()}
			request.Primary = request.Members[0]
			// Only "b" has the whole log, and it leaves, so that "a" is to lead again.
			cluster.Server("b").SetLeaving(true)
			cluster.Server("c").SetReplicationStopped(true)
			_ = cluster.Commit("x")
			cluster.LosePromotionAnswers(late)
			written := make(chan []clientOperation, 1)
			go func() { written <- recordWrites(h2, time.Now().Add(20*time.Second)) }()
			errs = append(errs, replacePrimary(cluster, r, "a"))
			cluster.LosePromotionAnswers(0)
			cluster.Server("c").SetReplicationStopped(false)
			attempts++
			_, err := r.Run(context.Background(), request)
			errs = append(errs, err)
			operations := <-written
			closeAll()
			stop(cluster, h2)
			lost = lostSuccesses(cluster, operations)
		})
		assert.Equal(t, len(lost), 0, "order %v late: %v: %v", late, fmt.Sprint(errs), lost)
	}
}
