package backendserver

import (
	"context"
	"sync"
)

// statementCancel cancels the statement that a session executes.
type statementCancel struct {
	mu     sync.Mutex
	cancel context.CancelCauseFunc
}

// start returns the context of a new statement.
func (c *statementCancel) start(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	return ctx
}

// stop ends the statement.
func (c *statementCancel) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel(nil)
	c.cancel = nil
}

// cancelStatement cancels the current statement, if there is one.
func (x *session) cancelStatement() {
	x.cancel.mu.Lock()
	defer x.cancel.mu.Unlock()
	if x.cancel.cancel != nil {
		x.cancel.cancel(errCanceled)
	}
}
