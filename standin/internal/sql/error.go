package sql

import "fmt"

// Code is an SQLSTATE, the five-character error code of SQL.
type Code string

// SQLSTATEs that the stand-in backend server reports.
const (
	FeatureNotSupported   Code = "0A000"
	InvalidParameter      Code = "22023"
	NumericOutOfRange     Code = "22003"
	InvalidText           Code = "22P02"
	InvalidBinary         Code = "22P03"
	NotNullViolation      Code = "23502"
	UniqueViolation       Code = "23505"
	ActiveTransaction     Code = "25001"
	ReadOnlyTransaction   Code = "25006"
	NoActiveTransaction   Code = "25P01"
	FailedTransaction     Code = "25P02"
	InvalidStatementName  Code = "26000"
	InvalidAuthorization  Code = "28000"
	InvalidPassword       Code = "28P01"
	InvalidDatabase       Code = "3D000"
	InvalidCursorName     Code = "34000"
	SerializationFailure  Code = "40001"
	DeadlockDetected      Code = "40P01"
	SyntaxError           Code = "42601"
	InsufficientPrivilege Code = "42501"
	UndefinedColumn       Code = "42703"
	DuplicateColumn       Code = "42701"
	UndefinedObject       Code = "42704"
	DatatypeMismatch      Code = "42804"
	UndefinedFunction     Code = "42883"
	UndefinedTable        Code = "42P01"
	UndefinedParameter    Code = "42P02"
	DuplicateStatement    Code = "42P05"
	DuplicateTable        Code = "42P07"
	IndeterminateType     Code = "42P18"
	TooManyConnections    Code = "53300"
	WrongState            Code = "55000"
	QueryCanceled         Code = "57014"
	AdminShutdown         Code = "57P01"
	ProtocolViolation     Code = "08P01"
	InternalError         Code = "XX000"
)

// Error is an error with an SQLSTATE, which is sent to the client.
type Error struct {
	Code    Code
	Message string
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s (SQLSTATE %s)", e.Message, e.Code) }

// Errorf returns an Error with the given code.
func Errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}
