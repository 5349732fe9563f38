package catalog

import (
	"cmp"
	"time"

	"basilmill/core/distribution"
	"basilmill/core/group"
)

const (
	// returnedEntryGracePeriod is how long an entry waits that came back with a
	// restored store although its server had been removed or had started again, or that
	// names another group than before. The store removes the entries of servers that are
	// gone after three report intervals, and a live server writes its entry again.
	returnedEntryGracePeriod = 6 * time.Second
	// removalRetention is how long a removal is remembered. It exceeds the age of the
	// copies from which the store is restored.
	removalRetention = time.Minute
)

// Entry is a server with the numbers of its entry in the store.
type Entry struct {
	Server
	// Era is the era of the store in which the entry was read.
	Era distribution.Era
	// Sequence rises with each report of the server within one boot; zero if it is
	// not known. Unlike the revisions of the store it does not go back with the store.
	Sequence int64
}

// entryNumber orders the entries of one server across restorations of the store.
type entryNumber struct {
	era      distribution.Era
	boot     int64
	sequence int64
}

func (e Entry) number() entryNumber {
	return entryNumber{era: e.Era, boot: e.BootID, sequence: e.Sequence}
}

// compareReport compares two reports by the server's own numbers.
func (n entryNumber) compareReport(other entryNumber) int {
	return cmp.Or(cmp.Compare(n.boot, other.boot), cmp.Compare(n.sequence, other.sequence))
}

// removal is the removal of a server, for entries that come back with the store and for
// hosts that start.
type removal struct {
	server Server
	number entryNumber
	at     time.Time
}

// returnedEntry is an entry that waits until the store has had the time to remove it.
type returnedEntry struct {
	entry Entry
	until time.Time
}

// isOutdated reports whether an entry is an older report of the same boot than the one in
// the view: the store was restored from a copy that lacks the newer one. The caller holds
// the lock.
func (c *Cache) isOutdated(e Entry) bool {
	known, ok := c.numbers[e.ID]
	return ok && e.Era > known.era && e.BootID == known.boot && e.Sequence < known.sequence
}

// isReturned reports whether an entry came back with a restored store after its server
// was removed, without a newer report, or is of an earlier boot than the one in the view.
// Boots are ordered by the clocks of servers, which may be wrong. The caller holds the
// lock.
func (c *Cache) isReturned(e Entry) bool {
	if known, ok := c.numbers[e.ID]; ok {
		return e.Era > known.era && e.BootID < known.boot
	}
	r, ok := c.removals[e.ID]
	return ok && e.Era > r.number.era && time.Since(r.at) < removalRetention && e.number().compareReport(r.number) <= 0
}

// namesAnotherGroup reports whether an entry names another group than the one of the server in
// the view, as one that another writer has put in place of the server's own. Changes of
// primary rely on the grace period of a server that leaves its group. The caller holds the
// lock.
func (c *Cache) namesAnotherGroup(e Entry) bool {
	known, ok := c.latest().Servers[e.ID]
	return ok && known.Group != e.Group
}

// holdBack starts the wait of a returned entry. The caller holds the lock.
func (c *Cache) holdBack(e Entry) {
	if c.returned == nil {
		c.returned = map[group.ServerID]returnedEntry{}
	}
	until := time.Now().Add(returnedEntryGracePeriod)
	if waiting, ok := c.returned[e.ID]; ok {
		until = waiting.until
	}
	c.returned[e.ID] = returnedEntry{entry: e, until: until}
}

// noteRemoval remembers the removal of a server and forgets old ones. The caller holds
// the lock.
func (c *Cache) noteRemoval(id group.ServerID) {
	if c.removals == nil {
		c.removals = map[group.ServerID]removal{}
	}
	for other, r := range c.removals {
		if time.Since(r.at) >= removalRetention {
			delete(c.removals, other)
		}
	}
	c.removals[id] = removal{server: c.latest().Servers[id], number: c.numbers[id], at: time.Now()}
	delete(c.numbers, id)
}

// admitReturned adds the servers whose returned entries are still in the store after the
// grace period. The caller holds the lock.
func (c *Cache) admitReturned(now time.Time) {
	for id, r := range c.returned {
		if !now.Before(r.until) {
			delete(c.returned, id)
			delete(c.removals, id)
			c.putEntry(r.entry)
		}
	}
}
