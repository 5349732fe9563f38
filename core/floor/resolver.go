// Package floor owns session floors. The floor of a session is the lowest log
// position that its next read may be served at, so that the read sees every
// write that it must see. The package finds the floor of a session that arrives
// without one by status queries that many sessions share, and encodes floors as
// tokens.
//
// # What proves a floor
//
// All answers are to queries sent after the session arrived. The floor must
// cover every write acknowledged before that. Any of these proves it:
//
//  1. The primary answers in the record's term and generation, naming the
//     record's successor, and the successor answers as a replica of that term.
//     No other server can have been promoted before the arrival, and the
//     successor was not. The floor is the primary's offset.
//  2. The successor answers as a replica of the record's term that has
//     received the start of the term, and the platform's record still has the
//     same term and generation. No write is acknowledged before the successor
//     has received it. The floor is the successor's received offset.
//  3. The primary answers in the record's term, and the platform's record
//     still has that term. A later term begins only after the record has
//     changed, so none had begun. The floor is the primary's offset. With this
//     proof current reads can be served while the successor is lost.
package floor

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/core/retry"
)

// Defaults of Config.
const (
	DefaultTimeout       = time.Second
	DefaultQueryInterval = 50 * time.Millisecond
	// DefaultPlatformReadDelay is several times the slowest round trip between
	// the data centres of a region (20 ms one way), so that the platform is
	// read only if the primary or the successor is probably lost.
	DefaultPlatformReadDelay = 150 * time.Millisecond
	// maxBackoff bounds the pause after failed queries, during which sessions
	// wait. One query per host every 200 ms is a small load for a group.
	maxBackoff = 200 * time.Millisecond
	// maxAttempts bounds the attempts of one query, each under a newer record
	// than the one before.
	maxAttempts = 3
)

var (
	// errUnproven reports that the answers do not prove a floor.
	errUnproven = errors.New("the answers of the group do not prove a session floor")
	// errNoRecord reports that this host has not yet received the group's
	// record.
	errNoRecord = errors.New("the host has no record of the group")
)

// Config configures a Resolver. All functions are called concurrently.
type Config struct {
	// Record returns the host's record of the group, nil if it has none.
	Record func() *group.Record
	// QueryPrimary queries the status of the record's primary.
	QueryPrimary func(context.Context, *group.Record) (group.Status, error)
	// QuerySuccessor queries the status of the record's successor.
	QuerySuccessor func(context.Context, *group.Record) (group.Status, error)
	// ReadRecord reads the record from the platform directly, not from a cached
	// copy.
	ReadRecord func(context.Context) (*group.Record, error)
	// OnNewerRecord, if set, is called with a record read from the platform
	// that is newer than the host's.
	OnNewerRecord func(*group.Record)
	// Timeout bounds one query, with all its attempts.
	Timeout time.Duration
	// QueryInterval is the time after the start of a query from which the next
	// one may start although the first has not ended.
	QueryInterval time.Duration
	// PlatformReadDelay is how long a query waits for the servers' answers
	// before it also reads the record from the platform.
	PlatformReadDelay time.Duration
}

// Resolver finds the floors of the sessions of one group. Concurrent callers
// share queries. It is safe for concurrent use.
type Resolver struct {
	config Config

	mu           sync.Mutex
	newestRecord *group.Record // newest record read from the platform
	pending      *query        // not started; callers may join it
	inFlight     int
	lastStartedAt,
	backoffUntil time.Time
	timer   *time.Timer
	backoff retry.Backoff
}

// query is a query for the floor that several callers share.
type query struct {
	callers int // number of callers still waiting
	cancel  context.CancelFunc
	done    chan struct{}
	floor   group.Position
	err     error
}

// NewResolver returns a Resolver. Zero durations in the config take their
// defaults.
func NewResolver(config Config) *Resolver {
	config.Timeout = cmp.Or(config.Timeout, DefaultTimeout)
	config.QueryInterval = cmp.Or(config.QueryInterval, DefaultQueryInterval)
	config.PlatformReadDelay = cmp.Or(config.PlatformReadDelay, DefaultPlatformReadDelay)
	return &Resolver{config: config, backoff: retry.Backoff{MaxBackoff: maxBackoff}}
}

