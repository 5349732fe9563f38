package platform

import (
	"fmt"
)

// ConflictError reports that a conditional update had no effect because the
// object has another version.
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

// OutageError reports that the platform was unavailable. An update that fails
// with it had no effect.
type OutageError struct {
	// Cause is the error of the transport, or nil if the platform responded with
	// status 503.
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

// UnknownResultError reports that an update was sent but its response was lost, so
// that it may have taken effect. The caller reads the object again and looks for
// its change id.
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

// RefusedError reports that the platform refused a call as invalid, for example
// because a value exceeds its size limit. A retry fails in the same way.
type RefusedError struct {
	// Status is the HTTP status code.
	Status  int
	Message string
}

// Error states the status and the platform's message.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("the platform refused the call (status %d): %s", e.Status, e.Message)
}

// InvalidResponseError reports a response that does not conform to the object API
// or that exceeds its size limit.
type InvalidResponseError struct {
	Cause error
}

// Error states the cause.
func (e *InvalidResponseError) Error() string {
	return "the platform's answer is invalid: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *InvalidResponseError) Unwrap() error { return e.Cause }
