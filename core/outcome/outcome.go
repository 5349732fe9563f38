// Package outcome defines the three outcomes of a request and the error that
// carries an outcome other than Done to the caller.
package outcome

import (
	"errors"
	"fmt"
)

// Outcome states what is known about the execution of a request.
type Outcome int

// Outcomes of a request. The zero value is Unknown, so that an outcome that
// nobody established never claims more than is known.
const (
	// Unknown means that the request may or may not have run.
	Unknown Outcome = iota
	// NotRun means that the request had no effect.
	NotRun
	// Done means that the request completed and is durable.
	Done
)

// String returns the wording used in error details.
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

// Error is a failed request with its outcome.
type Error struct {
	Outcome  Outcome
	SQLState SQLState
	Message  string
	// Cause is the underlying error, if any.
	Cause error
}

// Error formats the message, the outcome and the cause.
func (e *Error) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("%s (%s): %v", e.Message, e.Outcome, e.Cause)
	}
	return fmt.Sprintf("%s (%s)", e.Message, e.Outcome)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Detail returns the DETAIL field sent to the caller.
func (e *Error) Detail() string { return e.Outcome.String() + ": " + e.Message }

// Of returns the outcome that err carries. An error without one is Unknown.
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

// Unavailable returns the error for a request that could not start because no
// server could be proved able to serve it.
func Unavailable(message string, cause error) *Error {
	return &Error{Outcome: NotRun, SQLState: CannotConnectNow, Message: message, Cause: cause}
}

// Overloaded returns the error for a request refused by a queue.
func Overloaded(message string) *Error {
	return &Error{Outcome: NotRun, SQLState: TooManyConnections, Message: message}
}

// RolledBack returns the error for a transaction whose connection was lost
// before COMMIT was sent.
func RolledBack(message string, cause error) *Error {
	return &Error{Outcome: NotRun, SQLState: SerializationFailure, Message: message, Cause: cause}
}

// Unresolved returns the error for a request that may have run.
func Unresolved(message string, cause error) *Error {
	return &Error{Outcome: Unknown, SQLState: TransactionResolutionUnknown, Message: message, Cause: cause}
}
