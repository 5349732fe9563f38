package takeover

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// replaceLost replaces a primary that is out of reach.
func (a *attempt) replaceLost(ctx context.Context) (group.ServerID, error) {
	others := a.others()
	if len(others) == 0 {
		return "", ErrNoCandidate
	}
	before, err := a.commandAll(ctx, others, exchange.Statement{Operation: exchange.Status})
	if err != nil {
		return "", err
	}
	if server, ok := leader(before); ok {
		return server, ErrPrimaryActive
	}
	if a.Cause == PrimaryUnresponsive {
		if err := a.checkProgress(ctx, others, before); err != nil {
			return "", err
		}
	}
	if err := a.claim(ctx, furthest(before).status.ReceivedPosition); err != nil {
		return "", err
	}
	missing, err := a.enlist(ctx)
	if err != nil {
		return "", err
	}
	if server, ok := leader(missing); ok {
		return server, ErrPrimaryActive
	}
	next, err := a.stop(ctx, a.others(), highestTerm(append(before, missing...))+1)
	if err != nil {
		return "", err
	}
	return a.promote(ctx, next)
}

// checkProgress fails with ErrLeads when a replica received something: then a
// primary leads, and only this host does not reach it.
func (a *attempt) checkProgress(ctx context.Context, others []catalog.Server, before []answer) error {
	if err := sleep(ctx, progressTime); err != nil {
		return err
	}
	after, err := a.commandAll(ctx, others, exchange.Statement{Operation: exchange.Status})
	if err != nil {
		return err
	}
	for i := range after {
		if after[i].status.ReceivedPosition.Compare(before[i].status.ReceivedPosition) > 0 {
			return ErrPrimaryActive
		}
	}
	return nil
}

// enlist adds the servers that the store lists and the host's view lacks, and
// returns their status: they may have confirmed commits.
func (a *attempt) enlist(ctx context.Context) ([]answer, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	listed, err := a.ServerLister.Servers(ctx, a.Group)
	if err != nil {
		return nil, eris.Wrap(err, "list the servers")
	}
	var missing []catalog.Server
	for _, s := range listed {
		if !slices.ContainsFunc(a.Members, func(m catalog.Server) bool { return m.ID == s.ID }) {
			missing = append(missing, s)
		}
	}
	if len(missing) == 0 {
		return nil, nil
	}
	a.Members = slices.Concat(a.Members, missing)
	return a.commandAll(ctx, missing, exchange.Statement{Operation: exchange.Status})
}

// stop stops the servers from receiving and returns the furthest one. After a
// failure they receive again.
func (a *attempt) stop(ctx context.Context, servers []catalog.Server, term group.Term) (next answer, err error) {
	a.suspended = servers
	final, err := a.commandAll(ctx, servers, exchange.Statement{Operation: exchange.Suspend, Term: term})
	if err == nil {
		next = furthest(final)
		if next.status.ReceivedPosition.Compare(a.record.BasePosition) < 0 {
			err = eris.Wrapf(ErrLogIncomplete, "%v of %v", next.status.ReceivedPosition, a.record.BasePosition)
		}
	}
	if err != nil {
		a.resume(ctx)
	}
	return next, err
}

// resume lets suspended servers receive again after an attempt was given up.
// While an order may be outstanding they stay suspended: the server that it
// names would lack the commits acknowledged since.
func (a *attempt) resume(ctx context.Context) {
	if a.outstanding {
		a.left = len(a.suspended) > 0
		a.report(Step{Name: "left suspended", Epoch: a.record.Epoch})
		return
	}
	_, err := a.commandAll(ctx, a.suspended, exchange.Statement{Operation: exchange.Resume})
	a.left = err != nil
	a.report(Step{Name: "resumed", Epoch: a.record.Epoch, Err: err})
}
