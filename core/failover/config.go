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
	// BurstInterval is the time between probes of a server in doubt.
	BurstInterval time.Duration
	// ProbeTimeout bounds the time that a probe may occupy a connection.
	ProbeTimeout time.Duration
	// MinTimeout and MaxTimeout bound the adaptive timeout of probes.
	MinTimeout, MaxTimeout time.Duration
	// AssumedRoundTrip stands in for the measured one before the first answer.
	AssumedRoundTrip time.Duration
	// SpikeFactor is the multiple of the usual round trip for which each
	// counted probe must have been unanswered.
	SpikeFactor int
	// MinProbes is how many probes must be unanswered in a row.
	MinProbes int
	// MinSilence is the least age of the first unanswered probe.
	MinSilence time.Duration
	// MinRefusals refused probes over MinRefusalTime count as silence.
	MinRefusals    int
	MinRefusalTime time.Duration

	// MinHung connections that the server's host accepted and the server did
	// not answer, over at least HangTime, count as silence: the process hangs.
	MinHung  int
	HangTime time.Duration

	// Stagger delays the decision of each watcher after that of the watcher
	// ranked before it, so that normally one acts.
	Stagger time.Duration
	// ResumeDelay is the time after which another watcher takes up a change
	// that its decider has not completed, for each rank.
	ResumeDelay time.Duration
	// VerdictLifetime is how long an observer's answer counts.
	VerdictLifetime time.Duration
	// ObserveTimeout is how long an observer may take for its answer.
	ObserveTimeout time.Duration
	// RetryInterval is the time between attempts of the same command or read;
	// it doubles up to MaxRetryInterval.
	RetryInterval, MaxRetryInterval time.Duration
	// CommandTimeout and PlatformTimeout end the wait for an answer that the
	// adapter failed to deliver.
	CommandTimeout, PlatformTimeout time.Duration
	// StallTime is how long a reachable replica may lack entries of the
	// primary's log without any progress before it counts as not fed.
	StallTime time.Duration
	// LagBound is the number of bytes by which a better replica must be ahead
	// of the successor to replace it.
	LagBound group.Offset
	// PlannedLag is the largest lag of the successor at which a leaving
	// primary is told to refuse writes.
	PlannedLag group.Offset
}

// Defaults of Config.
const (
	DefaultProbeInterval = 150 * time.Millisecond
	// Eight probes are sent within 200 ms after the first late one.
	DefaultBurstInterval = 20 * time.Millisecond
	DefaultProbeTimeout  = 3 * time.Second
	// Below 40 ms, pauses of a loaded host would start bursts all the time.
	DefaultMinTimeout       = 40 * time.Millisecond
	DefaultMaxTimeout       = time.Second
	DefaultAssumedRoundTrip = 50 * time.Millisecond
	// The requirement is to tolerate delays of ten times the usual.
	DefaultSpikeFactor = 10
	// At 20% loss in each direction 36% of the probes fail; two observers in
	// agreement need 16 failures in a row, about one in 13 million.
	DefaultMinProbes      = 8
	DefaultMinSilence     = 300 * time.Millisecond
	DefaultMinRefusals    = 3
	DefaultMinRefusalTime = 100 * time.Millisecond
	// At 20% loss in each direction 59% of the pings fail after the connection
	// was accepted or before; 16 in a row on two observers are one in 20 million.
	DefaultMinHung          = 16
	DefaultHangTime         = time.Second
	DefaultStagger          = 40 * time.Millisecond
	DefaultResumeDelay      = 150 * time.Millisecond
	DefaultVerdictLifetime  = 2 * time.Second
	DefaultObserveTimeout   = 3 * time.Second
	DefaultRetryInterval    = 100 * time.Millisecond
	DefaultMaxRetryInterval = 2 * time.Second
	DefaultCommandTimeout   = 2 * time.Second
	DefaultPlatformTimeout  = time.Second
	DefaultStallTime        = time.Second
	DefaultLagBound         = group.Offset(16 << 20)
	DefaultPlannedLag       = group.Offset(1 << 20)
)

func (c Config) withDefaults() Config {
	setDefault(&c.ProbeInterval, DefaultProbeInterval)
	setDefault(&c.BurstInterval, DefaultBurstInterval)
	setDefault(&c.ProbeTimeout, DefaultProbeTimeout)
	setDefault(&c.MinTimeout, DefaultMinTimeout)
	setDefault(&c.MaxTimeout, DefaultMaxTimeout)
	setDefault(&c.AssumedRoundTrip, DefaultAssumedRoundTrip)
	setDefault(&c.SpikeFactor, DefaultSpikeFactor)
	setDefault(&c.MinProbes, DefaultMinProbes)
	setDefault(&c.MinSilence, DefaultMinSilence)
	setDefault(&c.MinRefusals, DefaultMinRefusals)
	setDefault(&c.MinRefusalTime, DefaultMinRefusalTime)
	setDefault(&c.MinHung, DefaultMinHung)
	setDefault(&c.HangTime, DefaultHangTime)
	setDefault(&c.Stagger, DefaultStagger)
	setDefault(&c.ResumeDelay, DefaultResumeDelay)
	setDefault(&c.VerdictLifetime, DefaultVerdictLifetime)
	setDefault(&c.ObserveTimeout, DefaultObserveTimeout)
	setDefault(&c.RetryInterval, DefaultRetryInterval)
	setDefault(&c.MaxRetryInterval, DefaultMaxRetryInterval)
	setDefault(&c.CommandTimeout, DefaultCommandTimeout)
	setDefault(&c.PlatformTimeout, DefaultPlatformTimeout)
	setDefault(&c.StallTime, DefaultStallTime)
	setDefault(&c.LagBound, DefaultLagBound)
	setDefault(&c.PlannedLag, DefaultPlannedLag)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
