package takeover

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// claim takes the next number.
func (a *attempt) claim(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	current, err := a.Ledger.Load(ctx, a.Group)
	if err != nil {
		return err
	}
	a.Note(current)
	if current.Holder != "" && current.Holder != a.Self && time.Since(a.seenAt) < Lease {
		return ErrLease
	}
	next := Record{Epoch: current.Epoch + 1, Holder: a.Self, Attempt: a.NewAttempt(), Revision: current.Revision}
	stored, err := a.Ledger.Store(ctx, a.Group, next)
	if err != nil && !errors.Is(err, ErrConflict) {
		// The update may have taken effect.
		stored, err = a.Ledger.Load(ctx, a.Group)
		if err == nil && stored.Attempt != next.Attempt {
			err = ErrConflict
		}
	}
	if err != nil {
		return err
	}
	a.Note(stored)
	a.record = stored
	a.report(Step{Name: "claimed", Epoch: stored.Epoch})
	return nil
}

// suspend stops the servers from receiving and returns their final positions.
func (a *attempt) suspend(ctx context.Context, servers []catalog.Server, term group.Term) ([]answer, error) {
	a.suspended = servers
	return a.commandAll(ctx, servers, exchange.Statement{Operation: exchange.Suspend, Term: term})
}

// resume lets suspended servers receive again after an attempt was given up.
func (a *attempt) resume(ctx context.Context) {
	_, err := a.commandAll(ctx, a.suspended, exchange.Statement{Operation: exchange.Resume})
	a.report(Step{Name: "resumed", Epoch: a.record.Epoch, Err: err})
}

// promote orders the promotion and waits until the server leads.
func (a *attempt) promote(ctx context.Context, server catalog.Server) (group.ServerID, error) {
	err := a.order(ctx, server)
	if err != nil {
		a.resume(ctx)
		return "", err
	}
	ctx, cancel := context.WithTimeout(ctx, leadTime)
	defer cancel()
	for !a.Databases.Leads(ctx, server) {
		if err := sleep(ctx, leadPoll); err != nil {
			return "", eris.Wrapf(err, "wait for %s to lead", server.ID)
		}
	}
	a.report(Step{Name: "leads", Server: server.ID, Epoch: a.record.Epoch})
	return server.ID, nil
}

// order repeats the order until it is answered, because an order without an
// answer may be carried out later.
func (a *attempt) order(ctx context.Context, server catalog.Server) (err error) {
	for range orderTries {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err = a.Orders.Promote(callCtx, a.Group, server.ID, a.Self, a.record.Epoch)
		cancel()
		a.report(Step{Name: "ordered", Server: server.ID, Epoch: a.record.Epoch, Err: err})
		if err == nil || errors.Is(err, ErrRefused) || ctx.Err() != nil {
			return err
		}
	}
	return err
}
