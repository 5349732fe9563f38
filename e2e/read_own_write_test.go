package e2e_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilmill/e2e/cluster"
)

// callTimeout bounds one statement of a caller. It exceeds the sum of the account's
// queue timeout and confirmation timeout of 5 s each.
const callTimeout = 12 * time.Second

// pooledCaller is a client with an open connection to every entry host, like a driver
// with a connection pool. It writes and reads one row of its own.
type pooledCaller struct {
	network *cluster.VirtualNetwork
	number  int
	hosts   []*cluster.Host
	conns   []*pgx.Conn
	// presentsToken means that the caller sets token, which it got with its last
	// write, on the connection of each read.
	presentsToken bool
	token         string

	// acknowledged is the last value whose write succeeded, attempted the last value
	// that was sent.
	acknowledged, attempted                    int
	successfulReads, failedReads, failedWrites int
}

func newPooledCaller(v *cluster.VirtualNetwork, number int, hosts []*cluster.Host) *pooledCaller {
	return &pooledCaller{network: v, number: number, hosts: hosts, conns: make([]*pgx.Conn, len(hosts))}
}

// conn returns the connection to a host, and opens it if there is none.
func (p *pooledCaller) conn(ctx context.Context, i int) (conn *pgx.Conn, err error) {
	if c := p.conns[i]; c != nil && !c.IsClosed() {
		return c, nil
	}
	conf, err := pgx.ParseConfig(fmt.Sprintf("postgres://vandermeersch:%s@%s/orders?sslmode=disable", password, p.hosts[i].CallerAddress()))
	if err != nil {
		return nil, err
	}
	conf.DialFunc = p.network.ClientDialer(cluster.ClientName(p.number), p.hosts[i].DataCentre)
	p.conns[i], err = pgx.ConnectConfig(ctx, conf)
	return p.conns[i], err
}

func (p *pooledCaller) open(ctx context.Context) error {
	for i := range p.hosts {
		if _, err := p.conn(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (p *pooledCaller) close() {
	for _, c := range p.conns {
		if c != nil {
			_ = c.Close(context.Background())
		}
	}
}

// write sends the caller's next value through a host.
func (p *pooledCaller) write(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := p.conn(ctx, i)
	if err != nil {
		return err
	}
	p.attempted++
	if _, err := conn.Exec(ctx, "UPDATE report SET pages = $1 WHERE id = $2", p.attempted, p.number); err != nil {
		p.failedWrites++
		return err
	}
	p.acknowledged = p.attempted
	p.token = conn.PgConn().ParameterStatus("basilmill.token")
	return nil
}

// staleReadError reports a read that missed an acknowledged write of its own caller.
type staleReadError struct {
	caller, host, got, want int
	at                      time.Time
}

func (e *staleReadError) Error() string {
	return fmt.Sprintf("%s: caller %d read %d through host %d after its write of %d was acknowledged", e.at.Format("05.000"), e.caller, e.got, e.host+1, e.want)
}

// read reads the caller's row through a host and checks that it includes the caller's
// last acknowledged write.
func (p *pooledCaller) read(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := p.conn(ctx, i)
	if err != nil {
		return err
	}
	if p.presentsToken && p.token != "" {
		if _, err := conn.Exec(ctx, "SET basilmill.token = '"+p.token+"'"); err != nil {
			return err
		}
	}
	var got int
	if err := conn.QueryRow(ctx, "SELECT pages FROM report WHERE id = $1", p.number).Scan(&got); err != nil {
		p.failedReads++
		return err
	}
	p.successfulReads++
	if got < p.acknowledged {
		return &staleReadError{caller: p.number, host: i, got: got, want: p.acknowledged, at: time.Now()}
	}
	return nil
}

// writeAndRead writes through a random host and immediately reads through another, until
// the given time. It returns an error for a stale read, but not for a failed statement.
func (p *pooledCaller) writeAndRead(ctx context.Context, until time.Time, random *rand.Rand, maxPause time.Duration) error {
	for time.Now().Before(until) {
		if random.IntN(3) > 0 {
			_ = p.write(ctx, random.IntN(len(p.hosts)))
		}
		var stale *staleReadError
		if err := p.read(ctx, random.IntN(len(p.hosts))); errors.As(err, &stale) {
			return err
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxPause))))
	}
	return nil
}

