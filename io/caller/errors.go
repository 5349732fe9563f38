package caller

import (
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/outcome"
)

// Error codes of PostgreSQL that the host itself answers with.
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

// hint is the cause of a refusal that tells the caller what to do instead.
type hint string

func (h hint) Error() string { return string(h) }

// refuse returns an error for something that was not run.
func refuse(code outcome.SQLState, message string) *outcome.Error {
	return &outcome.Error{Outcome: outcome.NotRun, SQLState: code, Message: message}
}

// notRun returns the error of a step that precedes sending: Route or Acquire.
func notRun(err error) *outcome.Error {
	var o *outcome.Error
	if errors.As(err, &o) {
		return o
	}
	return outcome.Unavailable("no server can serve the request", err)
}

// unresolved returns the error of a step after sending.
func unresolved(err error) *outcome.Error {
	var o *outcome.Error
	if errors.As(err, &o) {
		return o
	}
	return outcome.Unresolved("the answer is incomplete", err)
}

// response returns the message for a caller. Causes stay on the host: they
// name its servers.
func response(severity string, err *outcome.Error) *pgproto3.ErrorResponse {
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
