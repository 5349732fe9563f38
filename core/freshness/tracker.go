// Package freshness computes an upper bound of the age of each server of a group,
// that is, of how stale reads on it may be, from samples of the primary's log
// position.
//
// # What a sample proves
//
// The age of a server is the time since the oldest acknowledged write that
// reads on it do not see. A sample is the end o of the log that the primary of
// term T reported to a query sent at time t. Reads on a server that contains
// offset o of term T see every write acknowledged in T before t. The primary's
// answer alone does not show that no later term had begun, because an isolated
// primary still answers while its replacement acknowledges writes. A sample is
// therefore valid only up to the time at which the group is known to have still
// been in T:
//
//   - the primary answered in the record's term and generation, naming the
//     record's successor, so no later successor could have been promoted; and
//   - the successor of that generation, or of a later one in the same term,
//     answered as a replica of T to a query sent at time u, so it was not
//     promoted before u.
//
// The sample then proves the age min(t, u). Without new answers the bound
// grows with the clock. All times are from the local monotonic clock.
package freshness

import (
	"cmp"
	"slices"
	"time"

	"basilmill/core/group"
)

const (
	// maxSamples bounds memory. Thinning keeps the gaps between samples
	// proportional to their age, so that few samples cover days.
	maxSamples = 256
	// maxThinningDivisor is the divisor with which thinning begins. With a
	// divisor n, thinning may raise a bound by 1/n of its age. A day of samples
	// at intervals of 150 ms fits into maxSamples with n = 16.
	maxThinningDivisor = 16
	// maxSuccessorAnswers bounds the generations for which an answer of the
	// successor is kept.
	maxSuccessorAnswers = 16
)

// sample is the log position in one status answer of the primary.
type sample struct {
	position   group.Position
	generation group.Generation
	sentAt     time.Time
}

// successorAnswer is the latest status answer that a generation's successor
// gave as a replica.
type successorAnswer struct {
	term       group.Term
	generation group.Generation
	sentAt     time.Time
}

// Tracker computes upper bounds of the ages of one group's servers. The zero
// value is ready for use. It is not safe for concurrent use.
type Tracker struct {
	samples          []sample // in order of sentAt
	successorAnswers []successorAnswer
}

// Observe processes a status answer. sentAt is when its query was sent and r
// the host's record of the group.
func (t *Tracker) Observe(s group.Status, sentAt time.Time, r *group.Record) {
	if s.Term != r.Term {
		return
	}
	switch {
	case s.Server == r.Primary && s.Role == group.Primary:
		if s.Generation == r.Generation && s.Successor == r.Successor {
			t.addSample(sample{group.Position{Term: s.Term, Offset: s.Received}, s.Generation, sentAt})
		}
	case s.Server == r.Successor && s.Role == group.Replica:
		t.addSuccessorAnswer(successorAnswer{s.Term, r.Generation, sentAt})
	}
}

// Age returns an upper bound of the age of a server with the status, and false
// if nothing is proven.
func (t *Tracker) Age(s group.Status) (age time.Duration, known bool) {
	at, known := t.CompleteAt(s)
	if !known {
		return 0, false
	}
	return time.Since(at), true
}

// CompleteAt returns the latest time for which reads on a server with the
// status are proven to see every write acknowledged before it, and false if
// nothing is proven. The time stays valid: the age at any later moment is at
// most the time since then.
func (t *Tracker) CompleteAt(s group.Status) (at time.Time, known bool) {
	for _, sample := range slices.Backward(t.samples) {
		if known && !sample.sentAt.After(at) {
			break
		}
		if !s.Contains(sample.position) {
			continue
		}
		if proven, ok := t.provenAt(sample); ok && (!known || proven.After(at)) {
			at, known = proven, true
		}
	}
	return at, known
}

// provenAt returns the time for which a sample is valid, min(t, u) in the
// package comment, with the latest u.
func (t *Tracker) provenAt(s sample) (at time.Time, ok bool) {
	for _, answer := range t.successorAnswers {
		if answer.term == s.position.Term && answer.generation >= s.generation && answer.sentAt.After(at) {
			at, ok = answer.sentAt, true
		}
	}
	if ok && s.sentAt.Before(at) {
		at = s.sentAt
	}
	return at, ok
}

// addSample inserts a sample in order of sentAt and removes the samples that it
// supersedes.
func (t *Tracker) addSample(s sample) {
	for _, old := range t.samples {
		if old.supersedes(s) {
			return
		}
	}
	t.samples = slices.DeleteFunc(t.samples, s.supersedes)
	i, _ := slices.BinarySearchFunc(t.samples, s, func(a, b sample) int { return a.sentAt.Compare(b.sentAt) })
	t.samples = slices.Insert(t.samples, i, s)
	if len(t.samples) > maxSamples {
		t.thinSamples()
	}
}

// supersedes reports whether s makes o redundant: for every server that
// contains o, s proves a time that is no earlier.
func (s sample) supersedes(o sample) bool {
	return s.position.Term == o.position.Term && s.generation == o.generation &&
		s.position.Offset <= o.position.Offset && !s.sentAt.Before(o.sentAt)
}

// thinSamples removes samples whose neighbours are closer together than the
// sample's age divided by a divisor. It uses the largest divisor that removes
// any. Removing a sample can raise a bound but never lowers one.
func (t *Tracker) thinSamples() {
	now := time.Now()
	for divisor := time.Duration(maxThinningDivisor); divisor > 0; divisor /= 2 {
		kept := t.samples[:1]
		for i := 1; i < len(t.samples)-1; i++ {
			gap := t.samples[i+1].sentAt.Sub(kept[len(kept)-1].sentAt)
			if gap*divisor > now.Sub(t.samples[i].sentAt) {
				kept = append(kept, t.samples[i])
			}
		}
		kept = append(kept, t.samples[len(t.samples)-1])
		if len(kept) < len(t.samples) {
			t.samples = kept
			return
		}
	}
	t.samples = slices.Delete(t.samples, 0, 1)
}

func (t *Tracker) addSuccessorAnswer(s successorAnswer) {
	i, found := slices.BinarySearchFunc(t.successorAnswers, s, func(a, b successorAnswer) int {
		return cmp.Or(cmp.Compare(a.term, b.term), cmp.Compare(a.generation, b.generation))
	})
	switch {
	case !found:
		t.successorAnswers = slices.Insert(t.successorAnswers, i, s)
	case s.sentAt.After(t.successorAnswers[i].sentAt):
		t.successorAnswers[i] = s
	}
	if len(t.successorAnswers) > maxSuccessorAnswers {
		t.successorAnswers = slices.Delete(t.successorAnswers, 0, 1)
	}
}
