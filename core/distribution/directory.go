package distribution

import (
	"context"
	"slices"
	"time"
)

// directoryTTL is how long a relay's copy of a Directory counts as current. It is
// several times the interval at which hosts refresh it.
const directoryTTL = 30 * time.Second

// lostObjectRetention is how long a Directory keeps the objects that the store lost when
// it was restored. Until then their owners have read the list, written them again, and
// the others have read it once more.
const lostObjectRetention = 30 * time.Second

// Directory is a list of objects that may be some seconds old, such as the registered
// hosts. Relays list it in the store; the other hosts pull from them what has changed,
// so that neither its bytes nor the calls of the store grow with the square of the
// hosts. A host reads the store itself until it knows the relays, and when none answers.
// The methods of a Directory must not be called concurrently.
type Directory struct {
	Kind     Kind
	Follower *Follower
	// List lists the objects in the store, with allowStale as of some seconds ago at
	// most.
	List func(ctx context.Context, allowStale bool) (Update, error)

	set Set
	// lost holds the objects of the era before the set's, until lostUntil.
	lost      []Object
	lostUntil time.Time
}

// Refresh returns the objects of the list. Objects that have been seen do not revert to
// an earlier version, and those that the store lost when it was restored are kept for
// lostObjectRetention.
func (d *Directory) Refresh(ctx context.Context) ([]Object, error) {
	if d.set.Version() != 0 {
		if u, ok := d.pull(ctx); ok {
			return d.apply(u), nil
		}
	}
	u, err := d.List(ctx, d.set.Version() != 0)
	if err != nil {
		return nil, err
	}
	d.Follower.Relay.replace(d.Kind, u, directoryTTL)
	return d.apply(u), nil
}

// Has reports whether the last list of the store has an object, which excludes those that
// the store has lost.
func (d *Directory) Has(name string) bool {
	o, ok := d.set.objects[Key{Kind: d.Kind, Name: name}]
	return ok && !o.Removed
}

// pull requests what has changed from the relays. It returns false if this host is a
// relay, or if none has a copy that is as new as the set.
func (d *Directory) pull(ctx context.Context) (Update, bool) {
	relays, _ := d.Follower.relays()
	for _, relay := range relays {
		pullCtx, cancel := context.WithTimeout(ctx, listPullTimeout)
		u, current, err := d.Follower.Network.Pull(pullCtx, relay, d.Kind, d.set.Version(), 0)
		cancel()
		if err == nil && current {
			return u, true
		}
	}
	return Update{}, false
}

// apply applies an update and returns the objects that exist.
func (d *Directory) apply(u Update) []Object {
	if version := d.set.Version(); version != 0 && u.Version.Era() > version.Era() {
		d.lost, d.lostUntil = d.existing(), time.Now().Add(lostObjectRetention)
	}
	if u.After == 0 {
		d.set.Replace(u)
	} else {
		d.set.Merge(u)
	}
	return d.existing()
}

// existing returns the objects that exist, and those that the store has lost.
func (d *Directory) existing() []Object {
	objects := slices.DeleteFunc(d.set.Since(0).Objects, func(o Object) bool { return o.Removed })
	if time.Now().After(d.lostUntil) {
		d.lost = nil
	}
	for _, o := range d.lost {
		if _, known := d.set.objects[o.Key]; !known {
			objects = append(objects, o)
		}
	}
	return objects
}
