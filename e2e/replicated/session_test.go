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

// withCluster runs a test in virtual time, on a cluster with one host that knows
// the primary.
func withCluster(t *testing.T, test func(t *testing.T, cluster *replicated.Cluster, h *entryHost)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		h := startHost(cluster, "h1", hostOptions{})
		defer stop(cluster, h)
		h.awaitSettled(t)
		test(t, cluster, h)
		assert.DeepEqual(t, cluster.Violations(), []string(nil))
	})
}

// A lagging replica must not serve a read of the session's own write.
func TestReadSeesOwnWrite(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		for _, id := range []string{"b", "c"} {
			cluster.Server(serverID(id)).SetApplyDelay(3 * time.Second)
		}
		s := h.open(t, ownWritesDB)
		ctx := context.Background()
		assert.Assert(t, s.Execute(ctx, write("w1")).Failure == nil)
		answer := s.Execute(ctx, read("r1"))
		assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
		run, ok := executionOf(cluster, answer.Digest)
		assert.Assert(t, ok)
		assert.DeepEqual(t, run.Log, []string{"w1"})
	})
}

// A read of bounded age must be served by a replica to relieve the primary.
func TestAgedReadUsesReplica(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		answer := h.open(t, boundedAgeDB).Execute(context.Background(), read("r1"))
		assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
		run, _ := executionOf(cluster, answer.Digest)
		assert.Equal(t, string(run.Server), "b")
	})
}

// A statement that is sent together with a BEGIN must not run outside the
// transaction when the BEGIN is refused.
func TestNoStatementOutsideRefusedTransaction(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		ctx := context.Background()
		writer := h.open(t, ownWritesDB)
		assert.Assert(t, writer.Execute(ctx, write("w1")).Failure == nil)
		for _, id := range []string{"b", "c"} {
			cluster.Server(serverID(id)).SetApplyDelay(2 * time.Second)
		}
		assert.Assert(t, writer.Execute(ctx, write("w2")).Failure == nil)
		writer.Execute(ctx, operation(exchange.BeginRead, "b1"))
		answer := writer.Execute(ctx, read("r1"))
		assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
		for _, run := range cluster.Executions() {
			if run.ID == "r1" {
				assert.Assert(t, run.InTransaction, "r1 ran outside its transaction on %s", run.Server)
			}
		}
	})
}

// A write whose answer is lost is in doubt. If it were answered as refused, the
// caller would write twice.
func TestLostAnswerOfWriteIsInDoubt(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		cluster.Server("a").LoseAnswers(1)
		answer := h.open(t, currentDB).Execute(context.Background(), write("w1"))
		assert.Assert(t, answer.Failure != nil)
		assert.Equal(t, answer.Failure.Code, exchange.InDoubt)
	})
}

// The commit of a transaction without writes is never in doubt.
func TestLostCommitWithoutWritesIsAborted(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		ctx := context.Background()
		s := h.open(t, currentDB)
		s.Execute(ctx, operation(exchange.Begin, "b1"))
		assert.Assert(t, s.Execute(ctx, read("r1")).Failure == nil)
		cluster.Server("a").LoseAnswers(1)
		answer := s.Execute(ctx, operation(exchange.Commit, "c1"))
		assert.Assert(t, answer.Failure != nil)
		assert.Equal(t, answer.Failure.Code, exchange.Aborted)
		assert.Equal(t, answer.State, exchange.Idle)
	})
}

// A read whose answer is lost is retried on another server.
func TestLostAnswerOfReadIsRepeated(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		cluster.Server("b").LoseAnswers(1)
		started := time.Now()
		answer := h.open(t, boundedAgeDB).Execute(context.Background(), read("r1"))
		assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
		// The target latency of the route.
		assert.Assert(t, time.Since(started) < 300*time.Millisecond, "took %v", time.Since(started))
	})
}

// A failed transaction accepts only COMMIT or ROLLBACK, and both roll it back.
func TestFailedTransactionAcceptsOnlyItsEnd(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		ctx := context.Background()
		s := h.open(t, currentDB)
		s.Execute(ctx, operation(exchange.Begin, "b1"))
		assert.Assert(t, s.Execute(ctx, write("w1")).Failure == nil)
		cluster.Server("a").Crash()
		answer := s.Execute(ctx, write("w2"))
		assert.Equal(t, answer.Failure.Code, exchange.Aborted)
		assert.Equal(t, answer.State, exchange.TransactionFailed)
		assert.Equal(t, s.Execute(ctx, read("r1")).Failure.Code, exchange.Malformed)
		answer = s.Execute(ctx, operation(exchange.Commit, "c1"))
		assert.Equal(t, answer.Failure.Code, exchange.Aborted)
		assert.Equal(t, answer.State, exchange.Idle)
	})
}

