package logevent

import (
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines bounds the lines that wait while the underlying writer is
	// slow. It holds some seconds of a host's log.
	maxQueuedLines = 1000
	// flushTimeout bounds the time that Close waits for an underlying writer
	// that blocks.
	flushTimeout = 200 * time.Millisecond
)

// Writer queues lines and writes them to another writer in the background, so that
// Write never blocks. It drops and counts the lines for which the queue is full.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	closing sync.Once
	dropped atomic.Int64
}

// NewWriter returns a Writer that writes to w. Call Close to write the lines that
// are still queued.
func NewWriter(w io.Writer) *Writer {
	l := &Writer{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go l.run(w)
	return l
}

// Write queues one line or drops it. It never returns an error.
func (l *Writer) Write(line []byte) (int, error) {
	select {
	case l.lines <- append([]byte(nil), line...):
	default:
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were not written, because the queue
// was full or the write failed.
func (l *Writer) Dropped() int64 { return l.dropped.Load() }

// Close waits until the queued lines are written, but no longer than
// flushTimeout. Write must not be called after it.
func (l *Writer) Close() error {
	l.closing.Do(func() { close(l.lines) })
	timer := time.NewTimer(flushTimeout)
	defer timer.Stop()
	select {
	case <-l.done:
	case <-timer.C:
	}
	return nil
}

// run writes queued lines to w until Close is called and the queue is empty.
func (l *Writer) run(w io.Writer) {
	defer close(l.done)
	for line := range l.lines {
		if _, err := w.Write(line); err != nil {
			// A failure to write the log cannot be logged, so it is only counted.
			l.dropped.Add(1)
		}
	}
}
