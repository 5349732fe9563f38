package platform

import (
	"context"
	"encoding/json"
	"time"

	"basilmill/core/distribution"
	"basilmill/core/host"
)

// Kind is the kind of an object.
type Kind string

// Kinds of objects; see the design page, section 7.2.
const (
	// KindGroup is the kind of the records of database groups.
	KindGroup Kind = "group"
	// KindAccount is the kind of client accounts with their latest changes.
	KindAccount Kind = "account"
	// KindAudit is the kind of older changes of client accounts.
	KindAudit Kind = "audit"
)

// Key identifies an object.
type Key struct {
	Kind Kind
	Name string
}

// String returns kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Object is a stored object. Value is JSON. Version is zero if the object does not exist.
type Object struct {
	Key
	Version distribution.Version
	Value   json.RawMessage
}

// Items is a set of objects with the version of the store at which it was read. A
// watch after that version returns every later change.
type Items struct {
	Version distribution.Version
	Items   []Object
}

// API is the platform's object API. Client implements it.
//
// Get may fail with a *NotFoundError, Put with a *ConflictError or an
// *UnknownResultError. Every call may fail with an *OutageError, a *RefusedError,
// an *InvalidResponseError or, if the caller's context ends, with an error that
// wraps the context's error.
type API interface {
	// Get returns one object.
	Get(ctx context.Context, key Key) (Object, error)
	// List returns all objects of a kind.
	List(ctx context.Context, kind Kind) (Items, error)
	// Put stores a value if the object still has the version ifMatch, and
	// returns the new version. The version 0 creates the object. A version of
	// an earlier era is a conflict.
	Put(ctx context.Context, key Key, value json.RawMessage, ifMatch distribution.Version) (distribution.Version, error)
	// Watch returns the objects of the given kinds that changed after a version.
	// It waits up to the given time for the first one and returns none if there
	// is none. It fails with distribution.ErrHistoryGone if the store has been
	// restored from a copy since the version; a watch after version 0 then
	// returns all objects.
	Watch(ctx context.Context, after distribution.Version, wait time.Duration, kinds ...Kind) (Items, error)
	// Hosts returns the platform's host list, which may be stale.
	Hosts(ctx context.Context) ([]host.Info, error)
}
