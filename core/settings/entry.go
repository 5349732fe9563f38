package settings

import (
	"net/netip"
	"time"

	"basilmill/core/host"
	"basilmill/core/validate"
)

// Entry is what an entry host reads when it starts behind a platform that
// registers the backend servers in its store.
type Entry struct {
	HostID     host.ID
	DataCentre host.DataCentre
	Region     host.Region
	// Callers is the address for callers.
	Callers netip.AddrPort
	// Readiness is the address on which the balancer asks for readiness.
	Readiness netip.AddrPort
	// Operators is the address for metrics.
	Operators netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Orders is the address that takes promotion orders.
	Orders netip.AddrPort
	// GraceTime is the time from SIGTERM until the process is killed.
	GraceTime time.Duration
	// ConnectionLimit bounds the connections of callers.
	ConnectionLimit int
}

// Ranges of an entry host's settings.
var (
	GraceTimeRange = validate.Range[time.Duration]{Default: 6 * time.Second, Min: time.Second, Max: 10 * time.Minute}
	CallersRange   = validate.Range[int]{Default: 4000, Min: 1, Max: 1_000_000}
)

// WithDefaults returns the settings with every parameter that is zero and has
// a default set to it.
func (e Entry) WithDefaults() Entry {
	GraceTimeRange.SetDefault(&e.GraceTime)
	CallersRange.SetDefault(&e.ConnectionLimit)
	return e
}

// Validate returns all faults of the settings.
func (e Entry) Validate() validate.Faults {
	var faults validate.Faults
	require := func(path validate.Path, present bool) {
		if !present {
			faults = append(faults, validate.Fault{Path: path, Problem: validate.Missing{}})
		}
	}
	require("HostID", e.HostID != "")
	require("DataCentre", e.DataCentre != "")
	require("Callers", e.Callers.IsValid())
	require("Readiness", e.Readiness.IsValid())
	require("Store", e.Store.IsValid())
	require("Orders", e.Orders.IsValid())
	faults = append(faults, GraceTimeRange.Check("GraceTime", e.GraceTime)...)
	return append(faults, CallersRange.Check("ConnectionLimit", e.ConnectionLimit)...)
}
