package ratelimit

import (
	"math"
	"slices"
	"sync"
	"time"

	"basilmill/core/account"
	"basilmill/core/host"
)

const (
	// AssignmentDelay is how long a host that newly holds a part hands out nothing. Until
	// then the host that it replaces has learnt of it: relays read the list of hosts each
	// 5 s, the other hosts pull it from them each 5 s, and a read takes up to 2 s.
	AssignmentDelay = 15 * time.Second
	// maxRetryAfter bounds the time after which a part states to have tokens again.
	maxRetryAfter = 5 * time.Second
	// unmetMemory is how long a demand that was not met counts for the time to come back.
	unmetMemory = time.Second
	// asksPerToken is how often hosts ask for a token of a part that is used up: often
	// enough that each token finds a host that asks, and not so often that the messages
	// grow with the demand.
	asksPerToken = 1.7
	// maxDemand bounds the tokens of one demand.
	maxDemand = 1 << 20
)

// Demand is a request for tokens of an account.
type Demand struct {
	Account account.ID
	Tokens  int
}

// Grant is the answer to a demand.
type Grant struct {
	// Tokens is how many were taken; fewer than demanded if the part is used up.
	Tokens int
	// RetryAfter is the time until the part is expected to have a token for the host
	// again; zero if it has some left.
	RetryAfter time.Duration
	// NotAssigned is set if the host holds no part of the account's limit, or not yet.
	NotAssigned bool
}

// Coordinator holds the parts of limits that are assigned to this host, in memory. The
// zero value holds none. It is safe for concurrent use.
type Coordinator struct {
	mu    sync.Mutex
	table *Table
	parts map[account.ID]*part
	// startedAt is the time of the first Update.
	startedAt time.Duration
}

// part is a part of an account's limit. It starts empty, or with Division.Start if the
// host has started again, and hands out nothing before readyAt, so that neither a restart
// nor a change of the list of hosts hands out tokens twice.
type part struct {
	// initial is set if the host has held the part since its first table and has not had
	// Division.Start.
	initial bool
	// undecidedUntil is when the wait for the decision on its start ends at the latest.
	undecidedUntil time.Duration
	division       Division
	bucket         Bucket
	readyAt        time.Duration
	// unconfirmed holds the successors that do not know yet that this host, which has just
	// started, holds the part.
	unconfirmed []host.Info
	// unmet is the number of demands in the last unmetMemory that were not met, as of
	// unmetAt. It decays exponentially.
	unmet   float64
	unmetAt time.Duration
}

// never is the readyAt of a part that waits for its successors.
const never = time.Duration(math.MaxInt64)

// Standing says what the other hosts know of this one.
type Standing struct {
	// Entitled is set if the others have known this host since before it started, or the
	// deployment starts with it.
	Entitled bool
	// Returning is set if the store had the entry of this host when it started. Its parts
	// hand out tokens at once.
	Returning bool
	// Start is how the parts of the first table start.
	Start StartDecision
	// Knows reports whether a host has confirmed that it knows this one.
	Knows func(host.ID) bool
}

// StartDecision is how the parts of a host that has started again start.
type StartDecision int

// Decisions on the start.
const (
	// StartUndecided means that MayHaveStartTokens is not known yet.
	StartUndecided StartDecision = iota
	// StartEmpty means that the parts start empty.
	StartEmpty
	// StartWithTokens means that they start with Division.Start.
	StartWithTokens
)

// start applies the decision on the start once.
func (p *part) start(now, startedAt time.Duration, d Division, standing Standing) {
	switch {
	case now >= startedAt+StartTime, !standing.Returning, standing.Start == StartEmpty:
		p.initial = false
	case standing.Start == StartWithTokens:
		p.bucket.Add(d.Start, d.Burst)
		p.initial = false
	default:
		p.undecidedUntil = startedAt + StartTime
	}
}

// StartTime is how long after its start a host may get Division.Start.
const StartTime = 2 * time.Second

// MayHaveStartTokens reports whether a process of a host may have Division.Start, if the one
// before started at previous, or at an unknown time if that is zero. A part then has it at
// most once in each window, however often its host starts again.
func MayHaveStartTokens(previous, started time.Time, window time.Duration) bool {
	return !previous.IsZero() && started.Sub(previous) >= window+AheadTTL+StartTime
}

