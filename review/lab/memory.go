package main

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is limits.memoryMb of a small deployment, 284.
	memoryLimit = 284 << 20
	// sessionsPerHost is half of the 296 sessions that stand open on the small
	// deployment, which has two hosts left.
	sessionsPerHost = 148
	// largeData and usualData are the bytes of data in a statement: nearly the largest
	// message, and the largest request of the site file.
	largeData, usualData = 1<<20 - 200, 2400
	// endsUntilFault is the number of ends at which a host counts for the rule.
	endsUntilFault = 3
	restartDelay   = 500 * time.Millisecond
)

var errOverLimit = errors.New("memory over the limit")

// memory opens the sessions of a small deployment on two hosts. Each session writes one
// item, reads it back and then stays idle; one statement is in flight on a host at a
// time. The platform kills a process that exceeds its memory, and starts it again.
func memory(l *lab) (broken bool, err error) {
	p, err := newPlatform()
	if err != nil {
		return false, err
	}
	if _, err := newService(l, p, "huvo11a", "i-1", "i-2", "i-3"); err != nil {
		return false, err
	}
	p.put("config", "main", config())
	size := usualData
	if l.trouble {
		size = largeData
	}
	var wait sync.WaitGroup
	var mu sync.Mutex
	faulty := 0
	for i := range 2 {
		h, startErr := l.startHost(fmt.Sprintf("edge-gent-a-%d", i+1), "gent-a", p)
		if startErr != nil {
			return false, startErr
		}
		if err := awaitService(l, h); err != nil {
			return false, err
		}
		wait.Go(func() {
			ends, playErr := l.fill(h, strings.Repeat("x", size))
			mu.Lock()
			defer mu.Unlock()
			err = errors.Join(err, playErr)
			if ends >= endsUntilFault {
				faulty++
			}
		})
	}
	wait.Wait()
	if faulty == 2 {
		l.logf("Fault: on two machines the process exceeded its memory %d times", endsUntilFault)
	}
	return faulty == 2, err
}

// fill opens the sessions of a host, again after each end of its process. It returns
// how often the process exceeded its memory.
func (l *lab) fill(h *entryHost, data string) (ends int, err error) {
	for ends < endsUntilFault {
		err := l.openAll(h, ends, data)
		if err == nil {
			return ends, nil
		}
		if !errors.Is(err, errOverLimit) {
			return ends, err
		}
		ends++
		l.logf("%s is killed: %v, %d times by now", h.name, err, ends)
		h.kill()
		time.Sleep(restartDelay)
		if err := l.spawn(h); err != nil {
			return ends, err
		}
		if err := l.awaitReady(h); err != nil {
			return ends, err
		}
		if err := awaitService(l, h); err != nil {
			return ends, err
		}
	}
	return ends, nil
}

// openAll opens all sessions of a host. It returns errOverLimit when the memory of the
// process is over the limit.
func (l *lab) openAll(h *entryHost, round int, data string) error {
	var open []*client
	defer func() {
		for _, c := range open {
			c.close()
		}
	}()
	for i := range sessionsPerHost {
		c, err := l.connect(h, "lepu270")
		if err != nil {
			return err
		}
		open = append(open, c)
		id := fmt.Sprintf("%s.%d.%d", h.name, round, i)
		if _, err := c.query(id+".w", fmt.Sprintf("WRITE %d %s", i, data)); err != nil {
			return err
		}
		if _, err := c.query(id+".r", fmt.Sprintf("READ %d", i)); err != nil {
			return err
		}
		if err := l.checkMemory(h, len(open)); err != nil {
			return err
		}
	}
	// All sessions are idle.
	time.Sleep(3 * time.Second)
	return l.checkMemory(h, len(open))
}

// checkMemory returns errOverLimit if the resident memory of a host is over the limit.
func (l *lab) checkMemory(h *entryHost, sessions int) error {
	resident, err := residentBytes(h.cmd.Process.Pid)
	if err != nil {
		return err
	}
	if sessions%20 == 0 || resident > memoryLimit {
		l.logf("%s has %d MiB with %d sessions", h.name, resident>>20, sessions)
	}
	if resident > memoryLimit {
		return errOverLimit
	}
	return nil
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for _, line := range strings.Split(string(content), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, errors.New("no resident memory in the status of the process")
}
