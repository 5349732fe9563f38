package takeover

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
)

// settle makes sure that no promotion which was ordered earlier can still take effect,
// and records whether the last one did. It fails if that does not become known.
func (a *attempt) settle(ctx context.Context) (err error) {
	if !a.promotionPending {
		return nil
	}
	defer func() { err = eris.Wrapf(err, "settle the promotion of %s", a.record.Candidate) }()
	if err := a.fence(ctx); err != nil {
		return err
	}
	if err := a.renewLease(ctx, promotionDelay); err != nil {
		return err
	}
	// An order that was carried out before the fence may take effect until then.
	if err := sleep(ctx, promotionDelay); err != nil {
		return err
	}
	tookEffect, err := a.candidateTookEffect(ctx)
	if err != nil {
		return err
	}
	next := a.record
	if tookEffect {
		next.BasePosition = next.Base()
	} else {
		next.CandidateTerm--
	}
	next.PromotionPending = false
	if err := a.updateRecord(ctx, next); err != nil {
		return err
	}
	a.promotionPending, a.promotionOrdered = false, false
	a.reportStep(Step{Name: "settled", Server: a.record.Candidate, Epoch: a.record.Epoch})
	return nil
}

// candidateTookEffect reports whether the recorded candidate may have led since its
// promotion was ordered. One that is gone may have.
func (a *attempt) candidateTookEffect(ctx context.Context) (bool, error) {
	for _, s := range a.Members {
		if s.ID != a.record.Candidate || s.ID == a.Primary.ID {
			continue
		}
		status, err := a.command(ctx, s, exchange.Statement{Operation: exchange.Status})
		if err != nil {
			return false, eris.Wrapf(ErrServerUnresponsive, "%s: %v", s.ID, err)
		}
		leads := max(a.record.CandidateTerm, a.record.CandidatePosition.Term+1)
		return status.Role == exchange.Primary || status.Term >= leads, nil
	}
	return true, nil
}

// fence makes the platform refuse the orders of all lower epochs. It repeats the call
// beside those without an answer, because they are harmless whenever they are carried out.
func (a *attempt) fence(ctx context.Context) error {
	if err := a.renewLease(ctx, fenceTimeout); err != nil {
		return err
	}
	epoch, err := a.nextEpoch()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	ticker := time.NewTicker(fenceInterval)
	defer ticker.Stop()
	answers := make(chan error, fenceTimeout/fenceInterval+1)
	calls := 0
	call := func() {
		calls++
		go func() { answers <- a.Promotions.Fence(ctx, a.Group, a.Self, epoch) }()
	}
	call()
	for {
		select {
		case err = <-answers:
			if err == nil {
				a.reportStep(Step{Name: "fenced", Epoch: epoch})
				return nil
			}
		case <-ticker.C:
			if calls < cap(answers) {
				call()
			}
		case <-ctx.Done():
			err = eris.Wrap(ctx.Err(), "no answer to the fence")
			a.reportStep(Step{Name: "fenced", Epoch: epoch, Err: err})
			return err
		}
	}
}

// settlePrimary settles a pending promotion beside an active primary, whose status it
// updates. It fails if another server leads after that.
func (a *attempt) settlePrimary(ctx context.Context, status *exchange.ServerStatus) error {
	if !a.promotionPending {
		return nil
	}
	if err := a.settle(ctx); err != nil {
		return err
	}
	settled, err := a.primaryStatus(ctx)
	if err != nil {
		return err
	}
	if settled.Term != status.Term {
		return eris.Wrapf(ErrPrimaryActive, "%s leads a later term", a.Primary.ID)
	}
	*status = settled
	return nil
}

// pendingCandidate returns the suspended server whose promotion is pending, if none of
// the others has a higher position. To order it again is safe, because its earlier order
// makes no other server the primary.
func (a *attempt) pendingCandidate(final []serverStatus) (serverStatus, bool) {
	highest := mostAdvanced(final).status.ReceivedPosition
	for _, s := range final {
		if s.server.ID == a.record.Candidate && s.status.ReceivedPosition.Compare(highest) >= 0 {
			return s, true
		}
	}
	return serverStatus{}, false
}

// settleUnlessRepeated settles a pending promotion unless its server is to be ordered
// again, and returns the final status of the suspended servers after it.
func (a *attempt) settleUnlessRepeated(ctx context.Context, final []serverStatus) ([]serverStatus, error) {
	if !a.promotionPending {
		return final, nil
	}
	if _, repeated := a.pendingCandidate(final); repeated {
		return final, nil
	}
	if err := a.settle(ctx); err != nil {
		return final, err
	}
	a.requiredPosition = a.lowestPosition(a.record)
	// A promotion that took effect has ended the suspensions.
	servers := make([]catalog.Server, 0, len(final))
	for _, s := range final {
		servers = append(servers, s.server)
	}
	return a.suspendAll(ctx, servers, highestTerm(final))
}
