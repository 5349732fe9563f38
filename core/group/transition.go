package group

import (
	"fmt"
	"slices"
	"time"

	"basilmill/core/host"
)

// MaxChanges bounds the audit entries that a record keeps.
const MaxChanges = 32

// Author describes who updates a record and why, for the audit entry.
type Author struct {
	ChangeID ChangeID
	Host     host.ID
	Time     time.Time
	// Cause is a short description of why the record changes.
	Cause string
}

// Transition identifies a kind of change that a record allows.
type Transition string

// Transitions of a record.
const (
	TransitionPromote               Transition = "promote"
	TransitionPromotePlanned        Transition = "planned promote"
	TransitionStartSuccessorChange  Transition = "start successor change"
	TransitionFinishSuccessorChange Transition = "finish successor change"
	TransitionMarkLeaving           Transition = "mark leaving"
	TransitionAddServer             Transition = "add server"
	TransitionRemoveServer          Transition = "remove server"
)

// Reason identifies the precondition of a transition that does not hold.
type Reason string

// Reasons of a TransitionError.
const (
	// NotEligible: the status does not prove that the successor holds every
	// acknowledged write.
	NotEligible Reason = "successor is not eligible"
	// NotCaughtUp: the server has not received the required offset.
	NotCaughtUp Reason = "server has not received the required offset"
	// NotCandidate: no change of successor to this server is in progress, or
	// the primary does not yet replicate to it as the candidate.
	NotCandidate Reason = "the primary does not replicate to the server as the candidate"
	// UnknownServer: the record does not list the server.
	UnknownServer Reason = "server is not in the record"
	// KnownServer: the record already lists the server.
	KnownServer Reason = "server is already in the record"
	// IsPrimary: the server is the primary.
	IsPrimary Reason = "server is the primary"
	// InUse: the server is the primary, the successor or the candidate.
	InUse Reason = "server is the primary, the successor or the candidate"
	// Unchanged: the transition would change nothing.
	Unchanged Reason = "the record would not change"
)

// TransitionError reports a transition that the record does not allow.
type TransitionError struct {
	Transition Transition
	Server     ServerID
	Reason     Reason
}

// Error describes the refused transition.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("%s %q: %s", e.Transition, e.Server, e.Reason)
}

// Eligible reports whether the status proves that the record's successor
// holds every acknowledged write, so that it may become primary.
//
// The term must be the record's because the log of a server of a lower term
// may lack acknowledged writes or have a diverged tail. The log must reach the
// start of the term because a successor that the last change of primary named
// may still lack writes that an earlier term acknowledged. The generation is
// not checked: it matters only for the confirmation of writes.
func (r *Record) Eligible(s Status) bool {
	return r.Successor != "" &&
		s.Server == r.Successor &&
		s.Role == Replica &&
		s.Term == r.Term &&
		s.Received >= s.TermStart
}

// Promote returns the record with the successor as the primary of the next
// term. The status must come from the successor and prove that it is eligible.
// The next successor may be empty; no write is then confirmed until a change
// of successor.
func (r *Record) Promote(by Author, successor Status, next ServerID) (*Record, error) {
	return r.promote(TransitionPromote, by, successor, next)
}

// PromotePlanned is like Promote, for a primary that refuses writes. Its log
// ends at the final offset, which the successor must have received.
func (r *Record) PromotePlanned(by Author, successor Status, final Offset, next ServerID) (*Record, error) {
	if successor.Received < final {
		return nil, &TransitionError{TransitionPromotePlanned, successor.Server, NotCaughtUp}
	}
	return r.promote(TransitionPromotePlanned, by, successor, next)
}

func (r *Record) promote(transition Transition, by Author, successor Status, next ServerID) (*Record, error) {
	if !r.Eligible(successor) {
		return nil, &TransitionError{transition, successor.Server, NotEligible}
	}
	if next == r.Successor {
		return nil, &TransitionError{transition, next, IsPrimary}
	}
	if _, ok := r.Server(next); !ok && next != "" {
		return nil, &TransitionError{transition, next, UnknownServer}
	}
	out := r.clone()
	out.Term++
	out.Generation++
	out.Primary = r.Successor
	out.Successor = next
	out.Candidate = ""
	return out.audit(by), nil
}

