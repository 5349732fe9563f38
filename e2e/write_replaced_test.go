package e2e_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/e2e/cluster"
	"basilmill/standin/pipenet"
)

// Guards against a replaced primary that acknowledges a write which matches no row. Its
// log has not grown, so that a confirmation from before the change of primary covers
// its position, but only the new primary can decide whether the write's condition
// holds.
func TestWriteWithoutEffectOnReplacedPrimary(t *testing.T) {
	defer startClockWatchdog(t, 30*time.Second)()
	virtual(t, config(t), func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		near, far := dial(t, v, 1, c.Hosts[0], "orders"), dial(t, v, 2, c.Hosts[1], "orders")
		exec(t, near, "CREATE TABLE report (id bigint PRIMARY KEY, state bigint)")
		exec(t, near, "INSERT INTO report VALUES (1, 0)")
		v.Partition(pipenet.BlackHole, "a", "host-1", cluster.ClientName(1))
		time.Sleep(2 * time.Second)
		exec(t, far, "UPDATE report SET state = 1 WHERE id = 1")
		tag, err := near.Exec(t.Context(), "UPDATE report SET state = 2 WHERE id = 1 AND state = 1")
		assert.Check(t, err != nil, "acknowledged with %q", tag)
		v.Heal()
		time.Sleep(time.Second)
		assert.NilError(t, near.Close(context.Background()))
		assert.NilError(t, far.Close(context.Background()))
	})
}
