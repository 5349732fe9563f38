package ack_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilmill/core/ack"
	"basilmill/core/group"
	"basilmill/core/outcome"
)

// model is a group whose primaries, successors and feeds change at random and
// whose statuses reach the host late, out of order and beside a stale record.
type model struct {
	record   group.Record
	stale    group.Record // the host's copy
	servers  map[group.ServerID]*group.Status
	starts   map[group.Term]group.Offset
	statuses []group.Status
	writes   []group.Position
	observe  func(group.Status, *group.Record)
}

var names = []group.ServerID{"a", "b", "c", "d"}

func newModel(observe func(group.Status, *group.Record)) *model {
	m := &model{
		record:  group.Record{Term: 1, Generation: 1, Primary: "a", Successor: "b"},
		servers: map[group.ServerID]*group.Status{},
		starts:  map[group.Term]group.Offset{},
		observe: observe,
	}
	for _, n := range names {
		m.servers[n] = &group.Status{Server: n, Term: 1}
	}
	*m.servers["a"] = group.Status{Server: "a", Role: group.Primary, Term: 1, Generation: 1, Successor: "b"}
	m.servers["b"].Generation = 1
	m.stale = m.record
	return m
}

// step applies one event; x selects its parameters.
func (m *model) step(event, x int) {
	s := m.servers[names[x%len(names)]]
	primary, successor := m.servers[m.record.Primary], m.servers[m.record.Successor]
	switch event {
	case 0, 1: // any server that believes it is primary writes, also a replaced one
		if s.Role == group.Primary {
			s.Received += group.Offset(1 + x%5)
			m.writes = append(m.writes, group.Position{Term: s.Term, Offset: s.Received})
		}
	case 2, 3: // a replica receives part of its primary's log
		for _, p := range m.servers {
			if s.Role == group.Replica && p.Role == group.Primary && p.Term == s.Term && p.Received > s.Received {
				s.Received += 1 + (p.Received-s.Received-1)*group.Offset(x%3)/2
				s.Generation = 0 // the last feed's generation is reported until another feed starts
				if p.Successor == s.Server {
					s.Generation = p.Generation
				}
			}
		}
	case 4, 5, 12, 13: // a status is taken now and delivered later
		m.statuses = append(m.statuses, *s)
	case 6, 7, 14:
		if len(m.statuses) > 0 {
			i := x % len(m.statuses)
			m.observe(m.statuses[i], &m.stale)
			m.statuses = append(m.statuses[:i], m.statuses[i+1:]...)
		}
	case 8: // the host refreshes its record
		m.stale = m.record
	case 9: // change of successor: the candidate has caught up
		if s.Role == group.Replica && primary.Role == group.Primary && primary.Term == m.record.Term && s != successor && s.Term == primary.Term {
			s.Received, s.Generation = primary.Received, m.record.Generation+1
			m.record.Generation++
			m.record.Successor = s.Server
			primary.Successor, primary.Generation = s.Server, m.record.Generation
		}
	case 10: // change of primary
		eligible := successor.Term == m.record.Term && successor.Generation == m.record.Generation
		if eligible && s != successor && s.Role == group.Replica {
			m.record.Term, m.record.Generation = m.record.Term+1, m.record.Generation+1
			m.record.Primary, m.record.Successor = successor.Server, s.Server
			successor.Role, successor.Term, successor.TermStart = group.Primary, m.record.Term, successor.Received
			successor.Successor, successor.Generation = s.Server, m.record.Generation
			m.starts[m.record.Term] = successor.Received
		}
	case 11: // a server follows the new primary and discards a diverged end
		if primary.Term == m.record.Term && s.Term < primary.Term {
			*s = group.Status{Server: s.Server, Term: primary.Term, TermStart: primary.TermStart, Received: primary.TermStart}
			if s == successor {
				s.Generation = m.record.Generation
			}
		}
	}
}

// survives reports whether a write is in the history of the latest term.
func (m *model) survives(p group.Position) bool {
	start, replaced := m.starts[p.Term+1]
	return !replaced || p.Offset <= start
}

type schedule [][2]int

var schedules = rapid.Custom(func(rt *rapid.T) schedule {
	event := rapid.Custom(func(rt *rapid.T) [2]int {
		return [2]int{rapid.IntRange(0, 14).Draw(rt, "event"), rapid.IntRange(0, 59).Draw(rt, "x")}
	})
	return rapid.SliceOfN(event, 50, 300).Draw(rt, "schedule")
})

