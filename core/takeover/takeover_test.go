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

// fakeCluster implements the backend servers of a group, the store and the
// platform.
type fakeCluster struct {
	mu               sync.Mutex
	statuses         map[group.ServerID]exchange.ServerStatus
	unresponsive     map[group.ServerID]bool
	record           takeover.Record
	loseStoreAnswers bool
	// unansweredUpdates is the number of updates that get no answer. They are
	// applied if unansweredUpdatesApplied is set.
	unansweredUpdates        int
	unansweredUpdatesApplied bool
	orderedEpochs            []takeover.Epoch
	refusedPromotions        int
	unansweredPromotions     int
	fencedEpochs             []takeover.Epoch
	unansweredFences         int
	resumed                  []group.ServerID
	listedServers            []catalog.Server
	primary                  group.ServerID
}

func (f *fakeCluster) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	if f.unresponsive[s.ID] {
		<-ctx.Done()
		return exchange.ServerStatus{}, ctx.Err()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	status := f.statuses[s.ID]
	switch {
	case statement.Operation == exchange.Resume:
		f.resumed = append(f.resumed, s.ID)
		status.SuspendedTerm = 0
	case statement.Operation == exchange.Demote && statement.Term > status.Term:
		status.Role = exchange.Replica
		if f.primary == s.ID {
			f.primary = ""
		}
	case statement.Operation == exchange.Suspend && status.Role == exchange.Replica && statement.Term > status.Term:
		status.SuspendedTerm = statement.Term
	}
	f.statuses[s.ID] = status
	return status, nil
}

func (f *fakeCluster) IsPrimary(_ context.Context, s catalog.Server) bool { return f.primary == s.ID }

func (f *fakeCluster) Load(ctx context.Context, _ group.ID) (takeover.Record, error) {
	return f.record, ctx.Err()
}

func (f *fakeCluster) LoadStale(ctx context.Context, id group.ID) (takeover.Record, error) {
	return f.Load(ctx, id)
}

func (f *fakeCluster) Servers(context.Context, group.ID) ([]catalog.Server, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listedServers, nil
}

func (f *fakeCluster) Store(ctx context.Context, _ group.ID, r takeover.Record) (takeover.Record, error) {
	if r.Version != f.record.Version {
		return takeover.Record{}, takeover.ErrConflict
	}
	if f.unansweredUpdates > 0 {
		f.unansweredUpdates--
		if f.unansweredUpdatesApplied {
			r.Version++
			f.record = r
		}
		<-ctx.Done()
		return takeover.Record{}, ctx.Err()
	}
	r.Version++
	f.record = r
	if f.loseStoreAnswers {
		return takeover.Record{}, errors.New("no answer")
	}
	return r, nil
}

func (f *fakeCluster) Promote(_ context.Context, _ group.ID, server group.ServerID, _ host.ID, epoch takeover.Epoch) error {
	f.orderedEpochs = append(f.orderedEpochs, epoch)
	if f.unansweredPromotions > 0 {
		f.unansweredPromotions--
		return errors.New("no answer")
	}
	if f.refusedPromotions > 0 {
		f.refusedPromotions--
		return takeover.ErrRefused
	}
	f.lead(server)
	return nil
}

// lead makes the server the primary of the next term, which ends the suspensions for that
// term and lower ones.
func (f *fakeCluster) lead(server group.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var term group.Term
	for _, status := range f.statuses {
		term = max(term, status.Term)
	}
	term++
	for id, status := range f.statuses {
		status.Role = exchange.Replica
		if id == server {
			status.Role, status.Term = exchange.Primary, term
		}
		if id == server || status.SuspendedTerm <= term {
			status.SuspendedTerm = 0
		}
		f.statuses[id] = status
	}
	f.primary = server
}

// suspensions returns the terms for which servers are suspended.
func (f *fakeCluster) suspensions() map[group.ServerID]group.Term {
	suspended := map[group.ServerID]group.Term{}
	for id, status := range f.statuses {
		if status.SuspendedTerm != 0 {
			suspended[id] = status.SuspendedTerm
		}
	}
	return suspended
}

