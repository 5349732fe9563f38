package lead

import (
	"maps"
	"slices"
	"time"

	"basilmill/core/ack"
	"basilmill/core/catalog"
	"basilmill/core/group"
	"basilmill/core/takeover"
)

// askedTTL is how long a change asks a server at least after its entry has gone from the
// store. Other hosts count the server's confirmations for ack.ListedTTL.
const askedTTL = ack.ListedTTL + 500*time.Millisecond

// departures tracks the servers that left the group, with their logs. The start of
// the host counts as a departure, because servers may have left before.
//
// A server whose entry has gone may go on confirming commits of hosts that have not learnt
// so. Changes ask it for askedTTL after that, and until a position is proven that covers what
// it has confirmed. Then it has departed.
type departures struct {
	// members holds each known server. A server that has restarted has lost its log.
	members map[group.ServerID]catalog.Server
	// leavingSince is since when a member has been known to leave.
	leavingSince map[group.ServerID]time.Duration
	// asked holds the servers that left the list and have not departed yet.
	asked  map[group.ServerID]askedServer
	lastAt time.Duration
	// unproven is set until a position is proven after lastAt.
	unproven bool
	// replicas holds the boots of the replicas that were seen to depart since then.
	replicas map[group.ServerID]int64
	// position is the first position proven after the last departure but one, or
	// after the last one unless unproven is set.
	position group.Position
}

// askedServer is a server that has left the list.
type askedServer struct {
	catalog.Server
	leftAt, until time.Duration
}

// departureTTL is how long commits that only a departed replica may have confirmed keep an
// unreachable primary in place. One that has crashed or was cut off is usually back by
// then.
const departureTTL = 15 * time.Second

// lostTTL is how long after a server left the list an answer of it is waited for. It exceeds
// the cuts after which the server comes back in most cases; a group that has lost it for good
// together with the primary has no primary meanwhile.
const lostTTL = time.Minute

// note compares the members of the group with those of the last call. The departure of the
// primary is not that of a replica. Samples are the positions proven so far.
func (d *departures) note(members []catalog.Server, primary group.ServerID, now time.Duration, samples []Sample) {
	current := make(map[group.ServerID]catalog.Server, len(members))
	for _, s := range members {
		current[s.ID] = s
	}
	for id, s := range d.members {
		successor, listed := current[id]
		switch {
		case !listed:
			d.leave(s, primary, now, samples)
		case successor.BootID != s.BootID:
			d.depart(s, primary, now, samples)
		}
	}
	for id, s := range d.asked {
		if successor, listed := current[id]; listed {
			delete(d.asked, id)
			if successor.BootID != s.BootID {
				d.depart(s.Server, primary, now, samples)
			}
		}
	}
	d.members = current
	d.noteLeaving(now)
	// An entry that was only missing for a while is back, with the server's log.
	maps.DeleteFunc(d.replicas, func(id group.ServerID, boot int64) bool {
		s, ok := current[id]
		return ok && s.BootID == boot
	})
}

// noteLeaving notes since when the members have been leaving.
func (d *departures) noteLeaving(now time.Duration) {
	since := map[group.ServerID]time.Duration{}
	for id, s := range d.members {
		if !s.Leaving {
			continue
		}
		since[id] = now
		if earlier, ok := d.leavingSince[id]; ok {
			since[id] = earlier
		}
	}
	d.leavingSince = since
}

// leave notes that a server has left the list. Its entry was missing for
// catalog.DefaultMissingEntryGracePeriod, or it was leaving, so that its confirmation alone
// has not counted since hosts learnt that.
func (d *departures) leave(s catalog.Server, primary group.ServerID, now time.Duration, samples []Sample) {
	until := now + askedTTL - catalog.DefaultMissingEntryGracePeriod
	if s.Leaving {
		until = d.leavingSince[s.ID] + askedTTL
	}
	if now >= until {
		d.depart(s, primary, now, samples)
		return
	}
	if d.asked == nil {
		d.asked = map[group.ServerID]askedServer{}
	}
	d.asked[s.ID] = askedServer{s, now, until}
}

// update notes the departures that are due.
func (d *departures) update(primary group.ServerID, now time.Duration, samples []Sample) {
	for id, s := range d.asked {
		proven := slices.ContainsFunc(samples, func(p Sample) bool { return p.At >= s.until })
		if now >= s.until && proven {
			delete(d.asked, id)
			d.depart(s.Server, primary, s.until, samples)
		}
	}
}

// depart notes that a server confirms no commits any more that count. A position proven
// after the time covers all that it has confirmed.
func (d *departures) depart(s catalog.Server, primary group.ServerID, at time.Duration, samples []Sample) {
	d.lastAt, d.unproven = max(d.lastAt, at), true
	if s.ID != primary {
		if d.replicas == nil {
			d.replicas = map[group.ServerID]int64{}
		}
		d.replicas[s.ID] = s.BootID
	}
	for _, sample := range samples {
		d.noteProof(sample.At, sample.Position)
	}
}

// departed returns the servers that have left the list and are still to be asked.
// primaryReplaced is that of Monitor.
func (d *departures) departed(now time.Duration, primaryReplaced bool) (servers []takeover.DepartedServer) {
	for _, s := range d.asked {
		mayHaveConfirmed := !primaryReplaced && now-s.leftAt < departureTTL
		servers = append(servers, takeover.DepartedServer{Server: s.Server, MayHaveConfirmed: mayHaveConfirmed, Lost: now-s.leftAt >= lostTTL})
	}
	return servers
}

// replicaDeparted reports whether a replica was seen to leave and no position has been
// proven since.
func (d *departures) replicaDeparted(now time.Duration) bool {
	return len(d.replicas) > 0 && now-d.lastAt < departureTTL
}

// noteProof notes a position that was proven after the given time, by this host or
// another one.
func (d *departures) noteProof(at time.Duration, position group.Position) {
	switch {
	case d.unproven && at >= d.lastAt:
		d.unproven, d.position, d.replicas = false, position, nil
	case !d.unproven && position.Term > d.position.Term:
		// The base position of the record covers the commits of earlier terms.
		d.position = group.Position{}
	}
}
