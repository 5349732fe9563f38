package failover

import (
	"time"

	"basilmill/core/group"
	"basilmill/core/host"
)

// Config holds the identity and the settings of a Machine. Zero settings take
// their defaults.
type Config struct {
	Group      group.ID
	Host       host.ID
	DataCentre host.DataCentre

	// ProbeInterval is the time between probes of a server that answers.
	ProbeInterval time.Duration
	// FastProbeInterval is the time between probes of a server that has late or
	// refused probes.
	FastProbeInterval time.Duration
	// ProbeTimeout bounds the time for which a probe may occupy a connection.
	ProbeTimeout time.Duration
	// MinLateThreshold and MaxLateThreshold bound the adaptive age from which
	// an unanswered probe counts as late.
	MinLateThreshold, MaxLateThreshold time.Duration
	// AssumedRoundTrip is used as the round-trip time until the first answer.
	AssumedRoundTrip time.Duration
	// SpikeFactor is the multiple of the mean round trip after which an
	// unanswered probe counts towards the server being unresponsive. Latency
	// spikes up to this factor are tolerated.
	SpikeFactor int
	// MinUnansweredProbes is the number of consecutive unanswered probes from
	// which a server counts as unresponsive.
	MinUnansweredProbes int
	// UnresponsiveThreshold is the age that the first unanswered probe must
	// also have reached for that.
	UnresponsiveThreshold time.Duration
	// MinRefusals refused probes, the first of them RefusalThreshold ago, also
	// make a server unresponsive.
	MinRefusals      int
	RefusalThreshold time.Duration

	// MinHungConnections connections that the server's host accepted and the
	// server process did not answer, the first of them HangThreshold ago, also
	// make a server unresponsive: its process hangs.
	MinHungConnections int
	HangThreshold      time.Duration

	// StaggerDelay is the delay of each coordinator's decision after that of
	// the coordinator ranked before it, so that normally only one acts.
	StaggerDelay time.Duration
	// ResumeDelay, multiplied by rank + 1, is the delay after which another
	// coordinator continues a change that the one that recorded it has not
	// completed.
	ResumeDelay time.Duration
	// ObservationTTL is how long an observer's answer is valid.
	ObservationTTL time.Duration
	// ObserveTimeout bounds the wait for an observer's answer.
	ObserveTimeout time.Duration
	// RetryBackoff is the pause before a command or a read is retried. It
	// doubles with each attempt up to MaxRetryBackoff.
	RetryBackoff, MaxRetryBackoff time.Duration
	// CommandTimeout and PlatformTimeout bound the wait for the outcome of a
	// command, or of an update or read, in case the caller never delivers one.
	CommandTimeout, PlatformTimeout time.Duration
	// StallThreshold is how long a reachable replica may be behind the
	// primary's log without any progress before its replication counts as
	// stalled.
	StallThreshold time.Duration
	// MaxSuccessorLag is the lag, in bytes behind the most advanced replica,
	// above which the successor is replaced by that replica.
	MaxSuccessorLag group.Offset
	// MaxQuiesceLag is the greatest lag of the successor, in bytes, at which a
	// leaving primary is told to refuse writes.
	MaxQuiesceLag group.Offset
}

// Defaults of Config.
const (
	DefaultProbeInterval = 150 * time.Millisecond
	// At 20 ms, eight probes are sent within 200 ms of the first late one.
	DefaultFastProbeInterval = 20 * time.Millisecond
	DefaultProbeTimeout      = 3 * time.Second
	// Below 40 ms, scheduling pauses of a loaded host would constantly make
	// probes late.
	DefaultMinLateThreshold = 40 * time.Millisecond
	DefaultMaxLateThreshold = time.Second
	DefaultAssumedRoundTrip = 50 * time.Millisecond
	// Sudden tenfold latency must not look like the loss of a server.
	DefaultSpikeFactor = 10
	// At 20% packet loss in each direction, 36% of the probes fail. A false
	// detection by two hosts needs 16 failures in a row, about 1 in 13 million.
	DefaultMinUnansweredProbes   = 8
	DefaultUnresponsiveThreshold = 300 * time.Millisecond
	DefaultMinRefusals           = 3
	DefaultRefusalThreshold      = 100 * time.Millisecond
	// At 20% packet loss in each direction, 59% of the pings fail before or
	// after the connection is accepted. 16 in a row on two hosts are 1 in 20
	// million.
	DefaultMinHungConnections = 16
	DefaultHangThreshold      = time.Second
	DefaultStaggerDelay       = 40 * time.Millisecond
	DefaultResumeDelay        = 150 * time.Millisecond
	DefaultObservationTTL     = 2 * time.Second
	DefaultObserveTimeout     = 3 * time.Second
	DefaultRetryBackoff       = 100 * time.Millisecond
	DefaultMaxRetryBackoff    = 2 * time.Second
	DefaultCommandTimeout     = 2 * time.Second
	DefaultPlatformTimeout    = time.Second
	DefaultStallThreshold     = time.Second
	DefaultMaxSuccessorLag    = group.Offset(16 << 20)
	DefaultMaxQuiesceLag      = group.Offset(1 << 20)
)

func (c Config) withDefaults() Config {
	setDefault(&c.ProbeInterval, DefaultProbeInterval)
	setDefault(&c.FastProbeInterval, DefaultFastProbeInterval)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.MinLateThreshold, DefaultMinLateThreshold)
	setDefault(&c.MaxLateThreshold, DefaultMaxLateThreshold)
	setDefault(&c.AssumedRoundTrip, DefaultAssumedRoundTrip)
	setDefault(&c.SpikeFactor, DefaultSpikeFactor)
	setDefault(&c.MinUnansweredProbes, DefaultMinUnansweredProbes)
	setDefault(&c.UnresponsiveThreshold, DefaultUnresponsiveThreshold)
	setDefault(&c.MinRefusals, DefaultMinRefusals)
	setDefault(&c.RefusalThreshold, DefaultRefusalThreshold)
	setDefault(&c.MinHungConnections, DefaultMinHungConnections)
	setDefault(&c.HangThreshold, DefaultHangThreshold)
	setDefault(&c.StaggerDelay, DefaultStaggerDelay)
	setDefault(&c.ResumeDelay, DefaultResumeDelay)
	setDefault(&c.ObservationTTL, DefaultObservationTTL)
	setDefault(&c.ObserveTimeout, DefaultObserveTimeout)
	setDefault(&c.RetryBackoff, DefaultRetryBackoff)
	setDefault(&c.MaxRetryBackoff, DefaultMaxRetryBackoff)
	setDefault(&c.CommandTimeout, DefaultCommandTimeout)
	setDefault(&c.PlatformTimeout, DefaultPlatformTimeout)
	setDefault(&c.StallThreshold, DefaultStallThreshold)
	setDefault(&c.MaxSuccessorLag, DefaultMaxSuccessorLag)
	setDefault(&c.MaxQuiesceLag, DefaultMaxQuiesceLag)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
