package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/cmd/entry"
	"basilmill/core/catalog"
	"basilmill/core/group"
	corehost "basilmill/core/host"
	"basilmill/core/link"
	"basilmill/core/settings"
	"basilmill/platform"
	"basilmill/standin/replicated"
)

// source is a catalogue that does not change.
type source struct{ world *replicated.Cluster }

func (s source) ListServers(context.Context) (entries []catalog.Change, at catalog.Revision, err error) {
	for _, server := range s.world.ServerEntries() {
		entries = append(entries, catalog.Change{ID: server.ID, Server: &server})
	}
	return entries, 1, nil
}

func (s source) WatchServers(ctx context.Context, from catalog.Revision, wait time.Duration) ([]catalog.Change, catalog.Revision, error) {
	return nil, from, hold(ctx, wait)
}

func (source) ListConfig(context.Context) (*catalog.Config, catalog.Revision, error) {
	return &catalog.Config{
		Version: 1,
		Routes: map[string]catalog.Route{"orders": {
			Name: "r", Database: "orders", Group: replicated.Group, StatementTimeout: time.Second, Target: 300 * time.Millisecond,
		}},
		Groups:            map[group.ID]catalog.Group{replicated.Group: {ID: replicated.Group, ConnectionLimit: 16}},
		IdleInTransaction: 3 * time.Second,
	}, 1, nil
}

func (source) WatchConfig(ctx context.Context, from catalog.Revision, wait time.Duration) (*catalog.Config, catalog.Revision, error) {
	return nil, from, hold(ctx, wait)
}

// noHosts is a list without other hosts.
type noHosts struct{}

func (noHosts) RegisterHost(context.Context, corehost.Info) error { return nil }

func (noHosts) ListHosts(context.Context) ([]corehost.Info, error) { return nil, nil }

// noMemory remembers nothing.
type noMemory struct{}

func (noMemory) Recall(context.Context) (catalog.Remembered, error) { return catalog.Remembered{}, nil }

func (noMemory) Remember(context.Context, catalog.Remembered) error { return nil }

func hold(ctx context.Context, wait time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(wait):
		return nil
	}
}

// grace is the grace time of the tests.
const grace = 3 * time.Second

