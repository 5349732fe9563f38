package distribution

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"basilmill/core/host"
	"basilmill/core/placement"
)

const (
	// minFollowedHosts is the number of hosts in a data centre from which on they
	// follow relays. Fewer hosts cost the store little and need not depend on each
	// other.
	minFollowedHosts = 2*placement.DefaultRelays + 1
	// pullWaitTimeout bounds how long a pull waits for a change, and so the time
	// until a lost relay is noticed.
	pullWaitTimeout = time.Second
	// pullReplyTimeout is how long after its wait a relay may take to answer.
	pullReplyTimeout = 400 * time.Millisecond
	// listPullTimeout bounds the pull of a list.
	listPullTimeout = 400 * time.Millisecond
	// minStoreWait is the least time for which the next relay or the store is
	// watched after a relay has failed.
	minStoreWait = 50 * time.Millisecond
	// relayBackoff is how long a relay is avoided after it failed. It doubles with
	// each consecutive failure up to maxRelayBackoff.
	relayBackoff    = time.Second
	maxRelayBackoff = 30 * time.Second
	// staleRelayBackoff is how long a relay is avoided that stated that its copy
	// is not current.
	staleRelayBackoff = time.Second
	// storeBackoff is how long a host that is no relay leaves the store alone after a
	// call of its own failed. It doubles with each consecutive failure up to
	// maxStoreBackoff. Relays keep trying, so that the others hear from them when an
	// outage is over.
	storeBackoff    = 500 * time.Millisecond
	maxStoreBackoff = 4 * time.Second
	// rankedTimeout is how long a host that starts waits for the list of hosts before it
	// watches the store as if it were alone.
	rankedTimeout = time.Second
)

// ErrStoreBackoff is returned when no relay has a current copy and the store did not
// answer this host shortly before.
var ErrStoreBackoff = errors.New("no relay is current and the store did not answer before")

// ErrNotCurrent is the reason for avoiding a relay whose copy is not current.
var ErrNotCurrent = errors.New("the relay's copy is not current")

// RelayNetwork connects a host with the others of its data centre.
type RelayNetwork interface {
	// Ranked returns the hosts of the data centre, with this host, in the order in
	// which they are relays. It is empty while the hosts are not known.
	Ranked() []host.Info
	// AwaitRanked waits until the hosts are known. The error is that of ctx.
	AwaitRanked(ctx context.Context) error
	// Pull calls Relay.Pull on a host.
	Pull(ctx context.Context, info host.Info, kind Kind, after Version, wait time.Duration) (u Update, current bool, err error)
}

// Follower is the Source of an entry host. Some hosts of each data centre, the relays,
// read the store; the others follow them, so that the calls of the store do not grow
// with the hosts. A host without a relay that answers reads the store itself. It is
// safe for concurrent use.
type Follower struct {
	Self    host.ID
	Store   Source
	Relay   *Relay
	Network RelayNetwork
	// OnAvoid, if set, is called when a relay is avoided. It must not block.
	OnAvoid func(relay host.ID, kind Kind, cause error)
	// FollowOthers, if set, reports whether this host follows others when the store does not
	// answer it, although it is a relay or has too few hosts beside it to follow relays.
	FollowOthers func() bool
	// Eras, if set, notes the era of the store that the relays' copies state.
	Eras *Eras

	mu      sync.Mutex
	avoided map[host.ID]avoidance
	// newest holds the highest version that this host has seen of each kind. An
	// older list would bring removed objects back.
	newest map[Kind]Version
	// store says until when the store is left alone after failed calls.
	store map[Kind]avoidance
}

// avoidance says until when a relay is avoided.
type avoidance struct {
	until   time.Time
	backoff time.Duration
}

// IsRelay reports whether this host reads the store for others, or for itself because
// it follows none.
func (f *Follower) IsRelay() bool {
	_, self := f.relays()
	return self
}

