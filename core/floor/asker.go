// Package floor owns session floors: the lowest position that the next read
// of a session may see. It finds the floor of a session that arrives without
// history by a query that many sessions share, and encodes floors as tokens.
//
// # What proves a floor
//
// All answers are to queries sent after the session's arrival. The floor must
// cover every write acknowledged before the arrival.
//
//  1. The primary answers in the record's term and generation, naming the
//     record's successor, and the successor answers as a replica of that term.
//     No other server could have been promoted before the arrival, and the
//     successor was not. The floor is the primary's offset.
//  2. The successor answers as a replica of the record's term that has
//     received the start of the term, and the platform's record still has the
//     same term and generation. Every acknowledged write was received by the
//     successor first. The floor is the successor's received offset.
//  3. The primary answers in the record's term, and the platform's record
//     still has that term. A later term begins only after the record changes,
//     so none had begun. The floor is the primary's offset. This proof serves
//     current reads while the successor is lost.
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
	DefaultTimeout = time.Second
	DefaultSpacing = 50 * time.Millisecond
	// DefaultPatience exceeds the slowest round trip between the data centres
	// of today's regions (20 ms one way) several times, so that the platform is
	// read only when the primary or the successor is probably lost.
	DefaultPatience = 150 * time.Millisecond
	// maxBackoff bounds the delay after failed queries, during which sessions
	// wait. One query per host and 200 ms is a small load for a group.
	maxBackoff = 200 * time.Millisecond
	// maxRestarts bounds the immediate repetitions of a query with a newer
	// record.
	maxRestarts = 3
)

var (
	// errUnproven reports answers from which no floor follows.
	errUnproven = errors.New("the answers of the group prove no floor")
	// errNoRecord reports a host that has not yet received the group's record.
	errNoRecord = errors.New("the host has no record of the group")
)

// Config sets up an Asker. All functions are called concurrently.
type Config struct {
	// Record returns the record that the host knows, nil if none.
	Record func() *group.Record
	// AskPrimary queries the status of the record's primary.
	AskPrimary func(context.Context, *group.Record) (group.Status, error)
	// AskSuccessor queries the status of the record's successor.
	AskSuccessor func(context.Context, *group.Record) (group.Status, error)
	// ReadRecord reads the record from the platform itself, not from a copy.
	ReadRecord func(context.Context) (*group.Record, error)
	// Adopt, if set, receives a record that is newer than the host's.
	Adopt func(*group.Record)
	// Timeout bounds one query.
	Timeout time.Duration
	// Spacing is the time after which a query begins although the previous one
	// has not ended.
	Spacing time.Duration
	// Patience is how long a query waits for the servers before it also reads
	// the platform's record.
	Patience time.Duration
}

// Asker finds the floors of one group's sessions. It is safe for concurrent
// use.
type Asker struct {
	config Config

	mu      sync.Mutex
	newest  *group.Record // newest record read from the platform
	next    *query        // not begun; callers may join it
	running int
	lastBegin,
	notBefore time.Time
	timer   *time.Timer
	backoff retry.Backoff
}

// query is one shared query.
type query struct {
	callers int // that still wait for it
	cancel  context.CancelFunc
	ended   chan struct{}
	floor   group.Position
	err     error
}

// NewAsker returns an Asker.
func NewAsker(config Config) *Asker {
	config.Timeout = cmp.Or(config.Timeout, DefaultTimeout)
	config.Spacing = cmp.Or(config.Spacing, DefaultSpacing)
	config.Patience = cmp.Or(config.Patience, DefaultPatience)
	return &Asker{config: config, backoff: retry.Backoff{MaxBackoff: maxBackoff}}
}

// Ask returns a position that covers every write acknowledged before the call.
// It repeats failed queries until ctx ends and then returns an
// outcome.NoPrimary.
func (a *Asker) Ask(ctx context.Context) (group.Position, error) {
	var last error
	for {
		q := a.join() //nolint:contextcheck // A shared query outlives the caller that starts it.
		select {
		case <-q.ended:
		case <-ctx.Done():
			a.leave(q)
			return group.Position{}, outcome.Unavailable("no position that the read must see was proved in time", errors.Join(ctx.Err(), last))
		}
		if q.err == nil {
			return q.floor, nil
		}
		last = q.err
	}
}

// join returns the query that begins next. A query that has begun may have
// read a state older than the caller's arrival.
func (a *Asker) join() *query {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.next != nil {
		a.next.callers++
		return a.next
	}
	q := &query{callers: 1, ended: make(chan struct{})}
	a.next = q
	a.schedule()
	return q
}

// leave cancels a query when its last caller has left.
func (a *Asker) leave(q *query) {
	a.mu.Lock()
	defer a.mu.Unlock()
	q.callers--
	if q.callers == 0 && q.cancel != nil {
		q.cancel()
	}
}

// schedule begins the next query now or sets a timer for it.
func (a *Asker) schedule() {
	at := a.notBefore
	if spaced := a.lastBegin.Add(a.config.Spacing); a.running > 0 && spaced.After(at) {
		at = spaced
	}
	if delay := time.Until(at); delay > 0 {
		a.timer = time.AfterFunc(delay, a.beginScheduled)
		return
	}
	a.begin()
}

func (a *Asker) beginScheduled() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.next != nil {
		a.begin()
	}
}

func (a *Asker) begin() {
	q := a.next
	a.next = nil
	if q.callers == 0 {
		return
	}
	a.running++
	a.lastBegin = time.Now()
	go a.run(q)
}

func (a *Asker) run(q *query) {
	ctx, cancel := context.WithTimeout(context.Background(), a.config.Timeout)
	defer cancel()
	a.mu.Lock()
	q.cancel = cancel
	a.mu.Unlock()
	q.floor, q.err = a.find(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	if q.err == nil {
		a.backoff.Reset()
		a.notBefore = time.Time{}
	} else {
		a.notBefore = time.Now().Add(a.backoff.Next())
	}
	close(q.ended)
	if a.next != nil {
		a.timer.Stop()
		a.schedule()
	}
}

// find queries the group with the host's record, and again at once when the
// platform has a newer one.
func (a *Asker) find(ctx context.Context) (floor group.Position, err error) {
	defer func() { err = eris.Wrap(err, "query the floor") }()
	var read *recordAnswer
	for range maxRestarts {
		r := a.record()
		if r == nil {
			return group.Position{}, errNoRecord
		}
		t := &attempt{record: r, platform: read}
		floor, err = a.try(ctx, t)
		read = t.platform
		if err == nil || !newer(a.record(), r) {
			return floor, err
		}
	}
	return group.Position{}, err
}

// record returns the newest record known.
func (a *Asker) record() *group.Record {
	known := a.config.Record()
	a.mu.Lock()
	defer a.mu.Unlock()
	if newer(a.newest, known) {
		return a.newest
	}
	return known
}

// adopt keeps a record read from the platform if it is newer than r.
func (a *Asker) adopt(read, r *group.Record) bool {
	if !newer(read, r) {
		return false
	}
	a.mu.Lock()
	if newer(read, a.newest) {
		a.newest = read
	}
	a.mu.Unlock()
	if a.config.Adopt != nil {
		a.config.Adopt(read)
	}
	return true
}

func newer(r, than *group.Record) bool {
	return r != nil && (than == nil || r.Generation > than.Generation)
}
