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

var by = group.Author{ChangeID: "1", Host: "h1", Cause: "test"}

// Guards against the loss of a write acknowledged in term 1: c lags at 50, b
// acknowledged the write at 100, a and then b die. c reports term 2 and its
// first generation, but not the start of the term.
func TestSuccessorNamedFarBehindIsNotEligible(t *testing.T) {
	r, err := newRecord().Promote(by, group.Status{Server: "b", Term: 1, Generation: 1, Received: 100}, "c")
	assert.NilError(t, err)
	assert.Assert(t, r.Term == 2 && r.Generation == 2 && r.Primary == "b" && r.Successor == "c")

	c := group.Status{Server: "c", Term: 2, TermStart: 100, Generation: 2, Received: 50}
	_, err = r.Promote(by, c, "a")
	assert.Equal(t, reason(err), group.NotEligible)

	c.Received = 100
	_, err = r.Promote(by, c, "a")
	assert.NilError(t, err)
}

// Guards against promoting a server that the term or the role does not prove
// to hold every acknowledged write, and any server but the successor.
func TestEligible(t *testing.T) {
	good := group.Status{Server: "b", Term: 1, TermStart: 90, Received: 90}
	assert.Assert(t, newRecord().Eligible(good), "the generation does not matter")
	for _, change := range []func(*group.Status){
		func(s *group.Status) { s.Server = "c" },
		func(s *group.Status) { s.Term = 0 },
		func(s *group.Status) { s.Term = 2 },
		func(s *group.Status) { s.Role = group.Primary },
		func(s *group.Status) { s.Received = 89 },
	} {
		bad := good
		change(&bad)
		assert.Assert(t, !newRecord().Eligible(bad), "%+v", bad)
	}
	_, err := newRecord().PromotePlanned(by, good, 91, "c")
	assert.Equal(t, reason(err), group.NotCaughtUp)
}

// Guards against a successor that lacks writes which the old one confirmed,
// and against a record that names servers in impossible roles.
func TestSuccessorChange(t *testing.T) {
	r, err := newRecord().StartSuccessorChange(by, "c")
	assert.NilError(t, err)
	c := group.Status{Server: "c", Term: 1, Generation: 2, Received: 100}

	_, err = r.FinishSuccessorChange(by, c, 101)
	assert.Equal(t, reason(err), group.NotCaughtUp)
	unfed := c
	unfed.Generation = 1
	_, err = r.FinishSuccessorChange(by, unfed, 100)
	assert.Equal(t, reason(err), group.NotCandidate)
	_, err = newRecord().FinishSuccessorChange(by, c, 100)
	assert.Equal(t, reason(err), group.NotCandidate)

	done, err := r.FinishSuccessorChange(by, c, 100)
	assert.NilError(t, err)
	assert.Assert(t, done.Generation == 2 && done.Successor == "c" && done.Candidate == "")

	_, err = r.StartSuccessorChange(by, "a")
	assert.Equal(t, reason(err), group.IsPrimary)
	_, err = r.RemoveServer(by, "c")
	assert.Equal(t, reason(err), group.InUse)
	_, err = r.Promote(by, group.Status{Server: "b", Term: 1}, "d")
	assert.Equal(t, reason(err), group.UnknownServer)
}

// Guards against an audit trail that grows without bound, loses the latest
// change, or shares memory with the record it came from.
func TestAuditTrail(t *testing.T) {
	first := newRecord()
	r := first
	for i := range group.MaxChanges + 5 {
		id := group.ChangeID(fmt.Sprint(i))
		next, err := r.AddServer(group.Author{ChangeID: id}, group.Server{ID: group.ServerID(id)})
		assert.NilError(t, err)
		assert.Assert(t, next.HasChange(id) && !r.HasChange(id))
		r = next
	}
	assert.Equal(t, len(r.Changes), group.MaxChanges)
	assert.Assert(t, !r.HasChange("0") && len(first.Servers) == 3)
	marked, err := r.MarkLeaving(by, "a")
	assert.NilError(t, err)
	assert.Assert(t, marked.Servers[0].Leaving && !r.Servers[0].Leaving)
}
