package serve

import (
	"context"
	"time"

	"basilmill/core/control"
	"basilmill/core/failover"
	"basilmill/core/group"
)

// Evidence queries run while writes wait for confirmation. A stalled write is
// reported to the machine so that it can change the successor or the primary.
const (
	stallReportAfter    = 300 * time.Millisecond
	stallReportInterval = 300 * time.Millisecond
	// evidenceRetry is the pause after a failed evidence query.
	evidenceRetry = 20 * time.Millisecond
)

// setEvidence starts or stops the evidence queries of a group.
func (r *runner) setEvidence(view *control.GroupView) {
	id := view.Record.ID
	r.mu.Lock()
	defer r.mu.Unlock()
	stop, running := r.evidence[id]
	switch {
	case view.Rank >= 0 && !running:
		ctx, cancel := context.WithCancel(r.ctx)
		r.evidence[id] = cancel
		go r.gatherEvidence(ctx, id)
	case view.Rank < 0 && running:
		stop()
		delete(r.evidence, id)
	}
}

// gatherEvidence queries the successor of a group back to back while writes
// wait in the group's gate.
func (r *runner) gatherEvidence(ctx context.Context, id group.ID) {
	// Status connections count against the servers' limits, which the new
	// coordinators share.
	defer r.closePollers(id)
	g := r.awaitGroup(ctx, id)
	if g == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			// Writes that wait when the host stops coordinating are confirmed.
			r.confirmWaiting(id, g)
			return
		case <-g.Gate.Wake():
			r.confirmWaiting(id, g)
		}
	}
}

// confirmWaiting queries the successor until no write waits.
func (r *runner) confirmWaiting(id group.ID, g *control.Group) {
	var reported time.Time
	for since, waiting := g.Gate.OldestWait(); waiting && r.ctx.Err() == nil; since, waiting = g.Gate.OldestWait() {
		r.queryEvidence(r.ctx, id, g)
		if time.Since(since) > stallReportAfter && time.Since(reported) > stallReportInterval {
			reported = time.Now()
			r.groupEvent(id, failover.WritesStalled{Position: g.Gate.HighestPosition()})
		}
	}
}

// closePollers closes the status connections to a group's servers, unless the
// host coordinates the group again.
func (r *runner) closePollers(id group.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, again := r.evidence[id]; again {
		return
	}
	for key, p := range r.pollers {
		if key.group == id {
			go p.Close()
			delete(r.pollers, key)
		}
	}
}

// awaitGroup waits until the group is in the snapshot; the coordinators of a
// new group are chosen before it is published.
func (r *runner) awaitGroup(ctx context.Context, id group.ID) *control.Group {
	for ctx.Err() == nil {
		if g, ok := r.snapshot().Groups[id]; ok {
			return g
		}
		pause(ctx, evidenceRetry)
	}
	return nil
}

func (r *runner) queryEvidence(ctx context.Context, id group.ID, g *control.Group) {
	record := g.View().Record
	asked := record.Successor
	p, ok := r.poller(record, asked)
	if !ok {
		pause(ctx, evidenceRetry)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stallReportInterval)
	defer cancel()
	r.metrics.evidenceQueries.Inc()
	status, sentAt, err := p.Status(ctx)
	if err != nil {
		pause(ctx, evidenceRetry)
		return
	}
	g.Gate.Observe(status, sentAt, g.View().Record)
	r.post(control.StatusObserved{Group: id, Status: status, SentAt: sentAt})
}