// scenario runs callers during a schedule of faults and heals the faults. Then every
// caller must be able to write and read through each live host.
type scenario struct {
	config   cluster.Config
	schedule string
	seed     uint64
	duration time.Duration
	callers  int
	// check, if set, runs at the end.
	check func(c *cluster.Cluster, callers []*pooledCaller) error
	// noPrimary means that the group has lost primary and successor, so that writes
	// are refused until one of them returns.
	noPrimary bool
}

func (s scenario) run(t *testing.T) (err error) {
	synctest.Test(t, func(t *testing.T) {
		v := cluster.NewVirtualNetwork(cluster.Latencies(4*time.Millisecond, 3*time.Millisecond))
		s.config.Network = v
		var c *cluster.Cluster
		if c, err = cluster.Start(t.Context(), s.config); err == nil {
			if err = c.Ready(t.Context()); err == nil {
				err = s.runOn(t.Context(), c, v, t.Logf)
			}
			c.Close()
		}
		v.Close()
		synctest.Wait()
	})
	return err
}

func (s scenario) runOn(ctx context.Context, c *cluster.Cluster, v *cluster.VirtualNetwork, logf func(string, ...any)) error {
	callers, err := s.prepare(ctx, c, v)
	if err != nil {
		return err
	}
	var running sync.WaitGroup
	results := make(chan error, len(callers)+1)
	until := time.Now().Add(s.duration)
	for i, p := range callers {
		running.Go(func() {
			results <- p.writeAndRead(ctx, until, rand.New(rand.NewPCG(s.seed, uint64(i))), 100*time.Millisecond)
		})
	}
	injector := newFaultInjector(c, v)
	running.Go(func() { results <- injector.run(s.schedule) })
	running.Wait()
	close(results)
	for err := range results {
		if err != nil {
			return err
		}
	}
	injector.heal()
	time.Sleep(10 * time.Second)
	if record, err := c.Record(); err == nil {
		logf("record: term %d, generation %d, primary %s, successor %s", record.Term, record.Generation, record.Primary, record.Successor)
	}
	for _, server := range c.Servers {
		logf("server: %+v", server.Status())
	}
	for _, p := range callers {
		logf("caller %d: %d reads, %d refused, %d writes, %d failed", p.number, p.successfulReads, p.failedReads, p.attempted-p.failedWrites, p.failedWrites)
		if err := s.checkCaller(ctx, p); err != nil {
			return err
		}
		p.close()
	}
	if s.check != nil {
		return s.check(c, callers)
	}
	return nil
}

func (s scenario) prepare(ctx context.Context, c *cluster.Cluster, v *cluster.VirtualNetwork) ([]*pooledCaller, error) {
	var callers []*pooledCaller
	for i := range s.callers {
		p := newPooledCaller(v, i+1, c.Hosts)
		p.presentsToken = i%2 == 1
		if err := p.open(ctx); err != nil {
			return nil, err
		}
		callers = append(callers, p)
	}
	conn := callers[0].conns[0]
	if _, err := conn.Exec(ctx, "CREATE TABLE report (id bigint PRIMARY KEY, pages bigint)"); err != nil {
		return nil, err
	}
	for _, p := range callers {
		if _, err := conn.Exec(ctx, "INSERT INTO report VALUES ($1, 0)", p.number); err != nil {
			return nil, err
		}
	}
	return callers, nil
}

func (s scenario) checkCaller(ctx context.Context, p *pooledCaller) error {
	if !s.noPrimary {
		return p.checkHosts(ctx)
	}
	if err := p.write(ctx, 0); err == nil {
		return errors.New("a write was acknowledged without primary and successor")
	}
	return nil
}

