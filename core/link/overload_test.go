package link_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/link"
)

// outcomes counts what the callers of a load got.
type outcomes struct {
	inTime, late, refused int
	// longestRefusal is the longest wait of a caller that was refused.
	longestRefusal time.Duration
}

const (
	// objective is the time in which an answer is in time, statementTimeout the time
	// after which a caller gets none.
	objective        = 300 * time.Millisecond
	statementTimeout = 800 * time.Millisecond
)

// playBurst plays a load of 150 requests a second for 9 s, and 1.7 times as many from the
// third second to the sixth, at a server that serves 200 a second: four connections that
// answer in 20 ms. Each caller waits for a connection for maxWait at most.
func playBurst(t *testing.T, maxWait time.Duration) (o outcomes) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		const hold, interval, duration = 20 * time.Millisecond, time.Second / 150, 9 * time.Second
		p := link.NewPool(catalog.Server{ID: "a"}, dialerFunc(func() (link.Stream, error) { return newFakeStream(hold), nil }), 4)
		defer p.Close()
		var mu sync.Mutex
		var wait sync.WaitGroup
		started := time.Now()
		for time.Since(started) < duration {
			wait.Go(func() {
				arrived := time.Now()
				ctx, cancel := context.WithTimeout(context.Background(), maxWait)
				defer cancel()
				lease, err := p.Acquire(ctx, link.Request{Exclusive: true, TimeForAnswer: objective})
				if err == nil {
					_, err := link.Run(context.Background(), lease, nil, newRead("x"))
					assert.Check(t, err)
					lease.Release()
				}
				elapsed := time.Since(arrived)
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					o.refused++
					o.longestRefusal = max(o.longestRefusal, elapsed)
				case elapsed <= objective:
					o.inTime++
				default:
					o.late++
				}
			})
			step := interval
			if at := time.Since(started); at > 3*time.Second && at < 6*time.Second {
				step = interval * 10 / 17
			}
			time.Sleep(step)
		}
		wait.Wait()
	})
	return o
}

// The callers of a burst must be served better than by the baseline, which refuses what
// got no connection within a quarter of the objective. The server can answer 200 a second
// in time; 55 a second too many come for three seconds, and those that wait when the burst
// ends, for half of the objective at least, can still be answered in time. Whoever is
// refused is told within the objective.
func TestBurstIsServedInTimeAsFarAsPossible(t *testing.T) {
	const excess, absorbed = 55 * 3, 200 * 150 / 1000
	baseline, got := playBurst(t, objective/4), playBurst(t, statementTimeout)
	t.Logf("baseline %+v, got %+v", baseline, got)
	assert.Assert(t, got.refused+got.late <= excess-absorbed)
	assert.Assert(t, got.refused < baseline.refused)
	assert.Assert(t, got.inTime > baseline.inTime)
	assert.Assert(t, got.longestRefusal <= objective)
}

// A server that hangs for 400 ms must not cost its callers their answers when it goes on:
// a late answer is better than none.
func TestCallersOutwaitAStall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const stall, hold, callers = 400 * time.Millisecond, 5 * time.Millisecond, 40
		stream := newFakeStream(stall)
		p := link.NewPool(catalog.Server{ID: "a"}, dialerFunc(func() (link.Stream, error) { return stream, nil }), 1)
		defer p.Close()
		run := func() {
			ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
			defer cancel()
			lease, err := p.Acquire(ctx, link.Request{Exclusive: true, TimeForAnswer: objective})
			assert.Check(t, err)
			if err == nil {
				_, err := link.Run(ctx, lease, nil, newRead("x"))
				assert.Check(t, err)
				lease.Release()
			}
		}
		var wait sync.WaitGroup
		for range callers {
			wait.Go(run)
			time.Sleep(stall / callers)
			stream.mu.Lock()
			stream.delay = hold
			stream.mu.Unlock()
		}
		wait.Wait()
	})
}

// A caller that will get no connection in its time must be told so at once.
func TestHopelessRequestsAreRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const hold, callers = 20 * time.Millisecond, 400
		p := link.NewPool(catalog.Server{ID: "a"}, dialerFunc(func() (link.Stream, error) { return newFakeStream(hold), nil }), 1)
		defer p.Close()
		request := func() (refused bool, elapsed time.Duration) {
			arrived := time.Now()
			ctx, cancel := context.WithTimeout(context.Background(), statementTimeout)
			defer cancel()
			lease, err := p.Acquire(ctx, link.Request{Exclusive: true, TimeForAnswer: objective})
			if err != nil {
				return true, time.Since(arrived)
			}
			_, err = link.Run(context.Background(), lease, nil, newRead("x"))
			assert.Check(t, err)
			lease.Release()
			return false, time.Since(arrived)
		}
		var mu sync.Mutex
		refused, waited := 0, 0
		var wait sync.WaitGroup
		for range callers {
			wait.Go(func() {
				isRefused, elapsed := request()
				mu.Lock()
				defer mu.Unlock()
				if isRefused {
					refused++
					if elapsed > objective {
						waited++
					}
				}
			})
			time.Sleep(hold / 4)
		}
		wait.Wait()
		// Three of four callers can't be served. Those that came before the queue
		// was long have waited for some time.
		assert.Assert(t, refused > callers/2, "%d refused", refused)
		assert.Assert(t, waited < refused/10, "%d of %d refused after more than the objective", waited, refused)
	})
}
