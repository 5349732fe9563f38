package lead_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/group"
	"basilmill/core/lead"
	"basilmill/core/takeover"
)

// Guards against a change that drops what a leaving replica has confirmed, with all others
// that a host knew, between the last proof and its end.
func TestReplicaThatEndsLongAfterItsReportIsReported(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
	runMonitor(t, f, func(t *testing.T, _ *lead.Monitor, cache *catalog.Cache, _ func() time.Duration) {
		time.Sleep(3 * time.Second)
		cache.PutServer(catalog.Server{ID: "b", Group: "g", Leaving: true})
		time.Sleep(12 * time.Second)
		f.update(func() { f.unreachable = true })
		time.Sleep(500 * time.Millisecond)
		cache.MarkMissing("b")
		time.Sleep(4 * time.Second)
		attempts := f.attemptedChanges()
		assert.Assert(t, len(attempts) > 0)
		last := attempts[len(attempts)-1]
		isB := func(s catalog.Server) bool { return s.ID == "b" }
		assert.Assert(t, !slices.ContainsFunc(last.Members, isB))
		asked := slices.ContainsFunc(last.Departed, func(s takeover.DepartedServer) bool { return s.ID == group.ServerID("b") })
		assert.Assert(t, last.ReplicaDeparted || asked)
	})
}
