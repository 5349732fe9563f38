package freshness_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/freshness"
	"basilmill/core/group"
)

// Guards against bounds derived from answers of different generations. The
// successor changes from b to c, and c may be promoted at any time. So neither
// the primary's answer under a stale record nor that of the former successor b
// proves that no later term has begun.
func TestAnswersOfDifferentGenerations(t *testing.T) {
	var tracker freshness.Tracker
	staleRecord := &group.Record{Term: 1, Generation: 1, Primary: "a", Successor: "b"}
	laterRecord := &group.Record{Term: 1, Generation: 2, Primary: "a", Successor: "c"}
	primary := group.Status{Server: "a", Role: group.Primary, Term: 1, Generation: 2, Successor: "c"}
	for i, answer := range []struct {
		status group.Status
		record *group.Record
	}{{primary, staleRecord}, {group.Status{Server: "b", Term: 1}, staleRecord}, {primary, laterRecord}, {group.Status{Server: "c", Term: 1}, laterRecord}} {
		tracker.Observe(answer.status, time.Now(), answer.record)
		_, known := tracker.Age(primary)
		assert.Equal(t, known, i == 3, "after answer %d", i)
	}
}

// Guards against bounds that do not grow without samples, against unbounded
// memory, and against thinning that makes the bounds of lagging servers much
// too high.
func TestAgeGrowsAndStaysPrecise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker freshness.Tracker
		record := &group.Record{Term: 1, Generation: 1, Primary: "a", Successor: "b"}
		at := func(offset group.Offset) group.Status {
			return group.Status{Server: "c", Term: 1, Received: offset, Applied: offset}
		}
		_, known := tracker.Age(at(0))
		assert.Assert(t, !known)
		const day, interval = 24 * time.Hour, 1500 * time.Millisecond
		for offset := range group.Offset(day / interval) {
			tracker.Observe(group.Status{Server: "a", Role: group.Primary, Term: 1, Generation: 1, Successor: "b", Received: offset}, time.Now(), record)
			tracker.Observe(group.Status{Server: "b", Term: 1, Generation: 1}, time.Now(), record)
			time.Sleep(interval)
		}
		for _, lag := range []time.Duration{interval, 10 * time.Second, time.Hour, 20 * time.Hour} {
			age, known := tracker.Age(at(group.Offset((day - lag) / interval)))
			assert.Assert(t, known && age >= lag && age <= lag*110/100+2*interval, "lag %v: age %v", lag, age)
		}
		latest := at(group.Offset(day / interval))
		before, _ := tracker.Age(latest)
		time.Sleep(time.Minute)
		after, _ := tracker.Age(latest)
		assert.Equal(t, after-before, time.Minute)
	})
}
