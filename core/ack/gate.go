// Package ack holds back the acknowledgement of writes. A write that the
// primary has executed waits until status answers prove that no change of
// primary can lose it.
//
// # What counts as proof
//
// A write that changed something and is at term T and offset o is confirmed
// when one of the following is observed.
//
//  1. The successor of the record, in the record's term T and generation,
//     reports that it received o. Only that server can be promoted from T, and
//     a later successor must first catch up with the primary, so the write is
//     never lost. The proof does not expire and is valid even if the record
//     has been replaced in the meantime.
//  2. The primary of term T+1 reports that its term starts at or after o. It
//     was the successor in T, so its log up to the start is a prefix of T's
//     log, and the write lies in that prefix. The successor of T+1 becomes
//     eligible only when it reports T+1, which it does only from the start of
//     T+1 on, so the write is never lost.
//
// The start of a term later than T+1 proves nothing. Offsets continue across
// terms, so o may lie before the start of T+2 although it lies after the start
// of T+1, in a part of the log that was discarded.
//
// A write that changed nothing, such as an UPDATE of no row, is not in the log.
// Its position is the end of the log, which an isolated primary that has
// already been replaced may share with its successor. It is confirmed when the
// successor answers as in 1 to a query that was sent after the write ran,
// because then no later primary had been promoted when it ran. Proof 2 does not
// apply.
//
// If T+1 starts before o, the outcome of the write is unknown rather than "not
// run". Its position is the end of the log after it, which may include other
// writes, so the write itself may lie before the start of T+1.
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

// Gate is the set of writes of one group that wait for confirmation. Status
// answers passed to Observe release them. The zero value is ready for use. A
// Gate is safe for concurrent use.
type Gate struct {
	mu          sync.Mutex
	highestTerm group.Term // highest term of an observed record
	evidence    evidence
	termStart   termStart
	waiters     map[waiterClass]*offsetHeap
	byArrival   list.List // of *waiter, oldest first
	wakeup      chan struct{}
}

// evidence is the highest offset that a successor reported as received, in the
// latest term and generation that a successor reported.
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

// waiterClass groups the waiters that the same evidence can confirm.
type waiterClass struct {
	term       group.Term
	generation group.Generation
	// noEffect is set for writes that changed nothing.
	noEffect bool
}

type waiter struct {
	class          waiterClass
	offset         group.Offset
	arrivedAt      time.Time
	result         chan error
	heapIndex      int // index in its heap
	arrivalElement *list.Element
}

// Confirm waits until the write at p is confirmed. The generation is the
// primary's when it executed the write; evidence of an older generation does
// not count for it, and zero accepts any. The error is an outcome.Unresolved:
// ctx ended, or a later term began that is not proven to contain the write.
func (g *Gate) Confirm(ctx context.Context, generation group.Generation, p group.Position) error {
	return g.confirm(ctx, waiterClass{term: p.Term, generation: generation}, p.Offset)
}

// ConfirmNoEffect is like Confirm for a write that changed nothing.
func (g *Gate) ConfirmNoEffect(ctx context.Context, generation group.Generation, p group.Position) error {
	return g.confirm(ctx, waiterClass{term: p.Term, generation: generation, noEffect: true}, p.Offset)
}

func (g *Gate) confirm(ctx context.Context, c waiterClass, offset group.Offset) error {
	w := &waiter{class: c, offset: offset, result: make(chan error, 1)}
	if decided, err := g.addWaiter(w); decided {
		return err
	}
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
		return g.removeWaiter(ctx, w)
	}
}

// Observe processes a server's status answer. sentAt is when its query was sent
// and r the host's record of the group.
func (g *Gate) Observe(s group.Status, sentAt time.Time, r *group.Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.highestTerm = max(g.highestTerm, r.Term)
	g.recordEvidence(s, r)
	g.recordTermStart(s, r)
	g.releaseDecided()
	g.releaseNoEffect(s, sentAt, r)
}

// ObserveRecord processes a record without a status answer.
func (g *Gate) ObserveRecord(r *group.Record) { g.Observe(group.Status{}, time.Time{}, r) }

// OldestWait reports whether any write waits and since when the oldest one
// does. While one waits, the caller repeats the status query without a pause.
func (g *Gate) OldestWait() (since time.Time, waiting bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if front := g.byArrival.Front(); front != nil {
		return front.Value.(*waiter).arrivedAt, true
	}
	return time.Time{}, false
}

// HighestPosition returns the highest position of a waiting write, zero if none
// waits. It takes time linear in the number of waiters, so it should be called
// for stalled writes and not for each write.
func (g *Gate) HighestPosition() (highest group.Position) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for e := g.byArrival.Front(); e != nil; e = e.Next() {
		w := e.Value.(*waiter)
		if p := (group.Position{Term: w.class.term, Offset: w.offset}); p.Compare(highest) > 0 {
			highest = p
		}
	}
	return highest
}

