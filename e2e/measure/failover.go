package measure

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"basilmill/core/settings"
	"basilmill/e2e/cluster"
	"basilmill/standin/backendserver"
	"basilmill/standin/pipenet"
)

// LossesPerCause is the number of losses of the primary that are measured for each
// cause. The report needs at least 30.
const LossesPerCause = 30

// leaseTTL and leaseRenewalInterval model a baseline with leases: a promotion waits
// until the old primary's lease has expired, counted from its last renewal.
const (
	leaseTTL             = 5 * time.Second
	leaseRenewalInterval = leaseTTL / 3
)

// largeProbeInterval is the probe interval of the deployment size that is expected
// in two years.
const largeProbeInterval = 1500 * time.Millisecond

// lossCause is a way in which a group loses its primary.
type lossCause struct {
	name   string
	inject func(s *virtualDeployment)
	// planned means that the primary still confirms writes until it is replaced.
	planned       bool
	probeInterval time.Duration
}

func killPrimary(s *virtualDeployment)      { s.Servers[0].Kill() }
func blackHolePrimary(s *virtualDeployment) { s.network.Isolate("a", pipenet.BlackHole) }
func isolatePrimaryFromReplicas(s *virtualDeployment) {
	s.network.SetLinkState("a", "b", pipenet.BlackHole)
	s.network.SetLinkState("a", "c", pipenet.BlackHole)
}

func markPrimaryLeaving(s *virtualDeployment) {
	s.Servers[0].SetFaults(backendserver.Faults{Leaving: true})
}

var lossCauses = []lossCause{
	{name: "killed", inject: killPrimary},
	{name: "black-holed from all", inject: blackHolePrimary},
	{name: "isolated from replicas only", inject: isolatePrimaryFromReplicas},
	{name: "planned change", inject: markPrimaryLeaving, planned: true},
	{name: "killed, probe interval 1.5 s", inject: killPrimary, probeInterval: largeProbeInterval},
	{name: "black-holed from all, probe interval 1.5 s", inject: blackHolePrimary, probeInterval: largeProbeInterval},
}

// lossResult is the result of one loss of the primary, as seen by a client that
// writes continuously.
type lossResult struct {
	// gap is the longest time between two acknowledgements from the loss on.
	gap             time.Duration
	notRun, unknown int
	recovered       bool
}

// Failover measures the failover gap for each deployment and cause.
func Failover(r *Report) func(t *testing.T) {
	return func(t *testing.T) {
		table := Table{
			Section: "1", Title: "Failover gap",
			Label: "deployment, cause",
			Notes: []string{
				"Virtual time. A writer commits single-row inserts one after the other through a random host; after an error it goes on after 1 ms, " +
					"on a new session if it lost its own. The gap is its longest time between two acknowledgements from the loss on. " +
					"9 hosts, a random phase of up to 2 s before each loss, probe interval 150 ms unless stated. Prayer service: data centres 20 ms apart (different regions), the harder case.",
				"Lease baseline (modelled): a promotion must wait until a lease of 5 s, renewed every 1.67 s, has run out; it counts the larger of the gap and that wait, " +
					"which favours the baseline because nothing is added for the promotion itself.",
				"Failed writes are those answered \"not run\" or \"outcome unknown\", over all losses of the row.",
			},
			Columns: append(append([]Column{{"losses", "", 0}}, summaryColumns("gap ")...),
				append(summaryColumns("lease baseline "), Column{"not run", "", 0}, Column{"unknown", "", 0}, Column{"not recovered", "", 0})...),
		}
		var curves []Curve
		for _, d := range Deployments() {
			for _, c := range lossCauses {
				gaps, row := failoverRow(t, d, c)
				table.Rows = append(table.Rows, row)
				if c.probeInterval == 0 {
					curves = append(curves, cumulativeDistribution(d.Name+", "+c.name, gaps))
				}
			}
		}
		table.Plot = r.plot(t, "failover", "Failover gap", "gap (ms)", "share of losses", curves)
		r.AddTable(table)
	}
}

func failoverRow(t *testing.T, d Deployment, c lossCause) (Sample, Row) {
	var gaps, leaseGaps Sample
	var notRun, unknown, notRecovered int
	for i, l := range measureLosses(t, d, c) {
		if !l.recovered {
			notRecovered++
			continue
		}
		gaps = append(gaps, l.gap)
		random := rand.New(rand.NewPCG(uint64(i), 2))
		leaseWait := leaseTTL - time.Duration(random.Int64N(int64(leaseRenewalInterval)))
		leaseGaps = append(leaseGaps, max(l.gap, leaseWait))
		notRun, unknown = notRun+l.notRun, unknown+l.unknown
	}
	if c.planned {
		leaseGaps = nil // the old primary releases its lease
	}
	values := append([]Value{Value(len(gaps) + notRecovered)}, gaps.summary()...)
	values = append(values, leaseGaps.summary()...)
	values = append(values, Value(notRun), Value(unknown), Value(notRecovered))
	return gaps, Row{Label: d.Name + ", " + c.name, Values: values}
}

