package measure_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/e2e/measure"
)

// Guards against a request that is retried without a pause after its caller is gone,
// so that the bubble never ends, and against a measurement without a failover gap.
func TestLossEnds(t *testing.T) {
	for i := range uint64(3) {
		gap, recovered := measure.KillPrimary(t, measure.Vandermeersch(), i)
		assert.Assert(t, recovered)
		assert.Assert(t, gap > 100*time.Millisecond && gap < 2*time.Second, "%s", gap)
	}
}
