package ratelimit

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"basilmill/core/account"
	"basilmill/core/host"
)

const (
	// maxWait bounds the wait of an operation for a token.
	maxWait = 200 * time.Millisecond
	// drawTimeout bounds a draw from another host: two round trips between regions and
	// the opening of a connection, on hosts with a fifth of a core.
	drawTimeout = 100 * time.Millisecond
	// slowThreshold is how long a draw may be unanswered before the operations that wait
	// for it ask other coordinators too. It exceeds two round trips between regions.
	slowThreshold = 40 * time.Millisecond
	// avoidTime is how long a coordinator that did not answer is avoided.
	avoidTime = time.Second
	// startRetryAfter is the time after which a host that started less than StartTime ago
	// asks a coordinator again that did not answer or holds no part yet: after a loss of
	// power, the coordinators start at the same time as this host.
	startRetryAfter = 50 * time.Millisecond
)

// Network sends draws to other hosts.
type Network interface {
	// Draw takes tokens from the parts of a host. The grants are in the order of the
	// demands.
	Draw(ctx context.Context, info host.Info, demands []Demand) ([]Grant, error)
}

// DrawResult is the result of a demand.
type DrawResult int

// Results of demands.
const (
	Granted DrawResult = iota
	PartlyGranted
	UsedUp
	NotAssigned
	Unanswered
)

// String returns the result in lower case.
func (r DrawResult) String() string {
	switch r {
	case Granted:
		return "granted"
	case PartlyGranted:
		return "partly granted"
	case UsedUp:
		return "used up"
	case NotAssigned:
		return "not assigned"
	default:
		return "unanswered"
	}
}

// Client admits operations with tokens that it draws from the coordinators. It is safe for
// concurrent use.
type Client struct {
	// Local holds the parts of this host.
	Local   *Coordinator
	Self    host.ID
	Network Network
	// Clock is a monotonic clock that includes the time the machine is suspended, so that
	// tokens expire meanwhile.
	Clock func() time.Duration
	// ObserveDraw, if set, is called with the result of each demand, and must not block.
	ObserveDraw func(account.ID, DrawResult)

	mu    sync.Mutex
	table *Table
	// startedAt is the time of the first Update.
	startedAt time.Duration
	accounts  map[account.ID]*accountState
	peers     map[host.ID]*peerState
}

// accountState is the state of an account's tokens on this host.
type accountState struct {
	id    account.ID
	entry *tableEntry
	// ahead holds tokens that were drawn ahead, in the order of their expiry.
	ahead   []tokenBatch
	waiters []*waiter
	demand  DemandRate
	parts   map[host.ID]*partState
	// isRetrying is set while a timer is to serve the waiters.
	isRetrying bool
}

// tokenBatch holds the tokens of one grant.
type tokenBatch struct {
	count int
	// expires is when the tokens admit no operation any more.
	expires time.Duration
}

// waiter is an operation that waits for a token.
type waiter struct {
	// verdict receives one value.
	verdict chan Verdict
}

// Verdict is the decision on an operation.
type Verdict struct {
	Admitted bool
	// UseWithin is the time within which the caller must have sent an admitted operation, if
	// it has only announced it with BEGIN; zero if there is no such limit.
	UseWithin time.Duration
	// RetryAfter is the time after which to come back with an operation that is not
	// admitted.
	RetryAfter time.Duration
	// Unready is set if an operation is not admitted because this host has no list of hosts
	// yet, or the coordinators have not started yet.
	Unready bool
}

// refusal returns the verdict on an operation when a token is expected after the wait.
func refusal(wait time.Duration) Verdict { return Verdict{RetryAfter: ComeBack(wait)} }

// partState is what this host knows of a part.
type partState struct {
	// emptyUntil is when the part is expected to have tokens again.
	emptyUntil time.Duration
	// asked is the number of tokens that were demanded and not answered yet.
	asked int
	// shortAt is when a demand was last not met in full, zero if none was.
	shortAt time.Duration
	// isUnready is set if the last demand was not answered, or the host held no part.
	isUnready bool
}

// peerState is the state of the draws from another host. One message is in flight at a
// time; demands that arise meanwhile are sent together in the next one.
type peerState struct {
	info         host.Info
	pending      []Demand
	inFlight     bool
	slow         bool
	avoidedUntil time.Duration
}

