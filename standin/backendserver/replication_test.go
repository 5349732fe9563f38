package backendserver_test

import (
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilmill/core/group"
	"basilmill/standin/backendserver"
)

// Guards against a promotion that loses received entries or that reports its
// term under another generation, and against a former primary that keeps the
// entries that were never replicated.
func TestPromotionDropsDivergedEntries(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
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
		c.exec(a, "INSERT INTO orders VALUES (3, 'lost'), (4, 'lost')")
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
		assert.Equal(t, c.number(a, "SELECT count(*) FROM orders"), int64(3))
		end := c.servers["b"].Status().Received
		for id, generation := range map[group.ServerID]group.Generation{"a": 0, "c": 2} {
			assert.DeepEqual(t, c.servers[id].Status(), group.Status{
				Server: id, Term: 2, TermStart: group.Offset(start), Generation: generation, Received: end, Applied: end,
			})
		}
	})
}

// Guards against a retired successor whose evidence still advances under its
// generation, also when it is reattached.
func TestSuccessorChange(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		c.add("b", nil)
		c.add("c", nil)
		a := c.connect("a")
		c.exec(a, "CREATE TABLE orders (id int PRIMARY KEY)")
		wait(time.Second)
		faults := c.servers["a"].Faults()
		faults.ReplicationDelay, faults.ReplicationTo = 50*time.Millisecond, []group.ServerID{"b"}
		c.servers["a"].SetFaults(faults)
		c.exec(a, "INSERT INTO orders VALUES (1)")
		held := c.servers["b"].Status()
		assert.Equal(t, held.Generation, group.Generation(1))
		end := c.number(a, "SELECT basilmill.set_successor(1, 2, 'c')")
		c.exec(a, "INSERT INTO orders VALUES (2)")
		wait(time.Second)
		for _, want := range []group.Status{{Server: "b", Generation: 0}, {Server: "c", Generation: 2}} {
			got := c.servers[want.Server].Status()
			assert.Equal(t, got.Generation, want.Generation)
			assert.Equal(t, got.Received, c.servers["a"].Status().Received)
			assert.Assert(t, int64(got.Received) > end && got.Received > held.Received)
		}
		_, err := a.Exec(c.ctx, "SELECT basilmill.set_successor(1, 1, 'b')")
		assert.Equal(t, code(err), "55000")
		_, err = c.connect("b").Exec(c.ctx, "SELECT basilmill.set_successor(1, 3, 'b')")
		assert.Equal(t, code(err), "55000")

		// The generation of the last feed stays after the feed ends.
		a.Close(c.ctx)
		faults.Cuts = []backendserver.Cut{{Mode: backendserver.Refuse, Replicas: []group.ServerID{"c"}}}
		c.servers["a"].SetFaults(faults)
		wait(time.Minute)
		assert.Equal(t, c.servers["c"].Status().Generation, group.Generation(2))
	})
}

// Guards against a delayed command of an older term, and against entries of a
// primary older than the commanded term.
func TestStaleCommands(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		c.add("b", nil)
		wait(time.Second)
		b := c.connect("b")
		c.number(b, "SELECT basilmill.follow(3, 'c', $1)", address("c").String())
		for _, command := range []string{
			"SELECT basilmill.promote(2, 2, '')", "SELECT basilmill.promote(3, 3, '')",
			"SELECT basilmill.follow(2, 'a', '10.0.0.97:5432')",
		} {
			_, err := b.Exec(c.ctx, command)
			assert.Equal(t, code(err), "55000", command)
		}
		c.number(b, "SELECT basilmill.follow(3, 'a', $1)", address("a").String())
		before := c.servers["b"].Status()
		a := c.connect("a")
		c.exec(a, "CREATE TABLE orders (id int)")
		wait(time.Minute)
		assert.DeepEqual(t, c.servers["b"].Status(), before)
		c.number(a, "SELECT basilmill.promote(3, 3, 'b')")
		wait(time.Minute)
		assert.Equal(t, c.servers["b"].Status().Term, group.Term(3))
		assert.Equal(t, c.servers["b"].Status().Generation, group.Generation(3))
	})
}

