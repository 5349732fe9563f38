package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// platform is a stand-in for the platform: the metadata store and the promotions.
type platform struct {
	address string
	// promote names the server that leads a service from now on. It returns false if
	// that server is not running.
	promote func(service, id string) bool

	mu       sync.Mutex
	revision int64
	objects  map[string]map[string]*object
	history  []event
	changed  chan struct{}
	fences   map[string]int64
}

type meta struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
}

type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type event struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// newPlatform starts a platform on a free port.
func newPlatform() (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{
		address: listener.Addr().String(), revision: 10, objects: map[string]map[string]*object{},
		changed: make(chan struct{}), fences: map[string]int64{},
	}
	go func() { _ = http.Serve(listener, p) }()
	return p, nil
}

// put writes an object without a condition.
func (p *platform) put(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store(kind, name, raw)
}

// store writes an object. The caller holds the lock.
func (p *platform) store(kind, name string, spec json.RawMessage) object {
	if old, ok := p.objects[kind][name]; ok && string(old.Spec) == string(spec) {
		return *old
	}
	if p.objects[kind] == nil {
		p.objects[kind] = map[string]*object{}
	}
	p.revision++
	o := &object{Meta: meta{Name: name, Revision: p.revision}, Spec: spec}
	p.objects[kind][name] = o
	p.history = append(p.history, event{kind: kind, Object: *o})
	close(p.changed)
	p.changed = make(chan struct{})
	return *o
}

// ServeHTTP serves the store's calls and POST /promotion.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPost && r.URL.Path == "/promotion" {
		p.servePromotion(w, r)
		return
	}
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/basilmill/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		p.serveWatch(w, r, kind)
	case r.Method == http.MethodGet:
		p.serveRead(w, kind, name)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		p.serveWrite(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (p *platform) serveRead(w http.ResponseWriter, kind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if name != "" {
		o, ok := p.objects[kind][name]
		if !ok {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		answer(w, http.StatusOK, o)
		return
	}
	items := []object{}
	for _, o := range p.objects[kind] {
		items = append(items, *o)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	answer(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": p.revision})
}

func (p *platform) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("watch"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		p.mu.Lock()
		events, at, changed := []event{}, p.revision, p.changed
		for _, e := range p.history {
			if e.kind == kind && e.Object.Meta.Revision > from {
				events = append(events, e)
			}
		}
		p.mu.Unlock()
		if len(events) > 0 || expired {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (p *platform) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body object
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	create := r.Method == http.MethodPost
	if create {
		name = body.Meta.Name
	}
	old, exists := p.objects[kind][name]
	switch {
	case create && exists, exists && body.Meta.Revision != 0 && body.Meta.Revision != old.Meta.Revision:
		answer(w, http.StatusConflict, old)
	case !create && !exists:
		answer(w, http.StatusNotFound, map[string]any{})
	default:
		answer(w, http.StatusOK, p.store(kind, name, body.Spec))
	}
}

func (p *platform) servePromotion(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	fence, err := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	refused := fence < p.fences[body.Service]
	p.fences[body.Service] = max(fence, p.fences[body.Service])
	p.mu.Unlock()
	if refused || !p.promote(body.Service, body.ID) {
		answer(w, http.StatusConflict, map[string]any{})
		return
	}
	answer(w, http.StatusOK, map[string]any{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// config is the first config of a small deployment: the database lepu270 of the service
// huvo11a.
func config() map[string]any {
	return map[string]any{
		"configVersion": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "lepu270", "pathPrefix": "/", "routeType": "read_your_writes", "timeoutMs": 800, "targetLatencyMs": 500,
			"priority": 1, "service": "huvo11a", "maxAttempts": 2, "maxStalenessMs": 2500,
		}},
		"services": []any{map[string]any{
			"name": "huvo11a", "healthPath": "/health", "maxConns": 16, "protocol": "h1", "tls": false, "syncReplicas": 1,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000, "txIdleMs": 3000},
	}
}
