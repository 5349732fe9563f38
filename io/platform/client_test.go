package platform_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/io/platform"
	standin "basilmill/standin/platform"
)

func newClient(t *testing.T, handler http.Handler, options platform.Options) *platform.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := platform.NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()), options)
	t.Cleanup(client.Close)
	return client
}

// Guards against errors that do not state whether an update took effect, and
// against a watch that misses a change after the list that it follows.
func TestClient(t *testing.T) {
	ctx, store := t.Context(), standin.New()
	client := newClient(t, store, platform.Options{})
	key := platform.Key{Kind: platform.KindGroup, Name: "naamboek/1 ü?"}

	_, err := client.Get(ctx, key)
	var notFound *platform.NotFoundError
	assert.Assert(t, errors.As(err, &notFound), "%v", err)

	version, err := client.Put(ctx, key, json.RawMessage(`{"A":1}`), 0)
	assert.NilError(t, err)
	_, err = client.Put(ctx, key, json.RawMessage(`{"A":2}`), 0)
	var conflict *platform.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	want := platform.Object{Key: key, Version: version, Value: json.RawMessage(`{"A":1}`)}
	assert.DeepEqual(t, conflict.Current, want)

	items, err := client.List(ctx, platform.KindGroup)
	assert.NilError(t, err)
	assert.DeepEqual(t, items, platform.Items{Version: version, Items: []platform.Object{want}})
	next, err := client.Put(ctx, key, json.RawMessage(`{"A":2}`), version)
	assert.NilError(t, err)
	items, err = client.Watch(ctx, items.Version, time.Minute, platform.KindGroup, platform.KindAccount)
	assert.NilError(t, err)
	assert.Equal(t, items.Items[0].Version, next)

	store.LoseReplies(1)
	_, err = client.Put(ctx, key, json.RawMessage(`{"A":3}`), next)
	var unknown *platform.UnknownResultError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	object, err := client.Get(ctx, key)
	assert.NilError(t, err)
	assert.Equal(t, string(object.Value), `{"A":3}`)

	store.SetOutage(standin.Unavailable)
	_, err = client.Put(ctx, key, json.RawMessage(`{"A":4}`), object.Version)
	var outage *platform.OutageError
	assert.Assert(t, errors.As(err, &outage), "%v", err)

	store.SetOutage(standin.NoOutage)
	_, err = client.Put(ctx, key, json.RawMessage(`"`+strings.Repeat("x", 1<<20)+`"`), object.Version)
	var refused *platform.RefusedError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	assert.Equal(t, refused.Status, http.StatusRequestEntityTooLarge)
}

// Guards against an update that was never sent but is reported as possibly
// applied, against one that timed out but is reported as not applied, and against
// calls without a timeout.
func TestClientTimeouts(t *testing.T) {
	store := standin.New()
	store.SetOutage(standin.BlackHole)
	client := newClient(t, store, platform.Options{Timeout: 50 * time.Millisecond})
	key := platform.Key{Kind: platform.KindGroup, Name: "a"}

	_, err := client.Put(t.Context(), key, json.RawMessage(`1`), 0)
	var unknown *platform.UnknownResultError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	_, err = client.Watch(t.Context(), 0, time.Millisecond)
	var outage *platform.OutageError
	assert.Assert(t, errors.As(err, &outage), "%v", err)

	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = client.Get(cancelled, key)
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, !errors.As(err, new(*platform.OutageError)))

	closed := httptest.NewServer(store)
	address := netip.MustParseAddrPort(closed.Listener.Addr().String())
	closed.Close()
	_, err = platform.NewClient(address, platform.Options{}).Put(t.Context(), key, json.RawMessage(`1`), 0)
	assert.Assert(t, errors.As(err, &outage), "%v", err)
}

// Guards against a response that exhausts the host's memory, and against a
// truncated or invalid response that is accepted.
func TestClientRejectsAnswers(t *testing.T) {
	response := `{"Version":1,"Items":[]}`
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(response))
	}), platform.Options{MaxListBytes: 30})
	_, err := client.List(t.Context(), platform.KindGroup)
	assert.NilError(t, err)
	var invalid *platform.InvalidResponseError
	for _, response = range []string{`{"Version":1,"Items":[]}           `, `{"Version":1,`} {
		_, err = client.List(t.Context(), platform.KindGroup)
		assert.Assert(t, errors.As(err, &invalid), "%v", err)
	}
	response = `{"Hosts":[{"ID":"a","PeerAddress":"127.0.0.1:1","State":"Gone"}]}`
	client = newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(response))
	}), platform.Options{})
	_, err = client.Hosts(t.Context())
	assert.ErrorContains(t, err, `unknown state "Gone"`)
}

// Guards against fields that are encoded but not decoded, or the reverse.
func TestGroupCodec(t *testing.T) {
	record := &group.Record{
		ID: "naamboek-1", Term: 3, Generation: 7, Primary: "a", Successor: "b", Candidate: "c",
		Databases: []string{"lineage"}, ConnectionLimit: 16,
		Servers: []group.Server{{
			ID: "a", Address: netip.MustParseAddrPort("127.0.0.1:5432"), DataCentre: "gent-a", Leaving: true,
		}},
		ChangeID: "x2",
		Changes: []group.Change{{
			ID: "x1", Host: "h1", Time: time.Date(2026, 3, 1, 10, 0, 0, 0, time.UTC), Cause: "primary lost",
			Term: 3, Generation: 7, Primary: "a", Successor: "b",
		}},
	}
	value, err := platform.EncodeGroup(record)
	assert.NilError(t, err)
	decoded, err := platform.DecodeGroup(value)
	assert.NilError(t, err)
	assert.Assert(t, reflect.DeepEqual(decoded, record), "%+v", decoded)
}

// Guards against an object of another kind that is decoded as an empty one.
func TestCodecsRejectForeignObjects(t *testing.T) {
	_, err := platform.DecodeGroup(json.RawMessage(`{"ID":"a","Term":1}`))
	assert.ErrorContains(t, err, "lacks its id")
	_, err = platform.DecodeAccount(json.RawMessage(`{"ID":"a"}`))
	assert.ErrorContains(t, err, "lacks its id")
	_, err = platform.DecodeAudit(json.RawMessage(`{}`))
	assert.ErrorContains(t, err, "lacks its id")
}

// Guards against a host list whose fields are assigned to the wrong ones.
func TestHosts(t *testing.T) {
	store := standin.New()
	store.SetHosts([]standin.Host{{ID: "h1", DataCentre: "gent-a", Region: "flanders", PeerAddress: "127.0.0.1:9000", State: "Leaving"}})
	hosts, err := newClient(t, store, platform.Options{}).Hosts(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, hosts[0], host.Info{
		ID: "h1", DataCentre: "gent-a", Region: "flanders",
		PeerAddress: netip.MustParseAddrPort("127.0.0.1:9000"), State: host.Leaving,
	})
}
