package takeover_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/distribution"
	"basilmill/core/takeover"
)

// Guards against an order that may be carried out late and is forgotten, because the store
// has lost its record and the first attempt after the restoration was given up.
func TestPromotionThatTheStoreMayHaveLostStaysPendingUntilFenced(t *testing.T) {
	for name, cause := range map[string]takeover.Cause{"unreachable": takeover.PrimaryGone, "reachable": takeover.PrimaryLeaving} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeCluster()
				var eras distribution.Eras
				r := &takeover.Runner{Self: "h1", Client: f, Records: f, ServerLister: f, Promotions: f, Eras: &eras, NewUpdateID: time.Now().String}
				eras.Note(1)
				eras.Note(2)
				time.Sleep(takeover.LeaseTTL)
				request := takeover.Request{Group: "g", Cause: cause, Primary: catalog.Server{ID: "a"}, Members: members()}
				f.unansweredFences = 100
				_, err := r.Run(context.Background(), request)
				assert.Assert(t, err != nil && !errors.Is(err, takeover.ErrLeaseHeld), "%v", err)
				assert.Equal(t, len(f.orderedEpochs), 0)
				f.unansweredFences = 0
				_, err = r.Run(context.Background(), request)
				assert.NilError(t, err)
				assert.Assert(t, len(f.fencedEpochs) > 0, "ordered with %v and nothing was fenced", f.orderedEpochs)
			})
		})
	}
}

// Guards against a host that starts after the store was restored and does not know that an
// order may be pending.
func TestPromotionThatTheStoreMayHaveLostIsFencedByANewHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeCluster()
		f.record = takeover.Record{Epoch: 4, Holder: "h2", Ended: true, Version: version(t, 2, 3)}
		var eras distribution.Eras
		eras.Note(2)
		r := &takeover.Runner{Self: "h1", Client: f, Records: f, ServerLister: f, Promotions: f, Eras: &eras, NewUpdateID: time.Now().String}
		r.NoteRecord(f.record)
		time.Sleep(takeover.LeaseTTL)
		_, err := r.Run(context.Background(), takeover.Request{Group: "g", Cause: takeover.PrimaryLeaving, Primary: catalog.Server{ID: "a"}, Members: members()})
		assert.NilError(t, err)
		assert.Assert(t, len(f.fencedEpochs) > 0, "ordered with %v and nothing was fenced", f.orderedEpochs)
	})
}