// measureLosses measures all losses of one cause, several deployments in parallel.
func measureLosses(t *testing.T, d Deployment, c lossCause) []lossResult {
	out := make([]lossResult, LossesPerCause)
	t.Run(d.Name+"/"+c.name, func(t *testing.T) {
		for i := range out {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				out[i] = measureLoss(t, d, c, uint64(i))
			})
		}
	})
	return out
}

func measureLoss(t *testing.T, d Deployment, c lossCause, seed uint64) (l lossResult) {
	adjust := func(config *cluster.Config) {
		if c.probeInterval > 0 {
			config.Settings = func(s *settings.Settings) { s.ProbeInterval = c.probeInterval }
		}
	}
	d.runVirtual(t, adjust, func(s *virtualDeployment) {
		s.createTables(d.Databases[0])
		random := rand.New(rand.NewPCG(seed, 1))
		ctx, cancel := context.WithCancel(s.t.Context())
		w := &writer{deployment: s, host: s.Hosts[random.IntN(len(s.Hosts))]}
		var running sync.WaitGroup
		running.Go(func() { w.run(ctx) })
		time.Sleep(time.Second + time.Duration(random.Int64N(int64(2*time.Second))))
		firstAck := w.startRecording()
		c.inject(s)
		s.awaitPrimaryChange(recoveryTimeout)
		time.Sleep(time.Second)
		l = w.resultSince(firstAck)
		cancel()
		running.Wait()
		s.network.Isolate("a", pipenet.Up)
	})
	return l
}

// recoveryTimeout bounds the wait for a change of primary.
const recoveryTimeout = 15 * time.Second

// awaitPrimaryChange waits until the group's record has a new term, or until the
// timeout.
func (s *virtualDeployment) awaitPrimaryChange(timeout time.Duration) {
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(50 * time.Millisecond) {
		if record, err := s.Record(); err == nil && record.Term > 1 {
			return
		}
	}
}

// writer inserts rows one after the other in one session, and opens a new session
// if it is lost.
type writer struct {
	deployment *virtualDeployment
	host       *cluster.Host

	mu       sync.Mutex
	acks     []time.Time
	failures []error
}

// startRecording discards the failures so far and returns the number of
// acknowledgements so far, for resultSince.
func (w *writer) startRecording() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failures = nil
	return len(w.acks)
}

func (w *writer) resultSince(firstAck int) (l lossResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := max(firstAck, 1); i < len(w.acks); i++ {
		l.gap = max(l.gap, w.acks[i].Sub(w.acks[i-1]))
	}
	l.recovered = len(w.acks) > 0 && time.Since(w.acks[len(w.acks)-1]) < time.Second
	for _, err := range w.failures {
		if isUnknown(err) {
			l.unknown++
		} else {
			l.notRun++
		}
	}
	return l
}

// isUnknown reports whether a failed write may have run: its answer was "outcome
// unknown", or the session was lost without an answer.
func isUnknown(err error) bool {
	var failure *pgconn.PgError
	return !errors.As(err, &failure) || failure.Code == "08007"
}

func (w *writer) run(ctx context.Context) {
	var conn *pgx.Conn
	for i := 1; ctx.Err() == nil; i++ {
		if conn == nil || conn.IsClosed() {
			conn = w.deployment.mustConnect(w.host, w.deployment.spec.Databases[0])
		}
		_, err := conn.Exec(ctx, "INSERT INTO report VALUES ($1, $2)", i+1, i)
		if ctx.Err() != nil {
			break
		}
		w.recordAnswer(err)
		if err != nil {
			time.Sleep(time.Millisecond)
		}
	}
	closeConn(conn)
}

func (w *writer) recordAnswer(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failures = append(w.failures, err)
		return
	}
	w.acks = append(w.acks, time.Now())
}

// KillPrimary measures one loss of a primary that is killed.
func KillPrimary(t *testing.T, d Deployment, seed uint64) (gap time.Duration, recovered bool) {
	l := measureLoss(t, d, lossCause{inject: killPrimary}, seed)
	return l.gap, l.recovered
}
