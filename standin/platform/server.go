// Package platform owns the stand-in for the platform, a test double that keeps
// its data in memory. It serves the object API with versions, conditional updates
// and watches, and the host list, which may lag. Tests can inject faults.
package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxWatchTimeout bounds how long one watch waits for a change.
const maxWatchTimeout = 10 * time.Minute

// Server is the stand-in for the platform and an http.Handler. The zero value has
// no objects, hosts or faults.
type Server struct {
	muxOnce sync.Once
	mux     *http.ServeMux

	mu        sync.Mutex
	version   Version
	era       int64
	objects   map[Key]Object
	hostLists []hostListVersion
	faults    Faults
	calls     Calls
	// changed is closed at the next change of the objects or the outage.
	changed chan struct{}
}

// New returns a server without objects, hosts or faults.
func New() *Server { return &Server{} }

// Calls counts the calls of each kind since the start of the server, including
// failed ones.
type Calls struct {
	Get   int
	List  int
	Put   int
	Watch int
	Hosts int
	// WaitingWatches is the current number of waiting watches.
	WaitingWatches int
}

// Calls returns a copy of the call counters.
func (s *Server) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// ServeHTTP serves the object API and the administration paths.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.muxOnce.Do(s.registerRoutes)
	s.mux.ServeHTTP(w, r)
}

func (s *Server) registerRoutes() {
	s.mux = http.NewServeMux()
	s.mux.Handle("GET /objects/{kind}/{name}", s.withFaults(func(c *Calls) *int { return &c.Get }, s.serveGet))
	s.mux.Handle("GET /objects/{kind}", s.withFaults(func(c *Calls) *int { return &c.List }, s.serveList))
	s.mux.Handle("PUT /objects/{kind}/{name}", s.withFaults(func(c *Calls) *int { return &c.Put }, s.servePut))
	s.mux.Handle("GET /watch", s.withFaults(func(c *Calls) *int { return &c.Watch }, s.serveWatch))
	s.mux.Handle("GET /hosts", s.withFaults(func(c *Calls) *int { return &c.Hosts }, s.serveHosts))
	s.mux.HandleFunc("GET /admin/fault", s.serveFaults)
	s.mux.HandleFunc("POST /admin/fault", s.serveSetFaults)
	s.mux.HandleFunc("PUT /admin/hosts", s.serveSetHosts)
	s.mux.HandleFunc("GET /admin/calls", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, s.Calls())
	})
}

// request is a call whose body has been read in advance. Only then does net/http
// cancel the request's context when the caller closes the connection.
type request struct {
	*http.Request
	body     []byte
	tooLarge bool
}

// withFaults returns a handler that counts a call, applies the injected faults
// and then serves the call.
func (s *Server) withFaults(counter func(*Calls) *int, serve func(http.ResponseWriter, request)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w = eraWriter{w, s}
		s.mu.Lock()
		*counter(&s.calls)++
		delay := s.faults.Delay
		s.mu.Unlock()
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
		var tooLarge *http.MaxBytesError
		if err != nil && !errors.As(err, &tooLarge) {
			panic(http.ErrAbortHandler)
		}
		s.sleep(r, delay)
		if s.applyOutage(w, r) {
			return
		}
		serve(w, request{Request: r, body: body, tooLarge: tooLarge != nil})
	})
}

func (s *Server) sleep(r *http.Request, delay time.Duration) {
	if delay <= 0 {
		return
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// applyOutage fails the call as the current outage requires. It returns false if
// there is no outage. In a black hole it waits until the black hole ends or the
// caller closes the connection, and then aborts the connection.
func (s *Server) applyOutage(w http.ResponseWriter, r *http.Request) bool {
	for {
		s.mu.Lock()
		outage, changed := s.faults.Outage, s.changeChannel()
		s.mu.Unlock()
		switch outage {
		case Unavailable:
			http.Error(w, "the platform is unavailable", http.StatusServiceUnavailable)
			return true
		case BlackHole:
			select {
			case <-changed:
				if s.Faults().Outage != BlackHole {
					panic(http.ErrAbortHandler)
				}
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		default:
			return false
		}
	}
}

func (s *Server) serveGet(w http.ResponseWriter, r request) {
	object, ok := s.Get(keyFromPath(r))
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, object)
}

func (s *Server) serveList(w http.ResponseWriter, r request) {
	respond(w, http.StatusOK, s.List(0, r.PathValue("kind")))
}

// putResponse is the body of the response to a write that took effect.
type putResponse struct {
	Version Version
}

func (s *Server) servePut(w http.ResponseWriter, r request) {
	ifMatch, ok := parseIfMatch(r.Header.Get("If-Match"))
	if !ok {
		http.Error(w, `If-Match: "<version>" is required`, http.StatusPreconditionRequired)
		return
	}
	if r.tooLarge {
		http.Error(w, ErrTooLarge.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	object, err := s.Put(keyFromPath(r), r.body, ifMatch)
	switch {
	case errors.Is(err, ErrConflict):
		respond(w, http.StatusConflict, object)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	case s.consumeLostReply():
		panic(http.ErrAbortHandler)
	default:
		respond(w, http.StatusOK, putResponse{Version: object.Version})
	}
}

func (s *Server) serveWatch(w http.ResponseWriter, r request) {
	query := r.URL.Query()
	after, afterErr := strconv.ParseInt(query.Get("after"), 10, 64)
	timeout, timeoutErr := time.ParseDuration(query.Get("wait"))
	if afterErr != nil || timeoutErr != nil || timeout < 0 {
		http.Error(w, "after must be a version and wait a duration", http.StatusBadRequest)
		return
	}
	items, ok := s.waitForItems(r, Version(after), min(timeout, maxWatchTimeout), query["kind"])
	if !ok {
		if !s.applyOutage(w, r.Request) {
			panic(http.ErrAbortHandler)
		}
		return
	}
	respond(w, http.StatusOK, items)
}

// waitForItems returns the items that changed after the version as soon as there
// is one, or none after the timeout. It returns false if an outage starts or the
// caller closes the connection.
func (s *Server) waitForItems(r request, after Version, timeout time.Duration, kinds []string) (items Items, ok bool) {
	s.addWaitingWatches(1)
	defer s.addWaitingWatches(-1)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	for {
		s.mu.Lock()
		items = s.list(after, kinds)
		outage, changed := s.faults.Outage, s.changeChannel()
		s.mu.Unlock()
		if outage == Unavailable || outage == BlackHole {
			return Items{}, false
		}
		if len(items.Items) > 0 {
			return items, true
		}
		select {
		case <-changed:
		case <-timer.C:
			return items, true
		case <-r.Context().Done():
			return Items{}, false
		}
	}
}

func (s *Server) addWaitingWatches(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.WaitingWatches += n
}

func (s *Server) serveHosts(w http.ResponseWriter, _ request) {
	respond(w, http.StatusOK, HostList{Hosts: s.Hosts()})
}

func keyFromPath(r request) Key {
	return Key{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
}

func parseIfMatch(header string) (version Version, ok bool) {
	unquoted, ok := strings.CutPrefix(header, `"`)
	if !ok {
		return 0, false
	}
	unquoted, ok = strings.CutSuffix(unquoted, `"`)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseInt(unquoted, 10, 64)
	return Version(n), err == nil && n >= 0
}

func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encoding fails only if the caller has closed the connection, and then
	// the error can be reported to nobody.
	_ = json.NewEncoder(w).Encode(body)
}
