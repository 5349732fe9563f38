package replicated_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/exchange"
	"basilmill/core/group"
)

// Guards against servers that state a position in a term of which they hold no commit: one
// without a log would come before those that hold all commits of the terms before.
func TestPositionIsInTheTermOfTheLastCommit(t *testing.T) {
	inCluster(t, func(t *testing.T, g *testGroup) {
		assert.NilError(t, g.Commit("x"))
		time.Sleep(100 * time.Millisecond)
		assert.NilError(t, g.order("b", 1))
		primary := g.command("b", exchange.Status, 0)
		assert.Equal(t, primary.Term, group.Term(2))
		assert.Check(t, primary.ReceivedPosition == group.Position{Term: 1, Offset: 1}, "primary of term 2 without a commit: %v", primary.ReceivedPosition)
		g.SeparateServers("b", "d")
		g.StartServer("d", 0)
		time.Sleep(100 * time.Millisecond)
		started := g.command("d", exchange.Status, 0)
		assert.Check(t, started.ReceivedPosition.Compare(group.Position{Term: 1, Offset: 1}) < 0, "server without a log: %v", started.ReceivedPosition)
	})
}
