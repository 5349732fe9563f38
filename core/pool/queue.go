package pool

import (
	"cmp"
	"container/list"
	"iter"
	"slices"
	"time"

	"basilmill/core/account"
)

// quantum is the time for which each connection is assumed to be used when
// accounts are ordered. It is several times the 12 to 30 ms that an opening
// takes, so that accounts of different keys seldom evict each other's
// connections.
const quantum = 150 * time.Millisecond

// result is the connection or the error that ends the wait of a request.
type result[T comparable] struct {
	value T
	err   error
}

// waiter is a request that waits for a connection.
type waiter[T comparable] struct {
	key        Key
	account    *accountState[T]
	sequence   uint64 // order of arrival
	enqueuedAt time.Time
	ready      chan result[T]
	opening    *opening[T]   // set while an opening is assigned to it
	element    *list.Element // set while the request is in the queue
}

// accountState is the state of an account that holds connections, has waiting
// requests or has a share.
type accountState[T comparable] struct {
	id       account.ID
	share    Share
	hasShare bool
	// held counts the connections in use and the openings assigned to the
	// requests of the account.
	held int
	// waiting counts the requests in the queue and those with an opening.
	waiting int
	// usage is the connection time used up to usageAt, in seconds, divided by
	// the weight.
	usage   float64
	usageAt time.Time
	queues  map[Key]*list.List
}

func (a *accountState[T]) weight() float64 { return float64(max(a.share.Weight, 1)) }

// addHeld adds change, which may be negative, to the number of held
// connections.
func (a *accountState[T]) addHeld(change int) {
	a.accrue()
	a.held += change
}

// accrue adds the connection time used since usageAt to the usage.
func (a *accountState[T]) accrue() {
	now := time.Now()
	a.usage += float64(a.held) * now.Sub(a.usageAt).Seconds() / a.weight()
	a.usageAt = now
}

// virtualFinish returns the usage that the account would reach if it got one
// more connection and used all its connections for a quantum. Accounts are
// served in ascending order of it.
func (a *accountState[T]) virtualFinish() float64 {
	a.accrue()
	return a.usage + float64(a.held+1)*quantum.Seconds()/a.weight()
}

// atMax reports whether the account holds as many connections as its share
// allows.
func (a *accountState[T]) atMax() bool { return a.share.Max > 0 && a.held >= a.share.Max }

// queue holds the waiting requests by account and key.
//
// It implements weighted fair queueing by connection time: the account with the
// least usage per weight is served first. A long transaction therefore counts
// for its whole duration, and no account starves. The quantum added for each
// held connection spreads connections that become free at the same moment over
// the accounts. It also lets accounts of different keys keep their connections
// while their usage differs by less than a quantum; fair queueing by number of
// grants would close and open a connection at nearly every grant.
type queue[T comparable] struct {
	accounts map[account.ID]*accountState[T]
	// virtualTime is the highest usage at which an account was served. The
	// usage of an account that starts to wait is raised to it, so that an
	// account gains no priority from the time in which it was idle.
	virtualTime  float64
	lastSequence uint64
	waiting      int
}

// candidate refers to the first waiting request of an account for a key.
type candidate[T comparable] struct {
	account       *accountState[T]
	key           Key
	virtualFinish float64
	sequence      uint64
}

func newQueue[T comparable]() queue[T] {
	return queue[T]{accounts: map[account.ID]*accountState[T]{}}
}

// account returns the state of an account and adds it if necessary.
func (q *queue[T]) account(id account.ID) *accountState[T] {
	a, ok := q.accounts[id]
	if !ok {
		a = &accountState[T]{id: id, usageAt: time.Now(), queues: map[Key]*list.List{}}
		q.accounts[id] = a
	}
	return a
}

func (q *queue[T]) setShare(id account.ID, share Share) {
	a := q.account(id)
	a.accrue()
	a.share = share
	a.hasShare = share != Share{}
	q.dropIfUnused(a)
}

// dropIfUnused removes an account that has no share, holds no connection and has
// no waiting request.
func (q *queue[T]) dropIfUnused(a *accountState[T]) {
	if !a.hasShare && a.held == 0 && a.waiting == 0 {
		delete(q.accounts, a.id)
	}
}

