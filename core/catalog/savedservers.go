package catalog

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"basilmill/core/distribution"
	"basilmill/core/group"
)

// SavedServerStore keeps a list of the servers in the platform's store that does
// not expire like their entries. After an outage of the store, a host that starts
// learns from it the servers that have not registered again yet.
type SavedServerStore interface {
	// LoadServers returns the saved servers. The list is empty if none was saved.
	LoadServers(ctx context.Context) (SavedServers, error)
	// SaveServers replaces the saved servers. It fails if the stored version
	// is no longer servers.Version, because another host has replaced them.
	SaveServers(ctx context.Context, servers SavedServers) error
}

// SavedServers is a list of servers, ordered by id, as of a version of the
// store. ClaimsPrimary is not saved: it changes more often than the other fields.
type SavedServers struct {
	Servers []Server
	Version distribution.Version
}

const (
	// saveDelay is the minimum time between a change of the view and the update
	// of the saved servers: rolling replacements change several entries in a
	// row.
	saveDelay = 3 * time.Second
	// maxSaveJitterDelay bounds the random delay added to saveDelay, so that
	// usually one host updates the saved servers and the others find them up
	// to date.
	maxSaveJitterDelay = 6 * time.Second
	// initialSaveDelay bounds the random delay while no servers are saved.
	initialSaveDelay = time.Second
	// savedRemovalRetention is how long a server stays saved after it was removed from the
	// view because its entry was missing: a host that starts meanwhile has to ask it before
	// it replaces a primary.
	savedRemovalRetention = 10 * time.Second
	// savedServersTimeout bounds one call to the SavedServerStore.
	savedServersTimeout = time.Second
)

// Restore adds the given servers unless the view has them. Like servers whose
// entries are missing, they are removed after MissingEntryGracePeriod. It
// returns the ids of the added servers.
func (c *Cache) Restore(servers []Server) (added []group.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.View().clone()
	for _, s := range servers {
		if _, ok := next.Servers[s.ID]; ok {
			continue
		}
		if next.Servers == nil {
			next.Servers = map[group.ServerID]Server{}
		}
		next.Servers[s.ID] = s
		c.noteLastListed(s.ID, 0)
		c.startGracePeriod(s.ID)
		added = append(added, s.ID)
	}
	if len(added) > 0 {
		c.publish(next)
	}
	return added
}

// serversToSave returns the servers of the view, and those whose entries went missing a
// short time ago, except those that are leaving.
func (c *Cache) serversToSave() []Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	var servers []Server
	add := func(s Server) {
		if !s.Leaving {
			s.ClaimsPrimary = false
			servers = append(servers, s)
		}
	}
	for _, s := range c.View().Servers {
		add(s)
	}
	for id, r := range c.removals {
		if _, ok := c.View().Servers[id]; !ok && time.Since(r.at) < savedRemovalRetention {
			add(r.server)
		}
	}
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return servers
}

// SyncSavedServers restores the saved servers that the view lacks, and then keeps
// the saved servers up to date with the view until ctx ends.
func (s *Syncer) SyncSavedServers(ctx context.Context) error {
	saved := s.loadSavedWithRetry(ctx)
	era := saved.Version.Era()
	if saved.Version == 0 {
		era, _ = s.Eras.Newest()
	}
	if added := s.Cache.Restore(saved.Servers); len(added) > 0 && s.OnRestore != nil {
		s.OnRestore(added)
	}
	for ctx.Err() == nil {
		changed, risen := s.Cache.Changed(), s.Eras.Risen()
		if s.Eras.IsOver(era) {
			// The store may have lost the list.
			saved = SavedServers{}
			era, _ = s.Eras.Newest()
		}
		if servers := s.Cache.serversToSave(); len(servers) == 0 || slices.Equal(servers, saved.Servers) {
			select {
			case <-changed:
			case <-risen:
			case <-time.After(savedRemovalRetention):
			case <-ctx.Done():
			}
			continue
		}
		delay := saveDelay + rand.N(maxSaveJitterDelay)
		if len(saved.Servers) == 0 {
			delay = rand.N(initialSaveDelay)
		}
		if !sleep(ctx, delay) {
			break
		}
		if s.IsSaver == nil || s.IsSaver() {
			saved = s.updateSaved(ctx, saved)
		}
	}
	return nil
}

// loadSavedWithRetry loads the saved servers and retries after each failure until
// ctx ends.
func (s *Syncer) loadSavedWithRetry(ctx context.Context) SavedServers {
	for ctx.Err() == nil {
		saved, err := s.loadSaved(ctx)
		if err == nil {
			return saved
		}
		if !sleep(ctx, listRetryInterval) {
			break
		}
	}
	return SavedServers{}
}

func (s *Syncer) loadSaved(ctx context.Context) (SavedServers, error) {
	ctx, cancel := context.WithTimeout(ctx, savedServersTimeout)
	defer cancel()
	return s.SavedServerStore.LoadServers(ctx)
}

// updateSaved saves the registered servers unless another host has already done
// so, and returns the servers that are now saved. After a failure it returns
// older ones, so that SyncSavedServers tries again after the next delay.
func (s *Syncer) updateSaved(ctx context.Context, old SavedServers) SavedServers {
	current, err := s.loadSaved(ctx)
	if err != nil {
		return old
	}
	wanted := SavedServers{Servers: s.Cache.serversToSave(), Version: current.Version}
	if len(wanted.Servers) == 0 || slices.Equal(wanted.Servers, current.Servers) {
		return current
	}
	ctx, cancel := context.WithTimeout(ctx, savedServersTimeout)
	defer cancel()
	if err := s.SavedServerStore.SaveServers(ctx, wanted); err != nil {
		return current
	}
	return wanted
}

// sleep waits for a time. It returns false if ctx ends first.
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
