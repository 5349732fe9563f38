package ack

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"basilmill/core/group"
	"basilmill/core/lifetime"
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
// received before, so that only what it states later counts. Such a change need not have asked
// the server, so that a witness counts only from the term of the answer or the record on.
//
// A witness is a process and not a server: one that restarts is not suspended any more. An
// answer counts for a witness only if its span overlaps with what is known of the witness's
// process. Otherwise the process is another one, and is treated like a server that was
// listed at the start of the span. What its predecessors stated counts no more, because
// nothing shows that the log is still there: that can only withhold a success.
//
// A host's list of servers may be outdated, so that a change does not ask a server which it
// holds. The confirmation of one witness therefore counts only within ListedTTL after the
// store was last known to list it as one that stays. A change asks a server for longer than
// that after its entry has gone. Without such a witness, a commit is safe once all listed
// replicas are witnesses and have received it: a change asks one of them at least.
//
// A position counts within its term only. What a server holds of a later term says
// nothing about the end of an earlier one.
//
// The zero value is ready for use. A Receipts is safe for concurrent use.
type Receipts struct {
	// Now, if set, is the clock of the times that are passed to the methods. It has to
	// include the time the machine is suspended if ages from other hosts count.
	Now func() time.Time

	mu       sync.Mutex
	primary  group.ServerID
	replicas map[group.ServerID]*replica // with the primary, which was one or will be
	// unresolvedTerm is the term of a witness that left the list, or may have restarted,
	// while it was suspended. A change to a later one may still take effect.
	unresolvedTerm group.Term
	// clearAt is a time such that no change that made its last list before may still take
	// effect, and clearKnownAt is when this became known. clearTerm is the term that had begun
	// then, and clearedBy the witness that was not suspended; empty if it was no single one.
	clearAt, clearKnownAt time.Time
	clearTerm             group.Term
	clearedBy             group.ServerID
	// term is the last term whose primary became known, and termKnownAt a time at which it
	// was. listConfirmedAt is the last time at which the list was known to be that of the store.
	term            group.Term
	termKnownAt     time.Time
	listConfirmedAt time.Time
	// reported is the highest position of a commit whose success was given.
	reported group.Position
	// excluded holds the servers that do not count up to a term.
	excluded map[group.ServerID]exclusion
	changed  chan struct{}
}

// ListedTTL is how long after the store was last known to list a server its confirmation
// alone counts. It is shorter than the time in which a server leaves.
const ListedTTL = 6 * time.Second

// OutdatedListTTL is how long after a list was last known to be that of the store the
// confirmations of all its replicas together count. A change of primary that asks no server of
// an earlier list of the term is not made for that long. It exceeds the hour for which regions
// are unreachable at times.
const OutdatedListTTL = 90 * time.Minute

// Listed is a server that the store lists. Its boot changes with each start.
type Listed struct {
	ID     group.ServerID
	BootID int64
	// ListedAt is a time at which the store is known to have listed the server as one that
	// stays.
	ListedAt time.Time
	// OtherList is set if this is known from another list than the one that the server is in,
	// so that it does not show that all of this one is that of the store.
	OtherList bool
}

// replica is what is known of one listed server.
type replica struct {
	Listed
	// seenAt is when the server was first seen in the list.
	seenAt time.Time
	// processes are those that are not known to be the same, in the order of their last
	// answers. An answer on a new connection may be of the process before or of another
	// one, until an answer on an older connection shows that it is the same. Only the
	// last one counts: the log of an earlier one may be lost.
	processes []*process
}

// maxProcesses bounds the processes of a replica.
const maxProcesses = 2

// process is what is known of one process of a listed server.
type process struct {
	span    lifetime.Span
	witness bool
	// witnessSince is when the process became a witness, and witnessTerm the first term in
	// which it counts as one.
	witnessSince time.Time
	witnessTerm  group.Term
	// witnessBy is the clearedBy of Receipts that made the process a witness.
	witnessBy group.ServerID
	term      group.Term
	// suspendedTerm is the highest term for which the process was suspended.
	suspendedTerm group.Term
	// received is the highest position that the process stated, as a witness if it is one.
	received group.Position
	// stated is the highest position that the process stated in its term.
	stated group.Position
	// suspended is set if the process said so in its last answer.
	suspended bool
	// notSuspendedAt is when the last query was sent whose answer said that the process is
	// not suspended.
	notSuspendedAt time.Time
}

