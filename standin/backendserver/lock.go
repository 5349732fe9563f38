package backendserver

import (
	"context"
	"slices"
	"sync"

	"basilmill/standin/internal/sql"
)

// lockTable holds the table locks of the write transactions of one write
// epoch. A transaction holds its locks until it ends. Waiting transactions
// get a lock in the order of their requests.
type lockTable struct {
	mu     sync.Mutex
	owners map[tableID]*transaction
	queues map[tableID][]*waiter
	// waitsFor maps a waiting transaction to the table whose lock it waits
	// for.
	waitsFor map[*transaction]tableID
	// epochEnded is closed when the write epoch ends.
	epochEnded chan struct{}
}

// waiter is a queued request of a transaction for the lock of a table.
type waiter struct {
	transaction *transaction
	granted     chan struct{} // closed when the transaction has the lock
}

func newLockTable() *lockTable {
	return &lockTable{
		owners:     map[tableID]*transaction{},
		queues:     map[tableID][]*waiter{},
		waitsFor:   map[*transaction]tableID{},
		epochEnded: make(chan struct{}),
	}
}

// acquire locks a table for a transaction. It returns nil without the lock
// when the write epoch ends, so the caller must check the epoch before it
// writes.
func (l *lockTable) acquire(ctx context.Context, t *transaction, id tableID) error {
	w, err := l.enqueue(t, id)
	if w == nil || err != nil {
		return err
	}
	select {
	case <-w.granted:
		return nil
	case <-l.epochEnded:
		return nil
	case <-ctx.Done():
		l.cancelWait(w, id)
		return context.Cause(ctx)
	}
}

// enqueue locks a table if it is free or already locked by the transaction.
// Otherwise it returns a waiter in the queue of the table.
func (l *lockTable) enqueue(t *transaction, id tableID) (*waiter, error) {
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
	l.waitsFor[t] = id
	return w, nil
}

// wouldDeadlock reports whether the owner of a table's lock waits, directly or
// through other owners, for a lock of the transaction.
func (l *lockTable) wouldDeadlock(t *transaction, id tableID) bool {
	for {
		owner := l.owners[id]
		if owner == t {
			return true
		}
		next, waiting := l.waitsFor[owner]
		if !waiting {
			return false
		}
		id = next
	}
}

// cancelWait removes a waiter from the queue of a table.
func (l *lockTable) cancelWait(w *waiter, id tableID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.waitsFor, w.transaction)
	l.queues[id] = slices.DeleteFunc(l.queues[id], func(other *waiter) bool { return other == w })
}

// release passes each lock of a transaction to the next waiter, or frees it.
func (l *lockTable) release(t *transaction) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, owner := range l.owners {
		if owner == t {
			l.grantNext(id)
		}
	}
}

// grantNext gives the lock of a table to the next waiter, or frees it.
func (l *lockTable) grantNext(id tableID) {
	queue := l.queues[id]
	if len(queue) == 0 {
		delete(l.owners, id)
		delete(l.queues, id)
		return
	}
	next := queue[0]
	l.queues[id] = queue[1:]
	l.owners[id] = next.transaction
	delete(l.waitsFor, next.transaction)
	close(next.granted)
}
