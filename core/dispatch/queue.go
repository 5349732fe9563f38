package dispatch

import (
	"cmp"
	"time"
)

// Position is the place of a waiting request in the order of service. Requests at equal
// positions are served in the order of their arrival.
//
// It answers the load of more requests than can be answered in time, such as a burst, or
// replicas that lag so that all reads go to the primary. Someone is answered late or not
// at all then, and the order decides who. A request that can't be answered in time any
// more no longer delays those that can. It isn't refused either, because its caller
// prefers a late answer to none.
type Position struct {
	// Priority orders requests; lower ones are served first. Requests with a
	// negative priority are never late.
	Priority int
	// Late is set when the request can't be answered in time any more.
	Late bool
}

// Compare returns a negative number if a request at p is served before one at o.
func (p Position) Compare(o Position) int {
	return cmp.Or(p.lateness()-o.lateness(), cmp.Compare(p.Priority, o.Priority))
}

func (p Position) lateness() int {
	if p.Late && p.Priority >= 0 {
		return 1
	}
	return 0
}

// Patience returns how long a request with the given time for its answer waits for a
// connection before it is late.
func Patience(timeForAnswer time.Duration, s Service) time.Duration {
	return max(timeForAnswer-2*s.Latency, timeForAnswer/2)
}

// heldDivisor gives the fraction of the time for its answer for which a request waits for
// connections that callers hold without using them.
const heldDivisor = 4

// HeldPatience returns how long a request with the given time for its answer waits while
// IsHeld is true. It is shorter than Patience, because the server can do nothing to end
// that, and another host may have a connection.
func HeldPatience(timeForAnswer time.Duration) time.Duration { return timeForAnswer / heldDivisor }

// heldThreshold is how long a transaction sends nothing before its connection counts as
// held. It exceeds the time in which a session sends its next statement by itself.
const heldThreshold = 20 * time.Millisecond

// IsHeld reports whether all connections are held by open transactions whose callers send
// nothing.
func IsHeld(conns []Conn, now time.Time) bool {
	for _, c := range conns {
		if !c.Exclusive || !c.OldestSentAt.IsZero() || now.Sub(c.QuietSince) < heldThreshold {
			return false
		}
	}
	return len(conns) > 0
}

// paceSmoothing is the divisor of the moving average of the time between two grants.
const paceSmoothing = 8

// Pace is the speed at which waiting requests get connections. The zero value is that of
// a queue in which no request has waited yet.
type Pace struct {
	// busySince is when the queue was last empty.
	busySince     time.Time
	lastGrant     time.Time
	lastLateGrant time.Time
	// stalledUntil is the end of the last time in which the server served nobody.
	stalledUntil time.Time
	interval     time.Duration
}

// Enqueued notes that a request starts to wait behind the given number of others.
func (p *Pace) Enqueued(ahead int, now time.Time) {
	if ahead == 0 {
		p.busySince = now
	}
}

// Granted notes that a waiting request got a connection.
func (p *Pace) Granted(position Position, now time.Time) {
	if position.Late {
		p.lastLateGrant = now
	}
	since := p.busySince
	if p.lastGrant.After(since) {
		since = p.lastGrant
	}
	if !since.IsZero() {
		if gap := now.Sub(since); gap > unresponsiveThreshold {
			// The queue goes on at its former pace after a stall.
			p.stalledUntil = now
		} else {
			p.interval += (gap - p.interval) / paceSmoothing
		}
	}
	p.lastGrant = now
}

// IsHopeless reports whether a request with the given number of others before it will
// not get a connection within the time that it has left. Such a request is refused at
// once, so that its caller can go elsewhere.
func (p *Pace) IsHopeless(ahead int, left time.Duration) bool {
	return time.Duration(ahead)*p.interval > left
}

// IsStarved reports whether a request that has become late will be overtaken by those
// that come after it until its time is over: while it waited, the server served others
// but none that was late, and some that are in time are waiting. A stall of the server is
// no such overload: it or its replacement may be back in time to serve all that wait.
func (p *Pace) IsStarved(inTime int, enqueuedAt time.Time) bool {
	return inTime > 0 && p.lastGrant.After(enqueuedAt) && !p.lastLateGrant.After(enqueuedAt) && !p.stalledUntil.After(enqueuedAt)
}
