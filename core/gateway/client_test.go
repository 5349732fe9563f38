package gateway_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/gateway"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/link"
)

// scriptedNetwork connects a host with a gateway that answers each batch with the same
// result.
type scriptedNetwork struct {
	fixedNetwork
	result gateway.Result
}

func (n scriptedNetwork) Open(host.Info) gateway.Stream { return scriptedStream{n.result} }

// Probe returns a result without a position.
func (scriptedNetwork) Probe(context.Context, host.Info, group.ServerID) (gateway.ProbeResult, error) {
	return gateway.ProbeResult{}, nil
}

type scriptedStream struct{ result gateway.Result }

func (scriptedStream) Send(gateway.Batch) error { return nil }

func (s scriptedStream) Receive() (gateway.Result, error) { return s.result, nil }

func (scriptedStream) CloseSend() error { return nil }

func (scriptedStream) Close() {}

// newClient returns the client of a host that uses the gateway of a network for server
// "s".
func newClient(network gateway.Network) *gateway.Client {
	cache := &catalog.Cache{}
	cache.SetConfig(&catalog.Config{Version: 1, Groups: map[group.ID]catalog.Group{"g": {ID: "g", ConnectionLimit: 1}}})
	hosts, _ := network.Hosts()
	for _, self := range hosts {
		c := &gateway.Client{Self: self, Cache: cache, Network: network, Pools: func(catalog.Server) link.Source { return ownPool{} }}
		if !c.IsGateway(catalog.Server{ID: "s", Group: "g"}) {
			return c
		}
	}
	panic("all hosts are gateways")
}

// A result without an answer to each statement must not end the process of the host
// that receives it, and proves nothing about what ran.
func TestResultWithoutAllAnswersProvesNothing(t *testing.T) {
	server := catalog.Server{ID: "s", Group: "g"}
	for name, answers := range map[string][]exchange.Answer{
		"none": nil, "one": {{Digest: "d"}}, "too many": {{}, {Digest: "d"}, {}, {}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// A gateway with a malformed result is avoided, so each check has a new client.
				fresh := func() *gateway.Client {
					return newClient(scriptedNetwork{fixedNetwork{{ID: "a"}, {ID: "b"}}, gateway.Result{Answers: answers}})
				}
				ctx, cancel := context.WithTimeout(context.Background(), time.Second)
				defer cancel()
				_, err := link.Commander{Sources: fresh().Source}.Probe(ctx, server)
				assert.Assert(t, errors.Is(err, link.ErrLost), "%v", err)

				_, err = fresh().Probe(ctx, server)
				assert.Assert(t, errors.Is(err, link.ErrLost), "a proof without a position: %v", err)

				lease, err := fresh().Source(server).Acquire(ctx, link.Request{})
				assert.NilError(t, err)
				defer lease.Release()
				begin, read, end := exchange.Statement{Operation: exchange.Begin}, exchange.Statement{ID: "1", Operation: exchange.Read}, exchange.Statement{Operation: exchange.Rollback}
				_, err = link.Run(ctx, lease, nil, begin, read, end)
				assert.Assert(t, errors.Is(err, link.ErrLost), "%v", err)
			})
		})
	}
}
