package serve

import (
	"context"
	"time"

	"basilmill/core/control"
	"basilmill/core/failover"
	"basilmill/core/group"
)

// Confirmation queries are status queries of a group's successor that run while
// writes wait for confirmation. A stalled write is reported to the group's
// failover state machine, which can then change the successor or the primary.
const (
	// stallReportThreshold is how long a write waits before it is reported as
	// stalled.
	stallReportThreshold = 300 * time.Millisecond
	// stallReportInterval is the minimum time between two reports for a group. It
	// also bounds one confirmation query.
	stallReportInterval = 300 * time.Millisecond
	// confirmationQueryBackoff is the pause after a failed confirmation query, and
	// between checks whether a new group has been published.
	confirmationQueryBackoff = 20 * time.Millisecond
)

// runConfirmationLoop confirms the writes that wait in the group's gate until
// the context ends.
func (r *runner) runConfirmationLoop(ctx context.Context, id group.ID) {
	defer r.confirmationLoopEnded(id)
	g := r.awaitGroup(ctx, id)
	if g == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			// Writes that still wait when the host stops coordinating the group are
			// confirmed before the loop ends.
			r.confirmWaitingWrites(id, g)
			return
		case <-g.Gate.Wake():
			r.confirmWaitingWrites(id, g)
		}
	}
}

// confirmWaitingWrites queries the successor back to back until no write
// waits or the host stops. It reports writes that wait for too long.
func (r *runner) confirmWaitingWrites(id group.ID, g *control.Group) {
	var lastReport time.Time
	for since, waiting := g.Gate.OldestWait(); waiting && r.ctx.Err() == nil; since, waiting = g.Gate.OldestWait() {
		r.querySuccessor(r.ctx, id, g)
		if time.Since(since) > stallReportThreshold && time.Since(lastReport) > stallReportInterval {
			lastReport = time.Now()
			r.postGroupEvent(id, failover.WritesStalled{Position: g.Gate.HighestPosition()})
		}
	}
}

// awaitGroup waits until the group is in the snapshot, because the
// coordinators of a new group are determined before the group is published.
// It returns nil if the context ends first.
func (r *runner) awaitGroup(ctx context.Context, id group.ID) *control.Group {
	for ctx.Err() == nil {
		if g, ok := r.snapshot().Groups[id]; ok {
			return g
		}
		sleep(ctx, confirmationQueryBackoff)
	}
	return nil
}

// querySuccessor queries the status of the group's successor once and passes
// the answer to the gate, which releases the writes that it confirms, and to
// the control thread.
func (r *runner) querySuccessor(ctx context.Context, id group.ID, g *control.Group) {
	record := g.View().Record
	successor := record.Successor
	coalescer, ok := r.coalescer(record, successor)
	if !ok {
		sleep(ctx, confirmationQueryBackoff)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stallReportInterval)
	defer cancel()
	r.metrics.confirmationQueries.Inc()
	status, sentAt, err := coalescer.Status(ctx)
	if err != nil {
		sleep(ctx, confirmationQueryBackoff)
		return
	}
	g.Gate.Observe(status, sentAt, g.View().Record)
	r.post(control.StatusObserved{Group: id, Status: status, SentAt: sentAt})
}
