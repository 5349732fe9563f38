package failover

import (
	"time"

	"basilmill/core/group"
	"basilmill/core/host"
)

// Config holds the identity and the settings of a Machine. Settings that are
// zero take their defaults.
type Config struct {
	Group      group.ID
	Host       host.ID
	DataCentre host.DataCentre

	// ProbeInterval is the time between probes of a server that answers.
	ProbeInterval time.Duration
	// FastProbeInterval is the time between probes of a server in doubt.
	FastProbeInterval time.Duration
	// ProbeTimeout bounds the time that a probe may occupy a connection.
	ProbeTimeout time.Duration
	// MinLateThreshold and MaxLateThreshold bound the adaptive timeout of probes.
	MinLateThreshold, MaxLateThreshold time.Duration
	// AssumedRoundTrip stands in for the measured one before the first answer.
	AssumedRoundTrip time.Duration
	// SpikeFactor is the multiple of the usual round trip for which each
	// counted probe must have been unanswered.
	SpikeFactor int
	// MinUnansweredProbes is how many probes must be unanswered in a row.
	MinUnansweredProbes int
	// UnresponsiveThreshold is the least age of the first unanswered probe.
	UnresponsiveThreshold time.Duration
	// MinRefusals refused probes over MinRefusalTime count as silence.
	MinRefusals      int
	RefusalThreshold time.Duration

	// MinHungConnections connections that the server's host accepted and the server did
	// not answer, over at least HangTime, count as silence: the process hangs.
	MinHungConnections int
	HangThreshold      time.Duration

	// StaggerDelay delays the decision of each watcher after that of the watcher
	// ranked before it, so that normally one acts.
	StaggerDelay time.Duration
	// ResumeDelay is the time after which another watcher takes up a change
	// that its decider has not completed, for each rank.
	ResumeDelay time.Duration
	// ObservationTTL is how long an observer's answer counts.
	ObservationTTL time.Duration
	// ObserveTimeout is how long an observer may take for its answer.
	ObserveTimeout time.Duration
	// RetryBackoff is the time between attempts of the same command or read;
	// it doubles up to MaxRetryBackoff.
	RetryBackoff, MaxRetryBackoff time.Duration
	// CommandTimeout and PlatformTimeout end the wait for an answer that the
	// adapter failed to deliver.
	CommandTimeout, PlatformTimeout time.Duration
	// StallThreshold is how long a reachable replica may lack entries of the
	// primary's log without any progress before it counts as not fed.
	StallThreshold time.Duration
	// MaxSuccessorLag is the number of bytes by which a better replica must be ahead
	// of the successor to replace it.
	MaxSuccessorLag group.Offset
	// MaxQuiesceLag is the largest lag of the successor at which a leaving
	// primary is told to refuse writes.
	MaxQuiesceLag group.Offset
}

// Defaults of Config.
const (
	DefaultProbeInterval = 150 * time.Millisecond
	// Eight probes are sent within 200 ms after the first late one.
	DefaultFastProbeInterval = 20 * time.Millisecond
	DefaultProbeTimeout      = 3 * time.Second
	// Below 40 ms, pauses of a loaded host would start bursts all the time.
	DefaultMinLateThreshold = 40 * time.Millisecond
	DefaultMaxLateThreshold = time.Second
	DefaultAssumedRoundTrip = 50 * time.Millisecond
	// The requirement is to tolerate delays of ten times the usual.
	DefaultSpikeFactor = 10
	// At 20% loss in each direction 36% of the probes fail; two observers in
	// agreement need 16 failures in a row, about one in 13 million.
	DefaultMinUnansweredProbes   = 8
	DefaultUnresponsiveThreshold = 300 * time.Millisecond
	DefaultMinRefusals           = 3
	DefaultRefusalThreshold      = 100 * time.Millisecond
	// At 20% loss in each direction 59% of the pings fail after the connection
	// was accepted or before; 16 in a row on two observers are one in 20 million.
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