// Status is the answer of a server to a status query.
type Status struct {
	// QueriedAt is when the query was sent.
	QueriedAt time.Time
	// ProcessSince is an upper bound of when the process that answered started; zero if it
	// is not known. An answer of an unknown process is ignored.
	ProcessSince time.Time
	// Term is the term that the server is in.
	Term group.Term
	// Received is the end of the log that it has received. Its term may be earlier.
	Received  group.Position
	Suspended bool
	// SuspendedTerm is the term for which the server is suspended, if it is and that is known.
	SuspendedTerm group.Term
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
		listed := func(s Listed) bool { return s.ID == id && s.BootID == known.BootID }
		if !slices.ContainsFunc(servers, listed) {
			for _, p := range known.processes {
				r.noteEnd(p)
			}
			delete(r.replicas, id)
		}
	}
	for _, s := range servers {
		known := r.replicas[s.ID]
		if known == nil {
			known = &replica{seenAt: r.now()}
			if r.replicas == nil {
				r.replicas = map[group.ServerID]*replica{}
			}
			r.replicas[s.ID] = known
		}
		if s.ListedAt.After(known.ListedAt) && r.expired(known) {
			r.notify()
		}
		known.Listed = s
		if !s.OtherList && s.ListedAt.After(r.listConfirmedAt) {
			r.listConfirmedAt = s.ListedAt
		}
	}
}

// NoteTerm notes the term of the primary, and a time at which that primary was known.
func (r *Receipts) NoteTerm(term group.Term, knownAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if term > r.term {
		r.term, r.termKnownAt = term, knownAt
		r.notify()
	}
}

// Exclude makes servers not count in terms up to the given one any more, and returns the highest
// position of a commit whose success was given. A change of primary that cannot ask the servers
// goes on without them if it finds all such commits elsewhere. It does not suspend them, so that
// their answers make no other server a witness of these terms either.
func (r *Receipts) Exclude(servers []group.ServerID, term group.Term) (reported group.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.excluded == nil {
		r.excluded = map[group.ServerID]exclusion{}
	}
	for _, id := range servers {
		r.excluded[id] = exclusion{max(r.excluded[id].term, term), r.now()}
	}
	for _, s := range r.replicas {
		for _, p := range s.processes {
			if p.witness && slices.Contains(servers, p.witnessBy) {
				p.witnessTerm = max(p.witnessTerm, term+1)
			}
		}
	}
	if slices.Contains(servers, r.clearedBy) {
		r.clearTerm = max(r.clearTerm, term+1)
	}
	return r.reported
}

// isListOf reports whether the list of servers is known to be one that the store held in a
// term, and is not too old.
func (r *Receipts) isListOf(term group.Term) bool {
	return r.term == term && !r.listConfirmedAt.Before(r.termKnownAt) && r.now().Sub(r.listConfirmedAt) <= OutdatedListTTL
}

// expired reports whether the confirmation of a replica alone does not count any more,
// because its listing is too old.
func (r *Receipts) expired(s *replica) bool { return r.now().Sub(s.ListedAt) > ListedTTL }

// NoteStatus notes what a server stated.
func (r *Receipts) NoteStatus(server group.ServerID, s Status) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.identify(server, lifetime.Span{Since: s.ProcessSince, Until: s.QueriedAt})
	if known == nil {
		return
	}
	if s.Term <= known.term && s.Received.Compare(known.stated) < 0 {
		// An earlier query was answered late.
		return
	}
	known.stated, known.suspended = s.Received, s.Suspended
	known.suspendedTerm = max(known.suspendedTerm, s.SuspendedTerm)
	known.note(s.QueriedAt, s.Term, s.Received)
	if !s.Suspended && s.QueriedAt.After(known.notSuspendedAt) {
		known.notSuspendedAt = s.QueriedAt
	}
	r.updateWitnesses()
	r.notify()
}

// NotePosition notes a position in the log of a server, from the answer to a statement that
// was sent at the time. processSince is that of Status.
func (r *Receipts) NotePosition(server group.ServerID, sentAt, processSince time.Time, position group.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.identify(server, lifetime.Span{Since: processSince, Until: sentAt})
	if known == nil || position.Compare(known.received) <= 0 {
		return
	}
	known.note(sentAt, position.Term, position)
	r.notify()
}

