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

// LossesPerCause is the number of losses for each cause; at least 30 are wanted.
const LossesPerCause = 30

// leaseDuration and leaseRenewal model the baseline with leases: a promotion
// waits until the old primary's lease has run out, counted from its last
// renewal.
const (
	leaseDuration = 5 * time.Second
	leaseRenewal  = leaseDuration / 3
)

// largeProbeInterval is the probe interval of the two-year size.
const largeProbeInterval = 1500 * time.Millisecond

// cause is a way to lose a primary.
type cause struct {
	name string
	lose func(s *site)
	// planned means that the primary still confirms writes meanwhile.
	planned       bool
	probeInterval time.Duration
}

func killed(s *site)    { s.Servers[0].Kill() }
func blackHole(s *site) { s.network.Isolate("a", pipenet.BlackHole) }
func isolated(s *site) {
	s.network.SetLinkState("a", "b", pipenet.BlackHole)
	s.network.SetLinkState("a", "c", pipenet.BlackHole)
}
func leaving(s *site) { s.Servers[0].SetFaults(backendserver.Faults{Leaving: true}) }

var causes = []cause{
	{name: "killed", lose: killed},
	{name: "black-holed from all", lose: blackHole},
	{name: "isolated from replicas only", lose: isolated},
	{name: "planned change", lose: leaving, planned: true},
	{name: "killed, probe interval 1.5 s", lose: killed, probeInterval: largeProbeInterval},
	{name: "black-holed from all, probe interval 1.5 s", lose: blackHole, probeInterval: largeProbeInterval},
}

// loss is what a writer saw of one loss.
type loss struct {
	// gap is the longest time between two acknowledgements.
	gap             time.Duration
	notRun, unknown int
	recovered       bool
}

// Failover measures the failover gap.
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
			for _, c := range causes {
				gaps, row := failoverRow(t, d, c)
				table.Rows = append(table.Rows, row)
				if c.probeInterval == 0 {
					curves = append(curves, distribution(d.Name+", "+c.name, gaps))
				}
			}
		}
		table.Plot = r.plot(t, "failover", "Failover gap", "gap (ms)", "share of losses", curves)
		r.AddTable(table)
	}
}

func failoverRow(t *testing.T, d Deployment, c cause) (Sample, Row) {
	var gaps, leases Sample
	var notRun, unknown, lost int
	for i, l := range losses(t, d, c) {
		if !l.recovered {
			lost++
			continue
		}
		gaps = append(gaps, l.gap)
		random := rand.New(rand.NewPCG(uint64(i), 2))
		held := leaseDuration - time.Duration(random.Int64N(int64(leaseRenewal)))
		leases = append(leases, max(l.gap, held))
		notRun, unknown = notRun+l.notRun, unknown+l.unknown
	}
	if c.planned {
		leases = nil // the old primary gives its lease back
	}
	values := append([]Value{Value(len(gaps) + lost)}, gaps.summary()...)
	values = append(values, leases.summary()...)
	values = append(values, Value(notRun), Value(unknown), Value(lost))
	return gaps, Row{Label: d.Name + ", " + c.name, Values: values}
}

// losses measures all losses of a cause, several deployments at a time.
func losses(t *testing.T, d Deployment, c cause) []loss {
	out := make([]loss, LossesPerCause)
	t.Run(d.Name+"/"+c.name, func(t *testing.T) {
		for i := range out {
			t.Run("", func(t *testing.T) {
				t.Parallel()
				out[i] = oneLoss(t, d, c, uint64(i))
			})
		}
	})
	return out
}

func oneLoss(t *testing.T, d Deployment, c cause, seed uint64) (l loss) {
	adjust := func(config *cluster.Config) {
		if c.probeInterval > 0 {
			config.Settings = func(s *settings.Settings) { s.ProbeInterval = c.probeInterval }
		}
	}
	d.virtual(t, adjust, func(s *site) {
		s.prepare(d.Databases[0])
		random := rand.New(rand.NewPCG(seed, 1))
		ctx, cancel := context.WithCancel(s.t.Context())
		w := &writer{site: s, host: s.Hosts[random.IntN(len(s.Hosts))]}
		var running sync.WaitGroup
		running.Go(func() { w.run(ctx) })
		time.Sleep(time.Second + time.Duration(random.Int64N(int64(2*time.Second))))
		at := w.mark()
		c.lose(s)
		s.awaitChange(recoveryTimeout)
		time.Sleep(time.Second)
		l = w.since(at)
		cancel()
		running.Wait()
		s.network.Isolate("a", pipenet.Up)
	})
	return l
}

// recoveryTimeout bounds the wait for a change of primary.
const recoveryTimeout = 15 * time.Second

// awaitChange waits until the record names the primary of a new term.
func (s *site) awaitChange(timeout time.Duration) {
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(50 * time.Millisecond) {
		if record, err := s.Record(); err == nil && record.Term > 1 {
			return
		}
	}
}

// writer writes continuously in one session.
type writer struct {
	site *site
	host *cluster.Host

	mu     sync.Mutex
	acks   []time.Time
	failed []error
}

// mark returns the number of acknowledgements so far and forgets failures.
func (w *writer) mark() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.failed = nil
	return len(w.acks)
}

func (w *writer) since(mark int) (l loss) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := max(mark, 1); i < len(w.acks); i++ {
		l.gap = max(l.gap, w.acks[i].Sub(w.acks[i-1]))
	}
	l.recovered = len(w.acks) > 0 && time.Since(w.acks[len(w.acks)-1]) < time.Second
	for _, err := range w.failed {
		if isUnknown(err) {
			l.unknown++
		} else {
			l.notRun++
		}
	}
	return l
}

// isUnknown reports whether a write may have run: it was answered "outcome
// unknown", or the session was lost.
func isUnknown(err error) bool {
	var failure *pgconn.PgError
	return !errors.As(err, &failure) || failure.Code == "08007"
}

func (w *writer) run(ctx context.Context) {
	var conn *pgx.Conn
	for i := 1; ctx.Err() == nil; i++ {
		if conn == nil || conn.IsClosed() {
			conn = w.site.must(w.host, w.site.d.Databases[0])
		}
		_, err := conn.Exec(ctx, "INSERT INTO report VALUES ($1, $2)", i+1, i)
		if ctx.Err() != nil {
			break
		}
		w.note(err)
		if err != nil {
			time.Sleep(time.Millisecond)
		}
	}
	closeConn(conn)
}

func (w *writer) note(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failed = append(w.failed, err)
		return
	}
	w.acks = append(w.acks, time.Now())
}

// KillPrimary measures one loss of a primary that is killed.
func KillPrimary(t *testing.T, d Deployment, seed uint64) (gap time.Duration, recovered bool) {
	l := oneLoss(t, d, cause{lose: killed}, seed)
	return l.gap, l.recovered
}
