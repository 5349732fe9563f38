// Package ack owns the acknowledgement gate of a group: completed writes wait
// in it until the named successor's evidence covers them.
//
// # What counts as proof
//
// A write that changed something and is at position (T, o) is done when one of the following is observed.
//
//  1. The successor of the record, in the record's term T and generation,
//     reports that it received o. Only that server can be promoted in T, and a
//     later successor must first catch up with the primary, so the write stays
//     in the history. The fact does not expire, also when it is observed with
//     a record that has been replaced meanwhile.
//  2. The primary of term T+1 reports that its term starts at or after o. It
//     was the successor in T, so its log up to the start is a prefix of T's
//     one log, and the write lies in that prefix. The new term's successor
//     becomes eligible only when it reports T+1, which it does from the start
//     of T+1 on, so the write stays in the history.
//
// The start of a term later than T+1 proves nothing: offsets continue across
// terms, so o may lie beyond the start of T+1, in a part that was discarded,
// and still before the start of T+2.
//
// A write that changed nothing, such as an UPDATE of no row, left no trace in
// the log: its position is the log's end, which an isolated primary that was
// replaced before may share with its successor. It is done when the successor
// answers as in 1 to a query that was sent after the write ran: then no later
// primary had been promoted when it ran. Proof 2 does not apply.
//
// When T+1 starts before o, the outcome is unknown and not "not run". A
// position is the end of the log after the write, which may include other
// writes, so the write itself may lie before the start.
package ack

import (
	"cmp"
	"container/heap"
	"container/list"
	"context"
	"sync"
	"time"

	"basilmill/core/group"
	"basilmill/core/outcome"
)

// Gate holds the writes of one group that wait for confirmation. The zero
// value is ready for use and safe for concurrent use.
type Gate struct {
	mu       sync.Mutex
	term     group.Term // highest term of an observed record
	evidence evidence
	start    termStart
	waiters  map[class]*offsetHeap
	arrivals list.List // of *waiter, oldest first
	wake     chan struct{}
}

// evidence is the best answer of a successor in the latest term and generation
// that one reported.
type evidence struct {
	term       group.Term
	generation group.Generation
	received   group.Offset
}

// termStart is where the latest term starts, as its primary reports it.
type termStart struct {
	term   group.Term
	offset group.Offset
}

// class groups the waiters that the same evidence can confirm.
type class struct {
	term       group.Term
	generation group.Generation
	// noEffect is set for writes that changed nothing.
	noEffect bool
}

type waiter struct {
	class   class
	offset  group.Offset
	since   time.Time
	result  chan error
	index   int // in its heap
	arrival *list.Element
}

// Confirm blocks until the write at p is confirmed. The generation is the one
// in which the primary wrote; evidence of an older one is not used for it,
// and zero accepts any. The error is an outcome.Unresolved: ctx ended, or a
// later term began in which the write is not proven to be contained.
func (g *Gate) Confirm(ctx context.Context, generation group.Generation, p group.Position) error {
	return g.confirm(ctx, class{term: p.Term, generation: generation}, p.Offset)
}

// ConfirmNoEffect is like Confirm for a write that changed nothing.
func (g *Gate) ConfirmNoEffect(ctx context.Context, generation group.Generation, p group.Position) error {
	return g.confirm(ctx, class{term: p.Term, generation: generation, noEffect: true}, p.Offset)
}

func (g *Gate) confirm(ctx context.Context, c class, offset group.Offset) error {
	w := &waiter{class: c, offset: offset, result: make(chan error, 1)}
	if decided, err := g.enter(w); decided {
		return err
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return g.leave(ctx, w)
	}
}

// Observe takes a status answer of a server together with the time at which
// its query was sent and the record that the host knows.
func (g *Gate) Observe(s group.Status, sentAt time.Time, r *group.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.term = max(g.term, r.Term)
	g.noteEvidence(s, r)
	g.noteStart(s, r)
	g.release()
	g.releaseNoEffect(s, sentAt, r)
}

// ObserveRecord takes a record without a status answer.
func (g *Gate) ObserveRecord(r *group.Record) { g.Observe(group.Status{}, time.Time{}, r) }

// OldestWait reports whether any write waits, and since when the oldest does. The
// status query is repeated back to back exactly while one waits.
func (g *Gate) OldestWait() (since time.Time, waiting bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if front := g.arrivals.Front(); front != nil {
		return front.Value.(*waiter).since, true
	}
	return time.Time{}, false
}

// HighestPosition returns the highest position that waits, zero if none does. It looks
// at every waiter and is meant for stalls, not for each write.
func (g *Gate) HighestPosition() (highest group.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for e := g.arrivals.Front(); e != nil; e = e.Next() {
		w := e.Value.(*waiter)
		if p := (group.Position{Term: w.class.term, Offset: w.offset}); p.Compare(highest) > 0 {
			highest = p
		}
	}
	return highest
}