func (f *fakeCluster) Fence(_ context.Context, _ group.ID, _ host.ID, epoch takeover.Epoch) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unansweredFences > 0 {
		f.unansweredFences--
		return errors.New("no answer")
	}
	f.fencedEpochs = append(f.fencedEpochs, epoch)
	return nil
}

// replicaAt returns the status of a replica at an offset of term 1.
func replicaAt(offset group.Offset) exchange.ServerStatus {
	return exchange.ServerStatus{Role: exchange.Replica, Term: 1, ReceivedPosition: group.Position{Term: 1, Offset: offset}}
}

// primaryAt returns the status of the primary of term 1 at an offset.
func primaryAt(offset group.Offset) exchange.ServerStatus {
	status := replicaAt(offset)
	status.Role = exchange.Primary
	return status
}

func members() []catalog.Server {
	return []catalog.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}}
}

func newFakeCluster() *fakeCluster {
	return &fakeCluster{
		statuses:     map[group.ServerID]exchange.ServerStatus{"a": primaryAt(10), "b": replicaAt(8), "c": replicaAt(9)},
		unresponsive: map[group.ServerID]bool{},
	}
}

// runAttempt makes one attempt to replace the primary "a" in a synctest bubble,
// in which time advances only while all goroutines are blocked.
func runAttempt(t *testing.T, f *fakeCluster, cause takeover.Cause, prepare func(*takeover.Runner)) (server group.ServerID, err error) {
	t.Helper()
	return replacePrimary(t, f, "a", cause, prepare)
}

// replacePrimary is runAttempt with another primary.
func replacePrimary(t *testing.T, f *fakeCluster, primary group.ServerID, cause takeover.Cause, prepare func(*takeover.Runner)) (server group.ServerID, err error) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		r := &takeover.Runner{Self: "h1", Client: f, Records: f, ServerLister: f, Promotions: f, NewUpdateID: func() string { return "h1-1" }}
		if prepare != nil {
			prepare(r)
		}
		server, err = r.Run(context.Background(), takeover.Request{
			Group: "g", Cause: cause, Primary: catalog.Server{ID: primary}, Members: members(),
		})
	})
	// One that is delivered late would lift the suspension of a later attempt.
	assert.Equal(t, len(f.resumed), 0, "the attempt has sent Resume")
	return server, err
}

// The replica with the highest position holds every acknowledged commit.
func TestReplicaWithHighestPositionIsPromoted(t *testing.T) {
	f := newFakeCluster()
	server, err := runAttempt(t, f, takeover.PrimaryGone, nil)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("c"))
}

// A replica that does not answer may be the only one that holds an acknowledged
// commit, so that no server may be promoted without its position.
func TestUnresponsiveReplicaEndsAttempt(t *testing.T) {
	f := newFakeCluster()
	f.unresponsive["b"] = true
	_, err := runAttempt(t, f, takeover.PrimaryGone, nil)
	assert.Assert(t, errors.Is(err, takeover.ErrServerUnresponsive))
	assert.Equal(t, len(f.orderedEpochs), 0)
}

// A host that cannot reach the primary must not replace it while replicas still
// receive writes from it.
func TestReplicationProgressEndsAttempt(t *testing.T) {
	f := newFakeCluster()
	var err error
	synctest.Test(t, func(*testing.T) {
		r := &takeover.Runner{Self: "h1", Client: f, Records: f, ServerLister: f, Promotions: f, NewUpdateID: func() string { return "x" }}
		time.AfterFunc(100*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.statuses["b"] = replicaAt(11)
		})
		_, err = r.Run(context.Background(), takeover.Request{Group: "g", Cause: takeover.PrimaryUnresponsive, Primary: catalog.Server{ID: "a"}, Members: members()})
	})
	assert.Assert(t, errors.Is(err, takeover.ErrPrimaryActive))
	assert.Equal(t, f.record.Epoch, takeover.Epoch(0))
}