// relays returns the relays to follow, in order of preference, and whether this host
// is itself a relay: the first ones in rank that are not avoided.
func (f *Follower) relays() (relays []host.Info, self bool) {
	ranked := f.Network.Ranked()
	if len(ranked) < minFollowedHosts {
		return nil, true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	for _, h := range ranked {
		switch {
		case len(relays) == placement.DefaultRelays:
			return relays, false
		case h.ID == f.Self:
			return nil, true
		case now.Before(f.avoided[h.ID].until):
		default:
			relays = append(relays, h)
		}
	}
	return relays, false
}

// sources returns the hosts to follow for a kind, in order of preference, and whether this
// host is itself a relay. A relay follows others only for some time after a failed call of
// the store, and then calls the store again.
func (f *Follower) sources(kind Kind) (hosts []host.Info, self bool) {
	hosts, self = f.relays()
	if !self || f.FollowOthers == nil || !f.FollowOthers() {
		return hosts, self
	}
	ranked, now := f.Network.Ranked(), time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !now.Before(f.store[kind].until) {
		return nil, true
	}
	for _, h := range ranked {
		if h.ID != f.Self && !now.Before(f.avoided[h.ID].until) && len(hosts) < placement.DefaultRelays {
			hosts = append(hosts, h)
		}
	}
	return hosts, true
}

// List implements Source.
func (f *Follower) List(ctx context.Context, kind Kind) (Update, error) {
	relays, _ := f.sources(kind)
	for _, relay := range relays {
		if u, ok := f.pull(ctx, relay, kind, 0, 0, listPullTimeout); ok {
			return u, nil
		}
	}
	if !f.mayCallStore(kind) {
		return Update{}, ErrStoreBackoff
	}
	sentAt := f.Relay.Clock()
	u, err := f.Store.List(ctx, kind)
	f.noteStoreCall(kind, err)
	if err != nil {
		f.Relay.fail(kind)
		return Update{}, err
	}
	u.Age = f.Relay.Clock() - sentAt
	f.Relay.replace(kind, u, watchReplyTimeout)
	f.noteVersion(kind, u.Version)
	return u, nil
}

// Watch implements Source. It may return earlier than the wait.
func (f *Follower) Watch(ctx context.Context, kind Kind, after Version, wait time.Duration) (Update, error) {
	started := time.Now()
	f.awaitRanked(ctx, min(wait, rankedTimeout))
	relays, self := f.sources(kind)
	pullWait := min(wait, pullWaitTimeout)
	for _, relay := range relays {
		u, ok := f.pull(ctx, relay, kind, after, pullWait, pullWait+pullReplyTimeout)
		if !ok {
			// The change that this host waits for may already have been made.
			pullWait = minStoreWait
			continue
		}
		if u.After != after {
			return Update{}, ErrHistoryGone
		}
		return u, nil
	}
	if self && !f.Relay.isComplete(kind, after) {
		// The copy must be complete before others may follow it.
		return Update{}, ErrHistoryGone
	}
	if !f.mayCallStore(kind) {
		return Update{}, ErrStoreBackoff
	}
	wait = max(wait-time.Since(started), minStoreWait)
	f.Relay.expect(kind, wait)
	sentAt := f.Relay.Clock()
	u, err := f.Store.Watch(ctx, kind, after, wait)
	f.noteStoreCall(kind, err)
	if err != nil {
		f.Relay.fail(kind)
		return Update{}, err
	}
	u.Age = f.answerAge(u, sentAt, wait)
	f.Relay.merge(kind, u)
	f.noteVersion(kind, u.Version)
	return u, nil
}

// awaitRanked waits for the list of hosts. Without one in time, this host goes on alone.
func (f *Follower) awaitRanked(ctx context.Context, timeout time.Duration) {
	if len(f.Network.Ranked()) > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_ = f.Network.AwaitRanked(ctx)
}

// pull pulls from a relay. It returns false if the relay is avoided from now on.
func (f *Follower) pull(ctx context.Context, relay host.Info, kind Kind, after Version, wait, timeout time.Duration) (Update, bool) {
	pullCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sentAt := f.Relay.Clock()
	u, current, err := f.Network.Pull(pullCtx, relay, kind, after, wait)
	if ctx.Err() != nil {
		return Update{}, false
	}
	if err == nil && (!current || u.Version < f.newestVersion(kind)) {
		err = ErrNotCurrent
	}
	if err != nil {
		f.avoid(relay.ID, kind, err)
		return Update{}, false
	}
	f.mu.Lock()
	delete(f.avoided, relay.ID)
	f.mu.Unlock()
	f.noteVersion(kind, u.Version)
	f.Eras.Note(u.Version.Era())
	u.Age += f.answerAge(u, sentAt, wait)
	return u, true
}

// answerAge returns the time, at most, since an answer was given to a call that was sent at
// a time. An answer without a change was given after the wait.
func (f *Follower) answerAge(u Update, sentAt, wait time.Duration) time.Duration {
	elapsed := f.Relay.Clock() - sentAt
	if len(u.Objects) == 0 && elapsed >= wait {
		return elapsed - wait
	}
	return elapsed
}

// avoid avoids a relay for some time.
func (f *Follower) avoid(relay host.ID, kind Kind, cause error) {
	f.mu.Lock()
	if f.avoided == nil {
		f.avoided = map[host.ID]avoidance{}
	}
	a := f.avoided[relay]
	if errors.Is(cause, ErrNotCurrent) {
		a.backoff = staleRelayBackoff
	} else {
		a.backoff = min(max(2*a.backoff, relayBackoff), maxRelayBackoff)
	}
	a.until = time.Now().Add(a.backoff)
	f.avoided[relay] = a
	f.mu.Unlock()
	if f.OnAvoid != nil {
		f.OnAvoid(relay, kind, cause)
	}
}

// isDesignated reports whether this host is one of the first in rank.
func (f *Follower) isDesignated() bool {
	ranked := f.Network.Ranked()
	return len(ranked) < minFollowedHosts ||
		slices.ContainsFunc(ranked[:placement.DefaultRelays], func(h host.Info) bool { return h.ID == f.Self })
}

// mayCallStore reports whether this host may call the store. It may not for some time
// after failed calls, unless others depend on it.
func (f *Follower) mayCallStore(kind Kind) bool {
	if f.isDesignated() {
		return true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !time.Now().Before(f.store[kind].until)
}

// noteStoreCall notes the result of a call of the store.
func (f *Follower) noteStoreCall(kind Kind, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil || errors.Is(err, ErrHistoryGone) {
		delete(f.store, kind)
		return
	}
	if f.store == nil {
		f.store = map[Kind]avoidance{}
	}
	backoff := min(max(2*f.store[kind].backoff, storeBackoff), maxStoreBackoff)
	f.store[kind] = avoidance{until: time.Now().Add(backoff/2 + rand.N(backoff/2)), backoff: backoff}
}

func (f *Follower) newestVersion(kind Kind) Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newest[kind]
}

func (f *Follower) noteVersion(kind Kind, version Version) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.newest == nil {
		f.newest = map[Kind]Version{}
	}
	f.newest[kind] = max(f.newest[kind], version)
}
