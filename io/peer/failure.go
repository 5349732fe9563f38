package peer

import (
	"errors"

	"connectrpc.com/connect"

	"basilmill/core/outcome"
	"basilmill/io/peer/peerpb"
)

// toConnect converts a handler's error to a connect error. The outcome of an
// *outcome.Error is sent as a Failure in the error details.
func toConnect(err error) error {
	if err == nil {
		return nil
	}
	var failed *outcome.Error
	if !errors.As(err, &failed) {
		return connect.NewError(connect.CodeInternal, err)
	}
	wrapped := connect.NewError(connect.CodeAborted, err)
	if detail, detailErr := connect.NewErrorDetail(failureToWire(failed)); detailErr == nil {
		wrapped.AddDetail(detail)
	}
	return wrapped
}

// fromConnect restores the *outcome.Error that toConnect sent. Any other error
// of a call is returned unchanged; whether the request may have run then depends
// on what had been sent.
func fromConnect(err error) error {
	var wrapped *connect.Error
	if !errors.As(err, &wrapped) {
		return err
	}
	for _, detail := range wrapped.Details() {
		value, valueErr := detail.Value()
		if valueErr != nil {
			continue
		}
		if failure, ok := value.(*peerpb.Failure); ok {
			return failureFromWire(failure)
		}
	}
	return err
}

func failureToWire(failed *outcome.Error) *peerpb.Failure {
	return &peerpb.Failure{
		Outcome:  int32(failed.Outcome),
		Sqlstate: string(failed.SQLState),
		Message:  failed.Message,
	}
}

func failureFromWire(w *peerpb.Failure) *outcome.Error {
	return &outcome.Error{
		Outcome:  outcome.Outcome(w.GetOutcome()),
		SQLState: outcome.SQLState(w.GetSqlstate()),
		Message:  w.GetMessage(),
	}
}
