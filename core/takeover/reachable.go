package takeover

import (
	"context"
	"slices"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// replaceReachable replaces a primary that answers: it is demoted first, and a
// replica that holds its whole log follows.
func (a *attempt) replaceReachable(ctx context.Context) (group.ServerID, error) {
	others := a.others()
	if !slices.ContainsFunc(others, func(s catalog.Server) bool { return !s.Leaving }) {
		return "", ErrNoCandidate
	}
	status, err := a.command(ctx, a.Primary, exchange.Statement{Operation: exchange.Status})
	if err != nil {
		return "", err
	}
	reached := status.ReceivedPosition
	if a.Cause == CommitsStalled {
		if reached, err = a.checkStalled(ctx, others, status.ReceivedPosition); err != nil {
			return "", err
		}
	}
	if err := a.claim(ctx, reached); err != nil {
		return "", err
	}
	if _, err := a.enlist(ctx); err != nil {
		return "", err
	}
	demoted, err := a.command(ctx, a.Primary, exchange.Statement{Operation: exchange.Demote, Term: status.Term + 1})
	if err != nil {
		return "", err
	}
	return a.promote(ctx, a.complete(ctx, demoted))
}

// complete returns the server to follow a demoted primary: a replica that
// holds its whole log, else for a stalled primary the furthest replica if all
// of them stop, else the primary itself.
func (a *attempt) complete(ctx context.Context, demoted exchange.ServerStatus) answer {
	others := a.others()
	deadline := time.Now().Add(catchUpTime)
	for {
		answers, err := a.commandAll(ctx, others, exchange.Statement{Operation: exchange.Status})
		for _, answer := range answers {
			if !answer.server.Leaving && answer.status.ReceivedPosition.Compare(demoted.ReceivedPosition) >= 0 {
				return answer
			}
		}
		if time.Now().Before(deadline) && sleep(ctx, catchUpPoll) == nil {
			continue
		}
		if err == nil && a.Cause == CommitsStalled {
			next, err := a.stop(ctx, others, max(demoted.Term, highestTerm(answers))+1)
			if err == nil {
				return next
			}
		}
		return answer{a.Primary, demoted}
	}
}

// checkStalled fails with ErrLeads unless the primary holds commits that no
// replica receives. It returns the furthest replica's position.
func (a *attempt) checkStalled(ctx context.Context, others []catalog.Server, end group.Position) (reached group.Position, err error) {
	before, err := a.commandAll(ctx, others, exchange.Statement{Operation: exchange.Status})
	if err != nil {
		return reached, err
	}
	if err := a.checkProgress(ctx, others, before); err != nil {
		return reached, err
	}
	reached = furthest(before).status.ReceivedPosition
	if reached.Compare(end) >= 0 {
		return reached, ErrPrimaryActive
	}
	return reached, nil
}
