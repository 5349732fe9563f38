package platform

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"slices"
)

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Version numbers the changes of the whole store, starting at 1. Each change gets
// a new version. Zero stands for an object that does not exist.
type Version int64

// Key identifies an object.
type Key struct {
	Kind string
	Name string
}

// Object is a stored object. Its version is that of its last change.
type Object struct {
	Kind    string
	Name    string
	Version Version
	Value   json.RawMessage
}

// Items is a list of objects with the version of the store at which they were
// read.
type Items struct {
	Version Version
	Items   []Object
}

// Errors that Put returns.
var (
	ErrConflict = errors.New("platform: the object has another version")
	ErrTooLarge = errors.New("platform: the value exceeds 1 MB")
	ErrNotJSON  = errors.New("platform: the value is not valid JSON")
)

// Get returns the object with the given key.
func (s *Server) Get(key Key) (object Object, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok = s.objects[key]
	return object, ok
}

// Put stores the value if the object's current version is ifMatch, where 0
// means that the object does not exist. It returns the stored object. With
// ErrConflict it returns the current object.
func (s *Server) Put(key Key, value json.RawMessage, ifMatch Version) (Object, error) {
	if len(value) > MaxValueBytes {
		return Object{}, ErrTooLarge
	}
	if !json.Valid(value) {
		return Object{}, ErrNotJSON
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key]
	if current.Version != ifMatch {
		current.Kind, current.Name = key.Kind, key.Name
		return current, ErrConflict
	}
	s.version++
	stored := Object{Kind: key.Kind, Name: key.Name, Version: s.version, Value: bytes.Clone(value)}
	if s.objects == nil {
		s.objects = make(map[Key]Object)
	}
	s.objects[key] = stored
	s.notify()
	return stored, nil
}

// List returns the objects of the given kinds that changed after the given
// version, ordered by version. Without kinds it returns objects of all kinds.
func (s *Server) List(after Version, kinds ...string) Items {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(after, kinds)
}

func (s *Server) list(after Version, kinds []string) Items {
	items := Items{Version: s.version, Items: []Object{}}
	if after >= s.version {
		return items
	}
	for key, object := range s.objects {
		if object.Version > after && (len(kinds) == 0 || slices.Contains(kinds, key.Kind)) {
			items.Items = append(items.Items, object)
		}
	}
	slices.SortFunc(items.Items, func(a, b Object) int { return cmp.Compare(a.Version, b.Version) })
	return items
}

// notify wakes the calls that wait on a channel from changeChannel. The caller
// must hold the mutex.
func (s *Server) notify() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// changeChannel returns a channel that is closed at the next change of the objects
// or the outage. The caller must hold the mutex.
func (s *Server) changeChannel() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
