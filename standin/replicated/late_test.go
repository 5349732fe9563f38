package replicated_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/standin/replicated"
)

// late is a fault by which every call is carried out 2 to 3 s late.
var late = replicated.LateCalls{Least: 2 * time.Second, Most: 3 * time.Second, Percent: 100, Seed: 1}

// giveUp orders a promotion and gives up the call after a short time.
func (g *testGroup) giveUp(server group.ServerID) error {
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	return g.Promote(ctx, replicated.Group, server, "h", 1)
}

// Guards against an order without an answer that is dropped or carried out at once.
func TestDelayedPromotionIsCarriedOutLate(t *testing.T) {
	inCluster(t, func(t *testing.T, g *testGroup) {
		end := g.DelayPromotions(late)
		assert.ErrorContains(t, g.giveUp("b"), "no answer")
		end()
		time.Sleep(1800 * time.Millisecond)
		assert.Equal(t, g.Primary(), group.ServerID("a"))
		time.Sleep(1100*time.Millisecond + promotionWait)
		assert.Equal(t, g.Primary(), group.ServerID("b"))
	})
}

// Guards against a fence that is checked when a late order is sent.
func TestDelayedPromotionIsFenced(t *testing.T) {
	inCluster(t, func(t *testing.T, g *testGroup) {
		end := g.DelayPromotions(late)
		assert.ErrorContains(t, g.giveUp("b"), "no answer")
		end()
		assert.NilError(t, g.order("a", 2))
		time.Sleep(4 * time.Second)
		assert.Equal(t, g.Primary(), group.ServerID("a"))
	})
}

// Guards against a fault that affects another share of the calls.
func TestDelayedPromotionsAreAShareOfAll(t *testing.T) {
	inCluster(t, func(t *testing.T, g *testGroup) {
		end := g.DelayPromotions(replicated.LateCalls{Least: time.Second, Most: time.Second, Percent: 50, Seed: 1})
		defer end()
		answered := 0
		for range 100 {
			if g.giveUp("a") == nil {
				answered++
			}
		}
		assert.Assert(t, answered > 30 && answered < 70, "%d of 100", answered)
	})
}

// Guards against a command without an answer that is dropped, carried out at once, or
// carried out by the server that has ended.
func TestDelayedCommandIsCarriedOutByTheServerThatHasTheID(t *testing.T) {
	inCluster(t, func(t *testing.T, g *testGroup) {
		end := g.DelayCommands(late)
		for _, server := range []group.ServerID{"b", "c"} {
			_, err := g.tryCommand(server, exchange.Suspend, 5)
			assert.ErrorContains(t, err, "deadline")
		}
		end()
		replaced := g.Server("c")
		replaced.End()
		started := g.StartServer("c", 0)
		assert.Equal(t, g.Server("b").SuspendedTerm(), group.Term(0))
		time.Sleep(3 * time.Second)
		assert.Equal(t, g.Server("b").SuspendedTerm(), group.Term(5))
		assert.Equal(t, started.SuspendedTerm(), group.Term(5))
		assert.Equal(t, replaced.SuspendedTerm(), group.Term(0))
	})
}

// Guards against a command that a server carries out while it is down.
func TestDelayedCommandIsLostByAServerThatIsDown(t *testing.T) {
	inCluster(t, func(t *testing.T, g *testGroup) {
		end := g.DelayCommands(late)
		_, err := g.tryCommand("b", exchange.Suspend, 5)
		assert.ErrorContains(t, err, "deadline")
		end()
		g.Server("b").Crash()
		time.Sleep(3 * time.Second)
		g.Server("b").Start()
		assert.Equal(t, g.Server("b").SuspendedTerm(), group.Term(0))
	})
}
