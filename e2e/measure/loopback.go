package measure

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"

	standin "basilmill/standin/platform"
)

// Parameters of the load on loopback.
const (
	loadClients  = 8
	loadDuration = 3 * time.Second
	// nodeStatementRate is the number of statements a second of one node, if 3,900
	// nodes share 9.9 million statements a second.
	nodeStatementRate = 2540
	rateClients       = 12
	rateDuration      = 8 * time.Second
	idleCallers       = 8000
)

// statementKind is a kind of statement in the load.
type statementKind struct {
	name, sql string
	write     bool
}

var statementKinds = []statementKind{
	{"stated-age read", "SELECT n FROM entry WHERE id = $1", false},
	{"current read", "SELECT n FROM report WHERE id = $1", false},
	{"write", "INSERT INTO report VALUES ($1, 1)", true},
}

// Loopback compares one entry host with direct connections to the primary, in real
// time.
func Loopback(r *Report) func(t *testing.T) {
	return func(t *testing.T) {
		d := Vandermeersch()
		p := newProcessDeployment(t, r, d)
		p.putGroups(d, 1)
		p.startHosts(d, 1, "")
		database := d.Databases[0]
		conn, err := connect(t.Context(), d.Account, p.hosts[0].callerAddress, database, nil)
		if err != nil {
			t.Fatal(err)
		}
		for _, sql := range schema {
			if _, err := conn.Exec(t.Context(), sql); err != nil {
				t.Fatal(err)
			}
		}
		closeConn(conn)
		r.AddTable(measureLatencies(t, d, p))
		r.AddTable(measureCPUTime(t, d, p))
		r.AddTable(measureIdleMemory(t, d, p))
	}
}

func measureLatencies(t *testing.T, d Deployment, p *processDeployment) Table {
	table := Table{
		Section: "4a", Title: "One entry host against direct connections", Label: "statement",
		Notes: []string{fmt.Sprintf("Real time on loopback TCP, separate processes, no injected latency: %d pgx clients in closed loops for %s each, once directly to the stand-in primary, once through one host. "+
			"The direct connection has neither evidence nor floor query.", loadClients, loadDuration)},
		Columns: []Column{
			{"direct p50", "ms", 3},
			{"direct p99", "ms", 3},
			{"host p50", "ms", 3},
			{"host p99", "ms", 3},
			{"added p50", "ms", 3},
			{"added p99", "ms", 3},
			{"direct statements/s", "", 0},
			{"host statements/s", "", 0},
			{"ratio", "", 2},
		},
	}
	next := 1000
	for _, k := range statementKinds {
		direct, rate := runClosedLoop(t, d, p.servers[0], k, &next)
		proxied, proxiedRate := runClosedLoop(t, d, p.hosts[0].callerAddress, k, &next)
		ms := func(h *hdrhistogram.Histogram, q float64) Value { return Value(float64(h.ValueAtQuantile(q)) / 1e6) }
		table.AddRow(k.name, ms(direct, 50), ms(direct, 99), ms(proxied, 50), ms(proxied, 99),
			ms(proxied, 50)-ms(direct, 50), ms(proxied, 99)-ms(direct, 99), Value(rate), Value(proxiedRate), ratio(proxiedRate, rate))
	}
	return table
}

// runClosedLoop runs clients that each send a statement after the answer to the one
// before. It returns the latencies in nanoseconds and the statements a second.
func runClosedLoop(t *testing.T, d Deployment, at netip.AddrPort, k statementKind, next *int) (*hdrhistogram.Histogram, float64) {
	total := hdrhistogram.New(1000, int64(time.Minute), 3)
	var mu sync.Mutex
	var running sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), loadDuration)
	defer cancel()
	for i := range loadClients {
		conn, err := connect(t.Context(), d.Account, at, d.Databases[0], nil)
		if err != nil {
			t.Fatal(err)
		}
		id := *next + i
		running.Go(func() {
			defer closeConn(conn)
			h := hdrhistogram.New(1000, int64(time.Minute), 3)
			for ; ctx.Err() == nil; id += loadClients {
				began := time.Now()
				if err := k.run(t.Context(), conn, id); err != nil {
					t.Error(err)
					return
				}
				_ = h.RecordValue(int64(time.Since(began)))
			}
			mu.Lock()
			defer mu.Unlock()
			total.Merge(h)
			*next = max(*next, id)
		})
	}
	running.Wait()
	return total, float64(total.TotalCount()) / loadDuration.Seconds()
}

