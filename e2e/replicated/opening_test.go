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

// Guards against a host without a configuration that answers that a database does
// not exist: callers do not retry after that answer.
func TestOpeningWithoutConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cache := &catalog.Cache{}
		p := proxy.New(proxy.Config{Cache: cache})
		_, failure := p.Open(context.Background(), currentDB)
		assert.Assert(t, failure != nil)
		assert.Equal(t, failure.Code, exchange.Busy)

		time.AfterFunc(50*time.Millisecond, func() { cache.SetConfig(testConfig(defaultConnectionLimit)) })
		_, failure = p.Open(context.Background(), currentDB)
		assert.Assert(t, failure == nil, "%v", failure)
		_, failure = p.Open(context.Background(), "absent")
		assert.Assert(t, failure != nil)
		assert.Equal(t, failure.Code, exchange.NoDatabase)
	})
}
