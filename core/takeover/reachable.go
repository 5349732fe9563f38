package takeover

import (
	"context"
	"slices"
	"time"

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
	status, err := a.command(ctx, a.Primary, exchange.Statement{Operation: exchange.Status})
	if err != nil {
		return "", err
	}
	highestPosition := status.ReceivedPosition
	if a.Cause == CommitsStalled {
		if highestPosition, err = a.checkStalled(ctx, others, status.ReceivedPosition); err != nil {
			return "", err
		}
	}
	if err := a.claim(ctx, highestPosition); err != nil {
		return "", err
	}
	if _, err := a.addListedMembers(ctx); err != nil {
		return "", err
	}
	demoted, err := a.command(ctx, a.Primary, exchange.Statement{Operation: exchange.Demote, Term: status.Term + 1})
	if err != nil {
		return "", err
	}
	return a.promote(ctx, a.chooseAfterDemotion(ctx, demoted))
}

// chooseAfterDemotion returns the server to be promoted after the primary was
// demoted: a replica that holds the whole log of the primary. If there is none
// and the cause is CommitsStalled, it is the replica with the highest position,
// provided that all replicas can be suspended; otherwise the old primary itself.
func (a *attempt) chooseAfterDemotion(ctx context.Context, demoted exchange.ServerStatus) serverStatus {
	others := a.otherMembers()
	deadline := time.Now().Add(catchUpTimeout)
	for {
		answers, err := a.commandAll(ctx, others, exchange.Statement{Operation: exchange.Status})
		for _, answer := range answers {
			if !answer.server.Leaving && answer.status.ReceivedPosition.Compare(demoted.ReceivedPosition) >= 0 {
				return answer
			}
		}
		if time.Now().Before(deadline) && sleep(ctx, catchUpPollInterval) == nil {
			continue
		}
		if err == nil && a.Cause == CommitsStalled {
			candidate, err := a.suspendAll(ctx, others, max(demoted.Term, highestTerm(answers))+1)
			if err == nil {
				return candidate
			}
		}
		return serverStatus{a.Primary, demoted}
	}
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
