package pool

import (
	"cmp"
	"container/list"
	"iter"
	"slices"
	"time"

	"basilmill/core/account"
)

// quantum is the use that an account's turn assumes for each connection it
// holds. It is several times the 12 to 30 ms of an opening.
const quantum = 150 * time.Millisecond

// result is what a waiting request receives.
type result[T comparable] struct {
	value T
	err   error
}

// waiter is a request that waits for a connection.
type waiter[T comparable] struct {
	key     Key
	member  *member[T]
	number  uint64 // order of arrival
	since   time.Time
	ready   chan result[T]
	opening *opening[T]   // set while an opening serves it
	element *list.Element // set while it is in the queue
}

// member is an account that holds connections, waits, or has a share.
type member[T comparable] struct {
	id       account.ID
	share    Share
	hasShare bool
	// held counts connections in use and openings under way for the account.
	held int
	// waiting counts requests in the queue and those an opening serves.
	waiting int
	// used is the connection time used per weight up to usedAt, in seconds.
	used   float64
	usedAt time.Time
	queues map[Key]*list.List
}

func (m *member[T]) weight() float64 { return float64(max(m.share.Weight, 1)) }

// hold changes the number of held connections.
func (m *member[T]) hold(change int) {
	m.accrue()
	m.held += change
}

// accrue adds the time since usedAt to the used connection time.
func (m *member[T]) accrue() {
	now := time.Now()
	m.used += float64(m.held) * now.Sub(m.usedAt).Seconds() / m.weight()
	m.usedAt = now
}

// turn orders accounts: the used connection time if the account received one
// more connection and used each for a quantum.
func (m *member[T]) turn() float64 {
	m.accrue()
	return m.used + float64(m.held+1)*quantum.Seconds()/m.weight()
}

func (m *member[T]) atMax() bool { return m.share.Max > 0 && m.held >= m.share.Max }

// queue holds the waiting requests by account and key.
//
// Accounts that wait take turns in weighted round robin, measured in connection
// time: the account that used the least per weight comes first. A long
// transaction thus counts for its whole duration, and no account starves. The
// quantum per held connection spreads connections that become free at the same
// moment, and it lets accounts of different keys keep their own connections
// while their use is balanced within it; counting grants would close and open
// a connection at nearly every grant.
type queue[T comparable] struct {
	members map[account.ID]*member[T]
	// used is the highest use at which an account was served. Accounts that
	// start to wait continue from it, so that idle time earns no priority.
	used    float64
	next    uint64
	waiting int
}

// candidate is the first request of an account for a key.
type candidate[T comparable] struct {
	member *member[T]
	key    Key
	turn   float64
	number uint64
}

func newQueue[T comparable]() queue[T] {
	return queue[T]{members: map[account.ID]*member[T]{}}
}

func (q *queue[T]) member(id account.ID) *member[T] {
	m, ok := q.members[id]
	if !ok {
		m = &member[T]{id: id, usedAt: time.Now(), queues: map[Key]*list.List{}}
		q.members[id] = m
	}
	return m
}

func (q *queue[T]) setShare(id account.ID, share Share) {
	m := q.member(id)
	m.accrue()
	m.share = share
	m.hasShare = share != Share{}
	q.forget(m)
}

// forget drops a member without any state.
func (q *queue[T]) forget(m *member[T]) {
	if !m.hasShare && m.held == 0 && m.waiting == 0 {
		delete(q.members, m.id)
	}
}

func (q *queue[T]) admits(id account.ID, limit int) bool {
	if q.waiting >= limit {
		return false
	}
	m, ok := q.members[id]
	return !ok || m.share.QueueLimit <= 0 || m.waiting < m.share.QueueLimit
}

func (q *queue[T]) push(key Key, id account.ID) *waiter[T] {
	m := q.member(id)
	if m.waiting == 0 {
		m.accrue()
		m.used = max(m.used, q.used)
	}
	m.waiting++
	q.waiting++
	q.next++
	w := &waiter[T]{key: key, member: m, number: q.next, since: time.Now(), ready: make(chan result[T], 1)}
	w.element = m.queue(key).PushBack(w)
	return w
}

func (m *member[T]) queue(key Key) *list.List {
	l, ok := m.queues[key]
	if !ok {
		l = list.New()
		m.queues[key] = l
	}
	return l
}

// remove takes w out of its queue.
func (q *queue[T]) remove(w *waiter[T]) {
	l := w.member.queues[w.key]
	l.Remove(w.element)
	w.element = nil
	if l.Len() == 0 {
		delete(w.member.queues, w.key)
	}
}

// take grants the candidate's request: it leaves the queue and counts as held.
func (q *queue[T]) take(c candidate[T]) *waiter[T] {
	w := c.member.queues[c.key].Front().Value.(*waiter[T])
	q.remove(w)
	c.member.hold(1)
	q.used = max(q.used, c.member.used)
	return w
}

// putBack reverses take, in the order of arrival.
func (q *queue[T]) putBack(w *waiter[T]) {
	w.member.hold(-1)
	l := w.member.queue(w.key)
	for e := l.Front(); e != nil; e = e.Next() {
		if e.Value.(*waiter[T]).number > w.number {
			w.element = l.InsertBefore(w, e)
			return
		}
	}
	w.element = l.PushBack(w)
}

// release ends the holding of one connection or opening.
func (q *queue[T]) release(m *member[T]) {
	m.hold(-1)
	q.forget(m)
}

// finish ends the wait of w.
func (q *queue[T]) finish(w *waiter[T]) {
	w.member.waiting--
	q.waiting--
	q.forget(w.member)
}

// drainAll takes all requests out of the queue.
func (q *queue[T]) drainAll() iter.Seq[*waiter[T]] {
	return func(yield func(*waiter[T]) bool) {
		for _, c := range q.all() {
			for l := c.member.queues[c.key]; l.Len() > 0; {
				w := l.Front().Value.(*waiter[T])
				q.remove(w)
				if !yield(w) {
					return
				}
			}
		}
	}
}

func (q *queue[T]) all() (all []candidate[T]) {
	for _, m := range q.members {
		turn := m.turn()
		for key, l := range m.queues {
			all = append(all, candidate[T]{m, key, turn, l.Front().Value.(*waiter[T]).number})
		}
	}
	return all
}

// candidates lists the first requests per account and key in the order in
// which they should be served, without those of accounts at their maximum.
func (q *queue[T]) candidates() []candidate[T] {
	list := slices.DeleteFunc(q.all(), func(c candidate[T]) bool { return c.member.atMax() })
	slices.SortFunc(list, func(a, b candidate[T]) int {
		return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.number, b.number))
	})
	return list
}

// wants reports whether a request of the key waits and could use a connection.
func (q *queue[T]) wants(key Key) bool {
	for _, m := range q.members {
		if m.queues[key] != nil && !m.atMax() {
			return true
		}
	}
	return false
}
