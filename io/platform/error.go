package platform

import (
	"fmt"
)

// ConflictError reports that a conditional update lost: the object has
// another version. The update had no effect.
type ConflictError struct {
	// Current is the object as stored. Its version is 0 when the object does
	// not exist.
	Current Object
}

// Error names the object and its version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s has changed: its version is %d", e.Current.Key, e.Current.Version)
}

// NotFoundError reports that an object does not exist.
type NotFoundError struct {
	Key Key
}

// Error names the object.
func (e *NotFoundError) Error() string { return fmt.Sprintf("%s does not exist", e.Key) }

// OutageError reports that the platform did not serve a call. An update that
// fails with it had no effect.
type OutageError struct {
	// Cause is the transport's error, or nil when the platform answered 503.
	Cause error
}

// Error states the cause.
func (e *OutageError) Error() string {
	if e.Cause == nil {
		return "the platform is unavailable"
	}
	return "the platform does not answer: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *OutageError) Unwrap() error { return e.Cause }

// UnknownResultError reports that an update was sent and its reply was lost:
// it may have taken effect. The writer reads the object back and compares the
// change id.
type UnknownResultError struct {
	Key   Key
	Cause error
}

// Error names the object and the cause.
func (e *UnknownResultError) Error() string {
	return fmt.Sprintf("the reply to the update of %s was lost: %v", e.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownResultError) Unwrap() error { return e.Cause }

// RefusedError reports that the platform refused a call as wrong, for example
// a value above its size limit. Repeating the call does not help.
type RefusedError struct {
	// Status is the HTTP status code.
	Status  int
	Message string
}

// Error states the status and the platform's message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the platform refused the call (status %d): %s", e.Status, e.Message)
}

// InvalidResponseError reports an answer that is not as the object API defines it or
// that exceeds its size limit.
type InvalidResponseError struct {
	Cause error
}

// Error states the cause.
func (e *InvalidResponseError) Error() string {
	return "the platform's answer is invalid: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InvalidResponseError) Unwrap() error { return e.Cause }
