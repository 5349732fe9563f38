// Package distribution owns a host's copy of the platform's objects and the rules
// by which hosts forward them to each other. Versions never decrease: an object is
// not replaced by one of a lower version, whatever the order of arrival.
package distribution

import (
	"bytes"
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind is the kind of an object, such as "group" or "account".
type Kind string

// Key identifies an object in the platform's store.
type Key struct {
	Kind Kind
	Name string
}

// Object is an object with the store version of its last change. Its value is
// opaque to this package.
type Object struct {
	Key     Key
	Version Version
	Value   []byte
	// Removed is set if the last change removed the object. Value is then empty.
	Removed bool
}

// Update contains the objects that changed after store version After, up to
// Version: a receiver that was complete up to After is then complete up to Version.
// If After is zero, it contains all objects that exist.
type Update struct {
	After   Version
	Version Version
	Objects []Object
	// Age is the time, at most, since a moment at which no later change had been made.
	// Follower states it; other sources leave it zero.
	Age time.Duration
}

// Set is a host's copy of the objects. The zero value is empty. A Set is not safe
// for concurrent use.
type Set struct {
	objects map[Key]Object
	version Version
	// removalsSince is the version after which the set knows all removals.
	removalsSince Version
	// removed is the number of removed objects in objects.
	removed int
}

// maxRemovedObjects bounds the removed objects that a set keeps for receivers that
// have not heard of their removal.
const maxRemovedObjects = 1000

// Version returns the store version up to which the set is complete.
func (s *Set) Version() Version { return s.version }

// Merge applies an update and returns the objects that changed. An update that
// starts after the set's version leaves a gap. Its objects are applied, but the
// version does not advance, so that the next request includes the gap. An update of an
// earlier era than the set's is ignored: the store has lost these changes.
func (s *Set) Merge(u Update) (changed []Object) {
	if u.Version.Era() < s.version.Era() {
		return nil
	}
	if s.objects == nil {
		s.objects = make(map[Key]Object)
	}
	for _, o := range u.Objects {
		if o.Version <= s.objects[o.Key].Version {
			continue
		}
		s.put(o)
		changed = append(changed, o)
	}
	if u.After <= s.version {
		s.version = max(s.version, u.Version)
	}
	return changed
}

// outdated returns the objects of an update that the set holds in a newer version, or in
// the same version with another value, so that Merge ignores them.
func (s *Set) outdated(u Update) (objects []Object) {
	for _, o := range u.Objects {
		held, ok := s.objects[o.Key]
		if ok && (o.Version < held.Version || o.Version == held.Version && !held.Removed && !bytes.Equal(o.Value, held.Value)) {
			objects = append(objects, o)
		}
	}
	return objects
}

// Replace applies a list of all objects that exist as of a version of the store. The
// others of the set are removed. A list of a later era replaces the set: versions of
// objects that the store has lost say nothing about those that it holds now.
func (s *Set) Replace(list Update) {
	switch era := s.version.Era(); {
	case list.Version.Era() < era:
		return
	case list.Version.Era() > era:
		*s = Set{}
	}
	listed := make(map[Key]bool, len(list.Objects))
	for _, o := range list.Objects {
		listed[o.Key] = true
	}
	if s.version == 0 {
		s.removalsSince = list.Version
	}
	s.Merge(list)
	for key, o := range s.objects {
		if !listed[key] && !o.Removed && o.Version <= list.Version {
			s.put(Object{Key: key, Version: list.Version, Removed: true})
		}
	}
	s.version = max(s.version, list.Version)
}

// put replaces an object. It drops the removed objects if there are too many.
func (s *Set) put(o Object) {
	if s.objects[o.Key].Removed {
		s.removed--
	}
	s.objects[o.Key] = o
	if !o.Removed {
		return
	}
	s.removed++
	if s.removed <= maxRemovedObjects {
		return
	}
	for key, old := range s.objects {
		if old.Removed {
			s.removalsSince = max(s.removalsSince, old.Version)
			delete(s.objects, key)
		}
	}
	s.removed = 0
}

// Since returns the update for a receiver that is complete up to version after. Its
// objects are ordered by version. It contains all objects that exist if after is
// zero, or if the set does not know all objects that were removed since.
func (s *Set) Since(after Version) Update {
	if after < s.removalsSince {
		after = 0
	}
	u := Update{After: after, Version: max(s.version, after)}
	for _, o := range s.objects {
		if o.Version > after && (after > 0 || !o.Removed) {
			u.Objects = append(u.Objects, o)
		}
	}
	slices.SortFunc(u.Objects, func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.Key.Name, b.Key.Name))
	})
	return u
}
