package takeover

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// claim takes the next number. It fails with ErrBehind if no server holds the
// log that the last primary started from; reached is the furthest position.
func (a *attempt) claim(ctx context.Context, reached group.Position) error {
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
	if reached.Compare(current.Base) < 0 {
		return eris.Wrapf(ErrBehind, "%v of %v", reached, current.Base)
	}
	next := current
	next.Epoch++
	next.Holder = a.Self
	if err := a.update(ctx, next); err != nil {
		return err
	}
	a.outstanding = current.Open
	a.report(Step{Name: "claimed", Epoch: a.record.Epoch})
	return nil
}

// update replaces the record.
func (a *attempt) update(ctx context.Context, next Record) error {
	next.Attempt = a.NewAttempt()
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
	return nil
}

// enlist adds the servers that the store lists and the host's view lacks, and
// returns their status: they may have confirmed commits.
func (a *attempt) enlist(ctx context.Context) ([]answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := a.Roster.Servers(ctx, a.Group)
	if err != nil {
		return nil, eris.Wrap(err, "list the servers")
	}
	var missing []catalog.Server
	for _, s := range listed {
		if !slices.ContainsFunc(a.Members, func(m catalog.Server) bool { return m.ID == s.ID }) {
			missing = append(missing, s)
		}
	}
	if len(missing) == 0 {
		return nil, nil
	}
	a.Members = slices.Concat(a.Members, missing)
	return a.commandAll(ctx, missing, exchange.Statement{Operation: exchange.Status})
}

// stop stops the servers from receiving and returns the furthest one. After a
// failure they receive again.
func (a *attempt) stop(ctx context.Context, servers []catalog.Server, term group.Term) (next answer, err error) {
	a.suspended = servers
	final, err := a.commandAll(ctx, servers, exchange.Statement{Operation: exchange.Suspend, Term: term})
	if err == nil {
		next = furthest(final)
		if next.status.Received.Compare(a.record.Base) < 0 {
			err = eris.Wrapf(ErrBehind, "%v of %v", next.status.Received, a.record.Base)
		}
	}
	if err != nil {
		a.resume(ctx)
	}
	return next, err
}

// resume lets suspended servers receive again after an attempt was given up.
// While an order may be outstanding they stay suspended: the server that it
// names would lack the commits acknowledged since.
func (a *attempt) resume(ctx context.Context) {
	if a.outstanding {
		a.left = len(a.suspended) > 0
		a.report(Step{Name: "left suspended", Epoch: a.record.Epoch})
		return
	}
	_, err := a.commandAll(ctx, a.suspended, exchange.Statement{Operation: exchange.Resume})
	a.left = err != nil
	a.report(Step{Name: "resumed", Epoch: a.record.Epoch, Err: err})
}

// promote records what the server holds, orders the promotion and waits until
// the server leads.
func (a *attempt) promote(ctx context.Context, next answer) (group.ServerID, error) {
	server := next.server
	err := a.settle(ctx, next.status.Received)
	if err == nil {
		err = a.order(ctx, server)
	}
	if err != nil {
		a.resume(ctx)
		return "", err
	}
	limited, cancel := context.WithTimeout(ctx, leadTime)
	defer cancel()
	for !a.Databases.Leads(limited, server) {
		if err := sleep(limited, leadPoll); err != nil {
			return "", eris.Wrapf(err, "wait for %s to lead", server.ID)
		}
	}
	a.report(Step{Name: "leads", Server: server.ID, Epoch: a.record.Epoch})
	a.close(ctx)
	return server.ID, nil
}

// settle records the end of the log of the server that is about to be named.
func (a *attempt) settle(ctx context.Context, base group.Position) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next := a.record
	next.Base, next.Open = base, true
	return eris.Wrap(a.update(ctx, next), "record the end of the log")
}

// close records that no order is outstanding. A record that stays open costs
// the next attempt that is given up a call.
func (a *attempt) close(ctx context.Context) {
	if !a.record.Open {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next := a.record
	next.Open = false
	err := a.update(ctx, next)
	a.report(Step{Name: "closed", Epoch: a.record.Epoch, Err: err})
}

// order repeats the order until it is answered, because an order without an
// answer may be carried out later.
func (a *attempt) order(ctx context.Context, server catalog.Server) (err error) {
	for range orderTries {
		err = a.orderOnce(ctx, server)
		switch {
		case err == nil:
			a.outstanding = false
			return nil
		case errors.Is(err, ErrRefused):
			return err
		}
		a.outstanding = true
		if ctx.Err() != nil {
			return err
		}
	}
	return err
}

func (a *attempt) orderOnce(ctx context.Context, server catalog.Server) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := a.Orders.Promote(ctx, a.Group, server.ID, a.Self, a.record.Epoch)
	a.report(Step{Name: "ordered", Server: server.ID, Epoch: a.record.Epoch, Err: err})
	return err
}

// release ends suspensions that an unfinished attempt left while the primary
// leads. An order of that attempt may be outstanding; one with a higher number
// that names the primary changes nothing and makes the platform refuse it.
func (a *attempt) release(ctx context.Context) (group.ServerID, error) {
	status, err := a.command(ctx, a.Primary, exchange.Statement{Operation: exchange.Status})
	if err != nil {
		return "", err
	}
	if status.Role != exchange.Primary {
		return "", ErrNobody
	}
	if err := a.claim(ctx, status.Received); err != nil {
		return "", err
	}
	if err := a.order(ctx, a.Primary); err != nil {
		return "", err
	}
	a.suspended = a.others()
	a.resume(ctx)
	a.close(ctx)
	return a.Primary.ID, nil
}
