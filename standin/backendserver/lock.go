package backendserver

import (
	"context"
	"slices"
	"sync"

	"basilmill/standin/internal/sql"
)

// locks holds the table locks of the write transactions of one epoch. A
// writer keeps its locks until its transaction ends; waiters are served in
// order.
type locks struct {
	mu     sync.Mutex
	owners map[tableID]*transaction
	queues map[tableID][]*waiter
	// waits maps a waiting transaction to the table it waits for.
	waits map[*transaction]tableID
	// ended is closed when the epoch ends.
	ended chan struct{}
}

type waiter struct {
	transaction *transaction
	granted     chan struct{}
}

func newLocks() *locks {
	return &locks{
		owners: map[tableID]*transaction{},
		queues: map[tableID][]*waiter{},
		waits:  map[*transaction]tableID{},
		ended:  make(chan struct{}),
	}
}

// acquire locks a table for a transaction. It returns early without the lock
// when the epoch ends; the caller checks the epoch before it writes.
func (l *locks) acquire(ctx context.Context, t *transaction, id tableID) error {
	w, err := l.enqueue(t, id)
	if w == nil || err != nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-l.ended:
		return nil
	case <-ctx.Done():
		l.abandon(w, id)
		return context.Cause(ctx)
	}
}

// enqueue takes a free lock, or returns the waiter to wait with.
func (l *locks) enqueue(t *transaction, id tableID) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch l.owners[id] {
	case t:
		return nil, nil
	case nil:
		l.owners[id] = t
		return nil, nil
	}
	if l.wouldDeadlock(t, id) {
		return nil, sql.Errorf(sql.DeadlockDetected, "deadlock detected")
	}
	w := &waiter{t, make(chan struct{})}
	l.queues[id] = append(l.queues[id], w)
	l.waits[t] = id
	return w, nil
}

// wouldDeadlock follows the chain of owners that wait for other owners.
func (l *locks) wouldDeadlock(t *transaction, id tableID) bool {
	for {
		owner := l.owners[id]
		if owner == t {
			return true
		}
		next, waiting := l.waits[owner]
		if !waiting {
			return false
		}
		id = next
	}
}

func (l *locks) abandon(w *waiter, id tableID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waits, w.transaction)
	l.queues[id] = slices.DeleteFunc(l.queues[id], func(other *waiter) bool { return other == w })
}

// release passes all locks of a transaction to the next waiters.
func (l *locks) release(t *transaction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, owner := range l.owners {
		if owner == t {
			l.pass(id)
		}
	}
}

func (l *locks) pass(id tableID) {
	queue := l.queues[id]
	if len(queue) == 0 {
		delete(l.owners, id)
		delete(l.queues, id)
		return
	}
	next := queue[0]
	l.queues[id] = queue[1:]
	l.owners[id] = next.transaction
	delete(l.waits, next.transaction)
	close(next.granted)
}
