package replicated_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/group"
	"basilmill/core/link"
	"basilmill/core/takeover"
	"basilmill/standin/replicated"
)

// commanderOf returns a client for commands with connections of its own, which the
// partition separates from servers.
func commanderOf(cluster *replicated.Cluster, p *partition) (commander link.Commander, closeAll func()) {
	cache := &catalog.Cache{}
	cache.SetConfig(testConfig(defaultConnectionLimit))
	cache.ReplaceServers(cluster.ServerEntries())
	registry := link.NewRegistry(cache, partitionedDialer{cluster, p})
	return link.Commander{Sources: func(s catalog.Server) link.Source { return registry.Pool(s) }}, registry.CloseAll
}

// failingLister fails from the second call on, as the store does that is cut off, until
// restored is set.
type failingLister struct {
	takeover.ServerLister
	calls    *int
	restored *bool
}

func (l failingLister) Servers(ctx context.Context, id group.ID) ([]catalog.Server, error) {
	*l.calls++
	if *l.calls > 1 && !*l.restored {
		return nil, errors.New("no answer")
	}
	return l.ServerLister.Servers(ctx, id)
}

// Guards against a success that rests on a replica which a late command of an attempt that
// was given up resumes between the order of the next attempt and its effect.
func TestLateResumeDuringALaterAttemptLosesNoSuccess(t *testing.T) {
	for seed := range uint64(30) {
		var lost []string
		var errs []error
		synctest.Test(t, func(t *testing.T) {
			cluster := replicated.New()
			cluster.PromotionDelay = time.Second
			h2 := startHost(cluster, "h2", hostOptions{dataCentre: "dc-c"})
			h2.awaitSettled(t)
			cut := &partition{}
			cut.set(false, "a")
			commander, closeAll := commanderOf(cluster, cut)
			r := runnerOf(cluster, h2)
			r.Self, r.Client = "h1", commander
			calls, restored := 0, false
			r.ServerLister = failingLister{cluster, &calls, &restored}
			var suspended atomic.Int32
			endDelay := func() {}
			r.Observe = func(_ group.ID, s takeover.Step) {
				if s.Name == "suspended" && suspended.Add(1) == 2 {
					endDelay = cluster.DelayCommands(replicated.LateCalls{Least: 2 * time.Second, Most: 4 * time.Second, Percent: 100, Seed: seed})
				}
			}
			request := takeover.Request{Group: replicated.Group, Cause: takeover.PrimaryUnresponsive, Members: cluster.ServerEntries()}
			request.Primary = request.Members[0]
			written := make(chan []clientOperation, 1)
			go func() { written <- recordWrites(h2, time.Now().Add(12*time.Second)) }()
			time.Sleep(300 * time.Millisecond)
			// The positions of the replicas must not rise while they are compared.
			for _, id := range []group.ServerID{"b", "c"} {
				cluster.Server(id).SetReplicationStopped(true)
			}
			time.AfterFunc(350*time.Millisecond, func() {
				for _, id := range []group.ServerID{"b", "c"} {
					cluster.Server(id).SetReplicationStopped(false)
				}
			})
			for range 2 {
				_, err := r.Run(context.Background(), request)
				errs = append(errs, err)
				endDelay()
				restored = true
				time.Sleep(250 * time.Millisecond) // the pause after an attempt
			}
			operations := <-written
			closeAll()
			stop(cluster, h2)
			lost = lostSuccesses(cluster, operations)
		})
		assert.Equal(t, len(lost), 0, "seed %d: %v: %v", seed, fmt.Sprint(errs), lost)
	}
}
