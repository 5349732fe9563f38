// Package freshness owns the samples of a group's log position and derives
// from them an upper bound of the age of what each server holds.
//
// # What a sample proves
//
// The age of a server is the time since the oldest acknowledged write that
// reads on it do not see. A sample is the log end o that the primary of term T
// reported to a query sent at time t. A server that contains (T, o) sees every
// write acknowledged in T before t. The primary's answer alone does not show
// that no later term had begun: an isolated primary goes on answering while
// its replacement acknowledges writes. A sample therefore counts only up to
// the time at which the group is known to have been in T still:
//
//   - the primary answered in the record's term and generation, naming the
//     record's successor, so no later successor could have been promoted; and
//   - the successor of that generation, or of a later one in the same term,
//     answered as a replica of T to a query sent at time u, so it was not
//     promoted before u.
//
// The sample then proves the age min(t, u). Without new answers the bound
// grows with the clock. All times are readings of the local monotonic clock.
package freshness

import (
	"cmp"
	"slices"
	"time"

	"basilmill/core/group"
)

const (
	// maxSamples bounds the memory. Thinning keeps gaps proportional to the
	// age, so that few samples cover days.
	maxSamples = 256
	// finestPart is the part of its age by which a bound may rise through
	// thinning, as a divisor. A day of samples at 150 ms fits with 1/16.
	finestPart = 16
	// maxSightings bounds the generations whose successor's answers are kept.
	maxSightings = 16
)

// sample is one answer of the primary.
type sample struct {
	position   group.Position
	generation group.Generation
	sent       time.Time
}

// sighting is the latest answer of a generation's successor as a replica.
type sighting struct {
	term       group.Term
	generation group.Generation
	sent       time.Time
}

// Tracker bounds the ages of one group's servers. The zero value is ready for
// use. It is not safe for concurrent use; the control thread owns it.
type Tracker struct {
	samples   []sample // in order of sent
	sightings []sighting
}

// Observe takes a status answer, the time at which its query was sent, and the
// record that the host knows.
func (t *Tracker) Observe(s group.Status, sent time.Time, r *group.Record) {
	if s.Term != r.Term {
		return
	}
	switch {
	case s.Server == r.Primary && s.Role == group.Primary:
		if s.Generation == r.Generation && s.Successor == r.Successor {
			t.add(sample{group.Position{Term: s.Term, Offset: s.Received}, s.Generation, sent})
		}
	case s.Server == r.Successor && s.Role == group.Replica:
		t.see(sighting{s.Term, r.Generation, sent})
	}
}

// Age returns an upper bound of the age of what reads on the server see, and
// false if there is none.
func (t *Tracker) Age(s group.Status) (age time.Duration, known bool) {
	at, known := t.CompleteAt(s)
	if !known {
		return 0, false
	}
	return time.Since(at), true
}

// CompleteAt returns the latest time for which reads on the server are proven
// to see every write acknowledged before it. The time stays valid, so that the
// age at any later moment is the time since then.
func (t *Tracker) CompleteAt(s group.Status) (at time.Time, known bool) {
	for _, sample := range slices.Backward(t.samples) {
		if known && !sample.sent.After(at) {
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

// provenAt returns the time for which a sample holds.
func (t *Tracker) provenAt(s sample) (at time.Time, ok bool) {
	for _, seen := range t.sightings {
		if seen.term == s.position.Term && seen.generation >= s.generation && seen.sent.After(at) {
			at, ok = seen.sent, true
		}
	}
	if ok && s.sent.Before(at) {
		at = s.sent
	}
	return at, ok
}

// add inserts a sample in the order of sending, without samples of the same
// generation that prove less.
func (t *Tracker) add(s sample) {
	for _, old := range t.samples {
		if old.provesMoreThan(s) {
			return
		}
	}
	t.samples = slices.DeleteFunc(t.samples, s.provesMoreThan)
	i, _ := slices.BinarySearchFunc(t.samples, s, func(a, b sample) int { return a.sent.Compare(b.sent) })
	t.samples = slices.Insert(t.samples, i, s)
	if len(t.samples) > maxSamples {
		t.thin()
	}
}

// provesMoreThan reports whether s makes o superfluous: s proves a time no
// earlier for every server that contains o.
func (s sample) provesMoreThan(o sample) bool {
	return s.position.Term == o.position.Term && s.generation == o.generation &&
		s.position.Offset <= o.position.Offset && !s.sent.Before(o.sent)
}

// thin removes samples between others that are closer together than a part of
// their age, beginning with the finest part that removes any. Removing a
// sample never lowers a bound.
func (t *Tracker) thin() {
	now := time.Now()
	for part := time.Duration(finestPart); part > 0; part /= 2 {
		kept := t.samples[:1]
		for i := 1; i < len(t.samples)-1; i++ {
			gap := t.samples[i+1].sent.Sub(kept[len(kept)-1].sent)
			if gap*part > now.Sub(t.samples[i].sent) {
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

func (t *Tracker) see(s sighting) {
	i, found := slices.BinarySearchFunc(t.sightings, s, func(a, b sighting) int {
		return cmp.Or(cmp.Compare(a.term, b.term), cmp.Compare(a.generation, b.generation))
	})
	switch {
	case !found:
		t.sightings = slices.Insert(t.sightings, i, s)
	case s.sent.After(t.sightings[i].sent):
		t.sightings[i] = s
	}
	if len(t.sightings) > maxSightings {
		t.sightings = slices.Delete(t.sightings, 0, 1)
	}
}