// Update applies a new table.
func (c *Client) Update(table *Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = table
	if c.accounts == nil {
		c.startedAt = c.Clock()
		c.accounts = map[account.ID]*accountState{}
		c.peers = map[host.ID]*peerState{}
	}
	now := c.Clock()
	used := map[host.ID]bool{}
	for id, entry := range table.entries {
		state, ok := c.accounts[id]
		if !ok {
			state = &accountState{id: id, parts: map[host.ID]*partState{}}
			c.accounts[id] = state
		}
		state.entry = entry
		for _, info := range entry.order {
			used[info.ID] = true
		}
		maps.DeleteFunc(state.parts, func(_ host.ID, p *partState) bool {
			return p.asked == 0 && p.emptyUntil <= now && now-p.shortAt > shortMemory
		})
		c.serve(state, now)
	}
	for id, state := range c.accounts {
		if _, ok := table.entries[id]; !ok {
			state.entry = &tableEntry{}
			c.refuseAll(state, 0)
			delete(c.accounts, id)
		}
	}
	for id, peer := range c.peers {
		if !used[id] && !peer.inFlight {
			delete(c.peers, id)
		}
	}
}

// Admit takes a token for an operation of the account, and draws one if necessary.
func (c *Client) Admit(ctx context.Context, id account.ID) Verdict {
	c.mu.Lock()
	now := c.Clock()
	state, ok := c.accounts[id]
	if !ok {
		v := refusal(0)
		v.Unready = c.table == nil
		c.mu.Unlock()
		return v
	}
	if state.entry.limit.Unlimited() {
		c.mu.Unlock()
		return Verdict{Admitted: true}
	}
	state.demand.Note(now)
	w := &waiter{verdict: make(chan Verdict, 1)}
	state.waiters = append(state.waiters, w)
	c.serve(state, now)
	c.mu.Unlock()

	select {
	case v := <-w.verdict:
		return v
	default:
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case v := <-w.verdict:
		return v
	case <-timer.C:
	case <-ctx.Done():
	}
	return c.withdraw(state, w)
}

// AdmitAtHand takes a token that is at hand, or in the part of this host, without waiting.
func (c *Client) AdmitAtHand(id account.ID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.accounts[id]
	if !ok {
		return false
	}
	if state.entry.limit.Unlimited() {
		return true
	}
	if len(state.waiters) > 0 {
		return false
	}
	now := c.Clock()
	w := &waiter{verdict: make(chan Verdict, 1)}
	state.waiters = append(state.waiters, w)
	state.useAhead(now)
	if len(state.waiters) > 0 && c.drawLocal(state, now) {
		state.useAhead(now)
	}
	state.waiters = nil
	return len(w.verdict) > 0
}

// withdraw ends the wait of an operation, unless it has its verdict by now.
func (c *Client) withdraw(state *accountState, w *waiter) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, other := range state.waiters {
		if other == w {
			state.waiters = append(state.waiters[:i], state.waiters[i+1:]...)
			now := c.Clock()
			v := refusal(c.wait(state, now))
			v.Unready = c.isUnready(state, now)
			return v
		}
	}
	return <-w.verdict
}

// part returns what this host knows of the part on a host.
func (s *accountState) part(id host.ID) *partState {
	p := s.parts[id]
	if p == nil {
		p = &partState{}
		s.parts[id] = p
	}
	return p
}

// Held returns the tokens drawn ahead that have not expired, by account.
func (c *Client) Held() map[account.ID]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := make(map[account.ID]int, len(c.accounts))
	now := c.Clock()
	for id, state := range c.accounts {
		held[id] = state.countAhead(now)
	}
	return held
}

// serve gives tokens to waiting operations in their order, draws what they lack and what
// is to be drawn ahead, and refuses them if no part can be asked. The caller holds the
// lock.
func (c *Client) serve(state *accountState, now time.Duration) {
	for {
		state.useAhead(now)
		if !c.drawLocal(state, now) {
			break
		}
	}
	if len(state.waiters) == 0 {
		c.drawAhead(state, now)
		return
	}
	need := len(state.waiters) - c.asked(state, false)
	for _, info := range state.entry.order {
		if need <= 0 {
			return
		}
		if info.ID != c.Self && c.usable(state, info.ID, now) {
			need -= c.ask(state, info, need)
		}
	}
	switch {
	case c.asked(state, true) > 0:
	case c.isUnready(state, now):
		c.retry(state, c.wait(state, now))
	default:
		c.refuseAll(state, c.wait(state, now))
	}
}

// isStarting reports whether this host has started less than StartTime ago.
func (c *Client) isStarting(now time.Duration) bool { return now < c.startedAt+StartTime }

// isUnready reports whether coordinators may not have started yet, as this host.
func (c *Client) isUnready(state *accountState, now time.Duration) bool {
	if !c.isStarting(now) {
		return false
	}
	return slices.ContainsFunc(state.entry.order, func(info host.Info) bool { return state.part(info.ID).isUnready })
}

// retry serves the waiting operations after a time.
func (c *Client) retry(state *accountState, after time.Duration) {
	if state.isRetrying {
		return
	}
	state.isRetrying = true
	time.AfterFunc(max(after, minRetryAfter), func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		state.isRetrying = false
		c.serve(state, c.Clock())
	})
}

