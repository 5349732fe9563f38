package lead_test

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/lead"
	"basilmill/core/logevent"
	"basilmill/core/takeover"
)

// fakes plays the servers, the other hosts and the attempts.
type fakes struct {
	looks    int
	mu       sync.Mutex
	leader   group.ServerID
	position group.Position
	// unreachable makes probes of the leader time out.
	unreachable bool
	peers       []lead.Sample
	attempts    []takeover.Situation
	suspended   map[group.ServerID]group.Term
}

func (f *fakes) Probe(ctx context.Context, s catalog.Server) (group.Position, error) {
	f.mu.Lock()
	unreachable, leader, position := f.unreachable, f.leader, f.position
	f.mu.Unlock()
	if s.ID != leader {
		if leader == "" {
			return group.Position{}, syscall.ECONNREFUSED
		}
		return group.Position{}, &exchange.Error{Code: exchange.ReadOnly}
	}
	if unreachable {
		<-ctx.Done()
		return group.Position{}, ctx.Err()
	}
	return position, nil
}

func (f *fakes) Command(_ context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if statement.Operation == exchange.Resume {
		delete(f.suspended, s.ID)
	}
	return exchange.ServerStatus{SuspendedTerm: f.suspended[s.ID]}, nil
}

func (f *fakes) Run(_ context.Context, s takeover.Situation) (group.ServerID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, s)
	if s.Cause == takeover.Suspended {
		f.suspended = nil
		return s.Primary.ID, nil
	}
	return "", takeover.ErrSilent
}

func (f *fakes) ReadRecord(context.Context, group.ID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.looks++
	return nil
}

func (f *fakes) Positions(context.Context, group.ID) []lead.Sample {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peers
}

func (f *fakes) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakes) attempted() []takeover.Situation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempts
}

// watch runs a monitor over servers a, b and c with the clock paused.
func watch(t *testing.T, f *fakes, test func(t *testing.T, m *lead.Monitor, book *catalog.Book, clock func() time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		clock := func() time.Duration { return time.Hour + time.Since(started) }
		book := &catalog.Book{}
		for _, id := range []group.ServerID{"a", "b", "c"} {
			book.PutServer(catalog.Server{ID: id, Group: "g", Primary: id == "a"})
		}
		m := lead.New(lead.Config{
			Group: "g", Book: book, Client: f, PrimaryChanger: f, Peers: f, Clock: clock,
			Log: &logevent.Logger{Log: slog.New(slog.NewTextHandler(io.Discard, nil))},
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second)
		defer cancel()
		go func() { _ = m.Run(ctx) }()
		test(t, m, book, clock)
	})
}

func at(term group.Term, offset group.Offset) group.Position {
	return group.Position{Term: term, Offset: offset}
}

// The oldest position that is recent enough lets lagging replicas serve.
func TestCoveringReturnsTheOldestSufficientPosition(t *testing.T) {
	f := &fakes{leader: "a", position: at(1, 10)}
	watch(t, f, func(t *testing.T, m *lead.Monitor, _ *catalog.Book, clock func() time.Duration) {
		time.Sleep(time.Second)
		f.set(func() { f.position = at(1, 20) })
		middle := clock()
		time.Sleep(time.Second)
		sample, ok := m.Snapshot().OldestSampleSince(middle - 500*time.Millisecond)
		assert.Assert(t, ok)
		assert.Equal(t, sample.Position, at(1, 10))
		sample, ok = m.Snapshot().OldestSampleSince(middle + 300*time.Millisecond)
		assert.Assert(t, ok)
		assert.Equal(t, sample.Position, at(1, 20))
		_, ok = m.Snapshot().OldestSampleSince(clock() + time.Millisecond)
		assert.Assert(t, !ok)
	})
}

// Positions of an earlier term may lie beyond the start of the new one; reads
// would wait for them for ever.
func TestPositionsOfAnEarlierTermAreDropped(t *testing.T) {
	f := &fakes{leader: "a", position: at(1, 10)}
	watch(t, f, func(t *testing.T, m *lead.Monitor, _ *catalog.Book, _ func() time.Duration) {
		time.Sleep(time.Second)
		f.set(func() { f.leader, f.position = "b", at(2, 8) })
		time.Sleep(time.Second)
		s := m.Snapshot()
		assert.Equal(t, s.Primary.ID, group.ServerID("b"))
		for _, sample := range s.Samples {
			assert.Equal(t, sample.Position.Term, group.Term(2))
		}
	})
}

