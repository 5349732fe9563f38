package objectstore

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"
)

// objectsPath is followed by the kind and, for one object, its name.
const objectsPath = "/basilmill/objects/"

// wireObject is an object in the body of an update.
type wireObject struct {
	Meta struct {
		Name     string `json:"name"`
		Revision int64  `json:"revision"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

// encodeObject encodes an object. The spec is copied as it is, because encoding/json
// refuses to encode some of those that other writers may leave.
func encodeObject(o Object) string {
	return fmt.Sprintf(`{"meta":{"name":%q,"revision":%d},"spec":%s}`, o.Name, o.Revision, o.Spec)
}

// RoundTrip implements http.RoundTripper: it serves the request without a network, with
// the given delay in each direction, so that a client can be tested under the virtual
// clock.
func (s *Server) RoundTrip(request *http.Request) (*http.Response, error) {
	const delay = 2 * time.Millisecond
	ctx := request.Context()
	answered := make(chan *http.Response, 1)
	go func() {
		time.Sleep(delay)
		recorder := httptest.NewRecorder()
		s.ServeHTTP(recorder, request)
		time.Sleep(delay)
		answered <- recorder.Result()
	}()
	select {
	case response := <-answered:
		if response.StatusCode == statusDown {
			return nil, errDown
		}
		return response, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// statusDown marks an answer that the client does not get, because the store is down.
const statusDown = 599

// errDown is the error of a call to a store that is down.
var errDown = errors.New("connection reset by the store")

// ServeHTTP implements the store's API.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, objectsPath), "/")
	k := key{kind, name}
	s.mu.Lock()
	defer s.mu.Unlock()
	call := r.Method + " " + kind
	if r.URL.Query().Has("watch") {
		call = "WATCH " + kind
	}
	if s.calls == nil {
		s.calls = map[string]int{}
	}
	s.calls[call]++
	if s.unavailable {
		w.WriteHeader(statusDown)
		return
	}
	switch {
	case r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, r, kind)
	case r.Method == http.MethodGet:
		if o, ok := s.objects[k]; ok {
			s.answer(w, http.StatusOK, encodeObject(o))
			return
		}
		s.answer(w, http.StatusNotFound, "{}")
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.serveUpdate(w, r, k)
	case r.Method == http.MethodDelete:
		s.serveDelete(w, r, k)
	default:
		s.answer(w, http.StatusMethodNotAllowed, "{}")
	}
}

// answer writes an answer with the era. The caller holds the lock.
func (s *Server) answer(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era+1, 10))
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The client may be gone.
	_, _ = io.WriteString(w, body)
}

// serveList answers with a page of a kind. The caller holds the lock.
func (s *Server) serveList(w http.ResponseWriter, r *http.Request, kind string) {
	items, hasMore := s.page(kind, r.URL.Query().Get("after"))
	encoded := make([]string, len(items))
	for i, o := range items {
		encoded[i] = encodeObject(o)
	}
	s.answer(w, http.StatusOK, fmt.Sprintf(`{"items":[%s],"hasMore":%t,"at":%d}`, strings.Join(encoded, ","), hasMore, s.revision))
}

// serveWatch waits for events. The caller holds the lock, which is released while it
// waits.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if errors.Join(err, waitErr) != nil {
		s.answer(w, http.StatusBadRequest, "{}")
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		events := s.since(kind, from)
		switch {
		case s.unavailable:
			w.WriteHeader(statusDown)
			return
		case from > s.revision:
			s.answer(w, http.StatusGone, "{}")
			return
		case len(events) > 0 || expired:
			s.answerEvents(w, events)
			return
		}
		changed := s.awaitChange()
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			expired = true
		}
		s.mu.Lock()
	}
}

// answerEvents answers a watch. The caller holds the lock.
func (s *Server) answerEvents(w http.ResponseWriter, events []event) {
	encoded := make([]string, len(events))
	for i, e := range events {
		encoded[i] = fmt.Sprintf(`{"object":%s,"deleted":%t}`, encodeObject(e.object), e.deleted)
	}
	s.answer(w, http.StatusOK, fmt.Sprintf(`{"events":[%s],"at":%d}`, strings.Join(encoded, ","), s.revision))
}

// serveUpdate creates or replaces an object. The caller holds the lock.
func (s *Server) serveUpdate(w http.ResponseWriter, r *http.Request, k key) {
	var object wireObject
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &object) != nil {
		s.answer(w, http.StatusBadRequest, "{}")
		return
	}
	create := r.Method == http.MethodPost
	if create {
		k.name = object.Meta.Name
	}
	current, exists := s.objects[k]
	switch {
	case create && exists, !create && exists && object.Meta.Revision != 0 && object.Meta.Revision != current.Revision:
		s.answer(w, http.StatusConflict, encodeObject(current))
	case !create && !exists:
		s.answer(w, http.StatusNotFound, "{}")
	default:
		s.answer(w, http.StatusOK, encodeObject(s.put(k, object.Spec)))
	}
}

// serveDelete removes an object. The caller holds the lock.
func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request, k key) {
	current, exists := s.objects[k]
	revision := r.URL.Query().Get("revision")
	switch {
	case !exists:
		s.answer(w, http.StatusNotFound, "{}")
	case revision != "" && revision != strconv.FormatInt(current.Revision, 10):
		s.answer(w, http.StatusConflict, encodeObject(current))
	default:
		s.remove(k)
		s.answer(w, http.StatusOK, encodeObject(current))
	}
}
