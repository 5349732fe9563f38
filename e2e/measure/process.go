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

// processDeployment is a deployment of separate processes on loopback: entry hosts
// and stand-in backend servers. The stand-in platform runs in this process.
type processDeployment struct {
	t               *testing.T
	bin, dir        string
	platform        *standin.Server
	platformAddress netip.AddrPort
	servers         []netip.AddrPort
	hosts           []*hostProcess
	processes       []*exec.Cmd
}

// hostProcess is a running serve process of an entry host.
type hostProcess struct {
	cmd                        *exec.Cmd
	callerAddress, peerAddress netip.AddrPort
	operatorAddress            netip.AddrPort
	id                         host.ID
	dataCentre                 host.DataCentre
}

func newProcessDeployment(t *testing.T, r *Report, d Deployment) *processDeployment {
	p := &processDeployment{t: t, bin: r.Bin, dir: t.TempDir(), platform: standin.New()}
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p.platformAddress = netip.MustParseAddrPort(l.Addr().String())
	api := &http.Server{Handler: p.platform, ReadHeaderTimeout: time.Second}
	go func() { _ = api.Serve(l) }()
	t.Cleanup(func() {
		p.stop()
		_ = api.Close()
	})
	for i := range d.DataCentres {
		p.startServer(i)
	}
	return p
}

// nextPort is the last port that was tried. The ports are below the range of
// outgoing connections, so that the system does not use them before a process
// listens on them.
var nextPort uint16 = 20000

// freeAddress returns an unused address.
func (p *processDeployment) freeAddress() netip.AddrPort {
	for {
		nextPort++
		at := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), nextPort)
		if l, err := (&net.ListenConfig{}).Listen(p.t.Context(), "tcp", at.String()); err == nil {
			_ = l.Close()
			return at
		}
	}
}

func (p *processDeployment) start(program string, args ...string) *exec.Cmd {
	cmd := exec.Command(filepath.Join(p.bin, program), args...)
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	p.processes = append(p.processes, cmd)
	return cmd
}

// stop kills the processes that the deployment started.
func (p *processDeployment) stop() {
	for _, cmd := range p.processes {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
}

func (p *processDeployment) startServer(i int) {
	at := p.freeAddress()
	args := []string{"--id", string(rune('a' + i)), "--listen", at.String()}
	if i == 0 {
		args = append(args, "--role", "primary", "--term", "1", "--generation", "1", "--successor", "b")
	} else {
		args = append(args, "--primary", "a", "--primary-address", p.servers[0].String())
	}
	p.start("backendserver", args...)
	p.awaitListener(at)
	p.servers = append(p.servers, at)
}

func (p *processDeployment) awaitListener(at netip.AddrPort) {
	for began := time.Now(); time.Since(began) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		if conn, err := (&net.Dialer{}).DialContext(p.t.Context(), "tcp", at.String()); err == nil {
			_ = conn.Close()
			return
		}
	}
	p.t.Fatalf("%s does not listen", at)
}

// putGroups stores n group records and the account. All groups have the same
// backend servers, which makes no difference to a host.
func (p *processDeployment) putGroups(d Deployment, n int) {
	for i := range n {
		record := &group.Record{ID: d.Group, Term: 1, Generation: 1, Primary: "a", Successor: "b", Databases: d.Databases, ConnectionLimit: d.ConnectionLimit}
		if i > 0 {
			record.ID = group.ID(fmt.Sprintf("%s-%d", d.Group, i))
		}
		for j, at := range p.servers {
			record.Servers = append(record.Servers, group.Server{ID: group.ServerID(rune('a' + j)), Address: at, DataCentre: d.DataCentres[j]})
		}
		value, err := platform.EncodeGroup(record)
		p.put(platform.KindGroup, string(record.ID), value, err)
	}
	template := d.template(p.t).WithDefaults()
	template.Revision = 1
	value, err := platform.EncodeAccount(&account.Object{Template: template})
	p.put(platform.KindAccount, string(d.Account), value, err)
}

func (p *processDeployment) put(kind platform.Kind, name string, value []byte, err error) {
	if err == nil {
		_, err = p.platform.Put(standin.Key{Kind: string(kind), Name: name}, value, 0)
	}
	if err != nil {
		p.t.Fatal(err)
	}
}

// startHosts starts hosts and adds them to the host list, together with the listed
// hosts, which do not run.
func (p *processDeployment) startHosts(d Deployment, n int, extraSettings string, listed ...standin.Host) {
	list := listed
	for i := range n {
		h := &hostProcess{
			id: host.ID(fmt.Sprintf("host-%d", i+1)), dataCentre: d.DataCentres[i%len(d.DataCentres)],
			callerAddress: p.freeAddress(), peerAddress: p.freeAddress(), operatorAddress: p.freeAddress(),
		}
		file := filepath.Join(p.dir, string(h.id)+".jsonc")
		text := fmt.Sprintf(`{"HostID": %q, "DataCentre": %q, "Region": %q, "Listen": %q, "PeerListen": %q, "OperatorListen": %q, "Platform": %q%s}`,
			h.id, h.dataCentre, d.Region, h.callerAddress, h.peerAddress, h.operatorAddress, p.platformAddress, extraSettings)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			p.t.Fatal(err)
		}
		h.cmd = p.start("basilmill", "serve", "--config", file)
		p.hosts = append(p.hosts, h)
		list = append(list, standin.Host{
			ID: string(h.id), DataCentre: string(h.dataCentre), Region: string(d.Region), PeerAddress: h.peerAddress.String(), State: "Live",
		})
	}
	p.platform.SetHosts(list)
	for _, h := range p.hosts {
		p.awaitListener(h.callerAddress)
	}
	time.Sleep(settleDelay)
}

// settleDelay is the time in which hosts receive the objects and open their
// connections.
const settleDelay = 4 * time.Second

// usage is the cumulative resource usage of a process.
type usage struct {
	cpu     time.Duration
	ioBytes int64 // read and written by system calls, mostly on sockets
	rss     int64
}

// clockTick is the unit of processor times in /proc, which Linux fixes at 1/100 s
// for user space.
const clockTick = 10 * time.Millisecond

// usage reads the usage of the host's process from /proc.
func (h *hostProcess) usage() (u usage, err error) {
	dir := fmt.Sprintf("/proc/%d/", h.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return usage{}, err
	}
	// Fields after the command's name; those with index 11 and 12 are utime and
	// stime.
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
					u.ioBytes += n
				} else {
					u.rss = n << 10
				}
			}
		}
	}
	return u, nil
}

// raiseOpenFileLimit raises the soft limit of open files to the hard limit and
// returns it.
func raiseOpenFileLimit() uint64 {
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	limit.Cur = limit.Max
	_ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &limit)
	return limit.Cur
}
