package clients_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/standin/objectstore"
)

const (
	// memoryLimit and descriptorLimit are the limits in the tests with a crowd. An idle
	// process uses about 23 MB.
	memoryLimit     = 64 << 20
	descriptorLimit = 400
	// reservedDescriptors are not available for connections.
	reservedDescriptors = 200
	// ordinarySessions is the number of callers that are connected before the crowd.
	ordinarySessions = 8
	// patience bounds how long a client of a crowd tries to send or receive.
	patience = 2 * time.Second
	// ordinaryTimeout bounds how long an ordinary caller tries to get an answer. It only
	// ends a test that has failed.
	ordinaryTimeout = 30 * time.Second
	sampleInterval  = 5 * time.Millisecond
)

// system is a running entry host, with a store and a backend server in this process.
type system struct {
	t                           *testing.T
	limits                      limits
	callers, readiness, peers   netip.AddrPort
	process                     *exec.Cmd
	ordinary                    []net.Conn
	exited                      chan struct{}
	peakMemory, peakConnections int
	sampled                     sync.WaitGroup
	stopSampling                context.CancelFunc
}

var (
	build    sync.Once
	program  string
	errBuild error
)

// TestMain removes the program that the tests have built.
func TestMain(m *testing.M) {
	code := m.Run()
	if program != "" {
		_ = os.RemoveAll(filepath.Dir(program))
	}
	os.Exit(code)
}

// buildProgram builds the program without the race detector, which would multiply its memory.
func buildProgram() {
	dir, err := os.MkdirTemp("", "basilmill")
	if err != nil {
		errBuild = err
		return
	}
	program = filepath.Join(dir, "basilmill")
	output, err := exec.Command("go", "build", "-o", program, "basilmill/cmd/basilmill").CombinedOutput()
	if err != nil {
		errBuild = fmt.Errorf("%w: %s", err, output)
	}
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// limits are the limits of the machine that the settings of a host state.
type limits struct{ memory, descriptors int }

// start starts an entry host and waits until it answers an ordinary request.
func start(t *testing.T, l limits) *system {
	t.Helper()
	build.Do(buildProgram)
	assert.NilError(t, errBuild)
	backendAddress := startBackend(t)
	store := &objectstore.Server{}
	store.Write("servers", "s1", map[string]any{
		"service": "orders", "address": backendAddress, "zone": "dc-a", "configVersion": "v1", "slots": 4, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "dbRole": "primary", "born": 1,
	})
	store.Write("config", "main", map[string]any{
		"configVersion": 1,
		"routes":        []any{map[string]any{"name": "r", "host": "orders", "routeType": "primary", "service": "orders", "timeoutMs": 2000, "targetLatencyMs": 1000}},
		"services":      []any{map[string]any{"name": "orders", "maxConns": 16, "syncReplicas": 1}},
		"limits":        map[string]any{"txIdleMs": 500},
	})
	api := httptest.NewServer(store)
	t.Cleanup(api.Close)
	s := &system{t: t, limits: l, callers: freeAddress(t), readiness: freeAddress(t), peers: freeAddress(t), exited: make(chan struct{})}
	file := filepath.Join(t.TempDir(), "node.conf")
	content := fmt.Sprintf(`nodeName=edge-1
zone=dc-a
region=r
ip=127.0.0.1
bindAddrs.front=%s
bindAddrs.ready=%s
internalPortRange=%d,%d
limits.memoryMb=%d
limits.maxFds=%d
platform.address=%s
cloudApi.address=%s
`, s.callers, s.readiness, s.peers.Port(), s.peers.Port()+8, l.memory>>20, l.descriptors, api.Listener.Addr(), api.Listener.Addr())
	assert.NilError(t, os.WriteFile(file, []byte(content), 0o600))
	s.process = exec.Command(program, "entry", "--settings", file)
	var output strings.Builder
	s.process.Stderr = &output
	assert.NilError(t, s.process.Start())
	go func() {
		_ = s.process.Wait()
		close(s.exited)
	}()
	t.Cleanup(func() {
		_ = s.process.Process.Kill()
		<-s.exited
		if t.Failed() {
			t.Logf("standard error of the host: %.4000s", output.String())
		}
	})
	s.ordinaryRequest()
	s.ordinary = s.sessions(ordinarySessions)
	assert.Equal(t, len(s.ordinary), ordinarySessions)
	ctx, cancel := context.WithCancel(context.Background())
	s.stopSampling = cancel
	t.Cleanup(cancel)
	s.sampled.Go(func() { s.sample(ctx) })
	return s
}

// sample records the largest memory and number of connections of the host.
func (s *system) sample(ctx context.Context) {
	for ctx.Err() == nil {
		s.peakMemory = max(s.peakMemory, s.statusField("VmRSS")+s.queuedBytes())
		s.peakConnections = max(s.peakConnections, s.connections())
		time.Sleep(sampleInterval) // The kernel does not report changes.
	}
}

// statusField returns a size in /proc/PID/status in bytes.
func (s *system) statusField(name string) int {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.process.Process.Pid))
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, name+":"); ok {
			kilobytes, _ := strconv.Atoi(strings.Fields(value)[0])
			return kilobytes << 10
		}
	}
	return 0
}

// queuedBytes returns the bytes that the kernel holds for the connections that the host
// has accepted: those that it has not read, and those that its peers have not read.
func (s *system) queuedBytes() int {
	content, _ := os.ReadFile("/proc/net/tcp")
	sum := 0
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		// The address, the state (0A is a listener) and "sent:received" in hexadecimal.
		if len(fields) < 5 || fields[3] == "0A" || !s.isListener(fields[1]) {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{sent, received} {
			n, _ := strconv.ParseInt(queue, 16, 64)
			sum += int(n)
		}
	}
	return sum
}

