package link

import (
	"context"
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/account"
	"basilmill/core/dispatch"
	"basilmill/core/exchange"
)

// startDials starts the dials that dispatch.Dials demands, unless the backoff after a
// failed one is not over. The caller holds the pool's mutex.
func (p *Pool) startDials(states []dispatch.Conn, unserved int) {
	if p.closed {
		return
	}
	dials := dispatch.Dials(states, dispatch.Demand{
		Unserved: unserved, Dialling: p.dialling, Limit: p.limit, Full: p.serverFull, Failing: p.dialFailing,
	})
	if dials == 0 {
		return
	}
	if wait := time.Until(p.backoffUntil); wait > 0 {
		p.dispatchAfter(wait)
		return
	}
	p.dialling += dials
	for range dials {
		go p.dial("")
	}
}

// dispatchAfter calls dispatch after a time, unless it will be called earlier. The caller
// holds the mutex.
func (p *Pool) dispatchAfter(after time.Duration) {
	due := time.Now().Add(after)
	if p.backoffTimer != nil {
		if !due.Before(p.backoffTimerDue) {
			return
		}
		p.backoffTimer.Stop()
	}
	var timer *time.Timer
	timer = time.AfterFunc(after, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.backoffTimer != timer {
			return
		}
		p.backoffTimer = nil
		p.dispatch()
	})
	p.backoffTimer, p.backoffTimerDue = timer, due
}

// dial opens one connection for an account and adds it to the pool.
func (p *Pool) dial(id account.ID) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	startedAt := time.Now()
	stream, err := p.dialer.Dial(ctx, p.server, id)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dialling--
	p.accounts.dialled(id)
	if err == nil || isOverLimit(err) {
		p.lastDialServed = startedAt
	}
	if err != nil {
		p.dialFailed(err)
		return
	}
	if p.closed {
		go func() { _ = stream.Close() }()
		return
	}
	p.dialFailing = false
	c := p.newConn(stream, id)
	c.idleSince = time.Now()
	p.conns = append(p.conns, c)
	if p.observer != nil && id != "" {
		p.observer.ObserveOpened(id)
	}
	p.serverFull = p.serverFull && p.accounts.active() && p.accounts.accepted(len(p.conns)+p.dialling)
	p.dispatch()
}

// newConn returns a connection that was opened for an account. The caller holds the mutex.
func (p *Pool) newConn(stream Stream, id account.ID) *Conn {
	if !p.accounts.active() {
		return newConn(stream, p.removeConn, &p.process)
	}
	return newAccountConn(stream, p.removeConn, &p.process, id, p.observeAnswer)
}

// dialFailed starts the backoff after a failed dial. The waiters fail with its
// error, unless the server refused the dial over its connection limit or the pool
// has other connections. The caller holds the mutex.
func (p *Pool) dialFailed(err error) {
	if isOverLimit(err) {
		if p.observer != nil {
			p.observer.ObserveLimitReached(p.server, len(p.conns), len(p.waiters))
		}
		p.serverFull = true
		backoff := fullBackoff
		if p.accounts.active() {
			backoff = p.accounts.refused(len(p.conns) + p.dialling)
		}
		p.backoffUntil = time.Now().Add(backoff)
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
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		cause = ErrServerRefused
	case hasCode(err, exchange.WrongServer):
		cause = ErrServerReplaced
	}
	for _, w := range p.waiters {
		w.result <- acquireResult{err: cause}
	}
	p.waiters = nil
}

// isOverLimit reports whether the server refused a connection over its limit.
func isOverLimit(err error) bool { return hasCode(err, exchange.TooManyConnections) }

// hasCode reports whether the server refused a connection with the code.
func hasCode(err error, code exchange.Code) bool {
	var refusal *exchange.Error
	return errors.As(err, &refusal) && refusal.Code == code
}

// removeConn removes a closed connection from the pool.
func (p *Pool) removeConn(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = slices.DeleteFunc(p.conns, func(o *Conn) bool { return o == c })
	p.dispatch()
}
