package entry

import (
	"context"
	"log/slog"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"basilmill/core/account"
	"basilmill/core/catalog"
	"basilmill/core/link"
	"basilmill/core/logevent"
	"basilmill/core/proxy"
)

// metrics holds the host's Prometheus metrics.
type metrics struct {
	registry           *prometheus.Registry
	statements         *prometheus.CounterVec
	statementDurations *prometheus.HistogramVec
	positionAges       *prometheus.HistogramVec
	commitHolds        *prometheus.HistogramVec
	connectionWaits    *prometheus.HistogramVec
	connectionHolds    *prometheus.HistogramVec
	limitRefusals      *prometheus.CounterVec
	retries            prometheus.Counter
	lostCallers        prometheus.Counter
	sessionPanics      prometheus.Counter
	keysRefused        prometheus.Counter
	accounts           accountMetrics
	peerCalls          *prometheus.CounterVec
	pulls              *prometheus.CounterVec
	objectsIgnored     *prometheus.CounterVec
	storeCalls         *prometheus.CounterVec
	storeDurations     *prometheus.HistogramVec
	viewConfirmed      *prometheus.GaugeVec
	viewRevision       *prometheus.GaugeVec
	changeDurations    *prometheus.HistogramVec
	changeSteps        *prometheus.CounterVec
	detours            *prometheus.CounterVec
	gatewaysAvoided    prometheus.Counter
	admitted           *prometheus.CounterVec
	overLimit          *prometheus.CounterVec
	limitDraws         *prometheus.CounterVec
	clientRefusals     *prometheus.CounterVec
	clientsClosed      *prometheus.CounterVec
}

// Histogram buckets in seconds.
var (
	// durationBuckets range from a read in the same data centre to the longest
	// statement timeout of current routes.
	durationBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .5, .8, 1.2, 2}
	// waitBuckets cover the wait for a connection, which is bounded to a quarter
	// of the latency objective. Current objectives are 0.3 s to 1.2 s.
	waitBuckets = []float64{.001, .005, .02, .05, .075, .1, .15, .3}
	// holdBuckets range from a single statement to a transaction with idle time.
	holdBuckets = []float64{.005, .02, .05, .1, .3, 1, 3, 10}
	// ageBuckets cover the staleness that current routes allow, up to 2.5 s.
	ageBuckets = []float64{.1, .2, .4, .8, 1.2, 1.6, 2.5}
	// storeBuckets range from a plain call of the store to the longest watch.
	storeBuckets = []float64{.005, .02, .05, .1, .5, 1, 2, 5, 10}
	// changeBuckets cover the duration of a change of primary; the objective is
	// 2 s.
	changeBuckets = []float64{.1, .25, .5, 1, 1.5, 2, 3, 5, 10}
)

