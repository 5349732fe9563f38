package settings

import (
	"net/netip"
	"time"

	"basilmill/core/budget"
	"basilmill/core/host"
	"basilmill/core/validate"
)

// Entry holds the settings of an entry host: a host on a platform that registers
// the backend servers in its store.
type Entry struct {
	HostID     host.ID
	DataCentre host.DataCentre
	Region     host.Region
	// Callers is the listen address for callers.
	Callers netip.AddrPort
	// Readiness is the listen address for the load balancer's readiness checks.
	Readiness netip.AddrPort
	// Operators is the listen address for metrics.
	Operators netip.AddrPort
	// Store is the address of the platform's store.
	Store netip.AddrPort
	// Orders is the address to which promotion orders are sent.
	Orders netip.AddrPort
	// GraceTime is the time from SIGTERM until the process is killed.
	GraceTime time.Duration
	// ConfigTime is the time after its confirmation within which a
	// configuration must be in force. LeaveTime is the time after which a
	// leaving backend server must not get new work. Both are guaranteed only
	// for hosts that have had no disturbance for CalmTime.
	ConfigTime, LeaveTime, CalmTime time.Duration
	// RevokeTime is the time after a change of the configuration within which the sessions
	// of a removed key must be closed.
	RevokeTime time.Duration
	// ConnectionLimit bounds the number of connections of callers.
	ConnectionLimit int
	// Bootstrap is set if the host is one of those with which the deployment started.
	Bootstrap bool
	// QuotaWindow, QuotaOverage and QuotaSlack state what the operations of a client
	// account that reach a backend server keep to in every window: at most
	// (rate × window + burst) × (1 + overage) + slack.
	QuotaWindow              time.Duration
	QuotaOverage, QuotaSlack float64
	// HostConnectionLimit and ReadinessConnectionLimit bound the connections to the
	// listeners for operators and other hosts, and for the readiness checks.
	HostConnectionLimit, ReadinessConnectionLimit int
	// MemoryLimit is the memory of the machine that the process may use, in bytes. Zero
	// means that it is not bounded.
	MemoryLimit int64
}

// Defaults and ranges of an entry host's settings.
var (
	GraceTimeRange             = validate.Range[time.Duration]{Default: 6 * time.Second, Min: time.Second, Max: 10 * time.Minute}
	ConfigTimeRange            = validate.Range[time.Duration]{Default: 3 * time.Second, Min: time.Second, Max: 10 * time.Minute}
	LeaveTimeRange             = validate.Range[time.Duration]{Default: 7 * time.Second, Min: time.Second, Max: 10 * time.Minute}
	RevokeTimeRange            = validate.Range[time.Duration]{Default: 5 * time.Second, Min: time.Second, Max: 10 * time.Minute}
	CalmTimeRange              = validate.Range[time.Duration]{Default: 0, Min: 0, Max: 10 * time.Minute}
	QuotaWindowRange           = validate.Range[time.Duration]{Default: 5 * time.Second, Min: 100 * time.Millisecond, Max: 10 * time.Minute}
	QuotaOverageRange          = validate.Range[float64]{Default: 0.1, Min: 0, Max: 10}
	QuotaSlackRange            = validate.Range[float64]{Default: 20, Min: 0, Max: 1_000_000}
	CallerConnectionLimitRange = validate.Range[int]{Default: 4000, Min: 1, Max: 1_000_000}
	HostConnectionLimitRange   = validate.Range[int]{Default: 440, Min: 1, Max: 1_000_000}
	// ReadinessConnectionLimitRange allows some load balancers, with two connections each.
	ReadinessConnectionLimitRange = validate.Range[int]{Default: 32, Min: 1, Max: 1_000_000}
	// MemoryLimitRange starts above what an idle process uses.
	MemoryLimitRange = validate.Range[int64]{Default: 0, Min: 48 << 20, Max: 1 << 50}
)

const (
	// reservedDescriptors are not used for connections.
	reservedDescriptors = 200
	// outgoingConnections are the descriptors for connections to backend servers, to the
	// store and to other hosts.
	outgoingConnections = 188
)

// LimitConnections sets the limits of connections from the number of descriptors that the
// process may have. Callers have at most four fifths, and what the others leave.
func (e *Entry) LimitConnections(descriptors int) {
	available := max(descriptors-reservedDescriptors, descriptors/4, 8)
	e.HostConnectionLimit = max(min(HostConnectionLimitRange.Default, available/9), 1)
	e.ReadinessConnectionLimit = max(min(ReadinessConnectionLimitRange.Default, available/20), 1)
	rest := available - e.HostConnectionLimit - e.ReadinessConnectionLimit - min(outgoingConnections, available/8)
	e.ConnectionLimit = max(min(descriptors*4/5, rest), 1)
}

