package catalog

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/distribution"
	"basilmill/core/group"
	"basilmill/core/retry"
)

// ErrHistoryGone is returned by a watch from a version after which the store no
// longer keeps all changes. The list must be read again.
var ErrHistoryGone = distribution.ErrHistoryGone

// InvalidConfigError is returned for a configuration in the store that cannot be used. The
// last valid one stays in force.
type InvalidConfigError struct {
	// Reason says what is wrong and where. It contains no API key.
	Reason string
}

// Error implements error.
func (e *InvalidConfigError) Error() string { return "invalid configuration: " + e.Reason }

// ServerChange is the entry of one server in the store, or a change of it. Server
// is nil if the entry was removed or is invalid.
type ServerChange struct {
	ID     group.ServerID
	Server *Server
	// Sequence is that of the Entry.
	Sequence int64
	// Err says why an entry is invalid. It is nil for a removed entry.
	Err error
}

// Reading says which state of the store an answer describes.
type Reading struct {
	At distribution.Version
	// Age is that of distribution.Update.
	Age time.Duration
}

// Source reads the servers and the configuration from the platform's store.
type Source interface {
	ListServers(ctx context.Context) ([]ServerChange, Reading, error)
	// WatchServers returns the changes after a version. It waits up to the
	// given time for the first one.
	WatchServers(ctx context.Context, from distribution.Version, wait time.Duration) ([]ServerChange, Reading, error)
	// ListConfig returns nil if there is no configuration. It returns the version also
	// with an *InvalidConfigError, and so does WatchConfig.
	ListConfig(ctx context.Context) (*Config, distribution.Version, error)
	// WatchConfig waits in the same way. It returns nil if there is no newer
	// configuration.
	WatchConfig(ctx context.Context, from distribution.Version, wait time.Duration) (*Config, distribution.Version, error)
}

const (
	// defaultConfigTTL and defaultServersTTL are the ages of the view that
	// deployments tolerate while there is no other fault.
	defaultConfigTTL  = 3 * time.Second
	defaultServersTTL = 7 * time.Second
	// maxServersTTL keeps a server's confirmation (ack.ListedTTL) from expiring between two
	// watches.
	maxServersTTL = 5500 * time.Millisecond
	// initialWatchTimeout is how long the first watch, and the first one after
	// a failure, waits for a change. Later ones wait longer, because each
	// watch is charged for.
	initialWatchTimeout = 1500 * time.Millisecond
	// minWatchTimeout and maxWatchTimeout bound all waits for a change. At the
	// minimum, nine hosts make 45 calls a second, a fortieth of what the store
	// handles at present.
	minWatchTimeout = 400 * time.Millisecond
	maxWatchTimeout = 8 * time.Second
	// followUpCallTimeout is the part of the TTL that is reserved for the call
	// after a watch that was not answered.
	followUpCallTimeout = 300 * time.Millisecond
	// watchReplyTimeout is how long after its wait a watch may still be
	// answered.
	watchReplyTimeout = 700 * time.Millisecond
	// listTimeout bounds the reading of a list, with its repetitions.
	listTimeout = 1500 * time.Millisecond
	// listRetryInterval is the time after which an unanswered list is requested
	// once more, on another connection: several round trips between regions.
	// Calls sent during an outage of the store stay unanswered after its end.
	listRetryInterval = 300 * time.Millisecond
	// changeBatchDelay is the pause after a watch that returned changes of servers.
	// Several servers often change in a row, and without the pause each change
	// costs a call of each host.
	changeBatchDelay = 300 * time.Millisecond
	// maxSyncBackoff bounds the pause after a failed call. It is part of the
	// time until the view is up to date again after an outage of the store.
	maxSyncBackoff = 500 * time.Millisecond
)

