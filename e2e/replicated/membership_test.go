package replicated_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilmill/core/group"
	"basilmill/standin/replicated"
)

// listingDelay is the time from the start of a server until the store lists it.
const listingDelay = 370 * time.Millisecond

// writeUntil writes from several sessions through the hosts until the given time.
func writeUntil(until time.Time, hosts ...*entryHost) {
	var wait sync.WaitGroup
	for i := range 8 {
		wait.Go(func() {
			h := hosts[i%len(hosts)]
			for n := 0; time.Now().Before(until); n++ {
				s, failure := h.proxy.Open(context.Background(), currentDB)
				if failure == nil {
					s.Execute(context.Background(), write(fmt.Sprintf("w%d-%d", i, n)))
					s.Close()
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	wait.Wait()
}

// violationsOf runs a scenario beside writes through two hosts and returns the violated
// guarantees.
func violationsOf(t *testing.T, scenario func(*replicated.Cluster)) (violations []string) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		hosts := []*entryHost{startHost(cluster, "h1", hostOptions{}), startHost(cluster, "h2", hostOptions{dataCentre: "dc-c"})}
		for _, h := range hosts {
			h.awaitSettled(t)
		}
		until := time.Now().Add(15 * time.Second)
		go scenario(cluster)
		writeUntil(until, hosts...)
		stop(cluster, hosts...)
		violations = cluster.Violations()
	})
	return violations
}

// Guards against the loss of commits that a new server confirmed while a stalled primary
// was being replaced, whenever it starts (review/2).
func TestServerThatStartsDuringAChangeKeepsItsCommits(t *testing.T) {
	for start := 300 * time.Millisecond; start < 1300*time.Millisecond; start += 80 * time.Millisecond {
		violations := violationsOf(t, func(cluster *replicated.Cluster) {
			time.Sleep(time.Second)
			cluster.Server("b").SetReplicationStopped(true)
			cluster.Server("c").SetReplicationStopped(true)
			time.Sleep(start)
			cluster.StartServer("d", listingDelay)
		})
		assert.Equal(t, len(violations), 0, "%v: %v", start, violations)
	}
}

// Guards against the loss of commits that a leaving replica confirmed alone, for hosts that
// do not reach the primary (review/1). Other hosts reach it and go on writing.
func TestCommitsOfALeavingReplicaThatEndsAreKept(t *testing.T) {
	for end := time.Second; end < 4*time.Second; end += 500 * time.Millisecond {
		violations := violationsOf(t, func(cluster *replicated.Cluster) {
			time.Sleep(time.Second)
			cluster.Server("b").SetLeaving(true)
			cluster.Server("c").SetReplicationStopped(true)
			cluster.Server("a").SetHidden(true)
			for started, n := time.Now(), 0; time.Since(started) < end; n++ {
				if err := cluster.Commit(fmt.Sprint("elsewhere-", n)); err != nil {
					break
				}
				time.Sleep(50 * time.Millisecond)
			}
			cluster.Server("b").End()
			time.Sleep(5 * time.Second)
			cluster.Server("a").SetHidden(false)
			cluster.Server("c").SetReplicationStopped(false)
		})
		assert.Equal(t, len(violations), 0, "%v: %v", end, violations)
	}
}

// lostSuccesses returns the writes that callers were told had succeeded and that the
// primary's log lacks.
func lostSuccesses(cluster *replicated.Cluster, written []clientOperation) (lost []string) {
	log := cluster.PrimaryLog()
	for _, o := range written {
		if o.answer.Failure == nil && !slices.Contains(log, o.id) {
			lost = append(lost, o.id)
		}
	}
	return lost
}

// Guards against a success for a commit that only an unlisted replica has: a host on the
// other side of a partition may have ordered a promotion without asking that replica.
func TestCommitOnAnUnlistedReplicaIsNotLost(t *testing.T) {
	for start := 800 * time.Millisecond; start < 2600*time.Millisecond; start += 100 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			cluster := replicated.New()
			promoting, writing := &partition{}, &partition{}
			hosts := []*entryHost{
				startHost(cluster, "h1", hostOptions{partition: promoting}),
				startHost(cluster, "h2", hostOptions{partition: writing, dataCentre: "dc-c"}),
			}
			for _, h := range hosts {
				h.awaitSettled(t)
			}
			go func() {
				cluster.Server("b").SetReplicationStopped(true)
				cluster.Server("c").SetReplicationStopped(true)
				promoting.set(false, "a")
				writing.set(true, "b", "c")
				time.Sleep(start)
				cluster.StartServer("d", listingDelay)
				time.Sleep(5*time.Second - start)
				cluster.Server("b").SetReplicationStopped(false)
				cluster.Server("c").SetReplicationStopped(false)
				promoting.set(false)
				writing.set(false)
			}()
			written := recordWrites(hosts[1], time.Now().Add(8*time.Second))
			stop(cluster, hosts...)
			lost := lostSuccesses(cluster, written)
			assert.Equal(t, len(lost), 0, "%v: %v", start, lost)
		})
	}
}

