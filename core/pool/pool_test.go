package pool_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilmill/core/account"
	"basilmill/core/outcome"
	"basilmill/core/pool"
)

// server simulates a backend server. It counts its connections and records
// violations of its connection limit.
type server struct {
	mu                         sync.Mutex
	limit                      int
	connections                int // open, opening and closing
	opening, maxOpening, opens int
	violation                  string
	openDelay, closeDelay      time.Duration
	openFails                  func() bool
}

type conn struct{ key pool.Key }

func (s *server) withLock(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *server) pool(limit int) *pool.Pool[*conn] {
	return pool.New(pool.Config[*conn]{Limit: limit, Open: s.open, Close: s.close, QueueLimit: 1000})
}

func (s *server) open(_ context.Context, key pool.Key) (*conn, error) {
	s.mu.Lock()
	s.connections++
	s.opening++
	s.opens++
	s.maxOpening = max(s.maxOpening, s.opening)
	if s.connections > s.limit {
		s.violation = fmt.Sprintf("%d connections with limit %d", s.connections, s.limit)
	}
	s.mu.Unlock()
	time.Sleep(s.openDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening--
	if s.openFails != nil && s.openFails() {
		s.connections--
		return nil, errors.New("connection refused")
	}
	return &conn{key}, nil
}

func (s *server) close(*conn) {
	time.Sleep(s.closeDelay)
	s.withLock(func() { s.connections-- })
}

// setLimit sets the limit of the pool and of the server. It lowers the server's
// limit last, after the openings that began under the former limit have reached
// the server.
func (s *server) setLimit(p *pool.Pool[*conn], limit int) {
	s.withLock(func() { s.limit = max(s.limit, limit) })
	p.SetLimit(limit)
	synctest.Wait()
	s.withLock(func() { s.limit = limit })
}

// Guards against exceeding the limit (invariant I11) when limits are lowered,
// openings fail, contexts end and closes are slow, against giving one connection
// to two requests or to a request for another key, and against losing
// connections or requests.
func TestLimitHoldsInAnySchedule(t *testing.T) {
	type step struct {
		Wait, Hold, Deadline, Key, Account, Control uint8
		Reusable                                    bool
	}
	ms := func(n, below uint8) time.Duration { return time.Duration(n%below) * time.Millisecond }
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Make[step](), 1, 60).Draw(rt, "steps")
		failEvery := rapid.IntRange(2, 6).Draw(rt, "failEvery")
		s := &server{limit: 3, openDelay: 12 * time.Millisecond, closeDelay: 3 * time.Millisecond}
		s.openFails = func() bool { return s.opens%failEvery == 0 }
		synctest.Test(t, func(*testing.T) {
			p := s.pool(3)
			p.SetShare("x", pool.Share{Weight: 2, Max: 2})
			inUse := map[*conn]bool{}
			runStep := func(st step) {
				ctx, cancel := context.WithTimeout(context.Background(), ms(st.Deadline, 120))
				defer cancel()
				key := pool.Key("abc"[st.Key%3 : st.Key%3+1])
				c, err := p.Get(ctx, key, account.ID("xy"[st.Account%2:st.Account%2+1]))
				s.withLock(func() {
					if err != nil && outcome.Of(err) != outcome.NotRun || err == nil && (inUse[c] || c.key != key) {
						s.violation = fmt.Sprintf("wrong result of Get: %v, %v, in use before %v", c, err, inUse[c])
					}
					inUse[c] = err == nil
				})
				if err == nil {
					time.Sleep(ms(st.Hold, 40))
					s.withLock(func() { inUse[c] = false })
					p.Put(c, st.Reusable)
				}
			}
			var requests sync.WaitGroup
			for _, st := range steps {
				time.Sleep(ms(st.Wait, 9))
				switch control := int(st.Control % 30); {
				case control < 6:
					s.setLimit(p, control)
				case control == 6:
					p.CloseIdle()
				case control == 7:
					p.RefuseWaiting("the primary was replaced", nil)
				case control == 8: // requests served before the change have ended after 60 ms
					s.setLimit(p, 1)
					time.Sleep(60 * time.Millisecond)
					s.withLock(func() {
						if s.connections > 1 {
							s.violation = fmt.Sprintf("%d connections long after the limit was lowered to 1", s.connections)
						}
					})
				}
				requests.Go(func() { runStep(st) })
			}
			requests.Wait()
			p.Drain()
			<-p.Drained()
			if s.connections != 0 || p.Stats().Waiting != 0 {
				s.violation = fmt.Sprintf("left over: %d connections, %+v", s.connections, p.Stats())
			}
		})
		assert.Equal(rt, s.violation, "")
	})
}