// newMetrics registers all metrics except those of registerGauges.
func newMetrics() *metrics {
	registry := prometheus.NewRegistry()
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
		registry.MustRegister(c)
		return c
	}
	histogram := func(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels)
		registry.MustRegister(h)
		return h
	}
	m := &metrics{
		registry:           registry,
		statements:         counter("basilmill_statements_total", "Statements by class of route and outcome.", "class", "outcome"),
		statementDurations: histogram("basilmill_statement_duration_seconds", "Time from a statement's arrival to its answer.", durationBuckets, "class"),
		positionAges:       histogram("basilmill_position_age_seconds", "Age of the proof whose position an aged read was served at.", ageBuckets, "class"),
		commitHolds:        histogram("basilmill_commit_hold_seconds", "Time for which the success of a commit was held back until a replica was known to have it that a change of primary asks.", durationBuckets, "result"),
		connectionWaits:    histogram("basilmill_connection_wait_seconds", "Wait of a request for a connection.", waitBuckets, "result"),
		connectionHolds:    histogram("basilmill_connection_hold_seconds", "Time that a request has a connection.", holdBuckets, "use"),
		limitRefusals:      counter("basilmill_connections_refused_total", "Openings that a server refused over its limit, by group.", "group"),
		retries:            prometheus.NewCounter(prometheus.CounterOpts{Name: "basilmill_statement_retries_total", Help: "Attempts beyond the first."}),
		lostCallers:        prometheus.NewCounter(prometheus.CounterOpts{Name: "basilmill_callers_lost_total", Help: "Callers' connections that broke."}),
		sessionPanics:      prometheus.NewCounter(prometheus.CounterOpts{Name: "basilmill_session_panics_total", Help: "Callers' sessions that a fault of the program ended."}),
		keysRefused:        prometheus.NewCounter(prometheus.CounterOpts{Name: "basilmill_keys_refused_total", Help: "Connections and requests refused because no account has the caller's key."}),
		accounts: accountMetrics{
			statements: counter("basilmill_account_statements_total", "Statements by client account and outcome.", "account", "outcome"),
			opened:     counter("basilmill_account_connections_opened_total", "Connections opened for a client account.", "account"),
			givenUp:    counter("basilmill_account_connections_given_up_total", "Idle connections of a client account closed for other accounts or a lowered limit.", "account"),
			waits:      prometheus.NewSummaryVec(prometheus.SummaryOpts{Name: "basilmill_account_connection_wait_seconds", Help: "Wait of requests of a client account for a connection."}, []string{"account"}),
			labels:     map[account.ID]bool{},
		},
		peerCalls:       counter("basilmill_peer_questions_total", "Questions to other hosts for a proven position, by answer.", "answer"),
		pulls:           counter("basilmill_pulls_total", "Pulls of the store's objects from relays, by result.", "result"),
		objectsIgnored:  counter("basilmill_objects_ignored_total", "Objects of the store that the copy for other hosts left out, because it held a newer version.", "kind"),
		storeCalls:      counter("basilmill_store_calls_total", "Calls of the platform's store by method and kind, and by status (0 without an answer).", "call", "status"),
		storeDurations:  histogram("basilmill_store_call_duration_seconds", "Time of a call of the platform's store; a watch waits for changes.", storeBuckets, "call"),
		changeDurations: histogram("basilmill_primary_change_duration_seconds", "Time of an attempt to change a primary.", changeBuckets, "cause", "result"),
		changeSteps:     counter("basilmill_primary_change_steps_total", "Steps of attempts to change a primary.", "step", "result"),
		detours:         counter("basilmill_detours_total", "Connections to backend servers opened through other hosts, by result.", "result"),
		clientRefusals:  counter("basilmill_client_refusals_total", "Messages, names and connections of clients that were refused, by limit.", "limit"),
		clientsClosed:   counter("basilmill_clients_closed_total", "Connections of clients that were closed, by limit.", "limit"),
		gatewaysAvoided: prometheus.NewCounter(prometheus.CounterOpts{Name: "basilmill_gateways_avoided_total", Help: "Decisions to avoid a gateway to backend servers."}),
		admitted:        counter("basilmill_operations_admitted_total", "Operations within the limit of their account.", "account"),
		overLimit:       counter("basilmill_operations_over_limit_total", "Operations refused over the limit of their account.", "account"),
		limitDraws:      counter("basilmill_limit_draws_total", "Draws of tokens from the parts of an account's limit, by result.", "account", "result"),
		viewConfirmed:   prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "basilmill_view_confirmed_timestamp_seconds", Help: "When the store last answered for a part of the view."}, []string{"part"}),
		viewRevision:    prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "basilmill_view_revision", Help: "Revision of the store up to which a part of the view is complete."}, []string{"part"}),
	}
	m.accounts.counters = []*prometheus.CounterVec{m.accounts.statements, m.accounts.opened, m.accounts.givenUp, m.admitted, m.overLimit, m.limitDraws}
	registry.MustRegister(m.accounts.waits, m.retries, m.lostCallers, m.sessionPanics, m.keysRefused, m.gatewaysAvoided, m.viewConfirmed, m.viewRevision)
	return m
}

// poolObserver implements link.Observer with metrics and log events.
type poolObserver struct {
	metrics *metrics
	log     *logevent.Logger
}

// ObserveWait implements link.Observer.
func (o poolObserver) ObserveWait(id account.ID, d time.Duration, granted bool) {
	label := "granted"
	if !granted {
		label = "given up"
	}
	o.metrics.connectionWaits.WithLabelValues(label).Observe(d.Seconds())
	o.metrics.accounts.observeWait(id, d)
}

// ObserveOpened implements link.Observer.
func (o poolObserver) ObserveOpened(id account.ID) {
	o.metrics.accounts.count(o.metrics.accounts.opened, id)
}

// ObserveGivenUp implements link.Observer.
func (o poolObserver) ObserveGivenUp(id account.ID) {
	o.metrics.accounts.count(o.metrics.accounts.givenUp, id)
}

// ObserveHold implements link.Observer.
func (o poolObserver) ObserveHold(d time.Duration, exclusive bool) {
	label := "shared"
	if exclusive {
		label = "exclusive"
	}
	o.metrics.connectionHolds.WithLabelValues(label).Observe(d.Seconds())
}

// ObserveLimitReached implements link.Observer.
func (o poolObserver) ObserveLimitReached(server catalog.Server, open, waiting int) {
	o.metrics.limitRefusals.WithLabelValues(string(server.Group)).Inc()
	o.log.Write(context.Background(), logevent.ConnectionLimitHit, slog.String("group", string(server.Group)),
		slog.String("server", string(server.ID)), slog.Int("open", open), slog.Int("waiting", waiting))
}

