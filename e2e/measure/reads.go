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

// Parameters of the load of the read mixes.
const (
	readDuration = time.Minute
	sessionCount = 18
	thinkTime    = 100 * time.Millisecond
)

// replicaState is a state of the replicas under which reads are measured.
type replicaState struct {
	name   string
	faults backendserver.Faults
}

func replicaStates() []replicaState {
	delay := func(d time.Duration) backendserver.Faults { return backendserver.Faults{ReplicationDelay: d} }
	return []replicaState{
		{"replication delay 50 ms", delay(50 * time.Millisecond)},
		{"replication delay 500 ms", delay(500 * time.Millisecond)},
		{"replication delay 2 s", delay(2 * time.Second)},
		{"one replica stalled", backendserver.Faults{ReplicationStalled: true, ReplicationTo: []group.ServerID{"c"}}},
	}
}

// Reads measures the share of reads that are served by replicas.
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
				for _, state := range replicaStates() {
					t.Run("", func(t *testing.T) {
						t.Parallel()
						row := readRow(t, d, state)
						mu.Lock()
						defer mu.Unlock()
						rows[row.Label] = row
					})
				}
			}
		})
		for _, d := range Deployments() {
			for _, state := range replicaStates() {
				table.Rows = append(table.Rows, rows[d.Name+", "+state.name])
			}
		}
		r.AddTable(table)
	}
}

// readWorkload is the shared state of the sessions that produce one row.
type readWorkload struct {
	deployment *virtualDeployment

	mu sync.Mutex
	// acknowledgedAt[i] is the time at which the value i was acknowledged.
	acknowledgedAt              []time.Time
	boundedAge, current, writes Sample
	violations, failed          int
}

func readRow(t *testing.T, d Deployment, state replicaState) (row Row) {
	d.runVirtual(t, nil, func(s *virtualDeployment) {
		s.createTables(d.Databases[0])
		s.Servers[0].SetFaults(state.faults)
		m := &readWorkload{deployment: s, acknowledgedAt: []time.Time{time.Now()}}
		ctx, cancel := context.WithTimeout(s.t.Context(), readDuration)
		defer cancel()
		var running sync.WaitGroup
		for i := range sessionCount {
			conn := s.mustConnect(s.Hosts[hostIndex(i, d)], d.Databases[0])
			random := rand.New(rand.NewPCG(uint64(i), 3))
			running.Go(func() { m.runSession(ctx, conn, i, random) })
		}
		running.Wait()
		primary, replica := s.servedReads(s.Hosts[:6])
		currentPrimary, currentReplica := s.servedReads(s.Hosts[6:])
		row = Row{Label: d.Name + ", " + state.name, Values: []Value{
			Value(len(m.boundedAge)), 100 * ratio(replica, primary+replica),
			Value(len(m.current)), 100 * ratio(currentReplica, currentPrimary+currentReplica),
			100 * ratio(replica+currentReplica, primary+replica+currentPrimary+currentReplica),
			Value(m.violations), Value(len(m.writes)), Value(m.failed),
			milliseconds(m.boundedAge.Quantile(0.5)), milliseconds(m.current.Quantile(0.5)), milliseconds(m.writes.Quantile(0.5)),
		}}
		s.Servers[0].SetFaults(backendserver.Faults{})
	})
	return row
}

// boundedAgeSessions returns the number of sessions that send reads with a maximum
// age, such that all sessions together follow the mix.
func (d Deployment) boundedAgeSessions() int {
	return min(sessionCount-3, int((1-d.CurrentShare-d.WriteShare)*sessionCount+0.5))
}

func hostIndex(i int, d Deployment) int {
	if i < d.boundedAgeSessions() {
		return i % 6
	}
	return 6 + i%3
}

// runSession sends only reads with a maximum age, or current reads and writes in
// their proportion.
func (m *readWorkload) runSession(ctx context.Context, conn *pgx.Conn, i int, random *rand.Rand) {
	defer closeConn(conn)
	d := m.deployment.spec
	boundedAge := i < d.boundedAgeSessions()
	pause := thinkTime
	if !boundedAge {
		// The rate of current reads and writes follows from the rate of the
		// reads with a maximum age and the mix.
		n := float64(sessionCount - d.boundedAgeSessions())
		rate := float64(d.boundedAgeSessions()) / (1 - d.CurrentShare - d.WriteShare) * (d.CurrentShare + d.WriteShare) / n
		pause = time.Duration(float64(thinkTime) / rate)
	}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(float64(pause) * (0.5 + random.Float64())))
		switch {
		case boundedAge:
			m.read(ctx, conn, "SELECT n FROM entry WHERE id = 1", d.MaxAge)
		case random.Float64() < d.WriteShare/(d.CurrentShare+d.WriteShare):
			m.write(ctx, conn)
		default:
			m.read(ctx, conn, "SELECT n FROM report WHERE id = 1", 0)
		}
	}
}

// write increments the value in both tables in one transaction.
func (m *readWorkload) write(ctx context.Context, conn *pgx.Conn) {
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
	m.writes = append(m.writes, time.Since(began))
	for len(m.acknowledgedAt) <= n {
		// The answers of two writes may arrive in reverse order. A value includes
		// all earlier ones, so that its answer acknowledges them too.
		m.acknowledgedAt = append(m.acknowledgedAt, time.Now())
	}
}

// read checks that the value is not older than the age allows. An age of zero means
// a current read.
func (m *readWorkload) read(ctx context.Context, conn *pgx.Conn, sql string, age time.Duration) {
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
	visibleBefore := began
	if age > 0 {
		visibleBefore = time.Now().Add(-age)
		m.boundedAge = append(m.boundedAge, time.Since(began))
	} else {
		m.current = append(m.current, time.Since(began))
	}
	if n+1 < len(m.acknowledgedAt) && m.acknowledgedAt[n+1].Before(visibleBefore) {
		m.violations++
	}
}

// servedReads returns the numbers of reads that primaries and replicas have served
// for the hosts.
func (s *virtualDeployment) servedReads(hosts []*cluster.Host) (primary, replica float64) {
	for _, h := range hosts {
		p, q, err := s.servedReadsOf(h)
		if err != nil {
			s.t.Error(err)
		}
		primary, replica = primary+p, replica+q
	}
	return primary, replica
}

func (s *virtualDeployment) servedReadsOf(h *cluster.Host) (primary, replica float64, err error) {
	s.clientCount++
	transport := &http.Transport{DialContext: s.network.ClientDialer(cluster.ClientName(s.clientCount), h.DataCentre), DisableKeepAlives: true}
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
