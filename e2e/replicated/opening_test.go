package replicated_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/proxy"
)

// A host without a configuration must not deny that a database exists: callers
// take that for final.
func TestOpeningWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := &catalog.Cache{}
		p := proxy.New(proxy.Config{Cache: book})
		_, failure := p.Open(context.Background(), currentDB)
		assert.Assert(t, failure != nil)
		assert.Equal(t, failure.Code, exchange.Busy)

		time.AfterFunc(50*time.Millisecond, func() { book.SetConfig(testConfig()) })
		_, failure = p.Open(context.Background(), currentDB)
		assert.Assert(t, failure == nil, "%v", failure)
		_, failure = p.Open(context.Background(), "absent")
		assert.Assert(t, failure != nil)
		assert.Equal(t, failure.Code, exchange.NoDatabase)
	})
}
