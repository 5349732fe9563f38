package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"basilmill/core/distribution"
	"basilmill/core/host"
)

const (
	// sweepInterval is the period of the checks of a host.
	sweepInterval = time.Minute
	// checkedHosts is the number of hosts without a failed check that one sweep checks.
	checkedHosts = 2
	// maxSuspects bounds the checks of hosts with failed checks in one sweep.
	maxSuspects = 32
	// maxChanges bounds the entries that one sweep changes.
	maxChanges = 4
	// suspicionThreshold is the number of consecutive failed checks after which the entry
	// of a host is marked. A machine that restarts or is cut off for a few minutes is not
	// suspected.
	suspicionThreshold = 5
	// removalThreshold is the number of further failed checks after which a marked entry is
	// removed. A live host that reaches the platform replaces its entry within seconds.
	removalThreshold = 3
)

// errAddressReused is the result of a check of a host whose address belongs to a host that
// registered later.
var errAddressReused = errors.New("the address belongs to another host")

// Entry is the entry of a host in the platform's list.
type Entry struct {
	host.Info
	// Version changes each time that the entry is written.
	Version distribution.Version
	// SuspectedBy is the host that marked the entry, because the host of the entry does not
	// answer; empty if none did.
	SuspectedBy host.ID
}

// Registry changes entries in the platform's list. A change fails if the entry has another
// version by then.
type Registry interface {
	// SuspectHost marks an entry.
	SuspectHost(ctx context.Context, entry Entry, by host.ID) error
	// RemoveHost removes an entry.
	RemoveHost(ctx context.Context, entry Entry) error
}

// Sweeper removes the entries of hosts that are gone for good. Each host checks a few
// random hosts of its data centre, so that the work of a host does not grow with their
// number, and goes on checking those that do not answer. It marks their entries, and
// removes those that stay marked. A live host whose entry is marked or missing registers
// again, also if it cannot be reached by the host that marked it.
type Sweeper struct {
	Self host.Info
	// Entries returns the entries of the last list.
	Entries func() []Entry
	// Check returns an error unless a host answers.
	Check    func(ctx context.Context, info host.Info) error
	Registry Registry
	// OnChange, if set, is called after an entry has been marked or removed.
	OnChange func(entry Entry, removed bool)

	suspects map[host.ID]*suspect
}

// suspect holds the failed checks of a host with one version of its entry.
type suspect struct {
	version  distribution.Version
	failures int
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	// Hosts that start together sweep at different times.
	timer := time.NewTimer(rand.N(sweepInterval))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			s.sweep(ctx)
			timer.Reset(sweepInterval)
		case <-ctx.Done():
			return nil
		}
	}
}

// sweep checks some hosts and changes the entries of those that are gone.
func (s *Sweeper) sweep(ctx context.Context) {
	entries := s.otherEntries()
	s.prune(entries)
	targets := s.targets(entries)
	failed := s.check(ctx, targets, newestAt(entries))
	changes := 0
	for i, entry := range targets {
		if !failed[i] {
			delete(s.suspects, entry.ID)
			continue
		}
		if changes < maxChanges && s.noteFailure(ctx, entry) {
			changes++
		}
	}
}

// otherEntries returns the entries of the other hosts of the data centre.
func (s *Sweeper) otherEntries() (entries []Entry) {
	for _, e := range s.Entries() {
		if e.DataCentre == s.Self.DataCentre && e.ID != s.Self.ID {
			entries = append(entries, e)
		}
	}
	return entries
}

// prune forgets the failed checks of hosts that have registered again or have no entry.
func (s *Sweeper) prune(entries []Entry) {
	kept := map[host.ID]*suspect{}
	for _, e := range entries {
		known := s.suspects[e.ID]
		switch {
		case known == nil:
		case known.version == e.Version:
			kept[e.ID] = known
		case e.SuspectedBy != "":
			kept[e.ID] = &suspect{version: e.Version, failures: min(known.failures, suspicionThreshold)}
		}
	}
	s.suspects = kept
}

// targets returns the entries of the hosts that a sweep checks.
func (s *Sweeper) targets(entries []Entry) (targets []Entry) {
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	suspects, others := 0, 0
	for _, e := range entries {
		switch isSuspect := s.suspects[e.ID] != nil || e.SuspectedBy != ""; {
		case isSuspect && suspects < maxSuspects:
			suspects++
			targets = append(targets, e)
		case !isSuspect && others < checkedHosts:
			others++
			targets = append(targets, e)
		}
	}
	return targets
}

// newestAt returns the version of the entry that was written last for each address.
func newestAt(entries []Entry) map[netip.AddrPort]distribution.Version {
	newest := map[netip.AddrPort]distribution.Version{}
	for _, e := range entries {
		newest[e.PeerAddress] = max(newest[e.PeerAddress], e.Version)
	}
	return newest
}

// check checks hosts at the same time. It returns which of them failed.
func (s *Sweeper) check(ctx context.Context, targets []Entry, newest map[netip.AddrPort]distribution.Version) []bool {
	failed := make([]bool, len(targets))
	var wait sync.WaitGroup
	for i, e := range targets {
		wait.Go(func() {
			err := errAddressReused
			if e.Version == newest[e.PeerAddress] && e.PeerAddress != s.Self.PeerAddress {
				err = s.Check(ctx, e.Info)
			}
			failed[i] = err != nil
		})
	}
	wait.Wait()
	return failed
}

// noteFailure notes a failed check and changes the entry when it is due. It reports
// whether it called the registry. A call that fails is repeated by the next sweep.
func (s *Sweeper) noteFailure(ctx context.Context, entry Entry) (called bool) {
	known := s.suspects[entry.ID]
	if known == nil {
		known = &suspect{version: entry.Version}
		s.suspects[entry.ID] = known
	}
	known.failures++
	var err error
	switch removes := entry.SuspectedBy != ""; {
	case removes && known.failures >= suspicionThreshold+removalThreshold:
		err = s.Registry.RemoveHost(ctx, entry)
	case !removes && known.failures >= suspicionThreshold:
		err = s.Registry.SuspectHost(ctx, entry, s.Self.ID)
	default:
		return false
	}
	if err == nil && s.OnChange != nil {
		s.OnChange(entry, entry.SuspectedBy != "")
	}
	return true
}

// Suspected reports whether the entry of a host is marked.
func Suspected(entries []Entry, id host.ID) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.ID == id && e.SuspectedBy != "" })
}
