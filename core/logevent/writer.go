package logevent

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait for a slow reader: some seconds
	// of a host's log.
	queuedLines = 1000
	// flushTime bounds the wait of Close for a reader that has stopped.
	flushTime = 200 * time.Millisecond
)

// Writer passes lines on to another writer without ever blocking. Lines for
// which there is no room are dropped and counted.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	closing sync.Once
	dropped atomic.Int64
}

// NewWriter returns a Writer to w. Close it to write what is queued.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write queues one line. It always succeeds.
func (l *Writer) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines for which there was no room.
func (l *Writer) Dropped() int64 { return l.dropped.Load() }

// Close writes the queued lines, for as long as the reader takes them within a
// short time. Nothing may be written after it.
func (l *Writer) Close() error {
	l.closing.Do(func() { close(l.lines) })
	timer := time.NewTimer(flushTime)
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	}
	return nil
}

func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		if _, err := w.Write(line); err != nil {
			// There is nowhere to report that the log cannot be written.
			l.dropped.Add(1)
		}
	}
}
