package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"basilmill/core/group"
	"basilmill/core/host"
)

// demo is the state of one run of the demo.
type demo struct {
	bin, examples string
	directory     string
	step          int
	processes     []*process

	platform netip.AddrPort
	servers  []netip.AddrPort
	hosts    []entryHost
}

// entryHost holds the addresses of an entry host.
type entryHost struct {
	id              host.ID
	callerAddress   netip.AddrPort
	operatorAddress netip.AddrPort
	process         *process
}

const groupID group.ID = "demo-1"

var dataCentres = []host.DataCentre{"gent-a", "namur-a", "brussel-a"}

func (d *demo) run(ctx context.Context) (err error) {
	if d.directory, err = os.MkdirTemp("", "basilmill-demo-"); err != nil {
		return err
	}
	defer func() {
		if err == nil {
			err = os.RemoveAll(d.directory)
		}
	}()
	for _, s := range []struct {
		title string
		run   func(context.Context) error
	}{
		{"start the platform stand-in", d.startPlatform},
		{"start one group of three backend servers", d.startServers},
		{"start three entry hosts", d.startHosts},
		{"submit both users' account templates", d.submitAccounts},
		{"wait until the accounts are in force on every host", d.awaitAccounts},
		{"write through host-1, read the own write through host-2", d.writeAndRead},
		{"transaction, prepared statement, cancel and error through host-3", d.clientFeatures},
		{"a keyed order sent twice runs once", d.keyedOrder},
		{"kill the primary and write again", d.killPrimary},
		{"shut all entry hosts down cleanly", d.shutdown},
	} {
		d.step++
		fmt.Printf("demo: step %d: %s\n", d.step, s.title)
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("step %d, %s: %w", d.step, s.title, err)
		}
	}
	return nil
}

// freeAddress returns an unused address on loopback. Another process may take
// it before the caller listens on it.
func freeAddress() (netip.AddrPort, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer func() { _ = l.Close() }()
	return netip.ParseAddrPort(l.Addr().String())
}

func (d *demo) startPlatform(ctx context.Context) (err error) {
	if d.platform, err = freeAddress(); err != nil {
		return err
	}
	if _, err := d.start("platform", "platform", "--listen", d.platform.String()); err != nil {
		return err
	}
	return awaitListener(ctx, d.platform)
}

func (d *demo) startServers(ctx context.Context) error {
	var servers []string
	for i, dataCentre := range dataCentres {
		address, err := freeAddress()
		if err != nil {
			return err
		}
		id := group.ServerID('a' + rune(i))
		args := []string{"--id", string(id), "--listen", address.String(), "--connection-limit", "16", "--opening-cost", "12ms"}
		if i == 0 {
			args = append(args, "--role", "primary", "--term", "1", "--generation", "1", "--successor", "b")
		} else {
			args = append(args, "--primary", "a", "--primary-address", d.servers[0].String())
		}
		if _, err := d.start("server-"+string(id), "backendserver", args...); err != nil {
			return err
		}
		if err := awaitListener(ctx, address); err != nil {
			return err
		}
		d.servers = append(d.servers, address)
		servers = append(servers, fmt.Sprintf(`{"ID": %q, "Address": %q, "DataCentre": %q}`, id, address, dataCentre))
	}
	definition := fmt.Sprintf(`{
  "ID": %q, "Databases": ["namen", "akten", "orders", "horarios"], "ConnectionLimit": 16,
  "Primary": "a", "Successor": "b", "Servers": [%s],
}
`, groupID, strings.Join(servers, ", "))
	file := filepath.Join(d.directory, "group.jsonc")
	if err := os.WriteFile(file, []byte(definition), 0o600); err != nil {
		return err
	}
	return d.basilmill(ctx, "group", "create", "--platform", d.platform.String(), "--operator", "demo", file)
}

