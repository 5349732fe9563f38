// Package serve assembles an entry host: the control thread, the distribution
// of the platform's objects, the servers for callers, other hosts and
// operators, and the graceful shutdown. It owns the goroutines that carry out
// the decisions of the core packages.
package serve

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"

	"basilmill/core/account"
	"basilmill/core/control"
	"basilmill/core/failover"
	"basilmill/core/floor"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/logevent"
	"basilmill/core/retry"
	"basilmill/core/settings"
	"basilmill/io/backendserver"
	"basilmill/io/caller"
	"basilmill/io/operator"
	"basilmill/io/peer"
	"basilmill/io/platform"
)

// Host is one entry host: it serves callers, other hosts and operators.
type Host struct {
	settings settings.Settings
	self     host.Info
	log      *logevent.Logger
	metrics  *metrics
	network  Network

	thread      *control.Thread
	platform    *platform.Client
	peers       *peer.Client
	local       *backendserver.LocalConnector
	runner      *runner
	callerHost  *callerHost
	distributor *distributor

	listeners    listeners
	callerServer *caller.Server
	peerServer   *peer.Server
	leaving      atomic.Bool
	// ctx ends the background work. It stays valid during the drain.
	ctx    context.Context
	cancel context.CancelFunc
}

type listeners struct{ callers, peers, operators net.Listener }

// Network opens listeners and connections. The zero value uses TCP.
type Network struct {
	Listen func(ctx context.Context, network, address string) (net.Listener, error)
	Dial   func(ctx context.Context, network, address string) (net.Conn, error)
}

// dialTimeout bounds the opening of a TCP connection. The one-way latency
// between regions is about 20 ms.
const dialTimeout = time.Second

func (n Network) withDefaults() Network {
	if n.Listen == nil {
		n.Listen = (&net.ListenConfig{}).Listen
	}
	if n.Dial == nil {
		n.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return n
}

// New opens the listeners of a host and assembles it. The host serves nothing
// until Run is called.
func New(ctx context.Context, s settings.Settings, log *slog.Logger, network Network) (h *Host, err error) {
	defer func() { err = eris.Wrap(err, "serve: start the host") }()
	h = &Host{settings: s, log: &logevent.Logger{Log: log}, metrics: newMetrics(), network: network.withDefaults()}
	h.ctx, h.cancel = context.WithCancel(context.WithoutCancel(ctx))
	tlsConfig, err := loadTLS(s.TLS)
	if err != nil {
		return nil, err
	}
	if err := h.listen(ctx); err != nil {
		return nil, err
	}
	h.self = host.Info{
		ID:          s.HostID,
		DataCentre:  s.DataCentre,
		Region:      s.Region,
		PeerAddress: addressOf(h.listeners.peers),
	}
	h.assemble(tlsConfig)
	return h, nil
}

// loadTLS returns nil if no certificate is configured.
func loadTLS(files settings.TLS) (*tls.Config, error) {
	if files.Certificate == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, eris.Wrap(err, "load the TLS certificate")
	}
	return &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS12}, nil
}

// listen opens all listeners. If one fails, it closes those already open.
func (h *Host) listen(ctx context.Context) (err error) {
	for _, l := range []struct {
		listener *net.Listener
		address  netip.AddrPort
	}{
		{&h.listeners.callers, h.settings.Listen},
		{&h.listeners.peers, h.settings.PeerListen},
		{&h.listeners.operators, h.settings.OperatorListen},
	} {
		if *l.listener, err = h.network.Listen(ctx, "tcp", l.address.String()); err != nil {
			h.closeListeners()
			h.log.Write(ctx, logevent.ListenerFailed, slog.String("Address", l.address.String()), slog.String("Error", err.Error()))
			return err
		}
	}
	return nil
}

func (h *Host) closeListeners() {
	for _, l := range []net.Listener{h.listeners.callers, h.listeners.peers, h.listeners.operators} {
		if l != nil {
			_ = l.Close()
		}
	}
}

