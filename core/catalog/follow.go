package catalog

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/group"
	"basilmill/core/retry"
)

// Revision numbers the changes of the platform's store.
type Revision int64

// ErrHistoryGone is the error of a watch from a revision that the store no
// longer remembers. The list must be read again.
var ErrHistoryGone = errors.New("the store no longer has this history")

// ServerChange is a change of one server's entry. Server is nil when the entry was
// removed or names no server.
type ServerChange struct {
	ID     group.ServerID
	Server *Server
	// Err says why an entry names no server; nil for a removed one.
	Err error
}

// Source reads the servers and the configuration from the platform's store.
type Source interface {
	ListServers(ctx context.Context) ([]ServerChange, Revision, error)
	// WatchServers returns the changes after a revision, as soon as there are
	// some or when the wait ends.
	WatchServers(ctx context.Context, from Revision, wait time.Duration) ([]ServerChange, Revision, error)
	// ListConfig returns nil if there is no configuration.
	ListConfig(ctx context.Context) (*Config, Revision, error)
	// WatchConfig returns nil if there is no newer configuration.
	WatchConfig(ctx context.Context, from Revision, wait time.Duration) (*Config, Revision, error)
}

const (
	// defaultConfigBound and defaultServersBound are the ages of the view that
	// the users' deployments bear while nothing else is disturbed.
	defaultConfigBound  = 3 * time.Second
	defaultServersBound = 7 * time.Second
	// shortWait is how long the first watch, and the first one after a failure,
	// waits for a change. Longer waits follow: each watch is a priced call.
	shortWait = 1500 * time.Millisecond
	// leastWait and longestWait bound all waits. At the least, nine hosts make
	// 45 calls a second, a fortieth of what the store of today takes.
	leastWait   = 400 * time.Millisecond
	longestWait = 8 * time.Second
	// nextCall is kept free for the call after a watch that was not answered.
	nextCall = 300 * time.Millisecond
	// watchSlack is the time that the answer to a watch may take beyond the
	// wait.
	watchSlack = 700 * time.Millisecond
	// listTimeout bounds the reading of a list.
	listTimeout = 1500 * time.Millisecond
	// listSpacing is the time after which an unanswered list is asked for again
	// on another connection: several round trips between regions. An outage
	// leaves calls without an answer that were sent before its end.
	listSpacing = 300 * time.Millisecond
	// maxFeedPause bounds the pause after a failed call, as part of the time
	// in which the view is back after an outage of the store.
	maxFeedPause = 500 * time.Millisecond
)

// Syncer keeps a Book up to date from a Source.
type Syncer struct {
	Cache  *Cache
	Source Source
	// ConfigTTL and ServersTTL bound the age of the view while an answer of
	// the source does not come; zero selects a default.
	ConfigTTL, ServersTTL time.Duration
	// SavedServerStore is needed by FollowMemory only.
	SavedServerStore SavedServerStore
	// OnRestore, if set, receives the servers that were known from the memory
	// only.
	OnRestore func(servers []group.ServerID)
	// OnSourceCall, if set, receives the result of each call of the source.
	OnSourceCall func(part string, at Revision, err error)
	// OnServerChange, if set, receives each change of a server's entry that a watch
	// reports, and each entry that names no server.
	OnServerChange func(change ServerChange, at Revision)
}

// SyncServers follows the servers' entries until ctx ends.
func (f *Syncer) SyncServers(ctx context.Context) error {
	return f.follow(ctx, "servers", cmp.Or(f.ServersTTL, defaultServersBound),
		func(ctx context.Context) (list, error) {
			entries, at, err := f.Source.ListServers(ctx)
			return list{at: at, apply: func() { f.replace(entries, at) }}, err
		},
		func(ctx context.Context, from Revision, wait time.Duration) (Revision, error) {
			changes, at, err := f.Source.WatchServers(ctx, from, wait)
			if err != nil {
				return 0, err
			}
			for _, c := range changes {
				if c.Server == nil {
					f.Cache.MarkMissing(c.ID)
				} else {
					f.Cache.PutServer(*c.Server)
				}
				f.changed(c, at)
			}
			return at, nil
		})
}

