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

// promote records the candidate with its position, orders its promotion
// and waits until it is the primary.
func (a *attempt) promote(ctx context.Context, candidate serverStatus) (group.ServerID, error) {
	server := candidate.server
	err := a.recordCandidate(ctx, candidate)
	if err == nil {
		err = a.orderPromotion(ctx, candidate)
	}
	if err != nil {
		return "", err
	}
	waitCtx, cancel := context.WithTimeout(ctx, promotionTimeout)
	defer cancel()
	for !a.leads(waitCtx, server) {
		if err := sleep(waitCtx, promotionPollInterval); err != nil {
			return "", eris.Wrapf(err, "wait for %s to become the primary", server.ID)
		}
	}
	a.reportStep(Step{Name: "leads", Server: server.ID, Epoch: a.record.Epoch})
	a.suspensionsRemain = a.longestSuspension > a.nextTerm
	if err := a.settle(ctx, a.candidateTookEffect); err != nil {
		// The next attempt settles it.
		a.reportStep(Step{Name: "left pending", Server: server.ID, Epoch: a.record.Epoch, Err: err})
		return server.ID, nil
	}
	a.recordPromotionAnswered(ctx)
	return server.ID, nil
}

// orderPromotion orders the promotion of a server. It repeats the order until the
// platform answers or the server leads. Orders without an answer stay pending also then:
// they would promote the server again after the next change.
func (a *attempt) orderPromotion(ctx context.Context, candidate serverStatus) (err error) {
	a.promotionOrdered = true
	for range maxPromotionTries {
		err = nil
		if time.Since(a.renewedAt) >= leaseRenewInterval {
			err = a.renewLease(ctx, promotionCallTimeout)
		}
		if err == nil {
			err = a.orderPromotionOnce(ctx, candidate)
		}
		switch {
		case err == nil:
			a.fenced = true
			return nil
		case errors.Is(err, ErrRefused):
			a.promotionOrdered = a.promotionPending
			return err
		case errors.Is(err, ErrConflict):
			return err
		}
		a.promotionPending, a.fenced = true, false
		if ctx.Err() != nil {
			return err
		}
		// A repeated order could take effect after the server has lost its log.
		if candidate.status.Role == exchange.Replica && a.leads(ctx, candidate.server) {
			return nil
		}
		if err := a.checkHoldsLog(ctx, candidate); err != nil {
			// The next attempt settles the orders without an answer.
			return errors.Join(err, a.fence(ctx))
		}
	}
	return err
}

// checkHoldsLog fails with ErrLogIncomplete if the candidate has started again without its
// log since it was chosen, and with ErrServerUnresponsive if that cannot be ruled out.
func (a *attempt) checkHoldsLog(ctx context.Context, candidate serverStatus) error {
	status, err := a.command(ctx, candidate.server, exchange.Statement{Operation: exchange.Status})
	if err != nil {
		return eris.Wrapf(ErrServerUnresponsive, "%s: %v", candidate.server.ID, err)
	}
	if chosen := candidate.status.ReceivedPosition; status.ReceivedPosition.Compare(chosen) < 0 {
		return eris.Wrapf(ErrLogIncomplete, "%s was chosen at %v and is at %v", candidate.server.ID, chosen, status.ReceivedPosition)
	}
	return nil
}

// leads reports whether a server leads. A probe without an answer is given up early, because
// the next one may take another path.
func (a *attempt) leads(ctx context.Context, server catalog.Server) bool {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return a.clientOf(server.ID).IsPrimary(ctx, server)
}

func (a *attempt) orderPromotionOnce(ctx context.Context, candidate serverStatus) error {
	epoch, err := a.nextEpoch()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, promotionCallTimeout)
	defer cancel()
	err = a.Promotions.Promote(ctx, a.Group, candidate.server.ID, a.Self, epoch)
	a.reportStep(Step{Name: "ordered", Server: candidate.server.ID, Epoch: epoch, Status: candidate.status, Err: err})
	return err
}

// endLeftoverSuspensions ends the suspensions that an unfinished attempt left beside an
// active primary. It demotes the primary and promotes it again, because a suspension ends
// only with the next term.
func (a *attempt) endLeftoverSuspensions(ctx context.Context) (group.ServerID, error) {
	status, err := a.primaryStatus(ctx)
	if err != nil {
		return "", err
	}
	if !a.findSuspensions(ctx, status.Term) {
		return a.Primary.ID, nil
	}
	if err := a.claim(ctx, status.ReceivedPosition); err != nil {
		return "", err
	}
	if err := a.settlePrimary(ctx, &status); err != nil {
		return "", err
	}
	a.suspendedServers = a.otherMembers()
	demoted, err := a.command(ctx, a.Primary, exchange.Statement{Operation: exchange.Demote, Term: status.Term + 1})
	if err != nil {
		return "", err
	}
	a.noteTerm(demoted.Term)
	return a.promote(ctx, serverStatus{a.Primary, demoted})
}

// findSuspensions reports whether a server that answers is suspended for a term above that
// of the primary. Another host may have ended the suspensions meanwhile.
func (a *attempt) findSuspensions(ctx context.Context, primary group.Term) bool {
	answers, _ := a.commandAll(ctx, a.otherMembers(), exchange.Statement{Operation: exchange.Status})
	a.noteSuspensions(answers)
	return a.longestSuspension > primary
}

// primaryStatus returns the status of the primary. It fails with ErrNoCandidate if the
// server does not lead.
func (a *attempt) primaryStatus(ctx context.Context) (exchange.ServerStatus, error) {
	status, err := a.command(ctx, a.Primary, exchange.Statement{Operation: exchange.Status})
	if err == nil && status.Role != exchange.Primary {
		err = eris.Wrapf(ErrNoCandidate, "%s does not lead", a.Primary.ID)
	}
	return status, err
}
