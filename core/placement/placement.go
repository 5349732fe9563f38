// Package placement assigns work to hosts by rendezvous hashing. It selects the
// coordinators of a database group, which monitor its servers and hold connections
// to them, and the relays of a data centre. All hosts compute the same assignment
// from the same host list, and the loss of a host moves only the work of that host.
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
	// With three, in different data centres, two can still agree while one is
	// isolated.
	DefaultCoordinators = 3
	// DefaultRelays is the number of relays in a data centre: an active and a
	// standby one.
	DefaultRelays = 2
)

// workKey is the hash of the group or data centre that hosts are selected for.
type workKey uint64

func newWorkKey(kind, name string) workKey { return workKey(xxhash.Sum64String(kind + "/" + name)) }

// weight returns the rendezvous weight of a host for the key.
func (k workKey) weight(id host.ID) uint64 { return k.weightOf(xxhash.Sum64String(string(id))) }

// weightOf is weight for the hash of a host's id.
func (k workKey) weightOf(hash uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], uint64(k))
	binary.LittleEndian.PutUint64(pair[8:], hash)
	return xxhash.Sum64(pair[:])
}

// weightedHost is a host with its rendezvous weight for a key.
type weightedHost struct {
	host.Info
	weight uint64
}

// compare orders hosts by descending weight, then by ID.
func (w weightedHost) compare(o weightedHost) int {
	return cmp.Or(cmp.Compare(o.weight, w.weight), cmp.Compare(w.ID, o.ID))
}

// Coordinators returns the coordinators of a group, up to n hosts. It selects at
// most one host of each data centre before it selects a second one, so that the
// coordinators observe the servers from different data centres. Data centres with a
// backend server of the group come first, so that connections are opened close to a
// server. It examines each host once, because a starting host selects coordinators
// for 8,100 groups.
func Coordinators(record *group.Record, hosts []host.Info, n int) []host.Info {
	k := newWorkKey("group", string(record.ID))
	best := make(map[host.DataCentre][]weightedHost)
	for _, h := range hosts {
		w := weightedHost{Info: h, weight: k.weight(h.ID)}
		if top := best[h.DataCentre]; len(top) < n || w.compare(top[n-1]) < 0 {
			best[h.DataCentre] = insertTop(top, w, n)
		}
	}
	var ranked []weightedHost
	for _, top := range best {
		ranked = append(ranked, top...)
	}
	hasServer := make(map[host.DataCentre]bool, len(record.Servers))
	for _, s := range record.Servers {
		hasServer[s.DataCentre] = true
	}
	slices.SortFunc(ranked, func(a, b weightedHost) int {
		return cmp.Or(boolToInt(hasServer[b.DataCentre])-boolToInt(hasServer[a.DataCentre]), a.compare(b))
	})
	return spreadOverDataCentres(ranked, n)
}

// insertTop inserts w into a list of hosts ordered by weight and keeps the first
// n.
func insertTop(top []weightedHost, w weightedHost, n int) []weightedHost {
	i, _ := slices.BinarySearchFunc(top, w, weightedHost.compare)
	top = slices.Insert(top, i, w)
	return top[:min(n, len(top))]
}

// Rank returns the hosts in descending order of their rendezvous weights for a
// piece of work.
func Rank(kind, name string, hosts []host.Info) []host.Info {
	k := newWorkKey(kind, name)
	ranked := make([]weightedHost, len(hosts))
	for i, h := range hosts {
		ranked[i] = weightedHost{Info: h, weight: k.weight(h.ID)}
	}
	slices.SortFunc(ranked, weightedHost.compare)
	out := make([]host.Info, len(ranked))
	for i, w := range ranked {
		out[i] = w.Info
	}
	return out
}

// RankNames returns names, such as those of data centres, in descending order of their
// rendezvous weights for a piece of work.
func RankNames[N ~string](kind, name string, names []N) []N {
	k := newWorkKey(kind, name)
	ranked := slices.Clone(names)
	slices.SortFunc(ranked, func(a, b N) int {
		return cmp.Or(cmp.Compare(k.weight(host.ID(b)), k.weight(host.ID(a))), cmp.Compare(a, b))
	})
	return ranked
}

