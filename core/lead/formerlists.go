package lead

import (
	"slices"
	"time"

	"basilmill/core/ack"
	"basilmill/core/catalog"
	"basilmill/core/group"
	"basilmill/core/takeover"
)

const (
	// termOverlap is how long before the last proof of a term the next primary may have led.
	termOverlap = 10 * time.Second
	// formerListTTL is how long a list is kept after it ended for this host. Other hosts may
	// learn of its end later.
	formerListTTL = ack.OutdatedListTTL + time.Minute
)

// formerLists tracks the lists of the group's servers that have ended since the present term
// began. Hosts that have not learnt of a later one may still count on their servers. The lists
// are those of the store, without servers whose entries are missing: the list of another host
// holds such a server for another time, or not at all if the host has started since.
type formerLists struct {
	current []catalog.Server
	former  []formerList
}

type formerList struct {
	servers []catalog.Server
	endedAt time.Duration
}

// note notes the present list. A former list is forgotten if a later one, or the present one,
// is a part of it: a change that asks a server of the part asks one of the whole.
func (l *formerLists) note(servers []catalog.Server, now time.Duration) {
	if slices.Equal(l.current, servers) {
		return
	}
	if len(l.current) > 1 && !slices.EqualFunc(l.current, servers, sameID) {
		l.former = append(l.former, formerList{l.current, now})
		// Lists between the two that only other hosts have seen hold the servers of both.
		if both := intersection(l.current, servers); len(both) > 1 {
			l.former = append(l.former, formerList{both, now})
		}
	}
	l.current = slices.Clone(servers)
	l.former = slices.DeleteFunc(l.former, func(f formerList) bool { return now-f.endedAt > formerListTTL })
	var kept []formerList
	for i, f := range l.former {
		isPart := func(later formerList) bool { return containsAll(f.servers, later.servers) }
		if !slices.ContainsFunc(l.former[i+1:], isPart) && (len(servers) < 2 || !containsAll(f.servers, servers)) {
			kept = append(kept, f)
		}
	}
	l.former = kept
}

// noteTerm notes that a new term has become known. The last proof of an earlier one was made at
// the time.
func (l *formerLists) noteTerm(lastProof time.Duration) {
	l.former = slices.DeleteFunc(l.former, func(f formerList) bool { return f.endedAt < lastProof-termOverlap })
}

// lists returns the lists of which a change has to ask a server. primaryReplaced is that of
// Monitor.
func (l *formerLists) lists(now time.Duration, primaryReplaced bool) (lists []takeover.FormerList) {
	for _, f := range l.former {
		if now-f.endedAt <= formerListTTL {
			lists = append(lists, takeover.FormerList{Servers: f.servers, MayHaveConfirmed: !primaryReplaced && now-f.endedAt < departureTTL})
		}
	}
	return lists
}

// intersection returns the servers of a list that the other one holds, too.
func intersection(list, other []catalog.Server) []catalog.Server {
	return slices.DeleteFunc(slices.Clone(list), func(s catalog.Server) bool {
		return !slices.ContainsFunc(other, func(o catalog.Server) bool { return o.ID == s.ID })
	})
}

func sameID(a, b catalog.Server) bool { return a.ID == b.ID }

// containsAll reports whether all servers of a part are among the servers.
func containsAll(servers, part []catalog.Server) bool {
	ids := make(map[group.ServerID]bool, len(servers))
	for _, s := range servers {
		ids[s.ID] = true
	}
	return !slices.ContainsFunc(part, func(s catalog.Server) bool { return !ids[s.ID] })
}
