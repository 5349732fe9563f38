// Package placement assigns work to hosts by rendezvous hashing: the
// coordinators of a database group, which watch its servers and hold its
// connections, and the relays of a data centre. Every host computes the same
// assignment from the same host list; a lost host moves only its own work.
package placement

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"basilmill/core/group"
	"basilmill/core/host"
)

const (
	// DefaultCoordinators is the number of hosts that coordinate a group.
	// Three data centres let two observers agree while one is cut off.
	DefaultCoordinators = 3
	// DefaultRelays is the number of relays in a data centre: one to serve
	// and one to take over.
	DefaultRelays = 2
)

// Rank orders hosts by descending rendezvous weight for the key.
func Rank(key string, hosts []host.Info) []host.Info {
	type weighted struct {
		info   host.Info
		weight uint64
	}
	ranked := make([]weighted, len(hosts))
	for i, h := range hosts {
		ranked[i] = weighted{info: h, weight: xxhash.Sum64String(key + "\x00" + string(h.ID))}
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.info.ID, b.info.ID))
	})
	out := make([]host.Info, len(ranked))
	for i, w := range ranked {
		out[i] = w.info
	}
	return out
}

// Coordinators returns up to n hosts for the group. It takes at most one host
// of each data centre before it takes a second one, and data centres that
// have a backend server of the group come first, so that observers sit in
// different data centres and connections start close to a server.
func Coordinators(record *group.Record, hosts []host.Info, n int) []host.Info {
	ranked := Rank("group/"+string(record.ID), hosts)
	serving := make(map[host.DataCentre]bool, len(record.Servers))
	for _, s := range record.Servers {
		serving[s.DataCentre] = true
	}
	slices.SortStableFunc(ranked, func(a, b host.Info) int {
		return boolRank(serving[b.DataCentre]) - boolRank(serving[a.DataCentre])
	})
	return spread(ranked, n)
}

// Relays returns up to n hosts of the data centre that watch the platform on
// behalf of the others.
func Relays(dataCentre host.DataCentre, hosts []host.Info, n int) []host.Info {
	var local []host.Info
	for _, h := range hosts {
		if h.DataCentre == dataCentre {
			local = append(local, h)
		}
	}
	ranked := Rank("relay/"+string(dataCentre), local)
	return ranked[:min(n, len(ranked))]
}

// spread picks n hosts in rounds; each round takes at most one host of each
// data centre, in the given order.
func spread(ranked []host.Info, n int) []host.Info {
	picked := make([]host.Info, 0, min(n, len(ranked)))
	rest := ranked
	for len(picked) < n && len(rest) > 0 {
		taken := make(map[host.DataCentre]bool)
		var next []host.Info
		for _, h := range rest {
			if taken[h.DataCentre] || len(picked) == n {
				next = append(next, h)
				continue
			}
			taken[h.DataCentre] = true
			picked = append(picked, h)
		}
		rest = next
	}
	return picked
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Affected reports whether the coordinators of a group may change when hosts
// are added and removed. It costs one hash for each added host, while a new
// choice ranks every host; at the two-year size a host list change touches a
// few of 8,100 groups.
func Affected(record *group.Record, current []host.Info, n int, added, removed []host.Info) bool {
	for _, h := range removed {
		if slices.ContainsFunc(current, func(c host.Info) bool { return c.ID == h.ID }) {
			return true
		}
	}
	if dataCentres(current) < n {
		// Some data centre has two coordinators or there are too few: any
		// added host may take a place.
		return len(added) > 0
	}
	return slices.ContainsFunc(added, func(h host.Info) bool { return mayEnter(record, current, h) })
}

// mayEnter reports whether the host could replace one of the coordinators: it
// ranks before the one of its own data centre, or its data centre has none.
func mayEnter(record *group.Record, current []host.Info, h host.Info) bool {
	for _, c := range current {
		if c.DataCentre == h.DataCentre && before(record, c, h) {
			return false
		}
	}
	return true
}

func dataCentres(hosts []host.Info) int {
	seen := make(map[host.DataCentre]bool)
	for _, h := range hosts {
		seen[h.DataCentre] = true
	}
	return len(seen)
}

// before reports whether a ranks before b for the group.
func before(record *group.Record, a, b host.Info) bool {
	return Rank("group/"+string(record.ID), []host.Info{a, b})[0].ID == a.ID
}
