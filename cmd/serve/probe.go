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

func (r *runner) probe(record *group.Record, a failover.Probe) {
	p, ok := r.poller(record, a.Server)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, a.Timeout)
	defer cancel()
	r.metrics.probes.Inc()
	slow := time.AfterFunc(pingAfter, func() { r.ping(ctx, record.ID, p, a) })
	defer slow.Stop()
	status, _, err := p.Status(ctx)
	var answer *pgconn.PgError
	switch {
	case err == nil:
		r.groupEvent(record.ID, failover.StatusReceived{Status: status, SentAt: a.SentAt})
		return
	case errors.As(err, &answer):
		// The server runs, although it gives no status: it is full or starting.
		r.groupEvent(record.ID, failover.ServerReached{Server: a.Server, SentAt: a.SentAt, Answered: true})
		return
	}
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	r.groupEvent(record.ID, failover.ProbeFailed{Server: a.Server, SentAt: a.SentAt, Refused: refused})
}

// ping asks a server whose status is late over a connection of its own.
func (r *runner) ping(ctx context.Context, id group.ID, p *serverPoller, a failover.Probe) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	r.metrics.pings.Inc()
	reached := failover.ServerReached{Server: a.Server, SentAt: time.Now()}
	err := r.dialer.Ping(ctx, p.server.Address, func() { r.groupEvent(id, reached) })
	if err == nil {
		reached.Answered = true
		r.groupEvent(id, reached)
	}
}

func (r *runner) observe(id group.ID, a failover.Observe) {
	to, ok := r.host(a.Host)
	if !ok {
		r.groupEvent(id, failover.ObservationFailed{From: a.Host, Server: a.Server})
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, failover.DefaultObserveTimeout)
	defer cancel()
	reply, err := r.peers.Observe(ctx, to, peer.Observation{
		Group: id, Server: a.Server, Term: a.Term, Timeout: failover.DefaultObserveTimeout,
	})
	if err != nil {
		r.groupEvent(id, failover.ObservationFailed{From: a.Host, Server: a.Server})
		return
	}
	r.groupEvent(id, failover.ObservationReceived{
		From: to.ID, DataCentre: to.DataCentre, Server: a.Server, Term: a.Term, Reachable: reply.Reachable,
	})
}

func (r *runner) host(id host.ID) (host.Info, bool) {
	for _, h := range r.snapshot().Hosts {
		if h.ID == id {
			return h, true
		}
	}
	return host.Info{}, false
}

// awaitObservation asks the own machine on behalf of another watcher.
func (r *runner) awaitObservation(ctx context.Context, key observation) (reachable bool, err error) {
	answer := make(chan bool, 1)
	r.mu.Lock()
	r.observations[key] = append(r.observations[key], answer)
	r.mu.Unlock()
	r.groupEvent(key.group, failover.ObserveRequested{From: key.from, Server: key.server, Term: key.term})
	select {
	case reachable = <-answer:
		return reachable, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func (r *runner) answerObservation(id group.ID, a failover.Observation) {
	key := observation{group: id, from: a.To, server: a.Server, term: a.Term}
	r.mu.Lock()
	waiting := r.observations[key]
	delete(r.observations, key)
	r.mu.Unlock()
	for _, answer := range waiting {
		answer <- a.Reachable
	}
}
