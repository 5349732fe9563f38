package measure

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"basilmill/core/account"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/io/platform"
	standin "basilmill/standin/platform"
)

// rig is a deployment of processes on loopback. The platform and the backend
// servers' data are stand-ins; the platform runs in the measuring process.
type rig struct {
	t         *testing.T
	bin, dir  string
	platform  *standin.Server
	at        netip.AddrPort
	servers   []netip.AddrPort
	hosts     []*hostProcess
	processes []*exec.Cmd
}

// hostProcess is a running serve process.
type hostProcess struct {
	cmd            *exec.Cmd
	callers, peers netip.AddrPort
	operator       netip.AddrPort
	id             host.ID
	place          host.DataCentre
}

func newRig(t *testing.T, r *Report, d Deployment) *rig {
	g := &rig{t: t, bin: r.Bin, dir: t.TempDir(), platform: standin.New()}
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.at = netip.MustParseAddrPort(l.Addr().String())
	api := &http.Server{Handler: g.platform, ReadHeaderTimeout: time.Second}
	go func() { _ = api.Serve(l) }()
	t.Cleanup(func() {
		g.stop()
		_ = api.Close()
	})
	for i := range d.DataCentres {
		g.startServer(i)
	}
	return g
}

// nextPort is the next port to try. Ports below the range of outgoing
// connections are not taken before a process listens on them.
var nextPort uint16 = 20000

// free returns an address that is free.
func (g *rig) free() netip.AddrPort {
	for {
		nextPort++
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), nextPort)
		if l, err := (&net.ListenConfig{}).Listen(g.t.Context(), "tcp", at.String()); err == nil {
			_ = l.Close()
			return at
		}
	}
}

func (g *rig) start(program string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(g.bin, program), args...)
	if err := cmd.Start(); err != nil {
		g.t.Fatal(err)
	}
	g.processes = append(g.processes, cmd)
	return cmd
}

// stop ends the processes that the rig started.
func (g *rig) stop() {
	for _, cmd := range g.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (g *rig) startServer(i int) {
	at := g.free()
	args := []string{"--id", string(rune('a' + i)), "--listen", at.String()}
	if i == 0 {
		args = append(args, "--role", "primary", "--term", "1", "--generation", "1", "--successor", "b")
	} else {
		args = append(args, "--primary", "a", "--primary-address", g.servers[0].String())
	}
	g.start("backendserver", args...)
	g.await(at)
	g.servers = append(g.servers, at)
}

func (g *rig) await(at netip.AddrPort) {
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		if conn, err := (&net.Dialer{}).DialContext(g.t.Context(), "tcp", at.String()); err == nil {
			_ = conn.Close()
			return
		}
	}
	g.t.Fatalf("%s does not listen", at)
}

// putGroups stores group records. All groups name the same backend servers,
// which makes no difference to a host.
func (g *rig) putGroups(d Deployment, n int) {
	for i := range n {
		record := &group.Record{ID: d.Group, Term: 1, Generation: 1, Primary: "a", Successor: "b", Databases: d.Databases, ConnectionLimit: d.ConnectionLimit}
		if i > 0 {
			record.ID = group.ID(fmt.Sprintf("%s-%d", d.Group, i))
		}
		for j, at := range g.servers {
			record.Servers = append(record.Servers, group.Server{ID: group.ServerID(rune('a' + j)), Address: at, DataCentre: d.DataCentres[j]})
		}
		value, err := platform.EncodeGroup(record)
		g.put(platform.KindGroup, string(record.ID), value, err)
	}
	template := d.template(g.t).WithDefaults()
	template.Revision = 1
	value, err := platform.EncodeAccount(&account.Object{Template: template})
	g.put(platform.KindAccount, string(d.Account), value, err)
}

func (g *rig) put(kind platform.Kind, name string, value []byte, err error) {
	if err == nil {
		_, err = g.platform.Put(standin.Key{Kind: string(kind), Name: name}, value, 0)
	}
	if err != nil {
		g.t.Fatal(err)
	}
}

// startHosts starts hosts and lists them, together with further hosts that do
// not run.
func (g *rig) startHosts(d Deployment, n int, settings string, listed ...standin.Host) {
	list := listed
	for i := range n {
		h := &hostProcess{
			id: host.ID(fmt.Sprintf("host-%d", i+1)), place: d.DataCentres[i%len(d.DataCentres)],
			callers: g.free(), peers: g.free(), operator: g.free(),
		}
		file := filepath.Join(g.dir, string(h.id)+".jsonc")
		text := fmt.Sprintf(`{"HostID": %q, "DataCentre": %q, "Region": %q, "Listen": %q, "PeerListen": %q, "OperatorListen": %q, "Platform": %q%s}`,
			h.id, h.place, d.Region, h.callers, h.peers, h.operator, g.at, settings)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			g.t.Fatal(err)
		}
		h.cmd = g.start("basilmill", "serve", "--config", file)
		g.hosts = append(g.hosts, h)
		list = append(list, standin.Host{
			ID: string(h.id), DataCentre: string(h.place), Region: string(d.Region), PeerAddress: h.peers.String(), State: "Live",
		})
	}
	g.platform.SetHosts(list)
	for _, h := range g.hosts {
		g.await(h.callers)
	}
	time.Sleep(settleTime)
}

// settleTime lets hosts receive the objects and open their connections.
const settleTime = 4 * time.Second

// usage is what a process used so far.
type usage struct {
	cpu   time.Duration
	bytes int64 // read and written by system calls, mostly on sockets
	rss   int64
}

// clockTick is the unit of processor times in /proc, which Linux fixes at
// 1/100 s towards programs.
const clockTick = 10 * time.Millisecond

// usage reads /proc of the host's process.
func (h *hostProcess) usage() (u usage, err error) {
	dir := fmt.Sprintf("/proc/%d/", h.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return usage{}, err
	}
	// The fields after the command's name; 11 and 12 are utime and stime.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	for _, f := range fields[11:13] {
		n, _ := strconv.ParseInt(f, 10, 64)
		u.cpu += time.Duration(n) * clockTick
	}
	for file, names := range map[string][]string{"io": {"rchar:", "wchar:"}, "status": {"VmRSS:"}} {
		text, err := os.ReadFile(dir + file)
		if err != nil {
			return usage{}, err
		}
		for line := range strings.Lines(string(text)) {
			f := strings.Fields(line)
			for _, name := range names {
				if len(f) < 2 || f[0] != name {
					continue
				}
				n, _ := strconv.ParseInt(f[1], 10, 64)
				if file == "io" {
					u.bytes += n
				} else {
					u.rss = n << 10
				}
			}
		}
	}
	return u, nil
}

// openFiles raises the soft limit of open files to the hard one and returns
// it.
func openFiles() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	limit.Cur = limit.Max
	_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	return limit.Cur
}