// Guards against one account starving another, within one key and across keys,
// and against closing and opening a connection at every grant.
func TestFairBetweenAccounts(t *testing.T) {
	for _, tc := range []struct {
		limit int
		keys  []pool.Key
	}{{6, []pool.Key{"a", "a"}}, {6, []pool.Key{"a", "b"}}, {1, []pool.Key{"a", "a"}}} {
		t.Run(fmt.Sprintf("%d connections, keys %v", tc.limit, tc.keys), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &server{limit: tc.limit, openDelay: 12 * time.Millisecond}
				p := s.pool(tc.limit)
				p.SetShare("heavy", pool.Share{Weight: 2})
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				var served [2]int
				var callers sync.WaitGroup
				for i, id := range []account.ID{"heavy", "light"} {
					for range 50 {
						callers.Go(func() {
							for c, err := p.Get(ctx, tc.keys[i], id); err == nil; c, err = p.Get(ctx, tc.keys[i], id) {
								time.Sleep(5 * time.Millisecond)
								s.withLock(func() { served[i]++ })
								p.Put(c, true)
							}
						})
					}
					time.Sleep(time.Second) // the first account saturates the pool alone
				}
				callers.Wait()
				ratio := float64(served[0]-200*tc.limit) / float64(served[1])
				t.Logf("served %v, openings %d", served, s.opens)
				assert.Assert(t, ratio > 1.8 && ratio < 2.2, "ratio %.2f, want 2", ratio)
				assert.Assert(t, s.opens <= 20, "%d openings for 6 connections", s.opens)
			})
		})
	}
}

// Guards against unbounded queues, against an account that exceeds its maximum,
// and against idle connections that stay open or are not reused for their key.
func TestQueueLimitsAndIdleRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{limit: 3, openDelay: time.Millisecond}
		p := s.pool(3)
		p.SetShare("x", pool.Share{Max: 1, QueueLimit: 2})
		get := func() (*conn, error) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			return p.Get(ctx, "a", "x")
		}
		first, err := get()
		assert.NilError(t, err)
		go get()
		go get()
		synctest.Wait()
		assert.Equal(t, p.Stats().Waiting, 2) // the maximum of the account holds although the pool has room for two more
		_, err = get()
		var refusal *outcome.Error
		assert.Assert(t, errors.As(err, &refusal) && refusal.SQLState == outcome.TooManyConnections, "%v", err)
		time.Sleep(time.Second)
		assert.Equal(t, p.Stats().Waiting, 0)
		p.Put(first, true)
		again, err := get()
		assert.NilError(t, err)
		assert.Equal(t, again, first)
		p.Put(again, true)

		// The limit is lowered while a connection is closed in favour of another
		// key; the request for that key stays in the queue.
		p.SetLimit(1)
		s.closeDelay = 10 * time.Millisecond
		time.AfterFunc(5*time.Millisecond, func() { p.SetLimit(0) })
		time.AfterFunc(20*time.Millisecond, func() { p.SetLimit(1) })
		other, err := p.Get(t.Context(), "b", "x")
		assert.NilError(t, err)
		p.Put(other, true)
		time.Sleep(pool.DefaultIdleRetention + time.Second)
		assert.Equal(t, p.Stats().Open, 0)
	})
}

// Guards against a burst of openings when a server recovers. It compares pools
// on one and on three hosts with a static split of the limit over all hosts; -v
// prints the figures.
func TestOpeningsAreLimitedAfterOutage(t *testing.T) {
	const hosts, limit, waiters = 9, 16, 1000
	for _, outage := range []time.Duration{0, 3 * time.Second} {
		for _, holders := range []int{hosts, 3, 1} {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				s := &server{limit: limit, openDelay: 12 * time.Millisecond}
				s.openFails = func() bool { return time.Since(start) < outage }
				var pools []*pool.Pool[*conn]
				for i := range holders {
					pools = append(pools, s.pool(pool.Split(limit, holders, i)))
				}
				var waits []time.Duration
				var callers sync.WaitGroup
				for i := range waiters {
					p := pools[i%hosts%holders] // even distribution is the best case for the static split
					callers.Go(func() {
						c, err := p.Get(t.Context(), "a", "x")
						for err != nil {
							c, err = p.Get(t.Context(), "a", "x")
						}
						s.withLock(func() { waits = append(waits, max(0, time.Since(start)-outage).Round(time.Millisecond)) })
						time.Sleep(2 * time.Millisecond)
						p.Put(c, true)
					})
				}
				callers.Wait()
				var failed int
				for _, p := range pools {
					failed += int(p.Stats().Failed)
				}
				t.Logf("outage %-3v %d holders: queue time after it: median %v, p99 %v, last %v; openings %d, failed %d, most at once %d", outage,
					holders, waits[waiters/2], waits[waiters*99/100], waits[waiters-1], s.opens, failed, s.maxOpening)
				assert.Equal(t, s.violation, "")
				assert.Assert(t, s.maxOpening <= pool.DefaultMaxOpening*holders)
				// After the first openings, at most one attempt for each expected
				// backoff.
				assert.Assert(t, failed <= holders*(pool.DefaultMaxOpening+40), "%d failed", failed)
				assert.Assert(t, s.opens-failed <= limit)
			})
		}
	}
}

// Guards against parts of a limit that do not add up to it.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit, holders, sum := rapid.IntRange(0, 100).Draw(rt, "limit"), rapid.IntRange(1, 40).Draw(rt, "holders"), 0
		for i := range holders {
			sum += pool.Split(limit, holders, i)
		}
		assert.Equal(rt, sum, limit)
	})
}