// Writes that wait in a queue of the primary must not be taken for stalled
// commits: a replica holds the primary's whole log.
func TestWaitingWritesAreNotStalledCommits(t *testing.T) {
	f := newFakeCluster()
	f.statuses["c"] = replicaAt(10)
	_, err := runAttempt(t, f, takeover.CommitsStalled, nil)
	assert.Assert(t, errors.Is(err, takeover.ErrPrimaryActive))
}

// A replica that has not reached the base position of the last change may lack
// commits acknowledged before it, and must not be promoted whatever the cause.
func TestReplicaBelowBasePositionIsNotPromoted(t *testing.T) {
	for _, cause := range []takeover.Cause{takeover.PrimaryGone, takeover.PrimaryUnresponsive, takeover.CommitsStalled} {
		f := newFakeCluster()
		f.record = takeover.Record{Epoch: 4, Holder: "h1", BasePosition: group.Position{Term: 1, Offset: 10}, Version: 4}
		_, err := runAttempt(t, f, cause, nil)
		assert.Assert(t, errors.Is(err, takeover.ErrLogIncomplete), "%v: %v", cause, err)
		assert.Equal(t, len(f.orderedEpochs), 0)
		assert.Equal(t, f.record.Epoch, takeover.Epoch(4))
	}
}

// The position that the new primary starts from must be recorded before its
// promotion is ordered, even if the order gets no answer.
func TestBasePositionIsRecordedBeforePromotion(t *testing.T) {
	f := newFakeCluster()
	f.unansweredPromotions = 100
	_, err := runAttempt(t, f, takeover.PrimaryGone, nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, f.record.Base(), group.Position{Term: 1, Offset: 9})
}

// A server that the store lists and the host's view lacks may hold acknowledged
// commits. It must be queried, and blocks the change if it does not answer.
func TestListedServerIsAccountedFor(t *testing.T) {
	f := newFakeCluster()
	f.listedServers = []catalog.Server{{ID: "d"}}
	f.statuses["d"] = replicaAt(10)
	server, err := runAttempt(t, f, takeover.PrimaryGone, nil)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("d"))
	f = newFakeCluster()
	f.listedServers = []catalog.Server{{ID: "d"}}
	f.unresponsive["d"] = true
	_, err = runAttempt(t, f, takeover.PrimaryGone, nil)
	assert.Assert(t, errors.Is(err, takeover.ErrServerUnresponsive))
	assert.Equal(t, len(f.orderedEpochs), 0)
}

// The platform demands a minimum time between the attempts of two hosts, so that
// a host must wait until the lease of the other one has ended.
func TestAttemptFailsUntilLeaseExpires(t *testing.T) {
	f := newFakeCluster()
	f.record = takeover.Record{Epoch: 4, Holder: "h2", Version: 4}
	_, err := runAttempt(t, f, takeover.PrimaryGone, nil)
	assert.Assert(t, errors.Is(err, takeover.ErrLeaseHeld))
	_, err = runAttempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) {
		r.NoteRecord(f.record)
		time.Sleep(takeover.LeaseTTL)
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, f.orderedEpochs, []takeover.Epoch{5})
}

// The lease counts from when the host first read the record. A host that read it
// early need not wait when it attempts a change later.
func TestLeaseCountsFromFirstRead(t *testing.T) {
	f := newFakeCluster()
	f.record = takeover.Record{Epoch: 4, Holder: "h2", Version: 4}
	_, err := runAttempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) {
		assert.NilError(t, r.ReadRecord(context.Background(), "g"))
		time.Sleep(takeover.LeaseTTL)
	})
	assert.NilError(t, err)
	assert.DeepEqual(t, f.orderedEpochs, []takeover.Epoch{5})
}

// An update whose answer was lost must be recognised by its UpdateID.
func TestUpdateWithLostAnswerIsRecognised(t *testing.T) {
	f := newFakeCluster()
	f.loseStoreAnswers = true
	_, err := runAttempt(t, f, takeover.PrimaryGone, nil)
	assert.NilError(t, err)
}

