// Package entry assembles an entry host for a platform that registers the backend
// servers in its store. It owns the wiring of the catalogue synchronisation, the
// monitor of each group, the connection pools, the proxy and the listeners, the
// metrics, and the graceful shutdown.
package entry

import (
	"cmp"
	"context"
	"crypto/rand"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"

	"basilmill/core/budget"
	"basilmill/core/catalog"
	"basilmill/core/distribution"
	"basilmill/core/exchange"
	"basilmill/core/host"
	"basilmill/core/link"
	"basilmill/core/logevent"
	"basilmill/core/proxy"
	"basilmill/core/settings"
	"basilmill/core/takeover"
	"basilmill/io/operator"
	"basilmill/io/peer"
)

// Platform holds the services of the platform that a host uses, and the adapters
// to its protocols.
type Platform struct {
	// Source reads the catalogue from the store.
	Source catalog.Source
	// Objects, if set, reads the objects of the store, so that hosts can pass them
	// on, and Catalog decodes the catalogue from them.
	Objects          distribution.Source
	Catalog          func(distribution.Source) catalog.Source
	SavedServerStore catalog.SavedServerStore
	RecordStore      takeover.RecordStore
	PromotionService takeover.PromotionService
	Hosts            Hosts
	// Eras, if set, tracks the era of the store as its answers state it.
	Eras *distribution.Eras
	// Connect opens a connection to an address.
	Connect func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	// Dialer returns the dialer for backend servers. It speaks their protocol on
	// connections that are opened by connect.
	Dialer func(connect func(context.Context, catalog.Server) (net.Conn, error)) link.Dialer
	// CheckStatement, if set, returns an error for a statement that cannot be sent to a
	// backend server without a change of its text.
	CheckStatement func(exchange.Statement) error
	// Codec returns the protocol codec of a caller's connection.
	Codec func(net.Conn) Codec
	// Readiness returns the handler of the load balancer's readiness probe.
	Readiness func(ready func() bool) http.Handler
	// Reload applies changed settings to the clients of the platform.
	Reload func(settings.Entry)
	// Clock is a monotonic clock that includes the time the machine is suspended.
	Clock func() time.Duration
	// Budget, if set, bounds the memory that clients can make the process hold.
	Budget *budget.Budget
}

// Host is an entry host: it accepts callers and proxies their statements to
// backend servers.
type Host struct {
	settings settings.Entry
	platform Platform
	log      *logevent.Logger
	metrics  *metrics

	cache    *catalog.Cache
	groups   *groups
	peers    *peers
	relays   *relays
	detours  *detours
	gateways *gateways
	limits   *limits
	// successes are those of all hosts.
	successes *successes
	servers   *link.Registry
	proxy     *proxy.Proxy
	callers   *callers
	stopping  atomic.Bool
}

// New assembles a host. It serves nothing before Run.
func New(s settings.Entry, p Platform, log *slog.Logger) *Host {
	h := &Host{settings: s, platform: p, log: &logevent.Logger{Log: log}, metrics: newMetrics(), cache: &catalog.Cache{}}
	if h.platform.Eras == nil {
		h.platform.Eras = new(distribution.Eras)
	}
	h.platform.Eras.OnRise = h.handleRestored
	h.limitClients()
	h.peers = newPeers(h)
	h.relays = newRelays(h)
	h.peers.directory = distribution.Directory{Kind: kindHosts, Follower: &h.relays.follower, List: p.Hosts.ListHosts}
	h.detours = newDetours(h)
	h.servers = link.NewRegistry(h.cache, p.Dialer(h.detours.dialer.Connect))
	h.servers.Observer = poolObserver{h.metrics, h.log}
	h.gateways = newGateways(h)
	h.limits = newLimits(h)
	h.servers.DataCentres = h.gateways.client.DataCentres
	h.servers.IsHolder = h.gateways.client.IsHolder
	h.successes = newSuccesses(h)
	h.groups = newGroups(h)
	h.proxy = proxy.New(proxy.Config{
		Cache: h.cache, Monitor: h.groups.monitor, Sources: h.gateways.client.Source, DataCentre: s.DataCentre,
		ListServers: catalog.ServerLister{Source: p.Source}.Servers, ChangeInProgress: (&takeover.Inspector{Records: p.RecordStore, Eras: h.platform.Eras, NewUpdateID: rand.Text}).InProgress, Via: h.gateways.client.Via, LeaveTime: s.LeaveTime, Clock: p.Clock, Log: h.log, Admission: h.limits, Observe: h.metrics.observeStatement,
	})
	h.callers = newCallers(h)
	h.metrics.registerGauges(h)
	return h
}

// ObserveStoreCall records a call of the platform's store in the metrics.
func (h *Host) ObserveStoreCall(call string, status int, elapsed time.Duration) {
	h.metrics.storeCalls.WithLabelValues(call, strconv.Itoa(status)).Inc()
	h.metrics.storeDurations.WithLabelValues(call).Observe(elapsed.Seconds())
}