// A host without a path to the primary uses the proofs of others, but none of
// an earlier term than it knows, and takes no primary for lost that others
// reach.
func TestProofsOfOtherHosts(t *testing.T) {
	f := &fakes{leader: "a", position: at(2, 10)}
	watch(t, f, func(t *testing.T, m *lead.Monitor, _ *catalog.Book, clock func() time.Duration) {
		time.Sleep(time.Second)
		f.set(func() { f.unreachable = true })
		for range 20 {
			f.set(func() {
				f.peers = []lead.Sample{{At: clock(), Position: at(2, 30)}, {At: clock(), Position: at(1, 99)}}
			})
			time.Sleep(100 * time.Millisecond)
		}
		sample, ok := m.Snapshot().OldestSampleSince(clock() - 400*time.Millisecond)
		assert.Assert(t, ok)
		assert.Equal(t, sample.Position, at(2, 30))
		assert.Equal(t, len(f.attempted()), 0)
		f.set(func() { f.peers = nil })
		time.Sleep(2 * time.Second)
		assert.Assert(t, len(f.attempted()) > 0)
		assert.Equal(t, f.attempted()[0].Cause, takeover.Lost)
	})
}

// Servers register within seconds of the store's return; a host that has just
// started must not take an incomplete list for a group without a primary.
func TestStartWaitsForServersToRegister(t *testing.T) {
	f := &fakes{}
	watch(t, f, func(t *testing.T, _ *lead.Monitor, _ *catalog.Book, _ func() time.Duration) {
		// Entries are back within two seconds of the store's return.
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(f.attempted()), 0)
		time.Sleep(2 * time.Second)
		assert.Assert(t, len(f.attempted()) > 0)
		assert.Equal(t, f.attempted()[0].Cause, takeover.Gone)
	})
}

// A host that sees the number of the last change first when it attempts one
// would wait for its lease, while the group has no primary.
func TestRecordIsReadAfterEachChange(t *testing.T) {
	f := &fakes{leader: "a", position: at(1, 10)}
	watch(t, f, func(t *testing.T, _ *lead.Monitor, _ *catalog.Book, _ func() time.Duration) {
		time.Sleep(5 * time.Second)
		f.set(func() {
			assert.Equal(t, f.looks, 1)
			f.leader, f.position = "b", at(2, 11)
		})
		time.Sleep(5 * time.Second)
		f.set(func() { assert.Equal(t, f.looks, 2) })
	})
}

// A leaving primary is replaced before it stops.
func TestLeavingPrimaryCausesAnAttempt(t *testing.T) {
	f := &fakes{leader: "a", position: at(1, 10)}
	watch(t, f, func(t *testing.T, _ *lead.Monitor, book *catalog.Book, _ func() time.Duration) {
		time.Sleep(time.Second)
		book.PutServer(catalog.Server{ID: "a", Group: "g", Primary: true, Leaving: true})
		time.Sleep(time.Second)
		assert.Assert(t, len(f.attempted()) > 0)
		assert.Equal(t, f.attempted()[0].Cause, takeover.Leaving)
	})
}

// A process that restarted under the same id knows nothing of before.
func TestRestartedLeaderIsForgotten(t *testing.T) {
	f := &fakes{leader: "a", position: at(1, 10)}
	watch(t, f, func(t *testing.T, m *lead.Monitor, book *catalog.Book, _ func() time.Duration) {
		time.Sleep(time.Second)
		f.set(func() { f.leader = "b" })
		book.PutServer(catalog.Server{ID: "a", Group: "g", Primary: true, Boot: 2})
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, m.Snapshot().Primary.ID != "a" || !m.Snapshot().PrimaryKnown)
	})
}

// Suspensions that an unfinished attempt left are ended by an attempt, which
// can tell whether an order is outstanding.
func TestAuditEndsLeftoverSuspensions(t *testing.T) {
	f := &fakes{leader: "a", position: at(1, 10), suspended: map[group.ServerID]group.Term{"b": 4}}
	watch(t, f, func(t *testing.T, _ *lead.Monitor, _ *catalog.Book, _ func() time.Duration) {
		time.Sleep(45 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Equal(t, len(f.suspended), 0)
		assert.Equal(t, len(f.attempts), 1)
		assert.Equal(t, f.attempts[0].Cause, takeover.Suspended)
	})
}
