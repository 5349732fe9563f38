package catalog

import (
	"time"

	"basilmill/core/group"
)

// minEntryLifetime is the time for which an entry is in the store at least, unless its
// server leaves: a server that is silent is removed after three report intervals.
const minEntryLifetime = 3500 * time.Millisecond

// Confirm notes that all changes of the entries have been applied which an answer of the
// given age contains. receivedAt is a reading of a clock that includes the time the machine
// is suspended.
func (c *Cache) Confirm(receivedAt, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirm(receivedAt, age)
}

// ConfirmList is like Confirm after a complete list. Servers may have been listed and
// removed since the last answer.
func (c *Cache) ConfirmList(receivedAt, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt == 0 || receivedAt-c.confirmedAt >= minEntryLifetime {
		c.unseenRemoval = true
	}
	c.confirm(receivedAt, age)
}

// confirm implements Confirm. The caller holds the lock.
func (c *Cache) confirm(receivedAt, age time.Duration) {
	c.confirmedAt = max(c.confirmedAt, receivedAt-age)
	if c.unseenRemoval {
		c.followedSince, c.unseenRemoval = receivedAt, false
	}
}

// ListedAt returns the latest time at which the store is known to have listed a server of
// the view; zero if it is not known.
func (c *Cache) ListedAt(id group.ServerID) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, missing := c.missingUntil[id]; missing {
		return c.lastListed[id]
	}
	return c.confirmedAt
}

// FollowedSince returns the time since which the view has held every server that the store
// has listed, also if it was removed again; zero if the view was never confirmed.
func (c *Cache) FollowedSince() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.followedSince
}

// noteInvalid notes an entry that is not that of a server, so that its removal is not taken
// for that of one. The caller holds the lock.
func (c *Cache) noteInvalid(id group.ServerID) {
	if c.invalid == nil {
		c.invalid = map[group.ServerID]bool{}
	}
	c.invalid[id] = true
}

// noteMissing notes when a server was last listed whose entry is missing. The caller holds
// the lock.
func (c *Cache) noteMissing(id group.ServerID) {
	if c.lastListed == nil {
		c.lastListed = map[group.ServerID]time.Duration{}
	}
	if _, listed := c.numbers[id]; listed {
		c.lastListed[id] = c.confirmedAt
	}
}

// noteUnknownRemoval notes the removal of an entry of a server that is not in the view. The
// caller holds the lock.
func (c *Cache) noteUnknownRemoval(id group.ServerID) {
	if c.invalid[id] {
		delete(c.invalid, id)
		return
	}
	if _, removed := c.removals[id]; !removed {
		c.unseenRemoval = true
	}
}
