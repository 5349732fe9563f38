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

func replicatedID(id string) group.ServerID { return group.ServerID(id) }

// failoverTarget is the target of the failover gap at the users' sizes
// (design.md, section 1.3).
const failoverTarget = 2 * time.Second

// awaitWrite writes until a write is acknowledged and returns the time taken.
func awaitWrite(t *testing.T, h *entryHost, limit time.Duration) time.Duration {
	t.Helper()
	started := time.Now()
	s := h.open(t, currentDB)
	for i := 0; ; i++ {
		answer := s.Execute(context.Background(), write("w-"+time.Now().String()))
		if answer.Failure == nil {
			return time.Since(started)
		}
		if time.Since(started) > limit {
			t.Fatalf("no write in %v: %v", limit, answer.Failure)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// A crashed primary must be replaced within the failover target.
func TestCrashedPrimaryIsReplaced(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.World, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.Server("a").Crash()
		awaitWrite(t, h, failoverTarget)
		assert.Equal(t, world.Promotions(), 1)
	})
}

// A silent primary must be replaced too, although nothing refuses connections.
func TestDarkPrimaryIsReplaced(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.World, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.Server("a").SetDark(true)
		gap := awaitWrite(t, h, 2*failoverTarget)
		t.Logf("gap %v", gap)
		assert.Equal(t, world.Promotions(), 1)
		world.Server("a").SetDark(false)
	})
}

// A primary whose replicas receive nothing acknowledges nothing; it must be
// replaced although it answers.
func TestStrandedPrimaryIsReplaced(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.World, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.Server("a").SetStranded(true)
		awaitWrite(t, h, 5*time.Second)
		assert.Equal(t, world.Promotions(), 1)
	})
}

// A replica that is out of reach may hold acknowledged commits, so that nobody
// may be promoted without it.
func TestSilentReplicaBlocksPromotion(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.World, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.Server("b").SetDeaf(true)
		awaitWrite(t, h, time.Second)
		world.Server("c").SetDark(true)
		world.Server("a").Crash()
		time.Sleep(5 * time.Second)
		assert.Equal(t, world.Promotions(), 0)
		world.Server("c").SetDark(false)
		world.Server("b").SetDeaf(false)
		awaitWrite(t, h, 3*time.Second)
		assert.Equal(t, string(world.Primary()), "c")
	})
}

// A leaving primary is replaced before it stops, without a lost commit.
func TestLeavingPrimaryIsReplaced(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.World, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.Server("a").SetLeaving(true)
		time.Sleep(2 * time.Second)
		assert.Equal(t, world.Promotions(), 1)
		awaitWrite(t, h, time.Second)
	})
}

// Replicas that a lost promoter left suspended keep the primary from
// acknowledging; a host has to find them.
func TestLeftoverSuspensionIsEnded(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.World, h *entryHost) {
		for _, s := range world.Members() {
			if s.ID != "a" {
				_, err := h.registry.Command(context.Background(), s, exchange.Statement{Operation: exchange.Suspend, Term: 9})
				assert.NilError(t, err)
			}
		}
		awaitWrite(t, h, 30*time.Second)
		time.Sleep(20 * time.Second)
		assert.Equal(t, int(world.Server("b").Suspended()), 0)
		assert.Equal(t, int(world.Server("c").Suspended()), 0)
	})
}

// An order whose answer is lost may be carried out late, after newer ones.
func TestLateOrderChangesNothing(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.World, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.LoseOrders(12 * time.Second)
		world.Server("a").Crash()
		time.Sleep(3 * time.Second)
		world.LoseOrders(0)
		awaitWrite(t, h, 15*time.Second)
		time.Sleep(20 * time.Second)
		awaitWrite(t, h, time.Second)
	})
}

// Without the store no number can be taken, so nobody is promoted.
func TestNoPromotionWithoutStore(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.World, h *entryHost) {
		awaitWrite(t, h, time.Second)
		world.SetStore(true, false)
		world.Server("a").Crash()
		time.Sleep(4 * time.Second)
		assert.Equal(t, world.Promotions(), 0)
		world.SetStore(false, true)
		awaitWrite(t, h, 4*time.Second)
	})
}
