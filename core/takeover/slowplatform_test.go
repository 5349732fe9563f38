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

// slowPlatform carries out calls at once and answers them after a delay.
type slowPlatform struct {
	*fakeCluster
	delay time.Duration
}

func (p slowPlatform) answer(ctx context.Context, err error) error {
	select {
	case <-time.After(p.delay):
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p slowPlatform) Promote(ctx context.Context, id group.ID, server group.ServerID, holder host.ID, epoch takeover.Epoch) error {
	return p.answer(ctx, p.fakeCluster.Promote(ctx, id, server, holder, epoch))
}

func (p slowPlatform) Fence(ctx context.Context, id group.ID, holder host.ID, epoch takeover.Epoch) error {
	return p.answer(ctx, p.fakeCluster.Fence(ctx, id, holder, epoch))
}

// Guards against a group without a primary for as long as the platform answers slowly, after
// a server has ended whose promotion was left pending.
func TestPrimaryIsReplacedBesideASlowPlatform(t *testing.T) {
	for name, pending := range map[string]bool{"nothing pending": false, "pending": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeCluster()
				if pending {
					f.record = takeover.Record{Epoch: 4, Holder: "h1", PromotionPending: true, Candidate: "a", CandidatePosition: group.Position{Term: 1, Offset: 8}, CandidateTerm: 1, Version: 4}
				}
				r := &takeover.Runner{Self: "h1", Client: f, Records: f, ServerLister: f, Promotions: slowPlatform{f, 3 * time.Second}, NewUpdateID: time.Now().String}
				var err error
				for range 5 {
					_, err = r.Run(context.Background(), takeover.Request{Group: "g", Cause: takeover.PrimaryGone, Primary: catalog.Server{ID: "a"}, Members: members()})
					if f.primary != "" {
						break
					}
					time.Sleep(250 * time.Millisecond)
				}
				assert.Equal(t, f.primary, group.ServerID("c"), "%v", err)
			})
		})
	}
}
