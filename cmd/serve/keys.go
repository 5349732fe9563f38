package serve

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/account"
	"basilmill/core/control"
	"basilmill/core/group"
	"basilmill/io/backendserver"
	"basilmill/io/caller"
)

const (
	// purgeInterval is the time between two purges of old request keys. Keys are
	// retained for at least one minute and usually for days.
	purgeInterval = 5 * time.Minute
	// purgeTimeout bounds the purge of one account's keys in one database.
	purgeTimeout = 30 * time.Second
	// purgeGracePeriod is added to the retention of a key, because the host that
	// deletes a key and the one that wrote it have different clocks.
	purgeGracePeriod = time.Minute
)

// purgeKeys periodically deletes the request keys that are older than their
// account's retention, in the groups of which this host is the first
// coordinator.
func (h *callerHost) purgeKeys(ctx context.Context) error {
	for {
		sleep(ctx, purgeInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s := h.snapshot()
		for id, g := range s.Groups {
			if view := g.View(); view.Rank == 0 {
				h.purgeGroup(ctx, s, id, view)
			}
		}
	}
}

// purgeGroup deletes the old keys of all accounts in one group. Accounts that
// only read from the group have none.
func (h *callerHost) purgeGroup(ctx context.Context, s *control.Snapshot, id group.ID, view *control.GroupView) {
	primary, ok := view.Record.Server(view.Record.Primary)
	if !ok {
		return
	}
	for _, a := range s.Accounts {
		for _, claim := range a.Template.Groups {
			if claim.Group != id || claim.ReadOnly {
				continue
			}
			for _, database := range claim.Databases {
				target := backendserver.Target{
					Group: id, Server: primary.ID, Address: primary.Address, Database: database, Account: a.Template.ID,
				}
				h.purgeDatabase(ctx, target, a.Template.KeyRetention)
			}
		}
	}
}

// purgeDatabase deletes the old keys of one account in one database. Keys
// that remain after a failure are deleted by the next purge.
func (h *callerHost) purgeDatabase(ctx context.Context, target backendserver.Target, retention time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, purgeTimeout)
	defer cancel()
	conversation, err := h.Acquire(ctx, target)
	if err != nil {
		return
	}
	reusable := deleteKeys(ctx, conversation, target.Account, time.Now().Add(-retention-purgeGracePeriod))
	conversation.Release(reusable)
}

// deleteKeys deletes the keys of an account that were created before the
// given time. It reports whether the server's answer was read completely, so
// that the connection can be used again.
func deleteKeys(ctx context.Context, conversation backendserver.Conversation, id account.ID, before time.Time) bool {
	if err := conversation.Send(ctx, &pgproto3.Query{String: caller.DeleteKeysSQL(id, before)}); err != nil {
		return false
	}
	for {
		message, err := conversation.Receive(ctx)
		if err != nil {
			return false
		}
		if _, ok := message.(*pgproto3.ReadyForQuery); ok {
			return true
		}
	}
}
