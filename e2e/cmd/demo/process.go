package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	pollInterval = 20 * time.Millisecond
	stopTimeout  = 15 * time.Second
)

// process is a program that the demo started.
type process struct {
	name    string
	cmd     *exec.Cmd
	logFile string
	done    chan struct{}
	err     error
}

// start starts a built program. Its output goes to a file that is kept when
// the demo fails.
func (d *demo) start(name, program string, args ...string) (*process, error) {
	path := filepath.Join(d.directory, name+".log")
	output, err := os.Create(path) //nolint:gosec // the demo's own directory
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(filepath.Join(d.bin, program), args...) //nolint:gosec,noctx // the demo's own programs, stopped by stopAll
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: cmd, logFile: path, done: make(chan struct{})}
	go func() {
		p.err = cmd.Wait()
		_ = output.Close()
		close(p.done)
	}()
	d.processes = append(d.processes, p)
	return p, nil
}

// terminate sends SIGTERM and waits for the process to exit without an error.
func (p *process) terminate() error {
	if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		return errors.New("did not end after SIGTERM")
	}
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// kill sends SIGKILL to a process.
func (d *demo) kill(name string) error {
	for _, p := range d.processes {
		if p.name == name {
			return p.cmd.Process.Kill()
		}
	}
	return fmt.Errorf("no process %s", name)
}

// stopAll stops the processes that the demo started. It sends SIGTERM to all of
// them, and SIGKILL to the first one that does not exit in time.
func (d *demo) stopAll() error {
	for i := len(d.processes) - 1; i >= 0; i-- {
		p := d.processes[i]
		if p.running() {
			_ = p.cmd.Process.Signal(syscall.SIGTERM)
		}
	}
	for _, p := range d.processes {
		select {
		case <-p.done:
		case <-time.After(stopTimeout):
			_ = p.cmd.Process.Kill()
			return fmt.Errorf("%s did not end after SIGTERM", p.name)
		}
	}
	return nil
}

// basilmill runs a command of the operator's tool and prints its output.
func (d *demo) basilmill(ctx context.Context, args ...string) error {
	output, err := exec.CommandContext(ctx, filepath.Join(d.bin, "basilmill"), args...).CombinedOutput() //nolint:gosec // the demo's own programs
	fmt.Print(string(output))
	return err
}

// poll calls attempt repeatedly until it succeeds or ctx is done. It then
// returns the last error.
func poll(ctx context.Context, attempt func() error) error {
	for {
		err := attempt()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

func awaitListener(ctx context.Context, address netip.AddrPort) error {
	return poll(ctx, func() error {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address.String())
		if err == nil {
			_ = conn.Close()
		}
		return err
	})
}

func awaitReady(ctx context.Context, h entryHost) error {
	return poll(ctx, func() error {
		_, err := get(ctx, h, "/ready")
		return err
	})
}

// get returns the body of an HTTP GET from a host's operator address.
func get(ctx context.Context, h entryHost, path string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operatorAddress.String()+path, nil)
	if err != nil {
		return "", err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", response.Status, body)
	}
	return string(body), err
}
