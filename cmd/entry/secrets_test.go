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
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/cmd/entry"
	"basilmill/core/catalog"
	"basilmill/core/distribution"
	corehost "basilmill/core/host"
	"basilmill/core/link"
	"basilmill/core/settings"
	"basilmill/io/peer"
	"basilmill/platform"
	"basilmill/standin/objectstore"
)

// serveLines plays a backend server that is the primary of its group: it answers every
// statement. It records what it receives.
func serveLines(t *testing.T, received io.Writer) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go answerLines(conn, received)
		}
	}()
	return listener.Addr().String()
}

func answerLines(conn net.Conn, received io.Writer) {
	defer func() { _ = conn.Close() }()
	state := "I"
	for scanner := bufio.NewScanner(conn); scanner.Scan(); {
		line := strings.TrimSuffix(scanner.Text(), "\r")
		_, _ = fmt.Fprintln(received, line)
		rows := ""
		switch {
		case strings.HasPrefix(line, "CONNECT"):
			_, _ = io.WriteString(conn, "READY I 1.5\r\n")
			continue
		case strings.HasSuffix(line, "STATUS"):
			rows = "ROW primary 1 1.5 0 0 0 1\r\n"
		case strings.HasSuffix(line, "BEGIN"):
			state = "T"
		case strings.HasSuffix(line, "COMMIT"), strings.HasSuffix(line, "ROLLBACK"):
			state = "I"
		}
		_, _ = fmt.Fprintf(conn, "%sCOMPLETE 1.a\r\nREADY %s 1.5\r\n", rows, state)
	}
}

// recordingConn records what is sent and received on a connection.
type recordingConn struct {
	net.Conn
	record io.Writer
}

func (c recordingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	_, _ = c.record.Write(p[:n])
	return n, err
}

func (c recordingConn) Write(p []byte) (int, error) {
	_, _ = c.record.Write(p)
	return c.Conn.Write(p)
}

// recordingStore passes calls to the store and records what is sent to it.
type recordingStore struct {
	store  *objectstore.Server
	record io.Writer
}

func (s recordingStore) RoundTrip(request *http.Request) (*http.Response, error) {
	_, _ = fmt.Fprintln(s.record, request.Method, request.URL, request.Header)
	if request.Body != nil {
		request.Body = struct {
			io.Reader
			io.Closer
		}{io.TeeReader(request.Body, s.record), request.Body}
	}
	return s.store.RoundTrip(request)
}

// startPlatformHost starts a host of a data centre that uses the platform's protocols, and
// records its log and its messages to others.
func startPlatformHost(t *testing.T, id string, store *objectstore.Server, record io.Writer) *host {
	t.Helper()
	h := &host{done: make(chan error, 1), settings: settings.Entry{
		HostID: corehost.ID(id), DataCentre: "dc-a", GraceTime: gracePeriod, ConfigTime: time.Second, RevokeTime: revokeTime,
		Callers: freeAddress(t), Readiness: freeAddress(t), Operators: freeAddress(t),
	}.WithDefaults()}
	client := platform.NewStoreClient(netip.MustParseAddrPort("10.9.0.1:80"))
	client.SetTransport(recordingStore{store, record})
	started := time.Now()
	e := entry.New(h.settings, entry.Platform{
		Source: client, Objects: client, Catalog: func(objects distribution.Source) catalog.Source { return platform.Catalog{Objects: objects} },
		SavedServerStore: client, RecordStore: client, Hosts: client, Eras: &client.Eras,
		PromotionService: platform.NewPromotionClient(netip.MustParseAddrPort("127.0.0.1:1")),
		Connect: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			conn, err := platform.Connect(ctx, address)
			return recordingConn{conn, record}, err
		},
		Dialer: func(connect func(context.Context, catalog.Server) (net.Conn, error)) link.Dialer {
			return platform.Dialer{Connect: connect}
		},
		Codec: newCodec, Readiness: platform.ReadinessHandler, Reload: func(settings.Entry) {},
		Clock: func() time.Duration { return time.Hour + time.Since(started) },
	}, slog.New(slog.NewJSONHandler(record, &slog.HandlerOptions{Level: slog.LevelDebug})))
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	t.Cleanup(cancel)
	go func() { h.done <- e.Run(ctx, nil) }()
	h.awaitReady(t, http.StatusOK)
	return h
}

// pullConfig returns the copy of the configuration that a host passes on, nil if it is not
// current.
func (h *host) pullConfig(t *testing.T) []byte {
	t.Helper()
	self := corehost.Info{ID: "test", DataCentre: "dc-a", PeerAddress: h.settings.Operators}
	client := peer.NewClient(func() corehost.Info { return self }, nil)
	defer client.Close()
	reply, _, err := client.Pull(context.Background(), self, peer.Pull{Kind: "config"})
	assert.NilError(t, err)
	if !reply.Current || len(reply.Update.Objects) == 0 {
		return nil
	}
	return reply.Update.Objects[0].Value
}

