package takeover

import (
	"basilmill/core/exchange"
	"basilmill/core/group"
)

// receivedPosition is the highest position that a replica was seen to have received. What
// one replica has received is acknowledged, also if that replica then leaves the group.
type receivedPosition struct {
	position group.Position
	// base is the base position of the record when the position was noted. It changes
	// with the next promotion, which may drop what no replica has received.
	base group.Position
}

// note notes the positions of the replicas among the servers.
func (r *receivedPosition) note(answers []serverStatus, base group.Position) {
	if r.base != base {
		*r = receivedPosition{base: base}
	}
	for _, a := range answers {
		if a.status.Role == exchange.Replica && a.status.ReceivedPosition.Compare(r.position) > 0 {
			r.position = a.status.ReceivedPosition
		}
	}
}

// since returns the highest position noted since the promotion that has the base position.
func (r *receivedPosition) since(base group.Position) group.Position {
	if r.base != base {
		return group.Position{}
	}
	return r.position
}
