package takeover_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/core/takeover"
)

// Guards against replicas that stay suspended, and a leaving primary that is not replaced,
// for as long as the store lists a server that has crashed with its promotion pending. The
// fence has ended the promotion, and the primary leads its term as before.
func TestPendingPromotionOfAServerThatDoesNotAnswerIsSettledBesideThePrimary(t *testing.T) {
	for _, cause := range []takeover.Cause{takeover.ReplicasSuspended, takeover.PrimaryLeaving} {
		t.Run(cause.String(), func(t *testing.T) {
			f := newFakeCluster()
			f.record = takeover.Record{Epoch: 4, Holder: "h1", PromotionPending: true, Candidate: "b", CandidatePosition: group.Position{Term: 1, Offset: 8}, CandidateTerm: 1, Version: 4}
			suspended := replicaAt(10)
			suspended.SuspendedTerm = 2
			f.statuses["c"] = suspended
			f.unresponsive["b"] = true
			server, err := runAttempt(t, f, cause, nil)
			assert.Assert(t, len(f.fencedEpochs) > 0)
			assert.Assert(t, !f.record.PromotionPending, "%v", err)
			assert.NilError(t, err)
			want := map[takeover.Cause]group.ServerID{takeover.ReplicasSuspended: "a", takeover.PrimaryLeaving: "c"}[cause]
			assert.Equal(t, server, want)
			assert.Equal(t, f.primary, want)
			assert.Equal(t, len(f.suspensions()), 0)
		})
	}
}
