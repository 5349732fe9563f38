// Package budget bounds the memory that clients can make a process hold. It counts bytes
// where they are taken, for each connection, and chooses which connection to close when
// bytes or places run out.
package budget

import (
	"errors"
	"sync"
	"time"
)

// ErrExceeded is the error of a message that was received and discarded, because the
// budget was in use.
var ErrExceeded = errors.New("the memory for clients is in use")

// choiceInterval is the time between two choices of a connection to close for its bytes.
// A connection that has been closed gives its bytes back within it.
const choiceInterval = 10 * time.Millisecond

// FreeState is the state of each session that does not count: some ten prepared statements
// of ordinary size. settings.Entry.ClientMemory sets it aside for all sessions.
const FreeState = 8 << 10

// Limits that the callbacks of a Budget name.
const (
	Memory      = "memory"
	Places      = "connections"
	MessageTime = "message time"
)

// Kind is what bytes are used for. Each kind has a share of the budget.
type Kind int

// Kinds of bytes.
const (
	// Message is a message of a client from its first byte to its answer.
	Message Kind = iota
	// Answer is an answer that is being received from a server, or that a client has not read.
	Answer
	// State is what a session keeps between two statements.
	State
	kinds
)

// Shares of the budget, as divisors and factors. Messages leave a part to answers, which
// end the work that has been accepted. State leaves most to messages, because it may stay
// for long.
var shares = [kinds]struct{ factor, divisor int64 }{Message: {3, 4}, Answer: {1, 1}, State: {1, 4}}

// Phase is what a connection is doing.
type Phase int

// Phases of a connection. In all but Idle and Executing the process waits for the client.
const (
	// Starting is the phase before the client has identified itself.
	Starting Phase = iota
	Idle
	// Receiving means that a part of a message has been received.
	Receiving
	Executing
	// Sending means that an answer is being written.
	Sending
)

// waitsForClient reports whether the process waits for the client in the phase.
func (p Phase) waitsForClient() bool { return p == Starting || p == Receiving || p == Sending }

// Budget is the memory that clients may take of a process. It is safe for concurrent
// use. The zero value and nil have no limit.
type Budget struct {
	// OnClose, if set, is called before a connection is closed, with its peer.
	OnClose func(peer, limit string)
	// OnRefuse, if set, is called when bytes are refused to a connection.
	OnRefuse func(peer, limit string)

	limit int64

	mu      sync.Mutex
	used    int64
	byKind  [kinds]int64
	holders map[*Holder]struct{}
	// chosenAt is when a connection was last chosen to be closed for its bytes.
	chosenAt time.Time
	// closable and holdings are reused by each choice.
	closable []*Holder
	holdings []Holding
}

// New returns a budget of limit bytes. Zero means no limit.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Limit returns the size of the budget, zero without one.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Holder counts the bytes of one connection. The methods of nil do nothing and allow
// everything.
type Holder struct {
	budget *Budget
	peer   string
	close  func()

	// All fields below are guarded by budget.mu.
	held [kinds]int64
	// state is the state of the session, with the part that does not count.
	state   int64
	place   bool
	phase   Phase
	since   time.Time
	movedAt time.Time
	moved   int64
	removed bool
}

// Open returns the holder of a connection with a peer. close ends the connection when
// the budget requires it; nil means never.
func (b *Budget) Open(peer string, closeConn func()) *Holder {
	if b == nil {
		return nil
	}
	now := time.Now()
	h := &Holder{budget: b, peer: peer, close: closeConn, since: now, movedAt: now}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.holders == nil {
		b.holders = map[*Holder]struct{}{}
	}
	b.holders[h] = struct{}{}
	return h
}

// OpenCaller is Open for a caller's connection, which takes one of the callers' places.
func (b *Budget) OpenCaller(peer string, closeConn func()) *Holder {
	h := b.Open(peer, closeConn)
	if h != nil {
		b.mu.Lock()
		defer b.mu.Unlock()
		h.place = true
	}
	return h
}

// Close gives back everything that the connection holds. Calls after the first do
// nothing, and nothing can be taken any more.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.remove()
}

// remove is Close for callers that hold the lock.
func (h *Holder) remove() {
	h.removed = true
	for kind, n := range h.held {
		h.add(Kind(kind), -n)
	}
	delete(h.budget.holders, h)
}

func (h *Holder) add(kind Kind, n int64) {
	h.held[kind] += n
	h.budget.byKind[kind] += n
	h.budget.used += n
}

// Take takes n bytes. It returns false if that would exceed the budget or the share of
// the kind, after the connection that holds the most for the longest has been closed.
func (h *Holder) Take(kind Kind, n int) bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	if h.removed {
		b.mu.Unlock()
		return false
	}
	bytes := int64(n)
	if kind == State {
		bytes = countedState(h.state+int64(n)) - countedState(h.state)
	}
	share := b.limit / shares[kind].divisor * shares[kind].factor
	// The share of answers is the whole budget; messages must leave the rest to them.
	inUse := b.used
	if kind == State {
		inUse = b.byKind[State]
	}
	if b.limit == 0 || inUse+bytes <= share {
		h.add(kind, bytes)
		if kind == State {
			h.state += int64(n)
		}
		b.mu.Unlock()
		return true
	}
	victim := b.choose(kind, h, time.Now())
	b.mu.Unlock()
	if b.OnRefuse != nil {
		b.OnRefuse(h.peer, Memory)
	}
	b.end(victim, Memory)
	return false
}