// Ranker ranks the same hosts for many pieces of work. It hashes each host once.
type Ranker struct {
	hosts  []host.Info
	hashes []uint64
}

// NewRanker returns a Ranker of the hosts, which must not be modified.
func NewRanker(hosts []host.Info) *Ranker {
	r := &Ranker{hosts: hosts, hashes: make([]uint64, len(hosts))}
	for i, h := range hosts {
		r.hashes[i] = xxhash.Sum64String(string(h.ID))
	}
	return r
}

// Top returns the first n hosts of Rank for a piece of work, or all if there are fewer.
func (r *Ranker) Top(kind, name string, n int) []host.Info {
	k := newWorkKey(kind, name)
	top := make([]weightedHost, 0, n+1)
	for i, h := range r.hosts {
		w := weightedHost{weight: k.weightOf(r.hashes[i])}
		if len(top) == n && (n == 0 || w.weight < top[n-1].weight) {
			continue
		}
		w.Info = h
		if len(top) < n || w.compare(top[n-1]) < 0 {
			top = insertTop(top, w, n)
		}
	}
	out := make([]host.Info, len(top))
	for i, w := range top {
		out[i] = w.Info
	}
	return out
}

// Relays returns the relays of a data centre, up to n hosts, which watch the
// platform on behalf of the other hosts there.
func Relays(dataCentre host.DataCentre, hosts []host.Info, n int) []host.Info {
	k := newWorkKey("relay", string(dataCentre))
	var top []weightedHost
	for _, h := range hosts {
		if h.DataCentre == dataCentre {
			top = insertTop(top, weightedHost{Info: h, weight: k.weight(h.ID)}, n)
		}
	}
	out := make([]host.Info, len(top))
	for i, w := range top {
		out[i] = w.Info
	}
	return out
}

// spreadOverDataCentres selects up to n hosts in rounds. Each round selects at most
// one host of each data centre, in the given order.
func spreadOverDataCentres(ranked []weightedHost, n int) []host.Info {
	picked := make([]host.Info, 0, min(n, len(ranked)))
	remaining := ranked
	for len(picked) < n && len(remaining) > 0 {
		taken := make(map[host.DataCentre]bool)
		var next []weightedHost
		for _, h := range remaining {
			if taken[h.DataCentre] || len(picked) == n {
				next = append(next, h)
				continue
			}
			taken[h.DataCentre] = true
			picked = append(picked, h.Info)
		}
		remaining = next
	}
	return picked
}

// boolToInt returns 1 for true and 0 for false.
func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// CoordinatorsMayChange reports whether the given change of the host list may change
// the current coordinators of a group, so that they must be selected again. It
// computes one weight for each added host, whereas Coordinators computes the weight
// of every host. At the size expected in two years, a change of the host
// list affects a few of 8,100 groups.
func CoordinatorsMayChange(record *group.Record, current []host.Info, n int, added, removed []host.Info) bool {
	for _, h := range removed {
		if slices.ContainsFunc(current, func(c host.Info) bool { return c.ID == h.ID }) {
			return true
		}
	}
	if countDataCentres(current) < n {
		// A data centre has two coordinators or there are fewer than n, so
		// any added host may become a coordinator.
		return len(added) > 0
	}
	return slices.ContainsFunc(added, func(h host.Info) bool { return mayReplace(record, current, h) })
}

// mayReplace reports whether the host could replace one of the coordinators: it
// ranks before the coordinators of its data centre, or its data centre has none.
func mayReplace(record *group.Record, current []host.Info, h host.Info) bool {
	for _, c := range current {
		if c.DataCentre == h.DataCentre && ranksBefore(record, c, h) {
			return false
		}
	}
	return true
}

// countDataCentres returns the number of different data centres of the hosts.
func countDataCentres(hosts []host.Info) int {
	seen := make(map[host.DataCentre]bool)
	for _, h := range hosts {
		seen[h.DataCentre] = true
	}
	return len(seen)
}

// ranksBefore reports whether a ranks before b for the group.
func ranksBefore(record *group.Record, a, b host.Info) bool {
	k := newWorkKey("group", string(record.ID))
	return weightedHost{a, k.weight(a.ID)}.compare(weightedHost{b, k.weight(b.ID)}) < 0
}
