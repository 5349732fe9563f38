// Package objectstore owns a stand-in for the store of the users' platform: objects by
// kind and name with revisions, conditional updates, pages, watches, outages, and
// restorations from a copy. It keeps everything in memory and uses package time, so
// that tests can run it under the virtual clock of testing/synctest.
package objectstore

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
)

// pageSize is the number of objects in one page of a list.
const pageSize = 500

// Object is one object of the store.
type Object struct {
	Kind, Name string
	Revision   int64
	Spec       json.RawMessage
}

// key identifies an object.
type key struct{ kind, name string }

// event is one change of an object.
type event struct {
	object  Object
	deleted bool
}

// Server is the store. The zero value is empty and ready for use. It is safe for
// concurrent use.
type Server struct {
	mu          sync.Mutex
	objects     map[key]Object
	revision    int64
	events      []event
	era         int64
	unavailable bool
	calls       map[string]int
	// changed is closed at the next change, outage or restoration.
	changed chan struct{}
}

// Copy is the state of a store at one moment.
type Copy struct {
	objects  map[key]Object
	revision int64
}

// Copy returns a copy of the store for Restore.
func (s *Server) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{objects: maps.Clone(s.objects), revision: s.revision}
}

// Restore replaces the store by an earlier copy of it and starts a new era. Changes
// made since the copy are lost, and their revisions are given out again.
func (s *Server) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.revision = maps.Clone(c.objects), c.revision
	s.events = slices.DeleteFunc(s.events, func(e event) bool { return e.object.Revision > c.revision })
	s.era++
	s.notify()
}

// SetUnavailable makes the store refuse all calls and end waiting watches.
func (s *Server) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	s.notify()
}

// Write creates or replaces an object without a condition, as operators and backend
// servers do, and returns its revision.
func (s *Server) Write(kind, name string, spec any) int64 {
	encoded, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return s.WriteRaw(kind, name, encoded)
}

// WriteRaw is like Write for a value that is already encoded.
func (s *Server) WriteRaw(kind, name string, spec []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.put(key{kind, name}, spec).Revision
}

// Delete removes an object.
func (s *Server) Delete(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key{kind, name})
}

// Get returns an object.
func (s *Server) Get(kind, name string) (object Object, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok = s.objects[key{kind, name}]
	return object, ok
}

// Calls returns the number of calls of a method on a kind, such as "GET servers".
// Watches count as "WATCH".
func (s *Server) Calls(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[call]
}

// put stores an object under the next revision. The caller holds the lock.
func (s *Server) put(k key, spec []byte) Object {
	s.revision++
	if s.objects == nil {
		s.objects = map[key]Object{}
	}
	o := Object{Kind: k.kind, Name: k.name, Revision: s.revision, Spec: slices.Clone(spec)}
	s.objects[k] = o
	s.events = append(s.events, event{object: o})
	s.notify()
	return o
}

// remove removes an object. The caller holds the lock.
func (s *Server) remove(k key) {
	o, ok := s.objects[k]
	if !ok {
		return
	}
	s.revision++
	delete(s.objects, k)
	o.Revision = s.revision
	s.events = append(s.events, event{object: o, deleted: true})
	s.notify()
}

// page returns the objects of a kind whose names follow after, and whether there are
// more. The caller holds the lock.
func (s *Server) page(kind, after string) (items []Object, hasMore bool) {
	for k, o := range s.objects {
		if k.kind == kind && k.name > after {
			items = append(items, o)
		}
	}
	slices.SortFunc(items, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	if len(items) > pageSize {
		return items[:pageSize], true
	}
	return items, false
}

// since returns the events of a kind after a revision, in order. The caller holds the
// lock.
func (s *Server) since(kind string, revision int64) (events []event) {
	for _, e := range s.events {
		if e.object.Kind == kind && e.object.Revision > revision {
			events = append(events, e)
		}
	}
	slices.SortFunc(events, func(a, b event) int { return cmp.Compare(a.object.Revision, b.object.Revision) })
	return events
}

// notify wakes waiting watches. The caller holds the lock.
func (s *Server) notify() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// awaitChange returns a channel that is closed at the next change. The caller holds the
// lock.
func (s *Server) awaitChange() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
