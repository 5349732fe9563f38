package freshness_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilmill/core/freshness"
	"basilmill/core/group"
)

// model is a group that changes at random, with the time of every
// acknowledgement. Queries are sent, answered and delivered in separate
// events, and the host's record is stale in between.
type model struct {
	now     time.Time
	record  group.Record
	stale   group.Record
	servers [4]*group.Status
	acks    map[group.Position]time.Time
	queries []*query
	deliver func(m *model, q *query)
}

type query struct {
	server   int
	sent     time.Time
	answered bool
	status   group.Status
}

var names = [4]group.ServerID{"a", "b", "c", "d"}

func newModel(deliver func(*model, *query)) *model {
	m := &model{now: time.Now(), acks: map[group.Position]time.Time{}, deliver: deliver}
	m.record = group.Record{Term: 1, Generation: 1, Primary: "a", Successor: "b"}
	m.stale = m.record
	for i := range m.servers {
		m.servers[i] = &group.Status{Server: names[i], Term: 1}
	}
	m.servers[0].Role, m.servers[0].Successor, m.servers[0].Generation = group.Primary, "b", 1
	m.servers[1].Generation = 1
	return m
}

func (m *model) server(id group.ServerID) *group.Status { return m.servers[id[0]-'a'] }

func (m *model) step(event, x int) {
	m.now = m.now.Add(time.Millisecond)
	s, primary, successor := m.servers[x%4], m.server(m.record.Primary), m.server(m.record.Successor)
	switch event {
	case 0, 1:
		if s.Role == group.Primary {
			s.Received++
			s.Applied++
		}
	case 2, 3, 4:
		m.replicate(s, x)
	case 5, 6:
		m.queries = append(m.queries, &query{server: x % 4, sent: m.now})
	case 7, 8:
		if q := m.pick(x); q != nil && !q.answered {
			q.answered, q.status = true, *m.servers[q.server]
		}
	case 9, 10:
		if q := m.pick(x); q != nil && q.answered {
			m.deliver(m, q)
		}
	case 15, 16, 17: // a query of the servers that takes 2 ms
		for i := range m.servers {
			q := &query{server: i, sent: m.now.Add(-2 * time.Millisecond), answered: true, status: *m.servers[i]}
			m.deliver(m, q)
		}
	case 11:
		m.stale = m.record
	case 12: // change of successor to one that has caught up
		if s != successor && s.Role == group.Replica && s.Term == primary.Term && primary.Term == m.record.Term {
			m.record.Generation++
			m.record.Successor = s.Server
			s.Received, s.Generation = primary.Received, m.record.Generation
			primary.Successor, primary.Generation = s.Server, m.record.Generation
		}
	case 13: // change of primary; the former one goes on in isolation
		if s != successor && s.Role == group.Replica && successor.Term == m.record.Term && successor.Generation == m.record.Generation {
			m.record.Term, m.record.Generation = m.record.Term+1, m.record.Generation+1
			m.record.Primary, m.record.Successor = successor.Server, s.Server
			*successor = group.Status{
				Server: successor.Server, Role: group.Primary, Term: m.record.Term, Generation: m.record.Generation,
				Successor: s.Server, TermStart: successor.Received, Received: successor.Received, Applied: successor.Received,
			}
		}
	case 14: // a server follows the primary of the record
		if s.Term < primary.Term && primary.Term == m.record.Term {
			*s = group.Status{
				Server: s.Server, Term: primary.Term, TermStart: primary.TermStart,
				Received: primary.TermStart, Applied: min(s.Applied, primary.TermStart),
			}
		}
	}
}

// replicate moves s forward and acknowledges what the successor received.
func (m *model) replicate(s *group.Status, x int) {
	if s.Role == group.Primary {
		return
	}
	for _, p := range m.servers {
		if p.Role == group.Primary && p.Term == s.Term {
			s.Received += (p.Received - s.Received) * group.Offset(x%3) / 2
			s.Generation = 0
			if p.Successor == s.Server {
				s.Generation = p.Generation
			}
		}
	}
	s.Applied += (s.Received - s.Applied) * group.Offset(x%2)
	for o := s.Received; s.Confirms(&m.record, group.Position{Term: s.Term, Offset: o}) && o > s.TermStart; o-- {
		p := group.Position{Term: s.Term, Offset: o}
		if _, known := m.acks[p]; known {
			break
		}
		m.acks[p] = m.now
	}
}

func (m *model) pick(x int) *query {
	if len(m.queries) == 0 {
		return nil
	}
	return m.queries[x%len(m.queries)]
}

// complete reports whether reads on s see every write acknowledged before at.
func (m *model) complete(s *group.Status, at time.Time) bool {
	for p, acked := range m.acks {
		if acked.Before(at) && (s.Term < p.Term || s.Applied < p.Offset) {
			return false
		}
	}
	return true
}

var schedules = rapid.Custom(func(rt *rapid.T) [][2]int {
	event := rapid.Custom(func(rt *rapid.T) [2]int {
		return [2]int{rapid.IntRange(0, 17).Draw(rt, "event"), rapid.IntRange(0, 59).Draw(rt, "x")}
	})
	return rapid.SliceOfN(event, 50, 400).Draw(rt, "schedule")
})

// Guards against a bound below the true age (I10), whatever happens to the
// group, to the host's record and to the order of answers.
func TestBoundNeverBelowTrueAge(t *testing.T) {
	known := 0
	rapid.Check(t, func(rt *rapid.T) {
		var tracker freshness.Tracker
		m := newModel(func(m *model, q *query) { tracker.Observe(q.status, q.sent, &m.stale) })
		for _, e := range schedules.Draw(rt, "schedule") {
			m.step(e[0], e[1])
			for _, s := range m.servers {
				if at, ok := tracker.CompleteAt(*s); ok {
					known++
					assert.Assert(rt, m.complete(s, at), "%+v is not complete at %v, acknowledged %v", *s, at, m.acks)
				}
			}
		}
	})
	assert.Assert(t, known > 1000, "the schedules give too few bounds: %d", known)
}

// Shows that the model detects the faults that the rules exclude: a primary
// trusted without its successor, the time of the answer instead of the query,
// and offsets compared without terms.
func TestNaiveBoundsAreTooLow(t *testing.T) {
	for name, naive := range map[string]struct {
		primaryAlone, timeOfAnswer, noTerms bool
	}{
		"primary alone":  {primaryAlone: true},
		"time of answer": {timeOfAnswer: true},
		"no terms":       {noTerms: true},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range 3000 {
				var tracker freshness.Tracker
				m := newModel(func(m *model, q *query) {
					sent := q.sent
					if naive.timeOfAnswer {
						sent = m.now
					}
					tracker.Observe(q.status, sent, &m.stale)
					if naive.primaryAlone {
						tracker.Observe(group.Status{Server: m.stale.Successor, Term: m.stale.Term}, m.now, &m.stale)
					}
				})
				for _, e := range schedules.Example(seed) {
					m.step(e[0], e[1])
					for _, s := range m.servers {
						status := *s
						if naive.noTerms {
							status.Term = m.stale.Term
						}
						if at, ok := tracker.CompleteAt(status); ok && !m.complete(s, at) {
							return
						}
					}
				}
			}
			t.Fatal("no schedule gives a bound below the true age")
		})
	}
}

// Guards against bounds that do not grow without samples, against unbounded
// memory and against thinning that makes the bounds of lagging servers useless.
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
