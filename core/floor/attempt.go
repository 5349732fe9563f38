package floor

import (
	"context"
	"errors"
	"sync"
	"time"

	"basilmill/core/group"
)

// answer is the answer to one of the queries of an attempt.
type answer interface{ answer() }

type (
	primaryAnswer struct {
		status group.Status
		err    error
	}
	successorAnswer struct {
		status group.Status
		err    error
	}
	recordAnswer struct {
		record *group.Record
		err    error
	}
)

func (primaryAnswer) answer()   {}
func (successorAnswer) answer() {}
func (recordAnswer) answer()    {}

// attempt holds the answers to one round of queries under one record.
type attempt struct {
	record    *group.Record
	primary   *primaryAnswer
	successor *successorAnswer
	// platform may come from an earlier attempt of the same query, because it
	// was read after the arrival of all sessions that share the query.
	platform *recordAnswer
}

// runAttempt queries the primary and the successor concurrently. It also reads
// the platform's record if they do not prove a floor soon.
func (rs *Resolver) runAttempt(ctx context.Context, t *attempt) (group.Position, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, 3)
	go func() {
		s, err := rs.config.QueryPrimary(ctx, t.record)
		answers <- primaryAnswer{s, err}
	}()
	go func() {
		s, err := rs.config.QuerySuccessor(ctx, t.record)
		answers <- successorAnswer{s, err}
	}()
	readRecord := sync.OnceFunc(func() {
		go func() {
			read, err := rs.config.ReadRecord(ctx)
			answers <- recordAnswer{read, err}
		}()
	})
	if t.platform != nil {
		readRecord = func() {}
	}
	readTimer := time.AfterFunc(rs.config.PlatformReadDelay, readRecord)
	defer readTimer.Stop()

	for !t.allAnswered() {
		select {
		case x := <-answers:
			t.add(x)
		case <-ctx.Done():
			return group.Position{}, errors.Join(ctx.Err(), t.failureCause())
		}
		if floor, ok := t.provenFloor(); ok {
			return floor, nil
		}
		if t.platform != nil && rs.keepIfNewer(t.platform.record, t.record) {
			return group.Position{}, t.failureCause()
		}
		if t.needsPlatformRecord() {
			readRecord()
		}
	}
	return group.Position{}, t.failureCause()
}

func (t *attempt) add(x answer) {
	switch x := x.(type) {
	case primaryAnswer:
		t.primary = &x
	case successorAnswer:
		t.successor = &x
	case recordAnswer:
		t.platform = &x
	}
}

func (t *attempt) allAnswered() bool {
	return t.primary != nil && t.successor != nil && t.platform != nil
}

// provenFloor returns the floor if the answers so far prove one, by the rules
// in the package comment.
func (t *attempt) provenFloor() (floor group.Position, ok bool) {
	switch {
	case t.primaryMatchesRecord() && t.successorInTerm(),
		t.primaryInTerm() && t.termIsCurrent():
		return group.Position{Term: t.record.Term, Offset: t.primary.status.Received}, true
	case t.successorInTerm() && t.successorReachedTermStart() && t.generationIsCurrent():
		return group.Position{Term: t.record.Term, Offset: t.successor.status.Received}, true
	default:
		return group.Position{}, false
	}
}

// needsPlatformRecord reports whether an answer shows that the servers' answers
// alone cannot prove a floor under this record.
func (t *attempt) needsPlatformRecord() bool {
	return t.primary != nil && !t.primaryMatchesRecord() || t.successor != nil && !t.successorInTerm()
}

// primaryInTerm reports whether the primary answered in the record's term.
func (t *attempt) primaryInTerm() bool {
	if t.primary == nil || t.primary.err != nil {
		return false
	}
	s := t.primary.status
	return s.Server == t.record.Primary && s.Role == group.Primary && s.Term == t.record.Term
}

// primaryMatchesRecord reports whether, in addition, it replicates to the
// record's successor under the record's generation.
func (t *attempt) primaryMatchesRecord() bool {
	return t.primaryInTerm() &&
		t.primary.status.Generation == t.record.Generation &&
		t.primary.status.Successor == t.record.Successor
}

// successorInTerm reports whether the successor answered as a replica of the
// record's term.
func (t *attempt) successorInTerm() bool {
	if t.successor == nil || t.successor.err != nil {
		return false
	}
	s := t.successor.status
	return s.Server == t.record.Successor && s.Role == group.Replica && s.Term == t.record.Term
}

// successorReachedTermStart reports whether the successor has received every
// write acknowledged before the term. One that a promotion has just named may
// not have.
func (t *attempt) successorReachedTermStart() bool {
	return t.successor.status.Received >= t.successor.status.TermStart
}

// termIsCurrent reports whether the platform's record still has the term.
func (t *attempt) termIsCurrent() bool {
	return t.platform != nil && t.platform.err == nil && t.platform.record.Term == t.record.Term
}

// generationIsCurrent reports whether it also still has the generation.
func (t *attempt) generationIsCurrent() bool {
	return t.termIsCurrent() && t.platform.record.Generation == t.record.Generation
}

// failureCause returns why no floor was proved, with the errors of the queries.
func (t *attempt) failureCause() error {
	err := errUnproven
	if t.primary != nil {
		err = errors.Join(err, t.primary.err)
	}
	if t.successor != nil {
		err = errors.Join(err, t.successor.err)
	}
	if t.platform != nil {
		err = errors.Join(err, t.platform.err)
	}
	return err
}
