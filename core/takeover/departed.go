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
// connections, or whose address another server has, has ended and confirms nothing more. It fails with ErrLogIncomplete if such a
// server may have confirmed commits alone.
//
// If the primary is not known and none of the members leads, one of the departed servers does.
// It need not answer.
func (a *attempt) findDeparted(ctx context.Context) error {
	var answering, silent []catalog.Server
	for _, s := range a.Departed {
		isMember := func(m catalog.Server) bool { return m.ID == s.ID }
		if s.ID == a.Primary.ID || slices.ContainsFunc(a.Members, isMember) {
			continue
		}
		_, err := a.commandOnce(ctx, s.Server, exchange.Statement{Operation: exchange.Status})
		// Another server is promoted if one has the same position.
		s.Leaving = true
		switch {
		case err == nil:
			answering = append(answering, s.Server)
		case !errors.Is(err, link.ErrServerRefused) && !errors.Is(err, link.ErrServerReplaced):
			silent = append(silent, s.Server)
		case s.MayHaveConfirmed:
			return eris.Wrapf(ErrLogIncomplete, "%s has ended and may have confirmed commits alone", s.ID)
		}
	}
	a.departed = answering
	if a.Primary.ID != "" || len(silent) > 1 {
		a.departed = append(answering, silent...)
	}
	return nil
}

// clientOf returns the client for a server.
func (a *attempt) clientOf(id group.ServerID) ServerClient {
	departed := func(s DepartedServer) bool { return s.ID == id }
	if a.Direct == nil || !slices.ContainsFunc(a.Departed, departed) {
		return a.Client
	}
	return a.Direct
}
