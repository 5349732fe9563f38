package lead

import (
	"maps"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/group"
)

// departures tracks the servers that left the group, with their logs. The start of
// the host counts as a departure, because servers may have left before.
type departures struct {
	// members holds the boot of each known server. A server that has restarted
	// has lost its log.
	members map[group.ServerID]int64
	lastAt  time.Duration
	// unproven is set until a position is proven after lastAt.
	unproven bool
	// replicas holds the boots of the replicas that were seen to leave since then.
	replicas map[group.ServerID]int64
	// position is the first position proven after the last departure but one, or
	// after the last one unless unproven is set.
	position group.Position
}

// departureTTL is how long commits that only a departed replica may have confirmed keep an
// unreachable primary in place. One that has crashed or was cut off is usually back by
// then.
const departureTTL = 15 * time.Second

// note compares the members of the group with those of the last call. The departure of the
// primary is not that of a replica.
func (d *departures) note(members []catalog.Server, primary group.ServerID, now time.Duration) {
	current := make(map[group.ServerID]int64, len(members))
	for _, s := range members {
		current[s.ID] = s.BootID
	}
	for id, boot := range d.members {
		if currentBoot, ok := current[id]; ok && currentBoot == boot {
			continue
		}
		d.lastAt, d.unproven = now, true
		if id != primary {
			if d.replicas == nil {
				d.replicas = map[group.ServerID]int64{}
			}
			d.replicas[id] = boot
		}
	}
	d.members = current
	// An entry that was only missing for a while is back, with the server's log.
	maps.DeleteFunc(d.replicas, func(id group.ServerID, boot int64) bool {
		currentBoot, ok := current[id]
		return ok && currentBoot == boot
	})
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
