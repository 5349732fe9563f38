package serve

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"basilmill/core/failover"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/io/peer"
)

// probe queries a server's status for the failover state machine. If the
// answer takes longer than pingDelay, it also pings the server.
func (r *runner) probe(record *group.Record, a failover.Probe) {
	coalescer, ok := r.coalescer(record, a.Server)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, a.Timeout)
	defer cancel()
	r.metrics.probes.Inc()
	pingTimer := time.AfterFunc(pingDelay, func() { r.ping(ctx, record.ID, coalescer, a) })
	defer pingTimer.Stop()
	status, _, err := coalescer.Status(ctx)
	var serverErr *pgconn.PgError
	switch {
	case err == nil:
		r.postGroupEvent(record.ID, failover.StatusReceived{Status: status, SentAt: a.SentAt})
		return
	case errors.As(err, &serverErr):
		// An error response proves that the server process runs, for example at its
		// connection limit or while it starts.
		r.postGroupEvent(record.ID, failover.ServerReached{Server: a.Server, SentAt: a.SentAt, Answered: true})
		return
	}
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	r.postGroupEvent(record.ID, failover.ProbeFailed{Server: a.Server, SentAt: a.SentAt, Refused: refused})
}

// ping checks over a separate connection whether a server whose status answer
// is late can be reached.
func (r *runner) ping(ctx context.Context, id group.ID, coalescer *serverCoalescer, a failover.Probe) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	r.metrics.pings.Inc()
	reached := failover.ServerReached{Server: a.Server, SentAt: time.Now()}
	err := r.dialer.Ping(ctx, coalescer.server.Address, func() { r.postGroupEvent(id, reached) })
	if err == nil {
		reached.Answered = true
		r.postGroupEvent(id, reached)
	}
}

// requestObservation asks another coordinator whether it reaches a server.
func (r *runner) requestObservation(id group.ID, a failover.Observe) {
	to, ok := r.findHost(a.Host)
	if !ok {
		r.postGroupEvent(id, failover.ObservationFailed{From: a.Host, Server: a.Server})
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, failover.DefaultObserveTimeout)
	defer cancel()
	reply, err := r.peers.Observe(ctx, to, peer.Observation{
		Group: id, Server: a.Server, Term: a.Term, Timeout: failover.DefaultObserveTimeout,
	})
	if err != nil {
		r.postGroupEvent(id, failover.ObservationFailed{From: a.Host, Server: a.Server})
		return
	}
	r.postGroupEvent(id, failover.ObservationReceived{
		From: to.ID, DataCentre: to.DataCentre, Server: a.Server, Term: a.Term, Reachable: reply.Reachable,
	})
}

func (r *runner) findHost(id host.ID) (host.Info, bool) {
	for _, h := range r.snapshot().Hosts {
		if h.ID == id {
			return h, true
		}
	}
	return host.Info{}, false
}

// awaitObservation answers another coordinator's observation request: it
// passes the request to this host's failover state machine and waits for the
// answer.
func (r *runner) awaitObservation(ctx context.Context, key observationKey) (reachable bool, err error) {
	result := make(chan bool, 1)
	r.mu.Lock()
	r.pendingObservations[key] = append(r.pendingObservations[key], result)
	r.mu.Unlock()
	r.postGroupEvent(key.group, failover.ObserveRequested{From: key.from, Server: key.server, Term: key.term})
	select {
	case reachable = <-result:
		return reachable, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// deliverObservation passes the answer of the failover state machine to all
// requests that wait for it.
func (r *runner) deliverObservation(id group.ID, a failover.Observation) {
	key := observationKey{group: id, from: a.To, server: a.Server, term: a.Term}
	r.mu.Lock()
	waiting := r.pendingObservations[key]
	delete(r.pendingObservations, key)
	r.mu.Unlock()
	for _, result := range waiting {
		result <- a.Reachable
	}
}
