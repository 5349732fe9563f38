package lead

import (
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
	// position is the first position proven after the last departure but one, or
	// after the last one unless unproven is set.
	position group.Position
}

// note compares the members of the group with those of the last call.
func (d *departures) note(members []catalog.Server, now time.Duration) {
	current := make(map[group.ServerID]int64, len(members))
	for _, s := range members {
		current[s.ID] = s.BootID
	}
	for id, boot := range d.members {
		if currentBoot, ok := current[id]; !ok || currentBoot != boot {
			d.lastAt, d.unproven = now, true
		}
	}
	d.members = current
}

// noteProof notes a position that was proven after the given time, by this host or
// another one.
func (d *departures) noteProof(at time.Duration, position group.Position) {
	switch {
	case d.unproven && at >= d.lastAt:
		d.unproven, d.position = false, position
	case !d.unproven && position.Term > d.position.Term:
		// The base position of the record covers the commits of earlier terms.
		d.position = group.Position{}
	}
}
