package measure_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/e2e/measure"
)

// Guards against a request that goes round without waiting after its caller
// is gone, which kept a bubble from ending, and against a measurement that
// finds no gap.
func TestLossEnds(t *testing.T) {
	for i := range uint64(3) {
		gap, recovered := measure.KillPrimary(t, measure.Vandermeersch(), i)
		assert.Assert(t, recovered)
		assert.Assert(t, gap > 100*time.Millisecond && gap < 2*time.Second, "%s", gap)
	}
}
