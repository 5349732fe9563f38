package replicated_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/distribution"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/link"
	"basilmill/core/takeover"
	"basilmill/standin/replicated"
)

// frozenStore delays the record of a promotion, as a host does that is frozen before it.
type frozenStore struct {
	takeover.RecordStore
	delay time.Duration
}

func (s frozenStore) Store(ctx context.Context, id group.ID, r takeover.Record) (takeover.Record, error) {
	if r.PromotionPending {
		time.Sleep(s.delay)
		ctx = context.Background()
	}
	return s.RecordStore.Store(ctx, id, r)
}

// Guards against an attempt that was superseded and resumes the replicas that the later
// attempt has suspended.
func TestSupersededAttemptDoesNotResumeReplicas(t *testing.T) {
	for delay := 3250 * time.Millisecond; delay < 3800*time.Millisecond; delay += 50 * time.Millisecond {
		var violations []string
		var errs [2]error
		synctest.Test(t, func(*testing.T) {
			cluster := replicated.New()
			cache := &catalog.Cache{}
			cache.SetConfig(testConfig(defaultConnectionLimit))
			cache.ReplaceServers(cluster.ServerEntries())
			registry := link.NewRegistry(cache, cluster)
			commander := link.Commander{Sources: func(s catalog.Server) link.Source { return registry.Pool(s) }}
			runner := func(h string, records takeover.RecordStore) *takeover.Runner {
				n := 0
				return &takeover.Runner{
					Client: commander, Records: records, ServerLister: cluster, Promotions: cluster,
					NewUpdateID: func() string { n++; return fmt.Sprint(h, "-", n) },
				}
			}
			r1, r2 := runner("h1", frozenStore{cluster, delay}), runner("h2", cluster)
			r1.Self, r2.Self = "h1", "h2"
			members := cache.View().Members(replicated.Group)
			request := takeover.Request{Group: replicated.Group, Cause: takeover.PrimaryGone, Primary: members[0], Members: members}
			cluster.Server("b").SetReplicationStopped(true)
			go func() {
				time.Sleep(200 * time.Millisecond) // both replicas are suspended, with equal logs
				for n := range 300 {
					go func() { _ = cluster.Commit(fmt.Sprint("x", n)) }()
					time.Sleep(20 * time.Millisecond)
				}
			}()
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, errs[0] = r1.Run(context.Background(), request)
			}()
			time.Sleep(100 * time.Millisecond)
			_ = r2.ReadRecord(context.Background(), replicated.Group)
			time.Sleep(takeover.LeaseTTL + 10*time.Millisecond)
			_, errs[1] = r2.Run(context.Background(), request)
			<-done
			time.Sleep(5 * time.Second)
			violations = cluster.Violations()
			registry.CloseAll()
			cluster.Stop()
			time.Sleep(10 * time.Second)
		})
		assert.Equal(t, len(violations), 0, "%v: first %v; second %v: %v", delay, errs[0], errs[1], violations)
	}
}

// runnerOf returns a runner of its own on the cluster, with connections of the host.
func runnerOf(cluster *replicated.Cluster, h *entryHost) *takeover.Runner {
	n := 0
	eras := &distribution.Eras{}
	eras.Note(cluster.Era())
	return &takeover.Runner{
		Self: h.id, Client: h.commander, Records: eraRecords{cluster, eras}, ServerLister: cluster, Promotions: cluster, Eras: eras,
		NewUpdateID: func() string { n++; return fmt.Sprint("r-", n) },
	}
}

// prepareLateOrder suspends the replicas and orders the promotion of "c" with epoch 1,
// which gets no answer and is carried out after the delay.
func prepareLateOrder(t *testing.T, cluster *replicated.Cluster, commander link.Commander, delay time.Duration) {
	t.Helper()
	ctx := context.Background()
	for _, s := range cluster.ServerEntries() {
		if s.ID != "a" {
			_, err := commander.Command(ctx, s, exchange.Statement{Operation: exchange.Suspend, Term: 2})
			assert.NilError(t, err)
		}
	}
	_, err := cluster.Store(ctx, replicated.Group, takeover.Record{Epoch: 1, Holder: "h1", PromotionPending: true, Candidate: "c"})
	assert.NilError(t, err)
	cluster.LosePromotionAnswers(delay)
	orderCtx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	_ = cluster.Promote(orderCtx, replicated.Group, "c", "h1", 1)
	cluster.LosePromotionAnswers(0)
}

// Guards against replicas that are resumed, and a record that says that the attempt has
// ended, while an order that the platform has accepted is still to take effect.
func TestAcceptedOrderThatHasNotTakenEffectKeepsReplicasSuspended(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		h1 := startHost(cluster, "h1", hostOptions{})
		h1.awaitSettled(t)
		entries := h1.cache.View().Members(replicated.Group)
		prepareLateOrder(t, cluster, h1.commander, 500*time.Millisecond)
		cluster.Server("c").SetReplicationStopped(true)
		time.Sleep(450 * time.Millisecond) // the order was accepted 50 ms ago
		// The attempt may find that the server no longer leads, and the commit may fail.
		_, _ = runnerOf(cluster, h1).Run(context.Background(), takeover.Request{
			Group: replicated.Group, Cause: takeover.ReplicasSuspended, Primary: entries[0], Members: entries,
		})
		_ = cluster.Commit("acknowledged")
		time.Sleep(2 * time.Second)
		stop(cluster, h1)
		assert.Equal(t, len(cluster.Violations()), 0, "%v", cluster.Violations())
	})
}

