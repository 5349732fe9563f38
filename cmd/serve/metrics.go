package serve

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"basilmill/core/account"
	"basilmill/core/budget"
	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/core/statement"
	"basilmill/io/caller"
)

// metrics holds a host's Prometheus metrics. Their names follow the
// Prometheus conventions.
type metrics struct {
	registry             *prometheus.Registry
	configurationVersion prometheus.Gauge
	probes               prometheus.Counter
	pings                prometheus.Counter
	suspicions           prometheus.Counter
	confirmationQueries  prometheus.Counter
	floorQueries         prometheus.Counter
	failoverGap          *prometheus.HistogramVec
	reads                *prometheus.CounterVec
	statements           *prometheus.CounterVec
	statementDuration    *prometheus.HistogramVec
	queueTime            *prometheus.HistogramVec
	sessions             *prometheus.GaugeVec
	connectionsLost      prometheus.Counter
	rerouted             prometheus.Counter
	clientsClosed        *prometheus.CounterVec
	retriesRefused       prometheus.Counter
	forwards             *prometheus.CounterVec
}

// Histogram buckets, in seconds. The buckets of the failover gap include the
// limits that it is compared with: 2 s for current deployments and 19 s for
// the size expected in two years. The buckets of durations start at a round
// trip over the loopback interface.
var (
	failoverGapBuckets = []float64{0.1, 0.2, 0.5, 1, 2, 5, 10, 19, 60}
	durationBuckets    = prometheus.ExponentialBuckets(0.0005, 2, 15)
)

// newMetrics registers all metrics with a registry of their own.
func newMetrics() *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	gauge := func(name, help string) prometheus.Gauge {
		return register(m.registry, prometheus.NewGauge(prometheus.GaugeOpts{Name: name, Help: help}))
	}
	counter := func(name, help string) prometheus.Counter {
		return register(m.registry, prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help}))
	}
	counters := func(name, help string, labels ...string) *prometheus.CounterVec {
		return register(m.registry, prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels))
	}
	histograms := func(name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
		return register(m.registry, prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: buckets}, labels))
	}
	m.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.configurationVersion = gauge("basilmill_configuration_version", "Version of the platform's objects in force on the host.")
	m.probes = counter("basilmill_control_probes_total", "Status queries sent for failure detection.")
	m.pings = counter("basilmill_control_pings_total", "Pings sent because a status query was late.")
	m.suspicions = counter("basilmill_control_suspicions_total", "Suspicions of a primary.")
	m.confirmationQueries = counter("basilmill_control_evidence_queries_total", "Status queries of successors for waiting writes.")
	m.floorQueries = counter("basilmill_control_floor_queries_total", "Shared floor queries.")
	m.failoverGap = histograms("basilmill_failover_gap_seconds", "Time without writes during a change of primary, as seen by its coordinator.", failoverGapBuckets, "group")
	m.reads = counters("basilmill_reads_total", "Reads by the role of the server that served them and whether their class allows a replica.", "role")
	m.statements = counters("basilmill_statements_total", "Statements by class and outcome.", "account", "class", "outcome")
	m.statementDuration = histograms("basilmill_statement_duration_seconds", "Duration of statements as seen by the host.", durationBuckets, "class")
	m.queueTime = histograms("basilmill_pool_queue_seconds", "Time that requests waited for a connection.", durationBuckets, "account")
	m.sessions = register(m.registry, prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "basilmill_sessions", Help: "Open sessions of callers."}, []string{"account"}))
	m.connectionsLost = counter("basilmill_backend_connections_lost_total", "Connections to backend servers lost in use, and failed openings.")
	m.rerouted = counter("basilmill_rerouted_total", "Requests routed again because they certainly had no effect.")
	m.clientsClosed = counters("basilmill_clients_closed_total", "Connections of clients that were closed, by limit.", "limit")
	m.retriesRefused = counter("basilmill_retries_refused_total", "Retries that an account's retry budget did not allow.")
	m.forwards = counters("basilmill_forwards_total", "Requests run through another coordinator.", "result")
	return m
}

func register[C prometheus.Collector](registry *prometheus.Registry, c C) C {
	registry.MustRegister(c)
	return c
}

func (m *metrics) observeFailoverGap(id group.ID, gap time.Duration) {
	m.failoverGap.WithLabelValues(string(id)).Observe(gap.Seconds())
}

func (m *metrics) observeQueueTime(id account.ID, wait time.Duration) {
	m.queueTime.WithLabelValues(string(id)).Observe(wait.Seconds())
}

// observeEvent updates the metrics for an event of a session.
func (m *metrics) observeEvent(event caller.Event) {
	switch e := event.(type) {
	case caller.SessionStarted:
		m.sessions.WithLabelValues(string(e.Account)).Inc()
	case caller.SessionEnded:
		m.sessions.WithLabelValues(string(e.Account)).Dec()
	case caller.StatementDone:
		m.observeStatement(e)
	case caller.ConnectionLost:
		m.connectionsLost.Inc()
	case caller.Rerouted:
		m.rerouted.Inc()
	case caller.StartingClosed:
		m.clientsClosed.WithLabelValues(budget.Places).Inc()
	}
}

func (m *metrics) observeStatement(e caller.StatementDone) {
	m.statements.WithLabelValues(string(e.Account), e.Class.String(), outcomeLabel(e.Outcome)).Inc()
	m.statementDuration.WithLabelValues(e.Class.String()).Observe(e.Duration.Seconds())
	if e.Class == statement.Read && e.Served && e.Outcome == outcome.Done {
		m.reads.WithLabelValues(e.ServedBy.String()).Inc()
	}
}

func outcomeLabel(o outcome.Outcome) string {
	switch o {
	case outcome.Done:
		return "done"
	case outcome.NotRun:
		return "not_run"
	default:
		return "unknown"
	}
}
