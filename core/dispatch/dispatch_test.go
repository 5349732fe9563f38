package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/dispatch"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// A connection is given up only when the server has answered something that was sent
// much later, and nobody waits for a commit on it.
func TestLostConnectionsAreToldFromSlowOnes(t *testing.T) {
	now := at(2 * time.Second)
	for _, test := range []struct {
		name    string
		conn    dispatch.Conn
		service dispatch.Service
		lost    bool
	}{
		{"idle", dispatch.Conn{}, dispatch.Service{LastServed: now}, false},
		{"later statements are answered", dispatch.Conn{OldestSentAt: at(time.Second)}, dispatch.Service{LastServed: at(1300 * time.Millisecond)}, true},
		{"statements sent at about the same time are answered", dispatch.Conn{OldestSentAt: at(time.Second)}, dispatch.Service{LastServed: at(1200 * time.Millisecond)}, false},
		{"the server answers nothing", dispatch.Conn{OldestSentAt: at(0)}, dispatch.Service{LastServed: at(-time.Second)}, false},
		{"the server is slow", dispatch.Conn{OldestSentAt: at(time.Second)}, dispatch.Service{LastServed: at(1300 * time.Millisecond), Latency: 100 * time.Millisecond}, false},
		{"a commit is awaited", dispatch.Conn{OldestSentAt: at(0), AwaitsCommit: true}, dispatch.Service{LastServed: now}, false},
		{"nothing is answered for longer than any caller waits", dispatch.Conn{OldestSentAt: at(-3 * time.Second), AwaitsCommit: true}, dispatch.Service{}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, dispatch.IsLost(test.conn, test.service, now), test.lost)
		})
	}
}

// What the server has answered on any connection counts.
func TestServiceCoversAllConnections(t *testing.T) {
	s := dispatch.ServiceOf([]dispatch.Conn{
		{AnsweredSentAt: at(2 * time.Second), Latency: time.Millisecond},
		{AnsweredSentAt: at(time.Second), Latency: 3 * time.Millisecond},
		{},
	})
	assert.Equal(t, s, dispatch.Service{LastServed: at(2 * time.Second), Latency: 3 * time.Millisecond})
}

func TestRequestsGetTheLeastUsedConnection(t *testing.T) {
	conns := []dispatch.Conn{
		{Exclusive: true},
		{Sessions: 2},
		{Sessions: 1},
		{Sessions: 1},
		{OldestSentAt: at(0), AnsweredSentAt: at(0)},
	}
	now := at(time.Second)
	never := func(int) bool { return false }
	assert.Equal(t, dispatch.Choose(conns, dispatch.Request{}, never, now), 2)
	assert.Equal(t, dispatch.Choose(conns, dispatch.Request{}, func(i int) bool { return i == 3 }, now), 3)
	assert.Equal(t, dispatch.Choose(conns, dispatch.Request{}, func(i int) bool { return i == 1 }, now), 2)
	assert.Equal(t, dispatch.Choose(conns, dispatch.Request{Exclusive: true}, never, now), -1)
	assert.Equal(t, dispatch.Choose(append(conns, dispatch.Conn{}), dispatch.Request{Exclusive: true}, never, now), 5)
}

// Each request that no connection can serve needs one of its own, because it may be for
// exclusive use. A server that refuses connections is asked for one at a time.
func TestDialsFollowTheDemand(t *testing.T) {
	saturated := []dispatch.Conn{{Sessions: 3}, {Exclusive: true}}
	for _, test := range []struct {
		name   string
		conns  []dispatch.Conn
		demand dispatch.Demand
		dials  int
	}{
		{"nobody waits", []dispatch.Conn{{}}, dispatch.Demand{Limit: 8}, 0},
		{"one for each", nil, dispatch.Demand{Unserved: 3, Limit: 8}, 3},
		{"those being opened count", nil, dispatch.Demand{Unserved: 3, Dialling: 2, Limit: 8}, 1},
		{"within the limit", saturated, dispatch.Demand{Unserved: 5, Dialling: 1, Limit: 4}, 1},
		{"one while the server is full", nil, dispatch.Demand{Unserved: 3, Limit: 8, Full: true}, 1},
		{"one while dials fail", nil, dispatch.Demand{Unserved: 3, Dialling: 1, Limit: 8, Failing: true}, 0},
		{"one beside saturated connections", saturated, dispatch.Demand{Limit: 8}, 1},
		{"none beside saturated connections of a full server", saturated, dispatch.Demand{Limit: 8, Full: true}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, dispatch.Dials(test.conns, test.demand), test.dials)
		})
	}
}

// The window is cut once for all refusals of one queue, never closes, and opens again
// with answers. Transactions and urgent requests are not bounded by it.
func TestWindowFollowsTheServersRefusals(t *testing.T) {
	var w dispatch.Window
	full := w.Size()
	w.Observe(true, at(time.Second))
	once := w.Size()
	assert.Assert(t, once < full)
	w.Observe(true, at(time.Second+time.Millisecond))
	assert.Equal(t, w.Size(), once)
	for i := range 100 {
		w.Observe(true, at(time.Duration(2+i)*time.Second))
	}
	assert.Equal(t, w.Size(), 1)
	assert.Assert(t, w.Allows(dispatch.Request{}, 0) && !w.Allows(dispatch.Request{}, 1))
	assert.Assert(t, w.Allows(dispatch.Request{Exclusive: true}, 1) && w.Allows(dispatch.Request{Urgent: true}, 1))
	for range 100 {
		w.Observe(false, at(time.Hour))
	}
	assert.Equal(t, w.Size(), full)
}