// exclusion is the last term in which a server does not count, and when this was noted.
type exclusion struct {
	term group.Term
	at   time.Time
}

// NoteNoChange notes that no change of primary that was begun before the time can take
// effect any more, so that the servers which such a change excluded count again. The term is the one to which the last change led.
func (r *Receipts) NoteNoChange(at time.Time, term group.Term) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresolvedTerm = 0
	maps.DeleteFunc(r.excluded, func(_ group.ServerID, e exclusion) bool { return e.at.Before(at) })
	r.addWitnesses(at, term, "")
	r.notify()
}

// identify returns the process that gave an answer with the span. It is nil if the server
// is not listed or nothing is known of the process.
func (r *Receipts) identify(server group.ServerID, answer lifetime.Span) *process {
	known := r.replicas[server]
	if known == nil || answer.Since.IsZero() {
		return nil
	}
	p := known.join(answer)
	if p == nil {
		if n := len(known.processes); n > 0 {
			r.noteEnd(known.processes[n-1])
		}
		p = &process{span: answer}
		known.processes = append(known.processes, p)
	}
	r.qualify(known, p)
	slices.SortStableFunc(known.processes, func(a, b *process) int { return a.span.Until.Compare(b.span.Until) })
	if n := len(known.processes); n > maxProcesses {
		known.processes = known.processes[n-maxProcesses:]
	}
	return p
}

// join adds the span of an answer to the process that it is of, and joins the processes
// that it shows to be the same. It returns nil if the process is not known.
func (r *replica) join(answer lifetime.Span) (same *process) {
	r.processes = slices.DeleteFunc(r.processes, func(p *process) bool {
		switch {
		case !p.span.Overlaps(answer):
			return false
		case same == nil:
			same = p
			return false
		default:
			same.merge(p)
			return true
		}
	})
	if same != nil {
		same.span = same.span.Union(answer)
	}
	return same
}

// merge adds what is known of a later process that has proved to be the same. Only what p
// has received as a witness counts, if it is one.
func (p *process) merge(later *process) {
	p.span = p.span.Union(later.span)
	if !p.witness {
		p.witness, p.witnessSince, p.received = later.witness, later.witnessSince, later.received
		p.witnessTerm, p.witnessBy = later.witnessTerm, later.witnessBy
	}
	p.term, p.suspendedTerm = max(p.term, later.term), max(p.suspendedTerm, later.suspendedTerm)
	if later.stated.Compare(p.stated) > 0 {
		p.stated = later.stated
	}
	p.suspended = p.suspended || later.suspended
	if later.notSuspendedAt.After(p.notSuspendedAt) {
		p.notSuspendedAt = later.notSuspendedAt
	}
}

// noteEnd notes that a process is not listed any more or may have ended.
func (r *Receipts) noteEnd(p *process) {
	if p.witness && p.suspended {
		r.unresolvedTerm = max(r.unresolvedTerm, p.term)
	}
}

func (r *Receipts) now() time.Time {
	if r.Now == nil {
		return time.Now()
	}
	return r.Now()
}

func (p *process) note(sentAt time.Time, term group.Term, received group.Position) {
	p.term = max(p.term, term, received.Term)
	if !sentAt.Before(p.witnessSince) && received.Compare(p.received) > 0 {
		p.received = received
	}
}

// updateWitnesses makes the servers witnesses that every change asks.
func (r *Receipts) updateWitnesses() {
	var clearAt time.Time
	var clearedBy group.ServerID
	known := false
	for id, s := range r.replicas {
		last := s.last()
		if !last.witness || id == r.primary || r.isExcluded(id, last) {
			continue
		}
		known = true
		if last.notSuspendedAt.After(clearAt) {
			clearAt, clearedBy = last.notSuspendedAt, id
		}
	}
	if !known {
		clearAt = r.allNotSuspendedAt()
	}
	r.addWitnesses(clearAt, r.begunTerm(), clearedBy)
}

// isExcluded reports whether a server is excluded up to the term that its process is in.
func (r *Receipts) isExcluded(id group.ServerID, p process) bool {
	e, ok := r.excluded[id]
	return ok && p.term <= e.term
}

