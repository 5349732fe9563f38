package link

import (
	"math"
	"slices"
	"time"

	"basilmill/core/account"
	"basilmill/core/catalog"
	"basilmill/core/dispatch"
)

// AccountPolicy is how accounts share the connections of a pool.
type AccountPolicy struct {
	// Accounts are the accounts of the configuration in force.
	Accounts *catalog.Accounts
	// Limit is the maximum number of connections of accounts.
	Limit int
	// Slots is the number of statements that the server runs at the same time; zero if it
	// is not known.
	Slots int
	// Holder is set if this host is one of the server's holders, so that it keeps idle
	// connections.
	Holder bool
}

// accountRetention is how long a holder keeps an idle connection of an account. A holder
// has its own part of the server's limit, so that only other accounts need the room.
const accountRetention = time.Minute

// accountState is what a pool knows of the accounts that share its connections. Its zero
// value is that of a pool without accounts. The pool's mutex guards it.
type accountState struct {
	// policy is nil without accounts in the configuration.
	policy *AccountPolicy
	// meanWeight is the weight of an account that has no limit, and of callers without an
	// account.
	meanWeight float64
	// seen is set once a request has named an account, also if the configuration of this
	// host has none yet.
	seen     bool
	usage    map[account.ID]*dispatch.Usage
	dialling map[account.ID]int
	// latency is the moving average of the time of a statement.
	latency time.Duration
	// room is the number of connections that a full server leaves to this pool, and grown
	// the number of connections beyond it that the server has accepted in a row.
	room, grown int
	// backoff is the pause after the last refusal.
	backoff time.Duration
}

const (
	// maxFullBackoff bounds the pause after refusals of a full server, which doubles from
	// fullBackoff on. It is a fraction of the time that requests wait.
	maxFullBackoff = 240 * time.Millisecond
	// notFullAfter is the number of further connections in a row after which a server
	// is not full any more, so that several are opened at the same time again.
	notFullAfter = 3
)

// refused notes that the server refused a connection beside the given number of others,
// and returns the pause before the next attempt.
func (a *accountState) refused(others int) time.Duration {
	a.room, a.grown = others, 0
	a.backoff = min(max(2*a.backoff, fullBackoff), maxFullBackoff)
	return a.backoff
}

// accepted notes that the server accepted a connection, so that the pool has the given
// number with those being opened. It reports whether the server is still full.
func (a *accountState) accepted(total int) (full bool) {
	if total <= a.room {
		return true
	}
	a.room, a.backoff = total, 0
	a.grown++
	return a.grown < notFullAfter
}

// active reports whether the pool's connections are shared between accounts.
func (a *accountState) active() bool { return a.policy != nil || a.seen }

// note notes that a request names an account.
func (a *accountState) note(id account.ID) { a.seen = a.seen || id != "" }

// weight returns the size of an account's fair share relative to those of others: its rate
// limit.
func (a *accountState) weight(id account.ID) float64 {
	if a.policy == nil {
		return 1
	}
	if id == "" {
		return a.meanWeight
	}
	found, ok := a.policy.Accounts.Account(id)
	switch {
	case !ok:
		return 0
	case found.Rate > 0 && !math.IsInf(found.Rate, 1):
		return found.Rate
	default:
		return a.meanWeight
	}
}

// level returns an account's use of the connections.
func (a *accountState) level(id account.ID, now time.Time) float64 {
	if u := a.usage[id]; u != nil {
		return u.Level(now)
	}
	return 0
}

// use notes that an account has gained or lost connections.
func (a *accountState) use(id account.ID, n int) {
	if !a.active() {
		return
	}
	u := a.usage[id]
	if u == nil {
		u = &dispatch.Usage{}
		if a.usage == nil {
			a.usage = map[account.ID]*dispatch.Usage{}
		}
		a.usage[id] = u
	}
	u.Add(n, time.Now())
}

// dialled notes that a connection is no longer being opened for an account.
func (a *accountState) dialled(id account.ID) {
	if a.dialling[id] > 1 {
		a.dialling[id]--
	} else {
		delete(a.dialling, id)
	}
}

// ahead returns the number of waiting requests that are served before another one.
func (a *accountState) ahead(waiters []*waiter, w *waiter) (n int) {
	now := time.Now()
	level := func(id account.ID) float64 { return a.level(id, now) }
	waiting := make([]dispatch.Waiting, len(waiters))
	for i, o := range waiters {
		waiting[i] = o.waiting(nil)
	}
	return dispatch.Ahead(waiting, w.waiting(nil), a.weight, level)
}

