package link

import (
	"sync"
	"time"
)

// Lease is the right to use a connection until Release, either exclusively or
// shared with other sessions.
type Lease struct {
	*Conn
	pool        *Pool
	exclusive   bool
	grantedAt   time.Time
	releaseOnce sync.Once
}

// Release returns the connection to the pool. Further calls have no effect.
func (l *Lease) Release() {
	l.releaseOnce.Do(func() {
		p := l.pool
		p.mu.Lock()
		defer p.mu.Unlock()
		if l.exclusive {
			l.Conn.exclusive = false
		} else {
			l.sharedSessions--
		}
		l.idleSince = time.Now()
		if p.observer != nil {
			p.observer.ObserveHold(l.idleSince.Sub(l.grantedAt), l.exclusive)
		}
		p.dispatch()
	})
}

// ReportAnswer adjusts the pool's window to an answer of the server: busy says
// that the server refused the statement for lack of a free slot. The window grows
// by about one per window of answers and is cut by a factor when the server is
// busy (additive increase, multiplicative decrease).
func (l *Lease) ReportAnswer(busy bool) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !busy {
		p.window = min(p.window+1/p.window, maxWindow)
		return
	}
	if now := time.Now(); now.Sub(p.lastWindowCut) > windowCutInterval {
		p.lastWindowCut = now
		p.window = max(p.window*windowCutFactor, 1)
	}
}
