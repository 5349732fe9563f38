package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

var errNotReady = errors.New("the entry host did not become ready")

// lab is one run of a case.
type lab struct {
	trouble bool

	mu      sync.Mutex
	record  io.Writer
	started time.Time

	dir   string
	hosts []*entryHost
}

// logf writes a line to the record.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// run runs a case and returns the exit code.
func (l *lab) run(name string) (code int) {
	l.started = time.Now()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		l.logf("not run: %v", err)
		return exitNotRun
	}
	l.dir = dir
	defer func() {
		l.stopHosts()
		_ = os.RemoveAll(dir)
	}()
	cases := map[string]func(*lab) (broken bool, err error){"linefeed": linefeed, "replaced": replaced}
	play, ok := cases[name]
	if !ok {
		l.logf("not run: no case %q", name)
		return exitNotRun
	}
	l.logf("case %s, disruption %v", name, l.trouble)
	broken, err := play(l)
	switch {
	case err != nil:
		l.logf("not run: %v", err)
		return exitNotRun
	case broken:
		l.logf("result: the rule was broken")
		return exitBroken
	default:
		l.logf("result: the rule held")
		return exitHeld
	}
}

// entryHost is one process of the program under review.
type entryHost struct {
	name     string
	zone     string
	front    string
	ready    string
	settings string
	internal string
	cmd      *exec.Cmd
}

// regions holds the region of each zone.
var regions = map[string]string{"gent-a": "flanders", "namur-a": "wallonia", "brussel-a": "brussels"}

// startHost starts an entry host with the settings of a small deployment and waits
// until it is ready. The platform is the stand-in for the store and the promotions.
func (l *lab) startHost(name, zone string, platform *platform) (*entryHost, error) {
	ports, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	h := &entryHost{name: name, zone: zone, front: ports[0], ready: ports[1], internal: ports[3]}
	settings := []string{
		"nodeName=" + name, "role=entry", "machineClass=edge", "serves=edge", "ip=127.0.0.1", "zone=" + zone, "region=" + regions[zone],
		"zones.gent-a=flanders", "zones.namur-a=wallonia", "zones.brussel-a=brussels", "bindAddrs.front=" + h.front, "bindAddrs.ready=" + h.ready, "bindAddrs.control=" + ports[2],
		"internalPortRange=" + portOf(ports[3]) + "," + portOf(ports[3]), "bootstrap=true",
		"limits.cpuShare=0.4", "limits.cores=1", "limits.memoryMb=284", "limits.maxFds=4300", "limits.linkMbps=1000.0", "limits.diskMb=0",
		"discovery=platform", "entry=vip", "heartbeatMs=1200", "contracts=base,drain,config,cost,recover,sql,platform",
		"faultTolerance.machines=1", "bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.stabilityWindowMs=4000", "bounds.ackMs=5000",
		"bounds.catchUpS=4", "bounds.drainMs=7000", "bounds.graceS=6", "bounds.lossSlackMs=200", "bounds.configApplyMs=3000",
		"bounds.revertSlackMs=250", "bounds.maxSkewMs=12000", "bounds.recoveryS=12", "bounds.requireFence=true", "bounds.thawMs=300",
		"platform.address=" + platform.address, "platform.form=objects", "platform.writesPerS=400", "platform.readsPerS=2000",
		"platform.historyS=20", "platform.maxValueBytes=1048576", "cloudApi.address=" + platform.address, "cloudApi.duties=failover",
		"cloudApi.dutyPerS=50.0",
	}
	path := filepath.Join(l.dir, name+".conf")
	if err := os.WriteFile(path, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
		return nil, err
	}
	h.settings = path
	l.hosts = append(l.hosts, h)
	if err := l.spawn(h); err != nil {
		return nil, err
	}
	return h, l.awaitReady(h)
}

// spawn starts the process of an entry host with the command of the deploy file.
func (l *lab) spawn(h *entryHost) error {
	output, err := os.OpenFile(filepath.Join(l.dir, h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }()
	h.cmd = exec.Command("target/basilmill", "entry")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.dir, "BASILMILL_BOOT=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = output, output
	if err := h.cmd.Start(); err != nil {
		return err
	}
	l.logf("%s started", h.name)
	return nil
}

// awaitReady waits until a host is ready.
func (l *lab) awaitReady(h *entryHost) error {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		response, err := http.Get("http://" + h.ready + "/basilmill/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			l.logf("%s ready", h.name)
			return nil
		}
	}
	return errNotReady
}

// kill ends the process of a host.
func (h *entryHost) kill() {
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
		_ = h.cmd.Wait()
	}
}

// stopHosts ends all processes that the case started.
func (l *lab) stopHosts() {
	for _, h := range l.hosts {
		h.kill()
		l.logf("%s ended", h.name)
	}
}

// freePorts returns free loopback addresses.
func freePorts(n int) (addresses []string, err error) {
	for range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses, nil
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}
