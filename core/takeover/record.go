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
	current, err := a.load(ctx)
	if err != nil {
		return err
	}
	a.NoteRecord(current)
	if current.Holder != "" && current.Holder != a.Self && time.Since(a.seenAt) < LeaseTTL {
		return ErrLeaseHeld
	}
	if reached.Compare(current.BasePosition) < 0 {
		return eris.Wrapf(ErrLogIncomplete, "%v of %v", reached, current.BasePosition)
	}
	next := current
	next.Epoch++
	next.Holder = a.Self
	if err := a.update(ctx, next); err != nil {
		return err
	}
	a.outstanding = current.PromotionPending
	a.report(Step{Name: "claimed", Epoch: a.record.Epoch})
	return nil
}

// update replaces the record. An update without an answer may have been made
// or be made later; it is repeated under the same id until the record says
// which.
func (a *attempt) update(ctx context.Context, next Record) (err error) {
	next.UpdateID = a.NewUpdateID()
	for range updateTries {
		var stored Record
		stored, err = a.store(ctx, next)
		if err != nil {
			stored, err = a.settled(ctx, next, err)
		}
		if err == nil {
			a.NoteRecord(stored)
			a.record = stored
			return nil
		}
		if errors.Is(err, ErrConflict) {
			return err
		}
	}
	return err
}

// settled returns the record if it is the one that an update without an answer
// was to make. It fails with ErrConflict if another host changed it, and with
// the update's own error if it is as before.
func (a *attempt) settled(ctx context.Context, next Record, cause error) (Record, error) {
	current, err := a.load(ctx)
	switch {
	case err != nil:
		return Record{}, err
	case current.UpdateID == next.UpdateID:
		return current, nil
	case current.Revision != next.Revision:
		return Record{}, ErrConflict
	default:
		return Record{}, cause
	}
}

func (a *attempt) load(ctx context.Context) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return a.Records.Load(ctx, a.Group)
}

func (a *attempt) store(ctx context.Context, next Record) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return a.Records.Store(ctx, a.Group, next)
}

// settle records the end of the log of the server that is about to be named.
func (a *attempt) settle(ctx context.Context, base group.Position) error {
	next := a.record
	next.BasePosition, next.PromotionPending = base, true
	return eris.Wrap(a.update(ctx, next), "record the end of the log")
}

// close records that no order is outstanding. A record that stays open costs
// the next attempt that is given up a call.
func (a *attempt) close(ctx context.Context) {
	if !a.record.PromotionPending {
		return
	}
	next := a.record
	next.PromotionPending = false
	err := a.update(ctx, next)
	a.report(Step{Name: "closed", Epoch: a.record.Epoch, Err: err})
}