// Resolve returns a floor that covers every write acknowledged before the call.
// It retries failed queries until ctx ends and then returns an
// outcome.Unavailable.
func (rs *Resolver) Resolve(ctx context.Context) (group.Position, error) {
	var lastErr error
	for {
		q := rs.joinQuery() //nolint:contextcheck // A shared query outlives the caller that starts it.
		select {
		case <-q.done:
		case <-ctx.Done():
			rs.leaveQuery(q)
			return group.Position{}, outcome.Unavailable("no position that the read must see was proved in time", errors.Join(ctx.Err(), lastErr))
		}
		if q.err == nil {
			return q.floor, nil
		}
		lastErr = q.err
	}
}

// joinQuery returns the query that starts next. A query that has already
// started may have read a state older than the caller's arrival.
func (rs *Resolver) joinQuery() *query {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.pending != nil {
		rs.pending.callers++
		return rs.pending
	}
	q := &query{callers: 1, done: make(chan struct{})}
	rs.pending = q
	rs.scheduleQuery()
	return q
}

// leaveQuery cancels a query when its last caller leaves.
func (rs *Resolver) leaveQuery(q *query) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	q.callers--
	if q.callers == 0 && q.cancel != nil {
		q.cancel()
	}
}

// scheduleQuery starts the pending query now or sets a timer for it.
func (rs *Resolver) scheduleQuery() {
	at := rs.backoffUntil
	if earliest := rs.lastStartedAt.Add(rs.config.QueryInterval); rs.inFlight > 0 && earliest.After(at) {
		at = earliest
	}
	if delay := time.Until(at); delay > 0 {
		rs.timer = time.AfterFunc(delay, rs.startScheduledQuery)
		return
	}
	rs.startQuery()
}

func (rs *Resolver) startScheduledQuery() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.pending != nil {
		rs.startQuery()
	}
}

func (rs *Resolver) startQuery() {
	q := rs.pending
	rs.pending = nil
	if q.callers == 0 {
		return
	}
	rs.inFlight++
	rs.lastStartedAt = time.Now()
	go rs.runQuery(q)
}

func (rs *Resolver) runQuery(q *query) {
	ctx, cancel := context.WithTimeout(context.Background(), rs.config.Timeout)
	defer cancel()
	rs.mu.Lock()
	q.cancel = cancel
	rs.mu.Unlock()
	q.floor, q.err = rs.findFloor(ctx)
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.inFlight--
	if q.err == nil {
		rs.backoff.Reset()
		rs.backoffUntil = time.Time{}
	} else {
		rs.backoffUntil = time.Now().Add(rs.backoff.Next())
	}
	close(q.done)
	if rs.pending != nil {
		rs.timer.Stop()
		rs.scheduleQuery()
	}
}

// findFloor queries the group under the newest known record, and again at once
// if a newer record has become known.
func (rs *Resolver) findFloor(ctx context.Context) (floor group.Position, err error) {
	defer func() { err = eris.Wrap(err, "query the floor") }()
	var platformAnswer *recordAnswer
	for range maxAttempts {
		r := rs.record()
		if r == nil {
			return group.Position{}, errNoRecord
		}
		t := &attempt{record: r, platform: platformAnswer}
		floor, err = rs.runAttempt(ctx, t)
		platformAnswer = t.platform
		if err == nil || !newer(rs.record(), r) {
			return floor, err
		}
	}
	return group.Position{}, err
}

// record returns the newest known record.
func (rs *Resolver) record() *group.Record {
	known := rs.config.Record()
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if newer(rs.newestRecord, known) {
		return rs.newestRecord
	}
	return known
}

// keepIfNewer keeps a record read from the platform if it is newer than r, and
// reports whether it is.
func (rs *Resolver) keepIfNewer(read, r *group.Record) bool {
	if !newer(read, r) {
		return false
	}
	rs.mu.Lock()
	if newer(read, rs.newestRecord) {
		rs.newestRecord = read
	}
	rs.mu.Unlock()
	if rs.config.OnNewerRecord != nil {
		rs.config.OnNewerRecord(read)
	}
	return true
}

func newer(r, other *group.Record) bool {
	return r != nil && (other == nil || r.Generation > other.Generation)
}
