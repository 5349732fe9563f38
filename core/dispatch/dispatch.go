// Package dispatch decides how the connections to one backend server are used: which
// waiting request gets which connection, when further connections are opened, and which
// connections are given up. It has no clock, lock or goroutine of its own; package link
// carries its decisions out.
//
// It answers these loads:
//
//   - More requests than can be answered in time: Position and Pace decide who is
//     served first, who waits and who is refused at once.
//   - More requests than the server can serve at the same time: Window bounds the
//     requests in flight by the server's own refusals.
//   - Transactions beside single statements: Choose spreads the single statements over
//     the connections that no transaction uses.
//   - A connection limit that all hosts share: Dials opens what is needed and no more,
//     and one connection at a time while the server refuses them.
//   - Accounts of very different sizes and more of them than connections: Assign decides
//     whose request is next, and which connection is given up for another account.
//   - A server that loses answers: IsLost tells connections that will not be answered
//     any more from those of a slow server, so that they do not use up the limit.
package dispatch

import (
	"math"
	"time"

	"basilmill/core/account"
)

// Request is what a request needs from its connection.
type Request struct {
	// Exclusive is set if no other session may have statements in flight on the
	// connection.
	Exclusive bool
	// Urgent exempts the request from the window.
	Urgent bool
}

// Conn is the state of one open connection.
type Conn struct {
	// Account is the account that the connection was opened for; empty for basilmill
	// itself.
	Account account.ID
	// IdleSince is when the connection was released last. Starting is set while a session
	// has been granted exclusive use and has not sent a statement.
	IdleSince time.Time
	Starting  bool
	// Exclusive is set while a session has exclusive use of the connection.
	Exclusive bool
	// QuietSince is when the connection was granted or answered a statement last.
	QuietSince time.Time
	// Sessions is the number of sessions that share the connection.
	Sessions int
	// OldestSentAt is when the oldest unanswered statement was sent; zero if all
	// statements have been answered.
	OldestSentAt time.Time
	// AwaitsCommit is set while a session waits for an unanswered statement that
	// commits a change.
	AwaitsCommit bool
	// AnsweredSentAt is when the latest answered statement was sent that needed one
	// of the server's slots; zero if there is none.
	AnsweredSentAt time.Time
	// Latency is the moving average of the time that such statements took.
	Latency time.Duration
}

const (
	// unresponsiveThreshold is how long the oldest statement in flight on a
	// connection may be unanswered before the connection is withheld from further
	// sessions.
	unresponsiveThreshold = 250 * time.Millisecond
	// answerTimeout is how long the oldest statement in flight may be unanswered
	// before the connection is given up without any sign that its answer was lost.
	// It exceeds every route's statement timeout, so that no statement is interrupted
	// that a caller still waits for.
	answerTimeout = 4 * time.Second
	// latencyFactor, multiplied by the latency, is the time after which the server
	// has answered a statement unless its answer was lost.
	latencyFactor = 4
	// saturatedSessions is the number of sessions on each shared connection above
	// which another connection is opened.
	saturatedSessions = 2
)

// isUnresponsive reports whether the oldest statement in flight has been unanswered for
// too long.
func (c Conn) isUnresponsive(now time.Time) bool {
	return !c.OldestSentAt.IsZero() && now.Sub(c.OldestSentAt) > unresponsiveThreshold
}

// Choose returns the index of the connection with the fewest sessions that a request can
// use, or -1. Of equal ones it prefers the first for which prefer returns true.
func Choose(conns []Conn, request Request, prefer func(int) bool, now time.Time) int {
	return chooseAmong(conns, request, func(int) bool { return true }, prefer, now)
}

// chooseAmong is Choose among the connections that are eligible.
func chooseAmong(conns []Conn, request Request, eligible, prefer func(int) bool, now time.Time) int {
	best, bestPreferred := -1, false
	for i, c := range conns {
		if !eligible(i) || c.Exclusive || c.isUnresponsive(now) || request.Exclusive && c.Sessions > 0 {
			continue
		}
		if best >= 0 && (c.Sessions > conns[best].Sessions || c.Sessions == conns[best].Sessions && (bestPreferred || !prefer(i))) {
			continue
		}
		best, bestPreferred = i, prefer(i)
	}
	return best
}

