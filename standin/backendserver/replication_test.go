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

// Guards against a promotion that loses received entries or reports a wrong
// term or generation, and against a former primary that keeps entries that
// were not replicated before the promotion.
func TestPromotionDropsDivergedEntries(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		c.add("b", nil)
		c.add("c", nil)
		advance(time.Second)
		a, b := c.connect("a"), c.connect("b")
		c.exec(a, "CREATE TABLE orders (id int PRIMARY KEY, note text)")
		c.exec(a, "INSERT INTO orders VALUES ($1, $2), ($3, $4)", 1, "x", 2, "y")
		advance(time.Second)
		assert.Equal(t, c.queryInt(b, "SELECT count(*) FROM orders"), int64(2))
		replicated := c.servers["a"].Status()
		assert.DeepEqual(t, c.servers["b"].Status(), group.Status{
			Server: "b", Term: 1, Generation: 1, Received: replicated.Received, Applied: replicated.Applied,
		})
		assert.Equal(t, c.servers["c"].Status().Generation, group.Generation(0))

		faults := c.servers["a"].Faults()
		faults.ReplicationStalled = true
		c.servers["a"].SetFaults(faults)
		c.exec(a, "INSERT INTO orders VALUES (3, 'lost'), (4, 'lost')")
		start := c.queryInt(b, "SELECT basilmill.promote($1, $2, $3)", 2, 2, "c")
		assert.Equal(t, group.Offset(start), replicated.Received)
		assert.Equal(t, c.queryInt(b, "SELECT basilmill.promote(2, 2, 'c')"), start)
		assert.Equal(t, c.servers["b"].Status().Role, group.Primary)
		assert.Equal(t, c.servers["c"].Status().Term, group.Term(1))

		c.queryInt(a, "SELECT basilmill.follow(2, 'b', $1)", address("b").String())
		c.queryInt(c.connect("c"), "SELECT basilmill.follow(2, 'b', $1)", address("b").String())
		c.exec(b, "INSERT INTO orders VALUES (3, 'kept')")
		advance(time.Second)
		var note string
		assert.NilError(t, a.QueryRow(c.ctx, "SELECT note FROM orders WHERE id = 3").Scan(&note))
		assert.Equal(t, note, "kept")
		assert.Equal(t, c.queryInt(a, "SELECT count(*) FROM orders"), int64(3))
		end := c.servers["b"].Status().Received
		for id, generation := range map[group.ServerID]group.Generation{"a": 0, "c": 2} {
			assert.DeepEqual(t, c.servers[id].Status(), group.Status{
				Server: id, Term: 2, TermStart: group.Offset(start), Generation: generation, Received: end, Applied: end,
			})
		}
	})
}

// Guards against a former successor that still receives entries under its old
// generation, also after it has reconnected.
func TestSuccessorChange(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		c.add("b", nil)
		c.add("c", nil)
		a := c.connect("a")
		c.exec(a, "CREATE TABLE orders (id int PRIMARY KEY)")
		advance(time.Second)
		faults := c.servers["a"].Faults()
		faults.ReplicationDelay, faults.ReplicationTo = 50*time.Millisecond, []group.ServerID{"b"}
		c.servers["a"].SetFaults(faults)
		c.exec(a, "INSERT INTO orders VALUES (1)")
		before := c.servers["b"].Status()
		assert.Equal(t, before.Generation, group.Generation(1))
		end := c.queryInt(a, "SELECT basilmill.set_successor(1, 2, 'c')")
		c.exec(a, "INSERT INTO orders VALUES (2)")
		advance(time.Second)
		for _, want := range []group.Status{{Server: "b", Generation: 0}, {Server: "c", Generation: 2}} {
			got := c.servers[want.Server].Status()
			assert.Equal(t, got.Generation, want.Generation)
			assert.Equal(t, got.Received, c.servers["a"].Status().Received)
			assert.Assert(t, int64(got.Received) > end && got.Received > before.Received)
		}
		_, err := a.Exec(c.ctx, "SELECT basilmill.set_successor(1, 1, 'b')")
		assert.Equal(t, sqlState(err), "55000")
		_, err = c.connect("b").Exec(c.ctx, "SELECT basilmill.set_successor(1, 3, 'b')")
		assert.Equal(t, sqlState(err), "55000")

		// A replica keeps the generation of its last replication stream after
		// the stream has ended.
		a.Close(c.ctx)
		faults.Cuts = []backendserver.Cut{{Mode: backendserver.Refuse, Replicas: []group.ServerID{"c"}}}
		c.servers["a"].SetFaults(faults)
		advance(time.Minute)
		assert.Equal(t, c.servers["c"].Status().Generation, group.Generation(2))
	})
}

