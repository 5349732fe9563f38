package catalog

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"basilmill/core/group"
)

// Memory keeps the servers in the platform's store in an object that does not
// lapse with their entries. A host that starts after an outage of the store
// knows from it the servers that have not registered again yet.
type Memory interface {
	// Recall returns the remembered servers, none if there are none.
	Recall(ctx context.Context) (Remembered, error)
	// Remember replaces what was recalled. It fails if another host did so
	// since.
	Remember(ctx context.Context, r Remembered) error
}

// Remembered is a list of servers, ordered by id, as of a revision of the store.
// Roles are left out: they change more often than the rest.
type Remembered struct {
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
func (b *Book) Restore(servers []Server) (added []group.ServerID) {
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
func (b *Book) listed() []Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	var servers []Server
	for id, s := range b.View().Servers {
		if _, absent := b.absent[id]; !absent && !s.Leaving {
			s.Primary = false
			servers = append(servers, s)
		}
	}
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return servers
}

// FollowMemory restores the servers that the memory has and the first list
// lacks, and then keeps the memory up to date until ctx ends.
func (f *Feed) FollowMemory(ctx context.Context) error {
	recalled := f.recallFirst(ctx)
	if added := f.Book.Restore(recalled.Servers); len(added) > 0 && f.Restored != nil {
		f.Restored(added)
	}
	for ctx.Err() == nil {
		changed := f.Book.Changed()
		if servers := f.Book.listed(); len(servers) == 0 || slices.Equal(servers, recalled.Servers) {
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
func (f *Feed) recallFirst(ctx context.Context) Remembered {
	for ctx.Err() == nil {
		recalled, err := f.recall(ctx)
		if err == nil {
			return recalled
		}
		if !sleep(ctx, listSpacing) {
			break
		}
	}
	return Remembered{}
}

func (f *Feed) recall(ctx context.Context) (Remembered, error) {
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	return f.Memory.Recall(ctx)
}

// update makes the memory hold the servers that are listed now, unless another
// host has done so. A failure is made up for at the next change, or a pause
// later.
func (f *Feed) update(ctx context.Context, old Remembered) Remembered {
	current, err := f.recall(ctx)
	if err != nil {
		return old
	}
	wanted := Remembered{Servers: f.Book.listed(), Revision: current.Revision}
	if len(wanted.Servers) == 0 || slices.Equal(wanted.Servers, current.Servers) {
		return current
	}
	ctx, cancel := context.WithTimeout(ctx, memoryTimeout)
	defer cancel()
	if err := f.Memory.Remember(ctx, wanted); err != nil {
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
