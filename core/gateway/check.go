package gateway

import (
	"context"
	"time"

	"basilmill/core/account"
	"basilmill/core/catalog"
	"basilmill/core/group"
	"basilmill/core/host"
)

const (
	// answerTTL is how long after its last answer a host is used without a check. The
	// connection to an idle host closes after about the same time.
	answerTTL = 30 * time.Second
	// unreachableTTL is how long after its backoff a host that could not be reached stays
	// unusable without a further check. Requests start the checks.
	unreachableTTL = 2 * time.Second
	// checkTimeout bounds a check: the opening of a connection and a round trip.
	checkTimeout = 500 * time.Millisecond
	// slowCheckThreshold is the duration, a few round trips, from which on a check is not
	// waited for alone: further hosts in rank are checked beside it, and the gateway that
	// was used before serves.
	slowCheckThreshold = 50 * time.Millisecond
	// lookAheadFactor is the number of further hosts in rank that are checked for each one
	// that is unusable or slow to answer, so that the number of rounds is the logarithm of
	// that of dead hosts.
	lookAheadFactor = 2
	// maxChecks bounds the checks in flight.
	maxChecks = 64
)

// usability says whether a host may be used as the gateway to a server.
type usability int

const (
	// unusable hosts are avoided, or they did not answer the last check.
	unusable usability = iota
	// unverified hosts have not been heard of for a while.
	unverified
	// usable hosts have answered recently.
	usable
)

// usability returns the usability of a host. The caller holds the mutex.
func (c *Client) usability(id host.ID, server group.ServerID, now time.Time) usability {
	if id == c.Self.ID {
		return usable
	}
	if now.Before(c.noPathUntil[pathKey{id, server}]) {
		return unusable
	}
	s := c.hosts[id]
	switch {
	case s == nil:
		return unverified
	case now.Before(s.avoidUntil), s.isUnresponsive(now):
		return unusable
	case s.unreachable && now.Sub(s.avoidUntil) <= unreachableTTL:
		return unusable
	case s.unreachable, now.Sub(s.answeredAt) > answerTTL:
		return unverified
	default:
		return usable
	}
}

// state returns the state of a host and adds it if necessary. The caller holds the mutex.
func (c *Client) state(id host.ID) *hostState {
	s := c.hosts[id]
	if s == nil {
		s = &hostState{}
		if c.hosts == nil {
			c.hosts = map[host.ID]*hostState{}
		}
		c.hosts[id] = s
	}
	return s
}

// markUnreachable notes a failure. The host is checked again after the backoff.
func (s *hostState) markUnreachable(now time.Time) {
	s.lastBackoff = min(max(2*s.lastBackoff, failureBackoff), maxFailureBackoff)
	s.avoidUntil = now.Add(s.lastBackoff)
	s.unreachable = true
}

// choose returns the gateway to a server.
func (c *Client) choose(server catalog.Server) host.Info {
	hosts, version := c.Network.Hosts()
	limit := c.connectionLimit(server)
	c.mu.Lock()
	defer c.mu.Unlock()
	via, _ := c.pick(c.ranked(server, hosts, version, limit), server.ID, time.Now(), false)
	return via
}

// route returns the gateway to a server for a request of basilmill itself, or the holder
// for one of an account, and whether it is settled. It starts the checks that are due.
func (c *Client) route(server catalog.Server, id account.ID, impatient bool) (via host.Info, settled bool) {
	hosts, version := c.Network.Hosts()
	limit := c.connectionLimit(server)
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var r *ranking
	if id == "" {
		r = c.ranked(server, hosts, version, limit)
	} else {
		r = c.rankedHolders(server, id, hosts, version)
	}
	via, settled = c.pick(r, server.ID, now, impatient)
	if settled && version != 0 {
		r.current, r.currentAt = via.ID, now
	}
	c.startChecks(r, server.ID, now)
	return via, settled
}

