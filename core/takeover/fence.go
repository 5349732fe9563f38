package takeover

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
)

// settle makes sure that no promotion which was ordered earlier can still take effect,
// and records whether the last one did, as the function tells after that.
func (a *attempt) settle(ctx context.Context, tookEffect func(context.Context) (bool, error)) (err error) {
	if !a.promotionPending {
		return nil
	}
	defer func() { err = eris.Wrapf(err, "settle the promotion of %s", a.record.Candidate) }()
	if !a.fenced {
		if err := a.fence(ctx); err != nil {
			return err
		}
	}
	if err := a.renewLease(ctx, promotionDelay); err != nil {
		return err
	}
	// An order that was carried out before the fence may take effect until then.
	if err := sleep(ctx, promotionDelay); err != nil {
		return err
	}
	took, err := tookEffect(ctx)
	if err != nil {
		return err
	}
	next := a.record
	if took {
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
func (a *attempt) fence(ctx context.Context) (err error) {
	epoch, err := a.nextEpoch()
	if err != nil {
		return err
	}
	defer func() { a.reportStep(Step{Name: "fenced", Epoch: epoch, Err: err}) }()
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
	defer cancel()
	answers := make(chan error, fenceTimeout/fenceInterval+1)
	for range cap(answers) {
		if time.Since(a.renewedAt) >= leaseRenewInterval {
			if err := a.renewLease(ctx, fenceInterval); err != nil {
				return err
			}
		}
		calls.Go(func() { answers <- a.Promotions.Fence(ctx, a.Group, a.Self, epoch) })
		if a.awaitFence(ctx, answers) {
			a.fenced = true
			return nil
		}
	}
	return eris.New("no answer to the fence")
}

// awaitFence waits until a call is answered or is to be repeated.
func (a *attempt) awaitFence(ctx context.Context, answers <-chan error) (answered bool) {
	interval := time.NewTimer(fenceInterval)
	defer interval.Stop()
	for {
		select {
		case err := <-answers:
			if err == nil {
				return true
			}
		case <-interval.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// settlePrimary settles a pending promotion beside an active primary, whose status it
// updates. It fails if another server leads after that.
func (a *attempt) settlePrimary(ctx context.Context, status *exchange.ServerStatus) error {
	return a.settle(ctx, func(ctx context.Context) (bool, error) {
		settled, err := a.primaryStatus(ctx)
		if err != nil {
			return false, err
		}
		if settled.Term != status.Term {
			return false, eris.Wrapf(ErrPrimaryActive, "%s leads a later term", a.Primary.ID)
		}
		*status = settled
		// Another server that had taken the lead would have ended that of the primary.
		return a.record.Candidate == a.Primary.ID, nil
	})
}

// pendingCandidate returns the suspended server whose promotion is pending, if none of
// the others has a higher position. To order it again is safe, because its earlier order
// makes no other server the primary.
func (a *attempt) pendingCandidate(final []serverStatus) (serverStatus, bool) {
	highest := mostAdvanced(final).status.ReceivedPosition
	for _, s := range final {
		if s.server.ID == a.record.Candidate && !a.isDeparted(s.server.ID) && s.status.ReceivedPosition.Compare(highest) >= 0 {
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
	if err := a.settle(ctx, a.candidateTookEffect); err != nil {
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
