package catalog

import (
	"slices"
	"time"

	"basilmill/core/group"
)

// Confirm notes that all changes of the entries have been applied which an answer of the
// given age contains. receivedAt is a reading of a clock that includes the time the machine
// is suspended.
func (c *Cache) Confirm(receivedAt, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmedAt = max(c.confirmedAt, receivedAt-age)
}

// ListedAt returns the latest time at which the store is known to have listed a server of
// the view as one that stays; zero if it is not known, or the server is not in the view.
func (c *Cache) ListedAt(id group.ServerID) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.View().Servers[id]; !ok {
		return 0
	}
	if at, outdated := c.lastListed[id]; outdated {
		return at
	}
	return c.confirmedAt
}

// Listed returns the servers of a group in the view whose entries are not missing, in the order
// of View.Members.
func (c *Cache) Listed(id group.ID) []Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(c.View().Members(id), func(s Server) bool {
		_, missing := c.missingUntil[s.ID]
		return missing
	})
}

// noteEntry notes the entry of a server that replaces another one, if there was one. The
// caller holds the lock.
func (c *Cache) noteEntry(s Server) {
	_, known := c.numbers[s.ID]
	switch {
	case !s.Leaving:
		delete(c.lastListed, s.ID)
	case !known:
		c.noteLastListed(s.ID, 0)
	default:
		c.noteLastListed(s.ID, c.confirmedAt)
	}
}

// noteLastListed notes when a server was last listed as one that stays, unless that is known.
// The caller holds the lock.
func (c *Cache) noteLastListed(id group.ServerID, at time.Duration) {
	if c.lastListed == nil {
		c.lastListed = map[group.ServerID]time.Duration{}
	}
	if _, ok := c.lastListed[id]; !ok {
		c.lastListed[id] = at
	}
}
