package link

import (
	"sync"
	"time"
)

// Lease is the right to use a connection until Release.
type Lease struct {
	*Conn
	pool      *Pool
	exclusive bool
	since     time.Time
	once      sync.Once
}

// Release hands the connection back.
func (l *Lease) Release() {
	l.once.Do(func() {
		p := l.pool
		p.mu.Lock()
		defer p.mu.Unlock()
		if l.exclusive {
			l.Conn.exclusive = false
		} else {
			l.shares--
		}
		l.idleSince = time.Now()
		if p.observer != nil {
			p.observer.ObserveHold(l.idleSince.Sub(l.since), l.exclusive)
		}
		p.dispatch()
	})
}

// ReportAnswer reports that the server answered a statement of the lease, and
// whether it refused it for lack of a slot.
func (l *Lease) ReportAnswer(busy bool) {
	p := l.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !busy {
		p.window = min(p.window+1/p.window, maxWindow)
		return
	}
	if now := time.Now(); now.Sub(p.windowCut) > windowPause {
		p.windowCut = now
		p.window = max(p.window*windowCut, 1)
	}
}
