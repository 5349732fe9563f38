package ratelimit

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"basilmill/core/host"
)

// learntRetention is how long a host counts that introduced itself and that no list has. It
// exceeds the time until a host that is gone leaves the list.
const learntRetention = 15 * time.Minute

// Members holds the hosts that this host knows: those of the list, and those that it has
// learnt of from other hosts since. It is safe for concurrent use.
type Members struct {
	Self host.Info

	mu      sync.Mutex
	learnt  map[host.ID]learntHost
	knownBy map[host.ID]bool
	// version changes with learnt.
	version int64
	// listed is set once a list has had this host.
	listed bool
}

type learntHost struct {
	host.Info
	at time.Duration
}

// Version changes when hosts are learnt of.
func (m *Members) Version() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version
}

// Merge returns the hosts of the list and those learnt of, in the order of their ids. This
// host is one of them until a list has had it, and then if the list has it.
func (m *Members) Merge(now time.Duration, list []host.Info) []host.Info {
	m.mu.Lock()
	defer m.mu.Unlock()
	merged := slices.Clone(list)
	for _, h := range list {
		delete(m.learnt, h.ID)
		m.listed = m.listed || h.ID == m.Self.ID
	}
	for id, h := range m.learnt {
		if now-h.at > learntRetention {
			delete(m.learnt, id)
			continue
		}
		merged = append(merged, h.Info)
	}
	if !m.listed {
		merged = append(merged, m.Self)
	}
	slices.SortFunc(merged, func(a, b host.Info) int { return cmp.Compare(a.ID, b.ID) })
	return merged
}

// Learn notes hosts that another host knows, or that introduce themselves. known are those
// of the last Merge.
func (m *Members) Learn(now time.Duration, known, infos []host.Info) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, info := range infos {
		if info.ID == "" || info.ID == m.Self.ID || slices.ContainsFunc(known, func(h host.Info) bool { return h.ID == info.ID }) {
			continue
		}
		if m.learnt == nil {
			m.learnt = map[host.ID]learntHost{}
		}
		if len(m.learnt) < maxLearnt {
			m.learnt[info.ID] = learntHost{info, now}
			m.version++
		}
	}
}

// maxLearnt bounds the hosts learnt of. It exceeds the hosts of a data centre that start
// between two lists.
const maxLearnt = 4096

// NoteKnownBy notes that a host knows this one.
func (m *Members) NoteKnownBy(id host.ID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.knownBy == nil {
		m.knownBy = map[host.ID]bool{}
	}
	m.knownBy[id] = true
}

// IsKnownBy reports whether a host has confirmed that it knows this one.
func (m *Members) IsKnownBy(id host.ID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.knownBy[id]
}
