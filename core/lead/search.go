package lead

import (
	"context"
	"errors"
	"syscall"
	"time"

	"basilmill/core/catalog"
)

// follow updates the leader's entry and forgets a leader whose entry is gone.
func (m *Monitor) follow(members []catalog.Server) {
	if !m.known {
		return
	}
	for _, s := range members {
		if s.ID == m.leader.ID {
			if s.Boot != m.leader.Boot || s.Address != m.leader.Address {
				break
			}
			if s != m.leader {
				m.leader = s
				m.publish()
			}
			return
		}
	}
	m.lose("entry gone or restarted")
}

// searchDue reports whether other servers should be probed: no leader is
// known, it is unproven for too long, or another server says that it leads.
func (m *Monitor) searchDue(members []catalog.Server, now time.Duration) bool {
	if m.searching > 0 || now < m.nextSearch {
		return false
	}
	if !m.known || now-m.proven > suspectTime {
		return true
	}
	for _, s := range members {
		if s.Primary && s.ID != m.leader.ID {
			return true
		}
	}
	return false
}

func (m *Monitor) startProbe(ctx context.Context, now time.Duration) {
	m.probing, m.asked = true, false
	m.nextProbe = now + probeInterval
	m.probe(ctx, m.leader, now, false)
}

func (m *Monitor) startSearch(ctx context.Context, members []catalog.Server, now time.Duration) {
	m.nextSearch = now + searchInterval
	if m.known {
		m.nextSearch = now + probeInterval
	}
	for _, s := range members {
		if m.known && s.ID == m.leader.ID {
			continue
		}
		m.searching++
		m.probe(ctx, s, now, true)
	}
}

func (m *Monitor) probe(ctx context.Context, s catalog.Server, now time.Duration, search bool) {
	go func() {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		position, err := m.config.Client.Probe(probeCtx, s)
		select {
		case m.inputs <- probeInput{server: s, sent: now, position: position, err: err, search: search}:
		case <-ctx.Done():
		}
	}()
}

// askPeers asks other hosts for their proofs.
func (m *Monitor) askPeers(ctx context.Context, now time.Duration) {
	m.asking = true
	m.nextAsk = now + askInterval
	go func() {
		samples := m.config.Peers.Positions(ctx, m.config.Group)
		select {
		case m.inputs <- peersInput{samples}:
		case <-ctx.Done():
		}
	}()
}

// refuses reports whether an error proves that no process serves the address.
func refuses(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
