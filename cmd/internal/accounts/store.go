// Package accounts reads and changes the client accounts that are stored on the
// platform. It owns the retries of a change and the check that no two accounts
// claim the same group.
package accounts

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rotisserie/eris"

	"basilmill/core/account"
	"basilmill/core/distribution"
	"basilmill/core/validate"
	"basilmill/io/platform"
)

// Store reads and changes the client accounts on the platform.
type Store struct {
	API platform.API
	// RetryTimeout bounds the time for which a change is retried during an
	// outage or after a lost reply. Zero means one attempt.
	RetryTimeout time.Duration
}

// Result is an accepted change.
type Result struct {
	Change account.Change
	// FoundOnReadBack is set if the change was found when the account was read
	// again, because the reply to the update had been lost.
	FoundOnReadBack bool
}

// UnknownError reports that the reply to an update was lost and that the change
// was not found afterwards, so it may have been accepted.
type UnknownError struct {
	ID       account.ID
	ChangeID account.ChangeID
	Cause    error
}

// Error states how to determine the result.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is unknown whether change %s of account %s was accepted; repeat the command with --change-id %s: %v",
		e.ChangeID, e.ID, e.ChangeID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// ClaimRaceError reports that a change was accepted, but that another account
// claimed one of its groups at the same time.
type ClaimRaceError struct {
	Change account.Change
	Faults validate.Faults
}

// Error names the groups and the other accounts.
func (e *ClaimRaceError) Error() string {
	return fmt.Sprintf("account %s is accepted as revision %d, but another account claimed a group at the same time; revise one of them:\n%v",
		e.Change.After.ID, e.Change.Revision, e.Faults.Err())
}

// Get returns an account and its version.
func (s Store) Get(ctx context.Context, id account.ID) (object *account.Object, version distribution.Version, err error) {
	stored, err := s.API.Get(ctx, platform.AccountKey(id))
	if err != nil {
		return nil, 0, err
	}
	object, err = platform.DecodeAccount(stored.Value)
	return object, stored.Version, err
}

// List returns all accounts.
func (s Store) List(ctx context.Context) ([]account.Object, error) {
	items, err := s.API.List(ctx, platform.KindAccount)
	if err != nil {
		return nil, err
	}
	objects := make([]account.Object, len(items.Items))
	for i, item := range items.Items {
		object, err := platform.DecodeAccount(item.Value)
		if err != nil {
			return nil, eris.Wrapf(err, "object %s", item.Key)
		}
		objects[i] = *object
	}
	return objects, nil
}

// History returns all changes of an account, oldest first, including those
// that were moved to audit objects.
func (s Store) History(ctx context.Context, id account.ID) ([]account.Change, error) {
	object, _, err := s.Get(ctx, id)
	if err != nil {
		return nil, err
	}
	return s.historyOf(ctx, object)
}

// historyOf returns all changes of an account that was read before.
func (s Store) historyOf(ctx context.Context, object *account.Object) ([]account.Change, error) {
	var changes []account.Change
	for _, first := range object.AuditRevisions() {
		stored, err := s.API.Get(ctx, platform.AuditKey(object.Template.ID, first))
		if err != nil {
			return nil, err
		}
		audit, err := platform.DecodeAudit(stored.Value)
		if err != nil {
			return nil, err
		}
		changes = append(changes, audit.Changes...)
	}
	return append(changes, object.Changes...), nil
}

// Submit creates an account.
func (s Store) Submit(ctx context.Context, request account.Request) (Result, error) {
	return s.change(ctx, request, account.Submit)
}

// Revise replaces the template of an account.
func (s Store) Revise(ctx context.Context, request account.Request) (Result, error) {
	return s.change(ctx, request, func(current *account.Object, request account.Request) (account.Update, error) {
		if current == nil {
			return account.Update{}, &platform.NotFoundError{Key: platform.AccountKey(request.Template.ID)}
		}
		return account.Revise(current, request)
	})
}

// transition returns the update that a request makes to the current account,
// which is nil if there is none.
type transition func(current *account.Object, request account.Request) (account.Update, error)

// change retries the transition until it is accepted or refused. Each attempt
// first reads the account and looks for the change id, so that a change is applied
// only once.
func (s Store) change(ctx context.Context, request account.Request, transition transition) (Result, error) {
	if err := request.Validate().Err(); err != nil {
		return Result{}, err
	}
	replyLost := false
	attempt := func() (Result, error) {
		result, err := s.attempt(ctx, request, transition)
		var unknown *platform.UnknownResultError
		replyLost = replyLost || errors.As(err, &unknown) && unknown.Key == platform.AccountKey(request.Template.ID)
		if err != nil && !isTransient(err) {
			err = backoff.Permanent(err)
		}
		return result, err
	}
	result, err := s.retry(ctx, attempt)
	// After a lost reply, only a lost race proves that the update had no effect.
	var race *account.RaceError
	if err != nil && replyLost && !errors.As(err, &race) {
		return Result{}, &UnknownError{ID: request.Template.ID, ChangeID: request.ChangeID, Cause: err}
	}
	if err != nil {
		return Result{}, err
	}
	return result, s.checkClaimsAgain(ctx, result.Change)
}

