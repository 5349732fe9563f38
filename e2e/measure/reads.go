package measure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"basilmill/core/group"
	"basilmill/e2e/cluster"
	"basilmill/standin/backendserver"
)

// Load of the read mixes.
const (
	readTime  = time.Minute
	sessions  = 18
	thinkTime = 100 * time.Millisecond
)

// lag is a state of the replicas.
type lag struct {
	name   string
	faults backendserver.Faults
}

func lags() []lag {
	delay := func(d time.Duration) backendserver.Faults { return backendserver.Faults{ReplicationDelay: d} }
	return []lag{
		{"replication delay 50 ms", delay(50 * time.Millisecond)},
		{"replication delay 500 ms", delay(500 * time.Millisecond)},
		{"replication delay 2 s", delay(2 * time.Second)},
		{"one replica stalled", backendserver.Faults{ReplicationStalled: true, ReplicationTo: []group.ServerID{"c"}}},
	}
}

// Reads measures the share of reads that replicas serve.
func Reads(r *Report) func(t *testing.T) {
	return func(t *testing.T) {
		table := Table{
			Section: "2", Title: "Share of reads served by replicas", Label: "deployment, replicas",
			Notes: []string{
				"Virtual time, one minute for each row, 18 sessions that pause 100 ms between statements, 9 hosts. " +
					"Mixes: Vandermeersch 70% name search with a stated age of 10 s, 20% current reads, 10% orders and corrections; " +
					"prayer service 95% schedule reads with a stated age of 30 s, 3% current reads, 2% writes. " +
					"Stated-age readers use hosts 1 to 6, current readers and writers hosts 7 to 9, so that the hosts' counters separate the classes.",
				"A violation is a stated-age read that lacks a write acknowledged longer than the age before the answer arrived, or a current read that lacks a write acknowledged before it was sent. " +
					"The baseline with primary-only reads serves 0% on replicas and sends every read to the primary.",
				"With a replication delay of 2 s the write medians show that the hosts replaced the primary (inferred; the record was not checked), because its writes stalled. The delay is set on the first primary only, " +
					"so that most of those two rows shows the new primary without delay: they do not measure reads under a lasting lag of 2 s.",
			},
			Columns: []Column{
				{"stated-age reads", "", 0},
				{"on replicas", "%", 1},
				{"current reads", "", 0},
				{"current on replicas", "%", 1},
				{"all reads on replicas", "%", 1},
				{"violations", "", 0},
				{"writes", "", 0},
				{"failed", "", 0},
				{"stated-age median", "ms", 1},
				{"current median", "ms", 1},
				{"write median", "ms", 1},
			},
		}
		var mu sync.Mutex
		rows := make(map[string]Row)
		t.Run("", func(t *testing.T) {
			for _, d := range Deployments() {
				for _, l := range lags() {
					t.Run("", func(t *testing.T) {
						t.Parallel()
						row := readRow(t, d, l)
						mu.Lock()
						defer mu.Unlock()
						rows[row.Label] = row
					})
				}
			}
		})
		for _, d := range Deployments() {
			for _, l := range lags() {
				table.Rows = append(table.Rows, rows[d.Name+", "+l.name])
			}
		}
		r.AddTable(table)
	}
}

// mix is the state of the sessions of one row.
type mix struct {
	site *site

	mu sync.Mutex
	// acked holds the time at which the value i was acknowledged.
	acked                  []time.Time
	aged, current, written Sample
	violations, failed     int
}

func readRow(t *testing.T, d Deployment, l lag) (row Row) {
	d.virtual(t, nil, func(s *site) {
		s.prepare(d.Databases[0])
		s.Servers[0].SetFaults(l.faults)
		m := &mix{site: s, acked: []time.Time{time.Now()}}
		ctx, cancel := context.WithTimeout(s.t.Context(), readTime)
		defer cancel()
		var running sync.WaitGroup
		for i := range sessions {
			conn := s.must(s.Hosts[hostOf(i, d)], d.Databases[0])
			random := rand.New(rand.NewPCG(uint64(i), 3))
			running.Go(func() { m.session(ctx, conn, i, random) })
		}
		running.Wait()
		primary, replica := s.reads(s.Hosts[:6])
		currentPrimary, currentReplica := s.reads(s.Hosts[6:])
		row = Row{Label: d.Name + ", " + l.name, Values: []Value{
			Value(len(m.aged)), 100 * ratio(replica, primary+replica),
			Value(len(m.current)), 100 * ratio(currentReplica, currentPrimary+currentReplica),
			100 * ratio(replica+currentReplica, primary+replica+currentPrimary+currentReplica),
			Value(m.violations), Value(len(m.written)), Value(m.failed),
			milliseconds(m.aged.Quantile(0.5)), milliseconds(m.current.Quantile(0.5)), milliseconds(m.written.Quantile(0.5)),
		}}
		s.Servers[0].SetFaults(backendserver.Faults{})
	})
	return row
}

