package entry

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"basilmill/core/account"
	"basilmill/core/catalog"
	"basilmill/core/host"
	"basilmill/core/logevent"
	"basilmill/core/ratelimit"
	"basilmill/core/retry"
)

const (
	// firstTableTimeout bounds the wait of an operation for the first list of hosts.
	firstTableTimeout = 200 * time.Millisecond
	// introductionInterval is the time between two introductions to hosts that do not know
	// this one, and introductionTimeout bounds one.
	introductionInterval = 500 * time.Millisecond
	introductionTimeout  = 500 * time.Millisecond
	// recordTimeout bounds one attempt to write the start of this process to the store.
	recordTimeout = time.Second
	// recordDelay is how long after its start a host that has joined writes it: only its
	// next start needs it, and the hosts of a new deployment start together.
	recordDelay = 20 * time.Second
	// maxRecordBackoff bounds the pause after a failed attempt.
	maxRecordBackoff = 30 * time.Second
)

// limits admits the operations of client accounts, and holds the parts of limits that are
// assigned to this host. It does nothing while the configuration has no accounts. It
// implements proxy.Admission and peer.LimitsService.
type limits struct {
	host        *Host
	members     ratelimit.Members
	coordinator ratelimit.Coordinator
	client      ratelimit.Client
	// registered is set once the store has the entry of this host, and wasRegistered if it
	// had the entry when this host started.
	registered, wasRegistered atomic.Bool
	// startedAt is when this process started, by the machine's clock: the one before it used
	// the same.
	startedAt time.Time

	mu sync.Mutex
	// config, hostsVersion and membersVersion are those of table, which was made of hosts.
	config                       *catalog.Config
	hostsVersion, membersVersion int64
	hosts                        []host.Info
	table                        *ratelimit.Table
	introducedAt                 time.Duration
	// isRecording and isRecorded are set while the start is being written to the store, and
	// once it has been.
	isRecording, isRecorded bool
	// nextRecordAt is when a failed attempt is repeated.
	nextRecordAt  time.Time
	recordBackoff retry.Backoff
	start         ratelimit.StartDecision
}

func newLimits(h *Host) *limits {
	l := &limits{host: h, members: ratelimit.Members{Self: h.info()}, startedAt: time.Now(), recordBackoff: retry.Backoff{InitialBackoff: time.Second, MaxBackoff: maxRecordBackoff}}
	l.client = ratelimit.Client{
		Local: &l.coordinator, Self: h.settings.HostID, Network: h.gateways.peers, Clock: h.platform.Clock,
		ObserveDraw: func(id account.ID, result ratelimit.DrawResult) {
			h.metrics.limitDraws.WithLabelValues(h.metrics.accounts.label(id), result.String()).Inc()
		},
	}
	return l
}

// noteRegistration notes a registration of this host. existed is set if it is the first
// one and the store had the entry before.
func (l *limits) noteRegistration(existed bool, err error) {
	if existed {
		l.wasRegistered.Store(true)
	}
	if err == nil {
		l.registered.Store(true)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateStanding()
	l.recordStart()
}

// updateStanding applies what the other hosts know of this one. The caller holds the lock.
func (l *limits) updateStanding() {
	if l.table != nil {
		l.coordinator.Update(l.host.platform.Clock(), l.table, l.standing())
	}
}

// recordStart writes the start of this process to its entry in the store, and decides
// whether its parts start with tokens. It does nothing without accounts. The caller holds
// the lock.
func (l *limits) recordStart() {
	if l.table == nil || l.config.Accounts == nil || !l.registered.Load() || l.isRecording || l.isRecorded || time.Now().Before(l.nextRecordAt) {
		return
	}
	if !l.wasRegistered.Load() && time.Since(l.startedAt) < recordDelay {
		return
	}
	l.isRecording = true
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		_, before, err := l.host.platform.Hosts.RegisterHost(ctx, l.host.info(), l.startedAt)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.isRecording, l.isRecorded = false, err == nil
		if err != nil {
			// It is repeated by tick, but rarely: a store that turns the host away is paid
			// for each call, and only the next start needs the record.
			l.nextRecordAt = time.Now().Add(l.recordBackoff.Next())
			return
		}
		l.start = ratelimit.StartEmpty
		if l.wasRegistered.Load() && ratelimit.MayHaveStartTokens(before, l.startedAt, l.host.settings.QuotaWindow) && time.Since(l.startedAt) < ratelimit.StartTime {
			l.start = ratelimit.StartWithTokens
		}
		l.updateStanding()
	}()
}

// Admit implements proxy.Admission.
func (l *limits) Admit(ctx context.Context, id account.ID) ratelimit.Verdict {
	config := l.host.cache.View().Config
	if id == "" || config == nil || config.Accounts == nil {
		return ratelimit.Verdict{Admitted: true}
	}
	if !l.refresh() {
		waitCtx, cancel := context.WithTimeout(ctx, firstTableTimeout)
		defer cancel()
		// Without a list, the operation is refused, but not as one over the limit.
		_ = l.host.peers.awaitHosts(waitCtx)
		l.refresh()
	}
	verdict := l.client.Admit(ctx, id)
	if verdict.Admitted {
		l.host.metrics.admitted.WithLabelValues(l.host.metrics.accounts.label(id)).Inc()
		return verdict
	}
	if verdict.Unready {
		return verdict
	}
	l.host.metrics.overLimit.WithLabelValues(l.host.metrics.accounts.label(id)).Inc()
	l.host.log.Write(ctx, logevent.AccountOverLimit, slog.String("account", string(id)), slog.Duration("retry_after", verdict.RetryAfter))
	return verdict
}

