package backendserver_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/standin/backendserver"
)

// Guards against writers that see or overwrite each other's uncommitted rows,
// waits that ignore a cancel request, and locks that outlive a connection.
func TestWriterLocks(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		first, second := c.connect("a"), c.connect("a")
		c.exec(first, "CREATE TABLE orders (id int PRIMARY KEY, n int)")
		c.exec(first, "INSERT INTO orders VALUES (1, 0)")
		c.exec(first, "BEGIN")
		c.exec(first, "UPDATE orders SET n = n + 5 WHERE id = 1")
		c.exec(first, "INSERT INTO orders VALUES (2, 0)")
		assert.Equal(t, c.number(first, "SELECT count(*) FROM orders WHERE n = 5"), int64(1))
		assert.Equal(t, c.number(second, "SELECT n FROM orders WHERE id = 1"), int64(0))

		canceled := c.connect("a")
		ended := make(chan error)
		go func() {
			_, err := canceled.Exec(c.ctx, "INSERT INTO orders VALUES (3, 0)")
			ended <- err
		}()
		wait(time.Second)
		assert.NilError(t, canceled.PgConn().CancelRequest(c.ctx))
		assert.Equal(t, code(<-ended), "57014")
		assert.NilError(t, canceled.Ping(c.ctx))

		go func() {
			_, err := second.Exec(c.ctx, "UPDATE orders SET n = n + 1 WHERE id = 1")
			ended <- err
		}()
		wait(time.Second)
		select {
		case err := <-ended:
			t.Fatalf("the second writer did not wait: %v", err)
		default:
		}
		assert.NilError(t, first.Close(c.ctx))
		assert.NilError(t, <-ended)
		assert.Equal(t, c.number(second, "SELECT n FROM orders WHERE id = 1"), int64(1))
		assert.Equal(t, c.number(second, "SELECT count(*) FROM orders"), int64(1))
	})
}

// Guards against a deadlock that never ends.
func TestDeadlock(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		first, second := c.connect("a"), c.connect("a")
		c.exec(first, "CREATE TABLE x (n int); CREATE TABLE y (n int)")
		c.exec(first, "BEGIN; INSERT INTO x VALUES (1)")
		c.exec(second, "BEGIN; INSERT INTO y VALUES (1)")
		ended := make(chan error)
		go func() {
			_, err := first.Exec(c.ctx, "INSERT INTO y VALUES (1)")
			ended <- err
		}()
		wait(time.Second)
		_, err := second.Exec(c.ctx, "INSERT INTO x VALUES (1)")
		assert.Equal(t, code(err), "40P01")
		assert.NilError(t, <-ended)
	})
}

// Guards against a planned change that loses writes: open transactions finish
// within the limit, later ones are refused, and nothing follows the final
// offset.
func TestQuiesce(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", func(config *backendserver.Config) { config.QuiesceTimeout = 100 * time.Millisecond })
		open, late, other, operator := c.connect("a"), c.connect("a"), c.connect("a"), c.connect("a")
		c.exec(open, "CREATE TABLE orders (id int PRIMARY KEY); CREATE TABLE slow (id int)")
		c.exec(open, "BEGIN; INSERT INTO orders VALUES (1)")
		c.exec(late, "BEGIN; INSERT INTO slow VALUES (1)")
		final := make(chan int64)
		started := time.Now()
		go func() { final <- c.number(operator, "SELECT basilmill.quiesce(1)") }()
		wait(10 * time.Millisecond)
		_, err := other.Exec(c.ctx, "INSERT INTO orders VALUES (2)")
		assert.Equal(t, code(err), "25006")
		c.exec(open, "INSERT INTO orders VALUES (3)")
		c.exec(open, "COMMIT")
		offset := <-final
		assert.Assert(t, time.Since(started) >= 100*time.Millisecond)
		_, err = late.Exec(c.ctx, "COMMIT")
		assert.Equal(t, code(err), "40001")
		assert.Equal(t, c.servers["a"].Status().Received, group.Offset(offset))
		assert.Equal(t, c.number(other, "SELECT count(*) FROM orders"), int64(2))
	})
}

// Guards against a former primary that completes writes begun in its term.
func TestDemotionFailsOpenWrites(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		c.add("b", nil)
		holder, waiting, operator := c.connect("a"), c.connect("a"), c.connect("a")
		c.exec(holder, "CREATE TABLE orders (id int PRIMARY KEY)")
		c.exec(holder, "BEGIN; INSERT INTO orders VALUES (1)")
		ended := make(chan error)
		go func() {
			_, err := waiting.Exec(context.WithoutCancel(c.ctx), "INSERT INTO orders VALUES (2)")
			ended <- err
		}()
		wait(time.Second)
		c.number(operator, "SELECT basilmill.follow(2, 'b', $1)", address("b").String())
		assert.Equal(t, code(<-ended), "25006")
		_, err := holder.Exec(c.ctx, "COMMIT")
		assert.Equal(t, code(err), "40001")
		assert.Equal(t, c.number(operator, "SELECT count(*) FROM orders"), int64(0))
	})
}
