package distribution_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"basilmill/core/distribution"
)

// Every version of a later era must be higher, whatever its revision.
func TestVersionsOrderByEraFirst(t *testing.T) {
	late, err := distribution.NewVersion(1, 1<<48-1)
	assert.NilError(t, err)
	early, err := distribution.NewVersion(2, 1)
	assert.NilError(t, err)
	assert.Assert(t, early > late)
	assert.Equal(t, early.Era(), distribution.Era(2))
	assert.Equal(t, early.Revision(), int64(1))
	assert.Equal(t, late.Revision(), int64(1<<48-1))
}

// A number that does not fit must not be taken for another version.
func TestVersionOutOfRange(t *testing.T) {
	for _, v := range []struct {
		era      distribution.Era
		revision int64
	}{{-1, 1}, {0, -1}, {1 << 15, 1}, {0, 1 << 48}, {math.MaxInt64, math.MaxInt64}} {
		_, err := distribution.NewVersion(v.era, v.revision)
		assert.Assert(t, err != nil, "%v", v)
	}
}

// A late answer of an earlier era must neither bring lost objects back nor replace newer
// ones, and receivers of an earlier era must get the whole list.
func TestSetOfALaterEra(t *testing.T) {
	version := func(era distribution.Era, revision int64) distribution.Version {
		v, err := distribution.NewVersion(era, revision)
		assert.NilError(t, err)
		return v
	}
	object := func(name string, v distribution.Version) distribution.Object {
		return distribution.Object{Key: distribution.Key{Kind: kind, Name: name}, Version: v}
	}
	var s distribution.Set
	s.Replace(distribution.Update{Version: version(1, 90), Objects: []distribution.Object{object("a", version(1, 90)), object("lost", version(1, 80))}})
	restored := distribution.Update{Version: version(2, 50), Objects: []distribution.Object{object("a", version(2, 40))}}
	s.Replace(restored)
	s.Merge(distribution.Update{After: version(1, 90), Version: version(1, 95), Objects: []distribution.Object{object("lost", version(1, 95))}})
	s.Replace(distribution.Update{Version: version(1, 96), Objects: []distribution.Object{object("lost", version(1, 96))}})
	assert.Equal(t, s.Version(), version(2, 50))
	assert.DeepEqual(t, s.Since(version(1, 95)), restored)
	changed := s.Merge(distribution.Update{After: version(2, 50), Version: version(2, 51), Objects: []distribution.Object{object("a", version(2, 51))}})
	assert.Equal(t, len(changed), 1)
}
