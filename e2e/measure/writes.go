package measure

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"basilmill/core/account"
	"basilmill/core/pool"
	"basilmill/e2e/cluster"
	standin "basilmill/standin/platform"
)

// writesPerHost is the number of writes of each kind through each host.
const writesPerHost = 40

// Writes measures by how much the wait for the successor's confirmation delays a
// write, and how writes proceed during an outage of the platform.
func Writes(r *Report) func(t *testing.T) {
	return func(t *testing.T) {
		table := Table{
			Section: "3", Title: "Write latency and evidence", Label: "deployment",
			Notes: []string{
				"Virtual time, one writer, through each of 9 hosts in turn. The baseline is acknowledged on the primary alone: an update that matches no row takes the same path " +
					"and its position needs no new evidence. Outage: the platform answers nothing for 60 s while the writer goes on.",
			},
			Columns: append(append(summaryColumns("evidence "), summaryColumns("primary alone ")...),
				Column{"median added", "ms", 1}, Column{"p99 added", "ms", 1}, Column{"writes in outage", "", 0}, Column{"failed in outage", "", 0}),
		}
		for _, d := range Deployments() {
			d.runVirtual(t, nil, func(s *virtualDeployment) { table.Rows = append(table.Rows, writeRow(s)) })
		}
		r.AddTable(table)
	}
}

func writeRow(s *virtualDeployment) Row {
	database := s.spec.Databases[0]
	s.createTables(database)
	var confirmed, primaryOnly Sample
	next := 1
	for _, h := range s.Hosts {
		conn := s.mustConnect(h, database)
		for range writesPerHost {
			next++
			confirmed = append(confirmed, s.timedExec(conn, "INSERT INTO report VALUES ($1, 1)", next))
			primaryOnly = append(primaryOnly, s.timedExec(conn, "UPDATE report SET n = 2 WHERE id = $1", -next))
		}
		closeConn(conn)
	}
	s.Platform.SetOutage(standin.BlackHole)
	conn := s.mustConnect(s.Hosts[1], database)
	done, failed := 0, 0
	for began := time.Now(); time.Since(began) < time.Minute; {
		next++
		if _, err := conn.Exec(s.t.Context(), "INSERT INTO report VALUES ($1, 1)", next); err != nil {
			failed++
		} else {
			done++
		}
	}
	s.Platform.SetOutage(standin.NoOutage)
	closeConn(conn)
	values := append(confirmed.summary(), primaryOnly.summary()...)
	values = append(values, milliseconds(confirmed.Quantile(0.5)-primaryOnly.Quantile(0.5)), milliseconds(confirmed.Quantile(0.99)-primaryOnly.Quantile(0.99)),
		Value(done), Value(failed))
	return Row{Label: s.spec.Name, Values: values}
}

func (s *virtualDeployment) timedExec(conn *pgx.Conn, sql string, id int) time.Duration {
	began := time.Now()
	if _, err := conn.Exec(s.t.Context(), sql, id); err != nil {
		s.t.Error(err)
	}
	return time.Since(began)
}

// Parameters of the storm: the number of callers, and the time that a statement
// takes on the backend server.
const (
	stormCallers        = 1000
	stormStatementDelay = 5 * time.Millisecond
)

// controlConnections is the number of connections of the server's limit that the
// hosts reserve for status queries and commands: one for each of three coordinators
// and one more.
const controlConnections = 4

