package replicated_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/exchange"
	"basilmill/core/proxy"
	"basilmill/standin/replicated"
)

// inWorld runs a test with the clock paused, on a world with one host that
// knows the leader.
func inWorld(t *testing.T, test func(t *testing.T, world *replicated.Cluster, h *entryHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		world := replicated.New()
		h := startHost(world, "h1", parts{})
		defer stop(world, h)
		h.settled(t)
		test(t, world, h)
		assert.DeepEqual(t, world.Violations(), []string(nil))
	})
}

// A replica that is behind must not serve a read of the session's own write.
func TestReadSeesOwnWrite(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		for _, id := range []string{"b", "c"} {
			world.Server(replicatedID(id)).SetApplyDelay(3 * time.Second)
		}
		s := h.open(t, ownDB)
		ctx := context.Background()
		assert.Assert(t, s.Execute(ctx, write("w1")).Failure == nil)
		answer := s.Execute(ctx, read("r1"))
		assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
		run, ok := runOf(world, answer.Digest)
		assert.Assert(t, ok)
		assert.DeepEqual(t, run.Log, []string{"w1"})
	})
}

// A read that allows some age must come from a replica and free the primary.
func TestAgedReadUsesReplica(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		answer := h.open(t, agedDB).Execute(context.Background(), read("r1"))
		assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
		run, _ := runOf(world, answer.Digest)
		assert.Equal(t, string(run.Server), "b")
	})
}

// A statement of a transaction that is sent in the flush of a refused BEGIN
// runs outside the transaction.
func TestNoStatementOutsideRefusedTransaction(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		ctx := context.Background()
		writer := h.open(t, ownDB)
		assert.Assert(t, writer.Execute(ctx, write("w1")).Failure == nil)
		for _, id := range []string{"b", "c"} {
			world.Server(replicatedID(id)).SetApplyDelay(2 * time.Second)
		}
		assert.Assert(t, writer.Execute(ctx, write("w2")).Failure == nil)
		writer.Execute(ctx, operation(exchange.BeginRead, "b1"))
		answer := writer.Execute(ctx, read("r1"))
		assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
		for _, run := range world.Executions() {
			if run.ID == "r1" {
				assert.Assert(t, run.InTransaction, "r1 ran outside its transaction on %s", run.Server)
			}
		}
	})
}

// A write whose answer is lost is in doubt; a refusal would make the caller
// write twice.
func TestLostAnswerOfWriteIsInDoubt(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		world.Server("a").LoseAnswers(1)
		answer := h.open(t, currentDB).Execute(context.Background(), write("w1"))
		assert.Assert(t, answer.Failure != nil)
		assert.Equal(t, answer.Failure.Code, exchange.InDoubt)
	})
}

// The commit of a transaction that wrote nothing leaves nothing in doubt.
func TestLostCommitWithoutWritesIsAborted(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		ctx := context.Background()
		s := h.open(t, currentDB)
		s.Execute(ctx, operation(exchange.Begin, "b1"))
		assert.Assert(t, s.Execute(ctx, read("r1")).Failure == nil)
		world.Server("a").LoseAnswers(1)
		answer := s.Execute(ctx, operation(exchange.Commit, "c1"))
		assert.Assert(t, answer.Failure != nil)
		assert.Equal(t, answer.Failure.Code, exchange.Aborted)
		assert.Equal(t, answer.State, exchange.Idle)
	})
}

// A read whose answer is lost is repeated on another server.
func TestLostAnswerOfReadIsRepeated(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		world.Server("b").LoseAnswers(1)
		started := time.Now()
		answer := h.open(t, agedDB).Execute(context.Background(), read("r1"))
		assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
		// The route's latency objective.
		assert.Assert(t, time.Since(started) < 300*time.Millisecond, "took %v", time.Since(started))
	})
}

// A failed transaction accepts only its end, and its end rolls back.
func TestFailedTransactionAcceptsOnlyItsEnd(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		ctx := context.Background()
		s := h.open(t, currentDB)
		s.Execute(ctx, operation(exchange.Begin, "b1"))
		assert.Assert(t, s.Execute(ctx, write("w1")).Failure == nil)
		world.Server("a").Crash()
		answer := s.Execute(ctx, write("w2"))
		assert.Equal(t, answer.Failure.Code, exchange.Aborted)
		assert.Equal(t, answer.State, exchange.TransactionFailed)
		assert.Equal(t, s.Execute(ctx, read("r1")).Failure.Code, exchange.Malformed)
		answer = s.Execute(ctx, operation(exchange.Commit, "c1"))
		assert.Equal(t, answer.Failure.Code, exchange.Aborted)
		assert.Equal(t, answer.State, exchange.Idle)
	})
}

