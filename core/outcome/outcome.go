// Package outcome defines the outcomes of a request (done, not run, unknown)
// and the error type that reports an outcome other than Done to the caller.
package outcome

import (
	"errors"
	"fmt"
)

// Outcome says whether a request was executed, as far as the host knows.
type Outcome int

// Outcomes of a request. The zero value is Unknown, so that an outcome that was
// never set makes no claim about the request.
const (
	// Unknown means that the request may or may not have been executed.
	Unknown Outcome = iota
	// NotRun means that the request had no effect.
	NotRun
	// Done means that the request completed and its effect is durable.
	Done
)

// String returns the text of the outcome in the DETAIL field of errors.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotRun:
		return "not run"
	default:
		return "outcome unknown"
	}
}

// SQLState is a five-character PostgreSQL error code.
type SQLState string

// Error codes sent to callers; see the design page, section 5.1.
const (
	CannotConnectNow             SQLState = "57P03"
	TooManyConnections           SQLState = "53300"
	SerializationFailure         SQLState = "40001"
	TransactionResolutionUnknown SQLState = "08007"
	AdminShutdown                SQLState = "57P01"
	ReadOnlyTransaction          SQLState = "25006"
)

// Error reports that a request failed, with its outcome and the SQLSTATE for
// the caller.
type Error struct {
	Outcome  Outcome
	SQLState SQLState
	Message  string
	// Cause is the underlying error, if any.
	Cause error
}

// Error returns the message, the outcome and the cause, if any.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%s): %v", e.Message, e.Outcome, e.Cause)
	}
	return fmt.Sprintf("%s (%s)", e.Message, e.Outcome)
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// Detail returns the DETAIL field sent to the caller.
func (e *Error) Detail() string { return e.Outcome.String() + ": " + e.Message }

// Of returns the outcome of the *Error in the chain of err. It is Done for nil
// and Unknown for an error without one.
func Of(err error) Outcome {
	var e *Error
	if err == nil {
		return Done
	}
	if errors.As(err, &e) {
		return e.Outcome
	}
	return Unknown
}

// Unavailable returns the error for a request that was not run because no
// server or host was available to run it.
func Unavailable(message string, cause error) *Error {
	return &Error{Outcome: NotRun, SQLState: CannotConnectNow, Message: message, Cause: cause}
}

// Overloaded returns the error for a request that was not run because a queue or
// another limit of the host was full, or its deadline passed in the queue.
func Overloaded(message string) *Error {
	return &Error{Outcome: NotRun, SQLState: TooManyConnections, Message: message}
}

// RolledBack returns the error for a transaction that had no effect because its
// connection was lost before COMMIT was sent.
func RolledBack(message string, cause error) *Error {
	return &Error{Outcome: NotRun, SQLState: SerializationFailure, Message: message, Cause: cause}
}

// Unresolved returns the error for a request that may or may not have been
// executed.
func Unresolved(message string, cause error) *Error {
	return &Error{Outcome: Unknown, SQLState: TransactionResolutionUnknown, Message: message, Cause: cause}
}