func (k statementKind) run(ctx context.Context, conn *pgx.Conn, id int) error {
	if k.write {
		_, err := conn.Exec(ctx, k.sql, id)
		return err
	}
	var n int
	return conn.QueryRow(ctx, k.sql, 1).Scan(&n)
}

// measureCPUTime measures the processor time of a host at nodeStatementRate.
func measureCPUTime(t *testing.T, d Deployment, p *processDeployment) Table {
	table := Table{
		Section: "4b", Title: "Processor time of one host at the rate of one node", Label: "load",
		Notes: []string{fmt.Sprintf("Real time: %d clients send %d statements a second together, Vandermeersch's mix (70%% stated-age reads, 20%% current reads, 10%% writes), for %s. "+
			"The share of one of 3,900 nodes in 9.9 million statements a second. Processor time of the serve process from /proc.", rateClients, nodeStatementRate, rateDuration)},
		Columns: []Column{{"statements/s reached", "", 0}, {"share of one core", "%", 1}, {"per statement", "µs", 1}, {"failed", "", 0}},
	}
	before, err := p.hosts[0].usage()
	if err != nil {
		t.Fatal(err)
	}
	done, failed := runAtRate(t, d, p.hosts[0].callerAddress)
	after, err := p.hosts[0].usage()
	if err != nil {
		t.Fatal(err)
	}
	cpu := after.cpu - before.cpu
	table.AddRow("mix", Value(float64(done)/rateDuration.Seconds()), Value(100*cpu.Seconds()/rateDuration.Seconds()),
		ratio(cpu.Seconds()*1e6, float64(done)), Value(failed))
	return table
}

func runAtRate(t *testing.T, d Deployment, at netip.AddrPort) (done, failed int) {
	interval := time.Second * rateClients / nodeStatementRate
	var mu sync.Mutex
	var running sync.WaitGroup
	for i := range rateClients {
		conn, err := connect(t.Context(), d.Account, at, d.Databases[0], nil)
		if err != nil {
			t.Fatal(err)
		}
		running.Go(func() {
			defer closeConn(conn)
			succeeded, errored := 0, 0
			began := time.Now()
			for n := 0; time.Since(began) < rateDuration; n++ {
				time.Sleep(time.Until(began.Add(time.Duration(n) * interval)))
				k := statementKinds[[]int{0, 0, 1, 0, 0, 0, 2, 0, 1, 0}[n%10]]
				if k.run(t.Context(), conn, 10_000_000+n*rateClients+i) != nil {
					errored++
					continue
				}
				succeeded++
			}
			mu.Lock()
			defer mu.Unlock()
			done, failed = done+succeeded, failed+errored
		})
	}
	running.Wait()
	return done, failed
}

