package takeover_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/takeover"
)

// leaseClock notes how long after the last update of the record a call to the platform was
// sent, and how long the record was not updated, at most. Calls take as long as across
// regions.
type leaseClock struct {
	*fakeCluster
	updatedAt time.Time
	latest    time.Duration
	unrenewed time.Duration
}

func (c *leaseClock) note() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latest = max(c.latest, time.Since(c.updatedAt))
}

func (c *leaseClock) Store(ctx context.Context, id group.ID, r takeover.Record) (takeover.Record, error) {
	if !c.updatedAt.IsZero() {
		c.unrenewed = max(c.unrenewed, time.Since(c.updatedAt))
	}
	c.updatedAt = time.Now()
	return c.fakeCluster.Store(ctx, id, r)
}

func (c *leaseClock) IsPrimary(ctx context.Context, s catalog.Server) bool {
	time.Sleep(25 * time.Millisecond)
	return c.fakeCluster.IsPrimary(ctx, s)
}

func (c *leaseClock) Fence(ctx context.Context, id group.ID, holder host.ID, epoch takeover.Epoch) error {
	c.note()
	return c.fakeCluster.Fence(ctx, id, holder, epoch)
}

func (c *leaseClock) Promote(ctx context.Context, id group.ID, server group.ServerID, holder host.ID, epoch takeover.Epoch) error {
	c.note()
	err := c.fakeCluster.Promote(ctx, id, server, holder, epoch)
	if err != nil {
		if c.unansweredPromotions == 0 {
			c.primary = server // the last one is carried out
		}
		<-ctx.Done()
		return ctx.Err()
	}
	time.Sleep(45 * time.Millisecond)
	return nil
}

// Guards against a call to the platform after another host may have claimed the record.
func TestPlatformIsNotCalledAfterTheLeaseHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &leaseClock{fakeCluster: newFakeCluster()}
		c.unansweredPromotions, c.unansweredFences = 3, 100
		r := &takeover.Runner{Self: "h1", Client: c, Records: c, ServerLister: c, Promotions: c, NewUpdateID: time.Now().String}
		_, err := r.Run(context.Background(), takeover.Request{Group: "g", Cause: takeover.PrimaryGone, Primary: catalog.Server{ID: "a"}, Members: members()})
		assert.NilError(t, err)
		assert.Assert(t, c.record.PromotionPending)
		assert.Assert(t, c.latest < takeover.LeaseTTL, "called the platform %v after the last update of the record", c.latest)
	})
}

// Guards against an attempt that another host supersedes while it settles a promotion, so
// that the group stays without a primary.
func TestLeaseIsRenewedWhileAPromotionIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &leaseClock{fakeCluster: newFakeCluster()}
		c.record = takeover.Record{Epoch: 4, Holder: "h1", PromotionPending: true, Candidate: "b", CandidatePosition: group.Position{Term: 1, Offset: 8}, CandidateTerm: 1, Version: 4}
		c.unansweredFences = 10
		r := &takeover.Runner{Self: "h1", Client: c, Records: c, ServerLister: c, Promotions: c, NewUpdateID: time.Now().String}
		_, err := r.Run(context.Background(), takeover.Request{Group: "g", Cause: takeover.PrimaryGone, Primary: catalog.Server{ID: "a"}, Members: members()})
		assert.NilError(t, err)
		assert.Assert(t, c.unrenewed < takeover.LeaseTTL, "the record was not updated for %v", c.unrenewed)
	})
}
