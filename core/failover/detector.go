package failover

import "time"

// detector judges one server from the answers to its probes.
//
// Probes never end at the adaptive timeout: they only become late. A late
// probe starts a burst of further probes. The server counts as silent once
// several probes have each been unanswered for a multiple of the usual round
// trip, so that neither lost packets nor a sudden tenfold delay look like the
// loss of the server.
type detector struct {
	config *Config
	// mean and deviation of the round trip, as in RFC 6298.
	mean, deviation time.Duration
	// unanswered holds the times of the first probes sent since the last
	// answer, at most MinProbes.
	unanswered []time.Time
	lastProbe  time.Time
	// immediate asks for a probe before the interval has passed.
	immediate bool
	// refusals counts refused probes since the last answer.
	refusals     int
	firstRefusal time.Time
	// heardAt is the time of the last answer.
	heardAt time.Time
	// answeredProbe is when the latest answered probe was sent.
	answeredProbe time.Time
	// answeredPing is when the latest ping that the process answered was sent.
	answeredPing time.Time
	// hung counts the connections that the host accepted and the process left
	// unanswered since its last answer; hungSince is when the first was sent.
	hung      int
	hungSince time.Time
}

func (d *detector) heard() bool { return !d.heardAt.IsZero() }

// answered records an answer to the probe sent at the given time. Any answer
// ends every doubt, also a late one.
func (d *detector) answered(now, sentAt time.Time) {
	d.measure(now.Sub(sentAt))
	d.reset()
	d.hung = 0
	d.heardAt = now
	d.answeredProbe = later(d.answeredProbe, sentAt)
}

// reached records that a ping sent at the given time reached the server: the
// link and the host work, so that failed probes prove nothing.
func (d *detector) reached(sentAt time.Time, answered bool) {
	d.reset()
	d.immediate = true // the status is still unknown
	if answered {
		d.hung = 0
		d.answeredPing = later(d.answeredPing, sentAt)
		return
	}
	if d.hung == 0 {
		d.hungSince = sentAt
	}
	d.hung++
}

// reset forgets the failed probes.
func (d *detector) reset() {
	d.unanswered = d.unanswered[:0]
	d.refusals = 0
}

func (d *detector) measure(sample time.Duration) {
	if d.mean == 0 {
		d.mean, d.deviation = sample, sample/2
		return
	}
	d.deviation += ((sample - d.mean).Abs() - d.deviation) / 4
	d.mean += (sample - d.mean) / 8
}

func (d *detector) sent(now time.Time) {
	d.lastProbe = now
	d.immediate = false
	if len(d.unanswered) < d.config.MinUnansweredProbes {
		d.unanswered = append(d.unanswered, now)
	}
}

func (d *detector) refused(now time.Time) {
	if d.refusals == 0 {
		d.firstRefusal = now
	}
	d.refusals++
}

// timeout is the age at which an unanswered probe is late.
func (d *detector) timeout() time.Duration {
	if d.mean == 0 {
		return 2 * d.config.AssumedRoundTrip
	}
	return min(max(d.mean+4*d.deviation, d.config.MinLateThreshold), d.config.MaxLateThreshold)
}

// patience is the age at which an unanswered probe counts towards silence.
func (d *detector) patience() time.Duration {
	mean := d.mean
	if mean == 0 {
		mean = d.config.AssumedRoundTrip
	}
	return time.Duration(d.config.SpikeFactor) * mean
}

// late returns how many probes are late and when the next one becomes late.
func (d *detector) late(now time.Time) (n int, next time.Time) {
	for _, sentAt := range d.unanswered {
		if due := sentAt.Add(d.timeout()); now.Before(due) {
			return n, due
		}
		n++
	}
	return n, time.Time{}
}

// silent reports whether the server counts as lost and, if it may do so later
// without further probes, when.
func (d *detector) silent(now time.Time) (silent bool, at time.Time) {
	if d.hung >= d.config.MinHungConnections {
		at = d.hungSince.Add(d.config.HangThreshold)
		return !now.Before(at), at
	}
	if d.refusals >= d.config.MinRefusals {
		at = d.firstRefusal.Add(d.config.RefusalThreshold)
		return !now.Before(at), at
	}
	if len(d.unanswered) < d.config.MinUnansweredProbes {
		return false, time.Time{}
	}
	at = later(d.unanswered[len(d.unanswered)-1].Add(d.patience()), d.unanswered[0].Add(d.config.UnresponsiveThreshold))
	return !now.Before(at), at
}

// nextProbe returns when the next probe is due.
func (d *detector) nextProbe(now time.Time) time.Time {
	if d.lastProbe.IsZero() {
		return now
	}
	if d.immediate {
		return d.lastProbe.Add(d.config.FastProbeInterval)
	}
	n, next := d.late(now)
	silent, _ := d.silent(now)
	if (n > 0 || d.refusals > 0) && !silent {
		return d.lastProbe.Add(d.config.FastProbeInterval)
	}
	regular := d.lastProbe.Add(d.config.ProbeInterval)
	if next.IsZero() || silent {
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
