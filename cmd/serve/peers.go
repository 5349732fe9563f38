package serve

import (
	"context"
	"time"

	"basilmill/core/control"
	"basilmill/core/distribution"
	"basilmill/core/failover"
	"basilmill/core/host"
	"basilmill/core/outcome"
	"basilmill/io/backendserver"
	"basilmill/io/caller"
	"basilmill/io/peer"
)

// peerHandler implements peer.Handler: it handles the requests of other
// hosts.
type peerHandler struct {
	post         func(control.Input)
	snapshot     func() *control.Snapshot
	runner       *runner
	callerHost   *callerHost
	hostList     *hostList
	callerServer *caller.Server
}

// Pull returns the objects that changed after a version, and the host list if
// it differs from that of the requesting host. It waits until there is either,
// or until the pull times out.
func (h *peerHandler) Pull(ctx context.Context, from host.Info, pull peer.Pull) (peer.PullReply, error) {
	h.post(control.HostContacted{Info: from, Applied: pull.AppliedVersion, Summary: pull.Applied})
	s := h.awaitChange(ctx, pull)
	reply := peer.PullReply{
		Update:  distribution.Update{After: pull.After, Version: pull.After},
		Applied: s.Applied,
		Hosts:   h.hostList.ifChanged(pull.HostsDigest),
		Current: time.Since(s.LastContact) < configTTL,
	}
	if s.Version <= pull.After {
		return reply, nil
	}
	update := make(chan distribution.Update, 1)
	h.post(control.ObjectsRequested{After: pull.After, Reply: update})
	select {
	case reply.Update = <-update:
		return reply, nil
	case <-ctx.Done():
		return peer.PullReply{}, ctx.Err()
	}
}

// awaitChange waits until this host has a higher version or another host list
// than the requesting host, or until the pull times out.
func (h *peerHandler) awaitChange(ctx context.Context, pull peer.Pull) *control.Snapshot {
	timer := time.NewTimer(min(pull.WaitTimeout, watchWaitTimeout))
	defer timer.Stop()
	for {
		s := h.snapshot()
		if s.Version > pull.After || h.hostList.ifChanged(pull.HostsDigest) != nil {
			return s
		}
		select {
		case <-s.Changed:
		case <-timer.C:
			return h.snapshot()
		case <-ctx.Done():
			return s
		}
	}
}

// Observe returns whether this host reaches a backend server.
func (h *peerHandler) Observe(ctx context.Context, from host.Info, o peer.Observation) (peer.ObservationReply, error) {
	h.post(control.HostContacted{Info: from})
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	reachable, err := h.runner.awaitObservation(ctx, observationKey{group: o.Group, from: from.ID, server: o.Server, term: o.Term})
	return peer.ObservationReply{Reachable: reachable}, err
}

// Suspect makes the group's failover state machine probe at once.
func (h *peerHandler) Suspect(_ context.Context, from host.Info, s peer.Suspicion) error {
	h.post(control.GroupEvent{Group: s.Group, Event: failover.SuspicionReported{From: from.ID}})
	return nil
}

// Announce records that another host is leaving.
func (h *peerHandler) Announce(_ context.Context, from host.Info) error {
	h.post(control.HostLeaving{Info: from})
	return nil
}

// Cancel cancels the running statement of a session on this host.
func (h *peerHandler) Cancel(ctx context.Context, _ host.Info, processID uint32, secret []byte) {
	h.callerServer.Cancel(ctx, processID, secret)
}

// Confirm waits until a write is confirmed, on a coordinator of its group.
func (h *peerHandler) Confirm(ctx context.Context, _ host.Info, c peer.Confirmation) error {
	g, ok := h.snapshot().Groups[c.Group]
	if !ok || g.View().Rank < 0 {
		return outcome.Unresolved("the host does not coordinate the group", nil)
	}
	return confirm(ctx, g, c.Generation, c.Position, c.Effect)
}

// Start routes a forwarded request and opens a conversation for it.
func (h *peerHandler) Start(ctx context.Context, _ host.Info, start peer.Start) (peer.Started, backendserver.Conversation, error) {
	return h.callerHost.startForwarded(ctx, start)
}
