package link

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/exchange"
)

// saturated reports whether every shared connection has more than
// saturatedSessions sessions, so that another connection is useful. It returns
// false while the server refuses connections over its limit.
func (p *Pool) saturated() bool {
	if len(p.conns) == 0 || p.serverFull {
		return false
	}
	for _, c := range p.conns {
		if !c.exclusive && c.sharedSessions <= saturatedSessions {
			return false
		}
	}
	return true
}

// startDials starts dials within the pool's limit, one for each waiter that no
// connection can serve, because waiters for exclusive use cannot share one. After
// a failed or refused dial, only one is in flight. The caller holds the pool's
// mutex.
func (p *Pool) startDials(unserved int) {
	if p.closed || unserved == 0 {
		return
	}
	if wait := time.Until(p.backoffUntil); wait > 0 {
		p.dispatchAfter(wait)
		return
	}
	want := unserved
	if p.serverFull || p.dialFailing {
		want = 1
	}
	for p.dialling < want && len(p.conns)+p.dialling < p.limit {
		p.dialling++
		go p.dial()
	}
}

// dispatchAfter calls dispatch when the backoff after a failed dial is over. The
// caller holds the mutex.
func (p *Pool) dispatchAfter(after time.Duration) {
	if p.backoffTimer != nil {
		return
	}
	p.backoffTimer = time.AfterFunc(after, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.backoffTimer = nil
		p.dispatch()
	})
}

// dial opens one connection and adds it to the pool.
func (p *Pool) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	stream, err := p.dialer.Dial(ctx, p.server)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling--
	if err != nil {
		p.dialFailed(err)
		return
	}
	if p.closed {
		go func() { _ = stream.Close() }()
		return
	}
	p.serverFull, p.dialFailing = false, false
	c := NewConn(stream, p.removeConn)
	c.idleSince = time.Now()
	p.conns = append(p.conns, c)
	p.dispatch()
}

// dialFailed starts the backoff after a failed dial. The waiters fail with its
// error, unless the server refused the dial over its connection limit or the pool
// has other connections. The caller holds the mutex.
func (p *Pool) dialFailed(err error) {
	var refusal *exchange.Error
	if errors.As(err, &refusal) && refusal.Code == exchange.TooManyConnections {
		if p.observer != nil {
			p.observer.ObserveLimitReached(p.server, len(p.conns), len(p.waiters))
		}
		p.serverFull = true
		p.backoffUntil = time.Now().Add(fullBackoff)
		p.dispatch()
		return
	}
	p.dialFailing = true
	p.backoffUntil = time.Now().Add(dialBackoff)
	if len(p.conns) > 0 {
		p.dispatch()
		return
	}
	cause := eris.Wrap(ErrNoConnection, err.Error())
	if errors.Is(err, syscall.ECONNREFUSED) {
		cause = ErrServerRefused
	}
	for _, w := range p.waiters {
		w.result <- acquireResult{err: cause}
	}
	p.waiters = nil
}

// removeConn removes a closed connection from the pool.
func (p *Pool) removeConn(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, func(o *Conn) bool { return o == c })
	p.dispatch()
}