// era returns the newest era of the store that this host has seen.
func (h *Host) era() distribution.Era {
	era, _ := h.platform.Eras.Newest()
	return era
}

// handleRestored logs that the store was restored, with what this host believed before,
// and has the records checked that it may have lost.
func (h *Host) handleRestored(before, now distribution.Era) {
	h.groups.reportRestored()
	h.log.Write(context.Background(), logevent.StoreRestored, slog.Int64("era_before", int64(before)), slog.Int64("era", int64(now)),
		slog.Int64("configuration", int64(h.cache.View().ConfigVersion())), slog.Int("servers", len(h.cache.View().Servers)))
}

// info returns the identity, location and peer address of this host.
func (h *Host) info() host.Info {
	return host.Info{ID: h.settings.HostID, DataCentre: h.settings.DataCentre, Region: h.settings.Region, PeerAddress: h.settings.Operators}
}

// pool returns this host's own connections to a backend server.
func (h *Host) pool(server catalog.Server) link.Source { return h.servers.Pool(server) }

// hasAccounts reports whether the configuration in force has client accounts.
func (h *Host) hasAccounts() bool {
	config := h.cache.View().Config
	return config != nil && config.Accounts != nil
}

// ready reports whether the load balancer should send new connections.
func (h *Host) ready() bool {
	view := h.cache.View()
	return !h.stopping.Load() && view.Config != nil && len(view.Servers) > 0
}

// pruneInterval is the period between checks for idle connections and for servers
// without an entry.
const pruneInterval = 100 * time.Millisecond

// Run serves until ctx ends and then drains. Changed settings are received from
// reload.
func (h *Host) Run(ctx context.Context, reload <-chan settings.Entry) (err error) {
	defer func() { err = eris.Wrap(err, "entry host") }()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer h.gateways.peers.Close()
	defer h.relays.client.Close()
	var g run.Group
	h.addBackground(&g, background, stop, reload)
	if err := h.addServers(ctx, &g); err != nil {
		return err
	}
	h.log.Write(ctx, logevent.HostStarted, slog.String("host", string(h.settings.HostID)),
		slog.String("data_centre", string(h.settings.DataCentre)), slog.String("callers", h.settings.Callers.String()),
		slog.String("store", h.settings.Store.String()), slog.Duration("grace", h.settings.GraceTime))
	err = g.Run()
	h.log.Write(ctx, logevent.HostStopped, slog.String("host", string(h.settings.HostID)))
	return err
}

// addBackground adds the background tasks. They run on a context of their own,
// because they are needed while callers drain; stop cancels it.
func (h *Host) addBackground(g *run.Group, ctx context.Context, stop func(), reload <-chan settings.Entry) {
	reporter := newSyncReporter(h)
	syncer := &catalog.Syncer{
		Cache: h.cache, Source: h.relays.source(), SavedServerStore: h.platform.SavedServerStore, IsSaver: h.relays.follower.IsRelay,
		OnSourceCall: reporter.observeSourceCall, OnServerChange: reporter.logChange, OnRestore: reporter.logRestored, OnInvalidConfig: reporter.logInvalidConfig,
		Eras: h.platform.Eras, ConfigTTL: h.settings.ConfigTTL(), ServersTTL: h.settings.ServersTTL(),
		Clock: h.platform.Clock,
	}
	add := func(f func(context.Context) error) {
		g.Add(func() error { return f(ctx) }, func(error) { stop() })
	}
	add(syncer.SyncServers)
	add(syncer.SyncConfig)
	add(syncer.SyncSavedServers)
	add(h.groups.run)
	add(h.peers.registration.Run)
	add(h.peers.sweeper.Run)
	add(func(ctx context.Context) error { return h.pruneLoop(ctx) })
	add(h.closeStalled)
	add(func(ctx context.Context) error { return h.reload(ctx, reload) })
}

