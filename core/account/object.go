package account

import (
	"fmt"
	"slices"
	"time"

	"basilmill/core/validate"
)

// ChangeID identifies one attempt to change an account. With it an operator's
// tool recognises its own change when the reply to the update was lost.
type ChangeID string

// Operator is the name of the person or program that makes a change.
type Operator string

// Change is the audit record of an accepted change of an account.
type Change struct {
	ID       ChangeID
	Operator Operator
	// Time is when the change was requested, by the operator's clock.
	Time     time.Time
	Revision Revision
	// Before is the zero template if the change created the account.
	Before Template
	After  Template
}

// Object is a client account as the platform stores it.
type Object struct {
	Template Template
	// Changes are the latest changes, at most MaxChanges, oldest first.
	Changes []Change
}

const (
	// MaxChanges bounds the number of changes in an object. Together with
	// maxTextBytes it keeps the object below the platform's limit of 1 MB.
	MaxChanges = 12
	// AuditBatchSize is the number of changes that move from a full list to an
	// audit object together.
	AuditBatchSize = MaxChanges / 2
)

// Audit is the content of an audit object, which archives AuditBatchSize changes
// that were removed from the list of their account. It is immutable.
type Audit struct {
	Account ID
	Changes []Change
}

// First returns the revision of the oldest change, or zero if there is none.
func (a Audit) First() Revision {
	if len(a.Changes) == 0 {
		return 0
	}
	return a.Changes[0].Revision
}

// Last returns the object's latest change, if any.
func (o *Object) Last() (change Change, ok bool) {
	if len(o.Changes) == 0 {
		return Change{}, false
	}
	return o.Changes[len(o.Changes)-1], true
}

// FindChange returns the change with the given ID, if the object still lists it.
// A writer that got no reply finds out in this way whether its change was
// accepted.
func (o *Object) FindChange(id ChangeID) (change Change, ok bool) {
	i := slices.IndexFunc(o.Changes, func(c Change) bool { return c.ID == id })
	if i < 0 {
		return Change{}, false
	}
	return o.Changes[i], true
}

// AuditRevisions returns, for each audit object with changes before those of the
// object's list, the revision of its first change, oldest first. Revisions are
// consecutive and batches have a fixed size, so that no index of the audit
// objects is needed.
func (o *Object) AuditRevisions() []Revision {
	var first []Revision
	for revision := Revision(1); len(o.Changes) > 0 && revision < o.Changes[0].Revision; revision += AuditBatchSize {
		first = append(first, revision)
	}
	return first
}

// Request is an operator's request to create or change an account.
type Request struct {
	ChangeID ChangeID
	Operator Operator
	Time     time.Time
	// Template is the requested template. Its revision is the one that the
	// change is based on, or zero for a new account.
	Template Template
}

// Validate returns all faults of the request and its template.
func (r Request) Validate() validate.Faults {
	faults := checkName("ChangeID", string(r.ChangeID), namePattern)
	faults = append(faults, checkName("Operator", string(r.Operator), namePattern)...)
	return append(faults, r.Template.Validate()...)
}

// Update is what must be stored for an accepted request.
type Update struct {
	// Object is the account's new value.
	Object Object
	// Audit, if not nil, must be stored before Object, because its changes are
	// no longer in the object's list. Concurrent writers that update the same
	// object derive the same audit object.
	Audit *Audit
}

// RaceError reports that a change was refused because it is not based on the
// latest revision: another change was accepted first.
type RaceError struct {
	// Base is the revision that the refused change is based on.
	Base Revision
	// Winner is the latest accepted change.
	Winner Change
	// Diff holds the differences between the base and the latest accepted
	// template. If the base is no longer in the list, it holds those between
	// the refused template and the latest accepted one.
	Diff []Difference
}

// Error returns the latest accepted change and the base of the refused one.
func (e *RaceError) Error() string {
	return fmt.Sprintf("account %s is at revision %d, changed by %s at %s (change %s); the refused change is based on revision %d",
		e.Winner.After.ID, e.Winner.Revision, e.Winner.Operator, e.Winner.Time.UTC().Format(time.RFC3339), e.Winner.ID, e.Base)
}

// UnchangedError reports that a change was refused because its template equals
// the accepted one.
type UnchangedError struct {
	ID       ID
	Revision Revision
}

// Error returns the account and its current revision.
func (e *UnchangedError) Error() string {
	return fmt.Sprintf("account %s does not change: revision %d already has these parameters", e.ID, e.Revision)
}

// Submit returns the update that creates an account. Current is the existing
// object, or nil. If the account exists, the error is a *RaceError.
func Submit(current *Object, request Request) (Update, error) {
	if current != nil {
		return Update{}, lostRace(current, request)
	}
	return Update{Object: withChange(Object{}, request)}, nil
}

// Revise returns the update that replaces the template of an account. The error
// is a *RaceError if the request is not based on the current revision, and an
// *UnchangedError if it changes nothing.
func Revise(current *Object, request Request) (Update, error) {
	if request.Template.Revision != current.Template.Revision {
		return Update{}, lostRace(current, request)
	}
	if len(Diff(current.Template, request.Template)) == 0 {
		return Update{}, &UnchangedError{ID: current.Template.ID, Revision: current.Template.Revision}
	}
	next := *current
	var audit *Audit
	if len(next.Changes) >= MaxChanges {
		audit = &Audit{Account: next.Template.ID, Changes: slices.Clone(next.Changes[:AuditBatchSize])}
		next.Changes = next.Changes[AuditBatchSize:]
	}
	return Update{Object: withChange(next, request), Audit: audit}, nil
}

// withChange returns the object with the template of the request as its next
// revision and the change added to its list.
func withChange(o Object, request Request) Object {
	after := request.Template.Clone()
	after.Revision = o.Template.Revision + 1
	change := Change{
		ID: request.ChangeID, Operator: request.Operator, Time: request.Time,
		Revision: after.Revision, Before: o.Template, After: after,
	}
	return Object{Template: after, Changes: append(slices.Clone(o.Changes), change)}
}

// lostRace returns the error for a request that is not based on the current
// revision.
func lostRace(current *Object, request Request) *RaceError {
	winner, _ := current.Last()
	base := request.Template
	for _, change := range current.Changes {
		if change.Revision == request.Template.Revision {
			base = change.After
		}
	}
	return &RaceError{
		Base:   request.Template.Revision,
		Winner: winner,
		Diff:   Diff(base, current.Template),
	}
}
