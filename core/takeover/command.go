package takeover

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// answer is the status of one server.
type answer struct {
	server catalog.Server
	status exchange.ServerStatus
}

// commandAll sends a command to all servers at once. It returns the answers in
// the order of the servers, and ErrSilent unless all answered.
func (a *attempt) commandAll(ctx context.Context, servers []catalog.Server, statement exchange.Statement) ([]answer, error) {
	answers := make([]answer, len(servers))
	errs := make([]error, len(servers))
	var wait sync.WaitGroup
	for i, server := range servers {
		wait.Go(func() {
			status, err := a.command(ctx, server, statement)
			answers[i], errs[i] = answer{server, status}, err
		})
	}
	wait.Wait()
	var answered []answer
	var silent error
	for i, err := range errs {
		if err == nil {
			answered = append(answered, answers[i])
			continue
		}
		silent = eris.Wrapf(ErrServerUnresponsive, "%s: %v", servers[i].ID, err)
	}
	return answered, silent
}

// command sends one command and repeats it while the server is busy or does
// not answer, because the answer may have been lost and all commands may run
// twice. Once servers have been suspended or demoted, giving up costs more
// than waiting.
func (a *attempt) command(ctx context.Context, server catalog.Server, statement exchange.Statement) (status exchange.ServerStatus, err error) {
	limit := statusTime
	if statement.Operation != exchange.Status {
		limit = changeTime
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		status, err = a.once(limited, server, statement)
		if err == nil || sleep(limited, busyPause) != nil {
			break
		}
	}
	if statement.Operation != exchange.Status {
		a.report(Step{Name: commandNames[statement.Operation], Server: server.ID, Epoch: a.record.Epoch, Status: status, Err: err})
	}
	return status, err
}

func (a *attempt) once(ctx context.Context, server catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return a.Client.Command(ctx, server, statement)
}

var commandNames = map[exchange.Operation]string{
	exchange.Suspend: "suspended",
	exchange.Resume:  "resumed",
	exchange.Demote:  "demoted",
}

// leader returns the server that says it is the primary.
func leader(answers []answer) (group.ServerID, bool) {
	for _, a := range answers {
		if a.status.Role == exchange.Primary {
			return a.server.ID, true
		}
	}
	return "", false
}

func highestTerm(answers []answer) group.Term {
	var highest group.Term
	for _, a := range answers {
		highest = max(highest, a.status.Term, a.status.SuspendedTerm, a.status.ReceivedPosition.Term)
	}
	return highest
}

// furthest returns the answer with the highest position, of a server that
// stays before one that is leaving.
func furthest(answers []answer) answer {
	return slices.MaxFunc(answers, func(a, b answer) int {
		return cmp.Or(a.status.ReceivedPosition.Compare(b.status.ReceivedPosition), -cmp.Compare(rank(a), rank(b)))
	})
}

func rank(a answer) int {
	if a.server.Leaving {
		return 1
	}
	return 0
}
