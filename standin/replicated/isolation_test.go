package replicated_test

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

func (g *testGroup) listedIDs() (ids []group.ServerID) {
	for _, e := range g.ServerEntries() {
		ids = append(ids, e.ID)
	}
	return ids
}

// Guards against entries of silent servers that change, remain, or are back at once.
func TestEntriesOfSilentServersExpire(t *testing.T) {
	inCluster(t, func(t *testing.T, g *testGroup) {
		silence := g.Silence([]group.ServerID{"a", "d"}, 3*time.Second)
		g.Server("a").SetLeaving(true)
		g.StartServer("d", 0)
		time.Sleep(2900 * time.Millisecond)
		assert.DeepEqual(t, g.listedIDs(), []group.ServerID{"a", "b", "c"})
		assert.Assert(t, !slices.ContainsFunc(g.ServerEntries(), func(s catalog.Server) bool { return s.Leaving }))
		time.Sleep(200 * time.Millisecond)
		assert.DeepEqual(t, g.listedIDs(), []group.ServerID{"b", "c"})
		silence.End(time.Second)
		time.Sleep(900 * time.Millisecond)
		assert.DeepEqual(t, g.listedIDs(), []group.ServerID{"b", "c"})
		assert.Assert(t, g.IsSilent("a"))
		time.Sleep(200 * time.Millisecond)
		assert.DeepEqual(t, g.listedIDs(), []group.ServerID{"a", "b", "c", "d"})
		assert.Assert(t, !g.IsSilent("a"))
	})
}

// Guards against an isolation that a server escapes by starting under another id.
func TestIsolatedServersReceiveNothingFromOthers(t *testing.T) {
	inCluster(t, func(t *testing.T, g *testGroup) {
		isolation := g.Isolate([]group.ServerID{"b"})
		assert.Assert(t, g.Server("b").StartAs("r", 0) != nil)
		assert.Assert(t, isolation.Contains("r"))
		assert.NilError(t, g.Commit("w1"))
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, g.command("r", exchange.Status, 0).ReceivedPosition.Offset, group.Offset(0))
		assert.Equal(t, g.command("c", exchange.Status, 0).ReceivedPosition.Offset, group.Offset(1))
		isolation.End()
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, g.command("r", exchange.Status, 0).ReceivedPosition.Offset, group.Offset(1))
	})
}
