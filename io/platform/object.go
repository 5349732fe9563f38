package platform

import (
	"context"
	"encoding/json"
	"time"

	"basilmill/core/host"
)

// Kind is a kind of object.
type Kind string

// Kinds in use; see the design page, section 7.2.
const (
	KindGroup   Kind = "group"
	KindAccount Kind = "account"
	KindAudit   Kind = "audit"
)

// Version numbers the changes of the platform's whole store. Zero stands for
// an object that does not exist.
type Version int64

// Key names an object.
type Key struct {
	Kind Kind
	Name string
}

// String returns kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Object is a stored object. Value is JSON.
type Object struct {
	Key
	Version Version
	Value   json.RawMessage
}

// Items is a set of objects and the version of the store at which it was read.
// A watch after that version misses no later change.
type Items struct {
	Version Version
	Items   []Object
}

// API is the platform's object API. Client implements it.
//
// Get fails with *NotFoundError, Put with *ConflictError and
// *UnknownResultError, and every call with *OutageError, *RefusedError or, when
// the caller's context ends, with an error that wraps the context's.
type API interface {
	// Get returns one object.
	Get(ctx context.Context, key Key) (Object, error)
	// List returns every object of a kind.
	List(ctx context.Context, kind Kind) (Items, error)
	// Put stores a value if the object still has the version ifMatch, where 0
	// creates the object, and returns the new version.
	Put(ctx context.Context, key Key, value json.RawMessage, ifMatch Version) (Version, error)
	// Watch returns the objects of the kinds that changed after a version as
	// soon as there is one, or none when the wait ends.
	Watch(ctx context.Context, after Version, wait time.Duration, kinds ...Kind) (Items, error)
	// Hosts returns the host list, which lags.
	Hosts(ctx context.Context) ([]host.Info, error)
}
