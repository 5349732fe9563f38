package link

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/exchange"
)

// crowded reports whether each shared connection serves several sessions.
func (p *Pool) crowded() bool {
	if len(p.conns) == 0 || p.full {
		return false
	}
	for _, c := range p.conns {
		if !c.exclusive && c.shares <= crowd {
			return false
		}
	}
	return true
}

// open starts openings for the unserved waiters. A waiter for exclusive use
// may need a second connection beside its own.
func (p *Pool) open(unserved int) {
	if p.closed || unserved == 0 {
		return
	}
	if wait := time.Until(p.pausedUntil); wait > 0 {
		p.wake(wait)
		return
	}
	want := unserved
	if p.full || p.failing {
		want = 1
	}
	for p.opening < want && len(p.conns)+p.opening < p.limit {
		p.opening++
		go p.dial()
	}
}

// wake dispatches again when the pause after a failed opening is over.
func (p *Pool) wake(after time.Duration) {
	if p.pause != nil {
		return
	}
	p.pause = time.AfterFunc(after, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pause = nil
		p.dispatch()
	})
}

func (p *Pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	stream, err := p.dialer.Dial(ctx, p.server)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		p.failed(err)
		return
	}
	if p.closed {
		go func() { _ = stream.Close() }()
		return
	}
	p.full, p.failing = false, false
	p.stats.Opened++
	c := NewConn(stream, p.ended)
	c.idleSince = time.Now()
	p.conns = append(p.conns, c)
	p.dispatch()
}

// failed notes a failed opening. Waiters fail with it unless the server is
// full or other connections can serve them.
func (p *Pool) failed(err error) {
	var refusal *exchange.Error
	if errors.As(err, &refusal) && refusal.Code == exchange.TooManyConnections {
		p.stats.Refused++
		p.full = true
		p.pausedUntil = time.Now().Add(fullPause)
		p.dispatch()
		return
	}
	p.stats.Failed++
	p.failing = true
	p.pausedUntil = time.Now().Add(failPause)
	if len(p.conns) > 0 {
		p.dispatch()
		return
	}
	for _, w := range p.waiters {
		w.ready <- leased{err: eris.Wrap(ErrNoConnection, err.Error())}
	}
	p.waiters = nil
}

// ended removes a connection.
func (p *Pool) ended(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, func(o *Conn) bool { return o == c })
	p.dispatch()
}