// A transaction that is idle for too long is aborted and its connection released.
func TestIdleTransactionIsEnded(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
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

// Sessions share connections, so that each statement must run with the values and
// prepared statements of its own session.
func TestSharedConnectionsKeepSessionsApart(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		ctx := context.Background()
		one, two := h.open(t, boundedAgeDB), h.open(t, boundedAgeDB)
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
				run, _ := executionOf(cluster, answer.Digest)
				assert.Equal(t, run.Text, []string{"q1", "q2"}[i])
				assert.Equal(t, run.Values["tz"], []string{"gent", ""}[i])
			}
		}
	})
}

// Guards against a write that is answered with success while the read of another caller runs
// in its place, and the other way round. The texts of each pair have the same XXH64 with the
// kinds before them.
func TestStatementsWithTheSameHashAreKeptApart(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		ctx := context.Background()
		one, two := h.open(t, currentDB), h.open(t, currentDB)
		for i, pair := range [][2]exchange.PreparedStatement{
			{{Text: "s4modfcyl9cylcloam2"}, {Text: "q2c", Writes: true}},
			{{Text: "4oi5xv9q0vcbakhzbger", Writes: true}, {Text: "q2c"}},
		} {
			for j, s := range []interface {
				Execute(context.Context, exchange.Statement) exchange.Answer
			}{one, two} {
				name := fmt.Sprint("s", i)
				s.Execute(ctx, exchange.Statement{ID: "p", Operation: exchange.Prepare, Name: name, Prepared: pair[j]})
				answer := s.Execute(ctx, exchange.Statement{ID: "e", Operation: exchange.Execute, Name: name, Arguments: "item"})
				assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
				run, _ := executionOf(cluster, answer.Digest)
				assert.Equal(t, run.Text, pair[j].Text)
			}
		}
	})
}

// A read must not fail because of a busy replica while another server can serve it.
func TestBusyReplicaIsSkipped(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		cluster.Server("b").SetBusy(true)
		answer := h.open(t, boundedAgeDB).Execute(context.Background(), read("r1"))
		assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
	})
}

// The removal of a route takes effect at a session's next transaction.
func TestRemovedRouteIsRefused(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		s := h.open(t, boundedAgeDB)
		config := testConfig(defaultConnectionLimit)
		config.Version = 2
		delete(config.Routes, boundedAgeDB)
		assert.Assert(t, h.cache.SetConfig(config))
		answer := s.Execute(context.Background(), read("r1"))
		assert.Equal(t, answer.Failure.Code, exchange.NoDatabase)
		_, failure := h.proxy.Open(context.Background(), boundedAgeDB)
		assert.Equal(t, failure.Code, exchange.NoDatabase)
	})
}

// A write that times out must not end other statements on the shared connection.
func TestTimedOutWriteDoesNotEndOthers(t *testing.T) {
	withCluster(t, func(t *testing.T, cluster *replicated.Cluster, h *entryHost) {
		ctx := context.Background()
		// Without the store, the primary cannot be changed.
		cluster.SetStoreFaults(true, false)
		cluster.Server("a").SetIsolatedFromServers(true)
		first := make(chan exchange.Answer, 1)
		go func() { first <- h.open(t, currentDB).Execute(ctx, write("w1")) }()
		time.AfterFunc(900*time.Millisecond, func() { cluster.Server("a").SetIsolatedFromServers(false) })
		time.Sleep(200 * time.Millisecond)
		second := h.open(t, currentDB).Execute(ctx, write("w2"))
		assert.Assert(t, second.Failure == nil, "%v", second.Failure)
		assert.Equal(t, (<-first).Failure.Code, exchange.InDoubt)
	})
}

// Reads must not be attempted repeatedly on a replica that lags for seconds,
// because each attempt costs a round trip.
func TestLaggingReplicaIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		attempts := 0
		h := startHost(cluster, "h1", hostOptions{onResult: func(r proxy.Result) {
			if r.Operation == exchange.Read {
				attempts += r.Attempts
			}
		}})
		defer stop(cluster, h)
		h.awaitSettled(t)
		cluster.Server("b").SetApplyDelay(5 * time.Second)
		s := h.open(t, ownWritesDB)
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
