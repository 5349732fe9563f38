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
