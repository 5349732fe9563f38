// Package distribution owns a host's copy of the platform's objects and the rules
// by which hosts forward them to each other. Versions never decrease: an object is
// not replaced by one of a lower version, whatever the order of arrival.
package distribution

import (
	"cmp"
	"slices"
	"strings"
)

// Version is a revision of the platform's store. Each change of an object
// increases it.
type Version int64

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
}

// Update contains the objects that changed after store version After, up to
// Version: a receiver that was complete up to After is then complete up to Version.
type Update struct {
	After   Version
	Version Version
	Objects []Object
}

// Set is a host's copy of the objects. The zero value is empty. A Set is not safe
// for concurrent use.
type Set struct {
	objects map[Key]Object
	version Version
}

// Version returns the store version up to which the set is complete.
func (s *Set) Version() Version { return s.version }

// Merge applies an update and returns the objects that changed. An update that
// starts after the set's version leaves a gap. Its objects are applied, but the
// version does not advance, so that the next request includes the gap.
func (s *Set) Merge(u Update) (changed []Object) {
	if s.objects == nil {
		s.objects = make(map[Key]Object)
	}
	for _, o := range u.Objects {
		if o.Version <= s.objects[o.Key].Version {
			continue
		}
		s.objects[o.Key] = o
		changed = append(changed, o)
	}
	if u.After <= s.version {
		s.version = max(s.version, u.Version)
	}
	return changed
}

// Since returns the update for a receiver that is complete up to version after. Its
// objects are ordered by version.
func (s *Set) Since(after Version) Update {
	u := Update{After: after, Version: max(s.version, after)}
	for _, o := range s.objects {
		if o.Version > after {
			u.Objects = append(u.Objects, o)
		}
	}
	slices.SortFunc(u.Objects, func(a, b Object) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), strings.Compare(a.Key.Name, b.Key.Name))
	})
	return u
}
