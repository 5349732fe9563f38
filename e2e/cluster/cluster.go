// Package cluster runs a small deployment in one process for tests and
// measurements: the stand-in platform, one group of stand-in backend servers,
// and entry hosts.
package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"basilmill/cmd/serve"
	"basilmill/core/account"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/settings"
	"basilmill/io/platform"
	"basilmill/standin/backendserver"
	standin "basilmill/standin/platform"
)

// Config describes a deployment.
type Config struct {
	// Group is the only database group; Databases are its databases.
	Group     group.ID
	Databases []string
	// DataCentres have one backend server each, in this order: primary,
	// successor, further replicas. Hosts are assigned to them round-robin.
	DataCentres     []host.DataCentre
	Region          host.Region
	Hosts           int
	ConnectionLimit int
	// StartupDelay is the time that a backend server takes to start a
	// connection.
	StartupDelay time.Duration
	Account      account.Template
	// Network carries the traffic; nil uses loopback TCP.
	Network Network
	Log     *slog.Logger
	// Settings adjusts the settings of a host before it starts.
	Settings func(*settings.Settings)
}

// Machine is a named node of the network in a data centre, on which the
// platform, a backend server, an entry host or a client runs.
type Machine struct {
	Name       string
	DataCentre host.DataCentre
}

// PlatformMachine is the name of the machine on which the platform runs.
const PlatformMachine = "platform"

// Network connects machines.
type Network interface {
	// ListenAddress returns an unused address for a machine to listen on.
	ListenAddress(m Machine) netip.AddrPort
	// ForMachine returns the functions with which a machine listens and dials.
	ForMachine(m Machine) serve.Network
}

// loopback is a Network that uses TCP on 127.0.0.1.
type loopback struct{}

// ListenAddress implements Network.
func (loopback) ListenAddress(Machine) netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

// ForMachine implements Network.
func (loopback) ForMachine(Machine) serve.Network {
	return serve.Network{Listen: (&net.ListenConfig{}).Listen, Dial: (&net.Dialer{}).DialContext}
}

// Cluster is a running deployment.
type Cluster struct {
	Platform *standin.Server
	Servers  []*Server
	Hosts    []*Host

	config          Config
	ctx             context.Context
	cancel          context.CancelFunc
	wait            sync.WaitGroup
	platformServer  *http.Server
	platformAddress netip.AddrPort
}

// Server is a running backend server.
type Server struct {
	*backendserver.Server
	Address    netip.AddrPort
	DataCentre host.DataCentre
	Kill       context.CancelFunc

	done chan struct{}
}

// Host is a running entry host.
type Host struct {
	*serve.Host
	DataCentre host.DataCentre
	// Stop starts the graceful shutdown; Done is closed when the host has
	// stopped, and Err is its error then.
	Stop context.CancelFunc
	Done chan struct{}
	Err  error
}

