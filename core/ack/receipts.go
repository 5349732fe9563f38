package ack

import (
	"context"
	"slices"
	"sync"
	"time"

	"basilmill/core/group"
	"basilmill/core/outcome"
)

// Receipts holds back the success of commits in a group whose servers confirm commits
// themselves. Such a primary acknowledges a commit as soon as any replica has received
// it, but a change of primary asks only the servers that the platform's store lists, and
// promotes the one of these with the highest position.
//
// A commit is safe once a witness is known to have received it. A server is a witness if
// every change that may still take effect asks it. A change stops all servers that it asks
// from receiving, lists the servers again, and orders a promotion if there is no other
// one; they stay suspended until the promotion takes effect or can't any more. A server is
// therefore a witness once, after it was listed, another witness was not suspended, or none
// of the listed replicas was, or the group's record showed that no change was in progress.
// Each may also follow a change that has just taken effect and drops what the server had
// received before, so that only what it states later counts.
//
// A position counts within its term only. What a server holds of a later term says
// nothing about the end of an earlier one.
//
// The zero value is ready for use. A Receipts is safe for concurrent use.
type Receipts struct {
	mu       sync.Mutex
	primary  group.ServerID
	replicas map[group.ServerID]*replica // with the primary, which was one or will be
	// unresolvedTerm is the term of a witness that left the list suspended. A change to a
	// later one may still take effect.
	unresolvedTerm group.Term
	changed        chan struct{}
}

// Listed is a server that the store lists. Its boot changes with each start.
type Listed struct {
	ID     group.ServerID
	BootID int64
}

// replica is what is known of one listed server.
type replica struct {
	bootID int64
	// listedAt is when the server was first seen in the list.
	listedAt time.Time
	witness  bool
	// witnessSince is when the server became a witness.
	witnessSince time.Time
	term         group.Term
	// received is the highest position that the server stated, as a witness if it is one.
	received group.Position
	// stated is the highest position that the server stated in its term.
	stated group.Position
	// suspended is set if the server said so in its last answer.
	suspended bool
	// notSuspendedAt is when the last query was sent whose answer said that the server is
	// not suspended.
	notSuspendedAt time.Time
}

// Status is the answer of a server to a status query.
type Status struct {
	// QueriedAt is when the query was sent.
	QueriedAt time.Time
	// Term is the term that the server is in.
	Term group.Term
	// Received is the end of the log that it has received. Its term may be earlier.
	Received  group.Position
	Suspended bool
}

// Commit is a commit that a primary has acknowledged.
type Commit struct {
	Primary  group.ServerID
	Position group.Position
}

// SetListed notes the servers that the store lists at present, and which of them is the
// primary. What is known of others is forgotten, also if they are listed again later. A
// server that has started again is another one: it has lost its log and its suspension.
func (r *Receipts) SetListed(servers []Listed, primary group.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.primary = primary
	for id, known := range r.replicas {
		if !slices.Contains(servers, Listed{id, known.bootID}) {
			if known.witness && known.suspended {
				r.unresolvedTerm = max(r.unresolvedTerm, known.term)
			}
			delete(r.replicas, id)
		}
	}
	for _, s := range servers {
		if r.replicas[s.ID] != nil {
			continue
		}
		if r.replicas == nil {
			r.replicas = map[group.ServerID]*replica{}
		}
		r.replicas[s.ID] = &replica{bootID: s.BootID, listedAt: time.Now()}
	}
}

// NoteStatus notes what a server stated.
func (r *Receipts) NoteStatus(server group.ServerID, s Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.replicas[server]
	if known == nil {
		return
	}
	if s.Term <= known.term && s.Received.Compare(known.stated) < 0 {
		// It has started again and has lost its suspension with its log.
		return
	}
	known.stated, known.suspended = s.Received, s.Suspended
	known.note(s.QueriedAt, s.Term, s.Received)
	if !s.Suspended && s.QueriedAt.After(known.notSuspendedAt) {
		known.notSuspendedAt = s.QueriedAt
	}
	r.updateWitnesses()
	r.notify()
}