// Storm measures many callers that send a statement at the same moment, against a
// baseline that splits the connections statically between the hosts.
func Storm(r *Report) func(t *testing.T) {
	return func(t *testing.T) {
		table := Table{
			Section: "5", Title: "Connections in a storm of callers", Label: "deployment",
			Notes: []string{
				fmt.Sprintf("Virtual time, 9 hosts. %d callers with open sessions, spread over the hosts and 3 databases, send one insert each at the same moment; a statement takes %s on the backend server. ", stormCallers, stormStatementDelay) +
					"Vandermeersch: limit 16, opening 12 ms; prayer service: limit 40, opening 30 ms. Times are from sending to the answer; openings are those of the primary.",
				"Static split: a pool of core/pool at each host with its part of the same connections (limit less 4 for control), connected directly to the same primary, without forwarding and without evidence, which favours it.",
			},
			Columns: append(append(summaryColumns(""), Column{"openings", "", 0}, Column{"peak open", "", 0}, Column{"failed", "", 0}),
				append(summaryColumns("static split "), Column{"static split openings", "", 0}, Column{"static split failed", "", 0})...),
		}
		for _, d := range Deployments() {
			var values []Value
			for _, staticSplit := range []bool{false, true} {
				d.runVirtual(t, nil, func(s *virtualDeployment) { values = append(values, s.runStorm(staticSplit)...) })
			}
			table.AddRow(d.Name, values...)
		}
		r.AddTable(table)
	}
}

func (s *virtualDeployment) runStorm(staticSplit bool) []Value {
	for _, database := range s.spec.Databases {
		s.createTables(database)
	}
	faults := s.Servers[0].Faults()
	faults.StatementDelay = stormStatementDelay
	s.Servers[0].SetFaults(faults)
	run := s.proxiedCallers()
	if staticSplit {
		run = s.pooledCallers()
	}
	time.Sleep(2 * time.Minute) // until the idle connections of the preparation are closed
	before := s.Servers[0].Counters()
	var mu sync.Mutex
	var latencies Sample
	failed := 0
	var running sync.WaitGroup
	for i := range stormCallers {
		running.Go(func() {
			began := time.Now()
			err := run(i)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
			}
			latencies = append(latencies, time.Since(began))
		})
	}
	running.Wait()
	after := s.Servers[0].Counters()
	values := append(latencies.summary(), Value(after.Opened-before.Opened))
	if !staticSplit {
		values = append(values, Value(after.PeakOpen))
	}
	return append(values, Value(failed))
}

// stormSQL inserts a row with a different key for each caller.
const stormSQL = "INSERT INTO report VALUES ($1, 1)"

// proxiedCallers opens a session through a host for each caller. It returns the
// function that sends the statement of caller i.
func (s *virtualDeployment) proxiedCallers() func(i int) error {
	conns := make([]*pgx.Conn, stormCallers)
	for i := range conns {
		conns[i] = s.mustConnect(s.Hosts[i%len(s.Hosts)], s.spec.Databases[i%len(s.spec.Databases)])
	}
	return func(i int) error {
		defer closeConn(conns[i])
		_, err := conns[i].Exec(s.t.Context(), stormSQL, i+2)
		return err
	}
}

// pooledCallers creates the pools of the static split. It returns the function that
// sends the statement of caller i.
func (s *virtualDeployment) pooledCallers() func(i int) error {
	pools := make([]*pool.Pool[*pgx.Conn], len(s.Hosts))
	for i, h := range s.Hosts {
		dial := s.network.ForMachine(cluster.Machine{Name: string(h.Self().ID), DataCentre: h.DataCentre}).Dial
		pools[i] = pool.New(pool.Config[*pgx.Conn]{
			Limit: pool.Split(s.spec.ConnectionLimit-controlConnections, len(s.Hosts), i),
			Open: func(ctx context.Context, key pool.Key) (*pgx.Conn, error) {
				return connect(ctx, "static", s.Servers[0].Address, string(key), dial)
			},
			Close: closeConn,
		})
	}
	return func(i int) error {
		time.Sleep(2 * s.spec.ClientLatency) // from the caller to the host and back
		ctx, cancel := context.WithTimeout(s.t.Context(), account.QueueTimeoutRange.Default)
		defer cancel()
		p := pools[i%len(pools)]
		conn, err := p.Get(ctx, pool.Key(s.spec.Databases[i%len(s.spec.Databases)]), s.spec.Account)
		if err != nil {
			return err
		}
		_, err = conn.Exec(s.t.Context(), stormSQL, i+2)
		p.Put(conn, !conn.IsClosed())
		return err
	}
}