// measureIdleMemory measures the memory that idle caller connections use in a host.
func measureIdleMemory(t *testing.T, d Deployment, p *processDeployment) Table {
	n := min(idleCallers, int(raiseOpenFileLimit())-500)
	before, err := p.hosts[0].usage()
	if err != nil {
		t.Fatal(err)
	}
	conns := make([]*pgx.Conn, n)
	var running sync.WaitGroup
	slots := make(chan struct{}, 16)
	for i := range conns {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			var err error
			if conns[i], err = connect(t.Context(), d.Account, p.hosts[0].callerAddress, d.Databases[i%3], nil); err != nil {
				t.Error(err)
			}
		})
	}
	running.Wait()
	time.Sleep(time.Second)
	after, err := p.hosts[0].usage()
	if err != nil {
		t.Fatal(err)
	}
	for _, conn := range conns {
		if conn != nil {
			closeConn(conn)
		}
	}
	table := Table{
		Section: "4c", Title: "Memory of idle caller connections", Label: "connections",
		Notes:   []string{"Real time: resident memory of one serve process before and after idle callers connected, including garbage of their authentication that is not yet collected."},
		Columns: []Column{{"before", "MB", 1}, {"after", "MB", 1}, {"per connection", "KB", 1}},
	}
	table.AddRow(fmt.Sprint(n), megabytes(before.rss), megabytes(after.rss), Value(float64(after.rss-before.rss)/float64(n)/1024))
	return table
}

func megabytes(n int64) Value { return Value(float64(n) / (1 << 20)) }

// controlDuration is the time over which control costs are measured.
const controlDuration = 6 * time.Second

// deploymentSize is the number of hosts and database groups of a deployment.
type deploymentSize struct{ hosts, groups int }

var deploymentSizes = []deploymentSize{{3, 1}, {3, 10}, {3, 100}, {9, 10}, {27, 10}, {27, 100}}

// Control measures the cost of control, without traffic, for growing numbers of
// hosts and groups.
func Control(r *Report) func(t *testing.T) {
	return func(t *testing.T) {
		table := Table{
			Section: "6a", Title: "Cost of control for each host, without traffic", Label: "hosts, groups",
			Notes: []string{
				fmt.Sprintf("Real time: that many serve processes on loopback in 3 data centres, probe interval 1.5 s as at the two-year size, %s each after 4 s. "+
					"Groups share three stand-in servers. Means over the hosts. Processor time and bytes (read and written by system calls, on sockets apart from a few log lines, without TCP headers) from /proc; platform calls from the stand-in's counters.", controlDuration),
			},
			Columns: []Column{
				{"groups coordinated", "", 1},
				{"share of one core", "%", 2},
				{"memory", "MB", 1},
				{"bytes", "KB/s", 2},
				{"platform calls/s, all hosts", "", 2},
				{"waiting watches", "", 0},
			},
		}
		var coordinated, cpu, rate, memory []float64
		for _, s := range deploymentSizes {
			values := controlRow(t, r, s)
			if values == nil {
				return
			}
			table.AddRow(fmt.Sprintf("%d, %d", s.hosts, s.groups), values...)
			coordinated, cpu = append(coordinated, float64(values[0])), append(cpu, float64(values[1]))
			memory, rate = append(memory, float64(values[2])), append(rate, float64(values[3]))
		}
		c, m, b := Fit(coordinated, cpu), Fit(coordinated, memory), Fit(coordinated, rate)
		table.Notes = append(table.Notes, fmt.Sprintf("Slopes by least squares over the groups that a host coordinates: processor %.2f%% + %.3f%% of a core for each; memory %.1f MB + %.3f MB; bytes %.2f KB/s + %.3f KB/s.",
			c.Intercept, c.Slope, m.Intercept, m.Slope, b.Intercept, b.Slope))
		curve := Curve{Name: "bytes for each host", X: coordinated, Y: rate}
		table.Plot = r.plot(t, "control", "Control without traffic", "groups coordinated by a host", "KB/s", []Curve{sortByX(curve)})
		r.AddTable(table)
	}
}

func controlRow(t *testing.T, r *Report, s deploymentSize) (values []Value) {
	t.Run("", func(t *testing.T) {
		d := Vandermeersch()
		p := newProcessDeployment(t, r, d)
		p.putGroups(d, s.groups)
		p.startHosts(d, s.hosts, `, "ProbeInterval": "1.5s"`)
		values = p.meanCost(s)
	})
	return values
}

