package ack_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/ack"
	"basilmill/core/group"
	"basilmill/core/outcome"
)

// Guards against writes that stay blocked although evidence covers them or that
// are released early, and against a query loop that runs while none waits.
func TestManyWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const waiters = 5000
		var gate ack.Gate
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		results := make(chan error, waiters)
		start := time.Now()
		for i := range waiters {
			offset := group.Offset(i*7919%waiters + 1)
			go func() { results <- gate.Confirm(ctx, 4, group.Position{Term: 2, Offset: offset}) }()
		}
		synctest.Wait()
		assert.Equal(t, len(gate.Wake()), 1)
		since, waiting := gate.OldestWait()
		assert.Assert(t, waiting && since.Equal(start))

		record := &group.Record{Term: 2, Generation: 4, Primary: "a", Successor: "b"}
		oldRecord := *record
		oldRecord.Generation = 3
		gate.Observe(group.Status{Server: "b", Term: 2, Generation: 3, Received: waiters}, time.Now(), &oldRecord)
		synctest.Wait()
		assert.Equal(t, len(results), 0) // evidence of an older generation
		gate.Observe(group.Status{Server: "b", Term: 2, Generation: 4, Received: 2000}, time.Now(), record)
		synctest.Wait()
		assert.Equal(t, len(results), 2000)

		nextTerm := &group.Record{Term: 3, Generation: 5, Primary: "b", Successor: "c"}
		gate.ObserveRecord(nextTerm)
		synctest.Wait()
		assert.Equal(t, len(results), 2000) // the new primary has not reported its start
		gate.Observe(group.Status{Server: "b", Role: group.Primary, Term: 3, TermStart: 3000, Received: 3500}, time.Now(), nextTerm)
		synctest.Wait()
		confirmed := 0
		for range waiters {
			if err := <-results; err == nil {
				confirmed++
			} else {
				assert.Equal(t, outcome.Of(err), outcome.Unknown)
			}
		}
		assert.Equal(t, confirmed, 3000)
		_, waiting = gate.OldestWait()
		assert.Assert(t, !waiting)

		err := gate.Confirm(ctx, 5, group.Position{Term: 3, Offset: 3400})
		assert.Equal(t, outcome.Of(err), outcome.Unknown) // the context ended
		assert.Equal(t, time.Since(start), time.Second)
	})
}
