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

func server(id group.ServerID, leaving bool) catalog.Server {
	return catalog.Server{ID: id, Group: "g", Leaving: leaving}
}

// A stale answer of the store must not bring back an older configuration.
func TestConfigurationNeverStepsBack(t *testing.T) {
	var b catalog.Cache
	assert.Assert(t, b.SetConfig(&catalog.Config{Version: 7}))
	assert.Assert(t, !b.SetConfig(&catalog.Config{Version: 3}))
	assert.Assert(t, !b.SetConfig(&catalog.Config{Version: 7}))
	assert.Equal(t, b.View().Config.Version, catalog.Version(7))
}

// Entries that lapse while the store is away come back; the servers must be
// used meanwhile, and not for longer.
func TestMissingEntryIsKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b catalog.Cache
		b.ReplaceServers([]catalog.Server{server("a", false), server("b", false)})
		b.ReplaceServers([]catalog.Server{server("b", false)})
		assert.Equal(t, len(b.View().Members("g")), 2)
		time.Sleep(time.Second)
		b.PutServer(server("a", false))
		b.MarkMissing("b")
		time.Sleep(catalog.DefaultMissingEntryGracePeriod)
		assert.DeepEqual(t, b.Expire(), []group.ServerID{"b"})
		assert.Equal(t, len(b.View().Members("g")), 1)
	})
}

// A server that said that it leaves is gone when its entry is.
func TestLeavingServerIsDroppedAtOnce(t *testing.T) {
	var b catalog.Cache
	b.PutServer(server("a", true))
	b.MarkMissing("a")
	assert.Equal(t, len(b.View().Servers), 0)
}

// script is a source that plays recorded answers of the store.
type script struct {
	mu      sync.Mutex
	lists   int
	watches []func() ([]catalog.ServerChange, catalog.Revision, error)
	waits   []time.Duration
	// lost is the number of lists that are never answered.
	lost int
	from []catalog.Revision
}

func (s *script) ListServers(ctx context.Context) ([]catalog.ServerChange, catalog.Revision, error) {
	s.mu.Lock()
	s.lists++
	n := s.lists
	s.mu.Unlock()
	if n <= s.lost {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	a := server("a", false)
	return []catalog.ServerChange{{ID: "a", Server: &a}}, catalog.Revision(100 * n), nil
}

func (s *script) WatchServers(ctx context.Context, from catalog.Revision, wait time.Duration) ([]catalog.ServerChange, catalog.Revision, error) {
	s.from = append(s.from, from)
	s.waits = append(s.waits, wait)
	if len(s.watches) == 0 {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	next := s.watches[0]
	s.watches = s.watches[1:]
	return next()
}

func (s *script) ListConfig(context.Context) (*catalog.Config, catalog.Revision, error) {
	return nil, 0, errors.New("not scripted")
}

func (s *script) WatchConfig(context.Context, catalog.Revision, time.Duration) (*catalog.Config, catalog.Revision, error) {
	return nil, 0, errors.New("not scripted")
}

// follow plays a script for a while.
func follow(t *testing.T, s *script, d time.Duration) *catalog.Cache {
	t.Helper()
	b := &catalog.Cache{}
	followFor(t, &catalog.Syncer{Cache: b, Source: s}, d)
	return b
}

// When the store has dropped its history, changes were missed: the list must be
// read again.
func TestGoneHistoryIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{watches: []func() ([]catalog.ServerChange, catalog.Revision, error){
			func() ([]catalog.ServerChange, catalog.Revision, error) { return nil, 0, catalog.ErrHistoryGone },
		}}
		follow(t, s, time.Second)
		assert.Equal(t, s.lists, 2)
		assert.DeepEqual(t, s.from, []catalog.Revision{100, 200})
	})
}

// A failed watch goes on from the same revision, so that nothing is missed.
func TestFailedWatchIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaving := server("a", true)
		s := &script{watches: []func() ([]catalog.ServerChange, catalog.Revision, error){
			func() ([]catalog.ServerChange, catalog.Revision, error) { return nil, 0, errors.New("reset") },
			func() ([]catalog.ServerChange, catalog.Revision, error) {
				return []catalog.ServerChange{{ID: "a", Server: &leaving}}, 105, nil
			},
		}}
		b := follow(t, s, 2*time.Second)
		assert.Equal(t, s.lists, 1)
		assert.DeepEqual(t, s.from, []catalog.Revision{100, 100, 105})
		assert.Assert(t, b.View().Servers["a"].Leaving)
	})
}

// Calls sent during an outage are never answered. The view must be there soon
// after its end, not when these calls time out.
func TestListIsReadSoonAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{lost: 2}
		b := follow(t, s, time.Second)
		assert.Equal(t, len(b.View().Servers), 1)
	})
}

// A watch whose answer never comes leaves the view old. Its wait must stay
// within the bound, and the waits after a failure must be short.
func TestWaitsStayWithinTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		answer := func() ([]catalog.ServerChange, catalog.Revision, error) { return nil, 100, nil }
		s := &script{watches: []func() ([]catalog.ServerChange, catalog.Revision, error){
			answer, answer, answer, answer,
			func() ([]catalog.ServerChange, catalog.Revision, error) { return nil, 0, errors.New("reset") },
			answer,
		}}
		const bound = 6 * time.Second
		f := catalog.Syncer{Cache: &catalog.Cache{}, Source: s, ServersTTL: bound}
		followFor(t, &f, time.Second)
		assert.Equal(t, len(s.waits), 7)
		longest := slices.Max(s.waits)
		assert.Assert(t, longest > bound/2 && longest < bound-time.Second, "%v", longest)
		assert.Equal(t, s.waits[5], s.waits[0])
		assert.Assert(t, s.waits[0] < longest)
	})
}

// A tight bound shortens the first wait too.
func TestWaitsAreShortForATightBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{}
		const bound = 2 * time.Second
		f := catalog.Syncer{Cache: &catalog.Cache{}, Source: s, ServersTTL: bound}
		followFor(t, &f, time.Second)
		assert.Assert(t, s.waits[0] < bound/2, "%v", s.waits)
	})
}

// followFor follows the servers for a while.
func followFor(t *testing.T, f *catalog.Syncer, d time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	assert.NilError(t, f.SyncServers(ctx))
}

// An entry that another writer made unreadable names no server.
func TestUnreadableEntryRemovesTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{watches: []func() ([]catalog.ServerChange, catalog.Revision, error){
			func() ([]catalog.ServerChange, catalog.Revision, error) {
				return []catalog.ServerChange{{ID: "a"}}, 105, nil
			},
		}}
		b := follow(t, s, time.Second)
		time.Sleep(catalog.DefaultMissingEntryGracePeriod)
		b.Expire()
		assert.Equal(t, len(b.View().Servers), 0)
	})
}
