// Package groups changes the records of database groups that are stored on the
// platform, on behalf of an operator. It owns the retries of a change.
package groups

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"basilmill/core/distribution"
	"basilmill/core/group"
	"basilmill/io/platform"
)

// Store changes the records of database groups on the platform.
type Store struct {
	API platform.API
	// RetryTimeout bounds the time for which a change is retried during an
	// outage, after a lost reply or after a conflict. Zero means no limit.
	RetryTimeout time.Duration
}

// UnknownError reports that the reply to an update was lost and that the change
// was not found afterwards, so it may have been accepted.
type UnknownError struct {
	ID       group.ID
	ChangeID group.ChangeID
	Cause    error
}

// Error states how to determine the result.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s of group %s was accepted; look for it with \"group get %s\": %v",
		e.ChangeID, e.ID, e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Create stores the record of a new group. It succeeds if the record's own change
// is already stored.
func (s Store) Create(ctx context.Context, record *group.Record) error {
	return s.retry(ctx, record.ID, record.ChangeID, func() error {
		current, version, err := s.load(ctx, record.ID)
		switch {
		case err != nil:
			return err
		case current != nil && current.HasChange(record.ChangeID):
			return nil
		case current != nil:
			return backoff.Permanent(fmt.Errorf("group %s exists", record.ID))
		}
		return s.put(ctx, record, version)
	})
}

// Change applies a transition to a group's record. If another update, such as a
// change of primary, is stored between the read and the write, the transition is
// applied again to the new record.
func (s Store) Change(ctx context.Context, id group.ID, change group.ChangeID, transition func(*group.Record) (*group.Record, error)) error {
	return s.retry(ctx, id, change, func() error {
		current, version, err := s.load(ctx, id)
		switch {
		case err != nil:
			return err
		case current == nil:
			return backoff.Permanent(&platform.NotFoundError{Key: platform.GroupKey(id)})
		case current.HasChange(change):
			return nil
		}
		next, err := transition(current)
		if err != nil {
			return backoff.Permanent(err)
		}
		return s.put(ctx, next, version)
	})
}

// load returns nil for a group that does not exist.
func (s Store) load(ctx context.Context, id group.ID) (record *group.Record, version distribution.Version, err error) {
	object, err := s.API.Get(ctx, platform.GroupKey(id))
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	record, err = platform.DecodeGroup(object.Value)
	if err != nil {
		return nil, 0, backoff.Permanent(err)
	}
	return record, object.Version, nil
}

func (s Store) put(ctx context.Context, record *group.Record, version distribution.Version) error {
	value, err := platform.EncodeGroup(record)
	if err != nil {
		return backoff.Permanent(err)
	}
	_, err = s.API.Put(ctx, platform.GroupKey(record.ID), value, version)
	return err
}

// retry retries an attempt while it is unknown or undecided whether the change was
// stored. Each attempt first looks for the change, so that it is applied only
// once.
func (s Store) retry(ctx context.Context, id group.ID, change group.ChangeID, attempt func() error) error {
	replyLost := false
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := attempt()
		var unknown *platform.UnknownResultError
		replyLost = replyLost || errors.As(err, &unknown)
		return struct{}{}, permanentUnlessRetryable(err)
	}, backoff.WithMaxElapsedTime(s.RetryTimeout))
	if err != nil && replyLost {
		return &UnknownError{ID: id, ChangeID: change, Cause: err}
	}
	return err
}

// permanentUnlessRetryable marks an error as permanent, unless another attempt can
// succeed or determine the result.
func permanentUnlessRetryable(err error) error {
	var (
		unknown  *platform.UnknownResultError
		outage   *platform.OutageError
		conflict *platform.ConflictError
	)
	if err == nil || errors.As(err, &unknown) || errors.As(err, &outage) || errors.As(err, &conflict) {
		return err
	}
	return backoff.Permanent(err)
}
