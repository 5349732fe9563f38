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

// stopReplicationAt stops replication to a server once the number of promotions is reached.
func stopReplicationAt(cluster *replicated.Cluster, id group.ServerID, promotions int) {
	for range 10_000 {
		if cluster.Promotions() >= promotions {
			cluster.Server(id).SetReplicationStopped(true)
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// replacePrimary makes an attempt to replace a primary that leaves.
func replacePrimary(cluster *replicated.Cluster, r *takeover.Runner, id group.ServerID) error {
	request := takeover.Request{Group: replicated.Group, Cause: takeover.PrimaryLeaving}
	for _, s := range cluster.ServerEntries() {
		s.Leaving = s.ID == id
		if s.ID == id {
			request.Primary = s
		}
		request.Members = append(request.Members, s)
	}
	_, err := r.Run(context.Background(), request)
	return err
}

// Guards against a success of a server that an order of an earlier attempt promotes while a
// later attempt has demoted the primary and its own order has not arrived.
func TestLateOrderDuringAPlannedChangeLosesNoSuccess(t *testing.T) {
	for late := time.Duration(0); late < 400*time.Millisecond; late += 20 * time.Millisecond {
		var lost []string
		var err error
		synctest.Test(t, func(t *testing.T) {
			ctx := context.Background()
			cluster := replicated.New()
			cluster.StartServer("d", 0)
			h1 := startHost(cluster, "h1", hostOptions{dataCentre: "dc-d"})
			h1.awaitSettled(t)
			_, err = cluster.Store(ctx, replicated.Group, takeover.Record{Epoch: 1, Holder: "h1", PromotionPending: true, Candidate: "c"})
			assert.NilError(t, err)
			cluster.LosePromotionAnswers(late + time.Millisecond)
			orderCtx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
			defer cancel()
			_ = cluster.Promote(orderCtx, replicated.Group, "c", "h1", 1)
			go stopReplicationAt(cluster, "b", 1)
			written := make(chan []clientOperation, 1)
			go func() { written <- recordWrites(h1, time.Now().Add(8*time.Second)) }()
			time.AfterFunc(3*time.Second, func() { cluster.LosePromotionAnswers(0) })
			err = replacePrimary(cluster, runnerOf(cluster, h1), "a")
			operations := <-written
			stop(cluster, h1)
			lost = lostSuccesses(cluster, operations)
		})
		assert.Equal(t, len(lost), 0, "order %v late: %v: %v", late, err, lost)
	}
}

// Guards against a copy of an order that promotes its server again, after the server has led
// and the next change has demoted it.
func TestCopyOfAnOrderDoesNotPromoteItsServerAgain(t *testing.T) {
	for late := 600 * time.Millisecond; late < 2*time.Second; late += 100 * time.Millisecond {
		var lost []string
		var errs []error
		synctest.Test(t, func(t *testing.T) {
			cluster := replicated.New()
			cluster.StartServer("d", 0)
			h1 := startHost(cluster, "h1", hostOptions{dataCentre: "dc-d"})
			h1.awaitSettled(t)
			cluster.LosePromotionAnswers(late)
			time.AfterFunc(8*time.Second, func() { cluster.LosePromotionAnswers(0) })
			r := runnerOf(cluster, h1)
			go stopReplicationAt(cluster, "a", 2) // "a" is chosen next
			written := make(chan []clientOperation, 1)
			go func() { written <- recordWrites(h1, time.Now().Add(16*time.Second)) }()
			for _, s := range cluster.ServerEntries() {
				cluster.Server(s.ID).SetReplicationStopped(s.ID == "c" || s.ID == "d") // "b" is chosen
			}
			errs = append(errs, replacePrimary(cluster, r, "a"))
			for _, s := range cluster.ServerEntries() {
				cluster.Server(s.ID).SetReplicationStopped(false)
			}
			time.Sleep(100 * time.Millisecond)
			errs = append(errs, replacePrimary(cluster, r, "b"))
			operations := <-written
			stop(cluster, h1)
			lost = lostSuccesses(cluster, operations)
		})
		assert.Equal(t, len(lost), 0, "orders %v late: %v: %v", late, fmt.Sprint(errs), lost)
	}
}
