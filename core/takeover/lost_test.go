package takeover_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/distribution"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/takeover"
)

// version returns the version of a revision in an era.
func version(t *testing.T, era distribution.Era, revision int64) distribution.Version {
	t.Helper()
	v, err := distribution.NewVersion(era, revision)
	assert.NilError(t, err)
	return v
}

// Guards against the promotion of a server that lacks commits of earlier terms, because
// the store has lost the base position that this host knows.
func TestBasePositionThatTheStoreLostStillCounts(t *testing.T) {
	f := newFakeCluster()
	f.record = takeover.Record{Epoch: 4, Holder: "h1", Version: version(t, 2, 3)}
	_, err := runAttempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) {
		r.NoteRecord(takeover.Record{Epoch: 5, Holder: "h1", Updates: 3, BasePosition: group.Position{Term: 1, Offset: 20}, Version: version(t, 1, 9)})
	})
	assert.ErrorIs(t, err, takeover.ErrLogIncomplete)
	assert.Equal(t, len(f.orderedEpochs), 0)
}

// An epoch of a later era must be higher than every one that the store may have lost.
func TestEpochRisesWithTheEra(t *testing.T) {
	f := newFakeCluster()
	f.record = takeover.Record{Epoch: 4, Holder: "h1", Version: version(t, 2, 3)}
	_, err := runAttempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) {
		r.Eras = &distribution.Eras{}
		r.Eras.Note(2)
		time.Sleep(takeover.LeaseTTL)
	})
	assert.NilError(t, err)
	assert.Equal(t, f.orderedEpochs[0].Era(), distribution.Era(2))
	assert.Assert(t, f.orderedEpochs[0] > takeover.Epoch(1)<<33)
}

// Until a claim of the present era is recorded, another host may hold one that the store
// has lost.
func TestLostLeaseIsWaitedFor(t *testing.T) {
	f := newFakeCluster()
	_, err := runAttempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) {
		r.Eras = &distribution.Eras{}
		r.Eras.Note(2)
		time.Sleep(takeover.LeaseTTL - time.Millisecond)
	})
	assert.ErrorIs(t, err, takeover.ErrLeaseHeld)
}

// After a restoration a promotion may be pending that the record does not know of. The
// replicas of an attempt that is given up must stay suspended until that is settled.
func TestReplicasStaySuspendedWhileALostPromotionMayBePending(t *testing.T) {
	for name, wait := range map[string]time.Duration{"soon": takeover.LeaseTTL, "later": time.Minute} {
		t.Run(name, func(t *testing.T) {
			f := newFakeCluster()
			f.refusedPromotions, f.unansweredFences = 1, 100
			_, err := runAttempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) {
				r.Eras = &distribution.Eras{}
				r.Eras.Note(1)
				r.Eras.Note(2)
				time.Sleep(wait)
			})
			assert.ErrorIs(t, err, takeover.ErrSuspensionsRemain)
			assert.Equal(t, errors.Is(err, takeover.ErrRefused), name == "later")
			assert.Equal(t, f.record.PromotionPending, name == "soon")
			restored := func(r *takeover.Runner) {
				r.Eras = &distribution.Eras{}
				r.Eras.Note(2)
			}
			if name == "soon" {
				_, err = runAttempt(t, f, takeover.ReplicasSuspended, restored)
				assert.Assert(t, err != nil)
				assert.Equal(t, len(f.suspensions()), 2)
				assert.Equal(t, f.statuses["a"].Role, exchange.Primary)
				f.unansweredFences, f.refusedPromotions = 0, 0
			}
			assertSuspensionsEnd(t, f, takeover.ErrSuspensionsRemain, 1, restored)
		})
	}
}

// A host that knows updates of the record which the store has lost must write them again,
// and must not touch a record that has all it knows.
func TestLostUpdatesOfTheRecordAreWrittenAgain(t *testing.T) {
	known := takeover.Record{Epoch: 5, Holder: "h1", Updates: 3, BasePosition: group.Position{Term: 1, Offset: 20}, PromotionPending: true, Version: version(t, 1, 9)}
	for name, stored := range map[string]takeover.Record{
		"none":      {},
		"before":    {Epoch: 4, Updates: 1, Version: version(t, 2, 3)},
		"midway":    {Epoch: 5, Holder: "h1", Updates: 2, Version: version(t, 2, 3)},
		"new claim": {Epoch: 1<<33 + 1, Holder: "h2", Updates: 2, Version: version(t, 2, 5)},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFakeCluster()
			f.record = stored
			r := &takeover.Runner{Self: "h1", Records: f, NewUpdateID: func() string { return "h1-1" }}
			r.NoteRecord(known)
			assert.NilError(t, r.ReadRecord(context.Background(), "g"))
			assert.Equal(t, f.record.BasePosition, known.BasePosition)
			assert.Equal(t, f.record.Epoch, max(known.Epoch, stored.Epoch))
			assert.Equal(t, f.record.PromotionPending, name != "new claim")
			before := f.record
			assert.NilError(t, r.ReadRecord(context.Background(), "g"))
			assert.Equal(t, f.record, before)
		})
	}
}

// An update that fails because the store was restored meanwhile ends the attempt before
// anything is ordered.
func TestRestorationDuringAnAttemptEndsIt(t *testing.T) {
	f := newFakeCluster()
	f.record = takeover.Record{Epoch: 4, Holder: "h1", Version: version(t, 1, 3)}
	_, err := runAttempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) {
		r.Client = restoringClient{f, func() { f.record = takeover.Record{Epoch: 4, Holder: "h1", Version: version(t, 2, 3)} }}
	})
	assert.ErrorIs(t, err, takeover.ErrConflict)
	assert.Equal(t, len(f.orderedEpochs), 0)
}

// restoringClient restores the store when a server is suspended.
type restoringClient struct {
	*fakeCluster
	restore func()
}

func (c restoringClient) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	if statement.Operation == exchange.Suspend {
		c.mu.Lock()
		c.restore()
		c.mu.Unlock()
	}
	return c.fakeCluster.Command(ctx, s, statement)
}