// observeStatement records one statement.
func (m *metrics) observeStatement(r proxy.Result) {
	outcome := "done"
	if r.Answer.Failure != nil {
		outcome = r.Answer.Failure.Code.String()
	}
	class := r.Route.Consistency.String()
	m.statements.WithLabelValues(class, outcome).Inc()
	m.accounts.observe(r.Account, outcome)
	m.statementDurations.WithLabelValues(class).Observe(r.Elapsed.Seconds())
	if r.HeldBack > 0 {
		result := "confirmed"
		if r.Answer.Failure != nil {
			result = "in doubt"
		}
		m.commitHolds.WithLabelValues(result).Observe(r.HeldBack.Seconds())
	}
	if r.PositionAge > 0 {
		m.positionAges.WithLabelValues(class).Observe(r.PositionAge.Seconds())
	}
	if r.Attempts > 1 {
		m.retries.Add(float64(r.Attempts - 1))
	}
}

// registerGauges registers the metrics that are read from the host's state when
// they are collected.
func (m *metrics) registerGauges(h *Host) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	poolStat := func(value func(link.Stats) float64) func() float64 {
		return func() float64 { return value(h.servers.Stats()) }
	}
	gauge("basilmill_callers", "Callers connected.", func() float64 { return float64(h.callers.count()) })
	gauge("basilmill_client_memory_bytes", "Memory that messages, answers and session state of clients use.", func() float64 { return float64(h.platform.Budget.Used()) })
	gauge("basilmill_client_memory_limit_bytes", "Limit of the memory of clients, 0 for none.", func() float64 { return float64(h.platform.Budget.Limit()) })
	gauge("basilmill_connections_open", "Connections to backend servers.", poolStat(func(s link.Stats) float64 { return float64(s.Open) }))
	gauge("basilmill_connections_exclusive", "Connections held by a transaction or a write.", poolStat(func(s link.Stats) float64 { return float64(s.Exclusive) }))
	gauge("basilmill_connections_shared", "Sessions with a statement on shared connections.", poolStat(func(s link.Stats) float64 { return float64(s.Shared) }))
	gauge("basilmill_connections_window", "Statements on shared connections that the servers' answers allow.", poolStat(func(s link.Stats) float64 { return float64(s.Window) }))
	m.registry.MustRegister(&proofAgeCollector{groups: h.groups, clock: h.platform.Clock})
	m.registry.MustRegister(limitCollector{&h.limits.client}, heldCollector{h.servers, &m.accounts})
	gauge("basilmill_limit_parts", "Accounts of whose limits this host holds parts.", func() float64 { return float64(h.limits.coordinator.Held()) })
	gauge("basilmill_relayed_connections", "Connections passed on for other hosts.", func() float64 { return float64(h.detours.relay.OpenConnections()) })
	gauge("basilmill_gateway_streams", "Streams of other hosts that use or wait for a connection of this host.", func() float64 { return float64(h.gateways.service.Active()) })
	gauge("basilmill_connection_waiters", "Requests that wait for a connection.", poolStat(func(s link.Stats) float64 { return float64(s.Waiting) }))
	gauge("basilmill_store_era", "Era of the store that this host has seen; it rises with each restoration from a copy.", func() float64 { return float64(h.era()) })
	gauge("basilmill_configuration_version", "Version of the configuration in force.", func() float64 {
		if config := h.cache.View().Config; config != nil {
			return float64(config.Version)
		}
		return 0
	})
	started := time.Now()
	gauge("basilmill_uptime_seconds", "Time since the start.", func() float64 { return time.Since(started).Seconds() })
}

// proofAgeCollector collects the time since each group's primary was last proven.
type proofAgeCollector struct {
	groups *groups
	clock  func() time.Duration
}

var proofAgeDesc = prometheus.NewDesc("basilmill_primary_proof_age_seconds", "Time since this host last proved a group's primary to lead.", []string{"group"}, nil)

// Describe implements prometheus.Collector.
func (p *proofAgeCollector) Describe(descs chan<- *prometheus.Desc) { descs <- proofAgeDesc }

// Collect implements prometheus.Collector.
func (p *proofAgeCollector) Collect(metrics chan<- prometheus.Metric) {
	for id, monitor := range p.groups.all() {
		age := p.clock() - monitor.Snapshot().ProvenAt
		metrics <- prometheus.MustNewConstMetric(proofAgeDesc, prometheus.GaugeValue, age.Seconds(), string(id))
	}
}