// retention returns how long an idle connection of an account is kept by a pool with the
// given limit.
func (a *accountState) retention(id account.ID, limit int) time.Duration {
	switch {
	case a.weight(id) == 0:
		return 0
	case a.policy == nil || !a.policy.Holder:
		return spareRetention * time.Duration(limit)
	default:
		return accountRetention
	}
}

// prune drops the usage of accounts that have used nothing lately.
func (a *accountState) prune(now time.Time) {
	for id, u := range a.usage {
		if u.IsNegligible(now) {
			delete(a.usage, id)
		}
	}
}

// SetAccounts changes how accounts share the connections; nil without accounts.
func (p *Pool) SetAccounts(policy *AccountPolicy) {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.accounts.policy
	if before == policy || before != nil && policy != nil && *before == *policy {
		return
	}
	p.accounts.policy = policy
	if policy != nil {
		p.accounts.meanWeight = policy.Accounts.MeanRate()
	}
	p.dispatch()
}

// waiting returns the request as dispatch sees it.
func (w *waiter) waiting(prefer func(int) bool) dispatch.Waiting {
	return dispatch.Waiting{
		Request: dispatch.Request{Exclusive: w.Exclusive, Urgent: w.Priority < 0}, Position: w.position, Since: w.enqueuedAt, Account: w.Account, Prefer: prefer,
	}
}

// assign grants connections to waiters, gives up connections and starts dials as
// dispatch.Assign decides. The caller holds the mutex.
func (p *Pool) assign() {
	conns, states := p.usableConns()
	now := time.Now()
	wait := p.backoffUntil.Sub(now)
	decision := dispatch.Accounts{
		Conns: states, Dialling: p.accounts.dialling, Weight: p.accounts.weight, Level: func(id account.ID) float64 { return p.accounts.level(id, now) },
		Limit: p.limit, Bound: p.window.Size(), Full: p.serverFull, Room: p.accounts.room, Failing: p.dialFailing, Paused: wait > 0 || p.closed, Now: now,
	}
	if policy := p.accounts.policy; policy != nil {
		decision.Limit, decision.Bound = policy.Limit, min(decision.Bound, dispatch.Bound(policy.Slots))
	}
	for _, w := range p.waiters {
		decision.Waiting = append(decision.Waiting, w.waiting(func(i int) bool { return conns[i].matches(w.Desired) }))
	}
	plan := dispatch.Assign(decision)
	granted := map[*waiter]bool{}
	for _, g := range plan.Grants {
		granted[p.waiters[g.Waiting]] = true
		p.grant(p.waiters[g.Waiting], conns[g.Conn])
	}
	p.waiters = slices.DeleteFunc(p.waiters, func(w *waiter) bool { return granted[w] })
	if plan.Deferred && !p.closed {
		p.dispatchAfter(wait)
	}
	if plan.ReviewAfter > 0 {
		p.dispatchAfter(plan.ReviewAfter)
	}
	givenUp := make([]*Conn, len(plan.GivenUp))
	for i, index := range plan.GivenUp {
		givenUp[i] = conns[index]
		if p.observer != nil {
			p.observer.ObserveGivenUp(givenUp[i].account)
		}
	}
	p.conns = slices.DeleteFunc(p.conns, func(c *Conn) bool { return slices.Contains(givenUp, c) })
	p.exchange(givenUp, plan.Dials)
}

// exchange closes connections and then opens others. The caller holds the mutex.
func (p *Pool) exchange(givenUp []*Conn, dials []account.ID) {
	if len(givenUp)+len(dials) == 0 {
		return
	}
	p.dialling += len(dials)
	if p.accounts.dialling == nil {
		p.accounts.dialling = map[account.ID]int{}
	}
	for _, id := range dials {
		p.accounts.dialling[id]++
	}
	go func() {
		for _, c := range givenUp {
			c.Close()
		}
		for _, id := range dials {
			go p.dial(id)
		}
	}()
}

// observeAnswer notes that a statement has been answered. Waiting requests may be served
// then, because a transaction's statement counts against the bound.
func (p *Pool) observeAnswer(latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accounts.latency += (latency - p.accounts.latency) / latencySmoothing
	if len(p.waiters) > 0 {
		p.dispatch()
	}
}

// addHeld adds the number of connections of each account.
func (p *Pool) addHeld(held map[account.ID]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		if c.account != "" {
			held[c.account]++
		}
	}
}

// ServerLoad returns the load of the server as this pool knows it.
func (p *Pool) ServerLoad() ServerLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	load := ServerLoad{Waiting: len(p.waiters), Latency: p.accounts.latency}
	for _, c := range p.conns {
		load.InUse += c.sharedSessions
		if c.exclusive {
			load.InUse++
		}
	}
	return load
}