// ended makes Confirm answer from what was observed, without waiting.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// Guards against acknowledging a write that a later primary does not have
// (I2), whatever the order of changes, answers and records.
func TestAcknowledgedWritesSurvive(t *testing.T) {
	acknowledged := 0
	rapid.Check(t, func(rt *rapid.T) {
		var gate ack.Gate
		m := newModel(gate.Observe)
		confirmed := map[group.Position]bool{}
		for _, e := range schedules.Draw(rt, "schedule") {
			m.step(e[0], e[1])
			for _, w := range m.writes {
				confirmed[w] = confirmed[w] || gate.Confirm(ended(), 0, w) == nil
			}
		}
		for w := range confirmed {
			if confirmed[w] {
				acknowledged++
				assert.Assert(rt, m.survives(w), "write %v was acknowledged, starts %v", w, m.starts)
			}
		}
	})
	assert.Assert(t, acknowledged >= 100, "the schedules acknowledge too few writes: %d", acknowledged)
}

// Shows that the model detects the faults that the rules exclude: evidence
// without a generation, any replica's evidence, offsets without terms, and the
// start of a later term than the next one.
func TestNaiveRulesLoseWrites(t *testing.T) {
	for name, proves := range map[string]func(group.Status, *group.Record, group.Position) bool{
		"no generation": func(s group.Status, r *group.Record, p group.Position) bool {
			s.Generation = r.Generation
			return s.Confirms(r, p)
		},
		"any replica": func(s group.Status, r *group.Record, p group.Position) bool {
			return s.Role == group.Replica && s.Term == p.Term && s.Received >= p.Offset
		},
		"no terms": func(s group.Status, r *group.Record, p group.Position) bool {
			return s.Server == r.Successor && s.Generation == r.Generation && s.Received >= p.Offset
		},
		"start of any later term": func(s group.Status, _ *group.Record, p group.Position) bool {
			return s.Role == group.Primary && s.Term > p.Term && p.Offset <= s.TermStart
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 3000 {
				var m *model
				lost := false
				confirmed := map[group.Position]bool{}
				m = newModel(func(s group.Status, r *group.Record) {
					for _, w := range m.writes {
						confirmed[w] = confirmed[w] || proves(s, r, w)
					}
				})
				for _, e := range schedules.Example(seed) {
					m.step(e[0], e[1])
				}
				for w := range confirmed {
					lost = lost || confirmed[w] && !m.survives(w)
				}
				if lost {
					return
				}
			}
			t.Fatal("no schedule loses a write under the naive rule")
		})
	}
}

// Guards against writes that stay blocked although evidence covers them, that
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
		since, waiting := gate.Waiting()
		assert.Assert(t, waiting && since.Equal(start))

		record := &group.Record{Term: 2, Generation: 4, Primary: "a", Successor: "b"}
		old := *record
		old.Generation = 3
		gate.Observe(group.Status{Server: "b", Term: 2, Generation: 3, Received: waiters}, &old)
		synctest.Wait()
		assert.Equal(t, len(results), 0) // evidence of an older generation
		gate.Observe(group.Status{Server: "b", Term: 2, Generation: 4, Received: 2000}, record)
		synctest.Wait()
		assert.Equal(t, len(results), 2000)

		moved := &group.Record{Term: 3, Generation: 5, Primary: "b", Successor: "c"}
		gate.ObserveRecord(moved)
		synctest.Wait()
		assert.Equal(t, len(results), 2000) // the new primary has not reported its start
		gate.Observe(group.Status{Server: "b", Role: group.Primary, Term: 3, TermStart: 3000, Received: 3500}, moved)
		synctest.Wait()
		done := 0
		for range waiters {
			if err := <-results; err == nil {
				done++
			} else {
				assert.Equal(t, outcome.Of(err), outcome.Unknown)
			}
		}
		assert.Equal(t, done, 3000)
		_, waiting = gate.Waiting()
		assert.Assert(t, !waiting)

		err := gate.Confirm(ctx, 5, group.Position{Term: 3, Offset: 3400})
		assert.Equal(t, outcome.Of(err), outcome.Unknown) // the context ended
		assert.Equal(t, time.Since(start), time.Second)
	})
}
