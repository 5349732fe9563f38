package takeover

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// replaceUnreachable replaces a primary that does not answer or is unknown. It
// suspends all other servers and promotes the one with the highest position.
func (a *attempt) replaceUnreachable(ctx context.Context) (group.ServerID, error) {
	if len(a.otherMembers()) == 0 {
		return "", ErrNoCandidate
	}
	if err := a.findDeparted(ctx); err != nil {
		return "", err
	}
	others := a.confirmingServers()
	before, err := a.commandAll(ctx, others, exchange.Statement{Operation: exchange.Status})
	a.received.note(before, a.known.Base())
	if err != nil {
		return "", err
	}
	if server, ok := findPrimary(before); ok {
		return server, ErrPrimaryActive
	}
	if a.Cause == PrimaryUnresponsive {
		if err := a.checkProgress(ctx, others, before); err != nil {
			return "", err
		}
	}
	highest, err := a.mostAdvancedListed(before)
	if err != nil {
		return "", err
	}
	if err := a.claim(ctx, highest.status.ReceivedPosition); err != nil {
		return "", err
	}
	missing, err := a.addListedMembers(ctx)
	if err != nil {
		return "", err
	}
	if server, ok := findPrimary(missing); ok {
		return server, ErrPrimaryActive
	}
	final, err := a.suspendAll(ctx, a.confirmingServers(), highestTerm(append(before, missing...)))
	if err == nil {
		final, err = a.settleUnlessRepeated(ctx, final)
	}
	if err == nil {
		err = a.excludeSilent(ctx)
	}
	var candidate serverStatus
	if err == nil {
		candidate, err = a.chooseSuspended(final)
	}
	if err != nil {
		return "", err
	}
	return a.promote(ctx, candidate)
}

// chooseSuspended returns the suspended server with the highest position, and among these
// the one whose promotion is pending. It fails with ErrLogIncomplete if acknowledged commits
// may lie beyond that position, or only a server without an entry has reached it.
func (a *attempt) chooseSuspended(final []serverStatus) (serverStatus, error) {
	if err := a.checkUnlisted(final); err != nil {
		return serverStatus{}, err
	}
	candidate, err := a.mostAdvancedListed(final)
	if err != nil {
		return serverStatus{}, err
	}
	if a.promotionPending {
		pending, ok := a.pendingCandidate(final)
		if !ok {
			return serverStatus{}, eris.Wrapf(ErrLogIncomplete, "the promotion of %s is pending", a.record.Candidate)
		}
		candidate = pending
	}
	if candidate.status.ReceivedPosition.Compare(a.requiredPosition) < 0 {
		return serverStatus{}, eris.Wrapf(ErrLogIncomplete, "highest position %v is below the required position %v", candidate.status.ReceivedPosition, a.requiredPosition)
	}
	return candidate, nil
}

// mostAdvancedListed is mostAdvanced for the servers that have an entry. It fails with
// ErrLogIncomplete if another one has a higher position: nobody would find it if it led.
func (a *attempt) mostAdvancedListed(answers []serverStatus) (serverStatus, error) {
	highest := mostAdvanced(answers)
	listed := slices.DeleteFunc(slices.Clone(answers), func(s serverStatus) bool { return a.isDeparted(s.server.ID) })
	if len(listed) == 0 {
		return serverStatus{}, eris.Wrap(ErrNoCandidate, "no server has an entry")
	}
	candidate := mostAdvanced(listed)
	if candidate.status.ReceivedPosition.Compare(highest.status.ReceivedPosition) < 0 {
		return serverStatus{}, eris.Wrapf(ErrLogIncomplete, "%s, which has no entry, is at %v", highest.server.ID, highest.status.ReceivedPosition)
	}
	return candidate, nil
}

// checkProgress fails with ErrPrimaryActive if a replica has received anything
// since the status before: then a primary is active, and only this host cannot
// reach it.
func (a *attempt) checkProgress(ctx context.Context, others []catalog.Server, before []serverStatus) error {
	if err := sleep(ctx, progressCheckDelay); err != nil {
		return err
	}
	after, err := a.commandAll(ctx, others, exchange.Statement{Operation: exchange.Status})
	a.received.note(after, a.known.Base())
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

// addListedMembers adds the servers that the store lists and the host's view
// lacks to the members, because they may have confirmed commits, and those that
// have started again, because they have lost their suspension. It returns their
// status.
func (a *attempt) addListedMembers(ctx context.Context) ([]serverStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	listed, err := a.ServerLister.Servers(ctx, a.Group)
	if err != nil {
		return nil, eris.Wrap(err, "list the servers")
	}
	a.listed = map[group.ServerID]bool{}
	var missing []catalog.Server
	for _, s := range listed {
		a.listed[s.ID] = true
		known := func(m catalog.Server) bool {
			return m.ID == s.ID && (m.BootID == s.BootID || m.ID == a.Primary.ID)
		}
		if !slices.ContainsFunc(a.Members, known) {
			missing = append(missing, s)
		}
	}
	if len(missing) == 0 {
		return nil, nil
	}
	isMissing := func(m catalog.Server) bool {
		return slices.ContainsFunc(missing, func(s catalog.Server) bool { return s.ID == m.ID })
	}
	a.Members = slices.Concat(slices.DeleteFunc(slices.Clone(a.Members), isMissing), missing)
	for _, s := range missing {
		a.reportStep(Step{Name: "joined", Server: s.ID, Epoch: a.record.Epoch})
	}
	return a.commandAll(ctx, missing, exchange.Statement{Operation: exchange.Status})
}
