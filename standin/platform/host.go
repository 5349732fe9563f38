package platform

import (
	"slices"
	"time"
)

// Host is an entry of the host list. State is "Live" or "Leaving".
type Host struct {
	ID          string
	DataCentre  string
	Region      string
	PeerAddress string
	State       string
}

// HostList is the answer to GET /hosts.
type HostList struct {
	Hosts []Host
}

// datedHosts is the host list from one moment on.
type datedHosts struct {
	since time.Time
	hosts []Host
}

// SetHosts replaces the host list.
func (s *Server) SetHosts(hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hosts = append(s.hosts, datedHosts{since: time.Now(), hosts: slices.Clone(hosts)})
	if len(s.hosts) > maxHostLists {
		s.hosts = slices.Delete(s.hosts, 0, len(s.hosts)-maxHostLists)
	}
}

// maxHostLists bounds the earlier host lists that are kept for the lag.
const maxHostLists = 1000

// Hosts returns the host list as old as the lag in force. Before the first
// list is that old, it is empty.
func (s *Server) Hosts() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-s.faults.HostLag)
	for _, dated := range slices.Backward(s.hosts) {
		if !dated.since.After(asOf) {
			return slices.Clone(dated.hosts)
		}
	}
	return []Host{}
}
