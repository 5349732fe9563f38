package catalog_test

import (
	"context"
	"errors"
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
	var b catalog.Book
	assert.Assert(t, b.SetConfig(&catalog.Config{Version: 7}))
	assert.Assert(t, !b.SetConfig(&catalog.Config{Version: 3}))
	assert.Assert(t, !b.SetConfig(&catalog.Config{Version: 7}))
	assert.Equal(t, b.View().Config.Version, catalog.Version(7))
}

// Entries that lapse while the store is away come back; the servers must be
// used meanwhile, and not for longer.
func TestMissingEntryIsKeptForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b catalog.Book
		b.ReplaceServers([]catalog.Server{server("a", false), server("b", false)})
		b.ReplaceServers([]catalog.Server{server("b", false)})
		assert.Equal(t, len(b.View().Members("g")), 2)
		time.Sleep(time.Second)
		b.PutServer(server("a", false))
		b.RemoveServer("b")
		time.Sleep(catalog.DefaultAbsence)
		assert.DeepEqual(t, b.Expire(), []group.ServerID{"b"})
		assert.Equal(t, len(b.View().Members("g")), 1)
	})
}

// A server that said that it leaves is gone when its entry is.
func TestLeavingServerIsDroppedAtOnce(t *testing.T) {
	var b catalog.Book
	b.PutServer(server("a", true))
	b.RemoveServer("a")
	assert.Equal(t, len(b.View().Servers), 0)
}

// script is a source that plays recorded answers of the store.
type script struct {
	lists   int
	watches []func() ([]catalog.Change, catalog.Revision, error)
	from    []catalog.Revision
}

func (s *script) ListServers(context.Context) ([]catalog.Change, catalog.Revision, error) {
	s.lists++
	a := server("a", false)
	return []catalog.Change{{ID: "a", Server: &a}}, catalog.Revision(100 * s.lists), nil
}

func (s *script) WatchServers(ctx context.Context, from catalog.Revision, _ time.Duration) ([]catalog.Change, catalog.Revision, error) {
	s.from = append(s.from, from)
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
func follow(t *testing.T, s *script, d time.Duration) *catalog.Book {
	t.Helper()
	var b catalog.Book
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	f := catalog.Feed{Book: &b, Source: s}
	assert.NilError(t, f.FollowServers(ctx))
	return &b
}

// When the store has dropped its history, changes were missed: the list must be
// read again.
func TestGoneHistoryIsReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{watches: []func() ([]catalog.Change, catalog.Revision, error){
			func() ([]catalog.Change, catalog.Revision, error) { return nil, 0, catalog.ErrHistoryGone },
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
		s := &script{watches: []func() ([]catalog.Change, catalog.Revision, error){
			func() ([]catalog.Change, catalog.Revision, error) { return nil, 0, errors.New("reset") },
			func() ([]catalog.Change, catalog.Revision, error) {
				return []catalog.Change{{ID: "a", Server: &leaving}}, 105, nil
			},
		}}
		b := follow(t, s, 2*time.Second)
		assert.Equal(t, s.lists, 1)
		assert.DeepEqual(t, s.from, []catalog.Revision{100, 100, 105})
		assert.Assert(t, b.View().Servers["a"].Leaving)
	})
}

// An entry that another writer made unreadable names no server.
func TestUnreadableEntryRemovesTheServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &script{watches: []func() ([]catalog.Change, catalog.Revision, error){
			func() ([]catalog.Change, catalog.Revision, error) { return []catalog.Change{{ID: "a"}}, 105, nil },
		}}
		b := follow(t, s, time.Second)
		time.Sleep(catalog.DefaultAbsence)
		b.Expire()
		assert.Equal(t, len(b.View().Servers), 0)
	})
}
