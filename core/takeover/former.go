package takeover

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// findFormer adds servers of former lists to the departed ones, so that one server of each list
// is asked. It fails with ErrServerUnresponsive if none of a list answers and one may be alive,
// and with ErrLogIncomplete if all have ended and may have confirmed commits.
func (a *attempt) findFormer(ctx context.Context) error {
	for _, list := range a.FormerLists {
		isAsked := func(s catalog.Server) bool {
			return slices.ContainsFunc(a.confirmingServers(), func(c catalog.Server) bool { return c.ID == s.ID })
		}
		if slices.ContainsFunc(list.Servers, isAsked) {
			continue
		}
		if err := a.askFormer(ctx, list); err != nil {
			return err
		}
	}
	return nil
}

// askFormer queries the servers of a list. Those that answer are asked with the departed ones.
func (a *attempt) askFormer(ctx context.Context, list FormerList) error {
	answered, ended := false, false
	var silent error
	for _, s := range list.Servers {
		if s.ID == a.Primary.ID {
			continue
		}
		status, err := a.commandOnce(ctx, s, exchange.Statement{Operation: exchange.Status})
		switch {
		case err == nil && !a.hasLostLog(status):
			a.departed = append(a.departed, s)
			answered = true
		case err != nil && !hasEnded(err):
			silent = eris.Wrapf(ErrServerUnresponsive, "%s of a former list: %v", s.ID, err)
		default:
			ended = true
		}
	}
	switch {
	case answered:
		return nil
	case silent != nil:
		return silent
	case ended && list.MayHaveConfirmed:
		return eris.Wrap(ErrLogIncomplete, "all replicas of a former list have ended and may have confirmed commits")
	default:
		return nil
	}
}

// isFormer reports whether a server is only known from former lists.
func (a *attempt) isFormer(id group.ServerID) bool {
	isServer := func(s catalog.Server) bool { return s.ID == id }
	holdsServer := func(l FormerList) bool { return slices.ContainsFunc(l.Servers, isServer) }
	return slices.ContainsFunc(a.FormerLists, holdsServer) && !slices.ContainsFunc(a.Members, isServer)
}
