package main

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Limits of a machine of the small deployment.
const (
	memoryMB = 284
	maxFDs   = 4300
)

// deployment is a small deployment: the platform, one service of three databases, and some
// machines, each of which has a loopback address of its own.
type deployment struct {
	record   *record
	store    *store
	service  *service
	orders   string
	dir      string
	zones    []string
	machines []*machine
	// split is the cut between regions, nil if the case has none.
	split *split
}

// machine runs one process of the system.
type machine struct {
	deployment *deployment
	name       string
	zone       string
	ip         string
	port       int
	region     string
	process    *exec.Cmd
	exited     chan struct{}
	// storeAddress and ordersAddress are where the machine reaches the platform.
	storeAddress, ordersAddress string
}

func newDeployment(rec *record, dir string) (*deployment, error) {
	d := &deployment{record: rec, dir: dir, zones: []string{"gent-a", "namur-a", "brussel-a"}}
	var err error
	if d.store, err = newStore(); err != nil {
		return nil, err
	}
	if d.service, err = newService(d.store, rec, "dele69a", d.zones); err != nil {
		return nil, err
	}
	if d.orders, err = d.service.promotion(); err != nil {
		return nil, err
	}
	d.store.write("config", "main", config(7))
	return d, nil
}

// config returns a version of the config.
func config(version int) map[string]any {
	return map[string]any{
		"configVersion": version,
		"routes": []any{
			map[string]any{"name": "r-n2ctnfz", "host": "lepu270", "pathPrefix": "/", "routeType": "primary", "timeoutMs": 800, "targetLatencyMs": 300, "priority": 1, "service": "dele69a", "maxAttempts": 2},
			map[string]any{"name": "r-68k7b2e", "host": "fiti832", "pathPrefix": "/", "routeType": "read_your_writes", "timeoutMs": 800, "targetLatencyMs": 500, "priority": 2, "service": "dele69a", "maxAttempts": 2, "maxStalenessMs": 2500},
		},
		"services": []any{map[string]any{"name": "dele69a", "maxConns": maxConns, "syncReplicas": 1}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
	}
}

// addMachines adds one machine in each zone.
func (d *deployment) addMachines() error {
	ports, err := freePorts(d.zones)
	if err != nil {
		return err
	}
	for i, zone := range d.zones {
		d.machines = append(d.machines, &machine{deployment: d, name: "edge-" + zone + "-1", zone: zone, region: "flanders", ip: ipOf(i), port: ports})
	}
	return nil
}

// startMachines starts all machines and waits until they are ready.
func (d *deployment) startMachines() error {
	for _, m := range d.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range d.machines {
		if err := m.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func ipOf(i int) string { return fmt.Sprintf("127.0.0.%d", 11+i) }

// portsPerMachine are those for clients, for probes and between the machines.
const portsPerMachine = 18

// freePorts returns the first of some ports that are free on the addresses of all machines.
func freePorts(zones []string) (int, error) {
	for first := 21000 + os.Getpid()%400*20; first < 60000; first += 20 {
		free := true
		for i := range zones {
			for port := first; free && port < first+portsPerMachine; port++ {
				listener, err := net.Listen("tcp", net.JoinHostPort(ipOf(i), strconv.Itoa(port)))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, m.port) }
func (m *machine) ready() string { return fmt.Sprintf("%s:%d", m.ip, m.port+1) }

func (m *machine) settingsFile() string {
	return filepath.Join(m.deployment.dir, m.name+".conf")
}

// settings returns the content of the settings file.
func (m *machine) settings() string {
	d := m.deployment
	return fmt.Sprintf(`nodeName=%s
role=entry
machineClass=edge
serves=edge
ip=%s
zone=%s
region=%s
bindAddrs.front=%s
bindAddrs.ready=%s
internalPortRange=%d,%d
bootstrap=true
limits.cpuShare=0.4
limits.cores=1
limits.memoryMb=%d
limits.maxFds=%d
discovery=platform
entry=vip
heartbeatMs=1200
bounds.stabilityWindowMs=4000
bounds.drainMs=7000
bounds.graceS=6
bounds.configApplyMs=3000
bounds.recoveryS=12
bounds.requireFence=true
platform.address=%s
platform.form=objects
cloudApi.address=%s
cloudApi.duties=failover
`, m.name, m.ip, m.zone, m.region, m.front(), m.ready(), m.port+2, m.port+portsPerMachine-1, memoryMB, maxFDs, cmp.Or(m.storeAddress, d.store.address()), cmp.Or(m.ordersAddress, d.orders))
}

// writeSettings replaces the settings file.
func (m *machine) writeSettings() error {
	next := m.settingsFile() + ".next"
	if err := os.WriteFile(next, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, m.settingsFile())
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	d := m.deployment
	if err := m.writeSettings(); err != nil {
		return err
	}
	command, err := deployCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(command[0], command[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BASILMILL_BOOT=" + m.settingsFile()}
	process.Stdout, process.Stderr = log, log
	// The process also ends if this one is killed.
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	m.process, m.exited = process, exited
	d.record.note("%s: process started", m.name)
	return nil
}

// deployCommand returns the words of the only role's command in the deploy file.
func deployCommand() ([]string, error) {
	content, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(strings.TrimSpace(line), "run = "); ok {
			return strings.Fields(strings.Trim(value, `"`)), nil
		}
	}
	return nil, errors.New("the deploy file has no command")
}

// awaitReady waits until the readiness probe is answered with 200.
func (m *machine) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + m.ready() + "/basilmill/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			m.deployment.record.note("%s: ready", m.name)
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// memory returns the resident memory of the process in MB, and false if it has ended.
func (m *machine) memory() (int, bool) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0, false
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if value, ok := strings.CutPrefix(lines.Text(), "VmRSS:"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes >> 10, true
		}
	}
	return 0, false
}

// kill ends the process as SIGKILL does.
func (m *machine) kill() {
	_ = m.process.Process.Kill()
	<-m.exited
	m.deployment.record.note("%s: process killed", m.name)
}

// restart kills the process, as the platform does with one above the memory of its machine, and
// starts it again.
func (m *machine) restart() error {
	m.kill()
	if err := m.start(); err != nil {
		return err
	}
	return m.awaitReady()
}

// stop ends all processes that the case has started.
func (d *deployment) stop() {
	for _, m := range d.machines {
		if m.process != nil {
			_ = m.process.Process.Kill()
			<-m.exited
		}
	}
}

// client is a session of a client.
type client struct {
	name   string
	record *record
	conn   net.Conn
	lines  *bufio.Reader
	next   int
	// idSuffix is the end of the ids of the requests.
	idSuffix string
}

// result is the answer to a request.
type result struct {
	rows   []string
	digest string
	failed string
	state  string
}

// open opens a session.
func (d *deployment) open(ctx context.Context, m *machine, name, database string) (*client, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", m.front())
	if err != nil {
		return nil, err
	}
	c := &client{name: name, record: d.record, conn: conn, lines: bufio.NewReader(conn)}
	if _, err := fmt.Fprintf(conn, "CONNECT %s %s\r\n", database, name); err != nil {
		return nil, err
	}
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	line, err := readLine(c.lines)
	if err == nil && !strings.HasPrefix(line, "READY") {
		err = errors.New(line)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if len(name) <= maxBrief {
		d.record.note("%s: session on %s for %s", name, m.name, database)
	}
	return c, nil
}

// requestTimeout exceeds the timeouts of the routes.
const requestTimeout = 10 * time.Second

// request sends a request and reads its answer. Only the first of many alike are recorded.
func (c *client) request(text string, recorded bool) (id string, r result, err error) {
	c.next++
	id = fmt.Sprintf("%s-%d%s", c.name, c.next, c.idSuffix)
	if recorded {
		c.record.note("%s: sends id=%s %s", c.name, brief(id), brief(text))
	}
	_ = c.conn.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return id, r, err
	}
	for {
		line, err := readLine(c.lines)
		if err != nil {
			return id, r, err
		}
		keyword, body, _ := strings.Cut(line, " ")
		switch keyword {
		case "ROW":
			r.rows = append(r.rows, body)
		case "COMPLETE":
			r.digest = body
		case "ERROR":
			r.failed = body
		case "READY":
			r.state = body
			if recorded {
				c.record.note("%s: gets id=%s rows %v digest %q failure %q ready %s", c.name, brief(id), r.rows, r.digest, r.failed, r.state)
			}
			return id, r, nil
		}
	}
}

func (c *client) close() { _ = c.conn.Close() }