const (
	// baseMemory is what an idle process uses, with its program.
	baseMemory = 28 << 20
	// sessionMemory is what an idle session uses, 10 KiB by the measured 60 MB of a host
	// with 3,400 sessions, and the state that it has in any case.
	sessionMemory = 10<<10 + budget.FreeState
	// minSocketBuffer lets a client send and receive 2 MB/s at a round trip of 6 ms.
	minSocketBuffer = 8 << 10
	maxSocketBuffer = 64 << 10
)

// ClientMemory returns the size of the budget for what clients make the process hold, in
// bytes, zero without a limit. The collector needs as much again, and the other two of
// four parts cover buffers that are reused and those of the kernel.
func (e Entry) ClientMemory() int64 {
	if e.MemoryLimit == 0 {
		return 0
	}
	return max(e.MemoryLimit-baseMemory-int64(e.ConnectionLimit)*sessionMemory, e.MemoryLimit/4) / 4
}

// RuntimeMemory returns the memory limit of the Go runtime, zero without one. The rest of
// the machine's memory is for the program, which the runtime does not count, and for the
// buffers of the kernel.
func (e Entry) RuntimeMemory() int64 { return e.MemoryLimit * 5 / 8 }

// SocketBuffer returns the size of the receive and send buffers of each of a number of
// connections, zero for the default of the operating system.
func (e Entry) SocketBuffer(connections int) int {
	if e.MemoryLimit == 0 {
		return 0
	}
	return int(min(max(e.MemoryLimit/32/int64(connections), minSocketBuffer), maxSocketBuffer))
}

// WithDefaults returns the settings with every parameter that is zero and has a
// default set to its default, except QuotaOverage and QuotaSlack, which may be zero.
func (e Entry) WithDefaults() Entry {
	GraceTimeRange.SetDefault(&e.GraceTime)
	ConfigTimeRange.SetDefault(&e.ConfigTime)
	LeaveTimeRange.SetDefault(&e.LeaveTime)
	RevokeTimeRange.SetDefault(&e.RevokeTime)
	QuotaWindowRange.SetDefault(&e.QuotaWindow)
	CallerConnectionLimitRange.SetDefault(&e.ConnectionLimit)
	HostConnectionLimitRange.SetDefault(&e.HostConnectionLimit)
	ReadinessConnectionLimitRange.SetDefault(&e.ReadinessConnectionLimit)
	return e
}

// ConfigTTL returns how long the host's view of the configuration counts as
// fresh. It is at least CalmTime: a change may be confirmed when a disturbance
// starts, and ConfigTime then runs out while the host has not been undisturbed
// for CalmTime again.
func (e Entry) ConfigTTL() time.Duration { return max(e.CalmTime, e.ConfigTime) }

// ServersTTL returns how long the host's view of the backend servers counts as
// fresh. It is at least CalmTime for the same reason as ConfigTTL.
func (e Entry) ServersTTL() time.Duration { return max(e.CalmTime, e.LeaveTime) }

// MaxViewDelay returns how late the host may learn that a backend server is leaving and
// still be bound by LeaveTime. A host that learns later has not been undisturbed for
// CalmTime when LeaveTime ends.
func (e Entry) MaxViewDelay() time.Duration { return max(e.LeaveTime-e.CalmTime, 0) }

// RevocationDelay returns how long after the host has learnt of the removal of a key an open
// transaction may go on: what is left of RevokeTime when the host learns of the change at the
// end of ConfigTime.
func (e Entry) RevocationDelay() time.Duration { return max(e.RevokeTime-e.ConfigTime, 0) }

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
	faults = append(faults, ConfigTimeRange.Check("ConfigTime", e.ConfigTime)...)
	faults = append(faults, LeaveTimeRange.Check("LeaveTime", e.LeaveTime)...)
	faults = append(faults, RevokeTimeRange.Check("RevokeTime", e.RevokeTime)...)
	faults = append(faults, CalmTimeRange.Check("CalmTime", e.CalmTime)...)
	faults = append(faults, QuotaWindowRange.Check("QuotaWindow", e.QuotaWindow)...)
	faults = append(faults, QuotaOverageRange.Check("QuotaOverage", e.QuotaOverage)...)
	faults = append(faults, QuotaSlackRange.Check("QuotaSlack", e.QuotaSlack)...)
	faults = append(faults, HostConnectionLimitRange.Check("HostConnectionLimit", e.HostConnectionLimit)...)
	faults = append(faults, ReadinessConnectionLimitRange.Check("ReadinessConnectionLimit", e.ReadinessConnectionLimit)...)
	if e.MemoryLimit != 0 {
		faults = append(faults, MemoryLimitRange.Check("MemoryLimit", e.MemoryLimit)...)
	}
	return append(faults, CallerConnectionLimitRange.Check("ConnectionLimit", e.ConnectionLimit)...)
}