// Guards against a replica that obeys a delayed command of an older term, or
// accepts entries from a primary whose term is lower than the commanded one.
func TestStaleCommands(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		c.add("b", nil)
		advance(time.Second)
		b := c.connect("b")
		c.queryInt(b, "SELECT basilmill.follow(3, 'c', $1)", address("c").String())
		for _, command := range []string{
			"SELECT basilmill.promote(2, 2, '')", "SELECT basilmill.promote(3, 3, '')",
			"SELECT basilmill.follow(2, 'a', '10.0.0.97:5432')",
		} {
			_, err := b.Exec(c.ctx, command)
			assert.Equal(t, sqlState(err), "55000", command)
		}
		c.queryInt(b, "SELECT basilmill.follow(3, 'a', $1)", address("a").String())
		before := c.servers["b"].Status()
		a := c.connect("a")
		c.exec(a, "CREATE TABLE orders (id int)")
		advance(time.Minute)
		assert.DeepEqual(t, c.servers["b"].Status(), before)
		c.queryInt(a, "SELECT basilmill.promote(3, 3, 'b')")
		advance(time.Minute)
		assert.Equal(t, c.servers["b"].Status().Term, group.Term(3))
		assert.Equal(t, c.servers["b"].Status().Generation, group.Generation(3))
	})
}

// Guards against entries that are sent or applied before the injected delay has
// passed, and against a promotion that waits for the apply delay.
func TestDelays(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		c.add("b", nil)
		advance(time.Second)
		c.servers["a"].SetFaults(backendserver.Faults{ReplicationDelay: 100 * time.Millisecond})
		c.servers["b"].SetFaults(backendserver.Faults{ApplyDelay: time.Second, Leaving: true})
		before := c.servers["b"].Status()
		c.exec(c.connect("a"), "CREATE TABLE orders (id int)")
		written := c.servers["a"].Status().Received
		advance(90 * time.Millisecond)
		assert.Equal(t, c.servers["b"].Status().Received, before.Received)
		advance(20 * time.Millisecond)
		status := c.servers["b"].Status()
		assert.Assert(t, status.Leaving)
		assert.Equal(t, status.Received, written)
		assert.Equal(t, status.Applied, before.Applied)
		advance(time.Second)
		assert.Equal(t, c.servers["b"].Status().Applied, written)

		a, b := c.connect("a"), c.connect("b")
		c.exec(a, "INSERT INTO orders VALUES (1)")
		advance(200 * time.Millisecond)
		assert.Equal(t, c.queryInt(b, "SELECT count(*) FROM orders"), int64(0))
		c.queryInt(b, "SELECT basilmill.promote(2, 2, '')")
		assert.Equal(t, c.queryInt(b, "SELECT count(*) FROM orders"), int64(1))
	})
}

// Guards against a replica that does not reconnect to its restarted primary,
// and against a replica that truncates its log to follow a primary that lost
// its own entries.
func TestPrimaryRestarts(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		stop := c.add("a", nil)
		c.add("b", nil)
		c.exec(c.connect("a"), "CREATE TABLE orders (id int PRIMARY KEY)")
		advance(time.Second)
		stop()
		advance(time.Minute)
		c.restart("a")
		advance(time.Second)
		c.exec(c.connect("a"), "INSERT INTO orders VALUES (1)")
		advance(time.Second)
		received := c.servers["b"].Status()
		assert.DeepEqual(t, received.Received, c.servers["a"].Status().Received)
		assert.Equal(t, received.Generation, group.Generation(1))

		c.stopFuncs["a"]()
		c.add("a", nil)
		advance(time.Second)
		assert.DeepEqual(t, c.servers["b"].Status(), received)
	})
}

// Guards against servers whose tables differ after any sequence of writes,
// replication delays, cuts, restarts and changes of primary.
func TestServersConverge(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, 99), 5, 40).Draw(r, "steps")
		inBubble(t, func(_ *testing.T, c *cluster) { c.converge(steps) })
	})
}

// converge runs steps on three servers, then removes all faults and compares
// the tables and positions of the servers. Each step number selects an action
// and a server.
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
	advance(time.Second)
	c.exec(c.connect(primary), "CREATE TABLE orders (id int PRIMARY KEY, term int)")
	advance(time.Second)
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
			c.stopFuncs[id]()
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
		advance(time.Duration(step) * time.Millisecond)
	}
	for _, id := range ids {
		c.servers[id].SetFaults(backendserver.Faults{})
		if id != primary {
			c.exec(c.connect(id), "SELECT basilmill.follow($1, $2, $3)", term, primary, address(primary).String())
		}
	}
	c.exec(c.connect(primary), "INSERT INTO orders VALUES (1000, 0)")
	advance(5 * time.Second)
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
