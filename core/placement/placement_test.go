package placement_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/placement"
)

func hosts(n int, dataCentres ...host.DataCentre) []host.Info {
	out := make([]host.Info, n)
	for i := range out {
		out[i] = host.Info{
			ID:         host.ID(fmt.Sprintf("host-%d", i)),
			DataCentre: dataCentres[i%len(dataCentres)],
		}
	}
	return out
}

func ids(hosts []host.Info) (out []host.ID) {
	for _, h := range hosts {
		out = append(out, h.ID)
	}
	return out
}

func record(i int) *group.Record {
	return &group.Record{ID: group.ID(fmt.Sprintf("group-%d", i)), Servers: []group.Server{
		{ID: "a", DataCentre: "gent-a"}, {ID: "b", DataCentre: "namur-a"}, {ID: "c", DataCentre: "brussel-a"},
	}}
}

// Guards against coordinators that share a data centre while others have none:
// one lost data centre must leave two observers.
func TestCoordinatorsSpreadOverDataCentres(t *testing.T) {
	all := hosts(12, "gent-a", "namur-a", "brussel-a", "luik-a")
	for i := range 200 {
		seen := make(map[host.DataCentre]bool)
		for _, h := range placement.Coordinators(record(i), all, 3) {
			seen[h.DataCentre] = true
		}
		assert.Equal(t, len(seen), 3)
		assert.Assert(t, !seen["luik-a"], "a data centre without a server came before one with a server")
	}
}

// Guards against the loss of one host moving the work of others, which would
// reopen connections everywhere.
func TestLostHostMovesOnlyItsOwnWork(t *testing.T) {
	all := hosts(9, "gent-a", "namur-a", "brussel-a")
	lost := all[4]
	rest := append(append([]host.Info{}, all[:4]...), all[5:]...)
	for i := range 200 {
		before := placement.Coordinators(record(i), all, 3)
		after := placement.Coordinators(record(i), rest, 3)
		kept := make(map[host.ID]bool)
		for _, h := range after {
			kept[h.ID] = true
		}
		for _, h := range before {
			assert.Assert(t, h.ID == lost.ID || kept[h.ID], "group %d moved from %s", i, h.ID)
		}
	}
}

// Guards against a stale assignment: whenever Affected says no, choosing again
// must give the same coordinators, or two hosts would disagree on them.
func TestAffectedMissesNoChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		centres := []host.DataCentre{"gent-a", "namur-a", "brussel-a", "luik-a"}
		all := hosts(30, centres[:rapid.IntRange(1, 4).Draw(t, "centres")]...)
		cut := rapid.IntRange(3, 29).Draw(t, "cut")
		before, added := all[:cut], all[cut:cut+1]
		gone := rapid.IntRange(0, cut-1).Draw(t, "gone")
		after := append(append(append([]host.Info{}, before[:gone]...), before[gone+1:]...), added...)
		r := record(rapid.IntRange(0, 1000).Draw(t, "group"))
		current := placement.Coordinators(r, before, 3)
		if !placement.CoordinatorsMayChange(r, current, 3, added, before[gone:gone+1]) {
			assert.DeepEqual(t, ids(placement.Coordinators(r, after, 3)), ids(current))
		}
	})
}

// Measures the choice that a starting host makes for each of 8,100 groups.
func BenchmarkCoordinators(b *testing.B) {
	all := hosts(3900, "a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l")
	for i := range b.N {
		placement.Coordinators(record(i), all, 3)
	}
}
