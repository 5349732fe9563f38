package peer_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/distribution"
	"basilmill/core/host"
	"basilmill/io/peer"
)

// objectSource is the store of a relay. It answers watches with the removal of an
// object.
type objectSource struct{}

func objectA() distribution.Object {
	return distribution.Object{Key: distribution.Key{Kind: "k", Name: "a"}, Version: 7, Value: []byte("{}")}
}

func removedA() distribution.Object {
	return distribution.Object{Key: distribution.Key{Kind: "k", Name: "a"}, Version: 9, Removed: true}
}

func (objectSource) List(context.Context, distribution.Kind) (distribution.Update, error) {
	return distribution.Update{Version: 8, Objects: []distribution.Object{objectA()}}, nil
}

func (objectSource) Watch(_ context.Context, _ distribution.Kind, after distribution.Version, _ time.Duration) (distribution.Update, error) {
	return distribution.Update{After: after, Version: 9, Objects: []distribution.Object{removedA()}}, nil
}

// noRelays is a network without other hosts.
type noRelays struct{}

func (noRelays) AwaitRanked(context.Context) error { return nil }

func (noRelays) Ranked() []host.Info { return nil }

func (noRelays) Pull(context.Context, host.Info, distribution.Kind, distribution.Version, time.Duration) (distribution.Update, bool, error) {
	return distribution.Update{}, false, nil
}

// A pull must carry the kind, the removal of objects, and whether the copy is current.
func TestPullFromRelay(t *testing.T) {
	started := time.Now()
	relay := &distribution.Relay{Clock: func() time.Duration { return time.Since(started) }}
	self := host.Info{ID: "h1", DataCentre: "dc", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")}
	to := serveHost(t, func(mux *http.ServeMux) { mux.Handle(peer.PullHandler(self, relay)) })
	client := peer.NewClient(func() host.Info { return self }, nil)
	defer client.Close()
	pull := func(kind distribution.Kind, after distribution.Version) peer.PullReply {
		reply, _, err := client.Pull(context.Background(), to, peer.Pull{Kind: kind, After: after, WaitTimeout: 10 * time.Millisecond})
		assert.NilError(t, err)
		return reply
	}
	assert.Assert(t, !pull("k", 0).Current)
	follower := distribution.Follower{Self: "h1", Store: objectSource{}, Relay: relay, Network: noRelays{}}
	_, err := follower.List(context.Background(), "k")
	assert.NilError(t, err)
	reply := pull("k", 0)
	assert.Assert(t, reply.Current)
	assert.Assert(t, reply.Update.Age > 0 && reply.Update.Age < time.Second)
	assert.DeepEqual(t, reply.Update, distribution.Update{Version: 8, Objects: []distribution.Object{objectA()}, Age: reply.Update.Age})
	assert.Assert(t, !pull("other", 0).Current)
	assert.Assert(t, !pull("k", 10).Current)
	_, err = follower.Watch(context.Background(), "k", 8, time.Second)
	assert.NilError(t, err)
	reply = pull("k", 8)
	assert.Assert(t, reply.Update.Age > 0 && reply.Update.Age < time.Second)
	assert.DeepEqual(t, reply.Update, distribution.Update{After: 8, Version: 9, Objects: []distribution.Object{removedA()}, Age: reply.Update.Age})
	relay.Close()
	assert.Assert(t, !pull("k", 8).Current)
}
