package entry

import (
	"context"
	"log/slog"
	"sync"

	"basilmill/core/catalog"
	"basilmill/core/group"
	"basilmill/core/logevent"
)

// feedReporter logs changes of the catalogue. It logs the loss and the recovery of
// the store once for each part of the catalogue.
type feedReporter struct {
	host *Host

	mu      sync.Mutex
	failing map[string]bool
	version catalog.Version
}

func newFeedReporter(h *Host) *feedReporter {
	return &feedReporter{host: h, failing: map[string]bool{}}
}

// observeFetch records the result of reading a part of the catalogue. It also logs
// a configuration that has just come into force.
func (r *feedReporter) observeFetch(part string, at catalog.Revision, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.host.metrics.viewConfirmed.WithLabelValues(part).SetToCurrentTime()
	}
	attrs := []slog.Attr{slog.String("part", part), slog.Int64("revision", int64(at))}
	ctx := context.Background()
	switch {
	case err != nil && !r.failing[part]:
		r.failing[part] = true
		r.host.log.Write(ctx, logevent.PlatformUnavailable, append(attrs, slog.String("error", err.Error()))...)
	case err == nil && r.failing[part]:
		r.failing[part] = false
		r.host.log.Write(ctx, logevent.PlatformAvailable, attrs...)
	}
	if config := r.host.book.View().Config; config != nil && config.Version != r.version {
		r.version = config.Version
		r.host.log.Write(ctx, logevent.ConfigurationApplied, append(attrs, slog.Int64("version", int64(config.Version)), slog.Int("routes", len(config.Routes)))...)
	}
}

// logChange logs a change of a server's entry.
func (r *feedReporter) logChange(c catalog.Change, at catalog.Revision) {
	if c.Problem != nil {
		r.host.log.Write(context.Background(), logevent.ObjectInvalid, slog.String("server", string(c.ID)),
			slog.Int64("revision", int64(at)), slog.String("error", c.Problem.Error()))
		return
	}
	attrs := []slog.Attr{slog.String("server", string(c.ID)), slog.Int64("revision", int64(at)), slog.Bool("removed", c.Server == nil)}
	if c.Server != nil {
		attrs = append(attrs, slog.String("group", string(c.Server.Group)), slog.Bool("leaving", c.Server.Leaving), slog.Bool("primary", c.Server.Primary))
	}
	r.host.log.Write(context.Background(), logevent.BackendServerChanged, attrs...)
}

// logRestored logs servers that were restored from the saved list and have no
// entry yet.
func (r *feedReporter) logRestored(servers []group.ServerID) {
	for _, id := range servers {
		r.host.log.Write(context.Background(), logevent.BackendServerChanged, slog.String("server", string(id)), slog.Bool("remembered", true))
	}
}