// replace installs a complete list of entries.
func (f *Syncer) replace(entries []ServerChange, at Revision) {
	var servers []Server
	for _, e := range entries {
		if e.Server == nil {
			f.changed(e, at)
			continue
		}
		servers = append(servers, *e.Server)
	}
	f.Cache.ReplaceServers(servers)
}

func (f *Syncer) changed(c ServerChange, at Revision) {
	if f.OnServerChange != nil {
		f.OnServerChange(c, at)
	}
}

// SyncConfig follows the configuration until ctx ends.
func (f *Syncer) SyncConfig(ctx context.Context) error {
	return f.follow(ctx, "configuration", cmp.Or(f.ConfigTTL, defaultConfigBound),
		func(ctx context.Context) (list, error) {
			config, at, err := f.Source.ListConfig(ctx)
			return list{at: at, apply: func() { f.setConfig(config) }}, err
		},
		func(ctx context.Context, from Revision, wait time.Duration) (Revision, error) {
			config, at, err := f.Source.WatchConfig(ctx, from, wait)
			if err == nil {
				f.setConfig(config)
			}
			return at, err
		})
}

// waits chooses how long the next watch waits for a change.
type waits struct {
	longest, next time.Duration
}

// newWaits returns waits that keep the view's age within the bound when a
// watch is not answered.
func newWaits(bound time.Duration) *waits {
	w := &waits{longest: min(max(bound-watchSlack-maxFeedPause-nextCall, leastWait), longestWait)}
	w.failed()
	return w
}

func (w *waits) answered() { w.next = min(2*w.next, w.longest) }
func (w *waits) failed()   { w.next = min(shortWait, w.longest) }

// list is an answer that takes effect when it is applied.
type list struct {
	at    Revision
	apply func()
}

type (
	lister  func(ctx context.Context) (list, error)
	watcher func(ctx context.Context, from Revision, wait time.Duration) (Revision, error)
)

// setConfig installs a configuration, if there is one.
func (f *Syncer) setConfig(config *Config) {
	if config != nil {
		f.Cache.SetConfig(config)
	}
}

// follow reads a list and watches from its revision. After a failed watch it
// watches again from the same revision; when that history is gone it reads the
// list again.
func (f *Syncer) follow(ctx context.Context, part string, bound time.Duration, read lister, watch watcher) error {
	pause := retry.Backoff{Max: maxFeedPause}
	wait := newWaits(bound)
	var at Revision
	for ctx.Err() == nil {
		next, err := step(ctx, at, wait.next, read, watch)
		if f.OnSourceCall != nil && ctx.Err() == nil {
			f.OnSourceCall(part, next, err)
		}
		switch {
		case err == nil:
			if at != 0 {
				wait.answered()
			}
			at = next
			pause.Reset()
		case errors.Is(err, ErrHistoryGone):
			at = 0
		default:
			wait.failed()
			// A wait that ends early is noticed by the loop.
			_ = pause.Wait(ctx)
		}
	}
	return nil
}

func step(ctx context.Context, at Revision, wait time.Duration, read lister, watch watcher) (next Revision, err error) {
	if at == 0 {
		first, err := firstList(ctx, read)
		if err != nil {
			return 0, eris.Wrap(err, "list")
		}
		first.apply()
		return first.at, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	next, err = watch(ctx, at, wait)
	return max(next, at), eris.Wrap(err, "watch")
}

// firstList asks for a list, and again each time that no answer has come for
// listSpacing. It returns what the first call that ends returns.
func firstList(ctx context.Context, read lister) (list, error) {
	type result struct {
		list list
		err  error
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	results := make(chan result, listTimeout/listSpacing+1)
	call := func() {
		answer, err := read(ctx)
		results <- result{answer, err}
	}
	go call()
	again := time.NewTicker(listSpacing)
	defer again.Stop()
	for {
		select {
		case r := <-results:
			return r.list, r.err
		case <-again.C:
			go call()
		case <-ctx.Done():
			return list{}, ctx.Err()
		}
	}
}
