package caller

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/outcome"
)

// PostgreSQL error codes that the host itself sends to callers.
const (
	protocolViolation      outcome.SQLState = "08P01"
	featureNotSupported    outcome.SQLState = "0A000"
	invalidParameterValue  outcome.SQLState = "22023"
	uniqueViolation        outcome.SQLState = "23505"
	activeTransaction      outcome.SQLState = "25001"
	failedTransaction      outcome.SQLState = "25P02"
	idleInTransaction      outcome.SQLState = "25P03"
	invalidStatementName   outcome.SQLState = "26000"
	invalidAuthorization   outcome.SQLState = "28000"
	invalidPassword        outcome.SQLState = "28P01"
	syntaxError            outcome.SQLState = "42601"
	programLimitExceeded   outcome.SQLState = "54000"
	queryCancelled         outcome.SQLState = "57014"
	duplicateStatementName outcome.SQLState = "42P05"
	internalError          outcome.SQLState = "XX000"
)

// hint is the cause of a refusal. It is sent to the caller as the HINT field.
type hint string

func (h hint) Error() string { return string(h) }

// refuse returns an error for a request that the host did not run.
func refuse(code outcome.SQLState, message string) *outcome.Error {
	return &outcome.Error{Outcome: outcome.NotRun, SQLState: code, Message: message}
}

// notRunError converts an error of Route or Acquire, that is, from before
// anything was sent to a server.
func notRunError(err error) *outcome.Error {
	var outcomeErr *outcome.Error
	if errors.As(err, &outcomeErr) {
		return outcomeErr
	}
	return outcome.Unavailable("no server can serve the request", err)
}

// unresolvedError converts an error of running a request. The outcome is Unknown
// unless the error states another one.
func unresolvedError(err error) *outcome.Error {
	var outcomeErr *outcome.Error
	if errors.As(err, &outcomeErr) {
		return outcomeErr
	}
	return outcome.Unresolved("the answer is incomplete", err)
}

// errorResponse returns the message for a caller. It leaves out the cause, which
// may name backend servers; only a hint is sent.
func errorResponse(severity string, err *outcome.Error) *pgproto3.ErrorResponse {
	code := err.SQLState
	if code == "" {
		code = internalError
	}
	var advice hint
	_ = errors.As(err.Cause, &advice)
	return &pgproto3.ErrorResponse{
		Hint:                string(advice),
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                string(code),
		Message:             err.Message,
		Detail:              err.Detail(),
	}
}
