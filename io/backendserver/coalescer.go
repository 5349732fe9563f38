package backendserver

import (
	"context"
	"errors"
	"sync"
	"time"

	"basilmill/core/group"
)

// StatusCoalescer shares status queries of one server over one connection: probes,
// evidence queries and floor queries. A query serves every caller that asked
// before it was sent, so that thousands of waiting requests cost one query.
type StatusCoalescer struct {
	control *ControlClient
	// timeout bounds one query. It is above the time at which callers give
	// up, because a late answer still proves that the server runs.
	timeout time.Duration

	mu      sync.Mutex
	next    *poll
	running bool
	closed  bool
}

// errClosed ends queries of a poller that was closed.
var errClosed = errors.New("the poller is closed")

// poll is one status query; done is closed when its result is set.
type poll struct {
	done   chan struct{}
	status group.Status
	sentAt time.Time
	err    error
}

// NewStatusCoalescer returns a poller over a control connection.
func NewStatusCoalescer(control *ControlClient, timeout time.Duration) *StatusCoalescer {
	return &StatusCoalescer{control: control, timeout: timeout}
}

// Status returns the answer to a query that was sent after the call, and when
// it was sent. The context bounds the wait, not the query.
func (p *StatusCoalescer) Status(ctx context.Context) (status group.Status, sentAt time.Time, err error) {
	q := p.join()
	select {
	case <-q.done:
		return q.status, q.sentAt, q.err
	case <-ctx.Done():
		return group.Status{}, time.Time{}, ctx.Err()
	}
}

// ControlClient returns the control connection, for commands that are answered as
// quickly as a status query. It saves opening a connection.
func (p *StatusCoalescer) ControlClient() *ControlClient { return p.control }

// Close closes the connection. Later queries fail.
func (p *StatusCoalescer) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.control.Close()
}

// join returns the next query to be sent and makes sure that it will be.
func (p *StatusCoalescer) join() *poll {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == nil {
		p.next = &poll{done: make(chan struct{})}
	}
	if !p.running {
		p.running = true
		go p.run()
	}
	return p.next
}

// run sends queries one after the other until nobody waits for one.
func (p *StatusCoalescer) run() {
	for {
		q := p.take()
		if q == nil {
			return
		}
		p.query(q)
		close(q.done)
	}
}

func (p *StatusCoalescer) query(q *poll) {
	p.mu.Lock()
	closed := p.closed
	p.mu.Unlock()
	if closed {
		q.err = errClosed
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), p.timeout)
	defer cancel()
	q.sentAt = time.Now()
	q.status, q.err = p.control.Status(ctx)
}

func (p *StatusCoalescer) take() *poll {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := p.next
	p.next = nil
	p.running = q != nil
	return q
}