func addressOf(l net.Listener) netip.AddrPort {
	address, _ := netip.ParseAddrPort(l.Addr().String())
	return address
}

// assemble creates and connects the parts of the host.
func (h *Host) assemble(tlsConfig *tls.Config) {
	dialer := backendserver.Dialer{
		User: h.settings.Backend.User, Password: h.settings.Backend.Password, DialFunc: h.network.Dial,
	}
	h.platform = platform.NewClient(h.settings.Platform, platform.Options{Transport: &http.Transport{DialContext: h.network.Dial}})
	h.peers = peer.NewClient(h.Self, h.network.Dial)
	h.local = backendserver.NewLocalConnector(backendserver.LocalConnectorConfig{
		Dialer:           dialer,
		ObserveQueueTime: h.metrics.observeQueueTime,
		ObserveLoss:      h.backendConnectionLost,
	})
	h.runner = &runner{
		ctx: h.ctx, self: h.self, post: h.post, snapshot: h.snapshot, platform: h.platform, peers: h.peers, dialer: dialer,
		log: h.log, metrics: h.metrics, local: h.local,
		coordinations:       make(map[group.ID]*coordination),
		pendingObservations: make(map[observationKey][]chan bool),
	}
	h.thread = control.New(control.Config{
		Self:     h.self,
		Decoder:  decoder{},
		Failover: failover.Config{ProbeInterval: h.settings.ProbeInterval},
		OnAction: h.runner.handleAction,
	})
	h.callerHost = &callerHost{
		ctx: h.ctx, snapshot: h.snapshot, post: h.post, peers: h.peers, local: h.local, log: h.log, metrics: h.metrics,
		router: &router{
			runner: h.runner, lossTimes: make(map[serverKey]time.Time),
			resolvers: make(map[group.ID]*floor.Resolver), refreshScheduled: make(map[serverKey]bool),
		},
		lastSuspicion: make(map[serverKey]time.Time),
		shares:        make(map[shareKey]account.Sharing),
		budgets:       make(map[account.ID]*retry.Budget),
	}
	h.distributor = &distributor{post: h.post, snapshot: h.snapshot, platform: h.platform, peers: h.peers, seeds: h.settings.Peers, log: h.log}
	h.callerServer = caller.New(h.callerHost, caller.Config{
		TLS: tlsConfig, HostKey: hostKey(h.self.ID), ForwardCancel: h.forwardCancel,
	})
	h.peerServer = peer.NewServer(h.Self, &peerHandler{
		post: h.post, snapshot: h.snapshot, runner: h.runner, callerHost: h.callerHost, hostList: &h.distributor.hosts, callerServer: h.callerServer,
	})
}

// hostKey returns the part of a cancel key that identifies the host.
func hostKey(id host.ID) uint16 { return uint16(xxhash.Sum64String(string(id))) }

// forwardCancel forwards a cancel request that the load balancer sent to this
// host to the host that serves the session. Host keys are short, so several
// hosts may have the same one; their sessions differ in the secret.
func (h *Host) forwardCancel(ctx context.Context, key uint16, request pgproto3.CancelRequest) {
	for _, to := range otherHosts(h.snapshot().Hosts, h.self.ID) {
		if hostKey(to.ID) == key {
			_ = h.peers.Cancel(ctx, to, request.ProcessID, request.SecretKey)
		}
	}
}

func (h *Host) post(input control.Input)    { h.thread.Post(input) }
func (h *Host) snapshot() *control.Snapshot { return h.thread.Snapshot() }

// Self describes the host. Its state is Leaving from the start of the drain.
func (h *Host) Self() host.Info {
	self := h.self
	if h.leaving.Load() {
		self.State = host.Leaving
	}
	return self
}

// CallerAddress returns the address on which callers are served.
func (h *Host) CallerAddress() netip.AddrPort { return addressOf(h.listeners.callers) }

