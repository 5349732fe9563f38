package takeover_test

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/takeover"
)

// resetCandidate is a group in which the server that is ordered first starts again without
// its log, or stops answering, and the order gets no answer.
type resetCandidate struct {
	*fakeCluster
	silent bool
}

func (c *resetCandidate) Promote(ctx context.Context, id group.ID, server group.ServerID, holder host.ID, epoch takeover.Epoch) error {
	if len(c.orderedEpochs) > 0 {
		return c.fakeCluster.Promote(ctx, id, server, holder, epoch)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orderedEpochs = append(c.orderedEpochs, epoch)
	c.statuses[server] = exchange.ServerStatus{Role: exchange.Replica}
	c.unresponsive[server] = c.silent
	return errors.New("no answer")
}

// Guards against an order that is repeated after its server has lost its log.
func TestOrderIsNotRepeatedForAServerThatMayHaveLostItsLog(t *testing.T) {
	for _, test := range []struct {
		silent bool
		want   error
	}{{false, takeover.ErrLogIncomplete}, {true, takeover.ErrServerUnresponsive}} {
		t.Run(test.want.Error(), func(t *testing.T) {
			c := &resetCandidate{newFakeCluster(), test.silent}
			_, err := runAttempt(t, c.fakeCluster, takeover.PrimaryGone, func(r *takeover.Runner) { r.Promotions = c })
			assert.Assert(t, errors.Is(err, test.want), "%v", err)
			assert.Equal(t, len(c.orderedEpochs), 1)
			assert.Assert(t, len(c.fencedEpochs) > 0)
			assert.Assert(t, c.record.PromotionPending)
		})
	}
}
