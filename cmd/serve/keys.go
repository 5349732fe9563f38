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
	// purgeInterval is the time between two deletions of old request keys.
	// Keys are kept for a minute at least and usually for days.
	purgeInterval = 5 * time.Minute
	// purgeTimeout bounds one deletion.
	purgeTimeout = 30 * time.Second
	// clockMargin is added to the retention, because the hosts that write and
	// delete keys have clocks of their own.
	clockMargin = time.Minute
)

// purgeKeys deletes request keys that are older than their account's
// retention, for the groups whose first coordinator this host is.
func (e *entry) purgeKeys(ctx context.Context) error {
	for {
		pause(ctx, purgeInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		s := e.snapshot()
		for id, g := range s.Groups {
			if view := g.View(); view.Rank == 0 {
				e.purgeGroup(ctx, s, id, view)
			}
		}
	}
}

func (e *entry) purgeGroup(ctx context.Context, s *control.Snapshot, id group.ID, view *control.GroupView) {
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
				e.purgeDatabase(ctx, target, a.Template.KeyRetention)
			}
		}
	}
}

// purgeDatabase deletes an account's old keys. A failure leaves them for the
// next time.
func (e *entry) purgeDatabase(ctx context.Context, target backendserver.Target, retention time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, purgeTimeout)
	defer cancel()
	conversation, err := e.Acquire(ctx, target)
	if err != nil {
		return
	}
	reusable := deleteKeys(ctx, conversation, target.Account, time.Now().Add(-retention-clockMargin))
	conversation.Release(reusable)
}

// deleteKeys reports whether the answer was read to its end.
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
