package serve

import (
	"basilmill/core/account"
	"basilmill/core/control"
	"basilmill/core/pool"
	"basilmill/io/backendserver"
)

// reservedCommandConnections is the number of connections to each server that
// are kept free for commands. In addition each coordinator has one for status
// queries.
const reservedCommandConnections = 1

// setConnectionLimits sets this host's part of the connection limit of each
// server of a group. The parts of all coordinators and their status and
// command connections together stay within the limit, provided that it leaves
// at least one connection for each coordinator.
func (r *runner) setConnectionLimits(view *control.GroupView) {
	coordinators := len(view.Coordinators)
	trafficLimit := max(view.Record.ConnectionLimit-coordinators-reservedCommandConnections, coordinators)
	for _, server := range view.Record.Servers {
		r.local.SetLimit(view.Record.ID, server.ID, pool.Split(trafficLimit, coordinators, view.Rank))
	}
}

// updateShare sets an account's share of the connections to a server if the
// account's template has changed or the server is new.
func (h *callerHost) updateShare(target backendserver.Target, sharing account.Sharing) {
	key := shareKey{serverKey{target.Group, target.Server}, target.Account}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.shares[key] == sharing {
		return
	}
	share := pool.Share{Weight: sharing.Weight, Max: sharing.MaxConnections, QueueLimit: sharing.QueueLimit}
	if h.local.SetShare(target.Group, target.Server, target.Account, share) {
		h.shares[key] = sharing
	}
}
