package catalog_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/distribution"
)

func entry(era distribution.Era, boot, sequence int64, leaving bool) catalog.Entry {
	e := catalog.Entry{Server: server("a", leaving), Era: era, Sequence: sequence}
	e.BootID = boot
	return e
}

// Guards against reports of a server that go back with the store, and against newer ones
// that are ignored.
func TestEntriesDoNotGoBackWithTheStore(t *testing.T) {
	known := entry(1, 10, 7, true)
	for name, test := range map[string]struct {
		entry catalog.Entry
		// used and usedLater say whether the entry is in the view at once, and after it
		// has been in the store for ten seconds.
		used, usedLater bool
	}{
		"older report":                     {entry(2, 10, 6, false), false, false},
		"same report":                      {entry(2, 10, 7, false), true, true},
		"newer report":                     {entry(2, 10, 8, false), true, true},
		"earlier boot":                     {entry(2, 9, 99, false), false, true},
		"later boot":                       {entry(2, 11, 1, false), true, true},
		"lower sequence in the same era":   {entry(1, 10, 6, false), true, true},
		"sequence unknown in a later era":  {entry(2, 10, 0, false), false, false},
		"earlier boot within the same era": {entry(1, 9, 1, false), true, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cache catalog.Cache
				cache.PutEntry(known)
				cache.ReplaceEntries([]catalog.Entry{test.entry})
				assert.Equal(t, cache.View().Servers["a"] == test.entry.Server, test.used)
				time.Sleep(10 * time.Second)
				cache.ReplaceEntries([]catalog.Entry{test.entry})
				cache.Expire()
				assert.Equal(t, cache.View().Servers["a"] == test.entry.Server, test.usedLater)
			})
		})
	}
}

// Guards against a server that was removed and is used again because the copy holds its
// entry, and against one that is left out although it is alive.
func TestRemovedServerIsUsedAgainOnlyIfItsEntryStays(t *testing.T) {
	for name, test := range map[string]struct {
		entry           catalog.Entry
		expires         bool
		used, usedLater bool
	}{
		"gone":             {entry(2, 10, 5, false), true, false, false},
		"alive":            {entry(2, 10, 7, false), false, false, true},
		"reported since":   {entry(2, 10, 8, false), false, true, true},
		"started again":    {entry(2, 11, 1, false), false, true, true},
		"in the same era":  {entry(1, 10, 7, false), false, true, true},
		"of the same boot": {entry(2, 10, 0, false), false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cache catalog.Cache
				cache.PutEntry(entry(1, 10, 7, false))
				cache.MarkMissing("a")
				time.Sleep(catalog.DefaultMissingEntryGracePeriod)
				assert.Equal(t, len(cache.Expire()), 1)
				used := func() bool { _, ok := cache.View().Servers["a"]; return ok }
				cache.PutEntry(test.entry)
				cache.Expire()
				assert.Equal(t, used(), test.used)
				time.Sleep(4 * time.Second)
				if test.expires {
					cache.ReplaceEntries(nil)
				}
				time.Sleep(4 * time.Second)
				cache.Expire()
				assert.Equal(t, used(), test.usedLater)
			})
		})
	}
}

// A copy that is older than removals are remembered must not hide a server for good.
func TestRemovalsAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cache catalog.Cache
		cache.PutEntry(entry(1, 10, 7, true))
		cache.MarkMissing("a")
		assert.Equal(t, len(cache.View().Servers), 0)
		time.Sleep(2 * time.Minute)
		assert.Assert(t, cache.PutEntry(entry(2, 10, 7, false)))
	})
}

// Guards against a server that leaves its group at once, and still counts as listed, because
// another writer has put an entry with another group in its place: hosts would count its
// confirmations for longer than changes of primary ask it.
func TestEntryOfAnotherGroupDoesNotMoveAServer(t *testing.T) {
	for name, put := range map[string]func(*catalog.Cache, catalog.Server){
		"in a watch": func(c *catalog.Cache, s catalog.Server) { c.PutServer(s) },
		"in a list":  func(c *catalog.Cache, s catalog.Server) { c.ReplaceServers([]catalog.Server{s}) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var cache catalog.Cache
				own, foreign := server("a", false), server("a", false)
				foreign.Group = "other"
				put(&cache, own)
				cache.Confirm(time.Second, 0)
				put(&cache, foreign)
				cache.Confirm(2*time.Second, 0)
				assert.Equal(t, len(cache.View().Members("g")), 1)
				assert.Equal(t, len(cache.Listed("g")), 0)
				assert.Equal(t, cache.ListedAt("a"), time.Second)

				time.Sleep(4 * time.Second)
				put(&cache, own)
				cache.Expire()
				cache.Confirm(6*time.Second, 0)
				assert.Equal(t, cache.ListedAt("a"), 6*time.Second)

				put(&cache, foreign)
				time.Sleep(catalog.DefaultMissingEntryGracePeriod)
				cache.Expire()
				assert.Equal(t, len(cache.View().Servers), 0)
				time.Sleep(2 * time.Second)
				cache.Expire()
				assert.Equal(t, len(cache.View().Members("other")), 1)
			})
		})
	}
}
