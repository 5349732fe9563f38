package catalog

import (
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

// Change is a change of one server's entry. Server is nil when the entry was
// removed or names no server.
type Change struct {
	ID     group.ServerID
	Server *Server
	// Problem says why an entry names no server; nil for a removed one.
	Problem error
}

// Source reads the servers and the configuration from the platform's store.
type Source interface {
	ListServers(ctx context.Context) ([]Change, Revision, error)
	// WatchServers returns the changes after a revision, as soon as there are
	// some or when the wait ends.
	WatchServers(ctx context.Context, from Revision, wait time.Duration) ([]Change, Revision, error)
	// ListConfig returns nil if there is no configuration.
	ListConfig(ctx context.Context) (*Config, Revision, error)
	// WatchConfig returns nil if there is no newer configuration.
	WatchConfig(ctx context.Context, from Revision, wait time.Duration) (*Config, Revision, error)
}

const (
	// configWait is how long a watch of the configuration waits for a change.
	// With watchSlack it bounds the age of the view on a connection that has
	// gone silent, which must stay within the 3 s in which a configuration
	// takes hold. Each watch is a priced call.
	configWait = 1800 * time.Millisecond
	// serversWait is the same for the servers' entries; a leaving server must
	// get no new work after 7 s.
	serversWait = 4 * time.Second
	// watchSlack is the time that the answer to a watch may take beyond the
	// wait.
	watchSlack = 700 * time.Millisecond
	// listTimeout bounds the reading of a list.
	listTimeout = 1500 * time.Millisecond
	// maxFeedPause bounds the pause after a failed call, as part of the time
	// in which the view is back after an outage of the store.
	maxFeedPause = 500 * time.Millisecond
)

// Feed keeps a Book up to date from a Source.
type Feed struct {
	Book   *Book
	Source Source
	// Report, if set, receives the result of each call of the source.
	Report func(part string, at Revision, err error)
	// Changed, if set, receives each change of a server's entry that a watch
	// reports, and each entry that names no server.
	Changed func(change Change, at Revision)
}

// FollowServers follows the servers' entries until ctx ends.
func (f *Feed) FollowServers(ctx context.Context) error {
	return f.follow(ctx, "servers", serversWait,
		func(ctx context.Context) (Revision, error) {
			entries, at, err := f.Source.ListServers(ctx)
			if err == nil {
				f.replace(entries, at)
			}
			return at, err
		},
		func(ctx context.Context, from Revision) (Revision, error) {
			changes, at, err := f.Source.WatchServers(ctx, from, serversWait)
			if err != nil {
				return 0, err
			}
			for _, c := range changes {
				if c.Server == nil {
					f.Book.RemoveServer(c.ID)
				} else {
					f.Book.PutServer(*c.Server)
				}
				f.changed(c, at)
			}
			return at, nil
		})
}

// replace installs a complete list of entries.
func (f *Feed) replace(entries []Change, at Revision) {
	var servers []Server
	for _, e := range entries {
		if e.Server == nil {
			f.changed(e, at)
			continue
		}
		servers = append(servers, *e.Server)
	}
	f.Book.ReplaceServers(servers)
}

func (f *Feed) changed(c Change, at Revision) {
	if f.Changed != nil {
		f.Changed(c, at)
	}
}

// FollowConfig follows the configuration until ctx ends.
func (f *Feed) FollowConfig(ctx context.Context) error {
	return f.follow(ctx, "configuration", configWait,
		func(ctx context.Context) (Revision, error) {
			config, at, err := f.Source.ListConfig(ctx)
			if err == nil && config != nil {
				f.Book.SetConfig(config)
			}
			return at, err
		},
		func(ctx context.Context, from Revision) (Revision, error) {
			config, at, err := f.Source.WatchConfig(ctx, from, configWait)
			if err == nil && config != nil {
				f.Book.SetConfig(config)
			}
			return at, err
		})
}

// follow reads a list and watches from its revision. After a failed watch it
// watches again from the same revision; when that history is gone it reads the
// list again.
func (f *Feed) follow(ctx context.Context, part string, wait time.Duration, list func(context.Context) (Revision, error), watch func(context.Context, Revision) (Revision, error)) error {
	pause := retry.Backoff{Max: maxFeedPause}
	var at Revision
	for ctx.Err() == nil {
		next, err := f.step(ctx, at, wait, list, watch)
		if f.Report != nil && ctx.Err() == nil {
			f.Report(part, next, err)
		}
		switch {
		case err == nil:
			at = next
			pause.Reset()
		case errors.Is(err, ErrHistoryGone):
			at = 0
		default:
			// A wait that ends early is noticed by the loop.
			_ = pause.Wait(ctx)
		}
	}
	return nil
}

func (f *Feed) step(ctx context.Context, at Revision, wait time.Duration, list func(context.Context) (Revision, error), watch func(context.Context, Revision) (Revision, error)) (next Revision, err error) {
	if at == 0 {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		next, err = list(ctx)
		return next, eris.Wrap(err, "list")
	}
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	next, err = watch(ctx, at)
	return max(next, at), eris.Wrap(err, "watch")
}