// A caller that pauses inside a transaction must not keep a connection.
func TestIdleTransactionIsEnded(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		ctx := context.Background()
		s := h.open(t, currentDB)
		s.Execute(ctx, operation(exchange.Begin, "b1"))
		assert.Assert(t, s.Execute(ctx, write("w1")).Failure == nil)
		time.Sleep(4 * time.Second)
		assert.Equal(t, h.registry.Stats().Exclusive, 0)
		answer := s.Execute(ctx, operation(exchange.Commit, "c1"))
		assert.Equal(t, answer.Failure.Code, exchange.Aborted)
	})
}

// Sessions share connections, so each statement must run with its own
// session's values and prepared statements.
func TestSharedConnectionsKeepSessionsApart(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		ctx := context.Background()
		one, two := h.open(t, agedDB), h.open(t, agedDB)
		one.Execute(ctx, set("tz", "gent"))
		one.Execute(ctx, exchange.Statement{ID: "p", Operation: exchange.Prepare, Name: "s1", Prepared: exchange.PreparedStatement{Text: "q1"}})
		two.Execute(ctx, exchange.Statement{ID: "p", Operation: exchange.Prepare, Name: "s1", Prepared: exchange.PreparedStatement{Text: "q2"}})
		execute := exchange.Statement{ID: "e", Operation: exchange.Execute, Name: "s1", Arguments: "item"}
		for range 3 {
			for i, s := range []interface {
				Execute(context.Context, exchange.Statement) exchange.Answer
			}{one, two} {
				answer := s.Execute(ctx, execute)
				assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
				run, _ := runOf(world, answer.Digest)
				assert.Equal(t, run.Text, []string{"q1", "q2"}[i])
				assert.Equal(t, run.Values["tz"], []string{"gent", ""}[i])
			}
		}
	})
}

// A busy replica must not fail a read while another server is free.
func TestBusyReplicaIsPassedOver(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		world.Server("b").SetBusy(true)
		answer := h.open(t, agedDB).Execute(context.Background(), read("r1"))
		assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
	})
}

// A route that was removed takes effect at the next transaction.
func TestRemovedRouteIsRefused(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		s := h.open(t, agedDB)
		config := testConfig()
		config.Version = 2
		delete(config.Routes, agedDB)
		assert.Assert(t, h.book.SetConfig(config))
		answer := s.Execute(context.Background(), read("r1"))
		assert.Equal(t, answer.Failure.Code, exchange.NoDatabase)
		_, failure := h.proxy.Open(context.Background(), agedDB)
		assert.Equal(t, failure.Code, exchange.NoDatabase)
	})
}

// A write that runs out of time shares its connection with others, whose
// answers must still arrive.
func TestTimedOutWriteDoesNotEndOthers(t *testing.T) {
	inWorld(t, func(t *testing.T, world *replicated.Cluster, h *entryHost) {
		ctx := context.Background()
		// No change of primary gets a number.
		world.SetStoreFaults(true, false)
		world.Server("a").SetIsolatedFromServers(true)
		first := make(chan exchange.Answer, 1)
		go func() { first <- h.open(t, currentDB).Execute(ctx, write("w1")) }()
		time.AfterFunc(900*time.Millisecond, func() { world.Server("a").SetIsolatedFromServers(false) })
		time.Sleep(200 * time.Millisecond)
		second := h.open(t, currentDB).Execute(ctx, write("w2"))
		assert.Assert(t, second.Failure == nil, "%v", second.Failure)
		assert.Equal(t, (<-first).Failure.Code, exchange.InDoubt)
	})
}

// Reads must not be tried again and again on a replica that lags for seconds:
// each attempt costs the caller a round trip.
func TestLaggingReplicaIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := replicated.New()
		attempts := 0
		h := startHost(world, "h1", parts{observe: func(r proxy.Result) {
			if r.Operation == exchange.Read {
				attempts += r.Attempts
			}
		}})
		defer stop(world, h)
		h.settled(t)
		world.Server("b").SetApplyDelay(5 * time.Second)
		s := h.open(t, ownDB)
		ctx := context.Background()
		const reads = 200
		for i := range reads {
			assert.Assert(t, s.Execute(ctx, write(fmt.Sprint("w", i))).Failure == nil)
			assert.Assert(t, s.Execute(ctx, read(fmt.Sprint("r", i))).Failure == nil)
			time.Sleep(20 * time.Millisecond)
		}
		assert.Assert(t, attempts < reads+reads/10, "%d attempts for %d reads", attempts, reads)
	})
}
