package takeover_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/takeover"
)

// fakes plays the group, the store and the platform.
type fakes struct {
	mu       sync.Mutex
	statuses map[group.ServerID]exchange.ServerStatus
	silent   map[group.ServerID]bool
	record   takeover.Record
	lose     bool
	// silentUpdates are not answered; they are made if silentMade is set.
	silentUpdates int
	silentMade    bool
	orders        []takeover.Epoch
	refuse        int
	fail          int
	resumed       []group.ServerID
	listed        []catalog.Server
	leader        group.ServerID
}

func (f *fakes) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	if f.silent[s.ID] {
		<-ctx.Done()
		return exchange.ServerStatus{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if statement.Operation == exchange.Resume {
		f.resumed = append(f.resumed, s.ID)
	}
	return f.statuses[s.ID], nil
}

func (f *fakes) IsPrimary(_ context.Context, s catalog.Server) bool { return f.leader == s.ID }

func (f *fakes) Load(ctx context.Context, _ group.ID) (takeover.Record, error) {
	return f.record, ctx.Err()
}

func (f *fakes) Servers(context.Context, group.ID) ([]catalog.Server, error) { return f.listed, nil }

func (f *fakes) Store(ctx context.Context, _ group.ID, r takeover.Record) (takeover.Record, error) {
	if r.Revision != f.record.Revision {
		return takeover.Record{}, takeover.ErrConflict
	}
	if f.silentUpdates > 0 {
		f.silentUpdates--
		if f.silentMade {
			r.Revision++
			f.record = r
		}
		<-ctx.Done()
		return takeover.Record{}, ctx.Err()
	}
	r.Revision++
	f.record = r
	if f.lose {
		return takeover.Record{}, errors.New("no answer")
	}
	return r, nil
}

func (f *fakes) Promote(_ context.Context, _ group.ID, server group.ServerID, _ host.ID, epoch takeover.Epoch) error {
	f.orders = append(f.orders, epoch)
	if f.fail > 0 {
		f.fail--
		return errors.New("no answer")
	}
	if f.refuse > 0 {
		f.refuse--
		return takeover.ErrRefused
	}
	f.leader = server
	return nil
}

// at returns the status of a replica of term 1.
func at(offset group.Offset) exchange.ServerStatus {
	return exchange.ServerStatus{Role: exchange.Replica, Term: 1, ReceivedPosition: group.Position{Term: 1, Offset: offset}}
}

func members() []catalog.Server {
	return []catalog.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
}

func newFakes() *fakes {
	return &fakes{
		statuses: map[group.ServerID]exchange.ServerStatus{"a": at(10), "b": at(8), "c": at(9)},
		silent:   map[group.ServerID]bool{},
	}
}

// attempt makes one attempt for a lost primary "a" with the clock paused.
func attempt(t *testing.T, f *fakes, cause takeover.Cause, prepare func(*takeover.Runner)) (server group.ServerID, err error) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		r := &takeover.Runner{Self: "h1", Client: f, Records: f, ServerLister: f, Promotions: f, NewUpdateID: func() string { return "h1-1" }}
		if prepare != nil {
			prepare(r)
		}
		server, err = r.Run(context.Background(), takeover.Request{
			Group: "g", Cause: cause, Primary: catalog.Server{ID: "a"}, Members: members(),
		})
	})
	return server, err
}

// The replica with the longest log holds every acknowledged commit.
func TestFurthestReplicaIsPromoted(t *testing.T) {
	f := newFakes()
	server, err := attempt(t, f, takeover.PrimaryGone, nil)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("c"))
}

// A silent replica may hold acknowledged commits. The others must receive
// again after the attempt is given up.
func TestSilentReplicaEndsTheAttempt(t *testing.T) {
	f := newFakes()
	f.silent["b"] = true
	_, err := attempt(t, f, takeover.PrimaryGone, nil)
	assert.Assert(t, errors.Is(err, takeover.ErrServerUnresponsive))
	assert.Equal(t, len(f.orders), 0)
}

