package control

import (
	"slices"
	"strings"

	"basilmill/core/host"
)

// withHost returns the hosts with h added or replaced, ordered by id.
func withHost(hosts []host.Info, h host.Info) []host.Info {
	out := slices.DeleteFunc(slices.Clone(hosts), func(o host.Info) bool { return o.ID == h.ID })
	out = append(out, h)
	slices.SortFunc(out, func(a, b host.Info) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// difference returns the hosts that are only in after and those that are only
// in before. A host whose information changed is in both.
func difference(before, after []host.Info) (added, removed []host.Info) {
	known := make(map[host.ID]host.Info, len(before))
	for _, h := range before {
		known[h.ID] = h
	}
	for _, h := range after {
		if known[h.ID] != h {
			added = append(added, h)
		}
		if known[h.ID] == h {
			delete(known, h.ID)
		}
	}
	for _, h := range known {
		removed = append(removed, h)
	}
	return added, removed
}