// admits reports whether the queue has room for another request of the account.
// Limit bounds the requests of all accounts.
func (q *queue[T]) admits(id account.ID, limit int) bool {
	if q.waiting >= limit {
		return false
	}
	a, ok := q.accounts[id]
	return !ok || a.share.QueueLimit <= 0 || a.waiting < a.share.QueueLimit
}

// push appends a request to the queue of its account and key.
func (q *queue[T]) push(key Key, id account.ID) *waiter[T] {
	a := q.account(id)
	if a.waiting == 0 {
		a.accrue()
		a.usage = max(a.usage, q.virtualTime)
	}
	a.waiting++
	q.waiting++
	q.lastSequence++
	w := &waiter[T]{key: key, account: a, sequence: q.lastSequence, enqueuedAt: time.Now(), ready: make(chan result[T], 1)}
	w.element = a.queue(key).PushBack(w)
	return w
}

func (a *accountState[T]) queue(key Key) *list.List {
	l, ok := a.queues[key]
	if !ok {
		l = list.New()
		a.queues[key] = l
	}
	return l
}

// remove removes w from the queue of its account and key.
func (q *queue[T]) remove(w *waiter[T]) {
	l := w.account.queues[w.key]
	l.Remove(w.element)
	w.element = nil
	if l.Len() == 0 {
		delete(w.account.queues, w.key)
	}
}

// take removes the candidate's request from the queue and counts a held
// connection for its account.
func (q *queue[T]) take(c candidate[T]) *waiter[T] {
	w := c.account.queues[c.key].Front().Value.(*waiter[T])
	q.remove(w)
	c.account.addHeld(1)
	q.virtualTime = max(q.virtualTime, c.account.usage)
	return w
}

// putBack reverses take. The request returns to its place by order of arrival.
func (q *queue[T]) putBack(w *waiter[T]) {
	w.account.addHeld(-1)
	l := w.account.queue(w.key)
	for e := l.Front(); e != nil; e = e.Next() {
		if e.Value.(*waiter[T]).sequence > w.sequence {
			w.element = l.InsertBefore(w, e)
			return
		}
	}
	w.element = l.PushBack(w)
}

// release subtracts one held connection or opening from the account.
func (q *queue[T]) release(a *accountState[T]) {
	a.addHeld(-1)
	q.dropIfUnused(a)
}

// finish subtracts w from the waiting requests.
func (q *queue[T]) finish(w *waiter[T]) {
	w.account.waiting--
	q.waiting--
	q.dropIfUnused(w.account)
}

// takeAll removes all requests from the queue and yields them.
func (q *queue[T]) takeAll() iter.Seq[*waiter[T]] {
	return func(yield func(*waiter[T]) bool) {
		for _, c := range q.heads() {
			for l := c.account.queues[c.key]; l.Len() > 0; {
				w := l.Front().Value.(*waiter[T])
				q.remove(w)
				if !yield(w) {
					return
				}
			}
		}
	}
}

// heads returns the first request of each account and key, in no order.
func (q *queue[T]) heads() (heads []candidate[T]) {
	for _, a := range q.accounts {
		finish := a.virtualFinish()
		for key, l := range a.queues {
			heads = append(heads, candidate[T]{a, key, finish, l.Front().Value.(*waiter[T]).sequence})
		}
	}
	return heads
}

// candidates returns the first request of each account and key in the order in
// which they should be served. It leaves out accounts at their maximum.
func (q *queue[T]) candidates() []candidate[T] {
	eligible := slices.DeleteFunc(q.heads(), func(c candidate[T]) bool { return c.account.atMax() })
	slices.SortFunc(eligible, func(a, b candidate[T]) int {
		return cmp.Or(cmp.Compare(a.virtualFinish, b.virtualFinish), cmp.Compare(a.sequence, b.sequence))
	})
	return eligible
}

// hasEligible reports whether a request for the key waits whose account is not at
// its maximum.
func (q *queue[T]) hasEligible(key Key) bool {
	for _, a := range q.accounts {
		if a.queues[key] != nil && !a.atMax() {
			return true
		}
	}
	return false
}
