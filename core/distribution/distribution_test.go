package distribution_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"basilmill/core/distribution"
)

// Guards against configuration that steps back or is left out: hosts exchange
// updates in any order, repeated and with gaps, and must never lower an
// object's version; asking again from their own version completes them.
func TestExchangeNeverStepsBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var source distribution.Set
		hosts := make([]distribution.Set, 4)
		for version := distribution.Version(1); version <= 30; version++ {
			key := distribution.Key{Kind: "account", Name: fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "name"))}
			source.Merge(distribution.Update{After: version - 1, Version: version, Objects: []distribution.Object{{Key: key, Version: version}}})

			from, to := rapid.IntRange(-1, 3).Draw(t, "from"), rapid.IntRange(0, 3).Draw(t, "to")
			giver := &source
			if from >= 0 {
				giver = &hosts[from]
			}
			after := distribution.Version(rapid.Int64Range(0, int64(version)).Draw(t, "after"))
			seen := latest(&hosts[to])
			before := hosts[to].Version()
			hosts[to].Merge(giver.Since(after))
			for name, v := range latest(&hosts[to]) {
				assert.Assert(t, v >= seen[name], "object %s stepped back", name)
			}
			assert.Assert(t, hosts[to].Version() >= before)
			complete(t, &source, &hosts[to])
		}
		for i := range hosts {
			hosts[i].Merge(source.Since(hosts[i].Version()))
			assert.DeepEqual(t, latest(&hosts[i]), latest(&source))
		}
	})
}

// complete checks that a set holds what its version promises.
func complete(t *rapid.T, source, set *distribution.Set) {
	have := latest(set)
	for _, o := range source.Since(0).Objects {
		if o.Version <= set.Version() {
			assert.Assert(t, have[o.Key.Name] >= o.Version, "object %s missing at version %d", o.Key.Name, set.Version())
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
