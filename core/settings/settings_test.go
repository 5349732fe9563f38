package settings_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"basilmill/core/settings"
	"basilmill/core/validate"
)

// Guards against accepting two listeners on one address, and against rejecting
// addresses that do not conflict.
func TestDuplicateAddresses(t *testing.T) {
	for name, tc := range map[string]struct {
		listen, peer, operator, platform string
		want                             validate.Faults
	}{
		"distinct":                  {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.2:1", "127.0.0.1:4", nil},
		"free ports":                {"127.0.0.1:0", "127.0.0.1:0", "0.0.0.0:0", "127.0.0.1:4", nil},
		"remote port as local port": {"0.0.0.0:4", "127.0.0.1:2", "127.0.0.1:3", "10.0.0.1:4", nil},
		"wildcard address first": {"0.0.0.0:1", "127.0.0.1:2", "127.0.0.1:1", "127.0.0.1:4", validate.Faults{
			{Path: "OperatorListen", Problem: validate.Duplicate{Of: "Listen"}},
		}},
		"wildcard address second": {"127.0.0.1:1", "[::]:1", "127.0.0.1:3", "127.0.0.1:3", validate.Faults{
			{Path: "PeerListen", Problem: validate.Duplicate{Of: "Listen"}},
			{Path: "Platform", Problem: validate.Duplicate{Of: "OperatorListen"}},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings.Settings{
				HostID: "h", DataCentre: "d", Region: "r",
				Listen: netip.MustParseAddrPort(tc.listen), PeerListen: netip.MustParseAddrPort(tc.peer),
				OperatorListen: netip.MustParseAddrPort(tc.operator), Platform: netip.MustParseAddrPort(tc.platform),
			}.WithDefaults()
			assert.DeepEqual(t, s.Validate(), tc.want)
		})
	}
}
