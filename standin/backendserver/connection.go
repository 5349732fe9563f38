package backendserver

import (
	"context"
	"net"
	"sync"

	"basilmill/core/group"
)

// peer is the other end of a connection, known from its start-up message.
type peer interface{ peer() }

type (
	client  struct{ application string }
	replica struct{ id group.ServerID }
)

func (client) peer()  {}
func (replica) peer() {}

// connection is a network connection that a black-hole cut can hold.
type connection struct {
	net.Conn
	// ctx ends when the server closes the connection.
	ctx    context.Context
	cancel context.CancelFunc
	// peer is nil until the start-up message is read. The server's mutex
	// guards it.
	peer peer

	mu   sync.Mutex
	held chan struct{} // closed when the hold ends; nil while not held
}

func newConnection(ctx context.Context, conn net.Conn) *connection {
	c := &connection{Conn: conn}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// Close closes the connection and interrupts what the session executes.
func (c *connection) Close() error {
	c.cancel()
	return c.Conn.Close()
}

// hold starts or ends a black hole.
func (c *connection) hold(held bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case held && c.held == nil:
		c.held = make(chan struct{})
	case !held && c.held != nil:
		close(c.held)
		c.held = nil
	}
}

// wait blocks while the connection is held.
func (c *connection) wait() error {
	c.mu.Lock()
	held := c.held
	c.mu.Unlock()
	if held == nil {
		return nil
	}
	select {
	case <-held:
		return nil
	case <-c.ctx.Done():
		return net.ErrClosed
	}
}

// Read reads from the connection. Bytes that arrive during a hold, and the
// end of the connection, are seen after it.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if held := c.wait(); held != nil {
		return 0, held
	}
	return n, err
}

// Write writes to the connection after any hold.
func (c *connection) Write(p []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}
