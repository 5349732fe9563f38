package takeover

import (
	"context"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/link"
)

// confirmingServers returns the servers that may have confirmed commits: the members except
// the primary, and those that have departed.
func (a *attempt) confirmingServers() []catalog.Server {
	return append(a.otherMembers(), a.departed...)
}

// findDeparted determines which departed servers are to be asked. One whose machine refuses
// connections, whose address another server has, or that has lost its log, has ended and
// confirms nothing more. It fails with ErrLogIncomplete if such a server may have confirmed
// commits alone.
//
// If the primary is not known and none of the members leads, a departed server does. It need
// not answer.
func (a *attempt) findDeparted(ctx context.Context) error {
	var answering, silent []catalog.Server
	ended := 0
	for _, s := range a.Departed {
		isMember := func(m catalog.Server) bool { return m.ID == s.ID }
		if s.ID == a.Primary.ID || slices.ContainsFunc(a.Members, isMember) {
			continue
		}
		status, err := a.commandOnce(ctx, s.Server, exchange.Statement{Operation: exchange.Status})
		switch {
		case err == nil && !a.hasLostLog(status):
			answering = append(answering, s.Server)
			continue
		case err != nil && !hasEnded(err) && !s.Lost:
			silent = append(silent, s.Server)
			continue
		}
		ended++
		if s.MayHaveConfirmed {
			return eris.Wrapf(ErrLogIncomplete, "%s has ended and may have confirmed commits alone", s.ID)
		}
	}
	a.departed = answering
	if a.Primary.ID != "" || len(silent) > 1 || ended > 0 {
		if !a.canExclude(ctx, silent) {
			a.departed = append(answering, silent...)
		}
	}
	return a.findFormer(ctx)
}

// hasEnded reports whether an error proves that the process of a server is not running at its
// address.
func hasEnded(err error) bool {
	return errors.Is(err, link.ErrServerRefused) || errors.Is(err, link.ErrServerReplaced)
}

// hasLostLog reports whether a server lacks the log that the last primary started from. It has
// confirmed nothing since, or has started again without its log.
func (a *attempt) hasLostLog(status exchange.ServerStatus) bool {
	return status.ReceivedPosition.Offset == 0 || status.ReceivedPosition.Compare(a.known.BasePosition) < 0
}

// checkUnlisted fails with ErrLogIncomplete if a member that the store does not list has lost
// its log. No entry shows that it has started again, and what it confirmed before is gone.
func (a *attempt) checkUnlisted(answers []serverStatus) error {
	for _, s := range answers {
		if !a.listed[s.server.ID] && a.hasLostLog(s.status) {
			return eris.Wrapf(ErrLogIncomplete, "%s, which has no entry, has lost its log", s.server.ID)
		}
	}
	return nil
}

// isDeparted reports whether a server has no entry, so that nobody would find it if it led.
func (a *attempt) isDeparted(id group.ServerID) bool {
	return slices.ContainsFunc(a.departed, func(s catalog.Server) bool { return s.ID == id })
}

// clientOf returns the client for a server.
func (a *attempt) clientOf(id group.ServerID) ServerClient {
	known := func(s DepartedServer) bool { return s.ID == id }
	if a.Direct == nil || !slices.ContainsFunc(a.Departed, known) && !a.isFormer(id) {
		return a.Client
	}
	return a.Direct
}
