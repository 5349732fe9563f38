package membership_test

import (
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/host"
	"basilmill/core/membership"
)

func info(id host.ID) host.Info {
	return host.Info{ID: id, DataCentre: "gent-a", PeerAddress: netip.MustParseAddrPort("127.0.0.1:7001")}
}

func ids(hosts []host.Info) (out []host.ID) {
	for _, h := range hosts {
		out = append(out, h.ID)
	}
	return out
}

// Guards against relying on a stale host list alone: a new host may not be listed
// yet, a failed host may still be listed, and a leaving host may be listed as live.
func TestUsableHostsWithStaleList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var v membership.View
		v.SetList([]host.Info{info("a"), info("b")})
		v.RecordSuccess(info("new"))
		assert.DeepEqual(t, ids(v.Usable()), []host.ID{"a", "b", "new"})

		for range 3 {
			v.RecordFailure("b")
		}
		assert.DeepEqual(t, ids(v.Usable()), []host.ID{"a", "new"})

		v.MarkLeaving(info("a"))
		v.SetList([]host.Info{info("a"), info("b")})
		assert.DeepEqual(t, ids(v.Usable()), []host.ID{"new"})

		time.Sleep(membership.DefaultFailureBackoff)
		assert.DeepEqual(t, ids(v.Usable()), []host.ID{"b", "new"})
		time.Sleep(membership.DefaultContactTTL)
		assert.DeepEqual(t, ids(v.Usable()), []host.ID{"b"})
	})
}