func (s Store) retry(ctx context.Context, attempt backoff.Operation[Result]) (Result, error) {
	if s.RetryTimeout <= 0 {
		result, err := attempt()
		var permanent *backoff.PermanentError
		if errors.As(err, &permanent) {
			err = permanent.Unwrap()
		}
		return result, err
	}
	return backoff.Retry(ctx, attempt, backoff.WithMaxElapsedTime(s.RetryTimeout))
}

// isTransient reports whether a retry can determine the result of the change.
func isTransient(err error) bool {
	var (
		unknown *platform.UnknownResultError
		outage  *platform.OutageError
	)
	return errors.As(err, &unknown) || errors.As(err, &outage)
}

// attempt makes one attempt. After a conflict it reads the account again, to find
// the change that was accepted first.
func (s Store) attempt(ctx context.Context, request account.Request, transition transition) (Result, error) {
	result, err := s.applyOnce(ctx, request, transition)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return s.applyOnce(ctx, request, transition)
	}
	return result, err
}

// applyOnce reads the account, returns the request's own change if it is already
// there, and otherwise applies the transition.
func (s Store) applyOnce(ctx context.Context, request account.Request, transition transition) (Result, error) {
	current, version, err := s.load(ctx, request.Template.ID)
	if err != nil {
		return Result{}, err
	}
	if change, ok, err := s.find(ctx, current, request); ok || err != nil {
		return Result{Change: change, FoundOnReadBack: true}, err
	}
	update, err := transition(current, request)
	if err != nil {
		return Result{}, err
	}
	if err := s.checkClaims(ctx, request.Template); err != nil {
		return Result{}, err
	}
	if err := s.put(ctx, update, version); err != nil {
		return Result{}, err
	}
	change, _ := update.Object.Last()
	return Result{Change: change}, nil
}

// load returns nil and version 0 for an account that does not exist.
func (s Store) load(ctx context.Context, id account.ID) (*account.Object, distribution.Version, error) {
	object, version, err := s.Get(ctx, id)
	var notFound *platform.NotFoundError
	if errors.As(err, &notFound) {
		return nil, 0, nil
	}
	return object, version, err
}

// find looks for the request's own change. Later changes may have moved it to an
// audit object.
func (s Store) find(ctx context.Context, current *account.Object, request account.Request) (change account.Change, ok bool, err error) {
	if current == nil {
		return account.Change{}, false, nil
	}
	if change, ok = current.FindChange(request.ChangeID); ok {
		return change, true, nil
	}
	if len(current.Changes) == 0 || current.Changes[0].Revision <= request.Template.Revision+1 {
		return account.Change{}, false, nil
	}
	history, err := s.historyOf(ctx, current)
	if err != nil {
		return account.Change{}, false, err
	}
	change, ok = (&account.Object{Changes: history}).FindChange(request.ChangeID)
	return change, ok, nil
}

func (s Store) put(ctx context.Context, update account.Update, version distribution.Version) error {
	if update.Audit != nil {
		if err := s.putAudit(ctx, update.Audit); err != nil {
			return err
		}
	}
	value, err := platform.EncodeAccount(&update.Object)
	if err != nil {
		return err
	}
	_, err = s.API.Put(ctx, platform.AccountKey(update.Object.Template.ID), value, version)
	return err
}

// putAudit stores an audit object. It succeeds if another writer has already
// stored one with the same changes.
func (s Store) putAudit(ctx context.Context, audit *account.Audit) error {
	value, err := platform.EncodeAudit(audit)
	if err != nil {
		return err
	}
	_, err = s.API.Put(ctx, platform.AuditKey(audit.Account, audit.First()), value, 0)
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	stored, err := platform.DecodeAudit(conflict.Current.Value)
	if err != nil {
		return err
	}
	if !sameChanges(stored, audit) {
		return eris.Errorf("the audit object %s holds other changes", conflict.Current.Key)
	}
	return nil
}

func sameChanges(a, b *account.Audit) bool {
	if len(a.Changes) != len(b.Changes) {
		return false
	}
	for i := range a.Changes {
		if a.Changes[i].ID != b.Changes[i].ID || a.Changes[i].Revision != b.Changes[i].Revision {
			return false
		}
	}
	return true
}

// checkClaims returns an error if the template claims a group that another account
// claims, unless both share it.
func (s Store) checkClaims(ctx context.Context, template account.Template) error {
	objects, err := s.List(ctx)
	if err != nil {
		return err
	}
	others := make([]account.Template, len(objects))
	for i, object := range objects {
		others[i] = object.Template
	}
	return account.CheckClaims(template, others).Err()
}

// checkClaimsAgain finds a claim that was accepted between the check and the
// update. The platform cannot update several objects atomically, so two concurrent
// changes may both pass the first check, but at least one of them finds the other
// here.
func (s Store) checkClaimsAgain(ctx context.Context, change account.Change) error {
	err := s.checkClaims(ctx, change.After)
	var faults *validate.Error
	if errors.As(err, &faults) {
		return &ClaimRaceError{Change: change, Faults: faults.Faults}
	}
	if err != nil {
		return eris.Wrapf(err, "account %s is accepted as revision %d, but claims of its groups by other accounts were not checked again",
			change.After.ID, change.Revision)
	}
	return nil
}