// checkHosts writes and reads through each host that is still running.
func (p *pooledCaller) checkHosts(ctx context.Context) error {
	for i, h := range p.hosts {
		select {
		case <-h.Done:
			continue
		default:
		}
		// The first write may fail because the old connection was lost.
		if err := p.write(ctx, i); err != nil {
			if err := p.write(ctx, i); err != nil {
				return fmt.Errorf("write through host %d after the faults: %w", i+1, withDetail(err))
			}
		}
		if err := p.read(ctx, i); err != nil {
			return fmt.Errorf("read through host %d after the faults: %w", i+1, withDetail(err))
		}
	}
	return nil
}

// withDetail adds the detail field of an error response to the error.
func withDetail(err error) error {
	var refused *pgconn.PgError
	if errors.As(err, &refused) {
		return fmt.Errorf("%w: %s", err, refused.Detail)
	}
	return err
}

// Guards against a read that misses the caller's own write through any entry host, under
// the schedules of testdata/read*.txtar.
func TestReadOwnWrites(t *testing.T) {
	traces, err := filepath.Glob("testdata/read*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(traces) > 0)
	for _, path := range traces {
		t.Run(strings.TrimSuffix(filepath.Base(path), ".txtar"), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			assert.NilError(t, err)
			assert.NilError(t, scenario{
				config: config(t), schedule: string(archive.Files[0].Data), duration: 14 * time.Second, callers: 4, seed: 1,
				noPrimary: len(archive.Files) > 1 && strings.Contains(string(archive.Files[1].Data), "no primary"),
			}.run(t))
		})
	}
}

// As TestReadOwnWrites, under generated pairs of overlapping faults.
func TestReadOwnWritesGenerated(t *testing.T) {
	// Runs 6 checks unless the command line sets another number.
	checks := flag.Lookup("rapid.checks")
	if checks.Value.String() == checks.DefValue {
		assert.NilError(t, checks.Value.Set("6"))
		defer func() { _ = checks.Value.Set(checks.DefValue) }()
	}
	rapid.Check(t, func(r *rapid.T) {
		schedule := drawSchedule(r)
		seed := rapid.Uint64().Draw(r, "seed")
		if err := (scenario{config: config(t), schedule: schedule, duration: 8 * time.Second, callers: 4, seed: seed}).run(t); err != nil {
			r.Fatalf("seed %d: %v\n%s", seed, err, schedule)
		}
	})
}

// drawSchedule draws two overlapping faults. Only server a, the primary, may be killed,
// because a group that has lost primary and successor stays without a primary.
func drawSchedule(r *rapid.T) string {
	var lines []string
	at := 0
	for range 2 {
		at += rapid.IntRange(500, 2500).Draw(r, "at")
		lines = append(lines, fmt.Sprintf("%dms %s\n", at, drawFault(r)))
	}
	return strings.Join(lines, "")
}

func drawFault(r *rapid.T) string {
	draw := func(values ...string) string { return rapid.SampledFrom(values).Draw(r, "word") }
	server := func() string { return draw("a", "b", "c") }
	machine := func() string { return draw("a", "b", "c", "host-1", "host-2", "host-3", cluster.PlatformMachine) }
	switch draw("stall", "delay", "apply", "kill", "isolate", "centre", "platform", "link") {
	case "stall":
		return "stall " + server()
	case "delay":
		return "delay 2s " + server()
	case "apply":
		return "apply " + server() + " 2s"
	case "kill":
		return "kill a"
	case "isolate":
		return "isolate " + machine() + " " + draw("Cut", "BlackHole")
	case "centre":
		return "centre " + draw("gent-a", "namur-a", "brussel-a") + " " + draw("Cut", "BlackHole")
	case "platform":
		return "platform " + draw("Unavailable", "BlackHole")
	default:
		return "link " + machine() + " " + machine() + " " + draw("Cut", "BlackHole")
	}
}