// Syncer keeps a Cache up to date with a Source: it lists the configuration and
// the servers and then watches for changes.
type Syncer struct {
	Cache  *Cache
	Source Source
	// Clock is that of Cache.Confirm; without it the list of servers is never confirmed.
	Clock func() time.Duration
	// ConfigTTL and ServersTTL bound the age of the view while one answer of
	// the source is lost; zero selects a default.
	ConfigTTL, ServersTTL time.Duration
	// SavedServerStore is only used by SyncSavedServers.
	SavedServerStore SavedServerStore
	// IsSaver, if set, reports whether this host keeps the saved servers up to
	// date. One host of a fleet suffices.
	IsSaver func() bool
	// Eras, if set, tracks the era of the store that holds the saved servers.
	Eras *distribution.Eras
	// OnRestore, if set, is called with the servers that were added to the
	// view from the SavedServerStore, because they had no entry.
	OnRestore func(servers []group.ServerID)
	// OnSourceCall, if set, is called with the result of each call to the
	// source. The part is "servers" or "configuration".
	OnSourceCall func(part string, at distribution.Version, err error)
	// OnServerChange, if set, is called with each change that a watch reports,
	// and with each invalid entry of a list.
	OnServerChange func(change ServerChange, at distribution.Version)
	// OnInvalidConfig, if set, is called with each configuration that cannot be used.
	OnInvalidConfig func(invalid *InvalidConfigError, at distribution.Version)
}

// SyncServers keeps the servers up to date until ctx ends.
func (s *Syncer) SyncServers(ctx context.Context) error {
	var nextWatch time.Time
	return s.syncPart(ctx, "servers", min(cmp.Or(s.ServersTTL, defaultServersTTL), maxServersTTL),
		func(ctx context.Context) (listResult, error) {
			entries, reading, err := s.Source.ListServers(ctx)
			receivedAt := s.now()
			return listResult{at: reading.At, age: reading.Age, apply: func() {
				s.replaceServers(entries, reading.At)
				s.Cache.Confirm(receivedAt, reading.Age)
			}}, err
		},
		func(ctx context.Context, from distribution.Version, wait time.Duration) (Reading, error) {
			if pause := time.Until(nextWatch); pause > 0 {
				if !sleep(ctx, pause) {
					return Reading{}, ctx.Err()
				}
				wait -= pause
			}
			changes, reading, err := s.Source.WatchServers(ctx, from, wait)
			if err != nil {
				return Reading{}, err
			}
			receivedAt := s.now()
			if len(changes) > 0 {
				nextWatch = time.Now().Add(changeBatchDelay)
			}
			for _, c := range changes {
				if c.Server == nil {
					s.Cache.MarkMissing(c.ID)
				} else {
					s.Cache.PutEntry(c.entry(reading.At.Era()))
				}
				s.reportChange(c, reading.At)
			}
			s.Cache.Confirm(receivedAt, reading.Age)
			return reading, nil
		})
}

// now returns the reading of Clock. Without a clock it is zero, which confirms nothing.
func (s *Syncer) now() time.Duration {
	if s.Clock == nil {
		return 0
	}
	return s.Clock()
}

// replaceServers replaces the servers by the valid entries of a complete list.
func (s *Syncer) replaceServers(entries []ServerChange, at distribution.Version) {
	var valid []Entry
	for _, e := range entries {
		if e.Server == nil {
			s.reportChange(e, at)
			continue
		}
		valid = append(valid, e.entry(at.Era()))
	}
	s.Cache.ReplaceEntries(valid)
}

// entry returns the entry that a change of the era has put. The change must not be a
// removal.
func (c ServerChange) entry(era distribution.Era) Entry {
	return Entry{Server: *c.Server, Era: era, Sequence: c.Sequence}
}

func (s *Syncer) reportChange(c ServerChange, at distribution.Version) {
	if s.OnServerChange != nil {
		s.OnServerChange(c, at)
	}
}

// SyncConfig keeps the configuration up to date until ctx ends.
func (s *Syncer) SyncConfig(ctx context.Context) error {
	return s.syncPart(ctx, "configuration", cmp.Or(s.ConfigTTL, defaultConfigTTL),
		func(ctx context.Context) (listResult, error) {
			config, at, err := s.Source.ListConfig(ctx)
			invalid, err := splitInvalid(err)
			return listResult{at: at, apply: func() { s.setConfig(config, invalid, at) }}, err
		},
		func(ctx context.Context, from distribution.Version, wait time.Duration) (Reading, error) {
			config, at, err := s.Source.WatchConfig(ctx, from, wait)
			invalid, err := splitInvalid(err)
			if err == nil {
				s.setConfig(config, invalid, at)
			}
			return Reading{At: at}, err
		})
}

// watchTimeouts determines how long the next watch waits for a change.
type watchTimeouts struct {
	longest, next time.Duration
}

