package restored_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/host"
)

const (
	// relayedHosts is a small number of hosts with which some read the store for the others.
	relayedHosts = 6
	// replacements is the number of hosts that are replaced in a test.
	replacements = 20
	// removalTime is the time in which the entries of hosts that are gone must be removed.
	removalTime = 20 * time.Minute
	// returnTime is the time in which a live host must be listed again.
	returnTime = 30 * time.Second
)

// replace starts a host and ends another one for good.
func (f *fleet) replace(old host.Info, info host.Info) {
	n := f.newNode(info)
	f.mu.Lock()
	f.nodes[info.ID] = n
	f.hosts = append(slices.DeleteFunc(slices.Clone(f.hosts), func(h host.Info) bool { return h == old }), info)
	f.unreachable[old.ID] = true
	ended := f.nodes[old.ID]
	f.mu.Unlock()
	ended.stop()
	f.startNode(context.Background(), info.ID, n)
}

// setUnreachable makes a host answer no other host.
func (f *fleet) setUnreachable(id host.ID, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[id] = unreachable
}

// stopAll ends the hosts, also those that were started later.
func (f *fleet) stopAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		n.stop()
	}
}

// isListed reports whether the store has the entry of a host.
func (f *fleet) isListed(id host.ID) bool {
	_, ok := f.store.Get("hosts", string(id))
	return ok
}

// requireOnlyLive requires the entries of exactly the hosts that live.
func (f *fleet) requireOnlyLive(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.nodes {
		lives := slices.ContainsFunc(f.hosts, func(h host.Info) bool { return h.ID == id })
		assert.Equal(t, f.isListed(id), lives, "%s", id)
	}
}

// Guards against a list of hosts that grows with every machine that is replaced, so that
// requests meet only gateways that are gone.
func TestEntriesOfReplacedHostsLeaveTheList(t *testing.T) {
	for _, hosts := range []int{aloneHosts, relayedHosts} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			runFleet(t, hosts, func(t *testing.T, f *fleet) {
				defer f.stopAll()
				all := f.store.Copy()
				for i := range replacements {
					f.replace(f.hosts[0], hostInfo(hosts+i))
					time.Sleep(5 * time.Second)
				}
				time.Sleep(removalTime)
				f.requireOnlyLive(t)
				calls := f.store.Calls("PUT hosts") + f.store.Calls("DELETE hosts")
				assert.Assert(t, calls <= 3*replacements, "%d writes for %d entries", calls, replacements)

				f.restore(all, time.Second)
				time.Sleep(removalTime)
				f.requireOnlyLive(t)
			})
		})
	}
}

// Guards against a host that loses its entry because it was partitioned, frozen or
// suspended for a while.
func TestSilentHostKeepsItsEntry(t *testing.T) {
	runFleet(t, aloneHosts, func(t *testing.T, f *fleet) {
		silent := f.hosts[1].ID
		for range 3 {
			f.setUnreachable(silent, true)
			time.Sleep(2 * time.Minute)
			f.setUnreachable(silent, false)
			time.Sleep(5 * time.Minute)
		}
		assert.Equal(t, f.store.Calls("PUT hosts")+f.store.Calls("DELETE hosts"), 0)
	})
}

// Guards against the removal of a live host that no other host reaches, while it reaches
// the store.
func TestUnreachableLiveHostKeepsItsEntry(t *testing.T) {
	runFleet(t, aloneHosts, func(t *testing.T, f *fleet) {
		cut := f.hosts[1].ID
		f.setUnreachable(cut, true)
		for range 2 * removalTime / time.Second {
			time.Sleep(time.Second)
			assert.Assert(t, f.isListed(cut))
		}
	})
}

// Guards against a host that stays without an entry after it was cut off from everything
// for so long that its entry was removed.
func TestHostThatIsBackIsListedAgain(t *testing.T) {
	runFleet(t, aloneHosts, func(t *testing.T, f *fleet) {
		cut := f.nodes[f.hosts[1].ID]
		setCutOff := func(cutOff bool) {
			f.setUnreachable(f.hosts[1].ID, cutOff)
			cut.mu.Lock()
			defer cut.mu.Unlock()
			cut.cutOff = cutOff
		}
		setCutOff(true)
		time.Sleep(removalTime)
		assert.Assert(t, !f.isListed(f.hosts[1].ID))
		setCutOff(false)
		time.Sleep(returnTime)
		assert.Assert(t, f.isListed(f.hosts[1].ID))
	})
}

// Guards against live hosts that are removed because the store was away for long.
func TestOutageOfTheStoreRemovesNoHost(t *testing.T) {
	runFleet(t, aloneHosts, func(t *testing.T, f *fleet) {
		f.store.SetUnavailable(true)
		time.Sleep(removalTime)
		f.store.SetUnavailable(false)
		time.Sleep(removalTime)
		assert.Equal(t, f.store.Calls("PUT hosts")+f.store.Calls("DELETE hosts"), 0)
		f.requireOnlyLive(t)
	})
}
