package proxy_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// Guards against requests that reach a leaving server after its time, because the host
// learnt late that it was leaving.
func TestLeavingPrimaryGetsNoRequestAfterItsTimeFromAHostThatLearntLate(t *testing.T) {
	leaving := catalog.Server{ID: "a", Group: "g", ClaimsPrimary: true, Leaving: true}
	for name, learn := range map[string]func(f fixture){
		"machine suspended": func(f fixture) {
			f.suspend(2 * time.Second)
			time.Sleep(time.Second)
		},
		"store out of reach": func(f fixture) {
			confirmedAt := f.clock()
			time.Sleep(2 * time.Second)
			f.monitor.ReportOutdatedView(confirmedAt)
			time.Sleep(time.Second)
		},
		"entry unknown before": func(f fixture) {
			f.cache.MarkMissing("a")
			time.Sleep(catalog.DefaultMissingEntryGracePeriod)
			f.cache.Expire()
			time.Sleep(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			servers := &fakeServers{positions: slices.Repeat([]group.Position{{Term: 1, Offset: 30}}, 20)}
			withProxy(t, servers, catalog.Current, func(t *testing.T, f fixture) {
				read := func() *exchange.Error {
					s, _ := f.proxy.Open(context.Background(), "db")
					defer s.Close()
					return s.Execute(context.Background(), exchange.Statement{ID: "1", Operation: exchange.Read}).Failure
				}
				learn(f)
				f.cache.PutServer(leaving)
				time.Sleep(leaveTime - maxViewDelay - 1500*time.Millisecond)
				assert.Assert(t, read() == nil)
				time.Sleep(time.Second)
				sent := len(servers.sent)
				failure := read()
				assert.Assert(t, failure != nil)
				assert.Equal(t, failure.Code, exchange.Busy)
				assert.Equal(t, len(servers.sent), sent)
			})
		})
	}
}
