package replicated_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/link"
	"basilmill/core/takeover"
	"basilmill/standin/replicated"
)

// promotionWait exceeds the time from the acceptance of an order until the server leads.
const promotionWait = replicated.PromotionDelay + 100*time.Millisecond

// testGroup is a cluster with a client for commands.
type testGroup struct {
	*replicated.Cluster
	t        *testing.T
	registry *link.Registry
}

// inCluster runs a test with a cluster in a synctest bubble.
func inCluster(t *testing.T, test func(*testing.T, *testGroup)) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		cache := &catalog.Cache{}
		cache.SetConfig(&catalog.Config{Groups: map[group.ID]catalog.Group{replicated.Group: {ID: replicated.Group, ConnectionLimit: 4}}})
		cache.ReplaceServers(cluster.ServerEntries())
		g := &testGroup{cluster, t, link.NewRegistry(cache, cluster)}
		defer func() {
			g.registry.CloseAll()
			cluster.Stop()
			time.Sleep(10 * time.Second)
		}()
		test(t, g)
	})
}

// command runs a command on a server and returns its status.
func (g *testGroup) command(server group.ServerID, operation exchange.Operation, term group.Term) exchange.ServerStatus {
	g.t.Helper()
	status, err := g.tryCommand(server, operation, term)
	assert.NilError(g.t, err)
	return status
}

// tryCommand runs a command on a server that is listed.
func (g *testGroup) tryCommand(server group.ServerID, operation exchange.Operation, term group.Term) (exchange.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	commander := link.Commander{Sources: func(s catalog.Server) link.Source { return g.registry.Pool(s) }}
	entries := g.ServerEntries()
	i := slices.IndexFunc(entries, func(e catalog.Server) bool { return e.ID == server })
	return commander.Command(ctx, entries[i], exchange.Statement{Operation: operation, Term: term})
}

// order orders the promotion of a server, and waits until it has taken effect if the order
// is accepted.
func (g *testGroup) order(server group.ServerID, epoch takeover.Epoch) error {
	err := g.Promote(context.Background(), replicated.Group, server, "h", epoch)
	time.Sleep(promotionWait)
	return err
}

// Guards against a fencing token that does not count because its order is refused.
func TestRefusedOrderFencesLowerEpochs(t *testing.T) {
	for name, server := range map[string]group.ServerID{"server that is down": "c", "unknown server": "z"} {
		t.Run(name, func(t *testing.T) {
			inCluster(t, func(t *testing.T, g *testGroup) {
				g.Server("c").Crash()
				assert.ErrorIs(t, g.order(server, 5), takeover.ErrRefused)
				assert.ErrorIs(t, g.order("b", 4), takeover.ErrRefused)
				assert.Equal(t, g.Primary(), group.ServerID("a"))
				assert.NilError(t, g.order("b", 5))
				assert.Equal(t, g.Primary(), group.ServerID("b"))
			})
		})
	}
}

// Guards against a promotion that ends suspensions for terms above the new one.
func TestPromotionKeepsSuspensionsForHigherTerms(t *testing.T) {
	inCluster(t, func(t *testing.T, g *testGroup) {
		g.command("c", exchange.Suspend, 5)
		assert.NilError(t, g.order("b", 1))
		status := g.command("c", exchange.Status, 0)
		assert.Equal(t, status.SuspendedTerm, group.Term(5))
		assert.Equal(t, status.Term, group.Term(1))
		assert.Equal(t, g.command("a", exchange.Status, 0).Term, group.Term(2))
	})
}

// Guards against a promotion that leaves a suspension for its own term in force.
func TestPromotionEndsSuspensionsForItsTerm(t *testing.T) {
	inCluster(t, func(t *testing.T, g *testGroup) {
		g.command("c", exchange.Suspend, 2)
		assert.NilError(t, g.order("b", 1))
		status := g.command("c", exchange.Status, 0)
		assert.Equal(t, status.SuspendedTerm, group.Term(0))
		assert.Equal(t, status.Term, group.Term(2))
	})
}

// Guards against an order for the present primary that begins another term.
func TestOrderForThePrimaryChangesNothing(t *testing.T) {
	inCluster(t, func(t *testing.T, g *testGroup) {
		assert.NilError(t, g.order("a", 1))
		assert.Equal(t, g.Promotions(), 0)
		assert.Equal(t, g.command("a", exchange.Status, 0).Term, group.Term(1))
	})
}

// Guards against a demoted primary that an order with the same epoch does not promote.
func TestDemotedPrimaryLeadsAgainWhenOrdered(t *testing.T) {
	inCluster(t, func(t *testing.T, g *testGroup) {
		assert.NilError(t, g.order("b", 1))
		g.command("b", exchange.Demote, 3)
		assert.Equal(t, g.Primary(), group.ServerID(""))
		assert.NilError(t, g.order("b", 1))
		assert.Equal(t, g.Primary(), group.ServerID("b"))
		assert.Equal(t, g.command("b", exchange.Status, 0).Term, group.Term(3))
	})
}
