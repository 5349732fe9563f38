package account

import (
	"fmt"
	"slices"
	"time"

	"basilmill/core/validate"
)

// ChangeID identifies one attempt to change an account. It distinguishes the
// operator's own change from another when the reply to the update was lost.
type ChangeID string

// Operator names the person or program that makes a change.
type Operator string

// Change is the audit entry of an accepted change.
type Change struct {
	ID       ChangeID
	Operator Operator
	// Time is the operator's clock when the change was requested.
	Time     time.Time
	Revision Revision
	// Before is the zero template when the change created the account.
	Before Template
	After  Template
}

// Object is a client account as the platform stores it.
type Object struct {
	Template Template
	// Changes are the latest changes, oldest first, at most MaxChanges.
	Changes []Change
}

const (
	// MaxChanges bounds the changes that an object holds. With maxTextBytes it
	// keeps the object below the platform's limit of 1 MB.
	MaxChanges = 12
	// AuditBatchSize is the number of changes that move to an audit object
	// together when the list is full.
	AuditBatchSize = MaxChanges / 2
)

// Audit is the content of an audit object: changes that left the list of
// their account. It never changes.
type Audit struct {
	Account ID
	Changes []Change
}

// First returns the revision of the oldest change.
func (a Audit) First() Revision {
	if len(a.Changes) == 0 {
		return 0
	}
	return a.Changes[0].Revision
}

// Last returns the object's latest change.
func (o *Object) Last() (change Change, ok bool) {
	if len(o.Changes) == 0 {
		return Change{}, false
	}
	return o.Changes[len(o.Changes)-1], true
}

// FindChange returns the change with the given id. A writer whose reply was
// lost recognises its own change by it.
func (o *Object) FindChange(id ChangeID) (change Change, ok bool) {
	i := slices.IndexFunc(o.Changes, func(c Change) bool { return c.ID == id })
	if i < 0 {
		return Change{}, false
	}
	return o.Changes[i], true
}

// AuditRevisions returns the first revisions of the audit objects that hold
// the changes before the object's list, oldest first. Revisions are
// consecutive and batches have a fixed size, so that no directory is needed.
func (o *Object) AuditRevisions() []Revision {
	var first []Revision
	for revision := Revision(1); len(o.Changes) > 0 && revision < o.Changes[0].Revision; revision += AuditBatchSize {
		first = append(first, revision)
	}
	return first
}

// Request is an operator's change of an account.
type Request struct {
	ChangeID ChangeID
	Operator Operator
	Time     time.Time
	// Template is valid. Its revision is the one that the change is based on
	// and zero for a new account.
	Template Template
}

// Validate returns all faults of the request.
func (r Request) Validate() validate.Faults {
	faults := checkName("ChangeID", string(r.ChangeID), namePattern)
	faults = append(faults, checkName("Operator", string(r.Operator), namePattern)...)
	return append(faults, r.Template.Validate()...)
}

// Update is the result of an accepted request.
type Update struct {
	// Object is the account's new value.
	Object Object
	// Audit, if not nil, must be stored before the object is: these changes
	// are no longer in the object's list. Every writer that updates the same
	// object derives the same audit object.
	Audit *Audit
}

// RaceError reports that another change was accepted first.
type RaceError struct {
	// Base is the revision that the refused change is based on.
	Base Revision
	// Winner is the latest accepted change.
	Winner Change
	// Diff holds what the accepted changes altered since the base. When the
	// base is no longer in the list, it holds the differences between the
	// refused template and the accepted one.
	Diff []Difference
}

// Error names the winner.
func (e *RaceError) Error() string {
	return fmt.Sprintf("account %s is at revision %d, changed by %s at %s (change %s); the refused change is based on revision %d",
		e.Winner.After.ID, e.Winner.Revision, e.Winner.Operator, e.Winner.Time.UTC().Format(time.RFC3339), e.Winner.ID, e.Base)
}

// UnchangedError reports that the template equals the accepted one.
type UnchangedError struct {
	ID       ID
	Revision Revision
}

// Error names the revision in force.
func (e *UnchangedError) Error() string {
	return fmt.Sprintf("account %s does not change: revision %d already has these parameters", e.ID, e.Revision)
}

// Submit creates an account. Current is the existing object, or nil; an
// existing account is a lost race.
func Submit(current *Object, request Request) (Update, error) {
	if current != nil {
		return Update{}, lostRace(current, request)
	}
	return Update{Object: withChange(Object{}, request)}, nil
}

// Revise replaces the template of an account when the request is based on the
// revision in force.
func Revise(current *Object, request Request) (Update, error) {
	if request.Template.Revision != current.Template.Revision {
		return Update{}, lostRace(current, request)
	}
	if len(Diff(current.Template, request.Template)) == 0 {
		return Update{}, &UnchangedError{ID: current.Template.ID, Revision: current.Template.Revision}
	}
	kept := *current
	var audit *Audit
	if len(kept.Changes) >= MaxChanges {
		audit = &Audit{Account: kept.Template.ID, Changes: slices.Clone(kept.Changes[:AuditBatchSize])}
		kept.Changes = kept.Changes[AuditBatchSize:]
	}
	return Update{Object: withChange(kept, request), Audit: audit}, nil
}

// withChange returns the object with the request as its next revision.
func withChange(o Object, request Request) Object {
	after := request.Template.Clone()
	after.Revision = o.Template.Revision + 1
	change := Change{
		ID: request.ChangeID, Operator: request.Operator, Time: request.Time,
		Revision: after.Revision, Before: o.Template, After: after,
	}
	return Object{Template: after, Changes: append(slices.Clone(o.Changes), change)}
}

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
