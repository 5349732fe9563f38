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

// password is the password of both accounts.
const password = "geheim"

// Deployment is a user's deployment with its latencies.
type Deployment struct {
	Name        string
	Account     account.ID
	Group       group.ID
	Databases   []string
	DataCentres []host.DataCentre
	Region      host.Region
	// InterCentreLatency is the one-way latency between data centres, ClientLatency the one
	// between a client and everything else.
	InterCentreLatency, ClientLatency time.Duration
	StartupDelay                      time.Duration
	ConnectionLimit                   int
	Hosts                             int
	// MaxAge is the maximum age of the reads of the table "entry".
	MaxAge time.Duration
	// CurrentShare and WriteShare are shares of the mix; the rest are reads with the
	// stated age.
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

// PrayerService is the deployment of the prayer service. Its data centres lie in
// different regions, 20 ms apart, which is the harder of its two latencies.
func PrayerService() Deployment {
	return Deployment{
		Name: "Prayer service", Account: "avisos-oracion", Group: "horarios-salat", Databases: []string{"horarios", "avisos", "altavoces"},
		DataCentres: []host.DataCentre{"valparaiso-a", "santiago-a", "coquimbo-a"}, Region: "chile",
		InterCentreLatency: 20 * time.Millisecond, ClientLatency: time.Millisecond,
		StartupDelay: 30 * time.Millisecond, ConnectionLimit: 40, Hosts: 9,
		MaxAge: 30 * time.Second, CurrentShare: 0.03, WriteShare: 0.02,
	}
}

// Deployments are the deployments of both users.
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

// site is a running deployment under the paused clock.
type site struct {
	*cluster.Cluster
	d       Deployment
	t       *testing.T
	network *cluster.VirtualNetwork
	clients int
}

// virtual runs f with a deployment in a bubble of its own.
func (d Deployment) virtual(t *testing.T, adjust func(*cluster.Config), f func(s *site)) {
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
		f(&site{Cluster: c, d: d, t: t, network: v})
	})
}

// dial connects a new client near a host to it.
func (s *site) dial(h *cluster.Host, database string) (*pgx.Conn, error) {
	s.clients++
	dial := s.network.ClientDialer(cluster.ClientName(s.clients), h.DataCentre)
	return connect(s.t.Context(), s.d.Account, h.CallerAddress(), database, dial)
}

// must connects or ends the measurement.
func (s *site) must(h *cluster.Host, database string) *pgx.Conn {
	conn, err := s.dial(h, database)
	if err != nil {
		s.t.Fatal(err)
	}
	return conn
}

// connect opens a session; a nil dial function takes TCP.
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

// prepare creates the tables of the mixes and waits until all replicas have
// them.
func (s *site) prepare(database string) {
	conn := s.must(s.Hosts[0], database)
	defer closeConn(conn)
	for _, sql := range schema {
		if _, err := conn.Exec(s.t.Context(), sql); err != nil {
			s.t.Fatalf("%s: %v", sql, err)
		}
	}
	time.Sleep(time.Second)
}

// schema holds the tables of the mixes: "entry" is read with the stated age,
// "report" is read currently.
var schema = []string{
	"CREATE TABLE entry (id bigint PRIMARY KEY, n bigint)",
	"CREATE TABLE report (id bigint PRIMARY KEY, n bigint)",
	"INSERT INTO entry VALUES (1, 0)",
	"INSERT INTO report VALUES (1, 0)",
}

func closeConn(conn *pgx.Conn) { _ = conn.Close(context.Background()) }