// relayedHosts is a number of hosts of a data centre with which some follow relays.
const relayedHosts = 5

// No API key may be in what a process puts out: its log and metrics, its messages to other
// hosts, to the store and to servers, and its answers to callers.
func TestNoKeyLeavesAProcess(t *testing.T) {
	const known, unknown, late = "s3cr3t-known", "s3cr3t-unknown", "s3cr3t-late"
	store := &objectstore.Server{}
	var output syncBuffer
	writeConfig := func(version int, tenants string) {
		store.WriteRaw("config", "main", []byte(fmt.Sprintf(`{"configVersion":%d,"routes":[{"name":"route-of-%d","host":"orders","routeType":"primary","service":"svc","timeoutMs":1000,"targetLatencyMs":300}],
			"services":[{"name":"svc","maxConns":16,"syncReplicas":0}],"tenants":%s}`, version, version, tenants)))
	}
	writeConfig(1, `[{"name":"acct-a","apiKeys":["`+known+`"],"ratePerS":100}]`)
	store.WriteRaw("servers", "i-1", []byte(fmt.Sprintf(`{"service":"svc","address":%q,"zone":"dc-a","state":"ready","dbRole":"primary","sequence":1,"born":1000,"slots":4,"configVersion":"v1","coldRemainingMs":0}`, serveLines(t, &output))))
	var hosts []*host
	for i := range relayedHosts {
		hosts = append(hosts, startPlatformHost(t, fmt.Sprint("h", i), store, &output))
	}
	serve := func(key string) {
		for _, h := range hosts {
			c := h.dial(t, "CONNECT orders "+key)
			line := c.readLine()
			_, _ = io.WriteString(&output, line+"\n")
			if line != "READY I -" {
				assert.Assert(t, strings.HasPrefix(line, "ERROR UNAUTH"), line)
				continue
			}
			for _, statement := range []string{"READ item", "BEGIN", "READ item", "COMMIT", "NONSENSE"} {
				_, _ = fmt.Fprintln(&output, c.query(statement))
			}
		}
	}
	serve(known)
	serve(unknown)
	for deadline := time.Now().Add(20 * time.Second); !slices.ContainsFunc(hosts, func(h *host) bool {
		return strings.Contains(h.metrics(t), `basilmill_pulls_total{result="current"}`)
	}); {
		if time.Now().After(deadline) {
			t.Fatal("no host follows a relay")
		}
		time.Sleep(100 * time.Millisecond) // Real sockets do not work with a fake clock.
	}
	// An invalid configuration, then one that removes the key and adds another.
	writeConfig(2, `[{"name":"acct-a","apiKeys":["`+known+`"]},{"name":"acct-b","apiKeys":["`+known+`"]}]`)
	awaitOutput(t, &output, `"Name":"ObjectInvalid"`, "tenants[1].apiKeys[0]: repeats tenants[0].apiKeys[0]")
	writeConfig(3, `[{"name":"acct-b","apiKeys":["`+late+`"]}]`)
	awaitOutput(t, &output, `"Name":"ConfigurationApplied"`, `"version":3`)
	serve(known)
	serve(late)
	assert.Check(t, output.count(`"name":"route-of-3"`) > 0, "the messages between hosts are not recorded")
	relays := 0
	for _, h := range hosts {
		_, _ = io.WriteString(&output, h.metrics(t))
		// A host that has just begun to follow the relays still has an older copy.
		value := h.pullConfig(t)
		if strings.Contains(string(value), "route-of-3") && strings.Contains(string(value), "acct-b") {
			relays++
		}
		_, _ = output.Write(append(value, '\n'))
	}
	assert.Assert(t, relays > 0)
	// The search would find nothing in output that is not recorded.
	for _, text := range []string{"KeyRefused", "basilmill_account_statements_total{", "READ item", "CONNECT svc", "route-of-3", "ERROR UNAUTH"} {
		assert.Check(t, output.count(text) > 0, "the output lacks %s", text)
	}
	assert.Equal(t, output.count("s3cr3t"), 0)
}

// awaitOutput waits until each host has written a line with all texts.
func awaitOutput(t *testing.T, output *syncBuffer, texts ...string) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); output.count(texts...) < relayedHosts; {
		if time.Now().After(deadline) {
			t.Fatalf("%d lines with %q", output.count(texts...), texts)
		}
		time.Sleep(10 * time.Millisecond) // Real sockets do not work with a fake clock.
	}
}
