// Package cluster runs a small deployment in one process for tests and
// measurements: the stand-in platform, groups of stand-in backend servers and
// entry hosts.
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
	// Group names the one database group; Databases are its databases.
	Group     group.ID
	Databases []string
	// DataCentres hold one backend server each, in this order: primary,
	// successor, further replicas. Hosts are spread over them in turn.
	DataCentres     []host.DataCentre
	Region          host.Region
	Hosts           int
	ConnectionLimit int
	StartupDelay    time.Duration
	Account         account.Template
	// Network carries the traffic; nil uses loopback TCP.
	Network Network
	Log     *slog.Logger
	// Settings adjusts the settings of a host before it starts.
	Settings func(*settings.Settings)
}

// Machine is where a part runs: the platform, a backend server, an entry host
// or a client.
type Machine struct {
	Name       string
	DataCentre host.DataCentre
}

// PlatformMachine is the machine of the platform.
const PlatformMachine = "platform"

// Network connects machines.
type Network interface {
	// ListenAddress returns an address to listen on.
	ListenAddress(m Machine) netip.AddrPort
	// ForMachine returns how a machine listens and dials.
	ForMachine(m Machine) serve.Network
}

// loopback is the network of TCP on 127.0.0.1.
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

	config Config
	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup
	api    *http.Server
	at     netip.AddrPort
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
	// Stop begins the graceful shutdown; Done is closed when it has ended.
	Stop context.CancelFunc
	Done chan struct{}
	Err  error
}

// Start starts a deployment; Close ends it.
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
	c.at = at
	c.api = &http.Server{Handler: c.Platform}
	c.wait.Go(func() { _ = c.api.Serve(l) })
	return nil
}

func (c *Cluster) startServers() error {
	for i, place := range c.config.DataCentres {
		m := Machine{string('a' + rune(i)), place}
		l, at, err := c.listen(m)
		if err != nil {
			return err
		}
		config := backendserver.Config{
			ID: group.ServerID(m.Name), Listener: l, Dial: c.config.Network.ForMachine(m).Dial, Logger: c.config.Log,
			Databases: c.config.Databases, ConnectionLimit: c.config.ConnectionLimit, OpeningCost: c.config.StartupDelay,
		}
		if i == 0 {
			config.Role, config.Term, config.Generation, config.Successor = group.Primary, 1, 1, "b"
		} else {
			config.Primary, config.PrimaryAddress = "a", c.Servers[0].Address.String()
		}
		c.startServer(config, at, place)
	}
	return nil
}

func (c *Cluster) startServer(config backendserver.Config, at netip.AddrPort, place host.DataCentre) *Server {
	ctx, kill := context.WithCancel(c.ctx)
	s := &Server{Server: backendserver.New(config), Address: at, DataCentre: place, Kill: kill}
	c.Servers = append(c.Servers, s)
	c.run(ctx, s)
	return s
}

func (c *Cluster) run(ctx context.Context, s *Server) {
	server, done := s.Server, make(chan struct{})
	s.done = done
	c.wait.Go(func() {
		_ = server.Run(ctx)
		close(done)
	})
}

// RestartServer kills a server and starts it again with its log and role, as a
// database that restarts with its disk.
func (c *Cluster) RestartServer(s *Server) error {
	s.Kill()
	<-s.done
	l, err := c.config.Network.ForMachine(Machine{string(s.ID()), s.DataCentre}).Listen(c.ctx, "tcp", s.Address.String())
	if err != nil {
		return err
	}
	ctx, kill := context.WithCancel(c.ctx)
	s.Server, s.Kill = s.Restart(l), kill
	c.run(ctx, s)
	return nil
}

// Record returns the initial record of the group.
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

// Record returns the group's record as the platform has it.
func (c *Cluster) Record() (*group.Record, error) {
	object, ok := c.Platform.Get(standin.Key{Kind: string(platform.KindGroup), Name: string(c.config.Group)})
	if !ok {
		return nil, fmt.Errorf("no record of group %s", c.config.Group)
	}
	return platform.DecodeGroup(object.Value)
}

// PutAccount stores a client account's template as revision 1 or the next.
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

// Account returns a client account's template as the platform has it.
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

// PlatformAddress is the address of the platform's object API.
func (c *Cluster) PlatformAddress() netip.AddrPort { return c.at }

// StartHost adds an entry host.
func (c *Cluster) StartHost(id host.ID, place host.DataCentre) (*Host, error) {
	m := Machine{string(id), place}
	address := c.config.Network.ListenAddress
	s := settings.Settings{
		HostID: id, DataCentre: place, Region: c.config.Region, Listen: address(m), PeerListen: address(m),
		OperatorListen: address(m), Platform: c.at,
	}.WithDefaults()
	if c.config.Settings != nil {
		c.config.Settings(&s)
	}
	sh, err := serve.New(c.ctx, s, c.config.Log.With("Host", id), c.config.Network.ForMachine(m))
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(c.ctx)
	h := &Host{Host: sh, DataCentre: place, Stop: stop, Done: make(chan struct{})}
	c.Hosts = append(c.Hosts, h)
	c.listHosts()
	c.wait.Go(func() {
		h.Err = sh.Run(ctx)
		close(h.Done)
	})
	return h, nil
}

// listHosts publishes the platform's host list.
func (c *Cluster) listHosts() {
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

// Ready waits until every host is ready and knows every group's servers.
func (c *Cluster) Ready(ctx context.Context) error {
	for _, h := range c.Hosts {
		for !ready(h) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("host %s is not ready: %w", h.Self().ID, ctx.Err())
			case <-time.After(20 * time.Millisecond):
			}
		}
	}
	return nil
}

func ready(h *Host) bool {
	status := h.Status()
	if h.Ready() != nil || len(status.Groups) == 0 {
		return false
	}
	for _, g := range status.Groups {
		if len(g.Servers) == 0 && contains(g.Coordinators, status.Host) {
			return false
		}
	}
	return status.KnownHosts > 0
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}

// Close ends every part.
func (c *Cluster) Close() {
	c.cancel()
	if c.api != nil {
		_ = c.api.Close()
	}
	c.wait.Wait()
}
