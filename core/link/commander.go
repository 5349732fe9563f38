package link

import (
	"context"
	"errors"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// Commander sends probes and control commands to backend servers. It implements
// takeover.ServerClient.
type Commander struct {
	// Sources returns the source of connections to a server.
	Sources Sources
}

// controlPriority puts probes and commands before all requests of callers and
// exempts them from the window.
const controlPriority = -1

var errNoStatus = errors.New("answer without a status")

// Probe checks that the server is the primary, by beginning a read-write
// transaction, which a server accepts only while it is the primary. It returns the
// end of the server's readable log.
func (c Commander) Probe(ctx context.Context, server catalog.Server) (group.Position, error) {
	answers, err := c.run(ctx, server, func() {}, exchange.Statement{Operation: exchange.Begin}, exchange.Statement{Operation: exchange.Rollback})
	if err != nil {
		return group.Position{}, err
	}
	if answers[0].Failure != nil {
		return group.Position{}, answers[0].Failure
	}
	return answers[0].Position, nil
}

// IsPrimary reports whether a probe finds that the server is the primary.
func (c Commander) IsPrimary(ctx context.Context, server catalog.Server) bool {
	_, err := c.Probe(ctx, server)
	return err == nil
}

// Command sends a control statement and returns the server's status from the
// answer.
func (c Commander) Command(ctx context.Context, server catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	answer, err := c.CommandAnswer(ctx, server, statement, func() {})
	if err != nil {
		return exchange.ServerStatus{}, err
	}
	return *answer.Status, nil
}

// CommandAnswer sends a control statement and returns its answer, which has a status.
// onSend is called before the statement is sent, when the connection has been granted.
func (c Commander) CommandAnswer(ctx context.Context, server catalog.Server, statement exchange.Statement, onSend func()) (exchange.Answer, error) {
	answers, err := c.run(ctx, server, onSend, statement)
	if err != nil {
		return exchange.Answer{}, err
	}
	if answers[0].Failure != nil {
		return exchange.Answer{}, answers[0].Failure
	}
	if answers[0].Status == nil {
		return exchange.Answer{}, errNoStatus
	}
	return answers[0], nil
}

// run executes statements on a shared connection with priority over callers.
func (c Commander) run(ctx context.Context, server catalog.Server, onSend func(), statements ...exchange.Statement) ([]exchange.Answer, error) {
	lease, err := c.Sources(server).Acquire(ctx, Request{Priority: controlPriority})
	if err != nil {
		return nil, err
	}
	onSend()
	call := lease.Submit(nil, statements...)
	select {
	case <-call.Done:
		lease.Release()
		return call.Answers()
	case <-ctx.Done():
		lease.Abandon(call)
		return nil, ctx.Err()
	}
}
