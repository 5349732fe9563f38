// Package settings defines the settings of a serve process, with their
// defaults and ranges.
package settings

import (
	"cmp"
	"log/slog"
	"net/netip"
	"time"

	"basilmill/core/host"
	"basilmill/core/validate"
)

// Settings is what a serve process reads when it starts.
type Settings struct {
	// HostID names the host. A replacement host has a new one.
	HostID     host.ID
	DataCentre host.DataCentre
	Region     host.Region
	// Listen is the address for callers. Port 0 selects a free port, also in
	// the other listen addresses.
	Listen netip.AddrPort
	// PeerListen is the address for the other hosts.
	PeerListen netip.AddrPort
	// OperatorListen is the address for metrics, health and status.
	OperatorListen netip.AddrPort
	// Platform is the address of the platform's object API.
	Platform netip.AddrPort
	// Peers are peer addresses of other hosts. They are asked for the
	// configuration when the host starts while the platform is unavailable.
	Peers []netip.AddrPort
	// Backend holds the credentials for the backend servers.
	Backend Backend
	// TLS is used towards callers. Without files, callers connect without TLS.
	TLS TLS
	// ProbeInterval is the time between two status queries of a watcher.
	ProbeInterval time.Duration
	// ConfirmationTimeout bounds the wait for the successor's evidence when
	// the client account states no shorter one.
	ConfirmationTimeout time.Duration
	// DrainTime bounds a graceful shutdown.
	DrainTime time.Duration
	// ConnectionLimit bounds the connections to a backend server when the
	// group's record states no limit.
	ConnectionLimit int
	Log             Log
}

// Backend holds the credentials for the backend servers.
type Backend struct {
	User     string
	Password string
}

// DefaultBackendUser is the role of the host's connections to backend servers.
const DefaultBackendUser = "basilmill"

// TLS names the files with the certificate chain and the key in PEM format.
type TLS struct {
	Certificate string
	Key         string
}

// Log selects the log's lowest level and its format.
type Log struct {
	Level  slog.Level
	Format LogFormat
}

// LogFormat is the format of log lines.
type LogFormat int

// Formats of log lines.
const (
	Text LogFormat = iota
	JSON
)

// Defaults and ranges. The probe interval is 150 ms at today's sizes and 1.5 s
// at the two-year size.
var (
	ProbeIntervalRange       = validate.Range[time.Duration]{Default: 150 * time.Millisecond, Min: 10 * time.Millisecond, Max: 10 * time.Second}
	ConfirmationTimeoutRange = validate.Range[time.Duration]{Default: 5 * time.Second, Min: 100 * time.Millisecond, Max: time.Minute}
	DrainTimeRange           = validate.Range[time.Duration]{Default: 30 * time.Second, Min: time.Second, Max: 10 * time.Minute}
	ConnectionLimitRange     = validate.Range[int]{Default: 16, Min: 1, Max: 10_000}
)

// WithDefaults returns the settings with every parameter that is zero and has
// a default set to it.
func (s Settings) WithDefaults() Settings {
	ProbeIntervalRange.SetDefault(&s.ProbeInterval)
	ConfirmationTimeoutRange.SetDefault(&s.ConfirmationTimeout)
	DrainTimeRange.SetDefault(&s.DrainTime)
	ConnectionLimitRange.SetDefault(&s.ConnectionLimit)
	s.Backend.User = cmp.Or(s.Backend.User, DefaultBackendUser)
	return s
}

// Validate returns all faults of the settings.
func (s Settings) Validate() validate.Faults {
	var faults validate.Faults
	require := func(path validate.Path, present bool) {
		if !present {
			faults = append(faults, validate.Fault{Path: path, Problem: validate.Missing{}})
		}
	}
	require("HostID", s.HostID != "")
	require("DataCentre", s.DataCentre != "")
	require("Region", s.Region != "")
	for _, address := range s.addresses() {
		require(address.path, address.value.IsValid())
	}
	for i, address := range s.Peers {
		require(validate.Path("Peers").Index(i), address.IsValid() && address.Port() != 0)
	}
	require("TLS.Certificate", s.TLS.Certificate != "" || s.TLS.Key == "")
	require("TLS.Key", s.TLS.Key != "" || s.TLS.Certificate == "")
	faults = append(faults, s.validateAddresses()...)
	faults = append(faults, ProbeIntervalRange.Check("ProbeInterval", s.ProbeInterval)...)
	faults = append(faults, ConfirmationTimeoutRange.Check("ConfirmationTimeout", s.ConfirmationTimeout)...)
	faults = append(faults, DrainTimeRange.Check("DrainTime", s.DrainTime)...)
	return append(faults, ConnectionLimitRange.Check("ConnectionLimit", s.ConnectionLimit)...)
}

type namedAddress struct {
	path    validate.Path
	value   netip.AddrPort
	listens bool
}

func (s Settings) addresses() []namedAddress {
	return []namedAddress{
		{"Listen", s.Listen, true},
		{"PeerListen", s.PeerListen, true},
		{"OperatorListen", s.OperatorListen, true},
		{"Platform", s.Platform, false},
	}
}

func (s Settings) validateAddresses() validate.Faults {
	var faults validate.Faults
	addresses := s.addresses()
	for i, address := range addresses {
		for _, earlier := range addresses[:i] {
			same := address.value.IsValid() && address.value.Port() != 0 && address.value == earlier.value
			if same || address.listens && overlap(earlier.value, address.value) {
				faults = append(faults, validate.Fault{Path: address.path, Problem: validate.Duplicate{Of: earlier.path}})
				break
			}
		}
	}
	if s.Platform.IsValid() && s.Platform.Port() == 0 {
		faults = append(faults, validate.Fault{Path: "Platform", Problem: validate.Malformed{
			Value: s.Platform.String(), Reason: "the port must not be 0",
		}})
	}
	return faults
}

// overlap reports whether two addresses cannot be listened on at once. An
// unspecified IP address covers all.
func overlap(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// String returns the name of the format in settings.
func (f LogFormat) String() string {
	if f == JSON {
		return "JSON"
	}
	return "Text"
}
