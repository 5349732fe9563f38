package platform

import (
	"maps"
	"net/http"
	"strconv"
)

// Copy is the state of the store at one moment.
type Copy struct {
	version Version
	objects map[Key]Object
}

// Copy returns a copy of the store for Restore.
func (s *Server) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{version: s.version, objects: maps.Clone(s.objects)}
}

// Restore replaces the store by an earlier copy of it and starts a new era. Changes
// made since the copy are lost, and their versions are given out again.
func (s *Server) Restore(from Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.objects = from.version, maps.Clone(from.objects)
	s.era++
	s.notify()
}

// eraHeader is the header of all answers that counts the restorations of the store.
const eraHeader = "Store-Era"

// eraWriter states the era of the store as of the start of the answer.
type eraWriter struct {
	http.ResponseWriter
	server *Server
}

// WriteHeader implements http.ResponseWriter.
func (w eraWriter) WriteHeader(status int) {
	w.server.mu.Lock()
	era := w.server.era
	w.server.mu.Unlock()
	w.Header().Set(eraHeader, strconv.FormatInt(era, 10))
	w.ResponseWriter.WriteHeader(status)
}
