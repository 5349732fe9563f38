// Package placement assigns work to hosts by rendezvous hashing: the
// coordinators of a database group, which watch its servers and hold its
// connections, and the relays of a data centre. Every host computes the same
// assignment from the same host list; a lost host moves only its own work.
package placement

import (
	"cmp"
	"encoding/binary"
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

// key is the hash of what work is assigned for.
type key uint64

func keyOf(kind, name string) key { return key(xxhash.Sum64String(kind + "/" + name)) }

// weight is the rendezvous weight of a host for a key.
func (k key) weight(id host.ID) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], uint64(k))
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(string(id)))
	return xxhash.Sum64(pair[:])
}

// weighted is a host with its weight for a key.
type weighted struct {
	host.Info
	weight uint64
}

// compare orders hosts by descending weight.
func (w weighted) compare(o weighted) int {
	return cmp.Or(cmp.Compare(o.weight, w.weight), cmp.Compare(w.ID, o.ID))
}

// Coordinators returns up to n hosts for the group. It takes at most one host
// of each data centre before it takes a second one, and data centres that
// have a backend server of the group come first, so that observers sit in
// different data centres and connections start close to a server. It looks at
// each host once: a host that starts makes this choice for 8,100 groups.
func Coordinators(record *group.Record, hosts []host.Info, n int) []host.Info {
	k := keyOf("group", string(record.ID))
	best := make(map[host.DataCentre][]weighted)
	for _, h := range hosts {
		w := weighted{Info: h, weight: k.weight(h.ID)}
		if top := best[h.DataCentre]; len(top) < n || w.compare(top[n-1]) < 0 {
			best[h.DataCentre] = insert(top, w, n)
		}
	}
	var ranked []weighted
	for _, top := range best {
		ranked = append(ranked, top...)
	}
	serving := make(map[host.DataCentre]bool, len(record.Servers))
	for _, s := range record.Servers {
		serving[s.DataCentre] = true
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(boolRank(serving[b.DataCentre])-boolRank(serving[a.DataCentre]), a.compare(b))
	})
	return spread(ranked, n)
}

// insert adds w to the hosts ordered by weight and keeps the first n.
func insert(top []weighted, w weighted, n int) []weighted {
	i, _ := slices.BinarySearchFunc(top, w, weighted.compare)
	top = slices.Insert(top, i, w)
	return top[:min(n, len(top))]
}

// Relays returns up to n hosts of the data centre that watch the platform on
// behalf of the others.
func Relays(dataCentre host.DataCentre, hosts []host.Info, n int) []host.Info {
	k := keyOf("relay", string(dataCentre))
	var top []weighted
	for _, h := range hosts {
		if h.DataCentre == dataCentre {
			top = insert(top, weighted{Info: h, weight: k.weight(h.ID)}, n)
		}
	}
	out := make([]host.Info, len(top))
	for i, w := range top {
		out[i] = w.Info
	}
	return out
}

// spread picks n hosts in rounds; each round takes at most one host of each
// data centre, in the given order.
func spread(ranked []weighted, n int) []host.Info {
	picked := make([]host.Info, 0, min(n, len(ranked)))
	rest := ranked
	for len(picked) < n && len(rest) > 0 {
		taken := make(map[host.DataCentre]bool)
		var next []weighted
		for _, h := range rest {
			if taken[h.DataCentre] || len(picked) == n {
				next = append(next, h)
				continue
			}
			taken[h.DataCentre] = true
			picked = append(picked, h.Info)
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

// CoordinatorsMayChange reports whether the coordinators of a group may change when hosts
// are added and removed. It costs one hash for each added host, while a new
// choice ranks every host; at the two-year size a host list change touches a
// few of 8,100 groups.
func CoordinatorsMayChange(record *group.Record, current []host.Info, n int, added, removed []host.Info) bool {
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
	k := keyOf("group", string(record.ID))
	return weighted{a, k.weight(a.ID)}.compare(weighted{b, k.weight(b.ID)}) < 0
}
