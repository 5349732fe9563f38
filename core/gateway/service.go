package gateway

import (
	"context"
	"sync/atomic"

	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/link"
)

// Service runs the batches of other hosts on this host's own connections.
type Service struct {
	// Pool returns this host's own connections to a server. It returns false for
	// a server that is unknown to this host.
	Pool func(group.ServerID) (link.Source, bool)
	// Probe returns the result of a probe over this host's own connections. It
	// fails with ErrUnknownServer for a server that is unknown to this host.
	Probe func(context.Context, group.ServerID) (Proof, error)
	// Check, if set, returns an error for a statement that cannot be sent to a server
	// without a change of its text.
	Check func(exchange.Statement) error

	closed atomic.Bool
	active atomic.Int64
}

// Close makes the service refuse new streams. Open ones continue.
func (s *Service) Close() { s.closed.Store(true) }

// Active returns the number of streams that use or wait for a connection.
func (s *Service) Active() int64 { return s.active.Load() }

// Serve runs the batches of a stream. It returns when the other host has ended the
// stream, when ctx has ended, or after an error.
func (s *Service) Serve(ctx context.Context, stream ServedStream) error {
	first, err := stream.Receive()
	if err != nil {
		return err
	}
	s.active.Add(1)
	defer s.active.Add(-1)
	if s.closed.Load() {
		return stream.Send(Result{Err: ErrLeaving})
	}
	if s.check(first) != nil {
		return stream.Send(Result{Err: ErrMalformedBatch})
	}
	source, ok := s.Pool(first.Server)
	if !ok {
		return stream.Send(Result{Err: ErrUnknownServer})
	}
	lease, err := acquire(ctx, source, first)
	if err != nil {
		return stream.Send(Result{Err: err})
	}
	if first.Exclusive {
		return s.serveExclusive(ctx, stream, lease, first)
	}
	return serveShared(ctx, stream, lease, first)
}

// check returns an error if a statement of the batch, or one that sets up its session
// state, cannot be sent. Sent together with the statements of other sessions, it would
// end their connection.
func (s *Service) check(batch Batch) error {
	if s.Check == nil {
		return nil
	}
	for _, statement := range batch.Statements {
		if err := s.Check(statement); err != nil {
			return err
		}
	}
	if batch.Desired == nil {
		return nil
	}
	for name, value := range batch.Desired.Values {
		if err := s.Check(exchange.Statement{Operation: exchange.Set, Name: name, Value: value}); err != nil {
			return err
		}
	}
	for name, prepared := range batch.Desired.Prepared {
		if err := s.Check(exchange.Statement{Operation: exchange.Prepare, Name: name, Prepared: prepared}); err != nil {
			return err
		}
	}
	return nil
}

// acquire takes the connection for a stream.
func acquire(ctx context.Context, source link.Source, first Batch) (*link.Lease, error) {
	if first.WaitLimit > 0 {
		limited, cancel := context.WithTimeout(ctx, first.WaitLimit)
		defer cancel()
		ctx = limited
	}
	return source.Acquire(ctx, link.Request{
		Exclusive: first.Exclusive, Account: first.Account, Desired: first.Desired, Priority: first.Priority, TimeForAnswer: first.TimeForAnswer,
	})
}

// ServeProbe returns the result of a probe for another host.
func (s *Service) ServeProbe(ctx context.Context, server group.ServerID) (result ProbeResult) {
	if s.closed.Load() {
		return ProbeResult{Err: ErrLeaving}
	}
	result.Proof, result.Err = s.Probe(ctx, server)
	return result
}

// serveShared runs one batch. Its lease is held until the server has answered, also
// if the other host no longer waits.
func serveShared(ctx context.Context, stream ServedStream, lease *link.Lease, batch Batch) error {
	call := lease.Submit(batch.Desired, batch.Statements...)
	select {
	case <-call.Done:
		lease.Release()
		return stream.Send(resultOf(lease, batch, call))
	case <-ctx.Done():
		lease.Abandon(call)
		return ctx.Err()
	}
}

// serveExclusive runs batches until the other host ends the stream. A transaction
// that is still open then is rolled back.
func (s *Service) serveExclusive(ctx context.Context, stream ServedStream, lease *link.Lease, batch Batch) error {
	for {
		call := lease.Submit(batch.Desired, batch.Statements...)
		select {
		case <-call.Done:
		case <-ctx.Done():
			lease.Close()
			lease.Release()
			return ctx.Err()
		}
		result := resultOf(lease, batch, call)
		if result.Err != nil {
			lease.Release()
			return stream.Send(result)
		}
		err := stream.Send(result)
		if err == nil {
			batch, err = stream.Receive()
		}
		if err == nil && s.check(batch) != nil {
			lease.Close()
			lease.Release()
			return stream.Send(Result{Err: ErrMalformedBatch})
		}
		if err == nil {
			continue
		}
		if result.Answers[len(result.Answers)-1].State == exchange.Idle {
			lease.Release()
		} else {
			lease.RollBack()
		}
		// The other host ends the stream in order, or its connection is lost;
		// either way nothing is left to send.
		return nil
	}
}

// resultOf returns the result of a call that is done.
func resultOf(lease *link.Lease, batch Batch, call *link.Call) Result {
	answers, err := call.Answers()
	if err != nil {
		return Result{Err: err}
	}
	reportAnswers(lease, batch, answers)
	result := Result{Answers: answers}
	if load, ok := lease.ServerLoad(); ok {
		result.Load = &load
	}
	return result
}

// reportAnswers adjusts the pool's window to the answers to callers' statements.
func reportAnswers(lease *link.Lease, batch Batch, answers []exchange.Answer) {
	for i, statement := range batch.Statements {
		if statement.ID != "" {
			failure := answers[i].Failure
			lease.ReportAnswer(failure != nil && failure.Code == exchange.Busy)
		}
	}
}
