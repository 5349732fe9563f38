package replicated_test

import (
	"context"
	"sync"

	"basilmill/core/catalog"
	"basilmill/core/takeover"
)

// savedServers is the list of servers in the platform's store that does not expire.
type savedServers struct {
	mu   sync.Mutex
	list catalog.SavedServers
}

func newSavedServers(servers []catalog.Server) *savedServers {
	list := catalog.SavedServers{Version: 1}
	for _, s := range servers {
		s.ClaimsPrimary = false
		list.Servers = append(list.Servers, s)
	}
	return &savedServers{list: list}
}

// partitionedSavedServers implements catalog.SavedServerStore for a host behind a partition.
type partitionedSavedServers struct {
	saved     *savedServers
	partition *partition
}

// LoadServers implements catalog.SavedServerStore.
func (s partitionedSavedServers) LoadServers(context.Context) (catalog.SavedServers, error) {
	if s.partition.separatesStore() {
		return catalog.SavedServers{}, errPartitioned
	}
	s.saved.mu.Lock()
	defer s.saved.mu.Unlock()
	return s.saved.list, nil
}

// SaveServers implements catalog.SavedServerStore.
func (s partitionedSavedServers) SaveServers(_ context.Context, servers catalog.SavedServers) error {
	if s.partition.separatesStore() {
		return errPartitioned
	}
	s.saved.mu.Lock()
	defer s.saved.mu.Unlock()
	if servers.Version != s.saved.list.Version {
		return takeover.ErrConflict
	}
	servers.Version++
	s.saved.list = servers
	return nil
}
