package measure

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"

	"basilmill/core/account"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/e2e/cluster"
)

// password is the password of the client accounts of all deployments.
const password = "geheim"

// Deployment describes a user's deployment, its latencies and its mix of reads and
// writes.
type Deployment struct {
	Name        string
	Account     account.ID
	Group       group.ID
	Databases   []string
	DataCentres []host.DataCentre
	Region      host.Region
	// InterCentreLatency is the one-way latency between data centres, ClientLatency
	// the one-way latency between a client and any other machine.
	InterCentreLatency, ClientLatency time.Duration
	// StartupDelay is the time that a backend server takes to start a connection.
	StartupDelay    time.Duration
	ConnectionLimit int
	Hosts           int
	// MaxAge is the maximum age of the reads of table "entry".
	MaxAge time.Duration
	// CurrentShare and WriteShare are the shares of current reads and of writes in the
	// mix. The rest are reads of table "entry" with MaxAge.
	CurrentShare, WriteShare float64
}

// Vandermeersch is the deployment of Vandermeersch & Zonen Naamkunde.
func Vandermeersch() Deployment {
	return Deployment{
		Name: "Vandermeersch", Account: "vandermeersch", Group: "naamboek", Databases: []string{"namen", "akten", "orders"},
		DataCentres: []host.DataCentre{"gent-a", "namur-a", "brussel-a"}, Region: "belgie",
		InterCentreLatency: 4 * time.Millisecond, ClientLatency: 3 * time.Millisecond,
		StartupDelay: 12 * time.Millisecond, ConnectionLimit: 16, Hosts: 9,
		MaxAge: 10 * time.Second, CurrentShare: 0.2, WriteShare: 0.1,
	}
}

// PrayerService is the deployment of the prayer service. Its data centres are in
// different regions, 20 ms apart, the higher of its two latencies.
func PrayerService() Deployment {
	return Deployment{
		Name: "Prayer service", Account: "avisos-oracion", Group: "horarios-salat", Databases: []string{"horarios", "avisos", "altavoces"},
		DataCentres: []host.DataCentre{"valparaiso-a", "santiago-a", "coquimbo-a"}, Region: "chile",
		InterCentreLatency: 20 * time.Millisecond, ClientLatency: time.Millisecond,
		StartupDelay: 30 * time.Millisecond, ConnectionLimit: 40, Hosts: 9,
		MaxAge: 30 * time.Second, CurrentShare: 0.03, WriteShare: 0.02,
	}
}

// Deployments returns the deployments of both users.
func Deployments() []Deployment { return []Deployment{Vandermeersch(), PrayerService()} }

func (d Deployment) template(t testing.TB) account.Template {
	verifier, err := cluster.Verifier(password)
	if err != nil {
		t.Fatal(err)
	}
	return account.Template{
		ID: d.Account, Groups: []account.Claim{{Group: d.Group, Databases: d.Databases}}, Verifier: verifier,
		ReadClasses: []account.ReadClass{{Name: "stated-age", MaxAge: d.MaxAge, Patterns: []string{`(?i)^SELECT .* FROM entry\b`}}},
		Sharing:     account.Sharing{MaxConnections: d.ConnectionLimit},
	}
}

func (d Deployment) config(t testing.TB) cluster.Config {
	return cluster.Config{
		Group: d.Group, Databases: d.Databases, DataCentres: d.DataCentres, Region: d.Region, Hosts: d.Hosts,
		ConnectionLimit: d.ConnectionLimit, StartupDelay: d.StartupDelay, Account: d.template(t),
	}
}

// virtualDeployment is a deployment that runs in one process in virtual time.
type virtualDeployment struct {
	*cluster.Cluster
	// spec is the description from which the deployment was started.
	spec        Deployment
	t           *testing.T
	network     *cluster.VirtualNetwork
	clientCount int
}

// runVirtual starts the deployment in a synctest bubble of its own, runs f and
// stops the deployment.
func (d Deployment) runVirtual(t *testing.T, adjust func(*cluster.Config), f func(s *virtualDeployment)) {
	synctest.Test(t, func(t *testing.T) {
		v := cluster.NewVirtualNetwork(cluster.Latencies(d.InterCentreLatency, d.ClientLatency))
		config := d.config(t)
		config.Network = v
		if adjust != nil {
			adjust(&config)
		}
		c, err := cluster.Start(t.Context(), config)
		if err != nil {
			t.Fatal(err)
		}
		defer func() {
			c.Close()
			v.Close()
			synctest.Wait()
		}()
		if err := c.Ready(t.Context()); err != nil {
			t.Error(err)
			return
		}
		f(&virtualDeployment{Cluster: c, spec: d, t: t, network: v})
	})
}

// connect opens a session of a new client in the host's data centre.
func (s *virtualDeployment) connect(h *cluster.Host, database string) (*pgx.Conn, error) {
	s.clientCount++
	dial := s.network.ClientDialer(cluster.ClientName(s.clientCount), h.DataCentre)
	return connect(s.t.Context(), s.spec.Account, h.CallerAddress(), database, dial)
}

// mustConnect is connect, but fails the test on an error.
func (s *virtualDeployment) mustConnect(h *cluster.Host, database string) *pgx.Conn {
	conn, err := s.connect(h, database)
	if err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// connect opens a session. It uses TCP if dial is nil.
func connect(ctx context.Context, user account.ID, at netip.AddrPort, database string, dial dialFunc) (*pgx.Conn, error) {
	conf, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", user, password, at, database))
	if err != nil {
		return nil, err
	}
	if dial != nil {
		conf.DialFunc = dial
	}
	return pgx.ConnectConfig(ctx, conf)
}

// createTables creates the tables of the mixes and waits until all replicas have
// them.
func (s *virtualDeployment) createTables(database string) {
	conn := s.mustConnect(s.Hosts[0], database)
	defer closeConn(conn)
	for _, sql := range schema {
		if _, err := conn.Exec(s.t.Context(), sql); err != nil {
			s.t.Fatalf("%s: %v", sql, err)
		}
	}
	time.Sleep(time.Second)
}

// schema creates the tables of the mixes. Table "entry" is read with the maximum
// age, table "report" with current reads.
var schema = []string{
	"CREATE TABLE entry (id bigint PRIMARY KEY, n bigint)",
	"CREATE TABLE report (id bigint PRIMARY KEY, n bigint)",
	"INSERT INTO entry VALUES (1, 0)",
	"INSERT INTO report VALUES (1, 0)",
}

func closeConn(conn *pgx.Conn) { _ = conn.Close(context.Background()) }