// The store may apply an update without answering, or not apply it, or apply it
// after it was sent again. Giving up the attempt each time would leave the group
// without a primary for as long as answers get lost.
func TestUnansweredUpdateIsRepeated(t *testing.T) {
	for _, applied := range []bool{true, false} {
		f := newFakeCluster()
		f.unansweredUpdates, f.unansweredUpdatesApplied = 2, applied
		server, err := runAttempt(t, f, takeover.PrimaryGone, nil)
		assert.NilError(t, err, "applied: %v", applied)
		assert.Equal(t, server, group.ServerID("c"))
		assert.DeepEqual(t, f.orderedEpochs, []takeover.Epoch{1})
	}
}

// An order without an answer may be carried out later, so that it must be repeated until
// the platform answers, each time under a higher epoch of the same claim: the answer then
// shows that the platform refuses those before.
func TestOrderIsRepeatedUntilAnswered(t *testing.T) {
	f := newFakeCluster()
	f.unansweredPromotions = 2
	_, err := runAttempt(t, f, takeover.PrimaryGone, nil)
	assert.NilError(t, err)
	assert.DeepEqual(t, f.orderedEpochs, []takeover.Epoch{1, 2, 3})
}

// After the platform refused an epoch, the order must not be repeated under it.
func TestRefusedOrderEndsTheAttempt(t *testing.T) {
	f := newFakeCluster()
	f.refusedPromotions = 1
	_, err := runAttempt(t, f, takeover.PrimaryGone, nil)
	assert.Assert(t, errors.Is(err, takeover.ErrRefused))
	assert.Equal(t, len(f.orderedEpochs), 1)
	assertSuspensionsEnd(t, f, err, 1, nil)
}

// While a promotion may be pending, replicas must stay suspended: the server that
// it names would lack commits that they confirm. A later attempt ends the suspensions
// after it has fenced the orders of lower epochs.
func TestOutstandingOrderKeepsServersSuspended(t *testing.T) {
	f := newFakeCluster()
	f.unansweredPromotions = 100
	_, err := runAttempt(t, f, takeover.PrimaryGone, nil)
	assert.Assert(t, errors.Is(err, takeover.ErrSuspensionsRemain))
	assert.Equal(t, len(f.suspensions()), 2)
	assert.Assert(t, f.record.PromotionPending)

	f.unansweredPromotions = 0
	f.statuses["a"] = exchange.ServerStatus{Role: exchange.Primary, Term: 1, ReceivedPosition: group.Position{Term: 1, Offset: 10}}
	server, err := runAttempt(t, f, takeover.ReplicasSuspended, nil)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("a"))
	assert.DeepEqual(t, f.orderedEpochs, []takeover.Epoch{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 18})
	assert.DeepEqual(t, f.fencedEpochs, []takeover.Epoch{17})
	assert.Equal(t, len(f.suspensions()), 0)
	assert.Assert(t, !f.record.PromotionPending)
}

// Replicas must also stay suspended while a promotion of an earlier attempt is
// recorded as pending.
func TestPendingPromotionOfEarlierAttemptKeepsServersSuspended(t *testing.T) {
	f := newFakeCluster()
	f.record = takeover.Record{Epoch: 4, Holder: "h1", PromotionPending: true, Version: 4}
	f.unansweredFences = 100
	_, err := runAttempt(t, f, takeover.PrimaryGone, nil)
	assert.Assert(t, errors.Is(err, takeover.ErrSuspensionsRemain))
	assert.Equal(t, len(f.suspensions()), 2)
	assert.Equal(t, len(f.orderedEpochs), 0)
	assert.Assert(t, f.record.PromotionPending)
}

// Guards against an order for one server while an order for another may still be carried
// out.
func TestPendingPromotionOfAnotherServerIsFencedBeforeTheOrder(t *testing.T) {
	for _, cause := range []takeover.Cause{takeover.PrimaryGone, takeover.PrimaryLeaving} {
		f := newFakeCluster()
		f.record = takeover.Record{Epoch: 4, Holder: "h1", PromotionPending: true, Candidate: "b", CandidatePosition: group.Position{Term: 1, Offset: 8}, CandidateTerm: 1, Version: 4}
		f.statuses["c"] = replicaAt(10)
		server, err := runAttempt(t, f, cause, nil)
		assert.NilError(t, err)
		assert.Equal(t, server, group.ServerID("c"))
		assert.DeepEqual(t, f.fencedEpochs, []takeover.Epoch{5})
		assert.DeepEqual(t, f.orderedEpochs, []takeover.Epoch{6})
	}
}

