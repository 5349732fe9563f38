package backendserver_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/standin/backendserver"
)

// Guards against transactions that see or overwrite each other's uncommitted
// rows, lock waits that ignore a cancel request, and locks that are not
// released when a connection closes.
func TestWriterLocks(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		first, second := c.connect("a"), c.connect("a")
		c.exec(first, "CREATE TABLE orders (id int PRIMARY KEY, n int)")
		c.exec(first, "INSERT INTO orders VALUES (1, 0)")
		c.exec(first, "BEGIN")
		c.exec(first, "UPDATE orders SET n = n + 5 WHERE id = 1")
		c.exec(first, "INSERT INTO orders VALUES (2, 0)")
		assert.Equal(t, c.queryInt(first, "SELECT count(*) FROM orders WHERE n = 5"), int64(1))
		assert.Equal(t, c.queryInt(second, "SELECT n FROM orders WHERE id = 1"), int64(0))

		cancelled := c.connect("a")
		ended := make(chan error)
		go func() {
			_, err := cancelled.Exec(c.ctx, "INSERT INTO orders VALUES (3, 0)")
			ended <- err
		}()
		advance(time.Second)
		assert.NilError(t, cancelled.PgConn().CancelRequest(c.ctx))
		assert.Equal(t, sqlState(<-ended), "57014")
		assert.NilError(t, cancelled.Ping(c.ctx))

		go func() {
			_, err := second.Exec(c.ctx, "UPDATE orders SET n = n + 1 WHERE id = 1")
			ended <- err
		}()
		advance(time.Second)
		select {
		case err := <-ended:
			t.Fatalf("the second writer did not wait: %v", err)
		default:
		}
		assert.NilError(t, first.Close(c.ctx))
		assert.NilError(t, <-ended)
		assert.Equal(t, c.queryInt(second, "SELECT n FROM orders WHERE id = 1"), int64(1))
		assert.Equal(t, c.queryInt(second, "SELECT count(*) FROM orders"), int64(1))
	})
}

// Guards against a deadlock that is not detected.
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
		advance(time.Second)
		_, err := second.Exec(c.ctx, "INSERT INTO x VALUES (1)")
		assert.Equal(t, sqlState(err), "40P01")
		assert.NilError(t, <-ended)
	})
}

// Guards against a planned change of primary that loses writes. During quiesce,
// open transactions may finish within the timeout, later ones are refused, and
// nothing is written past the returned offset.
func TestQuiesce(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", func(config *backendserver.Config) { config.QuiesceTimeout = 100 * time.Millisecond })
		open, unfinished, other, operator := c.connect("a"), c.connect("a"), c.connect("a"), c.connect("a")
		c.exec(open, "CREATE TABLE orders (id int PRIMARY KEY); CREATE TABLE slow (id int)")
		c.exec(open, "BEGIN; INSERT INTO orders VALUES (1)")
		c.exec(unfinished, "BEGIN; INSERT INTO slow VALUES (1)")
		finalOffset := make(chan int64)
		started := time.Now()
		go func() { finalOffset <- c.queryInt(operator, "SELECT basilmill.quiesce(1)") }()
		advance(10 * time.Millisecond)
		_, err := other.Exec(c.ctx, "INSERT INTO orders VALUES (2)")
		assert.Equal(t, sqlState(err), "25006")
		c.exec(open, "INSERT INTO orders VALUES (3)")
		c.exec(open, "COMMIT")
		offset := <-finalOffset
		assert.Assert(t, time.Since(started) >= 100*time.Millisecond)
		_, err = unfinished.Exec(c.ctx, "COMMIT")
		assert.Equal(t, sqlState(err), "40001")
		assert.Equal(t, c.servers["a"].Status().Received, group.Offset(offset))
		assert.Equal(t, c.queryInt(other, "SELECT count(*) FROM orders"), int64(2))
	})
}

// Guards against a former primary that commits write transactions begun in its
// term.
func TestDemotionFailsOpenWrites(t *testing.T) {
	inBubble(t, func(t *testing.T, c *cluster) {
		c.add("a", nil)
		c.add("b", nil)
		lockHolder, waiting, operator := c.connect("a"), c.connect("a"), c.connect("a")
		c.exec(lockHolder, "CREATE TABLE orders (id int PRIMARY KEY)")
		c.exec(lockHolder, "BEGIN; INSERT INTO orders VALUES (1)")
		ended := make(chan error)
		go func() {
			_, err := waiting.Exec(context.WithoutCancel(c.ctx), "INSERT INTO orders VALUES (2)")
			ended <- err
		}()
		advance(time.Second)
		c.queryInt(operator, "SELECT basilmill.follow(2, 'b', $1)", address("b").String())
		assert.Equal(t, sqlState(<-ended), "25006")
		_, err := lockHolder.Exec(c.ctx, "COMMIT")
		assert.Equal(t, sqlState(err), "40001")
		assert.Equal(t, c.queryInt(operator, "SELECT count(*) FROM orders"), int64(0))
	})
}
