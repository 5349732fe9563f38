package lifetime_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/lifetime"
)

// span returns a span in seconds.
func span(since, until int64) lifetime.Span {
	return lifetime.Span{Since: time.Unix(since, 0), Until: time.Unix(until, 0)}
}

// Guards against an answer of a restarted process that counts as one of its predecessor.
func TestSpansOfTheSameProcessOverlap(t *testing.T) {
	for name, test := range map[string]struct {
		a, b lifetime.Span
		same bool
	}{
		"within":                             {span(1, 9), span(3, 4), true},
		"in part":                            {span(1, 5), span(4, 9), true},
		"opened when the other one answered": {span(1, 5), span(5, 9), true},
		"opened later":                       {span(1, 4), span(5, 9), false},
		"opened after the query":             {span(5, 4), span(1, 9), true},
		"both opened after the query":        {span(5, 4), span(6, 5), false},
		"opened after the query, later":      {span(1, 4), span(6, 5), false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, test.a.Overlaps(test.b), test.same)
			assert.Equal(t, test.b.Overlaps(test.a), test.same)
		})
	}
}

func TestUnionCoversBothSpans(t *testing.T) {
	assert.Equal(t, span(1, 5).Union(span(3, 9)), span(1, 9))
	assert.Equal(t, span(3, 9).Union(span(1, 5)), span(1, 9))
	assert.Equal(t, span(1, 9).Union(span(3, 4)), span(1, 9))
}

// Guards against spare connections, which come and go, that pass for other processes.
func TestAnswerJoinsTheSpansOfOneProcess(t *testing.T) {
	var s lifetime.Set
	assert.Equal(t, s.Note(span(1, 4)), span(1, 4))
	assert.Equal(t, s.Note(span(5, 6)), span(5, 6))
	assert.Equal(t, s.Note(span(2, 7)), span(1, 7))
	assert.Equal(t, s.Note(span(6, 9)), span(1, 9))
}

// Guards against an answer of an earlier process that arrives late and makes the next one
// seem older than it is.
func TestLateAnswerDoesNotAgeTheNextProcess(t *testing.T) {
	var s lifetime.Set
	s.Note(span(1, 2))
	s.Note(span(5, 6))
	assert.Equal(t, s.Note(span(1, 3)), span(1, 3))
	assert.Equal(t, s.Note(span(5, 7)), span(5, 7))
}

// Guards against a set that grows with each restart.
func TestSetForgetsTheOldestSpans(t *testing.T) {
	var s lifetime.Set
	for at := int64(0); at < 400; at += 4 {
		s.Note(span(at, at+2))
	}
	assert.Equal(t, s.Note(span(393, 393)), span(392, 394))
	assert.Equal(t, s.Note(span(1, 1)), span(1, 1))
}
