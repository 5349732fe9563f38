package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/dispatch"
)

// Requests that can still be answered in time come first, then the late ones, each by
// priority. Urgent requests are never late.
func TestLateRequestsComeLast(t *testing.T) {
	order := []dispatch.Position{
		{Priority: -1, Late: true}, {Priority: 0}, {Priority: 1}, {Priority: 0, Late: true}, {Priority: 2, Late: true},
	}
	for i, p := range order {
		for j, o := range order {
			c := p.Compare(o)
			assert.Equal(t, c < 0, i < j, "%v and %v", p, o)
			assert.Equal(t, c == 0, i == j, "%v and %v", p, o)
		}
	}
}

// A request is late early enough for the statement itself, but never before half of its
// time, however slow the server is.
func TestPatienceLeavesTimeForTheStatement(t *testing.T) {
	assert.Equal(t, dispatch.Patience(300*time.Millisecond, dispatch.Service{}), 300*time.Millisecond)
	assert.Equal(t, dispatch.Patience(300*time.Millisecond, dispatch.Service{Latency: 20 * time.Millisecond}), 260*time.Millisecond)
	assert.Equal(t, dispatch.Patience(300*time.Millisecond, dispatch.Service{Latency: time.Second}), 150*time.Millisecond)
}

// A request is hopeless when those before it will take all of its time at the pace of
// the queue. Nothing is known before the queue has moved.
func TestHopelessRequestsAreKnownFromThePace(t *testing.T) {
	var p dispatch.Pace
	assert.Assert(t, !p.IsHopeless(1000, time.Second))
	now := start
	p.Enqueued(0, now)
	for range 50 {
		now = now.Add(20 * time.Millisecond)
		p.Granted(dispatch.Position{}, now)
	}
	assert.Assert(t, !p.IsHopeless(45, time.Second))
	assert.Assert(t, p.IsHopeless(60, time.Second))
	// A stall is not the pace of the queue.
	now = now.Add(2 * time.Second)
	p.Granted(dispatch.Position{}, now)
	assert.Assert(t, !p.IsHopeless(35, time.Second))
	// A queue that was empty for long is not slow.
	p.Enqueued(0, now.Add(time.Hour))
	p.Granted(dispatch.Position{}, now.Add(time.Hour+20*time.Millisecond))
	assert.Assert(t, !p.IsHopeless(35, time.Second))
}

// A late request waits on while nobody is served, or late ones are, but not while those
// that come after it are served instead.
func TestStarvedRequestsGiveUp(t *testing.T) {
	enqueuedAt := start
	var stalled dispatch.Pace
	assert.Assert(t, !stalled.IsStarved(5, enqueuedAt))
	var overloaded dispatch.Pace
	overloaded.Granted(dispatch.Position{}, at(100*time.Millisecond))
	assert.Assert(t, overloaded.IsStarved(5, enqueuedAt))
	assert.Assert(t, !overloaded.IsStarved(0, enqueuedAt))
	overloaded.Granted(dispatch.Position{}, at(time.Second))
	assert.Assert(t, !overloaded.IsStarved(5, enqueuedAt), "after a stall")
	var relieved dispatch.Pace
	relieved.Granted(dispatch.Position{Late: true}, at(200*time.Millisecond))
	assert.Assert(t, !relieved.IsStarved(5, enqueuedAt))
}

func TestHeldConnectionsAreTheIdleOnesOfTransactions(t *testing.T) {
	now := at(time.Second)
	idle, working, shared := dispatch.Conn{Exclusive: true, QuietSince: start}, dispatch.Conn{Exclusive: true, OldestSentAt: start}, dispatch.Conn{Sessions: 1}
	assert.Assert(t, dispatch.IsHeld([]dispatch.Conn{idle, idle}, now))
	assert.Assert(t, !dispatch.IsHeld([]dispatch.Conn{idle, working}, now))
	assert.Assert(t, !dispatch.IsHeld([]dispatch.Conn{idle, shared}, now))
	assert.Assert(t, !dispatch.IsHeld([]dispatch.Conn{idle, {Exclusive: true, QuietSince: now}}, now), "its statement is about to be sent")
	assert.Assert(t, !dispatch.IsHeld(nil, now))
}
