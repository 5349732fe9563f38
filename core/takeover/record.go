package takeover

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

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
