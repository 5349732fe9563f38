package takeover

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// maxSuspendTries bounds how often servers are suspended for a higher term.
const maxSuspendTries = 4

// suspendAll suspends the servers, and those that the store lists only now, so that they
// receive nothing from any primary before the next one, and returns their final status. The
// servers have seen primaries up to the given term. It fails with ErrPrimaryActive if one of
// them leads or follows a later one.
func (a *attempt) suspendAll(ctx context.Context, servers []catalog.Server, seen group.Term) ([]serverStatus, error) {
	a.noteTerm(seen)
	var final []serverStatus
	for {
		suspended, err := a.suspend(ctx, servers, seen)
		if err != nil {
			return final, err
		}
		// One that has started again has lost what it had received.
		final = slices.DeleteFunc(final, func(f serverStatus) bool {
			return slices.ContainsFunc(suspended, func(s serverStatus) bool { return s.server.ID == f.server.ID })
		})
		final = append(final, suspended...)
		late, err := a.addListedMembers(ctx)
		if err != nil || len(late) == 0 {
			return final, err
		}
		if server, ok := findPrimary(late); ok {
			return final, eris.Wrapf(ErrPrimaryActive, "%s", server)
		}
		servers = servers[:0:0]
		for _, l := range late {
			servers = append(servers, l.server)
		}
	}
}

// noteTerm notes the highest term in which a server has seen a primary. The next primary
// leads a higher one. A suspension for its term ends when it leads, also if that is the
// server whose promotion is pending.
func (a *attempt) noteTerm(seen group.Term) {
	seen = max(seen, a.Term)
	if !a.promotionPending {
		seen = max(seen, a.record.CandidateTerm)
	}
	a.nextTerm, a.suspendTerm = seen+1, seen+1
}

// suspend suspends servers for the term of the attempt. A server ignores a term that is not
// above the newest one it knows of, which its status need not state.
func (a *attempt) suspend(ctx context.Context, servers []catalog.Server, seen group.Term) (suspended []serverStatus, err error) {
	a.suspendedServers = slices.Concat(a.suspendedServers, servers)
	for range maxSuspendTries {
		a.longestSuspension = max(a.longestSuspension, a.suspendTerm)
		suspended, err = a.commandAll(ctx, servers, exchange.Statement{Operation: exchange.Suspend, Term: a.suspendTerm})
		a.noteSuspensions(suspended)
		if err != nil {
			return suspended, err
		}
		if server, ok := findPrimary(suspended); ok {
			return suspended, eris.Wrapf(ErrPrimaryActive, "%s", server)
		}
		if !slices.ContainsFunc(suspended, func(s serverStatus) bool { return s.status.SuspendedTerm < a.suspendTerm }) {
			return suspended, nil
		}
		if term := highestTerm(suspended); term > seen {
			return suspended, eris.Wrapf(ErrPrimaryActive, "a server follows the primary of term %d", term)
		}
		a.suspendTerm++
	}
	return suspended, eris.Wrap(ErrServerUnresponsive, "a server was not suspended")
}

// noteSuspensions notes the highest term for which one of the servers is suspended.
func (a *attempt) noteSuspensions(answers []serverStatus) {
	for _, answer := range answers {
		a.longestSuspension = max(a.longestSuspension, answer.status.SuspendedTerm)
	}
}

// leaveSuspended notes that servers stay suspended after an attempt that was given up. The
// next promotion ends their suspension. A command that ends it could be delivered late, when
// another attempt relies on its own suspension of the same servers.
func (a *attempt) leaveSuspended() {
	if len(a.suspendedServers) == 0 {
		return
	}
	a.suspensionsRemain = true
	a.reportStep(Step{Name: "left suspended", Epoch: a.record.Epoch})
}