// NotePosition notes a position in the log of a server, from the answer to a statement that
// was sent at the time.
func (r *Receipts) NotePosition(server group.ServerID, sentAt time.Time, position group.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.replicas[server]
	if known == nil || position.Compare(known.received) <= 0 {
		return
	}
	known.note(sentAt, position.Term, position)
	r.notify()
}

// NoteNoChange notes that no change of primary that was begun before the time can take
// effect any more.
func (r *Receipts) NoteNoChange(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresolvedTerm = 0
	r.addWitnesses(at)
	r.notify()
}

func (r *replica) note(sentAt time.Time, term group.Term, received group.Position) {
	r.term = max(r.term, term, received.Term)
	if !sentAt.Before(r.witnessSince) && received.Compare(r.received) > 0 {
		r.received = received
	}
}

// updateWitnesses makes the servers witnesses that every change asks.
func (r *Receipts) updateWitnesses() {
	var clearAt time.Time
	known := false
	for id, s := range r.replicas {
		if !s.witness || id == r.primary {
			continue
		}
		known = true
		if s.notSuspendedAt.After(clearAt) {
			clearAt = s.notSuspendedAt
		}
	}
	if !known {
		clearAt = r.allNotSuspendedAt()
	}
	r.addWitnesses(clearAt)
}

// addWitnesses makes the servers witnesses that were listed at the time.
func (r *Receipts) addWitnesses(clearAt time.Time) {
	for _, s := range r.replicas {
		if !s.witness && !s.listedAt.After(clearAt) {
			s.witness, s.witnessSince, s.received = true, time.Now(), group.Position{}
		}
	}
}

// allNotSuspendedAt returns the time since which every replica has been found not to be
// suspended.
func (r *Receipts) allNotSuspendedAt() (earliest time.Time) {
	for id, s := range r.replicas {
		switch {
		case id == r.primary:
		case s.notSuspendedAt.IsZero(), s.term <= r.unresolvedTerm:
			return time.Time{}
		case earliest.IsZero(), s.notSuspendedAt.Before(earliest):
			earliest = s.notSuspendedAt
		}
	}
	return earliest
}

// Await waits until a witness is known to have received the commit. The function request
// is called before each wait, so that the caller has the replicas queried; it must not
// block. The error is an outcome.Unresolved: ctx ended, or a replica without the commit is
// in a later term, so that no evidence will come.
func (r *Receipts) Await(ctx context.Context, commit Commit, request func()) error {
	for {
		changed, covered, replaced := r.check(commit)
		switch {
		case covered:
			return nil
		case replaced:
			return outcome.Unresolved("the primary was replaced before a replica that is asked about it was known to have the commit", nil)
		}
		request()
		select {
		case <-changed:
		case <-ctx.Done():
			return outcome.Unresolved("no replica that a change of primary asks is known to have the commit", ctx.Err())
		}
	}
}

// Covered reports whether a witness is known to have received the commit.
func (r *Receipts) Covered(commit Commit) bool {
	_, covered, _ := r.check(commit)
	return covered
}

// Witness returns a witness that is known to have received the commit, an empty id if
// there is none.
func (r *Receipts) Witness(commit Commit) (witness group.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.replicas {
		if s.witness && id != commit.Primary && s.has(commit.Position) && (witness == "" || id < witness) {
			witness = id
		}
	}
	return witness
}

// has reports whether the server is known to have received its log up to the position.
func (r *replica) has(position group.Position) bool {
	return r.received.Term == position.Term && r.received.Offset >= position.Offset
}

// check reports whether the commit is covered, or can't be any more. The channel is closed
// with the next change.
func (r *Receipts) check(commit Commit) (changed <-chan struct{}, covered, replaced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.replicas {
		has := s.has(commit.Position)
		covered = covered || has && s.witness && id != commit.Primary
		replaced = replaced || !has && s.term > commit.Position.Term
	}
	if r.changed == nil {
		r.changed = make(chan struct{})
	}
	return r.changed, covered, replaced
}

func (r *Receipts) notify() {
	if r.changed != nil {
		close(r.changed)
		r.changed = nil
	}
}