// recordWrites writes from several sessions through a host until the given time.
func recordWrites(h *entryHost, until time.Time) (written []clientOperation) {
	var wait sync.WaitGroup
	var mu sync.Mutex
	for i := range 4 {
		wait.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				o := clientOperation{database: currentDB, id: fmt.Sprintf("w%d-%d", i, n), started: time.Now()}
				s, failure := h.proxy.Open(context.Background(), currentDB)
				if failure != nil {
					continue
				}
				o.answer = s.Execute(context.Background(), write(o.id))
				s.Close()
				mu.Lock()
				written = append(written, o)
				mu.Unlock()
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wait.Wait()
	return written
}

// membershipChange is a fault beside which the servers of the group change.
type membershipChange struct {
	fault
	// newServer is started when the fault begins, or after newServerDelay.
	newServerDelay time.Duration
	// ends is the replica that ends after the fault has begun; empty if none does.
	ends group.ServerID
}

// drawMembershipChanges draws one to three faults of the primary or its replicas, each
// beside a server that starts and perhaps a replica that leaves and ends.
func drawMembershipChanges(t *rapid.T) []membershipChange {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) membershipChange {
		return membershipChange{
			fault: fault{
				at:       time.Duration(rapid.IntRange(0, 8_000).Draw(t, "at")) * time.Millisecond,
				kind:     rapid.SampledFrom([]string{"crash", "unreachable", "replication stopped", "isolated from servers", "leaving", "store down"}).Draw(t, "kind"),
				server:   rapid.SampledFrom([]group.ServerID{"a", "b", "c"}).Draw(t, "server"),
				duration: time.Duration(rapid.IntRange(200, 5_000).Draw(t, "duration")) * time.Millisecond,
			},
			newServerDelay: time.Duration(rapid.IntRange(0, 3_000).Draw(t, "new server")) * time.Millisecond,
			ends:           rapid.SampledFrom([]group.ServerID{"", "", "b", "c"}).Draw(t, "ends"),
		}
	}), 1, 3).Draw(t, "changes")
}

// apply injects the fault, starts the new server and ends the replica, one second after
// it has reported that it leaves.
func (c membershipChange) apply(h *history, number int) {
	var wait sync.WaitGroup
	wait.Go(func() { h.injectFault(c.fault, number) })
	time.Sleep(c.at + c.newServerDelay)
	h.cluster.StartServer(group.ServerID(fmt.Sprint("new-", number)), listingDelay)
	if s := h.cluster.Server(c.ends); s != nil {
		s.SetLeaving(true)
		time.Sleep(time.Second)
		s.End()
	}
	wait.Wait()
}

// Guards against a success that rests on a server which the store lists between the last
// list of a change of primary and its effect.
func TestServerListedDuringAChangeDoesNotConfirmAlone(t *testing.T) {
	for _, delay := range []time.Duration{0, 50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond} {
		violations := runMembershipHistory(t, []membershipChange{
			{fault: fault{at: 4 * time.Second, kind: "crash", server: "b", duration: 200 * time.Millisecond}, ends: "c"},
			{fault: fault{at: 8 * time.Second, kind: "crash", server: "a", duration: 303 * time.Millisecond}, newServerDelay: delay},
		})
		assert.Equal(t, len(violations), 0, "%v: %v", delay, violations)
	}
}

// Guards, under generated changes of the group beside faults, against acknowledged commits
// that are lost, writes that run twice or after a refusal, and reads that miss a commit
// which their route requires.
func TestPromisesWhileTheGroupChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		changes := drawMembershipChanges(rt)
		if violations := runMembershipHistory(t, changes); len(violations) > 0 {
			rt.Fatalf("%d violations with %+v:\n%s", len(violations), changes, violations[0])
		}
	})
}

// runMembershipHistory runs a history with the changes in a synctest bubble of its own.
func runMembershipHistory(t *testing.T, changes []membershipChange) (violations []string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		h := &history{cluster: replicated.New()}
		h.cluster.JudgeSuccesses = true
		h.startHost("h1")
		h.startHost("h2")
		time.Sleep(settleDelay)
		until := time.Now().Add(20 * time.Second)
		var wait sync.WaitGroup
		for n, c := range changes {
			wait.Go(func() { c.apply(h, n) })
		}
		for session := range 4 {
			wait.Go(func() { h.runSession(session, until) })
		}
		wait.Wait()
		// Waits until delayed promotions have been executed.
		time.Sleep(15 * time.Second)
		violations = h.findViolations()
		stop(h.cluster, h.allHosts...)
	})
	return violations
}
