package entry

import (
	"context"
	"log/slog"
	"sync"

	"basilmill/core/catalog"
	"basilmill/core/group"
	"basilmill/core/logevent"
)

// feedReport logs the loss and the return of the store, once for each part of
// the catalogue.
type feedReport struct {
	host *Host

	mu      sync.Mutex
	failing map[string]bool
	version catalog.Version
}

func newFeedReport(h *Host) *feedReport {
	return &feedReport{host: h, failing: map[string]bool{}}
}

func (r *feedReport) report(part string, at catalog.Revision, err error) {
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

// changed logs a change of a server's entry.
func (r *feedReport) changed(c catalog.ServerChange, at catalog.Revision) {
	if c.Err != nil {
		r.host.log.Write(context.Background(), logevent.ObjectInvalid, slog.String("server", string(c.ID)),
			slog.Int64("revision", int64(at)), slog.String("error", c.Err.Error()))
		return
	}
	attrs := []slog.Attr{slog.String("server", string(c.ID)), slog.Int64("revision", int64(at)), slog.Bool("removed", c.Server == nil)}
	if c.Server != nil {
		attrs = append(attrs, slog.String("group", string(c.Server.Group)), slog.Bool("leaving", c.Server.Leaving), slog.Bool("primary", c.Server.ClaimsPrimary))
	}
	r.host.log.Write(context.Background(), logevent.BackendServerChanged, attrs...)
}

// restored logs servers that are known from the memory only.
func (r *feedReport) restored(servers []group.ServerID) {
	for _, id := range servers {
		r.host.log.Write(context.Background(), logevent.BackendServerChanged, slog.String("server", string(id)), slog.Bool("remembered", true))
	}
}