// Wake returns a channel that receives a value when a write starts to wait
// while no other is waiting.
func (g *Gate) Wake() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.wakeChannel()
}

func (g *Gate) wakeChannel() chan struct{} {
	if g.wakeup == nil {
		g.wakeup = make(chan struct{}, 1)
	}
	return g.wakeup
}

func (g *Gate) recordEvidence(s group.Status, r *group.Record) {
	// Every status that confirms anything confirms offset zero.
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

func (e evidence) covers(c waiterClass, offset group.Offset) bool {
	return e.term == c.term && e.generation >= c.generation && e.received >= offset
}

func (g *Gate) recordTermStart(s group.Status, r *group.Record) {
	primary := s.Role == group.Primary && s.Server == r.Primary && s.Term == r.Term
	if primary && s.Term > g.termStart.term {
		g.termStart = termStart{s.Term, s.TermStart}
	}
}

// outcomeOf returns the outcome of a write, if it is decided.
func (g *Gate) outcomeOf(c waiterClass, offset group.Offset) (decided bool, err error) {
	switch {
	case !c.noEffect && g.evidence.covers(c, offset):
		return true, nil
	case !c.noEffect && g.termStart.term == c.term+1 && offset <= g.termStart.offset:
		return true, nil
	case g.termStart.term == c.term+1:
		return true, outcome.Unresolved("the primary was replaced before the write was confirmed", nil)
	case g.highestTerm > c.term+1, g.termStart.term > c.term+1:
		return true, outcome.Unresolved("the primary was replaced more than once before the write was confirmed", nil)
	default:
		return false, nil
	}
}

// addWaiter adds w to the waiters unless its outcome is already decided.
func (g *Gate) addWaiter(w *waiter) (decided bool, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.arrivedAt = time.Now()
	if decided, err = g.outcomeOf(w.class, w.offset); decided {
		return true, err
	}
	if g.byArrival.Len() == 0 {
		select {
		case g.wakeChannel() <- struct{}{}:
		default:
		}
	}
	w.arrivalElement = g.byArrival.PushBack(w)
	heap.Push(g.heapOf(w.class), w)
	return false, nil
}

// removeWaiter ends the wait of w after ctx has ended, unless its outcome has
// been decided in the meantime.
func (g *Gate) removeWaiter(ctx context.Context, w *waiter) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case err := <-w.result:
		return err
	default:
	}
	h := g.waiters[w.class]
	heap.Remove(h, w.heapIndex)
	g.deleteIfEmpty(w.class, h)
	g.byArrival.Remove(w.arrivalElement)
	return outcome.Unresolved("the write was not confirmed in time", ctx.Err())
}

// releaseDecided releases the waiters whose outcome is decided. Within a class
// the lowest offsets are decided first.
func (g *Gate) releaseDecided() {
	for c, h := range g.waiters {
		for h.Len() > 0 {
			decided, err := g.outcomeOf(c, (*h)[0].offset)
			if !decided {
				break
			}
			w := heap.Pop(h).(*waiter)
			g.byArrival.Remove(w.arrivalElement)
			w.result <- err
		}
		g.deleteIfEmpty(c, h)
	}
}

// releaseNoEffect releases the writes without effect that the status confirms.
func (g *Gate) releaseNoEffect(s group.Status, sentAt time.Time, r *group.Record) {
	for c, h := range g.waiters {
		if !c.noEffect || c.generation > s.Generation {
			continue
		}
		for i := h.Len() - 1; i >= 0; i-- {
			w := (*h)[i]
			if sentAt.Before(w.arrivedAt) || !s.Confirms(r, group.Position{Term: c.term, Offset: w.offset}) {
				continue
			}
			heap.Remove(h, i)
			g.byArrival.Remove(w.arrivalElement)
			w.result <- nil
		}
		g.deleteIfEmpty(c, h)
	}
}

func (g *Gate) heapOf(c waiterClass) *offsetHeap {
	if g.waiters == nil {
		g.waiters = map[waiterClass]*offsetHeap{}
	}
	h, ok := g.waiters[c]
	if !ok {
		h = &offsetHeap{}
		g.waiters[c] = h
	}
	return h
}

func (g *Gate) deleteIfEmpty(c waiterClass, h *offsetHeap) {
	if h.Len() == 0 {
		delete(g.waiters, c)
	}
}

// offsetHeap is a heap of waiters, lowest offset first.
type offsetHeap []*waiter

func (h offsetHeap) Len() int           { return len(h) }
func (h offsetHeap) Less(i, j int) bool { return h[i].offset < h[j].offset }

func (h offsetHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *offsetHeap) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(*h)
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