func (d *demo) startHosts(ctx context.Context) error {
	var list []string
	for i, place := range dataCentres {
		h, entry, err := d.startHost(i, place)
		if err != nil {
			return err
		}
		d.hosts = append(d.hosts, h)
		list = append(list, entry)
	}
	if err := d.publishHosts(ctx, list); err != nil {
		return err
	}
	for _, h := range d.hosts {
		if err := awaitReady(ctx, h); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) startHost(i int, dataCentre host.DataCentre) (h entryHost, listEntry string, err error) {
	var addresses [3]netip.AddrPort
	for j := range addresses {
		if addresses[j], err = freeAddress(); err != nil {
			return entryHost{}, "", err
		}
	}
	h = entryHost{id: host.ID(fmt.Sprintf("host-%d", i+1)), callerAddress: addresses[0], operatorAddress: addresses[2]}
	settings := fmt.Sprintf(`// Settings of %s.
{
  "HostID": %q, "DataCentre": %q, "Region": "belgie",
  "Listen": %q, "PeerListen": %q, "OperatorListen": %q,
  "Platform": %q, "DrainTime": "10s",
}
`, h.id, h.id, dataCentre, addresses[0], addresses[1], addresses[2], d.platform)
	file := filepath.Join(d.directory, string(h.id)+".jsonc")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return entryHost{}, "", err
	}
	if h.process, err = d.start(string(h.id), "basilmill", "serve", "--config", file); err != nil {
		return entryHost{}, "", err
	}
	listEntry = fmt.Sprintf(`{"ID":%q,"DataCentre":%q,"Region":"belgie","PeerAddress":%q,"State":"Live"}`, h.id, dataCentre, addresses[1])
	return h, listEntry, nil
}

// publishHosts sets the stand-in platform's host list. A real platform lists
// the hosts that it runs by itself.
func (d *demo) publishHosts(ctx context.Context, list []string) error {
	body := strings.NewReader(`{"Hosts":[` + strings.Join(list, ",") + `]}`)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+d.platform.String()+"/admin/hosts", body)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("the platform answered %s", response.Status)
	}
	return nil
}

