package entry

import (
	"context"
	"crypto/rand"
	"log/slog"
	"maps"
	"sync"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/lead"
	"basilmill/core/link"
	"basilmill/core/logevent"
	"basilmill/core/takeover"
)

// groups runs the primary monitor of each configured group. A monitor runs until
// the host stops, also if its group is removed from the configuration.
type groups struct {
	host *Host

	mu       sync.Mutex
	monitors map[group.ID]*lead.Monitor
}

func newGroups(h *Host) *groups {
	return &groups{host: h, monitors: map[group.ID]*lead.Monitor{}}
}

// monitor returns the monitor of a group, nil if it has none yet.
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

// reportRestored tells all monitors that the store was restored.
func (g *groups) reportRestored() {
	for _, m := range g.all() {
		m.ReportStoreRestored()
	}
}

// reportOutdatedView tells all monitors that the view may lack changes of servers since the
// given time.
func (g *groups) reportOutdatedView(since time.Duration) {
	for _, m := range g.all() {
		m.ReportOutdatedView(since)
	}
}

// run starts a monitor for each group that the configuration names.
func (g *groups) run(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		changed := g.host.cache.Changed()
		for _, m := range g.addMonitors(g.host.cache.View()) {
			wait.Go(func() { _ = m.Run(ctx) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// addMonitors creates the monitors of configured groups that have none and returns
// them.
func (g *groups) addMonitors(view *catalog.View) (added []*lead.Monitor) {
	if view.Config == nil {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range view.Config.Groups {
		if g.monitors[id] == nil {
			g.monitors[id] = g.newMonitor(id)
			added = append(added, g.monitors[id])
		}
	}
	return added
}

func (g *groups) newMonitor(id group.ID) *lead.Monitor {
	h := g.host
	runner := &takeover.Runner{
		Self: h.settings.HostID, Client: h.gateways, Direct: link.Commander{Sources: h.pool}, Records: h.platform.RecordStore, ServerLister: catalog.ServerLister{Source: h.platform.Source}, Promotions: h.platform.PromotionService, Hosts: h.successes, Eras: h.platform.Eras,
		NewUpdateID: rand.Text, Observe: g.observeStep,
	}
	return lead.New(lead.Config{
		Group: id, Cache: h.cache, Client: h.gateways, PrimaryChanger: timedPrimaryChanger{runner, h.metrics}, Clock: h.platform.Clock, Log: h.log,
		DataCentre: h.settings.DataCentre, MaxViewDelay: h.settings.MaxViewDelay(), Peers: h.peers, Responsible: h.gateways.client.IsGatewayToAny, Standby: h.gateways.client.IsStandby,
	})
}

// timedPrimaryChanger makes attempts to change a primary and records the result and
// duration of each in the metrics.
type timedPrimaryChanger struct {
	lead.PrimaryChanger
	metrics *metrics
}

// Run makes one attempt and returns the new primary.
func (t timedPrimaryChanger) Run(ctx context.Context, request takeover.Request) (group.ServerID, error) {
	started := time.Now()
	server, err := t.PrimaryChanger.Run(ctx, request)
	t.metrics.changeDurations.WithLabelValues(request.Cause.String(), resultLabel(err)).Observe(time.Since(started).Seconds())
	return server, err
}

// observeStep counts and logs a step of an attempt to change the primary.
func (g *groups) observeStep(id group.ID, s takeover.Step) {
	g.host.metrics.changeSteps.WithLabelValues(s.Name, resultLabel(s.Err)).Inc()
	errorText := ""
	if s.Err != nil {
		errorText = s.Err.Error()
	}
	g.host.log.Write(context.Background(), logevent.ChangeStep, slog.String("group", string(id)), slog.String("step", s.Name), slog.String("cause", s.Cause.String()),
		slog.String("server", string(s.Server)), slog.Int64("epoch", int64(s.Epoch)), slog.Int64("era", int64(g.host.era())), slog.String("received", s.Status.ReceivedPosition.String()),
		slog.Int64("term", int64(s.Status.Term)), slog.Int64("suspended_term", int64(s.Status.SuspendedTerm)), slog.Bool("leads", s.Status.Role == exchange.Primary),
		slog.String("pending", string(s.Pending)), slog.Any("members", s.Members), slog.String("error", errorText))
}
