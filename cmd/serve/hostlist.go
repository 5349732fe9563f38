package serve

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"basilmill/core/host"
)

// hostList holds the platform's host list as last received, to pass it on.
type hostList struct {
	mu    sync.Mutex
	hosts []host.Info
	sum   uint64
}

// set stores a list and reports whether it differs from the last one.
func (l *hostList) set(hosts []host.Info) bool {
	sum := digestOf(hosts)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts != nil && l.sum == sum {
		return false
	}
	l.hosts, l.sum = slices.Clone(hosts), sum
	return true
}

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

// unless returns the list if its digest differs from the given one.
func (l *hostList) unless(digest uint64) []host.Info {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sum == digest {
		return nil
	}
	return l.hosts
}

// digestOf does not depend on the order of the hosts.
func digestOf(hosts []host.Info) uint64 {
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b host.Info) int { return cmp.Compare(a.ID, b.ID) })
	d := xxhash.New()
	for _, h := range sorted {
		_, _ = d.WriteString(string(h.ID) + "\x00" + string(h.DataCentre) + "\x00" + h.PeerAddress.String() + "\x00" + h.State.String() + "\n")
	}
	return d.Sum64()
}
