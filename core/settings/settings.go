// Package settings defines the settings of serve processes and of entry hosts,
// with their defaults, ranges and validation.
package settings

import (
	"cmp"
	"log/slog"
	"net/netip"
	"time"

	"basilmill/core/host"
	"basilmill/core/validate"
)

// Settings holds the settings that a serve process reads when it starts.
type Settings struct {
	// HostID identifies the host. A host that replaces another one has a new
	// ID.
	HostID     host.ID
	DataCentre host.DataCentre
	Region     host.Region
	// Listen is the listen address for callers. Here and in the other listen
	// addresses port 0 selects a free port.
	Listen netip.AddrPort
	// PeerListen is the listen address for the other hosts.
	PeerListen netip.AddrPort
	// OperatorListen is the listen address for metrics, health and status.
	OperatorListen netip.AddrPort
	// Platform is the address of the platform's object API.
	Platform netip.AddrPort
	// Peers are peer addresses of other hosts. The host requests the
	// configuration from them if the platform is unavailable when it starts.
	Peers []netip.AddrPort
	// Backend holds the credentials for the backend servers.
	Backend Backend
	// TLS holds the certificate for connections of callers. If it is empty,
	// callers connect without TLS.
	TLS TLS
	// ProbeInterval is the time between two status queries of a coordinator
	// to a backend server.
	ProbeInterval time.Duration
	// ConfirmationTimeout bounds the time that a write waits for the
	// confirmation that the successor has received it, unless the client
	// account has a shorter timeout.
	ConfirmationTimeout time.Duration
	// DrainTime bounds the duration of a graceful shutdown.
	DrainTime time.Duration
	// ConnectionLimit bounds the number of connections to a backend server if
	// the record of its database group has no limit.
	ConnectionLimit int
	Log             Log
}

// Backend holds the credentials for the backend servers.
type Backend struct {
	User     string
	Password string
}

// DefaultBackendUser is the default of Backend.User, the role with which the host
// connects to backend servers.
const DefaultBackendUser = "basilmill"

// TLS holds the paths of the files with the certificate chain and the private key,
// both in PEM format.
type TLS struct {
	Certificate string
	Key         string
}

// Log selects the minimum level of log records and their format.
type Log struct {
	Level  slog.Level
	Format LogFormat
}

// LogFormat is the format of log records.
type LogFormat int

// Formats of log records.
const (
	Text LogFormat = iota
	JSON
)

// Defaults and ranges of the settings of a serve process. A probe interval of
// 150 ms suits deployments of today's size; the size expected in two years
// needs 1.5 s.
var (
	ProbeIntervalRange       = validate.Range[time.Duration]{Default: 150 * time.Millisecond, Min: 10 * time.Millisecond, Max: 10 * time.Second}
	ConfirmationTimeoutRange = validate.Range[time.Duration]{Default: 5 * time.Second, Min: 100 * time.Millisecond, Max: time.Minute}
	DrainTimeRange           = validate.Range[time.Duration]{Default: 30 * time.Second, Min: time.Second, Max: 10 * time.Minute}
	ConnectionLimitRange     = validate.Range[int]{Default: 16, Min: 1, Max: 10_000}
)

// WithDefaults returns the settings with every parameter that is zero and has a
// default set to its default.
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

// namedAddress is an address with its path in the settings.
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

// validateAddresses reports addresses that conflict with an earlier one and a
// platform address with port 0.
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

// overlap reports whether a process cannot listen on both addresses at once. An
// unspecified IP address overlaps with every address on the same port.
func overlap(a, b netip.AddrPort) bool {
	if !a.IsValid() || !b.IsValid() || a.Port() != b.Port() || a.Port() == 0 {
		return false
	}
	return a.Addr() == b.Addr() || a.Addr().IsUnspecified() || b.Addr().IsUnspecified()
}

// String returns the name of the format in the settings.
func (f LogFormat) String() string {
	if f == JSON {
		return "JSON"
	}
	return "Text"
}
