package backendserver

import (
	"context"
	"sync"
)

// statementCancel holds the cancel function of the statement that a session
// is executing, if any.
type statementCancel struct {
	mu     sync.Mutex
	cancel context.CancelCauseFunc
}

// start returns the context in which a new statement is executed.
func (c *statementCancel) start(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancelCause(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel = cancel
	return ctx
}

// stop releases the context after the statement has completed.
func (c *statementCancel) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel(nil)
	c.cancel = nil
}

// cancelStatement cancels the statement that is being executed, if any.
func (x *session) cancelStatement() {
	x.cancel.mu.Lock()
	defer x.cancel.mu.Unlock()
	if x.cancel.cancel != nil {
		x.cancel.cancel(errCanceled)
	}
}
