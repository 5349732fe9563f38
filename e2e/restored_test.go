package e2e_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/account"
	"basilmill/e2e/cluster"
	standin "basilmill/standin/platform"
)

// restorePlatform restores the platform from a copy, after an outage of two seconds.
func restorePlatform(c *cluster.Cluster, from standin.Copy) {
	c.Platform.SetOutage(standin.Unavailable)
	time.Sleep(2 * time.Second)
	c.Platform.Restore(from)
	c.Platform.SetOutage(standin.NoOutage)
}

// putAccount stores an account that differs from that of the configuration in its id.
func putAccount(t *testing.T, c *cluster.Cluster, template account.Template, id account.ID) {
	t.Helper()
	template = template.Clone()
	template.ID = id
	template.Groups = []account.Claim{{Group: "naamboek", Databases: []string{string(id)}}}
	assert.NilError(t, c.PutAccount(template))
}

// Guards against hosts that stay with a replaced configuration because the versions of
// its changes were given out before the platform's store was restored.
func TestConfigAfterARestorationIsInForce(t *testing.T) {
	conf := config(t)
	conf.Hosts = 9
	virtual(t, conf, func(t *testing.T, c *cluster.Cluster, _ *cluster.VirtualNetwork) {
		from := c.Platform.Copy()
		for _, id := range []account.ID{"lost1", "lost2", "lost3"} {
			putAccount(t, c, conf.Account, id)
			time.Sleep(time.Second)
		}
		time.Sleep(inForceTimeout)
		restorePlatform(c, from)
		putAccount(t, c, conf.Account, "later")
		time.Sleep(inForceTimeout)
		for _, h := range c.Hosts {
			assert.Check(t, slices.Contains(h.Status().Accounts, "later"), "%s: %v", h.Self().ID, h.Status().Accounts)
			assert.Check(t, slices.Contains(h.Status().Accounts, "lost2"), "%s: %v", h.Self().ID, h.Status().Accounts)
		}
	})
}

// Guards against an account that hosts which start later don't know, because the store
// that was restored has lost it.
func TestConfigThatTheStoreLostIsWrittenAgain(t *testing.T) {
	virtual(t, config(t), func(t *testing.T, c *cluster.Cluster, _ *cluster.VirtualNetwork) {
		from := c.Platform.Copy()
		template := config(t).Account.Clone()
		template.Slots = 7
		assert.NilError(t, c.PutAccount(template))
		putAccount(t, c, template, "lost")
		time.Sleep(inForceTimeout)
		restorePlatform(c, from)
		time.Sleep(inForceTimeout)
		again, err := c.Account("vandermeersch")
		assert.NilError(t, err)
		assert.Check(t, again.Slots == 7, "%d", again.Slots)
		_, err = c.Account("lost")
		assert.Check(t, err)
	})
}

// Guards against a record that reverts to a primary which was replaced, because the store
// was restored from a copy of before.
func TestConfigOfAGroupDoesNotRevertWithTheStore(t *testing.T) {
	virtual(t, config(t), func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
		conn := dial(t, v, 1, c.Hosts[0], "orders")
		exec(t, conn, "CREATE TABLE report (id bigint PRIMARY KEY)")
		from := c.Platform.Copy()
		c.Servers[0].Kill()
		exec(t, conn, "INSERT INTO report VALUES (1)")
		time.Sleep(5 * time.Second)
		before, err := c.Record()
		assert.NilError(t, err)
		restorePlatform(c, from)
		for id := 2; id < 40; id++ {
			time.Sleep(250 * time.Millisecond)
			exec(t, conn, "INSERT INTO report VALUES ($1)", id)
			for _, h := range c.Hosts {
				assert.Check(t, h.Status().Groups[0].Term >= int64(before.Term), "%s", h.Self().ID)
			}
		}
		after, err := c.Record()
		assert.NilError(t, err)
		assert.Check(t, after.Term >= before.Term)
		assert.Check(t, after.Primary == before.Primary)
		var rows int
		assert.Check(t, conn.QueryRow(t.Context(), "SELECT count(*) FROM report").Scan(&rows) == nil)
		assert.Check(t, rows == 39, "%d", rows)
		assert.NilError(t, conn.Close(t.Context()))
	})
}
