package serve

import (
	"basilmill/core/account"
	"basilmill/core/control"
	"basilmill/core/pool"
	"basilmill/io/backendserver"
)

// controlReserve is the number of connections to each server that are kept
// free for commands. In addition each coordinator has one for status queries.
const controlReserve = 1

// setLimits sets the own part of the connection limit of each server of a
// group. The parts of all coordinators and their control connections together
// stay within the limit.
func (r *runner) setLimits(view *control.GroupView) {
	n := len(view.Coordinators)
	traffic := max(view.Record.ConnectionLimit-n-controlReserve, n)
	for _, server := range view.Record.Servers {
		r.local.SetLimit(view.Record.ID, server.ID, pool.Split(traffic, n, view.Rank))
	}
}

// share sets an account's share of the connections to a server, when the
// template changed or the server is new.
func (e *entry) share(target backendserver.Target, sharing account.Sharing) {
	key := shareKey{serverKey{target.Group, target.Server}, target.Account}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.shared[key] == sharing {
		return
	}
	share := pool.Share{Weight: sharing.Weight, Max: sharing.MaxConnections, QueueLimit: sharing.QueueLimit}
	if e.local.SetShare(target.Group, target.Server, target.Account, share) {
		e.shared[key] = sharing
	}
}
