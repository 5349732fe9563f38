package e2e_test

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"

	"basilmill/core/settings"
	"basilmill/e2e/cluster"
)

// Guards against request keys that are deleted within their retention, and against a
// key table that grows without bound.
func TestRequestKeysExpire(t *testing.T) {
	conf := config(t)
	conf.Account.KeyRetention = 3 * time.Minute
	// Frequent probes would make minutes of virtual time slow to simulate.
	conf.Settings = func(s *settings.Settings) { s.ProbeInterval = 2 * time.Second }
	virtual(t, conf, func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		conn := dial(t, v, 1, c.Hosts[0], "orders")
		exec(t, conn, "CREATE TABLE report (id bigint PRIMARY KEY)")
		keyed := func(key string, id int) {
			exec(t, conn, "SET basilmill.request_key = '"+key+"'")
			exec(t, conn, "INSERT INTO report VALUES ($1)", id)
		}
		keyed("old", 1)
		time.Sleep(4*time.Minute + 30*time.Second)
		keyed("recent", 2)
		time.Sleep(time.Minute)
		rows, err := conn.Query(t.Context(), "SELECT key FROM basilmill.request_key")
		assert.NilError(t, err)
		keys, err := pgx.CollectRows(rows, pgx.RowTo[string])
		assert.NilError(t, err)
		assert.DeepEqual(t, keys, []string{"recent"})
		assert.NilError(t, conn.Close(context.Background()))
	})
}
