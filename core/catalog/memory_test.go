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

// memory is a memory that all hosts of a test share.
type memory struct {
	mu     sync.Mutex
	held   catalog.SavedServers
	writes int
	down   bool
}

func (m *memory) LoadServers(context.Context) (catalog.SavedServers, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return catalog.SavedServers{}, errors.New("no answer")
	}
	return m.held, nil
}

func (m *memory) SaveServers(_ context.Context, r catalog.SavedServers) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down || r.Revision != m.held.Revision {
		return errors.New("conflict")
	}
	m.writes++
	r.Revision++
	m.held = r
	return nil
}

func (m *memory) ids() (ids []group.ServerID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, s := range m.held.Servers {
		ids = append(ids, s.ID)
	}
	return ids
}

// remember runs hosts with the memory and ends them.
func remember(t *testing.T, m *memory, books []*catalog.Cache, test func()) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var wait sync.WaitGroup
		defer wait.Wait()
		defer cancel()
		for _, b := range books {
			f := catalog.Syncer{Cache: b, SavedServerStore: m}
			wait.Go(func() { _ = f.SyncSavedServers(ctx) })
		}
		test()
	})
}

// One of several hosts writes each change; servers that leave or have no entry
// are not remembered.
func TestMemoryFollowsTheView(t *testing.T) {
	m := &memory{}
	books := []*catalog.Cache{{}, {}, {}}
	remember(t, m, books, func() {
		for _, b := range books {
			b.ReplaceServers([]catalog.Server{server("a", false), server("b", false), server("c", true)})
		}
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, m.ids(), []group.ServerID{"a", "b"})
		assert.Equal(t, m.writes, 1)
		for _, b := range books {
			b.MarkMissing("b")
		}
		time.Sleep(catalog.DefaultMissingEntryGracePeriod)
		for _, b := range books {
			b.Expire()
		}
		time.Sleep(20 * time.Second)
		assert.DeepEqual(t, m.ids(), []group.ServerID{"a"})
	})
}

// A host that starts while entries have lapsed must know their servers, and
// drop those that do not come back.
func TestHostKnowsLapsedServers(t *testing.T) {
	m := &memory{held: catalog.SavedServers{Servers: []catalog.Server{server("a", false), server("b", false)}, Revision: 1}}
	b := &catalog.Cache{}
	remember(t, m, []*catalog.Cache{b}, func() {
		b.ReplaceServers([]catalog.Server{server("c", false)})
		synctest.Wait()
		assert.Equal(t, len(b.View().Servers), 3)
		b.PutServer(server("a", false))
		time.Sleep(catalog.DefaultMissingEntryGracePeriod)
		assert.Assert(t, slices.Equal(b.Expire(), []group.ServerID{"b"}))
	})
}

// An entry is newer than the memory.
func TestEntryWinsOverMemory(t *testing.T) {
	var b catalog.Cache
	leaving := server("a", true)
	b.PutServer(leaving)
	assert.Equal(t, len(b.Restore([]catalog.Server{server("a", false)})), 0)
	assert.Equal(t, b.View().Servers["a"], leaving)
}