// agedSessions is the number of sessions with stated-age reads, so that all
// sessions together follow the mix.
func (d Deployment) agedSessions() int {
	return min(sessions-3, int((1-d.CurrentShare-d.WriteShare)*sessions+0.5))
}

func hostOf(i int, d Deployment) int {
	if i < d.agedSessions() {
		return i % 6
	}
	return 6 + i%3
}

// session runs stated-age reads, or current reads and writes in their
// proportion. One session writes.
func (m *mix) session(ctx context.Context, conn *pgx.Conn, i int, random *rand.Rand) {
	defer closeConn(conn)
	d := m.site.d
	aged := i < d.agedSessions()
	pause := thinkTime
	if !aged {
		// The remaining sessions make their part of the mix at the rate that
		// follows from the stated-age reads.
		n := float64(sessions - d.agedSessions())
		rate := float64(d.agedSessions()) / (1 - d.CurrentShare - d.WriteShare) * (d.CurrentShare + d.WriteShare) / n
		pause = time.Duration(float64(thinkTime) / rate)
	}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(float64(pause) * (0.5 + random.Float64())))
		switch {
		case aged:
			m.read(ctx, conn, "SELECT n FROM entry WHERE id = 1", d.MaxAge)
		case random.Float64() < d.WriteShare/(d.CurrentShare+d.WriteShare):
			m.write(ctx, conn)
		default:
			m.read(ctx, conn, "SELECT n FROM report WHERE id = 1", 0)
		}
	}
}

// write raises the value of both tables in one transaction.
func (m *mix) write(ctx context.Context, conn *pgx.Conn) {
	began := time.Now()
	var n int
	err := pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
		if err := tx.QueryRow(ctx, "UPDATE report SET n = n + 1 WHERE id = 1 RETURNING n").Scan(&n); err != nil {
			return err
		}
		_, err := tx.Exec(ctx, "UPDATE entry SET n = n + 1 WHERE id = 1")
		return err
	})
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.failed++
		return
	}
	m.written = append(m.written, time.Since(began))
	for len(m.acked) <= n {
		// A value that overtook the one before proves both.
		m.acked = append(m.acked, time.Now())
	}
}

// read checks that the value is not older than the age allows. Age zero
// means a current read.
func (m *mix) read(ctx context.Context, conn *pgx.Conn, sql string, age time.Duration) {
	began := time.Now()
	var n int
	err := conn.QueryRow(ctx, sql).Scan(&n)
	if ctx.Err() != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if err != nil {
		m.failed++
		return
	}
	limit := began
	if age > 0 {
		limit = time.Now().Add(-age)
		m.aged = append(m.aged, time.Since(began))
	} else {
		m.current = append(m.current, time.Since(began))
	}
	if n+1 < len(m.acked) && m.acked[n+1].Before(limit) {
		m.violations++
	}
}

// reads returns the reads that hosts had served by primaries and by replicas.
func (s *site) reads(hosts []*cluster.Host) (primary, replica float64) {
	for _, h := range hosts {
		p, q, err := s.readsOf(h)
		if err != nil {
			s.t.Error(err)
		}
		primary, replica = primary+p, replica+q
	}
	return primary, replica
}

func (s *site) readsOf(h *cluster.Host) (primary, replica float64, err error) {
	s.clients++
	transport := &http.Transport{DialContext: s.network.ClientDialer(cluster.ClientName(s.clients), h.DataCentre), DisableKeepAlives: true}
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, fmt.Sprintf("http://%s/metrics", h.OperatorAddress()), nil)
	if err != nil {
		return 0, 0, err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return 0, 0, err
	}
	for _, metric := range families["basilmill_reads_total"].GetMetric() {
		switch metric.GetLabel()[0].GetValue() {
		case group.Replica.String():
			replica += metric.GetCounter().GetValue()
		default:
			primary += metric.GetCounter().GetValue()
		}
	}
	return primary, replica, nil
}
