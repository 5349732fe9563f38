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

// server counts what a backend server would see and records violations.
type server struct {
	mu      sync.Mutex
	pool    *pool.Pool[*conn]
	limit   int
	present int // open + opening + closing
	opening int
	maxSeen int
	opened  int
	fault   string

	openTime, closeTime time.Duration
	fail                func() error
}

type conn struct{ key pool.Key }

func (s *server) config(limit int) pool.Config[*conn] {
	s.limit = limit
	return pool.Config[*conn]{Limit: limit, Open: s.open, Close: s.close}
}

func (s *server) open(ctx context.Context, key pool.Key) (*conn, error) {
	s.mu.Lock()
	s.present++
	s.opening++
	s.opened++
	s.maxSeen = max(s.maxSeen, s.opening)
	if s.present > s.limit {
		s.fault = fmt.Sprintf("%d connections with limit %d", s.present, s.limit)
	}
	s.mu.Unlock()
	select {
	case <-time.After(s.openTime):
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening--
	if s.fail != nil {
		if err := s.fail(); err != nil {
			s.present--
			return nil, err
		}
	}
	return &conn{key}, nil
}

func (s *server) close(*conn) {
	time.Sleep(s.closeTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.present--
}

// setLimit lowers the server's own limit only after openings that began under
// the former one have reached it.
func (s *server) setLimit(n int) {
	s.mu.Lock()
	s.limit = max(s.limit, n)
	s.mu.Unlock()
	s.pool.SetLimit(n)
	synctest.Wait()
	s.mu.Lock()
	s.limit = n
	s.mu.Unlock()
}

// Guards against exceeding the limit (I11) with lowered limits, failing
// openings, ended contexts and slow closes, against lending one connection
// twice or for another key, and against losing connections or requests.
func TestLimitHoldsInAnySchedule(t *testing.T) {
	type step struct {
		Wait, Hold, Deadline int // milliseconds
		Key                  string
		Account              string
		Reusable             bool
		Limit                int // sets the limit if not negative
	}
	steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
		return step{
			Wait:     rapid.IntRange(0, 8).Draw(rt, "wait"),
			Hold:     rapid.IntRange(0, 40).Draw(rt, "hold"),
			Deadline: rapid.IntRange(1, 120).Draw(rt, "deadline"),
			Key:      rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key"),
			Account:  rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "account"),
			Reusable: rapid.IntRange(0, 3).Draw(rt, "reusable") > 0,
			Limit:    max(rapid.IntRange(-20, 5).Draw(rt, "limit"), -1),
		}
	}), 1, 60)
	rapid.Check(t, func(rt *rapid.T) {
		schedule := steps.Draw(rt, "steps")
		failEvery := rapid.IntRange(2, 6).Draw(rt, "failEvery")
		var fault string
		synctest.Test(t, func(*testing.T) {
			s := &server{openTime: 12 * time.Millisecond, closeTime: 3 * time.Millisecond}
			s.fail = func() error {
				if s.opened%failEvery == 0 {
					return errors.New("refused")
				}
				return nil
			}
			s.pool = pool.New(s.config(3))
			s.pool.SetShare("x", pool.Share{Weight: 2, Max: 2})
			lent := map[*conn]bool{}
			var group sync.WaitGroup
			for _, st := range schedule {
				time.Sleep(time.Duration(st.Wait) * time.Millisecond)
				if st.Limit >= 0 {
					s.setLimit(st.Limit)
				}
				group.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(st.Deadline)*time.Millisecond)
					defer cancel()
					c, err := s.pool.Get(ctx, pool.Key(st.Key), account.ID(st.Account))
					if err != nil {
						if outcome.Of(err) != outcome.NotRun {
							s.fault = "an error that does not state not run: " + err.Error()
						}
						return
					}
					s.mu.Lock()
					if lent[c] || c.key != pool.Key(st.Key) {
						s.fault = "connection lent twice or for another key"
					}
					lent[c] = true
					s.mu.Unlock()
					time.Sleep(time.Duration(st.Hold) * time.Millisecond)
					s.mu.Lock()
					delete(lent, c)
					s.mu.Unlock()
					s.pool.Put(c, st.Reusable)
				})
			}
			group.Wait()
			s.pool.Drain()
			<-s.pool.Drained()
			if s.present != 0 || s.pool.Stats().Waiting != 0 {
				s.fault = fmt.Sprintf("left over: %d connections, %+v", s.present, s.pool.Stats())
			}
			fault = s.fault
		})
		if fault != "" {
			rt.Fatal(fault)
		}
	})
}

