package backendserver

import (
	"context"
	"net"
	"sync"

	"basilmill/core/group"
)

// peer identifies the other end of a connection by its start-up message.
type peer interface{ peer() }

type (
	clientPeer  struct{ application string }
	replicaPeer struct{ id group.ServerID }
)

func (clientPeer) peer()  {}
func (replicaPeer) peer() {}

// connection is a network connection that a cut in mode BlackHole can block.
type connection struct {
	net.Conn
	// ctx is done when the server closes the connection.
	ctx    context.Context
	cancel context.CancelFunc
	// peer is nil until the start-up message has been read. It is guarded by
	// the server's mutex.
	peer peer

	mu        sync.Mutex
	unblocked chan struct{} // closed when the block ends; nil while not blocked
}

func newConnection(ctx context.Context, conn net.Conn) *connection {
	c := &connection{Conn: conn}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// Close closes the connection and cancels the statement that is being executed
// on it.
func (c *connection) Close() error {
	c.cancel()
	return c.Conn.Close()
}

// setBlocked starts or ends the blocking of reads and writes.
func (c *connection) setBlocked(blocked bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case blocked && c.unblocked == nil:
		c.unblocked = make(chan struct{})
	case !blocked && c.unblocked != nil:
		close(c.unblocked)
		c.unblocked = nil
	}
}

// waitUntilUnblocked waits while the connection is blocked. It returns
// net.ErrClosed if the connection is closed meanwhile.
func (c *connection) waitUntilUnblocked() error {
	c.mu.Lock()
	unblocked := c.unblocked
	c.mu.Unlock()
	if unblocked == nil {
		return nil
	}
	select {
	case <-unblocked:
		return nil
	case <-c.ctx.Done():
		return net.ErrClosed
	}
}

// Read reads from the connection. What arrives while the connection is
// blocked, be it bytes or the end of the connection, is returned after the
// block has ended.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if blockErr := c.waitUntilUnblocked(); blockErr != nil {
		return 0, blockErr
	}
	return n, err
}

// Write writes to the connection, after the block has ended if there is one.
func (c *connection) Write(p []byte) (int, error) {
	if err := c.waitUntilUnblocked(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
