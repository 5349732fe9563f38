package backendserver_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/group"
)

// Guards against a promotion that loses received entries or that reports its
// term under another generation, and against a former primary that keeps the
// entries that were never replicated.
func TestPromotionDropsDivergedEntries(t *testing.T) {
	inBubble(t, func(c *cluster) {
		c.add("a", nil)
		c.add("b", nil)
		c.add("c", nil)
		wait(time.Second)
		a, b := c.connect("a"), c.connect("b")
		c.exec(a, "CREATE TABLE orders (id int PRIMARY KEY, note text)")
		c.exec(a, "INSERT INTO orders VALUES ($1, $2), ($3, $4)", 1, "x", 2, "y")
		wait(time.Second)
		assert.Equal(t, c.number(b, "SELECT count(*) FROM orders"), int64(2))
		confirmed := c.servers["a"].Status()
		assert.DeepEqual(t, c.servers["b"].Status(), group.Status{
			Server: "b", Term: 1, Generation: 1, Received: confirmed.Received, Applied: confirmed.Applied,
		})
		assert.Equal(t, c.servers["c"].Status().Generation, group.Generation(0))

		faults := c.servers["a"].Faults()
		faults.ReplicationStalled = true
		c.servers["a"].SetFaults(faults)
		c.exec(a, "INSERT INTO orders VALUES (3, 'lost')")
		start := c.number(b, "SELECT basilmill.promote($1, $2, $3)", 2, 2, "c")
		assert.Equal(t, group.Offset(start), confirmed.Received)
		assert.Equal(t, c.number(b, "SELECT basilmill.promote(2, 2, 'c')"), start)
		assert.Equal(t, c.servers["b"].Status().Role, group.Primary)
		assert.Equal(t, c.servers["c"].Status().Term, group.Term(1))

		c.number(a, "SELECT basilmill.follow(2, 'b', $1)", address("b").String())
		c.number(c.connect("c"), "SELECT basilmill.follow(2, 'b', $1)", address("b").String())
		c.exec(b, "INSERT INTO orders VALUES (3, 'kept')")
		wait(time.Second)
		var note string
		assert.NilError(t, a.QueryRow(c.ctx, "SELECT note FROM orders WHERE id = 3").Scan(&note))
		assert.Equal(t, note, "kept")
		end := c.servers["b"].Status().Received
		for id, generation := range map[group.ServerID]group.Generation{"a": 0, "c": 2} {
			assert.DeepEqual(t, c.servers[id].Status(), group.Status{
				Server: id, Term: 2, TermStart: group.Offset(start), Generation: generation, Received: end, Applied: end,
			})
		}
	})
}
