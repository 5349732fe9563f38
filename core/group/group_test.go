package group_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"basilmill/core/group"
)

// Guards against serving a read from a diverged log of a lower term, and
// against waiting forever for unacknowledged writes of an earlier term.
func TestStatusContains(t *testing.T) {
	floor := group.Position{Term: 3, Offset: 100}
	for name, tc := range map[string]struct {
		status group.Status
		want   bool
	}{
		"lower term, higher offset":            {group.Status{Term: 2, Applied: 500}, false},
		"same term, below floor":               {group.Status{Term: 3, Applied: 99}, false},
		"same term, at floor":                  {group.Status{Term: 3, Applied: 100}, true},
		"higher term, past start, below floor": {group.Status{Term: 4, TermStart: 90, Applied: 95}, true},
		"higher term, below start":             {group.Status{Term: 4, TermStart: 90, Applied: 80}, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, tc.status.Contains(floor), tc.want)
		})
	}
}

// Guards against confirming a write on the status of a former successor, of
// another term or of a server that was already promoted.
func TestStatusConfirms(t *testing.T) {
	record := &group.Record{Term: 3, Generation: 7, Primary: "a", Successor: "b"}
	valid := group.Status{Server: "b", Term: 3, Generation: 7, Received: 100}
	write := group.Position{Term: 3, Offset: 100}
	assert.Assert(t, valid.Confirms(record, write))

	formerSuccessor := valid
	formerSuccessor.Generation = 0
	assert.Assert(t, !formerSuccessor.Confirms(record, write))

	promoted := valid
	promoted.Role = group.Primary
	assert.Assert(t, !promoted.Confirms(record, write))

	assert.Assert(t, !valid.Confirms(record, group.Position{Term: 2, Offset: 50}))
	assert.Assert(t, !valid.Confirms(record, group.Position{Term: 3, Offset: 101}))
}