// Start starts a deployment. Close stops it.
func Start(ctx context.Context, config Config) (c *Cluster, err error) {
	c = &Cluster{config: config, Platform: standin.New()}
	if c.config.Network == nil {
		c.config.Network = loopback{}
	}
	if c.config.Log == nil {
		c.config.Log = slog.New(slog.NewTextHandler(io.Discard, nil))
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	defer func() {
		if err != nil {
			c.Close()
		}
	}()
	if err := c.startPlatform(); err != nil {
		return nil, err
	}
	if err := c.startServers(); err != nil {
		return nil, err
	}
	if err := c.putRecord(); err != nil {
		return nil, err
	}
	if err := c.PutAccount(config.Account); err != nil {
		return nil, err
	}
	for i := range config.Hosts {
		if _, err := c.StartHost(host.ID(fmt.Sprintf("host-%d", i+1)), config.DataCentres[i%len(config.DataCentres)]); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *Cluster) listen(m Machine) (net.Listener, netip.AddrPort, error) {
	at := c.config.Network.ListenAddress(m)
	l, err := c.config.Network.ForMachine(m).Listen(c.ctx, "tcp", at.String())
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	return l, netip.MustParseAddrPort(l.Addr().String()), nil
}

func (c *Cluster) startPlatform() error {
	l, at, err := c.listen(Machine{PlatformMachine, c.config.DataCentres[0]})
	if err != nil {
		return err
	}
	c.platformAddress = at
	c.platformServer = &http.Server{Handler: c.Platform}
	c.wait.Go(func() { _ = c.platformServer.Serve(l) })
	return nil
}

func (c *Cluster) startServers() error {
	for i, dataCentre := range c.config.DataCentres {
		m := Machine{string('a' + rune(i)), dataCentre}
		l, at, err := c.listen(m)
		if err != nil {
			return err
		}
		config := backendserver.Config{
			ID: group.ServerID(m.Name), Listener: l, Dial: c.config.Network.ForMachine(m).Dial, Logger: c.config.Log,
			Databases: c.config.Databases, ConnectionLimit: c.config.ConnectionLimit, StartupDelay: c.config.StartupDelay,
		}
		if i == 0 {
			config.Role, config.Term, config.Generation, config.Successor = group.Primary, 1, 1, "b"
		} else {
			config.Primary, config.PrimaryAddress = "a", c.Servers[0].Address.String()
		}
		c.startServer(config, at, dataCentre)
	}
	return nil
}

func (c *Cluster) startServer(config backendserver.Config, address netip.AddrPort, dataCentre host.DataCentre) *Server {
	ctx, kill := context.WithCancel(c.ctx)
	s := &Server{Server: backendserver.New(config), Address: address, DataCentre: dataCentre, Kill: kill}
	c.Servers = append(c.Servers, s)
	c.runServer(ctx, s)
	return s
}

func (c *Cluster) runServer(ctx context.Context, s *Server) {
	server, done := s.Server, make(chan struct{})
	s.done = done
	c.wait.Go(func() {
		_ = server.Run(ctx)
		close(done)
	})
}

// RestartServer kills a server and starts it again with the same log and role,
// like a database that restarts on its existing data directory.
func (c *Cluster) RestartServer(s *Server) error {
	s.Kill()
	<-s.done
	l, err := c.config.Network.ForMachine(Machine{string(s.ID()), s.DataCentre}).Listen(c.ctx, "tcp", s.Address.String())
	if err != nil {
		return err
	}
	ctx, kill := context.WithCancel(c.ctx)
	s.Server, s.Kill = s.Restart(l), kill
	c.runServer(ctx, s)
	return nil
}

// initialRecord returns the group's record of term 1.
func (c *Cluster) initialRecord() *group.Record {
	r := &group.Record{
		ID: c.config.Group, Term: 1, Generation: 1, Primary: "a", Databases: c.config.Databases, ConnectionLimit: c.config.ConnectionLimit,
	}
	if len(c.Servers) > 1 {
		r.Successor = "b"
	}
	for _, s := range c.Servers {
		r.Servers = append(r.Servers, group.Server{ID: s.ID(), Address: s.Address, DataCentre: s.DataCentre})
	}
	return r
}

func (c *Cluster) putRecord() error {
	value, err := platform.EncodeGroup(c.initialRecord())
	if err != nil {
		return err
	}
	_, err = c.Platform.Put(standin.Key{Kind: string(platform.KindGroup), Name: string(c.config.Group)}, value, 0)
	return err
}

// Record returns the group's record that the platform stores.
func (c *Cluster) Record() (*group.Record, error) {
	object, ok := c.Platform.Get(standin.Key{Kind: string(platform.KindGroup), Name: string(c.config.Group)})
	if !ok {
		return nil, fmt.Errorf("no record of group %s", c.config.Group)
	}
	return platform.DecodeGroup(object.Value)
}

// PutAccount stores a client account's template with the next revision, which
// is 1 for a new account.
func (c *Cluster) PutAccount(template account.Template) error {
	key := standin.Key{Kind: string(platform.KindAccount), Name: string(template.ID)}
	current, ok := c.Platform.Get(key)
	template.Revision = 1
	if ok {
		before, err := platform.DecodeAccount(current.Value)
		if err != nil {
			return err
		}
		template.Revision = before.Template.Revision + 1
	}
	var value json.RawMessage
	value, err := platform.EncodeAccount(&account.Object{Template: template.WithDefaults()})
	if err != nil {
		return err
	}
	_, err = c.Platform.Put(key, value, current.Version)
	return err
}

// Account returns the client account's template that the platform stores.
func (c *Cluster) Account(id account.ID) (account.Template, error) {
	object, ok := c.Platform.Get(standin.Key{Kind: string(platform.KindAccount), Name: string(id)})
	if !ok {
		return account.Template{}, fmt.Errorf("no account %s", id)
	}
	decoded, err := platform.DecodeAccount(object.Value)
	if err != nil {
		return account.Template{}, err
	}
	return decoded.Template, nil
}

// PlatformAddress returns the address of the platform's object API.
func (c *Cluster) PlatformAddress() netip.AddrPort { return c.platformAddress }

// StartHost starts an entry host and adds it to the platform's host list.
func (c *Cluster) StartHost(id host.ID, dataCentre host.DataCentre) (*Host, error) {
	m := Machine{string(id), dataCentre}
	listenAddress := c.config.Network.ListenAddress
	s := settings.Settings{
		HostID: id, DataCentre: dataCentre, Region: c.config.Region, Listen: listenAddress(m), PeerListen: listenAddress(m),
		OperatorListen: listenAddress(m), Platform: c.platformAddress,
	}.WithDefaults()
	if c.config.Settings != nil {
		c.config.Settings(&s)
	}
	entryHost, err := serve.New(c.ctx, s, c.config.Log.With("Host", id), c.config.Network.ForMachine(m))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(c.ctx)
	h := &Host{Host: entryHost, DataCentre: dataCentre, Stop: stop, Done: make(chan struct{})}
	c.Hosts = append(c.Hosts, h)
	c.publishHosts()
	c.wait.Go(func() {
		h.Err = entryHost.Run(ctx)
		close(h.Done)
	})
	return h, nil
}

// publishHosts sets the platform's host list to the hosts of the deployment.
func (c *Cluster) publishHosts() {
	var list []standin.Host
	for _, h := range c.Hosts {
		self := h.Self()
		list = append(list, standin.Host{
			ID: string(self.ID), DataCentre: string(self.DataCentre), Region: string(self.Region),
			PeerAddress: self.PeerAddress.String(), State: self.State.String(),
		})
	}
	c.Platform.SetHosts(list)
}

// Ready waits until every host is ready, knows other hosts, and knows the
// servers of the groups that it coordinates.
func (c *Cluster) Ready(ctx context.Context) error {
	for _, h := range c.Hosts {
		for !isReady(h) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("host %s is not ready: %w", h.Self().ID, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func isReady(h *Host) bool {
	status := h.Status()
	if h.Ready() != nil || len(status.Groups) == 0 {
		return false
	}
	for _, g := range status.Groups {
		if len(g.Servers) == 0 && containsString(g.Coordinators, status.Host) {
			return false
		}
	}
	return status.KnownHosts > 0
}

func containsString(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}

// Close stops the platform, the backend servers and the hosts, and waits for
// them.
func (c *Cluster) Close() {
	c.cancel()
	if c.platformServer != nil {
		_ = c.platformServer.Close()
	}
	c.wait.Wait()
}