// isListener reports whether an address in /proc/net/tcp is one of the host.
func (s *system) isListener(address string) bool {
	_, port, _ := strings.Cut(address, ":")
	n, _ := strconv.ParseUint(port, 16, 16)
	return uint16(n) == s.callers.Port() || uint16(n) == s.readiness.Port() || uint16(n) == s.peers.Port()
}

// connections returns the number of sockets that the host has open.
func (s *system) connections() int {
	dir := fmt.Sprintf("/proc/%d/fd", s.process.Process.Pid)
	entries, _ := os.ReadDir(dir)
	sockets := 0
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return sockets
}

// check ends the test with an ordinary request, and checks that the host has stayed
// within its limits.
func (s *system) check() {
	s.t.Helper()
	s.ordinaryRequest()
	for _, conn := range s.ordinary {
		s.requestOn(conn)
	}
	s.checkReady()
	s.stopSampling()
	s.sampled.Wait()
	select {
	case <-s.exited:
		s.t.Fatal("the host has ended")
	default:
	}
	peak := max(s.peakMemory, s.statusField("VmHWM"))
	s.t.Logf("peak of %d MB and %d connections", peak>>20, s.peakConnections)
	assert.Check(s.t, peak <= s.limits.memory, "%d MB", peak>>20)
	assert.Check(s.t, s.peakConnections <= s.limits.descriptors-reservedDescriptors, "%d connections", s.peakConnections)
}

// ordinaryRequest connects as an ordinary caller and gets an answer. Like any caller it
// tries again after a refusal.
func (s *system) ordinaryRequest() {
	s.t.Helper()
	deadline := time.Now().Add(ordinaryTimeout)
	for {
		err := s.tryRequest()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("no answer to an ordinary request: %v", err)
		}
		time.Sleep(20 * time.Millisecond) // The time between two attempts of a caller.
	}
}

func (s *system) tryRequest() error {
	conn, err := s.open()
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	return request(conn)
}

// errRefused is the error of a request that was refused and not run.
var errRefused = errors.New("refused")

// requestOn gets an answer on the connection of an ordinary caller. It may be refused at
// first, but its connection must not be closed.
func (s *system) requestOn(conn net.Conn) {
	s.t.Helper()
	for deadline := time.Now().Add(ordinaryTimeout); ; {
		err := request(conn)
		if err == nil {
			return
		}
		if !errors.Is(err, errRefused) || time.Now().After(deadline) {
			s.t.Fatalf("no answer to an ordinary caller: %v", err)
		}
		time.Sleep(20 * time.Millisecond) // The time between two attempts of a caller.
	}
}

// request sends a read and reads its answer.
func request(conn net.Conn) error {
	_ = conn.SetDeadline(time.Now().Add(ordinaryTimeout))
	if _, err := io.WriteString(conn, "QUERY q READ item\r\n"); err != nil {
		return err
	}
	refusal := ""
	for lines := bufio.NewReader(conn); ; {
		line, err := lines.ReadString('\n')
		switch {
		case err != nil:
			return fmt.Errorf("%w after %q", err, refusal)
		case strings.HasPrefix(line, "READY") && refusal == "":
			return nil
		case strings.HasPrefix(line, "READY"):
			return fmt.Errorf("%w: %s", errRefused, refusal)
		case strings.HasPrefix(line, "ERROR"):
			refusal = line
		}
	}
}

// open opens a session.
func (s *system) open() (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", s.callers.String(), patience)
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(patience))
	if _, err = io.WriteString(conn, "CONNECT orders u\r\n"); err == nil {
		var answer [len("READY I -\r\n")]byte
		_, err = io.ReadFull(conn, answer[:])
		if err == nil && !strings.HasPrefix(string(answer[:]), "READY") {
			err = errors.New(string(answer[:]))
		}
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// checkReady checks that the host answers the load balancer's probe.
func (s *system) checkReady() {
	s.t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: ordinaryTimeout}
	deadline := time.Now().Add(ordinaryTimeout)
	for {
		response, err := client.Get(fmt.Sprintf("http://%s/basilmill/readiness", s.readiness))
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return
			}
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("the host is not ready: %v", err)
		}
		time.Sleep(20 * time.Millisecond) // The time between two probes.
	}
}

// sessions opens sessions for a crowd. Some may be refused.
func (s *system) sessions(n int) []net.Conn {
	return s.connect(n, s.open)
}

// rawConnections opens connections to an address for a crowd. Some may be refused.
func (s *system) rawConnections(n int, address netip.AddrPort) []net.Conn {
	return s.connect(n, func() (net.Conn, error) { return net.DialTimeout("tcp", address.String(), patience) })
}

func (s *system) connect(n int, open func() (net.Conn, error)) []net.Conn {
	var mu sync.Mutex
	var conns []net.Conn
	var wait sync.WaitGroup
	for range n {
		wait.Go(func() {
			conn, err := open()
			if err != nil {
				return
			}
			s.t.Cleanup(func() { _ = conn.Close() })
			mu.Lock()
			defer mu.Unlock()
			conns = append(conns, conn)
		})
	}
	wait.Wait()
	return conns
}

// each runs act with all connections at the same time. The connections stay open.
func each(conns []net.Conn, act func(net.Conn)) {
	var wait sync.WaitGroup
	for _, conn := range conns {
		wait.Go(func() {
			_ = conn.SetDeadline(time.Now().Add(patience))
			act(conn)
		})
	}
	wait.Wait()
}
