package peer_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/io/peer"
)

// What a host has proven must reach another host with its age, and a host that
// has proven nothing must say so.
func TestBeliefsAreShared(t *testing.T) {
	want := peer.Belief{Position: group.Position{Term: 3, Offset: 17}, Age: 40 * time.Millisecond}
	mux := http.NewServeMux()
	mux.Handle(peer.BeliefHandler(func(id group.ID) (peer.Belief, bool) { return want, id == "known" }))
	server := httptest.NewServer(mux)
	defer server.Close()
	client := peer.BeliefClient{HTTP: server.Client()}
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	got, known, err := client.Ask(t.Context(), address, "known")
	assert.NilError(t, err)
	assert.Assert(t, known)
	assert.Equal(t, got, want)
	_, known, err = client.Ask(t.Context(), address, "other")
	assert.NilError(t, err)
	assert.Assert(t, !known)
	server.Close()
	_, _, err = client.Ask(t.Context(), address, "known")
	assert.Assert(t, err != nil)
}