// meanCost returns the mean cost of the hosts over controlDuration.
func (p *processDeployment) meanCost(s deploymentSize) []Value {
	var cpu time.Duration
	var transferred, rss int64
	addUsage := func(sign int64) {
		for _, h := range p.hosts {
			u, err := h.usage()
			if err != nil {
				p.t.Fatal(err)
			}
			cpu, transferred, rss = cpu+time.Duration(sign)*u.cpu, transferred+sign*u.ioBytes, rss+u.rss
		}
	}
	countCalls := func() int {
		c := p.platform.Calls()
		return c.Get + c.List + c.Put + c.Watch + c.Hosts
	}
	callsBefore := countCalls()
	addUsage(-1)
	time.Sleep(controlDuration)
	rss = 0
	addUsage(1)
	n, seconds := float64(len(p.hosts)), controlDuration.Seconds()
	return []Value{
		Value(3 * float64(s.groups) / n), Value(100 * cpu.Seconds() / n / seconds), megabytes(rss) / Value(n),
		Value(float64(transferred) / n / seconds / 1024), Value(float64(countCalls()-callsBefore) / seconds), Value(p.platform.Calls().WaitingWatches),
	}
}

// State measures the cost on one host of the platform's objects and host list at the
// size that is expected in two years.
func State(r *Report) func(t *testing.T) {
	return func(t *testing.T) {
		table := Table{
			Section: "6b", Title: "State of the two-year size on one host", Label: "what the platform holds",
			Notes: []string{"Real time: one serve process, which is the relay of its data centre. The listed hosts do not run and lie in other data centres, where the groups' servers are, so that the host coordinates none of the groups. " +
				"A change of the host list adds and removes one host; 5 changes, 2.5 s apart, because relays read the list every 2 s."},
			Columns: []Column{{"memory", "MB", 1}, {"processor for each list change", "ms", 1}, {"bytes for each list change", "KB", 1}},
		}
		for _, s := range []deploymentSize{{1, 0}, {3900, 0}, {3900, 8100}} {
			t.Run("", func(t *testing.T) { table.Rows = append(table.Rows, stateRow(t, r, s)) })
		}
		r.AddTable(table)
	}
}

func stateRow(t *testing.T, r *Report, s deploymentSize) Row {
	d := Vandermeersch()
	p := newProcessDeployment(t, r, d)
	p.putGroups(d, s.groups)
	hostDeployment := d
	hostDeployment.DataCentres = hostDeployment.DataCentres[:0:0]
	hostDeployment.DataCentres = append(hostDeployment.DataCentres, "antwerpen-a")
	var listed []standin.Host
	for i := range s.hosts - 1 {
		listed = append(listed, standin.Host{
			ID: fmt.Sprintf("absent-%d", i), DataCentre: string(d.DataCentres[i%3]), Region: "belgie",
			PeerAddress: fmt.Sprintf("127.0.0.1:%d", 1+i%1000), State: "Live",
		})
	}
	p.startHosts(hostDeployment, 1, "", listed...)
	currentHosts := p.platform.Hosts()
	before, err := p.hosts[0].usage()
	if err != nil {
		t.Fatal(err)
	}
	const changes = 5
	for i := range changes {
		next := append(currentHosts[:len(currentHosts):len(currentHosts)], standin.Host{ID: fmt.Sprintf("new-%d", i), DataCentre: "gent-a", Region: "belgie", PeerAddress: "127.0.0.1:9", State: "Live"})
		p.platform.SetHosts(next)
		time.Sleep(2500 * time.Millisecond)
	}
	after, err := p.hosts[0].usage()
	if err != nil {
		t.Fatal(err)
	}
	return Row{Label: fmt.Sprintf("%d hosts, %d groups", s.hosts, s.groups), Values: []Value{
		megabytes(after.rss), milliseconds(after.cpu-before.cpu) / changes, Value(float64(after.ioBytes-before.ioBytes) / changes / 1024),
	}}
}