// A host that alone lost its path to the primary must not replace it.
func TestProgressEndsTheAttempt(t *testing.T) {
	f := newFakes()
	var err error
	synctest.Test(t, func(*testing.T) {
		r := &takeover.Runner{Self: "h1", Client: f, Records: f, ServerLister: f, Promotions: f, NewUpdateID: func() string { return "x" }}
		time.AfterFunc(100*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.statuses["b"] = at(11)
		})
		_, err = r.Run(context.Background(), takeover.Request{Group: "g", Cause: takeover.PrimaryUnresponsive, Primary: catalog.Server{ID: "a"}, Members: members()})
	})
	assert.Assert(t, errors.Is(err, takeover.ErrPrimaryActive))
	assert.Equal(t, f.record.Epoch, takeover.Epoch(0))
}

// Writes that wait in a queue are no reason to replace the primary.
func TestWaitingWritesAreNoStall(t *testing.T) {
	f := newFakes()
	f.statuses["c"] = at(10)
	_, err := attempt(t, f, takeover.CommitsStalled, nil)
	assert.Assert(t, errors.Is(err, takeover.ErrPrimaryActive))
}

// A replica that lacks part of the log that the last primary started from may
// lack commits acknowledged before: it must not lead, whatever the cause.
func TestReplicaBehindTheLastChangeIsNotNamed(t *testing.T) {
	for _, cause := range []takeover.Cause{takeover.PrimaryGone, takeover.PrimaryUnresponsive, takeover.CommitsStalled} {
		f := newFakes()
		f.record = takeover.Record{Epoch: 4, Holder: "h1", BasePosition: group.Position{Term: 1, Offset: 10}, Revision: 4}
		_, err := attempt(t, f, cause, nil)
		assert.Assert(t, errors.Is(err, takeover.ErrLogIncomplete), "%v: %v", cause, err)
		assert.Equal(t, len(f.orders), 0)
		assert.Equal(t, f.record.Epoch, takeover.Epoch(4))
	}
}

// The log that the new primary starts from is recorded before the order.
func TestEndOfLogIsRecorded(t *testing.T) {
	f := newFakes()
	f.fail = 100
	_, err := attempt(t, f, takeover.PrimaryGone, nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, f.record.BasePosition, group.Position{Term: 1, Offset: 9})
}

// A server that the host's view lacks may hold acknowledged commits.
func TestListedServerIsAccountedFor(t *testing.T) {
	f := newFakes()
	f.listed = []catalog.Server{{ID: "d"}}
	f.statuses["d"] = at(10)
	server, err := attempt(t, f, takeover.PrimaryGone, nil)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("d"))
	f = newFakes()
	f.listed = []catalog.Server{{ID: "d"}}
	f.silent["d"] = true
	_, err = attempt(t, f, takeover.PrimaryGone, nil)
	assert.Assert(t, errors.Is(err, takeover.ErrServerUnresponsive))
	assert.Equal(t, len(f.orders), 0)
}

// Two holders within the lease break the platform's rule on turns.
func TestLeaseOfAnotherHolderIsKept(t *testing.T) {
	f := newFakes()
	f.record = takeover.Record{Epoch: 4, Holder: "h2", Revision: 4}
	_, err := attempt(t, f, takeover.PrimaryGone, nil)
	assert.Assert(t, errors.Is(err, takeover.ErrLeaseHeld))
	_, err = attempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) {
		r.NoteRecord(f.record)
		time.Sleep(takeover.LeaseTTL)
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, f.orders, []takeover.Epoch{5})
}

// The lease counts from when the host saw the number first. A host that has
// looked at the record need not wait when it attempts a change later.
func TestLookedAtRecordHasNoLease(t *testing.T) {
	f := newFakes()
	f.record = takeover.Record{Epoch: 4, Holder: "h2", Revision: 4}
	_, err := attempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) {
		assert.NilError(t, r.ReadRecord(context.Background(), "g"))
		time.Sleep(takeover.LeaseTTL)
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, f.orders, []takeover.Epoch{5})
}

