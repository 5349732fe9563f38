package dispatch

import "time"

// Outage is what a host knows of a group that gives no news: no primary that accepts
// requests, or no log position that is recent enough.
//
// It answers the load of requests for a group that lost its primary and gets no other one
// for long, for example because the servers that hold its last commits are gone. All of
// them would wait for their whole time, keep their callers from trying elsewhere, and take
// up the host's memory.
type Outage struct {
	// Lasted is the time since the first request had to wait for news.
	Lasted time.Duration
	// Waiting is the number of other requests that wait for news.
	Waiting int
}

const (
	// usualOutage is how long an outage lasts that a change of primary ends: the change is
	// to be over within 2 s of the loss.
	usualOutage = 2500 * time.Millisecond
	// outageWaiters is the number of requests that wait also in a longer outage. One
	// notices its end; each request that is refused asks for a probe too.
	outageWaiters = 1
	// maxRetryTime bounds the time after which callers are told to come back, so that they
	// notice the end of a long outage.
	maxRetryTime = 5 * time.Second
)

// MayWait reports whether a request that can wait for the given time waits for news. An
// outage that has lasted for longer than a change of primary is expected to last for as
// long again.
func (o Outage) MayWait(left time.Duration) bool {
	return o.Lasted < usualOutage || left > o.Lasted || o.Waiting < outageWaiters
}

// RetryAfter returns the time after which a caller that is refused is to come back: up to
// the time for which the outage has lasted, spread by a random number in [0, 1) so that
// callers don't return together.
func (o Outage) RetryAfter(random float64) time.Duration {
	bound := min(o.Lasted, maxRetryTime)
	return bound/2 + time.Duration(random*float64(bound/2))
}

// UntilDecision returns the time until MayWait may change for a request that waits now.
func (o Outage) UntilDecision() time.Duration {
	return max(usualOutage-o.Lasted, 0)
}
