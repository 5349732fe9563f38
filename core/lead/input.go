package lead

import (
	"errors"
	"log/slog"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/logevent"
	"basilmill/core/takeover"
)

// askInput asks for a probe.
type askInput struct{}

func (askInput) apply(m *Monitor) { m.asked = true }

// refusedInput says that a server refused because it does not lead.
type refusedInput struct{ server group.ServerID }

func (i refusedInput) apply(m *Monitor) {
	if m.known && i.server == m.leader.ID {
		m.asked = true
	}
}

// probeInput is the result of a probe.
type probeInput struct {
	server   catalog.Server
	sent     time.Duration
	position group.Position
	err      error
	search   bool
}

func (i probeInput) apply(m *Monitor) {
	if i.search {
		m.searching--
	} else {
		m.probing = false
	}
	if i.err == nil {
		m.prove(i.server, i.sent, i.position)
		return
	}
	if !m.known || i.server.ID != m.leader.ID {
		return
	}
	var refusal *exchange.Error
	switch {
	case errors.As(i.err, &refusal) && refusal.Code == exchange.ReadOnly:
		m.lose("does not lead")
	case refuses(i.err):
		m.lose("refuses connections")
	}
}

// provenInput is a proof from traffic.
type provenInput struct {
	server   catalog.Server
	at       time.Duration
	position group.Position
}

func (i provenInput) apply(m *Monitor) { m.prove(i.server, i.at, i.position) }

// prove takes a proof that a server led after the given time. A proof of a
// lower term than a known one was overtaken while it was on its way.
func (m *Monitor) prove(server catalog.Server, at time.Duration, position group.Position) {
	if n := len(m.samples); n > 0 && position.Term < m.samples[n-1].Position.Term {
		return
	}
	if m.known && m.leader.ID != server.ID && at < m.proven {
		return
	}
	if !m.known || m.leader.ID != server.ID {
		m.log(logevent.PrimaryFound, slog.String("server", string(server.ID)), slog.Int64("term", int64(position.Term)),
			slog.Duration("gap", m.config.Clock()-m.lost))
		m.leader, m.known = server, true
		m.lookAt = m.config.Clock() + lookDelay
		m.lost = at
	}
	m.proven = max(m.proven, at)
	m.nextProbe = max(m.nextProbe, at+probeInterval)
	m.keep(Sample{At: at, Position: position})
	m.publish()
}

// peersInput holds what other hosts have proven.
type peersInput struct{ samples []Sample }

func (i peersInput) apply(m *Monitor) {
	m.asking = false
	for _, s := range i.samples {
		if s.At <= m.newest() || len(m.samples) > 0 && s.Position.Term < m.samples[len(m.samples)-1].Position.Term {
			continue
		}
		m.keep(s)
		m.publish()
	}
}

// keep adds a sample. Samples of earlier terms are dropped: their positions
// may lie beyond the start of the new term and never be reached.
func (m *Monitor) keep(s Sample) {
	var kept []Sample
	for _, old := range m.samples {
		if old.Position.Term == s.Position.Term && s.At-old.At < sampleTime {
			kept = append(kept, old)
		}
	}
	at := len(kept)
	for at > 0 && kept[at-1].At > s.At {
		at--
	}
	kept = append(kept, Sample{})
	copy(kept[at+1:], kept[at:])
	kept[at] = s
	m.samples = kept
}

// attemptInput is the result of an attempt to change the primary.
type attemptInput struct {
	situation takeover.Situation
	server    group.ServerID
	err       error
}

func (i attemptInput) apply(m *Monitor) {
	m.attempt = false
	now := m.config.Clock()
	m.nextTry = now + retryTime
	switch {
	case errors.Is(i.err, takeover.ErrLeads):
		m.nextTry = now + aliveTime
		m.stalls.Store(0)
	case errors.Is(i.err, takeover.ErrBehind), i.situation.Cause == takeover.Suspended:
		m.nextTry = now + aliveTime
	}
	if i.err != nil {
		m.log(logevent.ChangeRefused, slog.String("cause", i.situation.Cause.String()), errAttr(i.err))
		m.unfinished = m.unfinished || errors.Is(i.err, takeover.ErrLeft)
		return
	}
	m.log(logevent.ChangeCompleted, slog.String("cause", i.situation.Cause.String()), slog.String("server", string(i.server)))
	m.leftover, m.unfinished = false, false
	if m.known && m.leader.ID != i.server {
		m.lose("replaced by this host")
	}
	m.nextProbe, m.nextSearch = now, now
	m.nextAudit = now
}

// lookInput is the result of a look at the record. After a failure the next
// attempt waits for the lease of a number that it sees for the first time.
type lookInput struct{ err error }

func (i lookInput) apply(m *Monitor) {
	m.attempt = false
	if i.err != nil {
		m.log(logevent.ChangeRefused, slog.String("cause", "look"), errAttr(i.err))
	}
}

// auditInput is the result of an audit.
type auditInput struct{ found map[group.ServerID]bool }

// apply takes a replica that two audits in a row found suspended for one that
// an unfinished attempt left: no attempt lasts that long. After an unfinished
// attempt of this host one audit is enough.
func (i auditInput) apply(m *Monitor) {
	m.auditing = false
	m.leftover = false
	for server := range i.found {
		if m.audited[server] || m.unfinished {
			m.leftover = true
			m.log(logevent.ReplicaSuspended, slog.String("server", string(server)))
		}
	}
	m.unfinished = false
	m.audited = i.found
}
