// Package host defines the identity, the location and the state of the hosts
// that run basilmill.
package host

import "net/netip"

// ID identifies a host. A host that replaces another one has a new ID.
type ID string

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a region, which is a set of data centres.
type Region string

// State is a host's state in the platform's host list.
type State int

// States of a host.
const (
	// Live means that the host may be given work.
	Live State = iota
	// Leaving means that the host is shutting down and gets no new work.
	Leaving
)

// String returns "Live" or "Leaving".
func (s State) String() string {
	if s == Leaving {
		return "Leaving"
	}
	return "Live"
}

// Info is the identity, location and peer address of a host.
type Info struct {
	ID         ID
	DataCentre DataCentre
	Region     Region
	// PeerAddress is the address on which the host accepts requests from
	// other hosts.
	PeerAddress netip.AddrPort
	State       State
}
