package gateway_test

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/gateway"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/link"
)

// fixedNetwork is a list of hosts without connections.
type fixedNetwork []host.Info

func (n fixedNetwork) Hosts() (hosts []host.Info, version int64) { return n, 1 }

func (fixedNetwork) AwaitHosts(context.Context) error { return nil }

func (fixedNetwork) Open(host.Info) gateway.Stream { return nil }

func (fixedNetwork) Check(context.Context, host.Info) error { return nil }

func (fixedNetwork) Probe(context.Context, host.Info, group.ServerID) (gateway.ProbeResult, error) {
	return gateway.ProbeResult{}, nil
}

// ownPool marks the connections of the host itself.
type ownPool struct{ link.Source }

// gateways returns the number of hosts that hold connections to a server themselves.
func gateways(hosts []host.Info, server catalog.Server, limit int) (n int) {
	for _, self := range hosts {
		cache := &catalog.Cache{}
		cache.SetConfig(&catalog.Config{Version: 1, Groups: map[group.ID]catalog.Group{"g": {ID: "g", ConnectionLimit: limit}}})
		c := &gateway.Client{Self: self, Cache: cache, Network: fixedNetwork(hosts), Pools: func(catalog.Server) link.Source { return ownPool{} }}
		if _, ok := c.Source(server).(ownPool); ok {
			n++
		}
	}
	return n
}

// Guards against more hosts with connections of their own than the limit allows.
func TestGatewaysFitTheConnectionLimit(t *testing.T) {
	var hosts []host.Info
	for i := range 81 {
		dataCentre := i % 6
		hosts = append(hosts, host.Info{ID: host.ID(fmt.Sprint("h", i)), DataCentre: host.DataCentre(fmt.Sprint("dc", dataCentre)), Region: host.Region(fmt.Sprint("r", dataCentre/2))})
	}
	for limit, want := range map[int]int{260: 81, 162: 81, 161: 6, 30: 6, 12: 6, 11: 3, 6: 3, 5: 1, 1: 1} {
		for i := range 24 {
			server := catalog.Server{ID: group.ServerID(fmt.Sprint("s", i)), Group: "g"}
			assert.Equal(t, gateways(hosts, server, limit), want, "limit %d", limit)
		}
	}
}

// However many hosts share a gateway, two of them stand by for it.
func TestTwoHostsStandByForAGateway(t *testing.T) {
	for _, n := range []int{1, 2, 10, 100} {
		var hosts []host.Info
		for i := range n {
			hosts = append(hosts, host.Info{ID: host.ID(fmt.Sprint("h", i)), DataCentre: "dc"})
		}
		server := catalog.Server{ID: "s", Group: "g"}
		gateways, standby := 0, 0
		for _, self := range hosts {
			cache := &catalog.Cache{}
			cache.SetConfig(&catalog.Config{Version: 1, Groups: map[group.ID]catalog.Group{"g": {ID: "g", ConnectionLimit: 3}}})
			c := &gateway.Client{Self: self, Cache: cache, Network: fixedNetwork(hosts)}
			switch {
			case c.IsGateway(server):
				gateways++
			case c.IsStandby(server):
				standby++
			}
		}
		assert.Equal(t, gateways, 1)
		assert.Equal(t, standby, min(2, n-1))
	}
}

// The hosts that hold connections to a server elsewhere have the newest proofs of it.
func TestGatewaysElsewhereHoldConnections(t *testing.T) {
	var hosts []host.Info
	for i := range 30 {
		hosts = append(hosts, host.Info{ID: host.ID(fmt.Sprint("h", i)), DataCentre: host.DataCentre(fmt.Sprint("dc", i%3))})
	}
	for limit, want := range map[int]int{60: 29, 6: 2, 1: 0} {
		cache := &catalog.Cache{}
		cache.SetConfig(&catalog.Config{Version: 1, Groups: map[group.ID]catalog.Group{"g": {ID: "g", ConnectionLimit: limit}}})
		for i := range 24 {
			server := catalog.Server{ID: group.ServerID(fmt.Sprint("s", i)), Group: "g"}
			found := (&gateway.Client{Self: hosts[0], Cache: cache, Network: fixedNetwork(hosts)}).Elsewhere(server)
			assert.Equal(t, len(found), want, "limit %d", limit)
			for _, h := range found {
				assert.Assert(t, (&gateway.Client{Self: h, Cache: cache, Network: fixedNetwork(hosts)}).IsGateway(server))
				assert.Assert(t, h.ID != hosts[0].ID)
			}
		}
	}
}

// unknownNetwork is a network whose hosts are not known yet.
type unknownNetwork struct{ fixedNetwork }

func (unknownNetwork) Hosts() (hosts []host.Info, version int64) { return nil, 0 }

// A host that does not know the others yet must not take itself for a standby of every
// gateway: when all hosts start together, each would search for every primary.
func TestStartingHostDoesNotStandBy(t *testing.T) {
	c := &gateway.Client{Self: host.Info{ID: "h"}, Cache: &catalog.Cache{}, Network: unknownNetwork{}}
	assert.Assert(t, !c.IsStandby(catalog.Server{ID: "s"}))
}
