package membership_test

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/distribution"
	"basilmill/core/host"
	"basilmill/core/membership"
)

// errChanged is the error of a change of an entry that has another version.
var errChanged = errors.New("the entry has another version")

// directory is a list of hosts that is always up to date.
type directory struct {
	mu      sync.Mutex
	version distribution.Version
	entries map[host.ID]membership.Entry
	dead    map[host.ID]bool
	checks  int
}

func newDirectory(live, dead int) *directory {
	d := &directory{entries: map[host.ID]membership.Entry{}, dead: map[host.ID]bool{}}
	for i := range live + dead {
		id := host.ID(fmt.Sprint("h", i))
		d.dead[id] = i >= live
		d.write(membership.Entry{Info: host.Info{ID: id, DataCentre: "dc", PeerAddress: address(i)}})
	}
	return d
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7440)
}

func (d *directory) write(e membership.Entry) {
	d.version++
	e.Version = d.version
	d.entries[e.ID] = e
}

func (d *directory) list() (entries []membership.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range d.entries {
		entries = append(entries, e)
	}
	return entries
}

func (d *directory) isListed(id host.ID) bool {
	return slices.ContainsFunc(d.list(), func(e membership.Entry) bool { return e.ID == id })
}

func (d *directory) check(_ context.Context, info host.Info) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checks++
	for id, e := range d.entries {
		if e.PeerAddress == info.PeerAddress && !d.dead[id] {
			return nil
		}
	}
	return errors.New("no answer")
}

// SuspectHost implements membership.Registry.
func (d *directory) SuspectHost(_ context.Context, entry membership.Entry, by host.ID) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries[entry.ID].Version != entry.Version {
		return errChanged
	}
	entry.SuspectedBy = by
	d.write(entry)
	return nil
}

// RemoveHost implements membership.Registry.
func (d *directory) RemoveHost(_ context.Context, entry membership.Entry) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.entries[entry.ID].Version != entry.Version {
		return errChanged
	}
	delete(d.entries, entry.ID)
	return nil
}

// sweep runs the sweepers of the live hosts for a time.
func (d *directory) sweep(duration time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	var wait sync.WaitGroup
	for _, e := range d.list() {
		if !d.dead[e.ID] {
			s := &membership.Sweeper{Self: e.Info, Entries: d.list, Check: d.check, Registry: d}
			wait.Go(func() { _ = s.Run(ctx) })
		}
	}
	wait.Wait()
}

// Guards against checks that grow with the fleet: a host makes a few a minute, however many
// others there are.
func TestChecksOfAHostDoNotGrowWithTheFleet(t *testing.T) {
	const minutes, maxChecksAMinute = 30, 3
	for _, hosts := range []int{7, 195} {
		synctest.Test(t, func(t *testing.T) {
			d := newDirectory(hosts, 0)
			d.sweep(minutes * time.Minute)
			assert.Equal(t, len(d.list()), hosts)
			assert.Assert(t, d.checks <= hosts*minutes*maxChecksAMinute, "%d checks of %d hosts", d.checks, hosts)
		})
	}
}

// Guards against entries that stay when a few live hosts follow on many that are gone.
func TestFewHostsRemoveManyEntries(t *testing.T) {
	for _, live := range []int{1, 3} {
		synctest.Test(t, func(t *testing.T) {
			d := newDirectory(live, 70)
			d.sweep(2 * time.Hour)
			assert.Equal(t, len(d.list()), live)
		})
	}
}

// Guards against an entry that stays because a later host answers at its address.
func TestEntryWhoseAddressIsReusedIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDirectory(3, 1)
		gone := d.entries["h3"].Info
		successor := gone
		successor.ID = "successor"
		d.write(membership.Entry{Info: successor})
		d.sweep(time.Hour)
		assert.Assert(t, !d.isListed(gone.ID))
		assert.Assert(t, d.isListed(successor.ID))
		assert.Equal(t, len(d.list()), 4)
	})
}