// useAhead admits waiting operations with tokens that are there.
func (s *accountState) useAhead(now time.Duration) {
	s.countAhead(now)
	for len(s.waiters) > 0 && len(s.ahead) > 0 {
		s.ahead[0].count--
		useWithin := s.ahead[0].expires - now
		if s.ahead[0].count == 0 {
			s.ahead = s.ahead[1:]
		}
		s.waiters[0].verdict <- Verdict{Admitted: true, UseWithin: useWithin}
		s.waiters = s.waiters[1:]
	}
}

// countAhead drops expired tokens and returns the number of the others.
func (s *accountState) countAhead(now time.Duration) (n int) {
	for len(s.ahead) > 0 && s.ahead[0].expires <= now {
		s.ahead = s.ahead[1:]
	}
	for _, b := range s.ahead {
		n += b.count
	}
	return n
}

// add adds the tokens of a grant to a demand that was sent at the time. Batches arrive in
// another order than they were sent if they come from different hosts, so the batch is
// inserted by its expiry.
func (s *accountState) add(count int, sentAt time.Duration) {
	if count <= 0 {
		return
	}
	expires := sentAt + AheadTTL
	i := len(s.ahead)
	for i > 0 && s.ahead[i-1].expires > expires {
		i--
	}
	s.ahead = append(s.ahead, tokenBatch{})
	copy(s.ahead[i+1:], s.ahead[i:])
	s.ahead[i] = tokenBatch{count: count, expires: expires}
}

// drawLocal draws tokens for waiting operations from this host's own part. It reports
// whether it got any.
func (c *Client) drawLocal(state *accountState, now time.Duration) bool {
	if len(state.waiters) == 0 || state.entry.held == 0 || state.part(c.Self).emptyUntil > now {
		return false
	}
	n := len(state.waiters)
	grant := c.Local.Draw(now, []Demand{{Account: state.id, Tokens: n}})[0]
	c.note(state, c.Self, n, grant, now, now)
	return grant.Tokens > 0
}

// drawAhead draws tokens for operations that are expected. Only a host with another one's
// part nearest draws ahead, because draws from its own part cost nothing.
func (c *Client) drawAhead(state *accountState, now time.Duration) {
	missing := AheadTarget(state.demand.Get(now)) - state.countAhead(now) - c.asked(state, true)
	if missing <= 0 || c.isShort(state, now) {
		return
	}
	for _, info := range state.entry.order {
		if !c.usable(state, info.ID, now) {
			continue
		}
		if info.ID != c.Self {
			c.ask(state, info, missing)
		}
		return
	}
}

// shortMemory is how long a part counts as nearly used up after a demand that it did not
// meet.
const shortMemory = time.Second

// isShort reports whether all parts are used up or nearly. Their tokens are then left for
// operations that wait: those drawn ahead may expire.
func (c *Client) isShort(state *accountState, now time.Duration) bool {
	for _, info := range state.entry.order {
		p := state.parts[info.ID]
		if p == nil || p.shortAt == 0 || now-p.shortAt > shortMemory {
			return false
		}
	}
	return true
}

// usable reports whether a part can be asked: it is not known to be used up, and its host
// is neither avoided nor slow.
func (c *Client) usable(state *accountState, id host.ID, now time.Duration) bool {
	if state.part(id).emptyUntil > now {
		return false
	}
	peer := c.peers[id]
	return peer == nil || !peer.slow && peer.avoidedUntil <= now
}

// asked returns the number of tokens that were demanded and not answered yet, with or
// without those demanded from slow hosts.
func (c *Client) asked(state *accountState, withSlow bool) (n int) {
	for id, part := range state.parts {
		if part.asked > 0 && (withSlow || !c.peers[id].slow) {
			n += part.asked
		}
	}
	return n
}

// ask demands up to n tokens from a host, and no more than its part can have at once. It
// returns the number of tokens that it demanded.
func (c *Client) ask(state *accountState, info host.Info, n int) int {
	part := state.part(info.ID)
	n = min(n, state.entry.division.maxTokens()-part.asked)
	if n <= 0 {
		return 0
	}
	part.asked += n
	peer := c.peers[info.ID]
	if peer == nil {
		peer = &peerState{}
		c.peers[info.ID] = peer
	}
	peer.info = info
	peer.demand(state.id, n)
	c.send(peer)
	return n
}

// demand adds to the demands of the next message.
func (p *peerState) demand(id account.ID, n int) {
	for i := range p.pending {
		if p.pending[i].Account == id {
			p.pending[i].Tokens += n
			return
		}
	}
	p.pending = append(p.pending, Demand{Account: id, Tokens: n})
}

