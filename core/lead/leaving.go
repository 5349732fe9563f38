package lead

import (
	"time"

	"basilmill/core/catalog"
	"basilmill/core/group"
)

// leaving tracks since when the servers of the group may have been leaving.
type leaving struct {
	// members holds the known servers, and since when those that are leaving may have been.
	members map[group.ServerID]leavingState
}

// leavingState says whether a server is leaving. The zero value is that of one that stays.
type leavingState struct {
	leaving bool
	since   time.Duration
}

// note notes the members of the group. One that has come back no longer counts as leaving.
// The host learns of changes now. They were made after the earliest time, and no more than
// maxDelay ago. A server that it did not know may have been leaving since then.
func (l *leaving) note(members []catalog.Server, now, earliest, maxDelay time.Duration) {
	current := make(map[group.ServerID]leavingState, len(members))
	for _, s := range members {
		known, ok := l.members[s.ID]
		switch {
		case !s.Leaving:
			current[s.ID] = leavingState{}
		case known.leaving:
			current[s.ID] = known
		case ok:
			current[s.ID] = leavingState{leaving: true, since: max(earliest, now-maxDelay)}
		default:
			current[s.ID] = leavingState{leaving: true, since: now - maxDelay}
		}
	}
	l.members = current
}

// since returns since when a server that is leaving may have been.
func (l *leaving) since(id group.ServerID) time.Duration { return l.members[id].since }
