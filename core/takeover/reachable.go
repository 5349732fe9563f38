package takeover

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// replaceReachable replaces a primary that answers. It demotes the primary first
// and then promotes a replica that holds its whole log.
func (a *attempt) replaceReachable(ctx context.Context) (group.ServerID, error) {
	others := a.otherMembers()
	if !slices.ContainsFunc(others, func(s catalog.Server) bool { return !s.Leaving }) {
		return "", ErrNoCandidate
	}
	status, err := a.primaryStatus(ctx)
	if err != nil {
		return "", err
	}
	highestPosition := status.ReceivedPosition
	checkedAt := time.Now()
	if a.Cause == CommitsStalled {
		if highestPosition, err = a.checkStalled(ctx, others, status.ReceivedPosition); err != nil {
			return "", err
		}
	}
	if err := a.claim(ctx, highestPosition); err != nil {
		return "", err
	}
	if err := a.settlePrimary(ctx, &status); err != nil {
		return "", err
	}
	if _, err := a.addListedMembers(ctx); err != nil {
		return "", err
	}
	demoted, err := a.command(ctx, a.Primary, exchange.Statement{Operation: exchange.Demote, Term: status.Term + 1})
	if err != nil {
		return "", err
	}
	a.noteTerm(demoted.Term)
	candidate, err := a.chooseAfterDemotion(ctx, demoted, checkedAt)
	if err != nil {
		return "", err
	}
	return a.promote(ctx, candidate)
}

// chooseAfterDemotion returns the server to be promoted after the primary was
// demoted: one that holds the whole log of the primary. If there is none
// and the cause is CommitsStalled, it is the replica with the highest position,
// provided that nothing beyond it can have been acknowledged; otherwise the old primary
// itself, unless it has lost its log since.
//
// No commit is confirmed after the demotion, but a server that the store lists only
// afterwards may have confirmed some before it. The servers are therefore listed again
// until the choice is made.
func (a *attempt) chooseAfterDemotion(ctx context.Context, demoted exchange.ServerStatus, checkedAt time.Time) (serverStatus, error) {
	listedAt := time.Now()
	deadline := listedAt.Add(catchUpTimeout)
	for {
		final := !time.Now().Before(deadline)
		var listErr error
		if final || time.Since(listedAt) >= relistInterval {
			listedAt = time.Now()
			_, listErr = a.addListedMembers(ctx)
		}
		others := a.otherMembers()
		answers, err := a.commandAll(ctx, others, exchange.Statement{Operation: exchange.Status})
		for _, answer := range answers {
			if !answer.server.Leaving && answer.status.ReceivedPosition.Compare(demoted.ReceivedPosition) >= 0 {
				return answer, nil
			}
		}
		if !final && sleep(ctx, catchUpPollInterval) == nil {
			continue
		}
		if err == nil && listErr == nil && final && a.mayDropCommits(checkedAt) && a.findDeparted(ctx) == nil {
			suspended, err := a.suspendAll(ctx, a.confirmingServers(), max(demoted.Term, highestTerm(answers)))
			var candidate serverStatus
			if err == nil {
				candidate, err = a.chooseSuspended(suspended)
			}
			if err == nil {
				return candidate, nil
			}
		}
		return a.demotedPrimary(ctx, demoted)
	}
}

// demotedPrimary returns the old primary to be promoted again. It fails with
// ErrLogIncomplete if the server has lost its log since it was demoted.
func (a *attempt) demotedPrimary(ctx context.Context, demoted exchange.ServerStatus) (serverStatus, error) {
	status, err := a.command(ctx, a.Primary, exchange.Statement{Operation: exchange.Status})
	if err != nil {
		return serverStatus{}, eris.Wrapf(ErrServerUnresponsive, "%s: %v", a.Primary.ID, err)
	}
	if status.ReceivedPosition.Compare(demoted.ReceivedPosition) < 0 {
		return serverStatus{}, eris.Wrapf(ErrLogIncomplete, "%s was demoted at %v and is at %v", a.Primary.ID, demoted.ReceivedPosition, status.ReceivedPosition)
	}
	return serverStatus{a.Primary, status}, nil
}

// mayDropCommits reports whether the commits that no replica has may be dropped: they were
// stalled, and none has been acknowledged to this host since the replicas were found
// without progress. Otherwise a server that the store does not list has confirmed them.
func (a *attempt) mayDropCommits(checkedAt time.Time) bool {
	if a.Cause != CommitsStalled {
		return false
	}
	if a.LastCommitAt != nil && a.LastCommitAt().After(checkedAt) {
		a.reportStep(Step{Name: "confirmed elsewhere", Epoch: a.record.Epoch})
		return false
	}
	return true
}

// checkStalled fails with ErrPrimaryActive unless the primary holds commits that
// no replica receives. It returns the highest position of a replica.
func (a *attempt) checkStalled(ctx context.Context, others []catalog.Server, end group.Position) (highestPosition group.Position, err error) {
	before, err := a.commandAll(ctx, others, exchange.Statement{Operation: exchange.Status})
	if err != nil {
		return highestPosition, err
	}
	if err := a.checkProgress(ctx, others, before); err != nil {
		return highestPosition, err
	}
	highestPosition = mostAdvanced(before).status.ReceivedPosition
	if highestPosition.Compare(end) >= 0 {
		return highestPosition, ErrPrimaryActive
	}
	return highestPosition, nil
}
