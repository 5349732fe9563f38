package proxy

import (
	"slices"
	"sync"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/link"
)

const (
	// failureBackoff is how long a server is avoided after a failed connection.
	// It doubles with each consecutive failure.
	failureBackoff = 300 * time.Millisecond
	// busyBackoff is how long a server is avoided after a busy answer: about the
	// execution time of one statement.
	busyBackoff = 20 * time.Millisecond
	// lagBackoff is how long a server is avoided for positions that it had not
	// reached when it answered that it is behind: a fraction of the time between
	// two writes of a session. It doubles with each consecutive answer of this
	// kind, because replication lag lasts for seconds and each attempt costs the
	// caller a round trip.
	lagBackoff = 40 * time.Millisecond
	// maxBackoff limits the doubling of failureBackoff and lagBackoff, so that a
	// server that has recovered is soon used again.
	maxBackoff = 1200 * time.Millisecond
	// latencySmoothing is the divisor of the exponential moving average of the
	// latency: a new sample has a weight of 1/latencySmoothing.
	latencySmoothing = 8
)

// healthTable holds the observed health of each backend server.
type healthTable struct {
	mu      sync.Mutex
	servers map[group.ServerID]*serverHealth
}

// serverHealth is the health of one backend server, as observed from its answers.
type serverHealth struct {
	mu sync.Mutex
	// avoidUntil is when the backoff after a failed connection or a busy answer
	// ends.
	avoidUntil time.Time
	// position is the end of the server's readable log in its last answer.
	position group.Position
	// laggingUntil is when the backoff after an answer that the server is behind
	// ends.
	laggingUntil time.Time
	// lastFailureBackoff and lastLagBackoff are the latest backoffs of each kind;
	// zero after an answer that ended the series.
	lastFailureBackoff, lastLagBackoff time.Duration
	// latency is the moving average of the read latency; zero without samples.
	latency time.Duration
	// load is what the holder of the connections stated last, at loadAt.
	load   link.ServerLoad
	loadAt time.Time
	// unanswered holds when the reads in flight were sent.
	unanswered []time.Time
}

// noteSent notes that a read was sent to a server. The returned function is to be called
// when it is answered or nobody waits for it any longer.
func (p *Proxy) noteSent(id group.ServerID, sentAt time.Time) (done func()) {
	h := p.health.get(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.unanswered = append(h.unanswered, sentAt)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		if i := slices.Index(h.unanswered, sentAt); i >= 0 {
			h.unanswered = slices.Delete(h.unanswered, i, i+1)
		}
	}
}

// get returns the health record of a server and creates it if necessary.
func (h *healthTable) get(id group.ServerID) *serverHealth {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.servers == nil {
		h.servers = map[group.ServerID]*serverHealth{}
	}
	if h.servers[id] == nil {
		h.servers[id] = &serverHealth{}
	}
	return h.servers[id]
}

// noteLoad notes the load of a server as the holder of a lease stated it, if it did.
func (p *Proxy) noteLoad(id group.ServerID, lease *link.Lease) {
	load, ok := lease.ServerLoad()
	if !ok {
		return
	}
	h := p.health.get(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.load, h.loadAt = load, time.Now()
}

// Prune drops the health records of servers that are no longer in the catalogue.
func (p *Proxy) Prune(view *catalog.View) {
	p.health.mu.Lock()
	defer p.health.mu.Unlock()
	for id := range p.health.servers {
		if _, ok := view.Servers[id]; !ok {
			delete(p.health.servers, id)
		}
	}
}

// recordAnswer updates a server's health from its answer to a read or its refusal
// of BEGIN, which was sent at the time.
func (p *Proxy) recordAnswer(server catalog.Server, answer exchange.Answer, sentAt time.Time) {
	p.noteReceipt(server, sentAt, answer)
	elapsed := p.now().Sub(sentAt)
	h := p.health.get(server.ID)
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if !answer.Position.IsZero() {
		h.position = answer.Position
	}
	h.lastFailureBackoff = 0
	if answer.Failure == nil {
		h.lastLagBackoff = 0
		if h.latency == 0 {
			h.latency = elapsed
		}
		h.latency += (elapsed - h.latency) / latencySmoothing
		return
	}
	switch answer.Failure.Code {
	case exchange.Busy:
		h.avoidUntil = now.Add(busyBackoff)
	case exchange.PositionNotReached:
		h.lastLagBackoff = nextBackoff(h.lastLagBackoff, lagBackoff)
		h.laggingUntil = now.Add(h.lastLagBackoff)
	default:
	}
}

// recordFailure backs off from a server that gave no answer, because it could not
// be reached, its connection was lost or the time ran out.
func (p *Proxy) recordFailure(id group.ServerID) {
	h := p.health.get(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastFailureBackoff = nextBackoff(h.lastFailureBackoff, failureBackoff)
	h.avoidUntil = time.Now().Add(h.lastFailureBackoff)
}

// nextBackoff returns twice the previous backoff, at least initial and at most
// maxBackoff.
func nextBackoff(previous, initial time.Duration) time.Duration {
	return min(max(2*previous, initial), maxBackoff)
}
