package lead_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/lead"
	"basilmill/core/logevent"
	"basilmill/core/takeover"
)

// slowGateway answers probes of all groups one after the other, as a host with a small
// share of a processor does. It works on a probe also if nobody waits for it any more.
// Server "a" of each group is the primary.
type slowGateway struct {
	serviceTime time.Duration
	probes      chan gatewayProbe
}

// gatewayProbe is a probe that waits for the gateway.
type gatewayProbe struct {
	server catalog.Server
	done   chan struct{}
}

func (g *slowGateway) run(ctx context.Context) {
	for {
		select {
		case p := <-g.probes:
			time.Sleep(g.serviceTime)
			close(p.done)
		case <-ctx.Done():
			return
		}
	}
}

func (g *slowGateway) Probe(ctx context.Context, s catalog.Server) (group.Position, time.Duration, error) {
	p := gatewayProbe{s, make(chan struct{})}
	g.probes <- p
	select {
	case <-p.done:
	case <-ctx.Done():
		return group.Position{}, 0, ctx.Err()
	}
	if !s.ClaimsPrimary {
		return group.Position{}, 0, &exchange.Error{Code: exchange.ReadOnly}
	}
	return group.Position{Term: 1, Offset: 1}, 0, nil
}

func (*slowGateway) Command(context.Context, catalog.Server, exchange.Statement) (exchange.ServerStatus, error) {
	return exchange.ServerStatus{}, nil
}

func (*slowGateway) Run(context.Context, takeover.Request) (group.ServerID, error) {
	return "", takeover.ErrServerUnresponsive
}

func (*slowGateway) ReadRecord(context.Context, group.ID) error { return nil }

// The load is that of all hosts that lose power and return together: on each, callers of
// every group wait, and a few hosts answer all of their probes. Callers must be served
// within their statement time limit, so all hosts must have found the primaries by then.
func TestHerdFindsItsPrimaries(t *testing.T) {
	const hosts, groups, statementTimeout = 40, 10, 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second)
		defer cancel()
		gateway := &slowGateway{serviceTime: time.Millisecond, probes: make(chan gatewayProbe, 1<<20)}
		go gateway.run(ctx)
		started := time.Now()
		var monitors []*lead.Monitor
		for g := range groups {
			id := group.ID(fmt.Sprint("g", g))
			cache := &catalog.Cache{}
			for _, s := range []group.ServerID{"a", "b", "c"} {
				cache.PutServer(catalog.Server{ID: group.ServerID(id) + "-" + s, Group: id, ClaimsPrimary: s == "a"})
			}
			for range hosts {
				m := lead.New(lead.Config{
					Group: id, Cache: cache, Client: gateway, PrimaryChanger: gateway, Clock: func() time.Duration { return time.Hour + time.Since(started) },
					Responsible: notResponsible, Standby: func(catalog.Server) bool { return false },
					Log: &logevent.Logger{Log: slog.New(slog.NewTextHandler(io.Discard, nil))},
				})
				monitors = append(monitors, m)
				go func() { _ = m.Run(ctx) }()
				go func() {
					for !m.Snapshot().PrimaryKnown && time.Since(started) < statementTimeout {
						m.RequestProbe()
						time.Sleep(time.Second)
					}
				}()
			}
		}
		time.Sleep(statementTimeout)
		found := 0
		for _, m := range monitors {
			if m.Snapshot().PrimaryKnown {
				found++
			}
		}
		assert.Equal(t, found, len(monitors))
	})
}
