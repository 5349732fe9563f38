package failover

import "time"

// detector is the failure detector for one server. It works on the answers to
// probes.
//
// A probe is late once it is older than an adaptive threshold, but it is not
// given up then: a late answer still counts. While probes are late, further
// ones are sent at a short interval. The server counts as unresponsive once
// several probes have each been unanswered for a multiple of the mean round
// trip, so that neither lost packets nor a sudden tenfold latency look like the
// loss of the server.
type detector struct {
	config *Config
	// mean and deviation are those of the round trip, smoothed as in RFC 6298.
	mean, deviation time.Duration
	// unansweredProbes holds the send times of the first probes since the last
	// answer, at most MinUnansweredProbes.
	unansweredProbes []time.Time
	lastProbeAt      time.Time
	// probeRequested makes the next probe due after FastProbeInterval.
	probeRequested bool
	// refusals counts refused probes since the last answer.
	refusals       int
	firstRefusalAt time.Time
	// lastAnswerAt is when the last answer arrived.
	lastAnswerAt time.Time
	// answeredProbeSentAt is when the latest answered probe was sent.
	answeredProbeSentAt time.Time
	// answeredPingSentAt is when the latest ping that the process answered was
	// sent.
	answeredPingSentAt time.Time
	// hungConnections counts the pings since the process's last answer on which
	// the server's host accepted the connection and the process did not answer.
	// hungSince is when the first of them was sent.
	hungConnections int
	hungSince       time.Time
}

func (d *detector) hasAnswered() bool { return !d.lastAnswerAt.IsZero() }

// recordAnswer records an answer to the probe sent at the given time. Any
// answer, even a late one, clears all recorded failures.
func (d *detector) recordAnswer(now, sentAt time.Time) {
	d.updateRoundTrip(now.Sub(sentAt))
	d.reset()
	d.hungConnections = 0
	d.lastAnswerAt = now
	d.answeredProbeSentAt = later(d.answeredProbeSentAt, sentAt)
}

// recordPing records that a ping sent at the given time reached the server. The
// link and the server's host work, so failed probes prove nothing.
func (d *detector) recordPing(sentAt time.Time, answered bool) {
	d.reset()
	d.probeRequested = true // the status is still unknown
	if answered {
		d.hungConnections = 0
		d.answeredPingSentAt = later(d.answeredPingSentAt, sentAt)
		return
	}
	if d.hungConnections == 0 {
		d.hungSince = sentAt
	}
	d.hungConnections++
}

// reset discards the failed probes.
func (d *detector) reset() {
	d.unansweredProbes = d.unansweredProbes[:0]
	d.refusals = 0
}

func (d *detector) updateRoundTrip(sample time.Duration) {
	if d.mean == 0 {
		d.mean, d.deviation = sample, sample/2
		return
	}
	d.deviation += ((sample - d.mean).Abs() - d.deviation) / 4
	d.mean += (sample - d.mean) / 8
}

func (d *detector) recordProbe(now time.Time) {
	d.lastProbeAt = now
	d.probeRequested = false
	if len(d.unansweredProbes) < d.config.MinUnansweredProbes {
		d.unansweredProbes = append(d.unansweredProbes, now)
	}
}

func (d *detector) recordRefusal(now time.Time) {
	if d.refusals == 0 {
		d.firstRefusalAt = now
	}
	d.refusals++
}

// lateThreshold is the age from which an unanswered probe is late.
func (d *detector) lateThreshold() time.Duration {
	if d.mean == 0 {
		return 2 * d.config.AssumedRoundTrip
	}
	return min(max(d.mean+4*d.deviation, d.config.MinLateThreshold), d.config.MaxLateThreshold)
}

// unansweredThreshold is the age from which an unanswered probe counts towards
// the server being unresponsive.
func (d *detector) unansweredThreshold() time.Duration {
	mean := d.mean
	if mean == 0 {
		mean = d.config.AssumedRoundTrip
	}
	return time.Duration(d.config.SpikeFactor) * mean
}

// lateProbes returns how many probes are late and when the next one becomes
// late.
func (d *detector) lateProbes(now time.Time) (n int, next time.Time) {
	for _, sentAt := range d.unansweredProbes {
		if due := sentAt.Add(d.lateThreshold()); now.Before(due) {
			return n, due
		}
		n++
	}
	return n, time.Time{}
}

// unresponsive reports whether the server counts as lost. If it may do so later
// without further probes, the time tells when.
func (d *detector) unresponsive(now time.Time) (unresponsive bool, at time.Time) {
	if d.hungConnections >= d.config.MinHungConnections {
		at = d.hungSince.Add(d.config.HangThreshold)
		return !now.Before(at), at
	}
	if d.refusals >= d.config.MinRefusals {
		at = d.firstRefusalAt.Add(d.config.RefusalThreshold)
		return !now.Before(at), at
	}
	if len(d.unansweredProbes) < d.config.MinUnansweredProbes {
		return false, time.Time{}
	}
	at = later(d.unansweredProbes[len(d.unansweredProbes)-1].Add(d.unansweredThreshold()), d.unansweredProbes[0].Add(d.config.UnresponsiveThreshold))
	return !now.Before(at), at
}

// nextProbe returns when the next probe is due.
func (d *detector) nextProbe(now time.Time) time.Time {
	if d.lastProbeAt.IsZero() {
		return now
	}
	if d.probeRequested {
		return d.lastProbeAt.Add(d.config.FastProbeInterval)
	}
	n, next := d.lateProbes(now)
	unresponsive, _ := d.unresponsive(now)
	if (n > 0 || d.refusals > 0) && !unresponsive {
		return d.lastProbeAt.Add(d.config.FastProbeInterval)
	}
	regular := d.lastProbeAt.Add(d.config.ProbeInterval)
	if next.IsZero() || unresponsive {
		return regular
	}
	return earlier(next, regular)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earlier returns the earlier of two times; zero means never.
func earlier(a, b time.Time) time.Time {
	switch {
	case a.IsZero():
		return b
	case b.IsZero() || a.Before(b):
		return a
	default:
		return b
	}
}
