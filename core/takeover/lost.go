package takeover

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/distribution"
	"basilmill/core/group"
)

// lateOrderTTL is how long after the store was restored a promotion may still be carried
// out whose record was lost. The platform carries out unanswered orders some seconds
// late.
const lateOrderTTL = 30 * time.Second

// mayBeHeld reports whether another host may hold a lease: that of the record, or that
// of a claim which the store has lost. The latter is possible until the record has been
// claimed in the present era, and counts from when this host first saw the era.
func (a *attempt) mayBeHeld(stored Record) bool {
	if stored.Holder != "" && stored.Holder != a.Self && time.Since(a.lastRecordAt) < LeaseTTL {
		return true
	}
	era, seenAt := a.Eras.Newest()
	return stored.Epoch.Era() < era && time.Since(seenAt) < LeaseTTL
}

// mayHaveLostPromotion reports whether the store may have lost the record of a promotion
// that can still be carried out: its record is of an earlier era, which ended a short time
// ago as far as this host knows.
func mayHaveLostPromotion(eras *distribution.Eras, stored Record) bool {
	era, seenAt := eras.Newest()
	return stored.Epoch.Era() < era && time.Since(seenAt) < lateOrderTTL
}

// newer returns the record with more updates and the higher base position of the two.
func newer(a, b Record) Record {
	newest := a
	if b.Epoch > a.Epoch || b.Epoch == a.Epoch && b.Updates >= a.Updates {
		newest = b
	}
	if newest.BasePosition.Compare(a.BasePosition) < 0 {
		newest.BasePosition = a.BasePosition
	}
	if newest.BasePosition.Compare(b.BasePosition) < 0 {
		newest.BasePosition = b.BasePosition
	}
	return newest
}

// complete returns the stored record with what this host knows of it and the store has
// lost.
func (r *Runner) complete(stored Record) Record {
	record := newer(r.known, stored)
	record.Version = stored.Version
	return record
}

// hasLost reports whether the store has lost updates of the record that this host knows.
func (r *Runner) hasLost(stored Record) bool {
	known := r.complete(stored)
	return known.Epoch != stored.Epoch || known.Updates != stored.Updates || known.Base() != stored.Base()
}

// writeAgain writes what this host knows of the record, unless another host has changed
// it meanwhile.
func (r *Runner) writeAgain(ctx context.Context, id group.ID, stored Record) error {
	next := r.complete(stored)
	next.UpdateID = r.NewUpdateID()
	written, err := r.storeRecord(ctx, id, next)
	if errors.Is(err, ErrConflict) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "write it again")
	}
	r.NoteRecord(written)
	if r.Observe != nil {
		r.Observe(id, Step{Name: "written again", Epoch: written.Epoch})
	}
	return nil
}
