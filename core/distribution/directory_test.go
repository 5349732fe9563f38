package distribution_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/distribution"
	"basilmill/core/host"
)

// directories are the directories of a fleet's hosts. Reads of the store count.
type directories struct {
	fleet *fleet
	lists map[host.ID]*distribution.Directory
	reads atomic.Int64
}

func newDirectories(f *fleet) *directories {
	d := &directories{fleet: f, lists: map[host.ID]*distribution.Directory{}}
	for id, n := range f.nodes {
		d.lists[id] = &distribution.Directory{Kind: "hosts", Follower: &n.follower, List: func(ctx context.Context, _ bool) (distribution.Update, error) {
			d.reads.Add(1)
			return view{f.store, id}.List(ctx, "hosts")
		}}
	}
	return d
}

// refresh refreshes the directory of one host and returns the names in it.
func (d *directories) refresh(id host.ID) (names map[string]bool, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	objects, err := d.lists[id].Refresh(ctx)
	names = map[string]bool{}
	for _, o := range objects {
		names[o.Key.Name] = true
	}
	return names, err
}

// refreshAll refreshes the directories of the given hosts one after the other.
func (d *directories) refreshAll(t *testing.T, hosts []host.Info) {
	t.Helper()
	for _, h := range hosts {
		_, err := d.refresh(h.ID)
		assert.NilError(t, err)
	}
}

// Hosts that read a list with an entry of each host cost the store the square of their
// number. After the first time, only the relays may read it.
func TestDirectoryIsReadByRelays(t *testing.T) {
	for _, hosts := range []int{10, 100} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, hosts)
			d := newDirectories(f)
			time.Sleep(time.Second)
			d.refreshAll(t, f.hosts)
			assert.Equal(t, d.reads.Load(), int64(hosts))
			for i := range 5 {
				f.store.write(fmt.Sprint("host", i), false)
				d.refreshAll(t, f.hosts)
			}
			assert.Equal(t, d.reads.Load(), int64(hosts+2*5))
			f.store.write("host0", true)
			d.refreshAll(t, f.hosts)
			for id := range f.nodes {
				names, err := d.refresh(id)
				assert.NilError(t, err)
				assert.DeepEqual(t, names, map[string]bool{"first": true, "host1": true, "host2": true, "host3": true, "host4": true})
			}
		})
	}
}

// A host must still learn of others when its relays don't answer, and keeps its list
// when the store doesn't either.
func TestDirectoryOutlivesItsRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 10)
		d := newDirectories(f)
		time.Sleep(time.Second)
		d.refreshAll(t, f.hosts)
		f.mu.Lock()
		f.frozen[f.hosts[0].ID], f.frozen[f.hosts[1].ID] = true, true
		f.mu.Unlock()
		f.store.write("new", false)
		last := f.hosts[9].ID
		names, err := d.refresh(last)
		assert.NilError(t, err)
		assert.Assert(t, names["new"])

		f.store.update(func() { f.store.failing[last] = true })
		_, err = d.refresh(last)
		assert.Assert(t, errors.Is(err, errStore), "%v", err)
		f.mu.Lock()
		clear(f.frozen)
		f.mu.Unlock()
		// The relays lack the new entry until they refresh: the host does not go back.
		_, err = d.refresh(last)
		assert.Assert(t, err != nil)
		d.refreshAll(t, f.hosts[:2])
		names, err = d.refresh(last)
		assert.NilError(t, err)
		assert.Assert(t, names["new"])
	})
}

// A relay that no longer refreshes its list, because it is cut from the store, must not
// be followed for good.
func TestOldDirectoryOfARelayIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 10)
		d := newDirectories(f)
		time.Sleep(time.Second)
		d.refreshAll(t, f.hosts)
		f.store.write("new", false)
		time.Sleep(31 * time.Second)
		names, err := d.refresh(f.hosts[9].ID)
		assert.NilError(t, err)
		assert.Assert(t, names["new"])
	})
}
