package catalog_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
)

// Guards against a server that counts as listed although the store has not listed it since, or
// only as one that leaves.
func TestListingOfAServerAges(t *testing.T) {
	var cache catalog.Cache
	cache.ReplaceServers([]catalog.Server{server("a", false), server("b", false)})
	assert.Equal(t, cache.ListedAt("a"), time.Duration(0))
	cache.Confirm(10*time.Second, time.Second)
	assert.Equal(t, cache.ListedAt("a"), 9*time.Second)
	cache.Confirm(10*time.Second, 2*time.Second)
	assert.Equal(t, cache.ListedAt("a"), 9*time.Second)
	cache.MarkMissing("a")
	cache.PutServer(server("b", true))
	cache.PutServer(server("c", true))
	cache.Confirm(11*time.Second, 0)
	cache.PutServer(server("b", true))
	cache.Confirm(12*time.Second, 0)
	assert.Equal(t, cache.ListedAt("a"), 9*time.Second)
	assert.Equal(t, cache.ListedAt("b"), 9*time.Second)
	assert.Equal(t, cache.ListedAt("c"), time.Duration(0))
	cache.PutServer(server("a", false))
	assert.Equal(t, cache.ListedAt("a"), 12*time.Second)
	cache.MarkMissing("b")
	assert.Equal(t, cache.ListedAt("b"), time.Duration(0))
	assert.Equal(t, cache.ListedAt("unknown"), time.Duration(0))
	cache.Restore([]catalog.Server{server("d", false)})
	assert.Equal(t, cache.ListedAt("d"), time.Duration(0))
}
