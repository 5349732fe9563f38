package lead

import (
	"time"

	"basilmill/core/catalog"
	"basilmill/core/group"
)

// leaving tracks since when the servers of the group have been known to leave.
type leaving struct {
	since map[group.ServerID]time.Duration
}

// note notes the members of the group that are leaving. One that is no longer among them,
// or has come back, is forgotten.
func (l *leaving) note(members []catalog.Server, now time.Duration) {
	since := map[group.ServerID]time.Duration{}
	for _, s := range members {
		if !s.Leaving {
			continue
		}
		since[s.ID] = now
		if earlier, ok := l.since[s.ID]; ok {
			since[s.ID] = earlier
		}
	}
	l.since = since
}
