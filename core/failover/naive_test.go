package failover_test

import (
	"time"

	"basilmill/core/distribution"
	"basilmill/core/failover"
	"basilmill/core/group"
)

// naiveDecider promotes the most advanced reachable server that its eligibility
// rule accepts once the primary has not answered for a second. It shows that
// the simulation detects the faults of weaker rules.
type naiveDecider struct {
	sim         *simulation
	record      *group.Record
	version     distribution.Version
	servers     map[group.ServerID]*naiveServer
	nextProbeAt time.Time
	updatedAt   time.Time
}

type naiveServer struct {
	lastAnswerAt time.Time
	status       group.Status
}

func (n *naiveDecider) NextTimer() time.Time { return n.nextProbeAt }

func (n *naiveDecider) Handle(e failover.Event) (out []failover.Action) {
	switch e := e.(type) {
	case failover.RecordChanged:
		n.adopt(e.Record, e.Version)
	case failover.UpdateApplied:
		n.adopt(e.Record, e.Version)
	case failover.UpdateConflict:
		n.adopt(e.Record, e.Version)
	case failover.StatusReceived:
		n.servers[e.Status.Server] = &naiveServer{time.Now(), e.Status}
	}
	if n.record == nil || time.Now().Before(n.nextProbeAt) {
		return nil
	}
	n.nextProbeAt = time.Now().Add(failover.DefaultProbeInterval)
	for _, s := range n.record.Servers {
		out = append(out, failover.Probe{Server: s.ID, SentAt: time.Now()})
		if view := n.servers[s.ID]; view != nil && n.servers[n.record.Primary] != nil {
			out = n.command(out, s.ID, view)
		}
	}
	p := n.servers[n.record.Primary]
	if p != nil && time.Since(p.lastAnswerAt) > time.Second && time.Since(n.updatedAt) > time.Second {
		out = n.replace(out)
	}
	return out
}

func (n *naiveDecider) adopt(r *group.Record, v distribution.Version) {
	if v > n.version {
		n.record, n.version = r, v
	}
}

func (n *naiveDecider) command(out []failover.Action, id group.ServerID, v *naiveServer) []failover.Action {
	r := n.record
	switch {
	case v.status.Term >= r.Term:
		return out
	case id == r.Primary:
		return append(out, failover.Execute{Command: failover.Promote{Server: id, Term: r.Term, Generation: r.Generation, Successor: r.Successor}})
	case n.servers[r.Primary].status.Term == r.Term:
		return append(out, failover.Execute{Command: failover.Follow{Server: id, Term: r.Term, Primary: r.Primary}})
	}
	return out
}

func (n *naiveDecider) replace(out []failover.Action) []failover.Action {
	var best, second group.ServerID
	for _, s := range n.record.Servers {
		view := n.servers[s.ID]
		if s.ID == n.record.Primary || view == nil || time.Since(view.lastAnswerAt) > time.Second {
			continue
		}
		if n.sim.naiveEligible(n.record, view.status) && (best == "" || view.status.Received > n.servers[best].status.Received) {
			best, second = s.ID, best
		} else {
			second = s.ID
		}
	}
	if best == "" {
		return out
	}
	n.updatedAt = time.Now()
	next := *n.record
	next.Term++
	next.Generation++
	next.Primary, next.Successor = best, second
	next.Changes = []group.Change{{Cause: "naive"}}
	return append(out, failover.UpdateRecord{Record: &next, ExpectedVersion: n.version})
}
