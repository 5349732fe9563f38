package replicated_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/exchange"
	"basilmill/core/gateway"
	"basilmill/core/host"
	"basilmill/standin/replicated"
)

// withGateways runs a test in virtual time with hosts in one data centre that share
// the connections to each server through one of them.
func withGateways(t *testing.T, test func(t *testing.T, cluster *replicated.Cluster, network *hostNetwork, hosts []*entryHost)) {
	t.Helper()
	const hostCount, connectionLimit = 4, 4
	synctest.Test(t, func(t *testing.T) {
		cluster := replicated.New()
		cluster.ConnectionLimit = connectionLimit
		network := newHostNetwork()
		var hosts []*entryHost
		for i := range hostCount {
			hosts = append(hosts, startHost(cluster, host.ID(fmt.Sprint("h", i)), hostOptions{connectionLimit: connectionLimit, network: network}))
		}
		defer stop(cluster, hosts...)
		time.Sleep(settleDelay)
		test(t, cluster, network, hosts)
		assert.DeepEqual(t, cluster.Violations(), []string(nil))
	})
}

// gatewayToPrimary returns the host that holds the connections to the primary, and
// another host.
func gatewayToPrimary(t *testing.T, cluster *replicated.Cluster, hosts []*entryHost) (holder, other *entryHost) {
	t.Helper()
	entry := cluster.ServerEntries()[0]
	for _, h := range hosts {
		if h.registry.Pool(entry).Stats().Open > 0 {
			assert.Assert(t, holder == nil, "two hosts hold connections to the primary")
			holder = h
		} else {
			other = h
		}
	}
	assert.Assert(t, holder != nil && other != nil, "no gateway to the primary")
	return holder, other
}

// A stopping gateway must hand over to another one without a failed statement.
func TestStoppingGatewayFailsNoStatement(t *testing.T) {
	withGateways(t, func(t *testing.T, cluster *replicated.Cluster, _ *hostNetwork, hosts []*entryHost) {
		ctx := context.Background()
		holder, other := gatewayToPrimary(t, cluster, hosts)
		s := other.open(t, ownWritesDB)
		s.Execute(ctx, operation(exchange.Begin, "b1"))
		assert.Assert(t, s.Execute(ctx, write("w1")).Failure == nil)
		holder.service.Close()
		answer := other.open(t, currentDB).Execute(ctx, write("w2"))
		assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
		answer = s.Execute(ctx, operation(exchange.Commit, "c1"))
		assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
		time.Sleep(time.Second)
		assert.Equal(t, holder.service.Active(), int64(0))
	})
}

// A gateway that answers nothing must be avoided before a caller's time is over, and
// a write that it may have run must not be repeated.
func TestSilentGatewayIsAvoided(t *testing.T) {
	withGateways(t, func(t *testing.T, cluster *replicated.Cluster, network *hostNetwork, hosts []*entryHost) {
		ctx := context.Background()
		holder, other := gatewayToPrimary(t, cluster, hosts)
		network.setSilent(holder.id)
		answer := other.open(t, currentDB).Execute(ctx, write("w1"))
		assert.Assert(t, answer.Failure != nil)
		assert.Equal(t, answer.Failure.Code, exchange.InDoubt)
		answer = other.open(t, currentDB).Execute(ctx, write("w2"))
		assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
	})
}

// A transaction whose host is gone must be rolled back by the gateway, which must
// not keep its connection.
func TestGatewayRollsBackForLostHost(t *testing.T) {
	withGateways(t, func(t *testing.T, cluster *replicated.Cluster, network *hostNetwork, hosts []*entryHost) {
		holder, other := gatewayToPrimary(t, cluster, hosts)
		info, _ := network.Hosts()
		var stream gateway.Stream
		for _, i := range info {
			if i.ID == holder.id {
				stream = network.Open(i)
			}
		}
		assert.NilError(t, stream.Send(gateway.Batch{Server: "a", Exclusive: true, Statements: []exchange.Statement{{Operation: exchange.Begin}, write("w1")}}))
		result, err := stream.Receive()
		assert.NilError(t, err)
		assert.NilError(t, result.Err)
		stream.Close()
		time.Sleep(time.Second)
		assert.Equal(t, holder.registry.Pool(cluster.ServerEntries()[0]).Stats().Exclusive, 0)
		assert.Assert(t, other.open(t, currentDB).Execute(context.Background(), write("w2")).Failure == nil)
		assert.DeepEqual(t, cluster.PrimaryLog(), []string{"w2"})
	})
}

// A caller must be told at once that the gateway has no free connection, and that its
// write has not run.
func TestFullGatewayRefusesAtOnce(t *testing.T) {
	withGateways(t, func(t *testing.T, cluster *replicated.Cluster, _ *hostNetwork, hosts []*entryHost) {
		ctx := context.Background()
		_, other := gatewayToPrimary(t, cluster, hosts)
		for i := range 2 { // The gateway may open half of the connections.
			s := other.open(t, ownWritesDB)
			s.Execute(ctx, operation(exchange.Begin, "b"))
			assert.Assert(t, s.Execute(ctx, write(fmt.Sprint("t", i))).Failure == nil)
		}
		started := time.Now()
		answer := other.open(t, currentDB).Execute(ctx, write("w1"))
		assert.Assert(t, answer.Failure != nil)
		assert.Equal(t, answer.Failure.Code, exchange.Busy)
		// A quarter of the target latency of the route and the way to the gateway.
		assert.Assert(t, time.Since(started) <= 75*time.Millisecond+4*hostDelay, "took %v", time.Since(started))
	})
}
