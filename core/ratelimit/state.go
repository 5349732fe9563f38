package ratelimit

import (
	"time"

	"basilmill/core/account"
)

// State is what a host knows of the limit of an account.
type State struct {
	Limit Limit
	// Held is the number of tokens that this host has at hand, Waiting that of operations
	// that wait for one.
	Held, Waiting int
	// Wait is the time until a part is expected to have a token; zero if one may have some
	// now.
	Wait time.Duration
}

// State returns what this host knows of an account's limit. It returns false for an account
// that is not in the table.
func (c *Client) State(id account.ID) (State, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.accounts[id]
	if !ok {
		return State{}, false
	}
	now := c.Clock()
	s := State{Limit: state.entry.limit, Held: state.countAhead(now), Waiting: len(state.waiters)}
	if s.Held == 0 && !s.Limit.Unlimited() {
		s.Wait = c.wait(state, now)
	}
	return s, true
}