// pick returns the host with the highest rank that is not unusable, this host if there is
// no other. It is settled unless that host is unverified. The gateway that was chosen
// shortly before, or with impatient at any time, serves while hosts that precede it are
// unverified. The caller holds the mutex.
func (c *Client) pick(r *ranking, server group.ServerID, now time.Time, impatient bool) (via host.Info, settled bool) {
	keepsCurrent := impatient || now.Sub(r.currentAt) < unreachableTTL
	for _, h := range r.hosts {
		switch usability := c.usability(h.ID, server, now); {
		case usability == usable && (via.ID == "" || keepsCurrent && h.ID == r.current):
			return h, true
		case usability == unverified && via.ID == "":
			via = h
		}
	}
	return via, false
}

// settle returns the host for a request as route does. It waits until it is settled.
func (c *Client) settle(ctx context.Context, server catalog.Server, id account.ID) (via host.Info, err error) {
	slow := time.NewTicker(slowCheckThreshold)
	defer slow.Stop()
	for impatient := false; ; {
		checked := c.awaitCheck()
		via, settled := c.route(server, id, impatient)
		if settled {
			return via, nil
		}
		select {
		case <-checked:
		case <-slow.C:
			impatient = true
		case <-ctx.Done():
			return host.Info{}, ctx.Err()
		}
	}
}

// awaitCheck returns a channel that is closed at the end of the next check.
func (c *Client) awaitCheck() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.checked == nil {
		c.checked = make(chan struct{})
	}
	return c.checked
}

// startChecks starts checks of the hosts that precede the first usable one in rank: of the
// first unverified ones, more for each one that is unusable or slow, and of the unusable
// ones whose backoff is over. The caller holds the mutex.
func (c *Client) startChecks(r *ranking, server group.ServerID, now time.Time) {
	lookAhead := 1
	for _, h := range r.hosts {
		switch c.usability(h.ID, server, now) {
		case usable:
			return
		case unverified:
			if c.startCheck(h, now) {
				lookAhead += lookAheadFactor
			} else if lookAhead--; lookAhead == 0 {
				return
			}
		case unusable:
			lookAhead += lookAheadFactor
			if s := c.hosts[h.ID]; s != nil && s.unreachable && !now.Before(s.avoidUntil) {
				c.startCheck(h, now)
			}
		}
	}
}

// startCheck starts a check of a host unless one is in flight. It reports whether that one
// is slow. The caller holds the mutex.
func (c *Client) startCheck(info host.Info, now time.Time) (slow bool) {
	s := c.state(info.ID)
	if s.checking {
		return now.Sub(s.checkedAt) >= slowCheckThreshold
	}
	if c.checks < maxChecks {
		s.checking, s.checkedAt = true, now
		c.checks++
		go c.check(info)
	}
	return false
}

// check checks whether a host answers.
func (c *Client) check(info host.Info) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	err := c.Network.Check(ctx, info)
	if c.noteCheck(info.ID, err) {
		c.reportAvoidance(info.ID, "", err.Error())
	}
}

// noteCheck notes the result of a check. It reports whether the host is newly found to
// be unreachable.
func (c *Client) noteCheck(id host.ID, err error) (lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.hosts[id]
	s.checking = false
	c.checks--
	if c.checked != nil {
		close(c.checked)
		c.checked = nil
	}
	if err != nil {
		lost = !s.unreachable
		s.markUnreachable(time.Now())
		return lost
	}
	s.unreachable, s.answeredAt = false, time.Now()
	return false
}

// pruneHosts drops the state of hosts that are not on a new list. The caller holds the
// mutex.
func (c *Client) pruneHosts(hosts []host.Info, version int64) {
	if version == c.prunedVersion {
		return
	}
	c.prunedVersion = version
	listed := make(map[host.ID]bool, len(hosts))
	for _, h := range hosts {
		listed[h.ID] = true
	}
	for id, s := range c.hosts {
		if !listed[id] && !s.checking && s.inFlight == 0 {
			delete(c.hosts, id)
		}
	}
}