// addServers adds the listeners for callers, readiness probes and, if an address
// is set, operators and other hosts.
func (h *Host) addServers(ctx context.Context, g *run.Group) error {
	listener, err := listen(ctx, h.settings.Callers, h.settings.SocketBuffer(h.settings.ConnectionLimit))
	if err != nil {
		return err
	}
	g.Add(func() error { return h.serveCallers(ctx, listener) }, func(error) { _ = listener.Close() })
	readiness := &http.Server{Handler: h.platform.Readiness(h.ready), ReadHeaderTimeout: headerTimeout, ReadTimeout: requestTimeout, WriteTimeout: requestTimeout, IdleTimeout: probeIdleTimeout}
	if err := h.addHTTP(ctx, g, h.settings.Readiness, readiness, h.settings.ReadinessConnectionLimit); err != nil {
		return err
	}
	if !h.settings.Operators.IsValid() {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+operator.RoutePath, h.explainRoute)
	mux.Handle("GET /metrics", limitWriteTime(promhttp.HandlerFor(h.metrics.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})))
	mux.Handle(peer.ProvenPositionHandler(h.peers.latestProof))
	mux.Handle(peer.SuccessesHandler(h.successes.exclude))
	mux.Handle(h.detours.relay.Handler())
	mux.Handle(peer.LimitsHandler(h.limits))
	path, gatewayHandler := peer.GatewayHandler(&h.gateways.service)
	mux.Handle(path, peer.LimitBatches(gatewayHandler, h.platform.Budget))
	mux.Handle(peer.PullHandler(h.info(), &h.relays.relay))
	hosts := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, IdleTimeout: hostIdleTimeout, HTTP2: peer.HostHTTP2()}
	return h.addHTTP(ctx, g, h.settings.Operators, hosts, h.settings.HostConnectionLimit)
}

// listen opens a TCP listener. Its connections end when the peer has been unreachable
// for unreachableTimeout, idle or not. bufferSize, if not zero, is the size of the buffers
// of each connection in the kernel.
func listen(ctx context.Context, address netip.AddrPort, bufferSize int) (net.Listener, error) {
	config := net.ListenConfig{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			// Accepted connections inherit the options.
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unreachableTimeout/time.Millisecond))
				if bufferSize > 0 {
					optionErr = cmp.Or(optionErr, unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, bufferSize),
						unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, bufferSize))
				}
			})
			return cmp.Or(err, optionErr)
		},
	}
	return config.Listen(ctx, "tcp", address.String())
}

const (
	// keepAliveInterval is the period of keep-alive probes on an idle connection, and
	// the idle time before the first one.
	keepAliveInterval = time.Second
	// unreachableTimeout is how long data may stay unacknowledged. Backend servers
	// close the connections of an unreachable peer after the same time.
	unreachableTimeout = 3 * time.Second
)

// headerTimeout bounds the wait for the headers of an HTTP request.
const headerTimeout = 2 * time.Second

// addHTTP adds an HTTP server with a limit of connections.
func (h *Host) addHTTP(ctx context.Context, g *run.Group, address netip.AddrPort, server *http.Server, connections int) error {
	listener, err := listen(ctx, address, h.settings.SocketBuffer(connections))
	if err != nil {
		return err
	}
	server.MaxHeaderBytes, server.Protocols = maxHeaderSize, new(http.Protocols)
	server.ConnState = (&places{limit: connections, onClose: func(peer string) { h.clientClosed(peer, budget.Places) }}).observe
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	g.Add(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	}, func(error) { _ = server.Close() })
	return nil
}

// serveCallers serves callers until ctx ends and then drains them.
func (h *Host) serveCallers(ctx context.Context, listener net.Listener) error {
	go h.callers.serve(listener) //nolint:gosec // callers are served beyond ctx while they drain
	<-ctx.Done()
	h.stopping.Store(true)
	h.log.Write(ctx, logevent.HostStopping, slog.Int("callers", h.callers.count()), slog.Duration("grace", h.settings.GraceTime))
	started := time.Now()
	h.detours.relay.Close()
	h.gateways.service.Close()
	h.relays.relay.Close()
	h.callers.drain(listener, h.settings.GraceTime)
	// Let the statements finish that other hosts have sent through this one.
	for (h.detours.relay.ActiveWithin(relayIdleThreshold) || h.gateways.service.Active() > 0) && time.Since(started) < h.settings.GraceTime-flushGracePeriod {
		time.Sleep(drainPollInterval)
	}
	return nil
}

// pruneLoop regularly closes idle connections and drops servers without an entry.
func (h *Host) pruneLoop(ctx context.Context) error {
	ticker := time.NewTicker(pruneInterval)
	defer ticker.Stop()
	var pruned *catalog.View
	revoking := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			for _, id := range h.cache.Expire() {
				h.log.Write(ctx, logevent.BackendServerGone, slog.String("server", string(id)), slog.String("why", "no entry"))
			}
			h.limits.tick()
			h.servers.Prune(h.gateways.client.IsGateway)
			h.gateways.checkHolders(ctx)
			view := h.cache.View()
			if revoking || view != pruned && h.hasAccounts() {
				revoking = h.callers.closeRevoked(h.settings.RevocationDelay())
			}
			if view != pruned {
				h.gateways.prune(view)
				h.proxy.Prune(view)
				pruned = view
			}
		}
	}
}

// reload applies changed settings.
func (h *Host) reload(ctx context.Context, changes <-chan settings.Entry) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-changes:
			h.platform.Reload(s)
			h.log.Write(ctx, logevent.SettingsReloaded, slog.String("store", s.Store.String()), slog.String("orders", s.Orders.String()))
		}
	}
}