// An update whose answer was lost is recognised by its attempt.
func TestLostAnswerOfTheStoreIsSettled(t *testing.T) {
	f := newFakes()
	f.lose = true
	_, err := attempt(t, f, takeover.PrimaryGone, nil)
	assert.NilError(t, err)
}

// The store may make an update and not answer, or not make it, or make it after
// it was sent again. Giving up each time would leave the group without a
// primary while answers get lost.
func TestUnansweredUpdateIsRepeated(t *testing.T) {
	for _, made := range []bool{true, false} {
		f := newFakes()
		f.silentUpdates, f.silentMade = 2, made
		server, err := attempt(t, f, takeover.PrimaryGone, nil)
		assert.NilError(t, err, "made: %v", made)
		assert.Equal(t, server, group.ServerID("c"))
		assert.DeepEqual(t, f.orders, []takeover.Epoch{1})
	}
}

// An order without an answer may be carried out later, so it is repeated until
// it is answered.
func TestOrderIsRepeatedUntilAnswered(t *testing.T) {
	f := newFakes()
	f.fail = 2
	_, err := attempt(t, f, takeover.PrimaryGone, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, f.orders, []takeover.Epoch{1, 1, 1})
}

// A refused number must not be used again, and the replicas must receive again.
func TestRefusedOrderEndsTheAttempt(t *testing.T) {
	f := newFakes()
	f.refuse = 1
	_, err := attempt(t, f, takeover.PrimaryGone, nil)
	assert.Assert(t, errors.Is(err, takeover.ErrRefused))
	assert.Equal(t, len(f.orders), 1)
	assert.Equal(t, len(f.resumed), 2)
}

// While an order without an answer may be carried out, no server may receive
// commits that the named one would lack; the suspensions end with an order
// that has a higher number and names the primary.
func TestOutstandingOrderKeepsServersSuspended(t *testing.T) {
	f := newFakes()
	f.fail = 4
	_, err := attempt(t, f, takeover.PrimaryGone, nil)
	assert.Assert(t, errors.Is(err, takeover.ErrSuspensionsRemain))
	assert.Equal(t, len(f.resumed), 0)
	assert.Assert(t, f.record.PromotionPending)

	f.statuses["a"] = exchange.ServerStatus{Role: exchange.Primary, Term: 1, ReceivedPosition: group.Position{Term: 1, Offset: 10}}
	server, err := attempt(t, f, takeover.ReplicasSuspended, nil)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("a"))
	assert.DeepEqual(t, f.orders, []takeover.Epoch{1, 1, 1, 1, 2})
	assert.Equal(t, len(f.resumed), 2)
	assert.Assert(t, !f.record.PromotionPending)
}

// The same for an order of another host, which has not recorded an answer.
func TestOrderOfAnotherHostKeepsServersSuspended(t *testing.T) {
	f := newFakes()
	f.record = takeover.Record{Epoch: 4, Holder: "h1", PromotionPending: true, Revision: 4}
	f.refuse = 1
	_, err := attempt(t, f, takeover.PrimaryGone, nil)
	assert.Assert(t, errors.Is(err, takeover.ErrSuspensionsRemain))
	assert.Equal(t, len(f.resumed), 0)
}

// A leaving primary is followed by a replica that holds its whole log.
func TestLeavingPrimaryIsFollowedByACompleteReplica(t *testing.T) {
	f := newFakes()
	f.statuses["b"] = at(10)
	server, err := attempt(t, f, takeover.PrimaryLeaving, nil)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("b"))
}

// Without a complete replica the demoted primary leads again: no other server
// holds all of its log.
func TestDemotedPrimaryLeadsAgainWithoutACompleteReplica(t *testing.T) {
	f := newFakes()
	server, err := attempt(t, f, takeover.PrimaryLeaving, nil)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("a"))
}
