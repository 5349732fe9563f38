package entry

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"basilmill/core/account"
	"basilmill/core/link"
)

const (
	// maxAccountLabels bounds the accounts that have time series of their own, to three
	// times those of the largest deployment.
	maxAccountLabels = 256
	// otherAccounts is the label of the accounts beyond maxAccountLabels.
	otherAccounts = "other"
)

// accountMetrics holds the metrics with a client account as a label, for a bounded number of
// accounts.
type accountMetrics struct {
	// statements counts the statements of each account by outcome, opened and givenUp its
	// connections.
	statements, opened, givenUp *prometheus.CounterVec
	waits                       *prometheus.SummaryVec
	// counters are all counters with the label.
	counters []*prometheus.CounterVec

	mu     sync.Mutex
	labels map[account.ID]bool
}

// label returns the label value of an account, which it gets while there are fewer than
// maxAccountLabels.
func (a *accountMetrics) label(id account.ID) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.labels[id]:
	case len(a.labels) < maxAccountLabels:
		a.labels[id] = true
	default:
		return otherAccounts
	}
	return string(id)
}

// observe counts a statement of an account.
func (a *accountMetrics) observe(id account.ID, outcome string) {
	if id != "" {
		a.statements.WithLabelValues(a.label(id), outcome).Inc()
	}
}

// count adds one to a counter of an account.
func (a *accountMetrics) count(counter *prometheus.CounterVec, id account.ID) {
	if id != "" {
		counter.WithLabelValues(a.label(id)).Inc()
	}
}

// observeWait records the wait of a request of an account for a connection.
func (a *accountMetrics) observeWait(id account.ID, d time.Duration) {
	if id != "" {
		a.waits.WithLabelValues(a.label(id)).Observe(d.Seconds())
	}
}

// drop removes the time series of an account that was removed.
func (a *accountMetrics) drop(id account.ID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.labels[id] {
		return
	}
	delete(a.labels, id)
	labels := prometheus.Labels{"account": string(id)}
	for _, counter := range a.counters {
		counter.DeletePartialMatch(labels)
	}
	a.waits.DeletePartialMatch(labels)
}

// heldCollector collects the connections that this host holds for each account.
type heldCollector struct {
	servers  *link.Registry
	accounts *accountMetrics
}

var heldDesc = prometheus.NewDesc("basilmill_account_connections", "Connections to backend servers that this host holds for a client account.", []string{"account"}, nil)

// Describe implements prometheus.Collector.
func (heldCollector) Describe(descs chan<- *prometheus.Desc) { descs <- heldDesc }

// Collect implements prometheus.Collector.
func (c heldCollector) Collect(metrics chan<- prometheus.Metric) {
	byLabel := map[string]int{}
	held := c.servers.Held()
	c.accounts.mu.Lock()
	for id, n := range held {
		// An account without a label has been removed, or there are too many.
		label := otherAccounts
		if c.accounts.labels[id] {
			label = string(id)
		}
		byLabel[label] += n
	}
	c.accounts.mu.Unlock()
	for label, n := range byLabel {
		metrics <- prometheus.MustNewConstMetric(heldDesc, prometheus.GaugeValue, float64(n), label)
	}
}
