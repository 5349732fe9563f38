package accounts_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/cmd/internal/accounts"
	"basilmill/core/account"
	"basilmill/core/distribution"
	"basilmill/core/group"
	"basilmill/io/platform"
	standin "basilmill/standin/platform"
)

// directTransport passes requests to the stand-in server without a socket, so that
// tests can run in a synctest bubble. A panic of the server, with which it drops
// a reply, is a broken connection.
type directTransport struct {
	server *standin.Server
}

func (d directTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			response, err = nil, io.ErrUnexpectedEOF
		}
	}()
	if r.Body == nil {
		r.Body = http.NoBody
	}
	w := httptest.NewRecorder()
	d.server.ServeHTTP(w, r)
	return w.Result(), nil
}

func newAPI(server *standin.Server) platform.API {
	return platform.NewClient(netip.MustParseAddrPort("127.0.0.1:1"), platform.Options{Transport: directTransport{server}})
}

// hookedAPI calls a hook, if set, instead of the next update of an account.
type hookedAPI struct {
	platform.API
	putHook func(key platform.Key, value json.RawMessage, ifMatch distribution.Version) (distribution.Version, error)
}

func (h *hookedAPI) Put(ctx context.Context, key platform.Key, value json.RawMessage, ifMatch distribution.Version) (distribution.Version, error) {
	if put := h.putHook; put != nil && key.Kind == platform.KindAccount {
		h.putHook = nil
		return put(key, value, ifMatch)
	}
	return h.API.Put(ctx, key, value, ifMatch)
}

func request(change account.ChangeID, id account.ID, base account.Revision, slots int) account.Request {
	key := strings.Repeat("A", 43) + "="
	return account.Request{ChangeID: change, Operator: "els", Time: time.Unix(0, 0), Template: account.Template{
		ID: id, Revision: base, Slots: slots,
		Groups:   []account.Claim{{Group: group.ID("g"), Databases: []string{"d"}}},
		Verifier: account.Verifier("SCRAM-SHA-256$4096:c2FsdA==$" + key + ":" + key),
	}.WithDefaults()}
}

// Guards against a change that is lost, applied twice or missing from the history
// when the reply to every update is lost and the list of changes is full.
func TestEveryReplyLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := standin.New()
		store := accounts.Store{API: newAPI(server), RetryTimeout: time.Minute}
		server.LoseReplies(1000)
		const revisions = 3*account.MaxChanges + 1
		_, err := store.Submit(t.Context(), request("c0", "a", 0, 1))
		assert.NilError(t, err)
		for i := account.Revision(1); i < revisions; i++ {
			result, err := store.Revise(t.Context(), request(account.ChangeID("c"+string(rune('0'+i))), "a", i, 1+int(i%2)))
			assert.NilError(t, err)
			assert.Assert(t, result.FoundOnReadBack)
			assert.Equal(t, result.Change.Revision, i+1)
		}
		history, err := store.History(t.Context(), "a")
		assert.NilError(t, err)
		assert.Equal(t, len(history), revisions)

		// A command that is repeated after many other changes finds its change in
		// an audit object.
		result, err := store.Submit(t.Context(), request("c0", "a", 0, 1))
		assert.NilError(t, err)
		assert.Equal(t, result.Change.Revision, account.Revision(1))
	})
}

// Guards against a delayed update that takes effect after the writer has read the
// account again and is then mistaken for another operator's change, and against
// an undetected change of another operator between the read and the update.
func TestConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		api := newAPI(standin.New())
		other := accounts.Store{API: api}
		hook := &hookedAPI{API: api}
		store := accounts.Store{API: hook, RetryTimeout: time.Minute}
		hook.putHook = func(key platform.Key, value json.RawMessage, ifMatch distribution.Version) (distribution.Version, error) {
			hook.putHook = func(platform.Key, json.RawMessage, distribution.Version) (distribution.Version, error) {
				_, err := api.Put(ctx, key, value, ifMatch)
				assert.NilError(t, err)
				return api.Put(ctx, key, value, ifMatch)
			}
			return 0, &platform.UnknownResultError{Key: key, Cause: io.ErrUnexpectedEOF}
		}
		result, err := store.Submit(ctx, request("c1", "a", 0, 1))
		assert.NilError(t, err)
		assert.Equal(t, result.Change.ID, account.ChangeID("c1"))

		hook.putHook = func(key platform.Key, value json.RawMessage, ifMatch distribution.Version) (distribution.Version, error) {
			_, err := other.Revise(ctx, request("c2", "a", 1, 7))
			assert.NilError(t, err)
			return api.Put(ctx, key, value, ifMatch)
		}
		_, err = store.Revise(ctx, request("c3", "a", 1, 8))
		var race *account.RaceError
		assert.Assert(t, errors.As(err, &race), "%v", err)
		assert.Equal(t, race.Winner.ID, account.ChangeID("c2"))
		assert.DeepEqual(t, race.Diff, []account.Difference{{Path: "Slots", Before: "1", After: "7"}})
		history, err := store.History(ctx, "a")
		assert.NilError(t, err)
		assert.Equal(t, len(history), 2)
	})
}

// Guards against two accounts that claim the same group at the same time while
// both commands report success.
func TestClaimRace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		api := newAPI(standin.New())
		hook := &hookedAPI{API: api}
		hook.putHook = func(key platform.Key, value json.RawMessage, ifMatch distribution.Version) (distribution.Version, error) {
			_, err := accounts.Store{API: api}.Submit(t.Context(), request("c2", "b", 0, 1))
			assert.NilError(t, err)
			return api.Put(t.Context(), key, value, ifMatch)
		}
		_, err := accounts.Store{API: hook}.Submit(t.Context(), request("c1", "a", 0, 1))
		var race *accounts.ClaimRaceError
		assert.Assert(t, errors.As(err, &race), "%v", err)
		assert.Equal(t, race.Faults[0].String(), "Groups[0].Group: the group is claimed by account b and not shared by both")
	})
}
