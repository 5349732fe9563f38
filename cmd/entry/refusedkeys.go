package entry

import (
	"sync"

	"basilmill/core/catalog"
)

// maxRefusedKeys bounds the refused keys that a host remembers, 32 bytes each. Callers may
// send any number of them.
const maxRefusedKeys = 1024

// refusedKeys remembers the keys that were refused in a version of the configuration, so that
// each is logged once. Beyond maxRefusedKeys they are forgotten.
type refusedKeys struct {
	mu      sync.Mutex
	version catalog.Version
	seen    map[catalog.KeyDigest]bool
}

// isFirst reports whether a key is refused for the first time in the version.
func (r *refusedKeys) isFirst(key catalog.KeyDigest, version catalog.Version) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.version != version || len(r.seen) >= maxRefusedKeys {
		r.version, r.seen = version, nil
	}
	if r.seen[key] {
		return false
	}
	if r.seen == nil {
		r.seen = map[catalog.KeyDigest]bool{}
	}
	r.seen[key] = true
	return true
}
