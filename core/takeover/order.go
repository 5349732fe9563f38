package takeover

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// promote records what the server holds, orders the promotion and waits until
// the server leads.
func (a *attempt) promote(ctx context.Context, next answer) (group.ServerID, error) {
	server := next.server
	err := a.settle(ctx, next.status.ReceivedPosition)
	if err == nil {
		err = a.order(ctx, server)
	}
	if err != nil {
		a.resume(ctx)
		return "", err
	}
	limited, cancel := context.WithTimeout(ctx, leadTime)
	defer cancel()
	for !a.Client.IsPrimary(limited, server) {
		if err := sleep(limited, leadPoll); err != nil {
			return "", eris.Wrapf(err, "wait for %s to lead", server.ID)
		}
	}
	a.report(Step{Name: "leads", Server: server.ID, Epoch: a.record.Epoch})
	a.close(ctx)
	return server.ID, nil
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
	err := a.Promotions.Promote(ctx, a.Group, server.ID, a.Self, a.record.Epoch)
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
		return "", ErrNoCandidate
	}
	if err := a.claim(ctx, status.ReceivedPosition); err != nil {
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