// newWatchTimeouts returns timeouts that keep the age of the view within the TTL
// while one watch is not answered.
func newWatchTimeouts(ttl time.Duration) *watchTimeouts {
	w := &watchTimeouts{longest: min(max(ttl-watchReplyTimeout-maxSyncBackoff-followUpCallTimeout, minWatchTimeout), maxWatchTimeout)}
	w.reset()
	return w
}

// after returns the timeout of the next watch after an answer of the given age, so that the
// view does not become much older than the longest one.
func (w *watchTimeouts) after(age time.Duration) time.Duration {
	return min(w.next, max(w.longest-age, initialWatchTimeout))
}

// increase doubles the timeout of the next watch after one was answered.
func (w *watchTimeouts) increase() { w.next = min(2*w.next, w.longest) }

// reset returns to the initial timeout after a watch failed.
func (w *watchTimeouts) reset() { w.next = min(initialWatchTimeout, w.longest) }

// listResult is a list as of a revision. The function apply installs it in the
// cache.
type listResult struct {
	at    distribution.Version
	age   time.Duration
	apply func()
}

type (
	listFunc  func(ctx context.Context) (listResult, error)
	watchFunc func(ctx context.Context, from distribution.Version, wait time.Duration) (Reading, error)
)

// splitInvalid separates the error for an invalid configuration from those of the source.
// The next change is awaited then: another call would return the same configuration.
func splitInvalid(err error) (*InvalidConfigError, error) {
	var invalid *InvalidConfigError
	if errors.As(err, &invalid) {
		return invalid, nil
	}
	return nil, err
}

// setConfig passes a configuration to the cache, if there is a valid one.
func (s *Syncer) setConfig(config *Config, invalid *InvalidConfigError, at distribution.Version) {
	switch {
	case invalid != nil:
		if s.OnInvalidConfig != nil {
			s.OnInvalidConfig(invalid, at)
		}
	case config != nil:
		s.Cache.SetConfig(config)
	}
}

// syncPart reads a list and watches from its revision on. After a failed watch it
// watches again from the same revision. On ErrHistoryGone it reads the list
// again.
func (s *Syncer) syncPart(ctx context.Context, part string, ttl time.Duration, fetch listFunc, watch watchFunc) error {
	backoff := retry.Backoff{MaxBackoff: maxSyncBackoff}
	timeouts := newWatchTimeouts(ttl)
	var at distribution.Version
	var age time.Duration
	for ctx.Err() == nil {
		next, err := syncStep(ctx, at, timeouts.after(age), fetch, watch)
		if s.OnSourceCall != nil && ctx.Err() == nil && !errors.Is(err, ErrHistoryGone) {
			s.OnSourceCall(part, next.At, err)
		}
		switch {
		case err == nil:
			if at != 0 {
				timeouts.increase()
			}
			at, age = next.At, next.Age
			backoff.Reset()
		case errors.Is(err, ErrHistoryGone):
			at = 0
		default:
			timeouts.reset()
			// If ctx ends the wait, the loop condition ends the loop.
			_ = backoff.Wait(ctx)
		}
	}
	return nil
}

// syncStep makes one call to the source: it reads the list if at is zero and
// otherwise watches from there. It returns the state to watch from next.
func syncStep(ctx context.Context, at distribution.Version, wait time.Duration, fetch listFunc, watch watchFunc) (next Reading, err error) {
	if at == 0 {
		list, err := fetchList(ctx, fetch)
		if err != nil {
			return Reading{}, eris.Wrap(err, "list")
		}
		list.apply()
		return Reading{At: list.at, Age: list.age}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchReplyTimeout)
	defer cancel()
	next, err = watch(ctx, at, wait)
	next.At = max(next.At, at)
	return next, eris.Wrap(err, "watch")
}

// fetchList requests a list, and once more every listRetryInterval while there is
// no answer. It returns the result of the first call that ends.
func fetchList(ctx context.Context, fetch listFunc) (listResult, error) {
	type result struct {
		list listResult
		err  error
	}
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	results := make(chan result, listTimeout/listRetryInterval+1)
	call := func() {
		answer, err := fetch(ctx)
		results <- result{answer, err}
	}
	go call()
	retryTicker := time.NewTicker(listRetryInterval)
	defer retryTicker.Stop()
	for {
		select {
		case r := <-results:
			return r.list, r.err
		case <-retryTicker.C:
			go call()
		case <-ctx.Done():
			return listResult{}, ctx.Err()
		}
	}
}
