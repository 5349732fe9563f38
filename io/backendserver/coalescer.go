package backendserver

import (
	"context"
	"sync"
	"time"

	"basilmill/core/group"
)

// StatusCoalescer combines concurrent status queries of one backend server and
// sends them one at a time over one connection. It serves probes, evidence queries
// and floor queries. The answer to a query goes to all requests made before the
// query was sent, so that thousands of waiting requests cost one query.
type StatusCoalescer struct {
	client *ControlClient
	// queryTimeout bounds one query. It is longer than callers of Status wait,
	// because a late answer still proves that the server runs.
	queryTimeout time.Duration

	mu      sync.Mutex
	next    *statusQuery
	running bool
}

// statusQuery is one status query. done is closed once the result is set.
type statusQuery struct {
	done   chan struct{}
	status group.Status
	sentAt time.Time
	err    error
}

// NewStatusCoalescer returns a StatusCoalescer that uses the client.
func NewStatusCoalescer(client *ControlClient, queryTimeout time.Duration) *StatusCoalescer {
	return &StatusCoalescer{client: client, queryTimeout: queryTimeout}
}

// Status returns the answer to a query that is sent after the call, and the time
// at which it was sent. The context bounds the wait, not the query itself.
func (c *StatusCoalescer) Status(ctx context.Context) (status group.Status, sentAt time.Time, err error) {
	q := c.enqueue()
	select {
	case <-q.done:
		return q.status, q.sentAt, q.err
	case <-ctx.Done():
		return group.Status{}, time.Time{}, ctx.Err()
	}
}

// ControlClient returns the client that sends the queries. Commands that are
// answered as quickly as a status query can use it instead of opening a connection.
func (c *StatusCoalescer) ControlClient() *ControlClient { return c.client }

// Close closes the connection. Later queries fail.
func (c *StatusCoalescer) Close() { c.client.Close() }

// enqueue returns the next query to be sent and starts run if it is not running.
func (c *StatusCoalescer) enqueue() *statusQuery {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.next == nil {
		c.next = &statusQuery{done: make(chan struct{})}
	}
	if !c.running {
		c.running = true
		go c.run()
	}
	return c.next
}

// run sends queries one at a time until no further query is requested.
func (c *StatusCoalescer) run() {
	for {
		q := c.takeNext()
		if q == nil {
			return
		}
		c.send(q)
		close(q.done)
	}
}

func (c *StatusCoalescer) send(q *statusQuery) {
	ctx, cancel := context.WithTimeout(context.Background(), c.queryTimeout)
	defer cancel()
	q.sentAt = time.Now()
	q.status, q.err = c.client.Status(ctx)
}

// takeNext returns the query to send. If there is none it returns nil, and run must
// stop.
func (c *StatusCoalescer) takeNext() *statusQuery {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.next
	c.next = nil
	c.running = q != nil
	return q
}
