// Package distribution owns a host's copy of the platform's objects and the
// rules by which hosts pass them on. Versions only rise: an object is never
// replaced by one of a lower version, whatever the order of arrival.
package distribution

import (
	"cmp"
	"slices"
	"strings"
)

// Version numbers the changes of the platform's store, over all objects.
type Version int64

// Kind is the kind of an object, such as "group" or "account".
type Kind string

// Key identifies an object.
type Key struct {
	Kind Kind
	Name string
}

// Object is one versioned object. Its value is opaque here.
type Object struct {
	Key     Key
	Version Version
	Value   []byte
}

// Update carries objects and the store version that they complete: a receiver
// that had everything up to After has everything up to Version.
type Update struct {
	After   Version
	Version Version
	Objects []Object
}

// Set is a host's copy of the objects. The zero value is empty. It is not
// safe for concurrent use.
type Set struct {
	objects map[Key]Object
	version Version
}

// Version returns the store version up to which the set is complete.
func (s *Set) Version() Version { return s.version }

// Merge applies an update and returns the objects that changed. An update
// that leaves a gap after the set's version still applies its objects but
// does not advance the version, so that the gap is asked for again.
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

// Since returns what a holder of everything up to after lacks. Objects are
// ordered by version.
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
