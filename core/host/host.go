// Package host identifies the hosts that run basilmill and their location.
package host

import "net/netip"

// ID names a host. A replacement host has a new ID.
type ID string

// DataCentre names a data centre.
type DataCentre string

// Region names a region, a set of data centres.
type Region string

// State is a host's state in the platform's host list.
type State int

// States of a host.
const (
	Live State = iota
	Leaving
)

// String returns "Live" or "Leaving".
func (s State) String() string {
	if s == Leaving {
		return "Leaving"
	}
	return "Live"
}

// Info describes a host.
type Info struct {
	ID         ID
	DataCentre DataCentre
	Region     Region
	// PeerAddress is where the host serves requests of other hosts.
	PeerAddress netip.AddrPort
	State       State
}
