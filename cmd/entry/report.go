package entry

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/distribution"
	"basilmill/core/group"
	"basilmill/core/logevent"
)

// syncReporter logs the synchronisation of the catalogue with the store: changes of
// servers and of the configuration, and, once for each part of the catalogue, the
// loss and the recovery of the store.
type syncReporter struct {
	host *Host

	mu      sync.Mutex
	failing map[string]bool
	version catalog.Version
	// accounts are those of the version.
	accounts *catalog.Accounts
	// serversConfirmedAt is when the servers were last read, by the clock of the host.
	serversConfirmedAt time.Duration
}

func newSyncReporter(h *Host) *syncReporter {
	return &syncReporter{host: h, failing: map[string]bool{}, serversConfirmedAt: h.platform.Clock()}
}

// observeSourceCall records the result of a call that reads a part of the
// catalogue, and tells the groups of a failure to read the servers. It also logs a
// configuration that has just come into force.
func (r *syncReporter) observeSourceCall(part string, at distribution.Version, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.host.metrics.viewConfirmed.WithLabelValues(part).SetToCurrentTime()
		r.host.metrics.viewRevision.WithLabelValues(part).Set(float64(at.Revision()))
	}
	if part == "servers" {
		if err == nil {
			r.serversConfirmedAt = r.host.platform.Clock()
		} else {
			r.host.groups.reportOutdatedView(r.serversConfirmedAt)
		}
	}
	attrs := []slog.Attr{slog.String("part", part), slog.Int64("revision", at.Revision()), slog.Int64("era", int64(at.Era()))}
	ctx := context.Background()
	switch {
	case err != nil && !r.failing[part]:
		r.failing[part] = true
		r.host.log.Write(ctx, logevent.PlatformUnavailable, append(attrs, slog.String("error", err.Error()))...)
	case err == nil && r.failing[part]:
		r.failing[part] = false
		r.host.log.Write(ctx, logevent.PlatformAvailable, attrs...)
	}
	if config := r.host.cache.View().Config; config != nil && config.Version != r.version {
		r.logApplied(config, attrs)
	}
}

// logApplied logs a configuration that has come into force. The accounts of the first one are
// counted only. The caller holds the lock.
func (r *syncReporter) logApplied(config *catalog.Config, attrs []slog.Attr) {
	attrs = append(attrs, slog.Int64("version", int64(config.Version)), slog.Int("routes", len(config.Routes)))
	if config.Accounts != nil {
		attrs = append(attrs, slog.Int("accounts", config.Accounts.Len()))
	}
	r.host.log.Write(context.Background(), logevent.ConfigurationApplied, attrs...)
	for _, c := range r.accounts.Changes(config.Accounts) {
		if r.version != 0 {
			r.logAccount(c, config.Version)
		}
		if c.After == nil {
			r.host.metrics.accounts.drop(c.ID())
		}
	}
	r.version, r.accounts = config.Version, config.Accounts
}

// logAccount logs the change of an account in a version of the configuration.
func (r *syncReporter) logAccount(c catalog.AccountChange, version catalog.Version) {
	attrs := []slog.Attr{slog.String("account", string(c.ID())), slog.Int64("version", int64(version))}
	change := "limits"
	switch {
	case c.Before == nil:
		change = "added"
	case c.After == nil:
		change = "removed"
	default:
		attrs = append(attrs, limitAttr("rate_before", c.Before.Rate), limitAttr("burst_before", c.Before.Burst))
	}
	attrs = append(attrs, slog.String("change", change))
	if c.After != nil {
		attrs = append(attrs, limitAttr("rate", c.After.Rate), limitAttr("burst", c.After.Burst))
	}
	r.host.log.Write(context.Background(), logevent.AccountChanged, attrs...)
}

// limitAttr returns the attribute of a limit of an account. JSON has no infinite numbers.
func limitAttr(key string, limit float64) slog.Attr {
	if math.IsInf(limit, 1) {
		return slog.String(key, "none")
	}
	return slog.Float64(key, limit)
}

// logChange logs a change of a server's entry.
func (r *syncReporter) logChange(c catalog.ServerChange, at distribution.Version) {
	if c.Err != nil {
		r.host.log.Write(context.Background(), logevent.ObjectInvalid, slog.String("server", string(c.ID)),
			slog.Int64("revision", at.Revision()), slog.Int64("era", int64(at.Era())), slog.String("error", c.Err.Error()))
		return
	}
	attrs := []slog.Attr{slog.String("server", string(c.ID)), slog.Int64("revision", at.Revision()), slog.Int64("era", int64(at.Era())), slog.Bool("removed", c.Server == nil)}
	if c.Server != nil {
		attrs = append(attrs, slog.String("group", string(c.Server.Group)), slog.Bool("leaving", c.Server.Leaving), slog.Bool("primary", c.Server.ClaimsPrimary))
	}
	r.host.log.Write(context.Background(), logevent.BackendServerChanged, attrs...)
}

// logInvalidConfig logs a configuration that cannot be used, with the version that stays in
// force.
func (r *syncReporter) logInvalidConfig(invalid *catalog.InvalidConfigError, at distribution.Version) {
	r.host.log.Write(context.Background(), logevent.ObjectInvalid, slog.String("part", "configuration"), slog.Int64("revision", at.Revision()), slog.Int64("era", int64(at.Era())),
		slog.String("error", invalid.Error()), slog.Int64("version_in_force", int64(r.host.cache.View().ConfigVersion())))
}

// logRestored logs servers that were restored from the saved list and have no
// entry yet.
func (r *syncReporter) logRestored(servers []group.ServerID) {
	for _, id := range servers {
		r.host.log.Write(context.Background(), logevent.BackendServerChanged, slog.String("server", string(id)), slog.Bool("remembered", true))
	}
}