// OperatorAddress returns the address on which operators are served.
func (h *Host) OperatorAddress() netip.AddrPort { return addressOf(h.listeners.operators) }

// backendConnectionLost handles the loss of a connection to a backend server,
// idle or in use, and the failure to open one.
func (h *Host) backendConnectionLost(id group.ID, server group.ServerID, err error) {
	if errors.Is(err, context.Canceled) || h.leaving.Load() {
		return
	}
	h.callerHost.connectionLost(backendserver.Target{Group: id, Server: server})
}

// Run serves until the context ends, then drains and returns nil. It returns
// an error if a part of the host fails.
func (h *Host) Run(ctx context.Context) error {
	h.log.Write(ctx, logevent.HostStarted, slog.String("Host", string(h.self.ID)), slog.String("Listen", h.CallerAddress().String()),
		slog.String("PeerListen", h.self.PeerAddress.String()), slog.String("OperatorListen", h.OperatorAddress().String()))
	defer h.log.Write(context.WithoutCancel(ctx), logevent.HostStopped, slog.String("Host", string(h.self.ID)))
	var actors run.Group
	background := func(task func(context.Context) error) {
		actors.Add(func() error { return task(h.ctx) }, func(error) { h.cancel() })
	}
	stopped := make(chan struct{})
	actors.Add(func() error {
		select {
		case <-ctx.Done():
			h.drain()
		case <-stopped:
		}
		return nil
	}, func(error) { close(stopped) })
	background(h.thread.Run)
	background(h.distributor.syncObjects)
	background(h.distributor.syncHostList)
	background(h.distributor.reportStaleness)
	background(h.callerHost.purgeKeys)
	background(blockUntilDone(func(ctx context.Context) error { return h.callerServer.Serve(ctx, h.listeners.callers) }))
	background(func(ctx context.Context) error {
		return operator.Serve(ctx, h.listeners.operators, operator.Handler(h, h.metrics.registry))
	})
	background(blockUntilDone(func(context.Context) error { return h.peerServer.Serve(h.listeners.peers) }))
	err := actors.Run()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	_ = h.peerServer.Shutdown(shutdownCtx)
	if ctx.Err() != nil && (err == nil || errors.Is(err, context.Canceled)) {
		return nil
	}
	return err
}

// blockUntilDone keeps the actor of a server running after the server was
// shut down. Otherwise the actor would return and so end the other actors,
// including the one that runs the rest of the drain.
func blockUntilDone(serve func(context.Context) error) func(context.Context) error {
	return func(ctx context.Context) error {
		if err := serve(ctx); err != nil {
			return err
		}
		<-ctx.Done()
		return nil
	}
}

// drain announces that the host is leaving, then lets the requests and open
// transactions in flight finish within the drain time, both those of its own
// callers and those forwarded by other hosts.
func (h *Host) drain() {
	ctx, cancel := context.WithTimeout(h.ctx, h.settings.DrainTime)
	defer cancel()
	h.leaving.Store(true)
	h.log.Write(ctx, logevent.HostStopping, slog.Duration("DrainTime", h.settings.DrainTime))
	h.announce(ctx)
	// The host stops coordinating at once and closes its idle connections, so
	// that the new coordinators can open connections within the limits of the
	// servers. Conversations in use continue.
	h.post(control.LeaveRequested{})
	_ = h.callerServer.Shutdown(ctx)
	_ = h.peerServer.Shutdown(ctx)
	h.local.Drain()
}

// announce informs the other hosts that this host is leaving, so that they
// stop forwarding requests to it before it stops answering.
func (h *Host) announce(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	announced := make(chan struct{})
	targets := otherHosts(h.snapshot().Hosts, h.self.ID)
	for _, to := range targets {
		go func() {
			_ = h.peers.Announce(ctx, to)
			announced <- struct{}{}
		}()
	}
	for range targets {
		<-announced
	}
}