// Service is what the answers of the server on all connections show.
type Service struct {
	// LastServed is when the latest statement or request for a connection was sent
	// that the server has answered.
	LastServed time.Time
	// Latency is the highest latency of a connection.
	Latency time.Duration
}

// ServiceOf returns what the answers on the connections show.
func ServiceOf(conns []Conn) (s Service) {
	for _, c := range conns {
		if c.AnsweredSentAt.After(s.LastServed) {
			s.LastServed = c.AnsweredSentAt
		}
		s.Latency = max(s.Latency, c.Latency)
	}
	return s
}

// IsLost reports whether a connection is given up, because an answer was lost on it. A
// server serves statements in the order of their arrival, so an answer to one that was
// sent much later on another connection shows that the oldest one in flight will not be
// answered any more, nor anything behind it.
//
// That does not hold for a commit, which waits for replicas: its connection is given up
// only when nobody waits for the commit any longer.
func IsLost(c Conn, s Service, now time.Time) bool {
	if c.OldestSentAt.IsZero() {
		return false
	}
	if now.Sub(c.OldestSentAt) > answerTimeout {
		return true
	}
	return !c.AwaitsCommit && s.LastServed.Sub(c.OldestSentAt) > max(unresponsiveThreshold, latencyFactor*s.Latency)
}

// Demand is what the number of further connections depends on.
type Demand struct {
	// Unserved is the number of waiting requests that no connection can serve.
	Unserved int
	// Dialling is the number of connections that are being opened.
	Dialling int
	// Limit is the maximum number of connections.
	Limit int
	// Full is set while the server refuses connections over its limit, Failing while
	// connections can't be opened for another reason.
	Full, Failing bool
}

// Dials returns the number of connections to open now: one for each request that no
// connection can serve, because requests for exclusive use can't share one, and one if
// all are saturated. While the server refuses connections, only one is tried at a time.
func Dials(conns []Conn, d Demand) int {
	want := d.Unserved
	if want == 0 && !d.Full && saturated(conns) {
		want = 1
	}
	if d.Full || d.Failing {
		want = min(want, 1)
	}
	return max(0, min(want-d.Dialling, d.Limit-len(conns)-d.Dialling))
}

// saturated reports whether every shared connection has more than saturatedSessions
// sessions.
func saturated(conns []Conn) bool {
	for _, c := range conns {
		if !c.Exclusive && c.Sessions <= saturatedSessions {
			return false
		}
	}
	return len(conns) > 0
}

const (
	// maxWindow bounds the sessions of a host that use the server's shared
	// connections at the same time, so that a few hosts keep all slots of a server
	// busy and none fills its queue.
	maxWindow = 8
	// windowCutInterval is the minimum time between two cuts of the window: about
	// the time that a server needs to work off its queue.
	windowCutInterval = 50 * time.Millisecond
	// windowCutFactor is the factor by which a cut reduces the window.
	windowCutFactor = 0.7
)

// Window bounds the sessions that use a server's shared connections at the same time. It
// grows by about one for each window of answers and is cut by a factor when the server is
// busy (additive increase, multiplicative decrease). The zero value is a window of the
// maximum size.
type Window struct {
	// cut is by how much the window is smaller than maxWindow.
	cut       float64
	lastCutAt time.Time
}

// Size returns the current bound.
func (w *Window) Size() int { return int(math.Floor(maxWindow - w.cut)) }

// Allows reports whether a request may use a shared connection beside the given number of
// sessions.
func (w *Window) Allows(request Request, sessions int) bool {
	return request.Exclusive || request.Urgent || sessions < w.Size()
}

// Observe adjusts the window to an answer.
func (w *Window) Observe(busy bool, now time.Time) {
	size := maxWindow - w.cut
	if !busy {
		w.cut = max(0, w.cut-1/size)
		return
	}
	if now.Sub(w.lastCutAt) > windowCutInterval {
		w.lastCutAt = now
		w.cut = maxWindow - max(size*windowCutFactor, 1)
	}
}
