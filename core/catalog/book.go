package catalog

import (
	"sync"
	"sync/atomic"
	"time"

	"basilmill/core/group"
)

// DefaultMissingEntryGracePeriod is how long a server without an entry is kept. Entries that
// lapsed while the store was unavailable are back within two seconds of its
// return (users' letter), and a server that is gone must get no new work after
// 7 s; a server that lost only its path to the store goes on serving meanwhile.
const DefaultMissingEntryGracePeriod = 4500 * time.Millisecond

// Cache holds the current view. Its zero value is empty and ready for use. It is
// safe for concurrent use.
type Cache struct {
	// MissingEntryGracePeriod is how long a server without an entry is kept; zero selects
	// DefaultAbsence. A server that was leaving is dropped at once.
	MissingEntryGracePeriod time.Duration

	mu      sync.Mutex
	view    atomic.Pointer[View]
	changed chan struct{}
	// absent holds the deadline of each server whose entry is missing.
	absent map[group.ServerID]time.Time
}

// View returns the current view.
func (b *Cache) View() *View {
	if v := b.view.Load(); v != nil {
		return v
	}
	return &View{}
}

// Changed returns a channel that is closed at the next change.
func (b *Cache) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.changed == nil {
		b.changed = make(chan struct{})
	}
	return b.changed
}

// SetConfig installs a configuration unless the current one is as new. It
// reports whether the view changed.
func (b *Cache) SetConfig(c *Config) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.View().clone()
	if next.Config != nil && next.Config.Version >= c.Version {
		return false
	}
	next.Config = c
	b.publish(next)
	return true
}

// PutServer installs a server's entry.
func (b *Cache) PutServer(s Server) (changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.absent, s.ID)
	next := b.View().clone()
	if next.Servers == nil {
		next.Servers = map[group.ServerID]Server{}
	}
	if old, ok := next.Servers[s.ID]; ok && old == s {
		return false
	}
	next.Servers[s.ID] = s
	b.publish(next)
	return true
}

// MarkMissing notes that a server's entry is missing. A leaving server is
// dropped at once, another one after Absence.
func (b *Cache) MarkMissing(id group.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s, ok := b.View().Servers[id]
	if !ok {
		return
	}
	if s.Leaving {
		b.drop(id)
		return
	}
	b.absentSince(id)
}

// ReplaceServers installs the complete list of servers.
func (b *Cache) ReplaceServers(servers []Server) {
	present := map[group.ServerID]bool{}
	for _, s := range servers {
		present[s.ID] = true
		b.PutServer(s)
	}
	for id := range b.View().Servers {
		if !present[id] {
			b.MarkMissing(id)
		}
	}
}

// Expire drops the servers whose entries have been missing for too long and
// returns them.
func (b *Cache) Expire() (dropped []group.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for id, deadline := range b.absent {
		if !now.Before(deadline) {
			b.drop(id)
			dropped = append(dropped, id)
		}
	}
	return dropped
}

func (b *Cache) absentSince(id group.ServerID) {
	if b.absent == nil {
		b.absent = map[group.ServerID]time.Time{}
	}
	if _, ok := b.absent[id]; ok {
		return
	}
	absence := b.MissingEntryGracePeriod
	if absence == 0 {
		absence = DefaultMissingEntryGracePeriod
	}
	b.absent[id] = time.Now().Add(absence)
}

func (b *Cache) drop(id group.ServerID) {
	delete(b.absent, id)
	next := b.View().clone()
	delete(next.Servers, id)
	b.publish(next)
}

func (b *Cache) publish(v *View) {
	b.view.Store(v)
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}