// Guards against received entries that are visible before they are applied,
// and against a promotion that waits for the apply delay.
func TestDelays(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		c.add("b", nil)
		wait(time.Second)
		c.servers["a"].SetFaults(backendserver.Faults{ReplicationDelay: 100 * time.Millisecond})
		c.servers["b"].SetFaults(backendserver.Faults{ApplyDelay: time.Second, Leaving: true})
		before := c.servers["b"].Status()
		c.exec(c.connect("a"), "CREATE TABLE orders (id int)")
		written := c.servers["a"].Status().Received
		wait(90 * time.Millisecond)
		assert.Equal(t, c.servers["b"].Status().Received, before.Received)
		wait(20 * time.Millisecond)
		status := c.servers["b"].Status()
		assert.Assert(t, status.Leaving)
		assert.Equal(t, status.Received, written)
		assert.Equal(t, status.Applied, before.Applied)
		wait(time.Second)
		assert.Equal(t, c.servers["b"].Status().Applied, written)

		a, b := c.connect("a"), c.connect("b")
		c.exec(a, "INSERT INTO orders VALUES (1)")
		wait(200 * time.Millisecond)
		assert.Equal(t, c.number(b, "SELECT count(*) FROM orders"), int64(0))
		c.number(b, "SELECT basilmill.promote(2, 2, '')")
		assert.Equal(t, c.number(b, "SELECT count(*) FROM orders"), int64(1))
	})
}

// Guards against a replica that does not find its restarted primary, and one
// that discards its entries for a primary that lost its own.
func TestPrimaryRestarts(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		stop := c.add("a", nil)
		c.add("b", nil)
		c.exec(c.connect("a"), "CREATE TABLE orders (id int PRIMARY KEY)")
		wait(time.Second)
		stop()
		wait(time.Minute)
		c.restart("a")
		wait(time.Second)
		c.exec(c.connect("a"), "INSERT INTO orders VALUES (1)")
		wait(time.Second)
		received := c.servers["b"].Status()
		assert.DeepEqual(t, received.Received, c.servers["a"].Status().Received)
		assert.Equal(t, received.Generation, group.Generation(1))

		c.stops["a"]()
		c.add("a", nil)
		wait(time.Second)
		assert.DeepEqual(t, c.servers["b"].Status(), received)
	})
}

// Guards against servers that differ after any sequence of writes, stalls,
// cuts, restarts and changes of primary.
func TestServersConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 5, 40).Draw(r, "steps")
		inBubble(t, func(_ *testing.T, c *cluster) { c.converge(steps) })
	})
}

// converge runs steps on three servers, then removes all faults and compares
// the tables and positions.
func (c *cluster) converge(steps []int) {
	c.t.Cleanup(func() {
		if c.t.Failed() {
			c.t.Log("steps", steps)
		}
	})
	ids := []group.ServerID{"a", "b", "c"}
	for _, id := range ids {
		c.add(id, nil)
	}
	primary, term := group.ServerID("a"), group.Term(1)
	wait(time.Second)
	c.exec(c.connect(primary), "CREATE TABLE orders (id int PRIMARY KEY, term int)")
	wait(time.Second)
	promote := func(id group.ServerID) {
		primary, term = id, term+1
		c.exec(c.connect(id), "SELECT basilmill.promote($1, $2, '')", term, term)
	}
	for i, step := range steps {
		id := ids[step%len(ids)]
		switch step / 20 {
		case 0:
			c.servers[primary].SetFaults(backendserver.Faults{
				ReplicationDelay: time.Duration(step) * time.Millisecond, ReplicationTo: []group.ServerID{id},
			})
		case 1:
			c.servers[primary].SetFaults(backendserver.Faults{
				Cuts: []backendserver.Cut{{Mode: backendserver.CutMode(step % 2), Replicas: []group.ServerID{id}}},
			})
		case 2:
			c.stops[id]()
			c.restart(id)
		case 3:
			if c.servers[id].Status().Term > 0 && id != primary {
				promote(id)
			}
		default:
			conn := c.connect(primary)
			c.exec(conn, "INSERT INTO orders VALUES ($1, $2) ON CONFLICT DO NOTHING", step, term)
			c.exec(conn, "UPDATE orders SET term = $1 WHERE id = $2", term, i)
		}
		wait(time.Duration(step) * time.Millisecond)
	}
	for _, id := range ids {
		c.servers[id].SetFaults(backendserver.Faults{})
		if id != primary {
			c.exec(c.connect(id), "SELECT basilmill.follow($1, $2, $3)", term, primary, address(primary).String())
		}
	}
	c.exec(c.connect(primary), "INSERT INTO orders VALUES (1000, 0)")
	wait(5 * time.Second)
	want := c.contents(primary)
	for _, id := range ids {
		assert.DeepEqual(c.t, c.contents(id), want)
		assert.Equal(c.t, c.servers[id].Status().Applied, c.servers[primary].Status().Applied)
	}
}

func (c *cluster) contents(id group.ServerID) [][2]int32 {
	rows, _ := c.connect(id).Query(c.ctx, "SELECT * FROM orders ORDER BY id")
	contents, err := pgx.CollectRows(rows, func(r pgx.CollectableRow) (pair [2]int32, err error) {
		return pair, r.Scan(&pair[0], &pair[1])
	})
	assert.NilError(c.t, err)
	return contents
}