// Guards against a success for a commit that an order drops which the platform had accepted
// before the replicas were resumed, and which takes effect only after that.
func TestSuccessBesideAnAcceptedOrderIsNotLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		h1 := startHost(cluster, "h1", hostOptions{})
		h1.awaitSettled(t)
		written := recordWrites(h1, time.Now().Add(200*time.Millisecond))
		entries := h1.cache.View().Members(replicated.Group)
		cluster.Server("c").SetReplicationStopped(true)
		time.Sleep(100 * time.Millisecond)
		prepareLateOrder(t, cluster, h1.commander, 500*time.Millisecond)
		time.Sleep(450 * time.Millisecond)
		// The attempt may find that the server no longer leads.
		_, _ = runnerOf(cluster, h1).Run(context.Background(), takeover.Request{
			Group: replicated.Group, Cause: takeover.ReplicasSuspended, Primary: entries[0], Members: entries,
		})
		written = append(written, recordWritesAs(h1, "after", time.Now().Add(2*time.Second))...)
		stop(cluster, h1)
		lost := lostSuccesses(cluster, written)
		assert.Equal(t, len(lost), 0, "%v", lost)
	})
}

func recordWritesAs(h *entryHost, prefix string, until time.Time) (written []clientOperation) {
	for n := 0; time.Now().Before(until); n++ {
		o := clientOperation{id: prefix + string(rune('a'+n%26)) + time.Now().Format(".000")}
		s, failure := h.proxy.Open(context.Background(), currentDB)
		if failure != nil {
			continue
		}
		o.answer = s.Execute(context.Background(), write(o.id))
		s.Close()
		written = append(written, o)
		time.Sleep(20 * time.Millisecond)
	}
	return written
}

// Guards against a success for a commit of a server that a late order has promoted while a
// later attempt goes on to promote another one.
func TestSuccessBetweenALateOrderAndALaterAttemptIsNotLost(t *testing.T) {
	for late := 110 * time.Millisecond; late < 300*time.Millisecond; late += 20 * time.Millisecond {
		var lost []string
		var err error
		synctest.Test(t, func(t *testing.T) {
			cluster := replicated.New()
			cluster.StartServer("d", 0)
			h1 := startHost(cluster, "h1", hostOptions{dataCentre: "dc-d"})
			h1.awaitSettled(t)
			written := recordWritesAs(h1, "before", time.Now().Add(200*time.Millisecond))
			time.Sleep(100 * time.Millisecond)
			m := h1.cache.View().Members(replicated.Group)
			prepareLateOrder(t, cluster, h1.commander, late)
			cluster.Server("b").SetReplicationStopped(true)
			cluster.Server("a").Crash()
			time.Sleep(110 * time.Millisecond)
			var mu sync.Mutex
			var wait sync.WaitGroup
			for i := range 4 {
				wait.Go(func() {
					for n := range 60 {
						for _, o := range recordWritesAs(h1, fmt.Sprintf("w%d-%d-", i, n), time.Now().Add(time.Millisecond)) {
							mu.Lock()
							written = append(written, o)
							mu.Unlock()
						}
						time.Sleep(10 * time.Millisecond)
					}
				})
			}
			_, err = runnerOf(cluster, h1).Run(context.Background(), takeover.Request{
				Group: replicated.Group, Cause: takeover.PrimaryGone, Primary: m[0], Members: []catalog.Server{m[0], m[1], m[2], m[3]},
			})
			wait.Wait()
			stop(cluster, h1)
			lost = lostSuccesses(cluster, written)
		})
		assert.Equal(t, len(lost), 0, "%v: %v: %v", late, err, lost)
	}
}

// Guards against an order that takes effect while a later attempt is between its suspension
// and its own order: the promotion ends the suspension.
func TestLateOrderDuringALaterAttemptLosesNothing(t *testing.T) {
	for late := 110 * time.Millisecond; late < 320*time.Millisecond; late += 10 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			cluster := replicated.New()
			h1 := startHost(cluster, "h1", hostOptions{})
			h1.awaitSettled(t)
			entries := h1.cache.View().Members(replicated.Group)
			prepareLateOrder(t, cluster, h1.commander, late)
			cluster.Server("a").Crash()
			time.Sleep(100 * time.Millisecond)
			var acked []string
			go func() {
				for n := range 400 {
					id := fmt.Sprint("x", n)
					if cluster.Commit(id) == nil {
						acked = append(acked, id)
					}
					time.Sleep(10 * time.Millisecond)
				}
			}()
			cluster.Server("b").SetReplicationStopped(true)
			cluster.StartServer("d", 0)
			time.Sleep(10 * time.Millisecond)
			_, err := runnerOf(cluster, h1).Run(context.Background(), takeover.Request{
				Group: replicated.Group, Cause: takeover.PrimaryGone, Primary: catalog.Server{ID: "a"}, Members: []catalog.Server{entries[0], entries[1], entries[2]},
			})
			time.Sleep(5 * time.Second)
			if v := cluster.Violations(); len(v) > 0 || cluster.Promotions() > 1 {
				t.Errorf("%v: %v, promotions %d, acked %d: %v", late, err, cluster.Promotions(), len(acked), v)
			}
			stop(cluster, h1)
		})
	}
}