// Wake returns a channel that receives a value after a write started to wait
// while no other did.
func (g *Gate) Wake() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.wakeChannel()
}

func (g *Gate) wakeChannel() chan struct{} {
	if g.wake == nil {
		g.wake = make(chan struct{}, 1)
	}
	return g.wake
}

func (g *Gate) noteEvidence(s group.Status, r *group.Record) {
	// The start of the log serves as a position that any evidence covers.
	if !s.Confirms(r, group.Position{Term: r.Term}) {
		return
	}
	e := evidence{s.Term, s.Generation, s.Received}
	switch cmp.Or(cmp.Compare(e.term, g.evidence.term), cmp.Compare(e.generation, g.evidence.generation)) {
	case 0:
		g.evidence.received = max(g.evidence.received, e.received)
	case 1:
		g.evidence = e
	}
}

func (e evidence) covers(c class, offset group.Offset) bool {
	return e.term == c.term && e.generation >= c.generation && e.received >= offset
}

func (g *Gate) noteStart(s group.Status, r *group.Record) {
	primary := s.Role == group.Primary && s.Server == r.Primary && s.Term == r.Term
	if primary && s.Term > g.start.term {
		g.start = termStart{s.Term, s.TermStart}
	}
}

// decide returns the fate of a write, if it is known.
func (g *Gate) decide(c class, offset group.Offset) (decided bool, err error) {
	switch {
	case !c.noEffect && g.evidence.covers(c, offset):
		return true, nil
	case !c.noEffect && g.start.term == c.term+1 && offset <= g.start.offset:
		return true, nil
	case g.start.term == c.term+1:
		return true, outcome.Unresolved("the primary was replaced before the write was confirmed", nil)
	case g.term > c.term+1, g.start.term > c.term+1:
		return true, outcome.Unresolved("the primary was replaced more than once before the write was confirmed", nil)
	default:
		return false, nil
	}
}

// enter adds w to the waiters unless its fate is known.
func (g *Gate) enter(w *waiter) (decided bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.since = time.Now()
	if decided, err = g.decide(w.class, w.offset); decided {
		return true, err
	}
	if g.arrivals.Len() == 0 {
		select {
		case g.wakeChannel() <- struct{}{}:
		default:
		}
	}
	w.arrival = g.arrivals.PushBack(w)
	heap.Push(g.heapOf(w.class), w)
	return false, nil
}

// leave ends the wait of w, unless its fate was decided meanwhile.
func (g *Gate) leave(ctx context.Context, w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case err := <-w.result:
		return err
	default:
	}
	h := g.waiters[w.class]
	heap.Remove(h, w.index)
	g.dropEmpty(w.class, h)
	g.arrivals.Remove(w.arrival)
	return outcome.Unresolved("the write was not confirmed in time", ctx.Err())
}

// release ends the waits whose fate is known. Within a class the lowest
// offsets are decided first.
func (g *Gate) release() {
	for c, h := range g.waiters {
		for h.Len() > 0 {
			decided, err := g.decide(c, (*h)[0].offset)
			if !decided {
				break
			}
			w := heap.Pop(h).(*waiter)
			g.arrivals.Remove(w.arrival)
			w.result <- err
		}
		g.dropEmpty(c, h)
	}
}

// releaseNoEffect ends the waits of writes that changed nothing and that the
// status confirms.
func (g *Gate) releaseNoEffect(s group.Status, sentAt time.Time, r *group.Record) {
	for c, h := range g.waiters {
		if !c.noEffect || c.generation > s.Generation {
			continue
		}
		for i := h.Len() - 1; i >= 0; i-- {
			w := (*h)[i]
			if sentAt.Before(w.since) || !s.Confirms(r, group.Position{Term: c.term, Offset: w.offset}) {
				continue
			}
			heap.Remove(h, i)
			g.arrivals.Remove(w.arrival)
			w.result <- nil
		}
		g.dropEmpty(c, h)
	}
}

func (g *Gate) heapOf(c class) *offsetHeap {
	if g.waiters == nil {
		g.waiters = map[class]*offsetHeap{}
	}
	h, ok := g.waiters[c]
	if !ok {
		h = &offsetHeap{}
		g.waiters[c] = h
	}
	return h
}

func (g *Gate) dropEmpty(c class, h *offsetHeap) {
	if h.Len() == 0 {
		delete(g.waiters, c)
	}
}

// offsetHeap is a heap.Interface of waiters, lowest offset first.
type offsetHeap []*waiter

func (h offsetHeap) Len() int           { return len(h) }
func (h offsetHeap) Less(i, j int) bool { return h[i].offset < h[j].offset }

func (h offsetHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *offsetHeap) Push(x any) {
	w := x.(*waiter)
	w.index = len(*h)
	*h = append(*h, w)
}

// Pop implements heap.Interface.
func (h *offsetHeap) Pop() any {
	last := len(*h) - 1
	w := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return w
}
