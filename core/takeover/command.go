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

// serverStatus is a server with the status that it reported.
type serverStatus struct {
	server catalog.Server
	status exchange.ServerStatus
}

// commandAll sends a command to all servers concurrently. It returns the answers
// that came, in the order of the servers, and ErrServerUnresponsive unless all
// servers answered.
func (a *attempt) commandAll(ctx context.Context, servers []catalog.Server, statement exchange.Statement) ([]serverStatus, error) {
	answers := make([]serverStatus, len(servers))
	errs := make([]error, len(servers))
	var wg sync.WaitGroup
	for i, server := range servers {
		wg.Go(func() {
			status, err := a.command(ctx, server, statement)
			answers[i], errs[i] = serverStatus{server, status}, err
		})
	}
	wg.Wait()
	var answered []serverStatus
	var unresponsive error
	for i, err := range errs {
		if err == nil {
			answered = append(answered, answers[i])
			continue
		}
		unresponsive = eris.Wrapf(ErrServerUnresponsive, "%s: %v", servers[i].ID, err)
	}
	return answered, unresponsive
}

// command sends one command and repeats it until it succeeds or the timeout ends,
// because the server may be busy or its answer lost. All commands are idempotent.
// Those that change a server get the longer timeout: once servers have been
// suspended or demoted, giving up the attempt costs more than waiting.
func (a *attempt) command(ctx context.Context, server catalog.Server, statement exchange.Statement) (status exchange.ServerStatus, err error) {
	timeout := statusRetryTimeout
	if statement.Operation != exchange.Status {
		timeout = changeRetryTimeout
	}
	retryCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		status, err = a.commandOnce(retryCtx, server, statement)
		if err == nil || sleep(retryCtx, commandBackoff) != nil {
			break
		}
	}
	if statement.Operation != exchange.Status {
		a.reportStep(Step{Name: commandNames[statement.Operation], Server: server.ID, Epoch: a.record.Epoch, Status: status, Err: err})
	}
	return status, err
}

func (a *attempt) commandOnce(ctx context.Context, server catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	return a.clientOf(server.ID).Command(ctx, server, statement)
}

var commandNames = map[exchange.Operation]string{
	exchange.Suspend: "suspended",
	exchange.Demote:  "demoted",
}

// findPrimary returns the server that claims to be the primary, if there is one.
func findPrimary(answers []serverStatus) (group.ServerID, bool) {
	for _, a := range answers {
		if a.status.Role == exchange.Primary {
			return a.server.ID, true
		}
	}
	return "", false
}

// highestTerm returns the highest term that a server has seen a primary in. Suspensions of
// earlier attempts don't count: the next promotion ends only suspensions for its term or a
// lower one.
func highestTerm(answers []serverStatus) group.Term {
	var highest group.Term
	for _, a := range answers {
		highest = max(highest, a.status.Term, a.status.ReceivedPosition.Term)
	}
	return highest
}

// mostAdvanced returns the status with the highest received position. Among
// equal ones it prefers a server that is not leaving.
func mostAdvanced(answers []serverStatus) serverStatus {
	return slices.MaxFunc(answers, func(a, b serverStatus) int {
		return cmp.Or(a.status.ReceivedPosition.Compare(b.status.ReceivedPosition), -cmp.Compare(leavingRank(a), leavingRank(b)))
	})
}

func leavingRank(a serverStatus) int {
	if a.server.Leaving {
		return 1
	}
	return 0
}