// Force takes n bytes that are in use already, also beyond the budget. In that case the
// connection that holds the most for the longest is closed.
func (h *Holder) Force(kind Kind, n int) {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	if !h.removed {
		h.add(kind, int64(n))
	}
	var victim *Holder
	if b.exceeded() {
		victim = b.choose(Answer, h, time.Now())
	}
	b.mu.Unlock()
	b.end(victim, Memory)
}

// exceeded reports whether more is in use than the budget allows.
func (b *Budget) exceeded() bool { return b.limit > 0 && b.used > b.limit }

// Return gives n bytes back, at most those that are held.
func (h *Holder) Return(kind Kind, n int) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	bytes := min(int64(n), h.held[kind])
	if kind == State {
		left := max(h.state-int64(n), 0)
		bytes = countedState(h.state) - countedState(left)
		h.state = left
	}
	h.add(kind, -min(bytes, h.held[kind]))
}

// countedState returns how much of a session's state counts.
func countedState(state int64) int64 { return max(state-FreeState, 0) }

// Enter notes that the connection enters a phase.
func (h *Holder) Enter(phase Phase) {
	if h == nil {
		return
	}
	now := time.Now()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.phase, h.since, h.movedAt, h.moved = phase, now, now, 0
}

// Progress notes that n bytes have been received from the client or accepted by it. An
// idle connection has begun to receive a message then.
func (h *Holder) Progress(n int) {
	if h == nil {
		return
	}
	now := time.Now()
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.phase == Idle {
		h.phase, h.since, h.moved = Receiving, now, 0
	}
	h.movedAt = now
	h.moved += int64(n)
}

// MakePlace closes the connection without progress for the longest time. It returns
// false if there is none that may be closed.
func (b *Budget) MakePlace() bool {
	b.mu.Lock()
	holders, holdings := b.list(time.Now())
	victim := (*Holder)(nil)
	if i := Slowest(holdings); i >= 0 {
		victim = holders[i]
		victim.remove()
	}
	b.mu.Unlock()
	b.end(victim, Places)
	return victim != nil
}

// maxClosings bounds the connections that one call of CloseOverdue closes for their bytes.
const maxClosings = 100

// CloseOverdue closes the connections whose message has begun and takes too long, and the
// heaviest ones while more is in use than the budget allows.
func (b *Budget) CloseOverdue() {
	now := time.Now()
	b.mu.Lock()
	var overdue, heavy []*Holder
	holders, holdings := b.list(now)
	for i, holding := range holdings {
		if Overdue(holding) {
			holders[i].remove()
			overdue = append(overdue, holders[i])
		}
	}
	for b.exceeded() && len(heavy) < maxClosings {
		holders, holdings = b.list(now)
		i := Heaviest(holdings)
		if i < 0 {
			break
		}
		holders[i].remove()
		heavy = append(heavy, holders[i])
	}
	b.mu.Unlock()
	for _, victim := range overdue {
		b.end(victim, MessageTime)
	}
	for _, victim := range heavy {
		b.end(victim, Memory)
	}
}

// choose removes and returns the connection to close when bytes of a kind have run out for
// another one, nil if there is none. A session that only meets its own state goes on.
func (b *Budget) choose(kind Kind, asking *Holder, now time.Time) *Holder {
	if now.Sub(b.chosenAt) < choiceInterval {
		return nil
	}
	b.chosenAt = now
	holders, holdings := b.list(now)
	i := Heaviest(holdings)
	if kind == State {
		i = LargestState(holdings, b.limit)
	}
	if i < 0 || kind == State && holders[i] == asking {
		return nil
	}
	holders[i].remove()
	return holders[i]
}

// list returns the connections that can be closed. The result is valid until the next call.
func (b *Budget) list(now time.Time) ([]*Holder, []Holding) {
	clear(b.closable)
	b.closable, b.holdings = b.closable[:0], b.holdings[:0]
	for h := range b.holders {
		if h.close == nil {
			continue
		}
		b.closable = append(b.closable, h)
		b.holdings = append(b.holdings, Holding{
			Bytes: h.held[Message] + h.held[Answer], State: h.held[State], Place: h.place, Phase: h.phase, Age: now.Sub(h.since), Moved: h.moved, Stalled: now.Sub(h.movedAt),
		})
	}
	return b.closable, b.holdings
}

// end closes a connection that has been removed from the budget.
func (b *Budget) end(victim *Holder, limit string) {
	if victim == nil {
		return
	}
	if b.OnClose != nil {
		b.OnClose(victim.peer, limit)
	}
	victim.close()
}
