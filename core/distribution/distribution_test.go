package distribution_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilmill/core/distribution"
)

// Guards against objects that revert to an older version or are lost. Hosts
// exchange updates in any order, with repetitions and gaps. No object's version may
// decrease, and an update since its own version must complete each host.
func TestMergeNeverRevertsVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source distribution.Set
		hosts := make([]distribution.Set, 4)
		for version := distribution.Version(1); version <= 30; version++ {
			key := distribution.Key{Kind: "account", Name: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name"))}
			source.Merge(distribution.Update{After: version - 1, Version: version, Objects: []distribution.Object{{Key: key, Version: version}}})

			from, to := rapid.IntRange(-1, 3).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "to")
			sender := &source
			if from >= 0 {
				sender = &hosts[from]
			}
			after := distribution.Version(rapid.Int64Range(0, int64(version)).Draw(t, "after"))
			previous := latest(&hosts[to])
			previousVersion := hosts[to].Version()
			hosts[to].Merge(sender.Since(after))
			for name, v := range latest(&hosts[to]) {
				assert.Assert(t, v >= previous[name], "object %s reverted to an older version", name)
			}
			assert.Assert(t, hosts[to].Version() >= previousVersion)
			checkComplete(t, &source, &hosts[to])
		}
		for i := range hosts {
			hosts[i].Merge(source.Since(hosts[i].Version()))
			assert.DeepEqual(t, latest(&hosts[i]), latest(&source))
		}
	})
}

// checkComplete checks that a set contains every object up to its version.
func checkComplete(t *rapid.T, source, set *distribution.Set) {
	versions := latest(set)
	for _, o := range source.Since(0).Objects {
		if o.Version <= set.Version() {
			assert.Assert(t, versions[o.Key.Name] >= o.Version, "object %s missing at version %d", o.Key.Name, set.Version())
		}
	}
}

func latest(s *distribution.Set) map[string]distribution.Version {
	out := make(map[string]distribution.Version)
	for _, o := range s.Since(0).Objects {
		out[o.Key.Name] = o.Version
	}
	return out
}
