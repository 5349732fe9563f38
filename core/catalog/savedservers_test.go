package catalog_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/group"
)

// fakeSavedServerStore is a SavedServerStore that all hosts of a test share.
type fakeSavedServerStore struct {
	mu          sync.Mutex
	saved       catalog.SavedServers
	writes      int
	unavailable bool
}

func (f *fakeSavedServerStore) LoadServers(context.Context) (catalog.SavedServers, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return catalog.SavedServers{}, errors.New("no answer")
	}
	return f.saved, nil
}

func (f *fakeSavedServerStore) SaveServers(_ context.Context, servers catalog.SavedServers) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable || servers.Version != f.saved.Version {
		return errors.New("conflict")
	}
	f.writes++
	servers.Version++
	f.saved = servers
	return nil
}

func (f *fakeSavedServerStore) ids() (ids []group.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.saved.Servers {
		ids = append(ids, s.ID)
	}
	return ids
}

// runHosts runs SyncSavedServers for each cache during a test.
func runHosts(t *testing.T, store *fakeSavedServerStore, caches []*catalog.Cache, test func()) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		for _, cache := range caches {
			syncer := catalog.Syncer{Cache: cache, SavedServerStore: store}
			wg.Go(func() { _ = syncer.SyncSavedServers(ctx) })
		}
		test()
	})
}

// Each change must be saved by one of several hosts. Servers that are leaving, or
// have had no entry for some time, must not be saved.
func TestServerChangesAreSaved(t *testing.T) {
	store := &fakeSavedServerStore{}
	caches := []*catalog.Cache{{}, {}, {}}
	runHosts(t, store, caches, func() {
		for _, cache := range caches {
			cache.ReplaceServers([]catalog.Server{server("a", false), server("b", false), server("c", true)})
		}
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, store.ids(), []group.ServerID{"a", "b"})
		assert.Equal(t, store.writes, 1)
		for _, cache := range caches {
			cache.MarkMissing("b")
		}
		time.Sleep(catalog.DefaultMissingEntryGracePeriod)
		for _, cache := range caches {
			cache.Expire()
		}
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, store.ids(), []group.ServerID{"a"})
	})
}

// Guards against a host that replaces a primary without asking a server whose entry was
// removed a short time before the host started.
func TestServersRemovedAShortTimeAgoAreSaved(t *testing.T) {
	store := &fakeSavedServerStore{}
	cache := &catalog.Cache{}
	runHosts(t, store, []*catalog.Cache{cache}, func() {
		cache.ReplaceServers([]catalog.Server{server("a", false), server("b", false)})
		time.Sleep(time.Second)
		assert.DeepEqual(t, store.ids(), []group.ServerID{"a", "b"})
		cache.MarkMissing("b")
		cache.PutServer(server("c", false))
		time.Sleep(catalog.DefaultMissingEntryGracePeriod)
		cache.Expire()
		for range 9 {
			time.Sleep(time.Second)
			assert.Assert(t, slices.Contains(store.ids(), "b"))
		}
		assert.Assert(t, slices.Contains(store.ids(), "c"))
	})
}

// A host that starts while entries have expired must know their servers, and
// remove those that do not register again.
func TestSavedServersWithoutEntriesAreRestored(t *testing.T) {
	store := &fakeSavedServerStore{saved: catalog.SavedServers{Servers: []catalog.Server{server("a", false), server("b", false)}, Version: 1}}
	cache := &catalog.Cache{}
	runHosts(t, store, []*catalog.Cache{cache}, func() {
		cache.ReplaceServers([]catalog.Server{server("c", false)})
		synctest.Wait()
		assert.Equal(t, len(cache.View().Servers), 3)
		cache.PutServer(server("a", false))
		time.Sleep(catalog.DefaultMissingEntryGracePeriod)
		assert.Assert(t, slices.Equal(cache.Expire(), []group.ServerID{"b"}))
	})
}

// An entry is newer than a saved server and must not be replaced by it.
func TestEntryIsNotReplacedBySavedServer(t *testing.T) {
	var cache catalog.Cache
	leaving := server("a", true)
	cache.PutServer(leaving)
	assert.Equal(t, len(cache.Restore([]catalog.Server{server("a", false)})), 0)
	assert.Equal(t, cache.View().Servers["a"], leaving)
}
