// Package lifetime tells whether two answers of a server came from the same process. A
// server that restarts keeps its id and its address, and may have lost its state.
//
// A connection ends with the process. An answer therefore proves that one process ran from
// the opening of its connection until after the statement was sent.
package lifetime

import (
	"slices"
	"time"
)

// Span is a time during which one process is known to have run. Neither bound has to be
// exact, so that Since may be after Until.
type Span struct {
	// Since is not before the opening of the connection.
	Since time.Time
	// Until is not after the process last answered, for example the time at which the
	// statement was sent.
	Until time.Time
}

// IsZero reports whether nothing is known of a process.
func (s Span) IsZero() bool { return s == Span{} }

// Overlaps reports whether both spans are certainly of the same process. Otherwise they
// may be of different ones.
func (s Span) Overlaps(other Span) bool {
	return !s.Since.After(other.Until) && !other.Since.After(s.Until)
}

// Union returns the span that covers two spans of the same process.
func (s Span) Union(other Span) Span {
	if other.Since.Before(s.Since) {
		s.Since = other.Since
	}
	if other.Until.After(s.Until) {
		s.Until = other.Until
	}
	return s
}

// maxSpans bounds the spans of a Set. There are several only while a process is replaced
// or a connection has just been opened.
const maxSpans = 4

// Set holds the spans of one server that are not known to be of the same process. The zero
// value is an empty set.
type Set struct{ spans []Span }

// Note adds the span that an answer proves and returns the span of its process. A span
// that overlaps with two others shows that these are of the same process.
func (s *Set) Note(answer Span) Span {
	rest := s.spans[:0]
	for _, span := range s.spans {
		if span.Overlaps(answer) {
			answer = answer.Union(span)
		} else {
			rest = append(rest, span)
		}
	}
	if len(rest) == maxSpans {
		slices.SortFunc(rest, func(a, b Span) int { return b.Until.Compare(a.Until) })
		rest = rest[:maxSpans-1]
	}
	s.spans = append(rest, answer)
	return answer
}
