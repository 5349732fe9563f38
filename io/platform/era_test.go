package platform_test

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/distribution"
	"basilmill/io/platform"
	standin "basilmill/standin/platform"
)

// Guards against versions of a lost history that are taken for present ones: by a watch,
// whether it waits or starts later, and by a conditional update.
func TestVersionsOfARestoredStoreAreNotUsed(t *testing.T) {
	ctx, store := t.Context(), standin.New()
	client := newClient(t, store, platform.Options{})
	key := platform.Key{Kind: platform.KindGroup, Name: "g"}
	first, err := client.Put(ctx, key, json.RawMessage("1"), 0)
	assert.NilError(t, err)
	from := store.Copy()
	lost, err := client.Put(ctx, key, json.RawMessage("2"), first)
	assert.NilError(t, err)

	ended := make(chan error, 1)
	go func() {
		_, err := client.Watch(ctx, lost, time.Minute)
		ended <- err
	}()
	for store.Calls().WaitingWatches == 0 {
		time.Sleep(time.Millisecond) // The stand-in answers over real sockets.
	}
	store.Restore(from)
	present, err := client.Get(ctx, key)
	assert.NilError(t, err)
	assert.Assert(t, present.Version > lost)
	assert.Equal(t, string(present.Value), "1")
	assert.ErrorIs(t, <-ended, distribution.ErrHistoryGone)
	_, err = client.Watch(ctx, lost, time.Minute)
	assert.ErrorIs(t, err, distribution.ErrHistoryGone)
	items, err := client.Watch(ctx, 0, time.Minute)
	assert.NilError(t, err)
	assert.DeepEqual(t, items, platform.Items{Version: present.Version, Items: []platform.Object{present}})

	// The revision of the lost change is given out again.
	again, err := client.Put(ctx, key, json.RawMessage("3"), present.Version)
	assert.NilError(t, err)
	assert.Equal(t, again.Revision(), lost.Revision())
	_, err = client.Put(ctx, key, json.RawMessage("4"), lost)
	var conflict *platform.ConflictError
	assert.Assert(t, errors.As(err, &conflict), "%v", err)
	assert.Equal(t, conflict.Current.Version, again)
}

// Guards against an update whose result is taken for certain although the store was
// restored between the read and the update.
func TestUpdateAcrossARestorationIsUnknown(t *testing.T) {
	ctx, store := t.Context(), standin.New()
	client := newClient(t, store, platform.Options{})
	key := platform.Key{Kind: platform.KindGroup, Name: "g"}
	version, err := client.Put(ctx, key, json.RawMessage("1"), 0)
	assert.NilError(t, err)
	store.Restore(store.Copy())
	_, err = client.Put(ctx, key, json.RawMessage("2"), version)
	var unknown *platform.UnknownResultError
	assert.Assert(t, errors.As(err, &unknown), "%v", err)
	object, err := client.Get(ctx, key)
	assert.NilError(t, err)
	assert.Equal(t, string(object.Value), "2")
	_, err = client.Put(ctx, key, json.RawMessage("3"), object.Version)
	assert.NilError(t, err)
}
