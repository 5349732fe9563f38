package distribution_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/distribution"
)

// The first era that a host sees is no restoration, and late answers of an earlier era
// change nothing.
func TestOnlyARiseOfTheEraIsARestoration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var rises []distribution.Era
		eras := distribution.Eras{OnRise: func(before, now distribution.Era) { rises = append(rises, before, now) }}
		risen := eras.Risen()
		eras.Note(3)
		firstSeen := time.Now()
		time.Sleep(time.Second)
		for _, era := range []distribution.Era{3, 2, 0} {
			eras.Note(era)
		}
		era, seenAt := eras.Newest()
		assert.Equal(t, era, distribution.Era(3))
		assert.Equal(t, seenAt, firstSeen)
		assert.Equal(t, len(rises), 0)
		eras.Note(4)
		eras.Note(4)
		<-risen
		era, seenAt = eras.Newest()
		assert.Equal(t, era, distribution.Era(4))
		assert.Equal(t, seenAt, time.Now())
		assert.DeepEqual(t, rises, []distribution.Era{3, 4})
	})
}
