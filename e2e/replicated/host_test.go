package replicated_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"testing"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/lead"
	"basilmill/core/link"
	"basilmill/core/logevent"
	"basilmill/core/proxy"
	"basilmill/core/takeover"
	"basilmill/standin/replicated"
)

// Databases of the test configuration, one for each class of routes.
const (
	currentDB = "current"
	agedDB    = "aged"
	ownDB     = "own"
)

// maxAge is the age that the aged and own routes allow.
const maxAge = 1500 * time.Millisecond

// entryHost is one entry host without listeners.
type entryHost struct {
	id       host.ID
	world    *replicated.Cluster
	book     *catalog.Cache
	registry *link.Registry
	monitor  *lead.Monitor
	proxy    *proxy.Proxy
	cancel   context.CancelFunc
	view     func([]catalog.Server) []catalog.Server
}

// parts replaces parts of a host, for mutants.
type parts struct {
	databases func(takeover.ServerClient) takeover.ServerClient
	ledger    func(takeover.RecordStore) takeover.RecordStore
	// view changes the list of servers that the host follows.
	view func([]catalog.Server) []catalog.Server
	// observe receives the result of each statement.
	observe func(proxy.Result)
}

func testConfig() *catalog.Config {
	route := func(name string, class catalog.Consistency) catalog.Route {
		return catalog.Route{
			Name: name, Database: name, Group: replicated.Group, Consistency: class, MaxAge: maxAge,
			StatementTimeout: 800 * time.Millisecond, TargetLatency: 300 * time.Millisecond,
		}
	}
	return &catalog.Config{
		Version: 1,
		Routes: map[string]catalog.Route{
			currentDB: route(currentDB, catalog.Current), agedDB: route(agedDB, catalog.BoundedAge), ownDB: route(ownDB, catalog.OwnWrites),
		},
		Groups:                   map[group.ID]catalog.Group{replicated.Group: {ID: replicated.Group, ConnectionLimit: 16, SyncReplicas: 1}},
		IdleInTransactionTimeout: 3 * time.Second,
	}
}

// startHost starts a host. Stop it with its cancel function.
func startHost(world *replicated.Cluster, id host.ID, p parts) *entryHost {
	started := time.Now()
	clock := func() time.Duration { return time.Since(started) }
	log := &logevent.Logger{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
	h := &entryHost{id: id, world: world, book: &catalog.Cache{}}
	h.book.SetConfig(testConfig())
	h.view = p.view
	if h.view == nil {
		h.view = func(servers []catalog.Server) []catalog.Server { return servers }
	}
	h.book.ReplaceServers(h.view(world.ServerEntries()))
	h.registry = link.NewRegistry(h.book, world)
	var databases takeover.ServerClient = h.registry
	if p.databases != nil {
		databases = p.databases(databases)
	}
	var ledger takeover.RecordStore = world
	if p.ledger != nil {
		ledger = p.ledger(ledger)
	}
	attempts := 0
	runner := &takeover.Runner{
		Self: id, Client: databases, Records: ledger, ServerLister: world, Promotions: world,
		NewUpdateID: func() string { attempts++; return fmt.Sprint(id, "-", attempts) },
	}
	h.monitor = lead.New(lead.Config{
		Group: replicated.Group, Cache: h.book, Client: h.registry, PrimaryChanger: runner, Clock: clock, Log: log, DataCentre: "dc-b",
	})
	h.proxy = proxy.New(proxy.Config{
		Cache: h.book, Monitor: func(group.ID) *lead.Monitor { return h.monitor }, Pool: h.registry.Pool,
		DataCentre: "dc-b", Clock: clock, Log: log, Observe: p.observe,
	})
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { _ = h.monitor.Run(ctx) }()
	go h.follow(ctx)
	return h
}

// follow keeps the book up to date and closes connections, as a host does.
func (h *entryHost) follow(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			h.book.ReplaceServers(nil)
			h.registry.CloseAll()
			return
		case <-ticker.C:
			h.book.ReplaceServers(h.view(h.world.ServerEntries()))
			h.book.Expire()
			h.registry.Prune()
		}
	}
}

// settleTime is longer than a host that has just started waits for servers to
// register before it replaces a primary.
const settleTime = 3 * time.Second

// settled waits until the host knows the leader and acts on its loss.
func (h *entryHost) settled(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !h.monitor.Snapshot().PrimaryKnown {
		if time.Now().After(deadline) {
			t.Fatalf("host %s knows no leader", h.id)
		}
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(settleTime)
}

func (h *entryHost) open(t interface {
	Helper()
	Fatalf(string, ...any)
}, database string,
) *proxy.Session {
	t.Helper()
	s, failure := h.proxy.Open(context.Background(), database)
	if failure != nil {
		t.Fatalf("open %s: %v", database, failure)
	}
	return s
}

// Statements of the tests.
func read(id string) exchange.Statement {
	return exchange.Statement{ID: exchange.StatementID(id), Operation: exchange.Read, Arguments: "item"}
}

func write(id string) exchange.Statement {
	return exchange.Statement{ID: exchange.StatementID(id), Operation: exchange.Write, Arguments: "item data"}
}

func operation(o exchange.Operation, id string) exchange.Statement {
	return exchange.Statement{ID: exchange.StatementID(id), Operation: o}
}

func set(name, value string) exchange.Statement {
	return exchange.Statement{ID: "s", Operation: exchange.Set, Name: name, Value: value}
}

// runOf returns the run that a digest proves.
func runOf(world *replicated.Cluster, digest string) (replicated.Execution, bool) {
	runs := world.Executions()
	i := slices.IndexFunc(runs, func(r replicated.Execution) bool { return r.Digest == digest })
	if i < 0 {
		return replicated.Execution{}, false
	}
	return runs[i], true
}

// stop ends the hosts and the world, and waits until nothing is under way.
func stop(world *replicated.Cluster, hosts ...*entryHost) {
	for _, h := range hosts {
		h.cancel()
	}
	time.Sleep(10 * time.Second)
	world.Stop()
	time.Sleep(10 * time.Second)
}