func (d *demo) submitAccounts(ctx context.Context) error {
	for _, name := range []string{"vandermeersch", "avisos-oracion"} {
		file := filepath.Join(d.examples, name+".jsonc")
		if err := d.basilmill(ctx, "check", file); err != nil {
			return err
		}
		if err := d.basilmill(ctx, "account", "submit", "--platform", d.platform.String(), "--operator", "demo", file); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) awaitAccounts(ctx context.Context) error {
	for _, h := range d.hosts {
		if err := poll(ctx, func() error {
			status, err := get(ctx, h, "/status")
			if err == nil && (!strings.Contains(status, `"vandermeersch"`) || !strings.Contains(status, `"avisos-oracion"`)) {
				err = fmt.Errorf("%s does not have the accounts", h.id)
			}
			return err
		}); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) connect(ctx context.Context, h int, database string) (*pgx.Conn, error) {
	user, password := "vandermeersch", "geheim"
	if database == "horarios" {
		user, password = "avisos-oracion", "secreto"
	}
	return pgx.Connect(ctx, fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", user, password, d.hosts[h].callerAddress, database))
}

func (d *demo) writeAndRead(ctx context.Context) error {
	writer, err := d.connect(ctx, 0, "horarios")
	if err != nil {
		return err
	}
	defer closeConn(writer)
	reader, err := d.connect(ctx, 1, "horarios")
	if err != nil {
		return err
	}
	defer closeConn(reader)
	if _, err := writer.Exec(ctx, "CREATE TABLE schedule (prayer text PRIMARY KEY, iqama text)"); err != nil {
		return err
	}
	if _, err := writer.Exec(ctx, "INSERT INTO schedule VALUES ($1, $2)", "maghrib", "20:41"); err != nil {
		return err
	}
	if _, err := writer.Exec(ctx, "CREATE TABLE announcement (id bigint PRIMARY KEY, body text)"); err != nil {
		return err
	}
	for i := range 20 {
		body := fmt.Sprintf("announcement %d", i)
		if _, err := writer.Exec(ctx, "INSERT INTO announcement VALUES ($1, $2)", i, body); err != nil {
			return err
		}
		var got string
		if err := reader.QueryRow(ctx, "SELECT body FROM announcement WHERE id = $1", i).Scan(&got); err != nil {
			return fmt.Errorf("read of write %d through the other host: %w", i, err)
		}
		if got != body {
			return fmt.Errorf("read %q instead of %q", got, body)
		}
	}
	return nil
}

func (d *demo) clientFeatures(ctx context.Context) error {
	conn, err := d.connect(ctx, 2, "orders")
	if err != nil {
		return err
	}
	defer closeConn(conn)
	if _, err := conn.Exec(ctx, "CREATE TABLE report (id bigint PRIMARY KEY, name text)"); err != nil {
		return err
	}
	if err := pgx.BeginFunc(ctx, conn, func(tx pgx.Tx) error {
		for i, name := range []string{"De Smet", "Peeters"} {
			if _, err := tx.Exec(ctx, "INSERT INTO report VALUES ($1, $2)", i, name); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		return fmt.Errorf("transaction: %w", err)
	}
	if _, err := conn.Prepare(ctx, "by-id", "SELECT name FROM report WHERE id = $1"); err != nil {
		return fmt.Errorf("prepare: %w", err)
	}
	var name string
	if err := conn.QueryRow(ctx, "by-id", 1).Scan(&name); err != nil || name != "Peeters" {
		return fmt.Errorf("prepared statement: %q, %w", name, err)
	}
	if err := cancelStatement(ctx, conn); err != nil {
		return err
	}
	_, err = conn.Exec(ctx, "INSERT INTO report VALUES (1, 'again')")
	return expectCode(err, "23505")
}

// cancelStatement sends a cancel request for a running statement and checks that
// the session can still be used.
func cancelStatement(ctx context.Context, conn *pgx.Conn) error {
	failed := make(chan error, 1)
	go func() {
		_, err := conn.Exec(ctx, "SELECT pg_sleep(30)")
		failed <- err
	}()
	time.Sleep(300 * time.Millisecond)
	if err := conn.PgConn().CancelRequest(ctx); err != nil {
		return fmt.Errorf("cancel request: %w", err)
	}
	if err := expectCode(<-failed, "57014"); err != nil {
		return err
	}
	var one int
	return conn.QueryRow(ctx, "SELECT 1").Scan(&one)
}

func expectCode(err error, code string) error {
	var failure *pgconn.PgError
	if errors.As(err, &failure) && failure.Code == code {
		return nil
	}
	return fmt.Errorf("want error %s, got %w", code, err)
}

func (d *demo) keyedOrder(ctx context.Context) error {
	for h := range 2 {
		conn, err := d.connect(ctx, h, "orders")
		if err != nil {
			return err
		}
		defer closeConn(conn)
		if _, err := conn.Exec(ctx, "SET basilmill.request_key = 'order-4711'"); err != nil {
			return err
		}
		// Without the request key, the second run would fail with a duplicate
		// primary key.
		tag, err := conn.Exec(ctx, "INSERT INTO report VALUES (4711, 'certified lineage')")
		if err != nil || tag.String() != "INSERT 0 1" {
			return fmt.Errorf("run %d: %s, %w", h+1, tag, err)
		}
	}
	return nil
}

func (d *demo) killPrimary(ctx context.Context) error {
	conn, err := d.connect(ctx, 1, "orders")
	if err != nil {
		return err
	}
	defer closeConn(conn)
	killed := time.Now()
	if err := d.kill("server-a"); err != nil {
		return err
	}
	if err := poll(ctx, func() error {
		_, err := conn.Exec(ctx, "INSERT INTO report VALUES ($1, $2)", 5000, "after the loss")
		return err
	}); err != nil {
		return err
	}
	fmt.Printf("demo: writes land again %s after the kill\n", time.Since(killed).Round(time.Millisecond))
	var count int
	if err := conn.QueryRow(ctx, "SELECT count(*) FROM report").Scan(&count); err != nil {
		return err
	}
	if count != 4 {
		return fmt.Errorf("%d rows instead of 4: an acknowledged write was lost or run twice", count)
	}
	if err := d.basilmill(ctx, "group", "get", "--platform", d.platform.String(), string(groupID)); err != nil {
		return err
	}
	return d.basilmill(ctx, "host", "status", d.hosts[1].operatorAddress.String())
}

func (d *demo) shutdown(context.Context) error {
	for _, h := range d.hosts {
		if err := h.process.terminate(); err != nil {
			return fmt.Errorf("%s: %w", h.id, err)
		}
	}
	return nil
}

func closeConn(conn *pgx.Conn) { _ = conn.Close(context.Background()) }
