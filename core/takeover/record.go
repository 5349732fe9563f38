package takeover

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/group"
)

// claim claims the next epoch for this host. It fails with ErrLeaseHeld while
// another host's lease runs, and with ErrLogIncomplete if highestPosition, the
// highest position that the next primary can have, has not reached the end of the
// log that the last primary started from, or the commits of departed servers.
func (a *attempt) claim(ctx context.Context, highestPosition group.Position) error {
	stored, err := a.loadRecord(ctx, a.Group, a.Records.Load)
	if err != nil {
		return err
	}
	if a.mayBeHeld(stored) {
		return ErrLeaseHeld
	}
	current := a.complete(stored)
	if highestPosition.Compare(current.Base()) < 0 {
		return eris.Wrapf(ErrLogIncomplete, "highest position %v is below the base position %v", highestPosition, current.Base())
	}
	if err := a.checkDepartures(highestPosition); err != nil {
		return err
	}
	a.claimedBase = current.Base()
	a.requiredPosition = a.lowestPosition(current)
	if highestPosition.Compare(a.requiredPosition) < 0 {
		return eris.Wrapf(ErrLogIncomplete, "highest position %v is below %v, which a replica had received", highestPosition, a.requiredPosition)
	}
	era, _ := a.Eras.Newest()
	next := current
	next.Epoch = current.Epoch.next(era)
	next.Holder, next.Ended = a.Self, false
	if mayHaveLostPromotion(a.Eras, stored) {
		// Of a server that the record does not name.
		next.PromotionPending, next.Candidate = true, ""
	}
	if err := a.updateRecord(ctx, next); err != nil {
		return err
	}
	a.promotionPending = next.PromotionPending
	a.reportStep(Step{Name: "claimed", Epoch: a.record.Epoch})
	return nil
}

// lowestPosition returns the lowest position that a server must have reached to be
// promoted: what the record demands, and what replicas were seen to have received since.
func (a *attempt) lowestPosition(record Record) group.Position {
	if received := a.received.since(a.claimedBase); received.Compare(record.Base()) > 0 {
		return received
	}
	return record.Base()
}

// checkDepartures fails with ErrLogIncomplete if a server at the position may lack
// commits that a departed server confirmed. A primary that answers holds them; one that
// does not answer may never return, and only a departure that this host has seen counts.
func (a *attempt) checkDepartures(position group.Position) error {
	if a.DepartureUnproven && a.Cause == CommitsStalled || a.ReplicaDeparted && (a.Cause == PrimaryUnresponsive || a.Cause == PrimaryGone) {
		return eris.Wrap(ErrLogIncomplete, "no position is proven since a server left the group")
	}
	if position.Compare(a.DeparturePosition) < 0 {
		return eris.Wrapf(ErrLogIncomplete, "highest position %v is below %v, the position when a server left the group", position, a.DeparturePosition)
	}
	return nil
}

// updateRecord replaces the record. An update without an answer may have been
// applied or may be applied later. It is repeated under the same id until the
// record shows the outcome.
func (a *attempt) updateRecord(ctx context.Context, next Record) (err error) {
	next.UpdateID = a.NewUpdateID()
	next.Updates++
	sentAt := time.Now()
	for range maxUpdateTries {
		var stored Record
		stored, err = a.storeRecord(ctx, a.Group, next)
		if err != nil {
			stored, err = a.resolveUpdate(ctx, next, err)
		}
		if err == nil {
			a.NoteRecord(stored)
			a.record, a.renewedAt = stored, sentAt
			return nil
		}
		if errors.Is(err, ErrConflict) {
			return err
		}
	}
	return err
}

// renewLease makes sure that the lease lasts for a time: other hosts count it from the last
// update of the record. It fails if another host has claimed the record or may do so within
// that time.
func (a *attempt) renewLease(ctx context.Context, lasts time.Duration) error {
	updateCtx, cancel := context.WithTimeout(ctx, 2*recordTimeout)
	defer cancel()
	err := a.updateRecord(updateCtx, a.record)
	if err != nil && !errors.Is(err, ErrConflict) && time.Since(a.renewedAt)+lasts < LeaseTTL {
		return nil
	}
	return eris.Wrap(err, "renew the lease")
}

// resolveUpdate finds out the outcome of an update without an answer. It returns
// the record if the update was applied. It fails with ErrConflict if another
// host changed the record, and with cause, the error of the update, if the
// record is unchanged.
func (a *attempt) resolveUpdate(ctx context.Context, next Record, cause error) (Record, error) {
	current, err := a.loadRecord(ctx, a.Group, a.Records.Load)
	switch {
	case err != nil:
		return Record{}, err
	case current.UpdateID == next.UpdateID:
		return current, nil
	case current.Version != next.Version:
		return Record{}, ErrConflict
	default:
		return Record{}, cause
	}
}

func (r *Runner) storeRecord(ctx context.Context, id group.ID, next Record) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	return r.Records.Store(ctx, id, next)
}

// recordCandidate records the server whose promotion is about to be ordered with the end
// of its log, and that the promotion is pending.
func (a *attempt) recordCandidate(ctx context.Context, candidate serverStatus) error {
	next := a.record
	// A promotion that is still pending may take effect before the order.
	next.BasePosition, next.CandidatePosition = next.Base(), candidate.status.ReceivedPosition
	next.PromotionPending, next.Candidate, next.CandidateTerm = true, candidate.server.ID, a.nextTerm
	return eris.Wrap(a.updateRecord(ctx, next), "record the end of the log")
}

// recordPromotionAnswered records that the attempt has ended and no promotion is pending.
// A failure is only reported. It costs the next attempt one more call and a wait, in which it
// settles the promotion.
func (a *attempt) recordPromotionAnswered(ctx context.Context) {
	next := a.record
	next.BasePosition = next.Base()
	next.PromotionPending, next.Ended = false, true
	err := a.updateRecord(ctx, next)
	a.reportStep(Step{Name: "closed", Epoch: a.record.Epoch, Err: err})
}

// recordGivenUp records that an attempt which had claimed an epoch has ended, unless a
// promotion may be pending. A failure is only reported: hosts that know no witness
// (ack.Receipts) then have to query all replicas.
func (a *attempt) recordGivenUp(ctx context.Context) {
	if a.record.Epoch == 0 || a.record.Ended || a.promotionPending || a.promotionOrdered {
		return
	}
	next := a.record
	if next.PromotionPending {
		next.CandidateTerm--
	}
	next.PromotionPending, next.Ended = false, true
	err := a.updateRecord(ctx, next)
	a.reportStep(Step{Name: "given up", Epoch: a.record.Epoch, Err: err})
}
