package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"basilmill/core/group"
)

// DefaultMissingEntryGracePeriod is how long a server whose entry is missing is
// kept. Entries that expired while the store was unavailable are back within two
// seconds after it recovers, and a server that is gone must get no new work after
// 7 s. A server that only lost its connection to the store is used meanwhile.
const DefaultMissingEntryGracePeriod = 4500 * time.Millisecond

// Cache holds a host's current copy of the configuration and of the servers'
// entries in the platform's store. Its zero value is empty and ready for use. It
// is safe for concurrent use.
type Cache struct {
	// MissingEntryGracePeriod is how long a server whose entry is missing is
	// kept; zero selects DefaultMissingEntryGracePeriod. A server that was
	// leaving is removed at once.
	MissingEntryGracePeriod time.Duration

	mu      sync.Mutex
	view    atomic.Pointer[View]
	changed chan struct{}
	// missingUntil holds the end of the grace period of each server whose
	// entry is missing.
	missingUntil map[group.ServerID]time.Time
	// numbers holds the numbers of the entries in the view, and removals those of
	// servers that were removed.
	numbers  map[group.ServerID]entryNumber
	removals map[group.ServerID]removal
	returned map[group.ServerID]returnedEntry
	// confirmedAt is the latest time at which the entries in the view are known to have
	// been those in the store, and lastListed holds that of each server whose entry is
	// missing or which is leaving.
	confirmedAt time.Duration
	lastListed  map[group.ServerID]time.Duration
	// replacing is set while a complete list is applied, and replaced is then the next view.
	replacing bool
	replaced  *View
}

// View returns the current view.
func (c *Cache) View() *View {
	if v := c.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// latest returns the view that the next change starts from. The caller holds the lock.
func (c *Cache) latest() *View {
	if c.replaced != nil {
		return c.replaced
	}
	return c.View()
}

// Changed returns a channel that is closed at the next change of the view.
func (c *Cache) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// SetConfig replaces the configuration if the new version is higher than the
// current one. It reports whether the view changed.
func (c *Cache) SetConfig(config *Config) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.View().clone()
	if next.Config != nil && next.Config.Version >= config.Version {
		return false
	}
	next.Config = config
	c.publish(next)
	return true
}

// PutServer adds a server or replaces its entry. It reports whether the view
// changed.
func (c *Cache) PutServer(s Server) (changed bool) { return c.PutEntry(Entry{Server: s}) }

// PutEntry adds a server or replaces its entry. An entry that the store has again only
// because it was restored from a copy is ignored if the server has reported since, and
// waits for returnedEntryGracePeriod if the server had been removed or had started again.
// An entry that names another group than the one of the server in the view waits too, and
// the server counts as missing meanwhile. PutEntry reports whether the view changed.
func (c *Cache) PutEntry(e Entry) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.admitEntry(e)
}

// admitEntry is PutEntry for a caller that holds the lock.
func (c *Cache) admitEntry(e Entry) (changed bool) {
	switch {
	case c.isOutdated(e):
		return false
	case c.isReturned(e):
		c.holdBack(e)
		return false
	case c.namesAnotherGroup(e):
		c.markMissing(e.ID)
		c.holdBack(e)
		return false
	default:
		return c.putEntry(e)
	}
}

// putEntry adds a server or replaces its entry. The caller holds the lock.
func (c *Cache) putEntry(e Entry) (changed bool) {
	s := e.Server
	delete(c.missingUntil, s.ID)
	c.noteEntry(s)
	delete(c.returned, s.ID)
	if c.numbers == nil {
		c.numbers = map[group.ServerID]entryNumber{}
	}
	c.numbers[s.ID] = e.number()
	next := c.latest().clone()
	if next.Servers == nil {
		next.Servers = map[group.ServerID]Server{}
	}
	if old, ok := next.Servers[s.ID]; ok && old == s {
		return false
	}
	next.Servers[s.ID] = s
	c.publish(next)
	return true
}

// MarkMissing notes that a server's entry is missing. A leaving server is removed
// at once, and any other by Expire after MissingEntryGracePeriod.
func (c *Cache) MarkMissing(id group.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markMissing(id)
}

// markMissing is MarkMissing for a caller that holds the lock.
func (c *Cache) markMissing(id group.ServerID) {
	delete(c.returned, id)
	s, ok := c.latest().Servers[id]
	if !ok {
		return
	}
	if s.Leaving {
		c.removeServer(id)
		return
	}
	c.startGracePeriod(id)
}

// ReplaceServers replaces all servers by a complete list. Servers that it lacks
// are marked missing.
func (c *Cache) ReplaceServers(servers []Server) {
	entries := make([]Entry, len(servers))
	for i, s := range servers {
		entries[i].Server = s
	}
	c.ReplaceEntries(entries)
}

// ReplaceEntries replaces all servers by a complete list. Servers that it lacks are
// marked missing. No view holds a part of the list only.
func (c *Cache) ReplaceEntries(entries []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.replacing = true
	present := map[group.ServerID]bool{}
	for _, e := range entries {
		present[e.ID] = true
		c.admitEntry(e)
	}
	for _, id := range c.listedIDs() {
		if !present[id] {
			c.markMissing(id)
		}
	}
	next := c.replaced
	c.replacing, c.replaced = false, nil
	if next != nil {
		c.publish(next)
	}
}

// listedIDs returns the ids of all servers in the view and of those that wait. The caller holds
// the lock.
func (c *Cache) listedIDs() (ids []group.ServerID) {
	for id := range c.latest().Servers {
		ids = append(ids, id)
	}
	for id := range c.returned {
		ids = append(ids, id)
	}
	return ids
}

// Expire removes the servers whose entries have been missing for longer than
// MissingEntryGracePeriod and returns their ids. It adds those whose returned entries
// have waited long enough.
func (c *Cache) Expire() (removed []group.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.admitReturned(now)
	for id, deadline := range c.missingUntil {
		if !now.Before(deadline) {
			c.removeServer(id)
			removed = append(removed, id)
		}
	}
	return removed
}

// startGracePeriod starts the grace period of a server unless it is running. The
// caller holds the lock.
func (c *Cache) startGracePeriod(id group.ServerID) {
	if c.missingUntil == nil {
		c.missingUntil = map[group.ServerID]time.Time{}
	}
	if _, ok := c.missingUntil[id]; ok {
		return
	}
	c.noteLastListed(id, c.confirmedAt)
	gracePeriod := c.MissingEntryGracePeriod
	if gracePeriod == 0 {
		gracePeriod = DefaultMissingEntryGracePeriod
	}
	c.missingUntil[id] = time.Now().Add(gracePeriod)
}

// removeServer removes a server from the view and ends its grace period. The
// caller holds the lock.
func (c *Cache) removeServer(id group.ServerID) {
	delete(c.missingUntil, id)
	delete(c.lastListed, id)
	c.noteRemoval(id)
	next := c.latest().clone()
	delete(next.Servers, id)
	c.publish(next)
}

// publish replaces the view and closes the channel that Changed returned, at the end of a
// complete list if one is being applied. The caller holds the lock.
func (c *Cache) publish(v *View) {
	if c.replacing {
		c.replaced = v
		return
	}
	c.view.Store(v)
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}
