package main

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run to the record of a case.
type record struct {
	mu         sync.Mutex
	started    time.Time
	file       *os.File
	out        *bufio.Writer
	executions []execution
	// runSample, if not zero, makes only every so many runs of a database be written, after the
	// first ones; runs counts them.
	runSample, runs int
}

// execution is one run of a prepared statement on a database.
type execution struct{ id, conn, kind, shape string }

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

func (r *record) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// firstRuns is the number of runs that are written in any case.
const firstRuns = 30

// noteRun notes that a database ran a statement.
func (r *record) noteRun(format string, arguments ...any) {
	r.mu.Lock()
	r.runs++
	written := r.runSample == 0 || r.runs <= firstRuns || r.runs%r.runSample == 0
	r.mu.Unlock()
	if written {
		r.note(format, arguments...)
	}
}

func (r *record) noteExecution(e execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.executions = append(r.executions, e)
}

// executionOf returns the run of the prepared statement with an id.
func (r *record) executionOf(id string) (execution, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.executions {
		if e.id == id {
			return e, true
		}
	}
	return execution{}, false
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

const maxBrief = 120

// brief returns a text, or the size and a digest of a long one.
func brief(text string) string {
	if len(text) <= maxBrief {
		return text
	}
	sum := sha256.Sum256([]byte(text))
	return fmt.Sprintf("%s..(%d bytes, %x)", text[:24], len(text), sum[:6])
}

// readLine reads a line that ends with CR LF and returns it without that.
func readLine(lines *bufio.Reader) (string, error) {
	var line strings.Builder
	for {
		part, err := lines.ReadString('\n')
		if err != nil {
			return "", err
		}
		line.WriteString(part)
		if line.Len() > maxMessage {
			return "", fmt.Errorf("message of %d bytes", line.Len())
		}
		if strings.HasSuffix(part, "\r\n") {
			return strings.TrimSuffix(line.String(), "\r\n"), nil
		}
	}
}