// Guards against one account crowding out another, within one key and across
// keys, and against closing and opening connections at every grant.
func TestFairBetweenAccounts(t *testing.T) {
	for name, keys := range map[string][2]pool.Key{"same key": {"a", "a"}, "own keys": {"a", "b"}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &server{openTime: 12 * time.Millisecond}
				s.pool = pool.New(s.config(6))
				s.pool.SetShare("heavy", pool.Share{Weight: 2})
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
				defer cancel()
				served := make([]int, 2)
				var group sync.WaitGroup
				for i, id := range []account.ID{"heavy", "light"} {
					for range 50 * (2 - i) {
						group.Go(func() {
							for {
								c, err := s.pool.Get(ctx, keys[i], id)
								if err != nil {
									return
								}
								time.Sleep(5 * time.Millisecond)
								s.mu.Lock()
								served[i]++
								s.mu.Unlock()
								s.pool.Put(c, true)
							}
						})
					}
					time.Sleep(time.Second) // the first account saturates the pool alone
				}
				group.Wait()
				s.pool.Drain()
				<-s.pool.Drained()
				ratio := float64(served[0]-1200) / float64(served[1])
				t.Logf("served %v, openings %d", served, s.opened)
				assert.Assert(t, ratio > 1.8 && ratio < 2.2, "ratio %.2f, want 2", ratio)
				assert.Assert(t, s.opened <= 20, "%d openings for 6 connections", s.opened)
			})
		})
	}
}

// Guards against queues without bound, against a maximum that is not kept, and
// against idle connections that stay open or are not reused for their key.
func TestBoundsAndIdleTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &server{openTime: time.Millisecond}
		config := s.config(3)
		config.QueueLimit = 2
		s.pool = pool.New(config)
		s.pool.SetShare("x", pool.Share{Max: 1})
		get := func(key pool.Key, id account.ID) (*conn, error) {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			return s.pool.Get(ctx, key, id)
		}
		first, err := get("a", "x")
		assert.NilError(t, err)
		for range 2 {
			go get("a", "x")
		}
		synctest.Wait()
		assert.Equal(t, s.pool.Stats().Waiting, 2) // the maximum holds although two slots are free
		_, err = get("b", "y")
		var refusal *outcome.Error
		assert.Assert(t, errors.As(err, &refusal) && refusal.SQLState == outcome.TooManyConnections, "%v", err)
		assert.Equal(t, refusal.Outcome, outcome.NotRun)
		time.Sleep(time.Second)
		assert.Equal(t, s.pool.Stats().Waiting, 0)
		s.pool.Put(first, true)
		again, err := get("a", "x")
		assert.NilError(t, err)
		assert.Equal(t, again, first)
		s.pool.Put(again, true)
		time.Sleep(pool.DefaultIdleTime + time.Second)
		assert.Equal(t, s.pool.Stats().Open, 0)
	})
}

// Guards against a storm of openings at a server that returns, and compares
// with a static split of the limit over all hosts. -v prints the figures.
func TestStormOfWaiters(t *testing.T) {
	const (
		hosts, limit, waiters = 9, 16, 1000
		openTime, hold        = 12 * time.Millisecond, 2 * time.Millisecond
	)
	splits := []struct {
		name  string
		parts []int
	}{
		{"static split over 9 hosts", []int{2, 2, 2, 2, 2, 2, 2, 1, 1}},
		{"3 holders", []int{6, 5, 5}},
		{"1 holder", []int{16}},
	}
	for _, outage := range []time.Duration{0, 3 * time.Second} {
		for _, split := range splits {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				s := &server{openTime: openTime, fail: func() error {
					if time.Since(start) < outage {
						return errors.New("connection refused")
					}
					return nil
				}}
				var pools []*pool.Pool[*conn]
				for _, part := range split.parts {
					pools = append(pools, pool.New(s.config(part)))
				}
				s.limit = limit
				var waits []time.Duration
				var group sync.WaitGroup
				for i := range waiters {
					p := pools[i*i%hosts%len(pools)] // the balancer does not spread callers evenly
					group.Go(func() {
						c, err := p.Get(t.Context(), "a", "x")
						for err != nil {
							c, err = p.Get(t.Context(), "a", "x")
						}
						s.mu.Lock()
						waits = append(waits, max(0, time.Since(start)-outage))
						s.mu.Unlock()
						time.Sleep(hold)
						p.Put(c, true)
					})
				}
				group.Wait()
				var failed int64
				for _, p := range pools {
					failed += p.Stats().Failed
					p.Drain()
					<-p.Drained()
				}
				t.Logf("outage %-3v %-26s queue time after it: median %4v, p99 %4v, last %4v; openings %d, failed %d, most at once %d",
					outage, split.name, waits[waiters/2].Round(time.Millisecond), waits[waiters*99/100].Round(time.Millisecond),
					waits[waiters-1].Round(time.Millisecond), s.opened, failed, s.maxSeen)
				assert.Equal(t, s.fault, "")
				assert.Assert(t, s.maxSeen <= pool.DefaultMaxOpening*len(pools))
				// At most one trial for each expected backoff, after the first.
				assert.Assert(t, int(failed) <= len(pools)*(pool.DefaultMaxOpening+40), "%d failed", failed)
				assert.Assert(t, s.opened-int(failed) <= limit)
			})
		}
	}
}

// Guards against parts that do not add up to the limit.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit, holders := rapid.IntRange(0, 100).Draw(rt, "limit"), rapid.IntRange(1, 40).Draw(rt, "holders")
		sum := 0
		for i := range holders {
			part := pool.Split(limit, holders, i)
			assert.Assert(rt, part >= 0)
			sum += part
		}
		assert.Equal(rt, sum, limit)
	})
}