// begunTerm returns the highest term that is known to have begun. A suspension for a term has
// ended because a primary leads it, also if the status of the server does not state the term yet.
func (r *Receipts) begunTerm() (term group.Term) {
	for _, s := range r.replicas {
		last := s.last()
		term = max(term, last.term)
		if !last.suspended {
			term = max(term, last.suspendedTerm)
		}
	}
	return term
}

// last returns the last process of a replica, or one of which nothing is known.
func (r *replica) last() process {
	if len(r.processes) == 0 {
		return process{}
	}
	return *r.processes[len(r.processes)-1]
}

// addWitnesses makes the processes witnesses that were listed and running at the time. No
// change that made its last list before may still take effect, and the term has begun.
func (r *Receipts) addWitnesses(clearAt time.Time, term group.Term, by group.ServerID) {
	if !clearAt.After(r.clearAt) {
		return
	}
	r.clearAt, r.clearKnownAt, r.clearTerm, r.clearedBy = clearAt, r.now(), term, by
	for _, s := range r.replicas {
		for _, p := range s.processes {
			r.qualify(s, p)
		}
	}
}

// qualify makes a process a witness if it was listed and running at clearAt.
func (r *Receipts) qualify(s *replica, p *process) {
	if !p.witness && !s.seenAt.After(r.clearAt) && !p.span.Since.After(r.clearAt) {
		p.witness, p.witnessSince, p.received = true, r.clearKnownAt, group.Position{}
		p.witnessTerm, p.witnessBy = r.clearTerm, r.clearedBy
	}
}

// allNotSuspendedAt returns the time since which every replica has been found not to be
// suspended.
func (r *Receipts) allNotSuspendedAt() (earliest time.Time) {
	for id, s := range r.replicas {
		last := s.last()
		switch {
		case id == r.primary:
		case last.notSuspendedAt.IsZero(), last.term <= r.unresolvedTerm, r.isExcluded(id, last):
			return time.Time{}
		case earliest.IsZero(), last.notSuspendedAt.Before(earliest):
			earliest = last.notSuspendedAt
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
		changed, covered, replaced := r.report(commit)
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
	r.mu.Lock()
	defer r.mu.Unlock()
	_, covered, _ := r.check(commit)
	return covered
}

// Witness returns the witness that was last known to be listed of those that are known to
// have received the commit, an empty id if there is none.
func (r *Receipts) Witness(commit Commit) (witness group.ServerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, s := range r.replicas {
		last := s.last()
		if !last.isWitnessOf(commit.Position.Term) || id == commit.Primary || !last.has(commit.Position) {
			continue
		}
		if witness == "" || cmp.Or(s.ListedAt.Compare(r.replicas[witness].ListedAt), -cmp.Compare(id, witness)) > 0 {
			witness = id
		}
	}
	return witness
}

// isWitnessOf reports whether the process is a witness of the commits of a term.
func (p *process) isWitnessOf(term group.Term) bool { return p.witness && p.witnessTerm <= term }

// has reports whether the process is known to have received its log up to the position.
func (p *process) has(position group.Position) bool {
	return p.received.Term == position.Term && p.received.Offset >= position.Offset
}

// report is check for a commit whose success is given if it is covered.
func (r *Receipts) report(commit Commit) (changed <-chan struct{}, covered, replaced bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	changed, covered, replaced = r.check(commit)
	if covered && commit.Position.Compare(r.reported) > 0 {
		r.reported = commit.Position
	}
	return changed, covered, replaced
}

// check reports whether the commit is covered, or can't be any more. The channel is closed
// with the next change. The caller holds the lock.
func (r *Receipts) check(commit Commit) (changed <-chan struct{}, covered, replaced bool) {
	confirmed, unconfirmed := 0, 0
	for id, s := range r.replicas {
		last := s.last()
		has := last.has(commit.Position)
		replaced = replaced || !has && last.term > commit.Position.Term
		switch {
		case id == commit.Primary:
		case !has || !last.isWitnessOf(commit.Position.Term), commit.Position.Term <= r.excluded[id].term:
			unconfirmed++
		default:
			confirmed++
			covered = covered || !r.expired(s)
		}
	}
	covered = covered || confirmed > 0 && unconfirmed == 0 && r.isListOf(commit.Position.Term)
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