// host is a running entry host on loopback.
type host struct {
	settings settings.Entry
	stop     context.CancelFunc
	ended    chan error
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

func start(t *testing.T) *host {
	t.Helper()
	world := replicated.New()
	t.Cleanup(world.Stop)
	h := &host{ended: make(chan error, 1), settings: settings.Entry{
		HostID: "h1", DataCentre: "dc-a", Callers: freeAddress(t), Readiness: freeAddress(t), Operators: freeAddress(t), GraceTime: grace,
	}.WithDefaults()}
	started := time.Now()
	e := entry.New(h.settings, entry.Platform{
		Source: source{world}, Memory: noMemory{}, Ledger: world, Hosts: noHosts{}, Orders: world,
		Dialer:    func(func(context.Context, catalog.Server) (net.Conn, error)) link.Dialer { return world },
		Codec:     func(c net.Conn) entry.Codec { return platform.NewCaller(c) },
		Readiness: platform.ReadinessHandler,
		Reload:    func(settings.Entry) {},
		Clock:     func() time.Duration { return time.Since(started) },
	}, slog.New(slog.NewTextHandler(io.Discard, nil)))
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	t.Cleanup(cancel)
	go func() { h.ended <- e.Run(ctx, nil) }()
	h.awaitReady(t, http.StatusOK)
	return h
}

// readiness returns the status of a probe, zero if nothing answers.
func (h *host) readiness() int {
	response, err := http.Get(fmt.Sprintf("http://%s/basilmill/readiness", h.settings.Readiness))
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (h *host) awaitReady(t *testing.T, want int) {
	t.Helper()
	// The host is given the time that its platform gives it at the start.
	deadline := time.Now().Add(10 * time.Second)
	for h.readiness() != want {
		if time.Now().After(deadline) {
			t.Fatalf("readiness is %d", h.readiness())
		}
		time.Sleep(10 * time.Millisecond) // Real sockets have no paused clock.
	}
}

// caller is a connection with the platform's protocol.
type caller struct {
	conn    net.Conn
	scanner *bufio.Scanner
}

func (h *host) dial(t *testing.T, opening string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", h.settings.Callers.String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	c := &caller{conn: conn, scanner: bufio.NewScanner(conn)}
	c.send(opening)
	return c
}

func (c *caller) send(line string) { _, _ = io.WriteString(c.conn, line+"\r\n") }

// line returns the next line, empty at the end of the connection.
func (c *caller) line() string {
	if !c.scanner.Scan() {
		return ""
	}
	return strings.TrimSuffix(c.scanner.Text(), "\r")
}

// ask sends a statement and returns the lines up to READY.
func (c *caller) ask(statement string) (lines []string) {
	c.send("QUERY 1 " + statement)
	for {
		line := c.line()
		if line == "" {
			return lines
		}
		lines = append(lines, line)
		if strings.HasPrefix(line, "READY") {
			return lines
		}
	}
}

func TestWholePath(t *testing.T) {
	h := start(t)
	c := h.dial(t, "CONNECT orders u1")
	assert.Equal(t, c.line(), "READY I -")
	lines := c.ask("WRITE item data")
	assert.Equal(t, len(lines), 2)
	assert.Assert(t, strings.HasPrefix(lines[0], "COMPLETE d"), "%v", lines)
	lines = c.ask("READ item")
	assert.Equal(t, lines[0], "ROW item")
	assert.DeepEqual(t, c.ask("BEGIN"), []string{"COMPLETE -", "READY T -"})
	assert.Equal(t, len(c.ask("READ item")), 3)
	assert.Assert(t, strings.HasPrefix(c.ask("COMMIT")[0], "COMPLETE d"))
	assert.Assert(t, strings.HasPrefix(c.ask("DROP everything")[0], "ERROR MALFORMED"))

	response, err := http.Get(fmt.Sprintf("http://%s/metrics", h.settings.Operators))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	for _, want := range []string{
		`basilmill_statements_total{class="current",outcome="done"} 4`,
		`basilmill_statement_duration_seconds_count{class="current"} 4`,
		`basilmill_connection_wait_seconds_count{result="granted"}`,
		`basilmill_connection_hold_seconds_count{use="exclusive"} 1`,
		`basilmill_primary_proof_age_seconds{group="orders"}`,
		`basilmill_view_confirmed_timestamp_seconds{part="servers"}`,
		`basilmill_connections_window`,
		`basilmill_relayed_connections 0`,
	} {
		assert.Assert(t, strings.Contains(string(body), want), "%s lacks %s", body, want)
	}
}

// Bad input gets an error or a close and disturbs nobody.
func TestBadInput(t *testing.T) {
	h := start(t)
	good := h.dial(t, "CONNECT orders u1")
	assert.Equal(t, good.line(), "READY I -")
	for opening, want := range map[string]string{
		"CONNECT nothing u1":               "ERROR NODB",
		"GET / HTTP/1.1":                   "ERROR MALFORMED",
		"CONNECT":                          "ERROR MALFORMED",
		strings.Repeat("CONNECT ", 1<<18):  "ERROR TOOLARGE",
		"CONNECT orders u\r\nNONSENSE now": "READY I -",
	} {
		c := h.dial(t, opening)
		line := c.line()
		assert.Assert(t, strings.HasPrefix(line, want), "%.40q: %q", opening, line)
	}
	_ = h.dial(t, "CONNECT orders u1\r\nQUERY 1 READ unfinis").conn.Close()
	assert.Equal(t, len(good.ask("READ item")), 3)
}

// A stopping host is not ready at once, answers what it has read, gives open
// transactions half of the grace time and closes idle sessions.
func TestDrain(t *testing.T) {
	h := start(t)
	idle, busy := h.dial(t, "CONNECT orders u1"), h.dial(t, "CONNECT orders u2")
	assert.Equal(t, idle.line(), "READY I -")
	assert.Equal(t, busy.line(), "READY I -")
	busy.ask("BEGIN")
	busy.ask("WRITE item data")
	stopped := time.Now()
	h.stop()
	h.awaitReady(t, http.StatusServiceUnavailable)
	assert.Equal(t, len(idle.ask("READ item")), 3)
	assert.Assert(t, strings.HasPrefix(busy.ask("COMMIT")[0], "COMPLETE d"))
	assert.Equal(t, idle.line(), "")
	assert.NilError(t, <-h.ended)
	assert.Assert(t, time.Since(stopped) < grace, "took %v", time.Since(stopped))
}

// A transaction that does not end in its time is rolled back, so that the host
// stops within the grace time.
func TestDrainEndsIdleTransactions(t *testing.T) {
	h := start(t)
	c := h.dial(t, "CONNECT orders u1")
	assert.Equal(t, c.line(), "READY I -")
	c.ask("BEGIN")
	c.ask("WRITE item data")
	stopped := time.Now()
	h.stop()
	assert.Equal(t, c.line(), "")
	assert.Assert(t, time.Since(stopped) >= grace/2, "closed after %v", time.Since(stopped))
	assert.NilError(t, <-h.ended)
	assert.Assert(t, time.Since(stopped) < grace, "took %v", time.Since(stopped))
}
