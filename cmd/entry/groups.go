package entry

import (
	"context"
	"crypto/rand"
	"log/slog"
	"maps"
	"sync"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/group"
	"basilmill/core/lead"
	"basilmill/core/logevent"
	"basilmill/core/takeover"
)

// groups runs a monitor for each configured group.
type groups struct {
	host *Host

	mu       sync.Mutex
	monitors map[group.ID]*lead.Monitor
}

func newGroups(h *Host) *groups {
	return &groups{host: h, monitors: map[group.ID]*lead.Monitor{}}
}

// monitor returns the monitor of a group, nil if the group is not configured.
func (g *groups) monitor(id group.ID) *lead.Monitor {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.monitors[id]
}

// all returns the monitors of all groups.
func (g *groups) all() map[group.ID]*lead.Monitor {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.monitors)
}

// run starts a monitor for each group that the configuration names.
func (g *groups) run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		changed := g.host.book.Changed()
		for _, m := range g.missing(g.host.book.View()) {
			wait.Go(func() { _ = m.Run(ctx) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (g *groups) missing(view *catalog.View) (added []*lead.Monitor) {
	if view.Config == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range view.Config.Groups {
		if g.monitors[id] == nil {
			g.monitors[id] = g.create(id)
			added = append(added, g.monitors[id])
		}
	}
	return added
}

func (g *groups) create(id group.ID) *lead.Monitor {
	h := g.host
	runner := &takeover.Runner{
		Self: h.settings.HostID, Client: h.servers, Records: h.platform.Ledger, ServerLister: catalog.ServerLister{Source: h.platform.Source}, Promotions: h.platform.Orders,
		NewUpdateID: rand.Text, Observe: g.step,
	}
	return lead.New(lead.Config{
		Group: id, Cache: h.book, Client: h.servers, PrimaryChanger: timed{runner, h.metrics}, Clock: h.platform.Clock, Log: h.log,
		DataCentre: h.settings.DataCentre, Peers: h.peers,
	})
}

// timed is an Attempter that counts its attempts and their times.
type timed struct {
	lead.PrimaryChanger
	metrics *metrics
}

// Run implements lead.Attempter.
func (t timed) Run(ctx context.Context, s takeover.Request) (group.ServerID, error) {
	started := time.Now()
	server, err := t.PrimaryChanger.Run(ctx, s)
	t.metrics.changes.WithLabelValues(s.Cause.String(), result(err)).Observe(time.Since(started).Seconds())
	return server, err
}

func (g *groups) step(id group.ID, s takeover.Step) {
	g.host.metrics.changeSteps.WithLabelValues(s.Name, result(s.Err)).Inc()
	problem := ""
	if s.Err != nil {
		problem = s.Err.Error()
	}
	g.host.log.Write(context.Background(), logevent.ChangeStep, slog.String("group", string(id)), slog.String("step", s.Name),
		slog.String("server", string(s.Server)), slog.Int64("epoch", int64(s.Epoch)), slog.String("received", s.Status.ReceivedPosition.String()),
		slog.Int64("term", int64(s.Status.Term)), slog.String("error", problem))
}
