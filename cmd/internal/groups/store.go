// Package groups changes the records of database groups on the platform on
// behalf of an operator.
package groups

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"basilmill/core/group"
	"basilmill/io/platform"
)

// Store is the set of group records on the platform.
type Store struct {
	API platform.API
	// Patience bounds the time that a change is tried again during an outage,
	// after a lost reply or after another update.
	Patience time.Duration
}

// UnknownError reports that the reply to an update was lost and the record
// could not be read back: the change may have been accepted.
type UnknownError struct {
	ID       group.ID
	ChangeID group.ChangeID
	Cause    error
}

// Error says how to find out.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s of group %s was accepted; look for it with \"group get %s\": %v",
		e.ChangeID, e.ID, e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// Create stores the record of a new group.
func (s Store) Create(ctx context.Context, record *group.Record) error {
	return s.settle(ctx, record.ID, record.ChangeID, func() error {
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

// Change applies a transition to a group's record. Another update between the
// read and the write, for example a change of primary, is followed by another
// attempt on the new record.
func (s Store) Change(ctx context.Context, id group.ID, change group.ChangeID, transition func(*group.Record) (*group.Record, error)) error {
	return s.settle(ctx, id, change, func() error {
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
func (s Store) load(ctx context.Context, id group.ID) (record *group.Record, version platform.Version, err error) {
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

func (s Store) put(ctx context.Context, record *group.Record, version platform.Version) error {
	value, err := platform.EncodeGroup(record)
	if err != nil {
		return backoff.Permanent(err)
	}
	_, err = s.API.Put(ctx, platform.GroupKey(record.ID), value, version)
	return err
}

// settle repeats attempts while the platform's answers leave the change open.
// Each attempt looks for the change first, so that it is applied once.
func (s Store) settle(ctx context.Context, id group.ID, change group.ChangeID, attempt func() error) error {
	lost := false
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		err := attempt()
		var unknown *platform.UnknownResultError
		lost = lost || errors.As(err, &unknown)
		return struct{}{}, permanentUnlessOpen(err)
	}, backoff.WithMaxElapsedTime(s.Patience))
	if err != nil && lost {
		return &UnknownError{ID: id, ChangeID: change, Cause: err}
	}
	return err
}

func permanentUnlessOpen(err error) error {
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