// Update applies a table. Parts that this host does not hold any more hand out nothing from
// now on, and changed ones keep their tokens up to the new burst. When new ones hand out
// tokens depends on who may hold them too:
//
//   - A host that has started again hands out tokens of the parts of its first table at
//     once. It still introduces itself to the successors.
//   - Any other host that has just started hands out tokens once the successors know it. If they do
//     not answer, an entitled host does so after AssignmentDelay. Any other one waits until
//     they have left the list: a successor that is cut off may still hold the part.
//   - A host that has replaced another one hands out tokens after AssignmentDelay.
//   - Accounts that a new configuration adds, or that were not admitted before, have no
//     other holders.
func (c *Coordinator) Update(now time.Duration, table *Table, standing Standing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil {
		c.startedAt = now
	}
	starting := now < c.startedAt+AssignmentDelay
	parts := make(map[account.ID]*part)
	for id, entry := range table.entries {
		if entry.held == 0 {
			continue
		}
		p, ok := c.parts[id]
		if !ok {
			p = &part{readyAt: never, initial: c.table == nil}
			if !starting {
				p.hold(c.readyAt(now, id))
			}
		}
		division := entry.division.of(entry.held)
		if p.readyAt == never || len(p.unconfirmed) > 0 {
			p.confirm(now, c.startedAt, entry.successors, standing)
			if p.readyAt == never && p.initial && standing.Returning {
				p.hold(now)
			}
		}
		p.setDivision(now, division)
		if p.initial && p.readyAt <= now {
			p.start(now, c.startedAt, division, standing)
		}
		parts[id] = p
	}
	c.table, c.parts = table, parts
}

// readyAt returns when a part that this host newly holds hands out tokens.
func (c *Coordinator) readyAt(now time.Duration, id account.ID) time.Duration {
	if before, known := c.table.entries[id]; !known || before.division.Parts == 0 {
		return now
	}
	return now + AssignmentDelay
}

// confirm decides whether a part of a host that started at the time hands out tokens.
func (p *part) confirm(now, startedAt time.Duration, successors []host.Info, standing Standing) {
	p.unconfirmed = nil
	for _, h := range successors {
		if !standing.Knows(h.ID) {
			p.unconfirmed = append(p.unconfirmed, h)
		}
	}
	waited := now >= startedAt+AssignmentDelay
	if waited && standing.Entitled {
		p.unconfirmed = nil
	}
	if p.readyAt != never {
		return
	}
	switch {
	case len(successors) == 0 && !standing.Entitled:
		// The first host of a data centre may replace hosts of others.
		if waited {
			p.hold(now)
		}
	case len(p.unconfirmed) == 0:
		p.hold(now)
	}
}

// hold lets the part hand out tokens from the time on, and start empty then.
func (p *part) hold(until time.Duration) {
	p.readyAt, p.bucket = until, NewBucket(until)
}

// Unconfirmed returns the hosts that do not know yet that this one holds parts.
func (c *Coordinator) Unconfirmed() (hosts []host.Info) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.parts {
		for _, h := range p.unconfirmed {
			if !slices.Contains(hosts, h) {
				hosts = append(hosts, h)
			}
		}
	}
	return hosts
}

// IsWaiting reports whether there are parts that successors do not know yet.
func (c *Coordinator) IsWaiting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.parts {
		if p.readyAt == never || len(p.unconfirmed) > 0 {
			return true
		}
	}
	return false
}

// Held returns the number of parts that this host holds.
func (c *Coordinator) Held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.parts)
}

// Draw takes tokens from the parts and returns the grants in the order of the demands.
func (c *Coordinator) Draw(now time.Duration, demands []Demand) []Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	grants := make([]Grant, len(demands))
	for i, d := range demands {
		if p, ok := c.parts[d.Account]; ok {
			grants[i] = p.draw(now, min(max(d.Tokens, 0), maxDemand))
		} else {
			grants[i] = Grant{NotAssigned: true, RetryAfter: unassignedRetryAfter}
		}
	}
	return grants
}

// unassignedRetryAfter is the time after which a host asks again that has another list of
// hosts, or another configuration, than the one that it took for a coordinator.
const unassignedRetryAfter = time.Second

// setDivision changes the rate and the burst in place.
func (p *part) setDivision(now time.Duration, d Division) {
	if p.readyAt != never {
		p.bucket.Fill(now, p.division.Rate, p.division.Burst)
		p.bucket.Fill(now, d.Rate, d.Burst)
	}
	p.division = d
}

func (p *part) draw(now time.Duration, n int) Grant {
	if now < p.readyAt {
		return Grant{NotAssigned: true, RetryAfter: min(p.readyAt-now, unassignedRetryAfter)}
	}
	p.bucket.Fill(now, p.division.Rate, p.division.Burst)
	g := Grant{Tokens: p.bucket.Take(n)}
	p.unmet *= math.Exp(-(now - p.unmetAt).Seconds() / unmetMemory.Seconds())
	p.unmetAt = now
	if g.Tokens == 0 && n > 0 && p.initial && now < p.undecidedUntil {
		return Grant{NotAssigned: true, RetryAfter: startRetryAfter}
	}
	if g.Tokens < n {
		p.unmet++
		g.RetryAfter = RetryAfter(p.bucket.Wait(p.division.Rate), p.unmet, p.division.Rate)
	}
	return g
}

// RetryAfter returns the time after which a host whose demand was not met should ask
// again: when a token is expected, or later if so many other hosts ask for the next tokens
// that most would ask in vain. unmet is the number of such demands in the last second.
func RetryAfter(wait time.Duration, unmet, rate float64) time.Duration {
	if rate <= 0 {
		return maxRetryAfter
	}
	turn := time.Duration(min(unmet/(asksPerToken*rate), maxRetryAfter.Seconds()) * float64(time.Second))
	return min(max(wait, turn), maxRetryAfter)
}
