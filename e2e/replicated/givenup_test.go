package replicated_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/takeover"
	"basilmill/standin/replicated"
)

// failingOrders is a store that does not record promotions while failing is set, so that
// attempts are given up after the servers were suspended.
type failingOrders struct {
	takeover.RecordStore
	failing *atomic.Bool
}

func (s failingOrders) Store(ctx context.Context, id group.ID, r takeover.Record) (takeover.Record, error) {
	if r.PromotionPending && s.failing.Load() {
		return takeover.Record{}, errors.New("no answer")
	}
	return s.RecordStore.Store(ctx, id, r)
}

// maxGivenUp is the number of attempts that a host may make in vain until another host ends
// the suspensions.
const maxGivenUp = 3

// resumeCounter counts the Resume commands of a host.
type resumeCounter struct {
	takeover.ServerClient
	resumes *atomic.Int64
}

func (c resumeCounter) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	if statement.Operation == exchange.Resume {
		c.resumes.Add(1)
	}
	return c.ServerClient.Command(ctx, s, statement)
}

// suspendedServers returns the servers that are suspended.
func suspendedServers(cluster *replicated.Cluster) (suspended []group.ServerID) {
	for _, s := range cluster.ServerEntries() {
		if cluster.Server(s.ID).SuspendedTerm() != 0 {
			suspended = append(suspended, s.ID)
		}
	}
	return suspended
}

// Guards against a group that does not commit after an attempt was given up, because it has
// left the replicas suspended beside an active primary.
func TestGroupCommitsSoonAfterAnAttemptWasGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		var failing atomic.Bool
		var resumes atomic.Int64
		givenUp := make(chan struct{}, 1)
		h := startHost(cluster, "h1", hostOptions{
			wrapClient:  func(c takeover.ServerClient) takeover.ServerClient { return resumeCounter{c, &resumes} },
			wrapRecords: func(s takeover.RecordStore) takeover.RecordStore { return failingOrders{s, &failing} },
			onStep: func(_ host.ID, s takeover.Step) {
				if s.Name == "given up" {
					givenUp <- struct{}{}
				}
			},
		})
		defer stop(cluster, h)
		h.awaitSettled(t)
		failing.Store(true)
		cluster.Server("a").SetUnreachable(true)
		<-givenUp
		assert.DeepEqual(t, suspendedServers(cluster), []group.ServerID{"b", "c"})
		cluster.Server("a").SetUnreachable(false)
		failing.Store(false)
		gap := awaitWrite(t, h, 1500*time.Millisecond)
		t.Logf("gap %v", gap)
		assert.Equal(t, len(suspendedServers(cluster)), 0)
		time.Sleep(30 * time.Second)
		assert.Equal(t, cluster.Promotions(), 1)
		assert.Equal(t, cluster.Primary(), group.ServerID("a"))
		assert.Equal(t, resumes.Load(), int64(0))
		assert.DeepEqual(t, cluster.Violations(), []string(nil))
	})
}

// Guards against a group that does not commit for as long as a host which can't reach the
// primary suspends the replicas and gives up.
func TestGroupCommitsBesideAHostWhoseAttemptsAreGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		var failing atomic.Bool
		failing.Store(true)
		cut := &partition{}
		givenUp := make(chan struct{}, 100)
		h1 := startHost(cluster, "h1", hostOptions{
			partition:   cut,
			wrapRecords: func(s takeover.RecordStore) takeover.RecordStore { return failingOrders{s, &failing} },
			onStep: func(_ host.ID, s takeover.Step) {
				if s.Name == "given up" {
					givenUp <- struct{}{}
				}
			},
		})
		h2 := startHost(cluster, "h2", hostOptions{dataCentre: "dc-c"})
		h1.awaitSettled(t)
		h2.awaitSettled(t)
		cut.set(false, "a")
		<-givenUp
		gap := awaitWrite(t, h2, 8*time.Second)
		t.Logf("gap %v", gap)
		written := recordWrites(h2, time.Now().Add(20*time.Second))
		stop(cluster, h1, h2)
		for _, o := range written {
			assert.Assert(t, o.answer.Failure == nil, "%s: %v", o.id, o.answer.Failure)
		}
		assert.Equal(t, len(lostSuccesses(cluster, written)), 0)
		assert.Equal(t, cluster.Promotions(), 1)
		assert.Equal(t, cluster.Primary(), group.ServerID("a"))
		assert.Assert(t, len(givenUp) < maxGivenUp, "%d attempts", len(givenUp))
	})
}