// Guards against a group without a primary while the platform leaves calls unanswered: to
// order the pending server again needs no answer.
func TestPendingPromotionIsRepeatedForTheSameServer(t *testing.T) {
	f := newFakeCluster()
	f.record = takeover.Record{Epoch: 4, Holder: "h1", PromotionPending: true, Candidate: "b", CandidatePosition: group.Position{Term: 1, Offset: 9}, CandidateTerm: 1, Version: 4}
	f.statuses["b"] = replicaAt(9)
	f.unansweredFences = 100
	server, err := runAttempt(t, f, takeover.PrimaryGone, nil)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("b"))
	assert.DeepEqual(t, f.orderedEpochs, []takeover.Epoch{5})
	assert.Assert(t, !f.record.PromotionPending) // the answer ends the earlier order
}

// Guards against a promotion that stays pending although the answer to the last order shows
// that the platform refuses those before.
func TestAnswerToALaterOrderSettlesThePromotion(t *testing.T) {
	f := newFakeCluster()
	f.unansweredPromotions, f.unansweredFences = 2, 100
	_, err := runAttempt(t, f, takeover.PrimaryGone, nil)
	assert.NilError(t, err)
	assert.Assert(t, !f.record.PromotionPending)
	assert.Assert(t, f.record.Ended)
}

// leadsUnanswered is a platform that carries out orders and leaves them unanswered.
type leadsUnanswered struct{ *fakeCluster }

func (p leadsUnanswered) Promote(ctx context.Context, id group.ID, server group.ServerID, holder host.ID, epoch takeover.Epoch) error {
	_ = p.fakeCluster.Promote(ctx, id, server, holder, epoch)
	return errors.New("no answer")
}

// Guards against copies of an order that promote its server again after the next change.
func TestPromotionWithUnansweredOrdersStaysPendingUntilFenced(t *testing.T) {
	for _, unanswered := range []int{0, 100} {
		f := newFakeCluster()
		f.unansweredFences = unanswered
		_, err := runAttempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) { r.Promotions = leadsUnanswered{f} })
		assert.NilError(t, err)
		assert.Equal(t, f.record.PromotionPending, unanswered > 0)
		assert.Equal(t, f.record.Ended, unanswered == 0)
	}
}

// A leaving primary must be replaced by a replica that holds its whole log.
func TestLeavingPrimaryIsReplacedByCompleteReplica(t *testing.T) {
	f := newFakeCluster()
	f.statuses["b"] = replicaAt(10)
	server, err := runAttempt(t, f, takeover.PrimaryLeaving, nil)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("b"))
}

// If no replica holds the whole log of a demoted primary, the demoted primary
// itself must be promoted again, or acknowledged commits might be lost.
func TestDemotedPrimaryIsPromotedAgainWithoutCompleteReplica(t *testing.T) {
	f := newFakeCluster()
	server, err := runAttempt(t, f, takeover.PrimaryLeaving, nil)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("a"))
}

// Guards against the replacement of a server that leaves and no longer leads: the primary
// that has replaced it goes on and is not demoted.
func TestLeavingServerThatDoesNotLeadIsNotReplaced(t *testing.T) {
	f := newFakeCluster()
	at := func(offset group.Offset) exchange.ServerStatus {
		return exchange.ServerStatus{Role: exchange.Replica, Term: 2, ReceivedPosition: group.Position{Term: 2, Offset: offset}}
	}
	f.statuses["a"], f.statuses["c"] = at(10), at(10)
	f.unresponsive["b"] = true // the primary of term 2
	_, err := runAttempt(t, f, takeover.PrimaryLeaving, nil)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(f.orderedEpochs), 0)
}
