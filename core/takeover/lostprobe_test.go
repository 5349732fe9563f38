package takeover_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/takeover"
)

// unansweredProbe is a group in which the first probe gets no answer.
type unansweredProbe struct {
	takeover.ServerClient
	probes int
}

func (c *unansweredProbe) IsPrimary(ctx context.Context, s catalog.Server) bool {
	c.probes++
	if c.probes == 1 {
		<-ctx.Done()
		return false
	}
	return c.ServerClient.IsPrimary(ctx, s)
}

// Guards against an attempt that is given up, and leaves its promotion pending, because the
// probe that would have shown its effect was lost, for example with a gateway.
func TestUnansweredProbeDoesNotEndTheWaitForTheNewPrimary(t *testing.T) {
	f := newFakeCluster()
	server, err := runAttempt(t, f, takeover.PrimaryLeaving, func(r *takeover.Runner) {
		r.Client = &unansweredProbe{ServerClient: f}
	})
	assert.NilError(t, err)
	assert.Equal(t, server, f.primary)
	assert.Assert(t, f.record.Ended)
}
