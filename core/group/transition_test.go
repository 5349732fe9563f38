package group_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"basilmill/core/group"
)

func newRecord() *group.Record {
	return &group.Record{
		Term: 1, Generation: 1, Primary: "a", Successor: "b",
		Servers: []group.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}},
	}
}

func reason(err error) group.Reason {
	var e *group.TransitionError
	if errors.As(err, &e) {
		return e.Reason
	}
	return ""
}

var author = group.Author{ChangeID: "1", Host: "h1", Cause: "test"}

// Guards against the loss of a write acknowledged in term 1: c lags at offset
// 50, b confirmed the write at 100, then a and b fail in turn. c reports term 2
// and its first generation, but its log does not reach the start of the term.
func TestSuccessorBelowTermStartIsNotEligible(t *testing.T) {
	r, err := newRecord().Promote(author, group.Status{Server: "b", Term: 1, Generation: 1, Received: 100}, "c")
	assert.NilError(t, err)
	assert.Assert(t, r.Term == 2 && r.Generation == 2 && r.Primary == "b" && r.Successor == "c")

	c := group.Status{Server: "c", Term: 2, TermStart: 100, Generation: 2, Received: 50}
	_, err = r.Promote(author, c, "a")
	assert.Equal(t, reason(err), group.NotEligible)

	c.Received = 100
	_, err = r.Promote(author, c, "a")
	assert.NilError(t, err)
}

// Guards against promoting a server other than the successor, or one whose
// term, role or received offset does not prove that it holds every acknowledged
// write.
func TestEligible(t *testing.T) {
	eligible := group.Status{Server: "b", Term: 1, TermStart: 90, Received: 90}
	assert.Assert(t, newRecord().Eligible(eligible), "the generation does not matter")
	for _, mutate := range []func(*group.Status){
		func(s *group.Status) { s.Server = "c" },
		func(s *group.Status) { s.Term = 0 },
		func(s *group.Status) { s.Term = 2 },
		func(s *group.Status) { s.Role = group.Primary },
		func(s *group.Status) { s.Received = 89 },
	} {
		ineligible := eligible
		mutate(&ineligible)
		assert.Assert(t, !newRecord().Eligible(ineligible), "%+v", ineligible)
	}
	_, err := newRecord().PromotePlanned(author, eligible, 91, "c")
	assert.Equal(t, reason(err), group.NotCaughtUp)
}

// Guards against a new successor that lacks writes which the old one confirmed,
// and against a record that gives a server conflicting roles.
func TestSuccessorChange(t *testing.T) {
	r, err := newRecord().StartSuccessorChange(author, "c")
	assert.NilError(t, err)
	c := group.Status{Server: "c", Term: 1, Generation: 2, Received: 100}

	_, err = r.FinishSuccessorChange(author, c, 101)
	assert.Equal(t, reason(err), group.NotCaughtUp)
	oldGeneration := c
	oldGeneration.Generation = 1
	_, err = r.FinishSuccessorChange(author, oldGeneration, 100)
	assert.Equal(t, reason(err), group.NotCandidate)
	_, err = newRecord().FinishSuccessorChange(author, c, 100)
	assert.Equal(t, reason(err), group.NotCandidate)

	done, err := r.FinishSuccessorChange(author, c, 100)
	assert.NilError(t, err)
	assert.Assert(t, done.Generation == 2 && done.Successor == "c" && done.Candidate == "")

	_, err = r.StartSuccessorChange(author, "a")
	assert.Equal(t, reason(err), group.IsPrimary)
	_, err = r.RemoveServer(author, "c")
	assert.Equal(t, reason(err), group.InUse)
	_, err = r.Promote(author, group.Status{Server: "b", Term: 1}, "d")
	assert.Equal(t, reason(err), group.UnknownServer)
}

// Guards against an audit trail that grows without bound, loses the latest
// change, or shares memory with the record it was derived from.
func TestAuditTrail(t *testing.T) {
	initial := newRecord()
	r := initial
	for i := range group.MaxChanges + 5 {
		id := group.ChangeID(fmt.Sprint(i))
		next, err := r.AddServer(group.Author{ChangeID: id}, group.Server{ID: group.ServerID(id)})
		assert.NilError(t, err)
		assert.Assert(t, next.HasChange(id) && !r.HasChange(id))
		r = next
	}
	assert.Equal(t, len(r.Changes), group.MaxChanges)
	assert.Assert(t, !r.HasChange("0") && len(initial.Servers) == 3)
	leaving, err := r.MarkLeaving(author, "a")
	assert.NilError(t, err)
	assert.Assert(t, leaving.Servers[0].Leaving && !r.Servers[0].Leaving)
}
