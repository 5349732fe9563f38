package catalog

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"basilmill/core/group"
)

// SavedServerStore keeps the servers in the platform's store in an object that does not
// lapse with their entries. A host that starts after an outage of the store
// knows from it the servers that have not registered again yet.
type SavedServerStore interface {
	// LoadServers returns the remembered servers, none if there are none.
	LoadServers(ctx context.Context) (SavedServers, error)
	// SaveServers replaces what was recalled. It fails if another host did so
	// since.
	SaveServers(ctx context.Context, r SavedServers) error
}

// SavedServers is a list of servers, ordered by id, as of a revision of the store.
// Roles are left out: they change more often than the rest.
type SavedServers struct {
	Servers  []Server
	Revision Revision
}

const (
	// memoryPause is the time between a change of the view and the update of
	// the memory: rolling replacements change several entries in a row.
	memoryPause = 3 * time.Second
	// memorySpread is added at random, so that one host updates the memory and
	// the others find it up to date.
	memorySpread = 6 * time.Second
	// memoryTimeout bounds one call.
	memoryTimeout = time.Second
)

// Restore adds servers that have no entry. They are dropped like servers whose
// entries are missing.
func (b *Cache) Restore(servers []Server) (added []group.ServerID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := b.View().clone()
	for _, s := range servers {
		if _, ok := next.Servers[s.ID]; ok {
			continue
		}
		if next.Servers == nil {
			next.Servers = map[group.ServerID]Server{}
		}
		next.Servers[s.ID] = s
		b.absentSince(s.ID)
		added = append(added, s.ID)
	}
	if len(added) > 0 {
		b.publish(next)
	}
	return added
}

// listed returns what is worth remembering: the servers that have an entry and
// stay.
func (b *Cache) listed() []Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	var servers []Server
	for id, s := range b.View().Servers {
		if _, absent := b.absent[id]; !absent && !s.Leaving {
			s.ClaimsPrimary = false
			servers = append(servers, s)
		}
	}
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return servers
}

// SyncSavedServers restores the servers that the memory has and the first list
// lacks, and then keeps the memory up to date until ctx ends.
func (f *Syncer) SyncSavedServers(ctx context.Context) error {
	recalled := f.recallFirst(ctx)
	if added := f.Cache.Restore(recalled.Servers); len(added) > 0 && f.OnRestore != nil {
		f.OnRestore(added)
	}
	for ctx.Err() == nil {
		changed := f.Cache.Changed()
		if servers := f.Cache.listed(); len(servers) == 0 || slices.Equal(servers, recalled.Servers) {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if !sleep(ctx, memoryPause+rand.N(memorySpread)) {
			break
		}
		recalled = f.update(ctx, recalled)
	}
	return nil
}

// recallFirst reads the memory, again after each failure.
func (f *Syncer) recallFirst(ctx context.Context) SavedServers {
	for ctx.Err() == nil {
		recalled, err := f.recall(ctx)
		if err == nil {
			return recalled
		}
		if !sleep(ctx, listSpacing) {
			break
		}
	}
	return SavedServers{}
}

func (f *Syncer) recall(ctx context.Context) (SavedServers, error) {
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	return f.SavedServerStore.LoadServers(ctx)
}

// update makes the memory hold the servers that are listed now, unless another
// host has done so. A failure is made up for at the next change, or a pause
// later.
func (f *Syncer) update(ctx context.Context, old SavedServers) SavedServers {
	current, err := f.recall(ctx)
	if err != nil {
		return old
	}
	wanted := SavedServers{Servers: f.Cache.listed(), Revision: current.Revision}
	if len(wanted.Servers) == 0 || slices.Equal(wanted.Servers, current.Servers) {
		return current
	}
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	if err := f.SavedServerStore.SaveServers(ctx, wanted); err != nil {
		return current
	}
	return wanted
}

// sleep waits. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
