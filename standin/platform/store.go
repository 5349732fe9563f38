package platform

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"slices"
)

// MaxValueBytes is the largest value that an object may hold.
const MaxValueBytes = 1 << 20

// Version numbers the changes of the whole store, starting at 1. Zero stands
// for an object that does not exist.
type Version int64

// Key names an object.
type Key struct {
	Kind string
	Name string
}

// Object is a stored object.
type Object struct {
	Kind    string
	Name    string
	Version Version
	Value   json.RawMessage
}

// Items is a set of objects with the version of the store at which it was
// read.
type Items struct {
	Version Version
	Items   []Object
}

// Errors of a conditional update.
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
// means that the object does not exist. It returns the object as stored or,
// with ErrConflict, the current object.
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
	s.broadcast()
	return stored, nil
}

// List returns the objects of the given kinds that changed after the given
// version, in the order of their versions. No kinds means every kind.
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

// broadcast wakes the calls that wait for a change. The caller holds the lock.
func (s *Server) broadcast() {
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// waitChannel returns a channel that is closed at the next change of objects
// or faults. The caller holds the lock.
func (s *Server) waitChannel() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
