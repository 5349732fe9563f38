package floor

import (
	"context"
	"errors"
	"sync"
	"time"

	"basilmill/core/group"
)

// answer is one of the answers to an attempt.
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

// attempt is one round of queries under one record.
type attempt struct {
	record    *group.Record
	primary   *primaryAnswer
	successor *successorAnswer
	// platform may be left from an earlier attempt of the same query: it was
	// read after the arrival of all sessions that share the query.
	platform *recordAnswer
}

// try queries the primary and the successor concurrently, and the
// platform's record when they do not prove a floor soon.
func (a *Resolver) try(ctx context.Context, t *attempt) (group.Position, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, 3)
	go func() {
		s, err := a.config.QueryPrimary(ctx, t.record)
		answers <- primaryAnswer{s, err}
	}()
	go func() {
		s, err := a.config.QuerySuccessor(ctx, t.record)
		answers <- successorAnswer{s, err}
	}()
	readRecord := sync.OnceFunc(func() {
		go func() {
			read, err := a.config.ReadRecord(ctx)
			answers <- recordAnswer{read, err}
		}()
	})
	if t.platform != nil {
		readRecord = func() {}
	}
	patience := time.AfterFunc(a.config.PlatformReadDelay, readRecord)
	defer patience.Stop()

	for !t.complete() {
		select {
		case x := <-answers:
			t.add(x)
		case <-ctx.Done():
			return group.Position{}, errors.Join(ctx.Err(), t.failure())
		}
		if floor, ok := t.proof(); ok {
			return floor, nil
		}
		if t.platform != nil && a.adopt(t.platform.record, t.record) {
			return group.Position{}, t.failure()
		}
		if t.doubtful() {
			readRecord()
		}
	}
	return group.Position{}, t.failure()
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

func (t *attempt) complete() bool {
	return t.primary != nil && t.successor != nil && t.platform != nil
}

// proof returns the floor if the answers so far prove one.
func (t *attempt) proof() (floor group.Position, ok bool) {
	switch {
	case t.primaryFeeds() && t.successorFollows(),
		t.primaryInTerm() && t.termStands():
		return group.Position{Term: t.record.Term, Offset: t.primary.status.Received}, true
	case t.successorFollows() && t.successorReachedTerm() && t.generationStands():
		return group.Position{Term: t.record.Term, Offset: t.successor.status.Received}, true
	default:
		return group.Position{}, false
	}
}

// doubtful reports whether an answer shows that the servers alone will not
// prove a floor under this record.
func (t *attempt) doubtful() bool {
	return t.primary != nil && !t.primaryFeeds() || t.successor != nil && !t.successorFollows()
}

// primaryInTerm reports whether the primary answered in the record's term.
func (t *attempt) primaryInTerm() bool {
	if t.primary == nil || t.primary.err != nil {
		return false
	}
	s := t.primary.status
	return s.Server == t.record.Primary && s.Role == group.Primary && s.Term == t.record.Term
}

// primaryFeeds reports whether, in addition, it feeds the record's successor
// under the record's generation.
func (t *attempt) primaryFeeds() bool {
	return t.primaryInTerm() &&
		t.primary.status.Generation == t.record.Generation &&
		t.primary.status.Successor == t.record.Successor
}

// successorFollows reports whether the successor is a replica of the term.
func (t *attempt) successorFollows() bool {
	if t.successor == nil || t.successor.err != nil {
		return false
	}
	s := t.successor.status
	return s.Server == t.record.Successor && s.Role == group.Replica && s.Term == t.record.Term
}

// successorReachedTerm reports whether the successor has received everything
// acknowledged before the term. One named by a promotion may lag behind that.
func (t *attempt) successorReachedTerm() bool {
	return t.successor.status.Received >= t.successor.status.TermStart
}

// termStands reports whether the platform's record still has the term.
func (t *attempt) termStands() bool {
	return t.platform != nil && t.platform.err == nil && t.platform.record.Term == t.record.Term
}

// generationStands reports whether it also still has the generation.
func (t *attempt) generationStands() bool {
	return t.termStands() && t.platform.record.Generation == t.record.Generation
}

// failure explains why no floor was proved.
func (t *attempt) failure() error {
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