// AdmitAtHand implements proxy.Admission.
func (l *limits) AdmitAtHand(id account.ID) bool {
	config := l.host.cache.View().Config
	return id == "" || config == nil || config.Accounts == nil || l.client.AdmitAtHand(id)
}

// Draw implements peer.LimitsService.
func (l *limits) Draw(demands []ratelimit.Demand) []ratelimit.Grant {
	l.refresh()
	return l.coordinator.Draw(l.host.platform.Clock(), demands)
}

// Introduce implements peer.LimitsService.
func (l *limits) Introduce(joined host.Info) (known []host.Info) {
	l.refresh()
	l.learn([]host.Info{joined})
	l.refresh()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.hosts {
		if h.DataCentre == joined.DataCentre {
			known = append(known, h)
		}
	}
	return known
}

func (l *limits) learn(infos []host.Info) {
	l.mu.Lock()
	known := l.hosts
	l.mu.Unlock()
	l.members.Learn(l.host.platform.Clock(), known, infos)
}

// tick applies what has changed, and introduces this host to those that may hold its parts
// because they do not know it.
func (l *limits) tick() {
	if !l.refresh() || !l.registered.Load() {
		return
	}
	l.mu.Lock()
	l.recordStart()
	l.mu.Unlock()
	if !l.coordinator.IsWaiting() {
		return
	}
	now := l.host.platform.Clock()
	l.mu.Lock()
	l.coordinator.Update(now, l.table, l.standing())
	due := l.introducedAt == 0 || now-l.introducedAt >= introductionInterval
	if due {
		l.introducedAt = now
	}
	l.mu.Unlock()
	if !due {
		return
	}
	for _, h := range l.coordinator.Unconfirmed() {
		go l.introduceTo(h)
	}
}

// introduceTo introduces this host to another one.
func (l *limits) introduceTo(info host.Info) {
	ctx, cancel := context.WithTimeout(context.Background(), introductionTimeout)
	defer cancel()
	hosts, err := l.host.gateways.peers.Introduce(ctx, info, l.host.info())
	if err != nil {
		// It is repeated by tick.
		return
	}
	l.learn(hosts)
	l.members.NoteKnownBy(info.ID)
	l.refresh()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.coordinator.Update(l.host.platform.Clock(), l.table, l.standing())
}

// refresh applies a changed configuration or list of hosts. It returns false while there
// is none. It does nothing if there have never been accounts.
func (l *limits) refresh() bool {
	config := l.host.cache.View().Config
	if config == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if config.Accounts == nil {
		if l.table != nil && l.config != config {
			l.apply(config, nil)
		}
		return true
	}
	list, version := l.host.peers.knownHosts()
	if version == 0 {
		return false
	}
	membersVersion := l.members.Version()
	if config == l.config && version == l.hostsVersion && membersVersion == l.membersVersion {
		return true
	}
	l.hostsVersion, l.membersVersion = version, membersVersion
	l.apply(config, l.members.Merge(l.host.platform.Clock(), list))
	return true
}

// apply makes the table anew. The caller holds the lock.
func (l *limits) apply(config *catalog.Config, hosts []host.Info) {
	s := l.host.settings
	rule := ratelimit.Rule{Window: s.QuotaWindow, Overage: s.QuotaOverage, Slack: s.QuotaSlack}
	table := ratelimit.NewTable(config, rule, l.host.info(), hosts)
	l.logChanges(table)
	l.config, l.table, l.hosts = config, table, hosts
	l.coordinator.Update(l.host.platform.Clock(), table, l.standing())
	l.client.Update(table)
	l.recordStart()
}

// standing returns what the other hosts know of this one.
func (l *limits) standing() ratelimit.Standing {
	returning := l.wasRegistered.Load()
	return ratelimit.Standing{Entitled: returning || l.host.settings.Bootstrap, Returning: returning, Start: l.start, Knows: l.members.IsKnownBy}
}

// logChanges logs the limits that change. The limits of a host that starts are not logged.
func (l *limits) logChanges(table *ratelimit.Table) {
	if l.table == nil {
		return
	}
	for _, c := range table.Changes(l.table) {
		attrs := []slog.Attr{
			slog.String("account", string(c.Account)), slog.Float64("rate", c.Now.Rate), slog.Float64("burst", c.Now.Burst),
			slog.Int64("config", table.ConfigVersion), slog.Duration("binds_after", l.host.settings.QuotaWindow),
		}
		if c.Known {
			attrs = append(attrs, slog.Float64("rate_before", c.Before.Rate), slog.Float64("burst_before", c.Before.Burst))
		}
		l.host.log.Write(context.Background(), logevent.AccountLimitChanged, attrs...)
	}
}

// limitTokensDesc describes the tokens that a host has drawn ahead.
var limitTokensDesc = prometheus.NewDesc("basilmill_limit_tokens_held", "Tokens that this host has drawn ahead.", []string{"account"}, nil)

// limitCollector collects the tokens that a host has drawn ahead.
type limitCollector struct{ client *ratelimit.Client }

// Describe implements prometheus.Collector.
func (limitCollector) Describe(descs chan<- *prometheus.Desc) { descs <- limitTokensDesc }

// Collect implements prometheus.Collector.
func (c limitCollector) Collect(metrics chan<- prometheus.Metric) {
	for id, n := range c.client.Held() {
		metrics <- prometheus.MustNewConstMetric(limitTokensDesc, prometheus.GaugeValue, float64(n), string(id))
	}
}
