package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"basilmill/core/link"
	"basilmill/core/proxy"
)

// metrics are the host's metrics.
type metrics struct {
	registry      *prometheus.Registry
	statements    *prometheus.CounterVec
	durations     *prometheus.HistogramVec
	positionAges  *prometheus.HistogramVec
	waits         *prometheus.HistogramVec
	holds         *prometheus.HistogramVec
	retried       prometheus.Counter
	lostCallers   prometheus.Counter
	peerCalls     *prometheus.CounterVec
	storeCalls    *prometheus.CounterVec
	storeTimes    *prometheus.HistogramVec
	viewConfirmed *prometheus.GaugeVec
	changes       *prometheus.HistogramVec
	changeSteps   *prometheus.CounterVec
	detours       *prometheus.CounterVec
}

// Buckets in seconds.
var (
	// durationBuckets cover a read in the own data centre up to the longest
	// statement timeout of today's routes.
	durationBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .5, .8, 1.2, 2}
	// waitBuckets cover the waits for a connection, which end after a quarter of
	// the objective; today's are 0.3 to 1.2 s.
	waitBuckets = []float64{.001, .005, .02, .05, .075, .1, .15, .3}
	// holdBuckets cover a single statement up to a transaction with pauses.
	holdBuckets = []float64{.005, .02, .05, .1, .3, 1, 3, 10}
	// ageBuckets cover the ages that today's routes allow, up to 2.5 s.
	ageBuckets = []float64{.1, .2, .4, .8, 1.2, 1.6, 2.5}
	// storeBuckets cover an answer of the store up to the longest watch.
	storeBuckets = []float64{.005, .02, .05, .1, .5, 1, 2, 5, 10}
	// changeBuckets cover changes of primary; the target is 2 s.
	changeBuckets = []float64{.1, .25, .5, 1, 1.5, 2, 3, 5, 10}
)

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
		registry:      registry,
		statements:    counter("basilmill_statements_total", "Statements by class of route and outcome.", "class", "outcome"),
		durations:     histogram("basilmill_statement_duration_seconds", "Time from a statement's arrival to its answer.", durationBuckets, "class"),
		positionAges:  histogram("basilmill_position_age_seconds", "Age of the proof whose position an aged read was served at.", ageBuckets, "class"),
		waits:         histogram("basilmill_connection_wait_seconds", "Wait of a request for a connection.", waitBuckets, "result"),
		holds:         histogram("basilmill_connection_hold_seconds", "Time that a request has a connection.", holdBuckets, "use"),
		retried:       prometheus.NewCounter(prometheus.CounterOpts{Name: "basilmill_statement_retries_total", Help: "Attempts beyond the first."}),
		lostCallers:   prometheus.NewCounter(prometheus.CounterOpts{Name: "basilmill_callers_lost_total", Help: "Callers' connections that broke."}),
		peerCalls:     counter("basilmill_peer_questions_total", "Questions to other hosts for a proven position, by answer.", "answer"),
		storeCalls:    counter("basilmill_store_calls_total", "Calls of the platform's store by method and kind, and by status (0 without an answer).", "call", "status"),
		storeTimes:    histogram("basilmill_store_call_duration_seconds", "Time of a call of the platform's store; a watch waits for changes.", storeBuckets, "call"),
		changes:       histogram("basilmill_primary_change_duration_seconds", "Time of an attempt to change a primary.", changeBuckets, "cause", "result"),
		changeSteps:   counter("basilmill_primary_change_steps_total", "Steps of attempts to change a primary.", "step", "result"),
		detours:       counter("basilmill_detours_total", "Connections to backend servers opened through other hosts, by result.", "result"),
		viewConfirmed: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "basilmill_view_confirmed_timestamp_seconds", Help: "When the store last answered for a part of the view."}, []string{"part"}),
	}
	registry.MustRegister(m.retried, m.lostCallers, m.viewConfirmed)
	return m
}

// ObserveWait implements link.Observer.
func (m *metrics) ObserveWait(d time.Duration, granted bool) {
	label := "granted"
	if !granted {
		label = "given up"
	}
	m.waits.WithLabelValues(label).Observe(d.Seconds())
}

// ObserveHold implements link.Observer.
func (m *metrics) ObserveHold(d time.Duration, exclusive bool) {
	label := "shared"
	if exclusive {
		label = "exclusive"
	}
	m.holds.WithLabelValues(label).Observe(d.Seconds())
}

// observe counts one statement.
func (m *metrics) observe(r proxy.Result) {
	outcome := "done"
	if r.Answer.Failure != nil {
		outcome = r.Answer.Failure.Code.String()
	}
	class := r.Route.Class.String()
	m.statements.WithLabelValues(class, outcome).Inc()
	m.durations.WithLabelValues(class).Observe(r.Elapsed.Seconds())
	if r.PositionAge > 0 {
		m.positionAges.WithLabelValues(class).Observe(r.PositionAge.Seconds())
	}
	if r.Attempts > 1 {
		m.retried.Add(float64(r.Attempts - 1))
	}
}

// watch registers the gauges that are read from the host's state.
func (m *metrics) watch(h *Host) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	pooled := func(value func(link.Stats) float64) func() float64 {
		return func() float64 { return value(h.servers.Stats()) }
	}
	gauge("basilmill_callers", "Callers connected.", func() float64 { return float64(h.callers.count()) })
	gauge("basilmill_connections_open", "Connections to backend servers.", pooled(func(s link.Stats) float64 { return float64(s.Open) }))
	gauge("basilmill_connections_exclusive", "Connections held by a transaction or a write.", pooled(func(s link.Stats) float64 { return float64(s.Exclusive) }))
	gauge("basilmill_connections_shared", "Sessions with a statement on shared connections.", pooled(func(s link.Stats) float64 { return float64(s.Shared) }))
	gauge("basilmill_connections_window", "Statements on shared connections that the servers' answers allow.", pooled(func(s link.Stats) float64 { return float64(s.Window) }))
	m.registry.MustRegister(&proofAges{groups: h.groups, clock: h.platform.Clock})
	gauge("basilmill_relayed_connections", "Connections passed on for other hosts.", func() float64 { return float64(h.detours.relay.Open()) })
	gauge("basilmill_connection_waiters", "Requests that wait for a connection.", pooled(func(s link.Stats) float64 { return float64(s.Waiting) }))
	gauge("basilmill_connections_refused", "Openings that a server refused over its limit.", pooled(func(s link.Stats) float64 { return float64(s.Refused) }))
	gauge("basilmill_configuration_version", "Version of the configuration in force.", func() float64 {
		if config := h.book.View().Config; config != nil {
			return float64(config.Version)
		}
		return 0
	})
	started := time.Now()
	gauge("basilmill_uptime_seconds", "Time since the start.", func() float64 { return time.Since(started).Seconds() })
}

// proofAges collects the age of the last proof of each group's primary.
type proofAges struct {
	groups *groups
	clock  func() time.Duration
}

var proofAge = prometheus.NewDesc("basilmill_primary_proof_age_seconds", "Time since this host last proved a group's primary to lead.", []string{"group"}, nil)

// Describe implements prometheus.Collector.
func (p *proofAges) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- proofAge }

// Collect implements prometheus.Collector.
func (p *proofAges) Collect(collected chan<- prometheus.Metric) {
	for id, monitor := range p.groups.all() {
		age := p.clock() - monitor.Snapshot().Proven
		collected <- prometheus.MustNewConstMetric(proofAge, prometheus.GaugeValue, age.Seconds(), string(id))
	}
}
