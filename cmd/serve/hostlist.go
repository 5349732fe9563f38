package serve

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"basilmill/core/host"
)

// hostList holds the platform's host list as last received from the platform
// or from another host, so that this host can pass it on to others. It is
// safe for concurrent use.
type hostList struct {
	mu sync.Mutex
	// hosts is nil until the first list was received.
	hosts []host.Info
	// sum is the digest of hosts.
	sum uint64
}

// set stores a list and reports whether it is the first one or differs from
// the last one.
func (l *hostList) set(hosts []host.Info) bool {
	sum := hostsDigest(hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts != nil && l.sum == sum {
		return false
	}
	l.hosts, l.sum = slices.Clone(hosts), sum
	return true
}

// digest returns the digest of the list, zero before the first one.
func (l *hostList) digest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sum
}

func (l *hostList) known() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts != nil
}

// ifChanged returns the list if its digest differs from the given one, and
// nil otherwise.
func (l *hostList) ifChanged(digest uint64) []host.Info {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sum == digest {
		return nil
	}
	return l.hosts
}

// hostsDigest returns a digest of a host list that does not depend on the
// order of the hosts.
func hostsDigest(hosts []host.Info) uint64 {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b host.Info) int { return cmp.Compare(a.ID, b.ID) })
	d := xxhash.New()
	for _, h := range sorted {
		_, _ = d.WriteString(string(h.ID) + "\x00" + string(h.DataCentre) + "\x00" + h.PeerAddress.String() + "\x00" + h.State.String() + "\n")
	}
	return d.Sum64()
}
