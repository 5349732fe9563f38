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

func (m *fakeSavedServerStore) LoadServers(context.Context) (catalog.SavedServers, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return catalog.SavedServers{}, errors.New("no answer")
	}
	return m.saved, nil
}

func (m *fakeSavedServerStore) SaveServers(_ context.Context, r catalog.SavedServers) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable || r.Revision != m.saved.Revision {
		return errors.New("conflict")
	}
	m.writes++
	r.Revision++
	m.saved = r
	return nil
}

func (m *fakeSavedServerStore) ids() (ids []group.ServerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.saved.Servers {
		ids = append(ids, s.ID)
	}
	return ids
}

// runHosts runs SyncSavedServers for each cache during a test.
func runHosts(t *testing.T, m *fakeSavedServerStore, caches []*catalog.Cache, test func()) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		defer wg.Wait()
		defer cancel()
		for _, b := range caches {
			f := catalog.Syncer{Cache: b, SavedServerStore: m}
			wg.Go(func() { _ = f.SyncSavedServers(ctx) })
		}
		test()
	})
}

// Each change must be saved by one of several hosts. Servers that are leaving or
// have no entry must not be saved.
func TestMemoryFollowsTheView(t *testing.T) {
	m := &fakeSavedServerStore{}
	caches := []*catalog.Cache{{}, {}, {}}
	runHosts(t, m, caches, func() {
		for _, b := range caches {
			b.ReplaceServers([]catalog.Server{server("a", false), server("b", false), server("c", true)})
		}
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, m.ids(), []group.ServerID{"a", "b"})
		assert.Equal(t, m.writes, 1)
		for _, b := range caches {
			b.MarkMissing("b")
		}
		time.Sleep(catalog.DefaultMissingEntryGracePeriod)
		for _, b := range caches {
			b.Expire()
		}
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, m.ids(), []group.ServerID{"a"})
	})
}

// A host that starts while entries have expired must know their servers, and
// remove those that do not register again.
func TestHostKnowsLapsedServers(t *testing.T) {
	m := &fakeSavedServerStore{saved: catalog.SavedServers{Servers: []catalog.Server{server("a", false), server("b", false)}, Revision: 1}}
	b := &catalog.Cache{}
	runHosts(t, m, []*catalog.Cache{b}, func() {
		b.ReplaceServers([]catalog.Server{server("c", false)})
		synctest.Wait()
		assert.Equal(t, len(b.View().Servers), 3)
		b.PutServer(server("a", false))
		time.Sleep(catalog.DefaultMissingEntryGracePeriod)
		assert.Assert(t, slices.Equal(b.Expire(), []group.ServerID{"b"}))
	})
}

// An entry is newer than a saved server and must not be replaced by it.
func TestEntryWinsOverMemory(t *testing.T) {
	var b catalog.Cache
	leaving := server("a", true)
	b.PutServer(leaving)
	assert.Equal(t, len(b.Restore([]catalog.Server{server("a", false)})), 0)
	assert.Equal(t, b.View().Servers["a"], leaving)
}
