package lead

import "time"

const (
	// suspensionThreshold is how late a check for due work is when the host must have been
	// suspended meanwhile, or without processor time.
	suspensionThreshold = 250 * time.Millisecond
	// viewCatchUpTime is how long after a gap the view may lack changes from it: the time
	// for a watch of the store that fails, and for the call after it.
	viewCatchUpTime = 1500 * time.Millisecond
)

// viewGap is the last span of time whose changes reach the view late: the host was
// suspended, or the platform's store did not answer.
type viewGap struct {
	start, end time.Duration
	// checkedAt is the time of the last check for due work, and dueAt that of the next.
	checkedAt, dueAt time.Duration
}

// noteCheck notes a check for due work, and a gap before it if it is late.
func (g *viewGap) noteCheck(now time.Duration) {
	if g.dueAt != 0 && now-g.dueAt > suspensionThreshold {
		g.extend(g.checkedAt, now)
	}
	g.checkedAt = now
}

// noteWait notes for how long the host waits after a check.
func (g *viewGap) noteWait(wait time.Duration) { g.dueAt = g.checkedAt + wait }

// extend notes a gap. It continues the one before if the view may lack changes from that.
func (g *viewGap) extend(start, end time.Duration) {
	if g.isOver(start) {
		g.start = start
	}
	g.start, g.end = min(g.start, start), max(g.end, end)
}

func (g *viewGap) isOver(now time.Duration) bool { return g.end == 0 || now-g.end >= viewCatchUpTime }

// earliest returns the earliest time at which a change may have been made of which the host
// learns now.
func (g *viewGap) earliest(now time.Duration) time.Duration {
	if g.isOver(now) {
		return now
	}
	return g.start
}
