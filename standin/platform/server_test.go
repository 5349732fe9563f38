package platform_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/standin/platform"
)

// do serves a request with the given If-Match version, if any, and returns the
// response.
func do(t *testing.T, s http.Handler, method, path, ifMatch, body string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	if ifMatch != "" {
		r.Header.Set("If-Match", `"`+ifMatch+`"`)
	}
	w := httptest.NewRecorder()
	s.ServeHTTP(w, r)
	return w
}

// Guards against a conditional update that succeeds for two writers, and against
// two changes with the same version.
func TestConditionalPut(t *testing.T) {
	s := platform.New()
	assert.Equal(t, do(t, s, "PUT", "/objects/group/a", "0", `{"N":1}`).Body.String(), `{"Version":1}`+"\n")
	assert.Equal(t, do(t, s, "PUT", "/objects/account/b", "0", `{}`).Body.String(), `{"Version":2}`+"\n")
	conflict := do(t, s, "PUT", "/objects/group/a", "0", `{"N":2}`)
	assert.Equal(t, conflict.Code, http.StatusConflict)
	assert.Equal(t, conflict.Body.String(), `{"Kind":"group","Name":"a","Version":1,"Value":{"N":1}}`+"\n")
	assert.Equal(t, do(t, s, "PUT", "/objects/group/a", "1", `{"N":2}`).Code, http.StatusOK)
	assert.Equal(t, do(t, s, "GET", "/objects/group", "", "").Body.String(),
		`{"Version":3,"Items":[{"Kind":"group","Name":"a","Version":3,"Value":{"N":2}}]}`+"\n")

	assert.Equal(t, do(t, s, "GET", "/objects/group/none", "", "").Code, http.StatusNotFound)
	assert.Equal(t, do(t, s, "PUT", "/objects/group/a", "", `{}`).Code, http.StatusPreconditionRequired)
	large := `"` + strings.Repeat("x", platform.MaxValueBytes) + `"`
	assert.Equal(t, do(t, s, "PUT", "/objects/group/a", "3", large).Code, http.StatusRequestEntityTooLarge)
}

// Guards against a watch that misses a change, returns for changes of other kinds,
// or keeps waiting after its timeout or the start of an outage.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platform.New()
		put := func(kind string) {
			_, err := s.Put(platform.Key{Kind: kind, Name: "a"}, json.RawMessage(`1`), 0)
			assert.NilError(t, err)
		}
		time.AfterFunc(time.Second, func() { put("account") })
		time.AfterFunc(2*time.Second, func() { put("group") })
		start := time.Now()
		w := do(t, s, "GET", "/watch?after=0&wait=10s&kind=group", "", "")
		assert.Equal(t, time.Since(start), 2*time.Second)
		assert.Equal(t, w.Body.String(), `{"Version":2,"Items":[{"Kind":"group","Name":"a","Version":2,"Value":1}]}`+"\n")

		w = do(t, s, "GET", "/watch?after=2&wait=10s&kind=group", "", "")
		assert.Equal(t, time.Since(start), 12*time.Second)
		assert.Equal(t, w.Body.String(), `{"Version":2,"Items":[]}`+"\n")

		time.AfterFunc(time.Second, func() {
			assert.Equal(t, s.Calls().WaitingWatches, 1)
			s.SetOutage(platform.Unavailable)
		})
		w = do(t, s, "GET", "/watch?after=2&wait=10s&kind=group", "", "")
		assert.Equal(t, time.Since(start), 13*time.Second)
		assert.Equal(t, w.Code, http.StatusServiceUnavailable)
		assert.DeepEqual(t, s.Calls(), platform.Calls{Watch: 3})
	})
}

// Guards against a lost reply whose write does not take effect, and a black hole
// that responds.
func TestFaults(t *testing.T) {
	s := platform.New()
	server := httptest.NewServer(s)
	defer server.Close()
	call := func(ctx context.Context, method, path, body string) (*http.Response, error) {
		r, err := http.NewRequestWithContext(ctx, method, server.URL+path, strings.NewReader(body))
		assert.NilError(t, err)
		r.Header.Set("If-Match", `"0"`)
		return server.Client().Do(r)
	}
	response, err := call(t.Context(), "POST", "/admin/fault", `{"LoseReplies":1}`)
	assert.NilError(t, err)
	response.Body.Close()
	_, err = call(t.Context(), "PUT", "/objects/group/a", `1`)
	assert.ErrorIs(t, err, io.EOF)
	object, _ := s.Get(platform.Key{Kind: "group", Name: "a"})
	assert.Equal(t, object.Version, platform.Version(1))

	s.SetOutage(platform.BlackHole)
	ctx, cancel := context.WithTimeoutCause(t.Context(), 50*time.Millisecond, errors.New("no answer"))
	defer cancel()
	_, err = call(ctx, "GET", "/objects/group/a", "")
	assert.ErrorContains(t, err, "no answer")
}

// Guards against a host list that is returned before the configured lag has
// passed.
func TestHostLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := platform.New()
		list := `{"Hosts":[{"ID":"h1","DataCentre":"gent-a","Region":"flanders","PeerAddress":"127.0.0.1:1","State":"Live"}]}`
		assert.Equal(t, do(t, s, "PUT", "/admin/hosts", "", list).Code, http.StatusOK)
		assert.Equal(t, do(t, s, "POST", "/admin/fault", "", `{"HostLag":"5s","Delay":"1s"}`).Code, http.StatusOK)
		assert.Equal(t, do(t, s, "GET", "/hosts", "", "").Body.String(), `{"Hosts":[]}`+"\n")
		time.Sleep(4 * time.Second)
		assert.Equal(t, do(t, s, "GET", "/hosts", "", "").Body.String(), list+"\n")
	})
}
