package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store, with the calls that PROTOCOL.md names.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision int64
	objects  map[string]storedObject // by kind/name
	events   []storeEvent
	changed  chan struct{}
}

type storedObject struct {
	kind, name string
	revision   int64
	spec       json.RawMessage
}

type storeEvent struct {
	object  storedObject
	deleted bool
}

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: listener, revision: 100, objects: map[string]storedObject{}, changed: make(chan struct{})}
	s.serve()
	return s, nil
}

func (s *store) serve() {
	server := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(s.listener) }()
}

func (s *store) address() string { return s.listener.Addr().String() }

// write creates or replaces an object, as the operator and the databases do.
func (s *store) write(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if string(s.objects[kind+"/"+name].spec) != string(encoded) {
		s.put(kind, name, encoded)
	}
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind+"/"+name]; ok {
		s.removeObject(o)
	}
}

// removeObject removes an object. The caller holds the lock.
func (s *store) removeObject(o storedObject) {
	delete(s.objects, o.kind+"/"+o.name)
	s.revision++
	o.revision = s.revision
	s.note(storeEvent{o, true})
}

// put stores an object. The caller holds the lock.
func (s *store) put(kind, name string, spec json.RawMessage) storedObject {
	s.revision++
	o := storedObject{kind, name, s.revision, append(json.RawMessage(nil), spec...)}
	s.objects[kind+"/"+name] = o
	s.note(storeEvent{object: o})
	return o
}

// note adds an event. The caller holds the lock.
func (s *store) note(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func encodeObject(o storedObject) string {
	return fmt.Sprintf(`{"meta":{"name":%q,"revision":%d},"spec":%s}`, o.name, o.revision, o.spec)
}

func answer(w http.ResponseWriter, status int, body string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/basilmill/objects/"), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		if o, ok := s.objects[kind+"/"+name]; ok {
			answer(w, http.StatusOK, encodeObject(o))
			return
		}
		answer(w, http.StatusNotFound, "{}")
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.update(w, r.Method, kind, name, body)
	case r.Method == http.MethodDelete:
		o, ok := s.objects[kind+"/"+name]
		revision := r.URL.Query().Get("revision")
		switch {
		case !ok:
			answer(w, http.StatusNotFound, "{}")
		case revision != "" && revision != strconv.FormatInt(o.revision, 10):
			answer(w, http.StatusConflict, encodeObject(o))
		default:
			s.removeObject(o)
			answer(w, http.StatusOK, encodeObject(o))
		}
	default:
		answer(w, http.StatusMethodNotAllowed, "{}")
	}
}

// list answers with all objects of a kind; there are fewer than a page has. The caller
// holds the lock.
func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	var found []storedObject
	for _, o := range s.objects {
		if o.kind == kind && o.name > r.URL.Query().Get("after") {
			found = append(found, o)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].name < found[j].name })
	items := make([]string, len(found))
	for i, o := range found {
		items[i] = encodeObject(o)
	}
	answer(w, http.StatusOK, fmt.Sprintf(`{"items":[%s],"hasMore":false,"at":%d}`, strings.Join(items, ","), s.revision))
}

// watch answers as soon as there is an event. The caller holds the lock.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		var events []string
		for _, e := range s.events {
			if e.object.kind == kind && e.object.revision > from {
				events = append(events, fmt.Sprintf(`{"object":%s,"deleted":%t}`, encodeObject(e.object), e.deleted))
			}
		}
		if len(events) > 0 || over {
			answer(w, http.StatusOK, fmt.Sprintf(`{"events":[%s],"at":%d}`, strings.Join(events, ","), s.revision))
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			over = true
		}
		s.mu.Lock()
	}
}

// update creates or replaces an object. The caller holds the lock.
func (s *store) update(w http.ResponseWriter, method, kind, name string, body []byte) {
	var object struct {
		Meta struct {
			Name     string `json:"name"`
			Revision int64  `json:"revision"`
		} `json:"meta"`
		Spec json.RawMessage `json:"spec"`
	}
	if json.Unmarshal(body, &object) != nil {
		answer(w, http.StatusBadRequest, "{}")
		return
	}
	if method == http.MethodPost {
		name = object.Meta.Name
	}
	current, exists := s.objects[kind+"/"+name]
	switch {
	case method == http.MethodPost && exists, method == http.MethodPut && exists && object.Meta.Revision != 0 && object.Meta.Revision != current.revision:
		answer(w, http.StatusConflict, encodeObject(current))
	case method == http.MethodPut && !exists:
		answer(w, http.StatusNotFound, "{}")
	case method == http.MethodPut && string(object.Spec) == string(current.spec):
		answer(w, http.StatusOK, encodeObject(current))
	default:
		answer(w, http.StatusOK, encodeObject(s.put(kind, name, object.Spec)))
	}
}