// StartSuccessorChange names the candidate. It may replace a candidate that
// was lost. The candidate may be the current successor, which then confirms
// writes again once the primary replicates to it under the next generation.
func (r *Record) StartSuccessorChange(by Author, candidate ServerID) (*Record, error) {
	const transition = TransitionStartSuccessorChange
	if _, ok := r.Server(candidate); !ok {
		return nil, &TransitionError{transition, candidate, UnknownServer}
	}
	switch candidate {
	case r.Primary:
		return nil, &TransitionError{transition, candidate, IsPrimary}
	case r.Candidate:
		return nil, &TransitionError{transition, candidate, Unchanged}
	}
	out := r.clone()
	out.Candidate = candidate
	return out.audit(by), nil
}

// FinishSuccessorChange makes the candidate the successor. The offset is the
// primary's reply to set_successor for the next generation and this candidate:
// every write acknowledged so far lies before it. The candidate's status must
// show that generation and an offset at or past it.
func (r *Record) FinishSuccessorChange(by Author, candidate Status, offset Offset) (*Record, error) {
	const transition = TransitionFinishSuccessorChange
	isReplicating := r.Candidate != "" &&
		candidate.Server == r.Candidate &&
		candidate.Role == Replica &&
		candidate.Term == r.Term &&
		candidate.Generation == r.Generation+1
	if !isReplicating {
		return nil, &TransitionError{transition, candidate.Server, NotCandidate}
	}
	if candidate.Received < offset {
		return nil, &TransitionError{transition, candidate.Server, NotCaughtUp}
	}
	out := r.clone()
	out.Generation++
	out.Successor = r.Candidate
	out.Candidate = ""
	return out.audit(by), nil
}

// MarkLeaving marks the server as leaving. The mark cannot be removed: a server
// that returns is added under a new id.
func (r *Record) MarkLeaving(by Author, id ServerID) (*Record, error) {
	const transition = TransitionMarkLeaving
	i := r.index(id)
	if i < 0 {
		return nil, &TransitionError{transition, id, UnknownServer}
	}
	if r.Servers[i].Leaving {
		return nil, &TransitionError{transition, id, Unchanged}
	}
	out := r.clone()
	out.Servers[i].Leaving = true
	return out.audit(by), nil
}

// AddServer adds a replica. A server that lost its log must be added under a
// new id, because eligibility relies on a log that only grows within a term.
func (r *Record) AddServer(by Author, server Server) (*Record, error) {
	if r.index(server.ID) >= 0 || server.ID == "" {
		return nil, &TransitionError{TransitionAddServer, server.ID, KnownServer}
	}
	out := r.clone()
	out.Servers = append(out.Servers, server)
	return out.audit(by), nil
}

// RemoveServer removes a replica that is neither the successor nor the
// candidate.
func (r *Record) RemoveServer(by Author, id ServerID) (*Record, error) {
	const transition = TransitionRemoveServer
	i := r.index(id)
	if i < 0 {
		return nil, &TransitionError{transition, id, UnknownServer}
	}
	if id == r.Primary || id == r.Successor || id == r.Candidate {
		return nil, &TransitionError{transition, id, InUse}
	}
	out := r.clone()
	out.Servers = slices.Delete(out.Servers, i, i+1)
	return out.audit(by), nil
}

// HasChange reports whether the record contains the change, as its latest or as
// one of its audit entries. A writer that got no reply learns from it whether
// its update took effect, as long as fewer than MaxChanges updates followed it.
func (r *Record) HasChange(id ChangeID) bool {
	return r.ChangeID == id || slices.ContainsFunc(r.Changes, func(c Change) bool { return c.ID == id })
}

func (r *Record) index(id ServerID) int {
	return slices.IndexFunc(r.Servers, func(s Server) bool { return s.ID == id })
}

func (r *Record) clone() *Record {
	out := *r
	out.Databases = slices.Clone(r.Databases)
	out.Servers = slices.Clone(r.Servers)
	out.Changes = slices.Clone(r.Changes)
	return &out
}

// audit sets the change id of a modified copy of a record and appends its audit
// entry, dropping the oldest entries beyond MaxChanges.
func (r *Record) audit(by Author) *Record {
	r.ChangeID = by.ChangeID
	r.Changes = append(r.Changes, Change{
		ID:         by.ChangeID,
		Host:       by.Host,
		Time:       by.Time,
		Cause:      by.Cause,
		Term:       r.Term,
		Generation: r.Generation,
		Primary:    r.Primary,
		Successor:  r.Successor,
	})
	if excess := len(r.Changes) - MaxChanges; excess > 0 {
		r.Changes = slices.Delete(r.Changes, 0, excess)
	}
	return r
}
