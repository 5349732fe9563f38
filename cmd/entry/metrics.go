package entry

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"basilmill/core/link"
	"basilmill/core/proxy"
)

// metrics are the host's metrics.
type metrics struct {
	registry    *prometheus.Registry
	statements  *prometheus.CounterVec
	durations   *prometheus.HistogramVec
	retried     prometheus.Counter
	lostCallers prometheus.Counter
	peerCalls   *prometheus.CounterVec
	storeCalls  *prometheus.CounterVec
	detours     *prometheus.CounterVec
}

// durationBuckets cover a read in the own data centre up to the longest
// statement timeout of today's routes, in seconds.
var durationBuckets = []float64{.005, .01, .025, .05, .1, .2, .3, .5, .8, 1.2, 2}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(),
		statements: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilmill_statements_total", Help: "Statements by class of route and outcome.",
		}, []string{"class", "outcome"}),
		durations: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "basilmill_statement_duration_seconds", Help: "Time from a statement's arrival to its answer.", Buckets: durationBuckets,
		}, []string{"class"}),
		retried:     prometheus.NewCounter(prometheus.CounterOpts{Name: "basilmill_statement_retries_total", Help: "Attempts beyond the first."}),
		lostCallers: prometheus.NewCounter(prometheus.CounterOpts{Name: "basilmill_callers_lost_total", Help: "Callers' connections that broke."}),
		peerCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilmill_peer_questions_total", Help: "Questions to other hosts for a proven position, by answer.",
		}, []string{"answer"}),
		storeCalls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "basilmill_store_calls_total", Help: "Calls of the platform's store by method and kind, and by status (0 without an answer).",
		}, []string{"call", "status"}),
	}
	m.detours = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilmill_detours_total", Help: "Connections to backend servers opened through other hosts, by result.",
	}, []string{"result"})
	m.registry.MustRegister(m.detours, m.statements, m.durations, m.retried, m.lostCallers, m.peerCalls, m.storeCalls)
	return m
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
