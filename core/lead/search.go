package lead

import (
	"context"
	"errors"
	"slices"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/link"
)

// updatePrimaryEntry copies changes of the primary's entry. A primary whose entry
// is gone, or shows a restart or another address, is no longer known.
func (m *Monitor) updatePrimaryEntry(members []catalog.Server) {
	if !m.primaryKnown {
		return
	}
	for _, s := range members {
		if s.ID == m.primary.ID {
			if s.BootID != m.primary.BootID || s.Address != m.primary.Address {
				break
			}
			if s != m.primary {
				m.primary = s
				m.publish()
			}
			return
		}
	}
	m.markLost("entry gone or restarted")
}

// searchDue reports whether other servers should be probed: no primary is
// known, this host's last proof is too old, or another server claims to be the
// primary.
func (m *Monitor) searchDue(members []catalog.Server, now time.Duration) bool {
	if m.searchProbesInFlight > 0 || now < m.nextSearch {
		return false
	}
	if !m.primaryKnown {
		return m.isInvolved(now)
	}
	return m.unprovenFor(now) > unprovenThreshold || m.otherClaimsPrimary(members)
}

// otherClaimsPrimary reports whether a server other than the known primary claims to
// be the primary.
func (m *Monitor) otherClaimsPrimary(members []catalog.Server) bool {
	for _, s := range members {
		if s.ClaimsPrimary && s.ID != m.primary.ID {
			return true
		}
	}
	return false
}

func (m *Monitor) startProbe(ctx context.Context, now time.Duration) {
	m.probeInFlight, m.probeRequested = true, false
	m.nextProbe = now + probeInterval
	if m.unprovenSince == 0 {
		m.unprovenSince = now
	}
	m.probe(ctx, m.primary, now, false)
}

// startSearch probes the servers that may be the primary. A host that is not
// responsible leaves more and more time between searches: all that it learns comes from
// a few hosts, which many search at the same time.
func (m *Monitor) startSearch(ctx context.Context, members []catalog.Server, now time.Duration) {
	interval := searchInterval
	switch {
	case !m.isEngaged(now):
		interval = idleSearchInterval
	case m.primaryKnown:
		interval = probeInterval
	}
	if !m.responsible {
		interval = backedOff(interval, m.futileSearches, idleSearchInterval)
	}
	m.nextSearch = now + interval
	for _, s := range m.searchCandidates(members) {
		m.searchProbesInFlight++
		m.probe(ctx, s, now, true)
	}
	m.futileSearches++
}

// searchCandidates returns the servers to probe: those other than the known primary. A
// host that is not responsible relies on the servers' own claims in every other search.
func (m *Monitor) searchCandidates(members []catalog.Server) (candidates []catalog.Server) {
	for _, s := range members {
		if !m.primaryKnown || s.ID != m.primary.ID {
			candidates = append(candidates, s)
		}
	}
	claims := func(s catalog.Server) bool { return s.ClaimsPrimary }
	if !m.responsible && m.futileSearches%2 == 0 && slices.ContainsFunc(candidates, claims) {
		candidates = slices.DeleteFunc(candidates, func(s catalog.Server) bool { return !claims(s) })
	}
	return candidates
}

func (m *Monitor) probe(ctx context.Context, s catalog.Server, now time.Duration, search bool) {
	go func() {
		probeCtx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		position, age, err := m.config.Client.Probe(probeCtx, s)
		select {
		case m.events <- probeResultEvent{server: s, sentAt: now - age, position: position, err: err, search: search}:
		case <-ctx.Done():
		}
	}()
}

// peerQueryDue reports whether other hosts should be queried for their samples: this
// host has sought a proof for some time.
func (m *Monitor) peerQueryDue(now time.Duration) bool {
	if m.config.Peers == nil || m.peerQueryInFlight || now < m.nextPeerQuery {
		return false
	}
	if !m.primaryKnown {
		return m.isEngaged(now) && now-max(m.provenAt, m.engagedAt) > peerQueryThreshold
	}
	return m.unprovenFor(now) > peerQueryThreshold
}

// queryPeers queries other hosts for their samples.
func (m *Monitor) queryPeers(ctx context.Context, now time.Duration) {
	m.peerQueryInFlight = true
	m.nextPeerQuery = now + backedOff(peerQueryInterval, m.futilePeerQueries, maxPeerQueryInterval)
	m.futilePeerQueries++
	go func() {
		samples := m.config.Peers.Positions(ctx, m.config.Group)
		select {
		case m.events <- peerSamplesEvent{samples}:
		case <-ctx.Done():
		}
	}()
}

// backedOff returns the interval, doubled for each futile attempt up to the longest one.
func backedOff(interval time.Duration, futile int, longest time.Duration) time.Duration {
	for ; futile > 0 && interval < longest; futile-- {
		interval *= 2
	}
	return min(interval, longest)
}

// isConnectionRefused reports whether an error proves that no process listens on
// the address.
func isConnectionRefused(err error) bool { return errors.Is(err, link.ErrServerRefused) }