// send sends the pending demands unless a message is in flight.
func (c *Client) send(peer *peerState) {
	if peer.inFlight || len(peer.pending) == 0 {
		return
	}
	demands := peer.pending
	peer.pending, peer.inFlight = nil, true
	go c.draw(peer, peer.info, demands)
}

// draw sends demands to another host and applies the grants.
func (c *Client) draw(peer *peerState, info host.Info, demands []Demand) {
	ctx, cancel := context.WithTimeout(context.Background(), drawTimeout)
	defer cancel()
	// The tokens are taken after this, so that they expire early rather than late.
	sentAt := c.Clock()
	slow := time.AfterFunc(slowThreshold, func() { c.markSlow(peer) })
	grants, err := c.Network.Draw(ctx, info, demands)
	slow.Stop()

	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.Clock()
	peer.inFlight, peer.slow = false, false
	if err != nil || len(grants) != len(demands) {
		c.noteUnanswered(peer, demands, now)
		return
	}
	for i, d := range demands {
		if state, ok := c.accounts[d.Account]; ok {
			state.settle(peer.info.ID, d.Tokens)
			c.note(state, peer.info.ID, d.Tokens, grants[i], sentAt, now)
		}
	}
	for _, d := range demands {
		if state, ok := c.accounts[d.Account]; ok {
			c.serve(state, now)
		}
	}
	c.send(peer)
}

// settle notes that a demand was answered. The account may have been removed and added
// again meanwhile.
func (s *accountState) settle(id host.ID, n int) {
	p := s.part(id)
	p.asked = max(p.asked-n, 0)
}

// minRetryAfter bounds the draws from a part that states no time although it is used up.
const minRetryAfter = 5 * time.Millisecond

// note applies a grant.
func (c *Client) note(state *accountState, from host.ID, demanded int, g Grant, sentAt, now time.Duration) {
	result := Granted
	switch {
	case g.NotAssigned:
		result = NotAssigned
	case g.Tokens <= 0:
		result = UsedUp
	case g.Tokens < demanded:
		result = PartlyGranted
	}
	if c.ObserveDraw != nil {
		c.ObserveDraw(state.id, result)
	}
	part := state.part(from)
	part.isUnready = g.NotAssigned
	if g.Tokens < demanded || g.RetryAfter > 0 {
		retryAfter := min(max(g.RetryAfter, minRetryAfter), maxRetryAfter)
		if part.isUnready && c.isStarting(now) {
			retryAfter = min(retryAfter, startRetryAfter)
		}
		part.emptyUntil = now + retryAfter
	}
	if g.Tokens < demanded {
		part.shortAt = now
	}
	// A grant of more than was demanded, or one that took longer than the tokens last, is
	// of no use.
	state.add(min(g.Tokens, demanded), sentAt)
}

// noteUnanswered avoids a host that did not answer, and asks others in its place.
func (c *Client) noteUnanswered(peer *peerState, demands []Demand, now time.Duration) {
	peer.avoidedUntil = now + avoidTime
	if c.isStarting(now) {
		peer.avoidedUntil = now + startRetryAfter
	}
	demands = append(demands, peer.pending...)
	peer.pending = nil
	for _, d := range demands {
		if state, ok := c.accounts[d.Account]; ok {
			state.settle(peer.info.ID, d.Tokens)
			state.part(peer.info.ID).isUnready = true
			if c.ObserveDraw != nil {
				c.ObserveDraw(d.Account, Unanswered)
			}
		}
	}
	for _, d := range demands {
		if state, ok := c.accounts[d.Account]; ok {
			c.serve(state, now)
		}
	}
}

// markSlow lets the operations that wait for a host ask others too.
func (c *Client) markSlow(peer *peerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !peer.inFlight {
		return
	}
	peer.slow = true
	now := c.Clock()
	for _, state := range c.accounts {
		if part := state.parts[peer.info.ID]; part != nil && part.asked > 0 && len(state.waiters) > 0 {
			c.serve(state, now)
		}
	}
}

// wait returns the time until a part is expected to have a token.
func (c *Client) wait(state *accountState, now time.Duration) time.Duration {
	if state.entry.division.Parts == 0 || len(state.entry.order) == 0 {
		return maxRetryAfter
	}
	shortest := maxRetryAfter
	for _, info := range state.entry.order {
		until := state.part(info.ID).emptyUntil
		if peer := c.peers[info.ID]; peer != nil {
			until = max(until, peer.avoidedUntil)
		}
		shortest = min(shortest, max(until-now, 0))
	}
	return shortest
}

// refuseAll refuses all waiting operations.
func (c *Client) refuseAll(state *accountState, wait time.Duration) {
	for _, w := range state.waiters {
		w.verdict <- refusal(wait)
	}
	state.waiters = nil
}
