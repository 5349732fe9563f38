package platform

import (
	"slices"
	"time"
)

// Host is an entry of the host list. State is "Live", or "Leaving" for a host that
// is about to stop.
type Host struct {
	ID          string
	DataCentre  string
	Region      string
	PeerAddress string
	State       string
}

// HostList is the body of responses to GET /hosts and of PUT /admin/hosts.
type HostList struct {
	Hosts []Host
}

// hostListVersion is a host list and the time since which it has been in force.
type hostListVersion struct {
	since time.Time
	hosts []Host
}

// SetHosts replaces the host list.
func (s *Server) SetHosts(hosts []Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostLists = append(s.hostLists, hostListVersion{since: time.Now(), hosts: slices.Clone(hosts)})
	if len(s.hostLists) > maxHostLists {
		s.hostLists = slices.Delete(s.hostLists, 0, len(s.hostLists)-maxHostLists)
	}
}

// maxHostLists bounds the number of host lists that are kept for HostLag.
const maxHostLists = 1000

// Hosts returns the host list as it was HostLag ago. It is empty if there was
// none at that time.
func (s *Server) Hosts() []Host {
	s.mu.Lock()
	defer s.mu.Unlock()
	asOf := time.Now().Add(-s.faults.HostLag)
	for _, version := range slices.Backward(s.hostLists) {
		if !version.since.After(asOf) {
			return slices.Clone(version.hosts)
		}
	}
	return []Host{}
}
