package entry

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"basilmill/core/budget"
	"basilmill/core/exchange"
	"basilmill/core/logevent"
)

const (
	// maxHeaderSize bounds the headers of an HTTP request. Those of other hosts have less
	// than 1 KiB.
	maxHeaderSize = 16 << 10
	// requestTimeout bounds a readiness probe, and the writing of the metrics.
	requestTimeout = 5 * time.Second
	// probeIdleTimeout and hostIdleTimeout bound how long an idle connection is kept. Load
	// balancers probe each second; other hosts close idle connections earlier.
	probeIdleTimeout = 30 * time.Second
	hostIdleTimeout  = 2 * time.Minute
	// maxScrapes bounds the requests for metrics that are served at the same time.
	maxScrapes = 4
	// writePieceSize is the size of the pieces in which an answer is written, so that the
	// progress of a caller that reads slowly is noticed.
	writePieceSize = 16 << 10
	// minExpectedAnswer is the size from which a statement is refused if there is no memory
	// for its answer. Smaller ones are bounded by the number of sessions.
	minExpectedAnswer = 16 << 10
	// discardedAnswer is the assumed size of an answer for which there was no memory: a row
	// of the largest size, and its encoded form.
	discardedAnswer = 2 << 20
	// stalledInterval is the period between checks for messages that take too long.
	stalledInterval = time.Second
	// placeInterval is the shortest time between two connections that are closed for the
	// place of another one. Clients that connect again at once could otherwise use a
	// processor.
	placeInterval = time.Millisecond
)

// limitClients connects the budget with the metrics and the log.
func (h *Host) limitClients() {
	if h.platform.Budget == nil {
		h.platform.Budget = budget.New(0)
	}
	h.platform.Budget.OnClose = h.clientClosed
	h.platform.Budget.OnRefuse = h.clientLimited
}

// clientClosed counts and logs that a connection is closed at a limit.
func (h *Host) clientClosed(peer, limit string) {
	h.metrics.clientsClosed.WithLabelValues(limit).Inc()
	h.log.Write(context.Background(), logevent.ClientClosed, slog.String("peer", peer), slog.String("limit", limit))
}

// clientLimited counts and logs that something is refused at a limit.
func (h *Host) clientLimited(peer, limit string) {
	h.metrics.clientRefusals.WithLabelValues(limit).Inc()
	h.log.Write(context.Background(), logevent.ClientLimited, slog.String("peer", peer), slog.String("limit", limit))
}

// closeStalled regularly closes the connections whose message takes too long.
func (h *Host) closeStalled(ctx context.Context) error {
	ticker := time.NewTicker(stalledInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			h.platform.Budget.CloseOverdue()
		}
	}
}

// budgetedCodec is implemented by codecs that count the bytes of a caller's messages.
type budgetedCodec interface{ SetHolder(*budget.Holder) }

// callerConn is a caller's connection that reports its progress.
type callerConn struct {
	net.Conn
	holder *budget.Holder
}

func (c *callerConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.holder.Progress(n)
	}
	return n, err
}

func (c *callerConn) Write(data []byte) (written int, err error) {
	for len(data) > writePieceSize {
		n, err := c.Conn.Write(data[:writePieceSize])
		written += n
		if err != nil {
			return written, err
		}
		c.holder.Progress(n)
		data = data[n:]
	}
	n, err := c.Conn.Write(data)
	return written + n, err
}

// answerSize returns the bytes that an answer and its encoded form use.
func answerSize(a exchange.Answer) int {
	size := 0
	for _, row := range a.Rows {
		size += 2 * len(row)
	}
	return size
}

// expectedSize returns the size that the next answer of a session probably has, if the
// last one was a.
func expectedSize(a exchange.Answer) int {
	if a.Failure != nil && a.Failure.Code == exchange.TooLarge {
		return discardedAnswer
	}
	return answerSize(a)
}

// limitWriteTime bounds the time in which the answers of a handler are written.
func limitWriteTime(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Without the deadline the answer is written as before.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(requestTimeout))
		handler.ServeHTTP(w, r)
	})
}

// places bounds the connections to an HTTP listener.
type places struct {
	limit   int
	onClose func(peer string)

	mu    sync.Mutex
	conns map[net.Conn]*place
	// shared counts the connections of each address.
	shared map[netip.Addr]int
}

type place struct {
	address netip.Addr
	active  bool
	since   time.Time
}

// observe follows the states of the connections, and closes one if there are too many.
func (p *places) observe(conn net.Conn, state http.ConnState) {
	p.mu.Lock()
	var closed net.Conn
	now := time.Now()
	switch state {
	case http.StateNew:
		p.add(conn, now)
		if len(p.conns) > p.limit {
			closed = p.choose(conn, now)
			p.remove(closed)
		}
	case http.StateActive, http.StateIdle:
		if known := p.conns[conn]; known != nil {
			known.active, known.since = state == http.StateActive, now
		}
	case http.StateClosed, http.StateHijacked:
		p.remove(conn)
	}
	p.mu.Unlock()
	if closed != nil {
		p.onClose(closed.RemoteAddr().String())
		_ = closed.Close()
	}
}

func (p *places) add(conn net.Conn, now time.Time) {
	if p.conns == nil {
		p.conns, p.shared = map[net.Conn]*place{}, map[netip.Addr]int{}
	}
	var address netip.Addr
	if remote, err := netip.ParseAddrPort(conn.RemoteAddr().String()); err == nil {
		address = remote.Addr()
	}
	p.conns[conn] = &place{address: address, since: now}
	p.shared[address]++
}

func (p *places) remove(conn net.Conn) {
	known := p.conns[conn]
	if known == nil {
		return
	}
	delete(p.conns, conn)
	if p.shared[known.address]--; p.shared[known.address] == 0 {
		delete(p.shared, known.address)
	}
}

// choose returns the connection to close, the new one if no other may be closed.
func (p *places) choose(newest net.Conn, now time.Time) net.Conn {
	conns := make([]net.Conn, 0, len(p.conns))
	candidates := make([]budget.Place, 0, len(p.conns))
	for conn, known := range p.conns {
		conns = append(conns, conn)
		candidates = append(candidates, budget.Place{Shared: p.shared[known.address], Active: known.active, Age: now.Sub(known.since)})
	}
	if i := budget.Crowded(candidates); i >= 0 {
		return conns[i]
	}
	return newest
}
