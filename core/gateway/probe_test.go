package gateway_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/gateway"
	"basilmill/core/group"
)

// Guards against one probe for each host and interval at the primary, and against a
// position that is taken to be newer than it is.
func TestProbesAreSharedWithTheirAge(t *testing.T) {
	const roundTrip, hosts, duration = 20 * time.Millisecond, 20, 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		clock := func() time.Duration { return time.Since(started) }
		var probes atomic.Int64
		p := gateway.Prober{Clock: clock, Probe: func(context.Context, catalog.Server) (group.Position, error) {
			probes.Add(1)
			// The position states when the probe was sent.
			position := group.Position{Term: 1, Offset: group.Offset(clock())}
			time.Sleep(roundTrip)
			return position, nil
		}}
		var wait sync.WaitGroup
		for i := range hosts {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				for clock() < duration {
					proof, err := p.Run(context.Background(), catalog.Server{ID: "a"})
					assert.Check(t, err)
					assert.Check(t, clock()-proof.Age <= time.Duration(proof.Position.Offset))
					time.Sleep(200 * time.Millisecond)
				}
			})
		}
		wait.Wait()
		// One probe for each half of the interval of a host.
		assert.Assert(t, probes.Load() <= int64(duration/(100*time.Millisecond))+2, "%d probes", probes.Load())
	})
}

// A server that has lost the lead must not be proven by an earlier probe for longer
// than that probe is reused.
func TestReplacedPrimaryIsNotProven(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		leads := true
		p := gateway.Prober{
			Clock: func() time.Duration { return time.Since(started) },
			Probe: func(context.Context, catalog.Server) (group.Position, error) {
				if !leads {
					return group.Position{}, &exchange.Error{Code: exchange.ReadOnly}
				}
				return group.Position{Term: 1}, nil
			},
		}
		_, err := p.Run(context.Background(), catalog.Server{ID: "a"})
		assert.NilError(t, err)
		leads = false
		time.Sleep(150 * time.Millisecond)
		_, err = p.Run(context.Background(), catalog.Server{ID: "a"})
		assert.ErrorContains(t, err, "read only")
	})
}
