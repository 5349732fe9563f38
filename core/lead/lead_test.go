package lead_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/lead"
	"basilmill/core/link"
	"basilmill/core/logevent"
	"basilmill/core/takeover"
)

// fakeCluster implements the servers, the other hosts and the PrimaryChanger. A
// change with the cause ReplicasSuspended succeeds; any other fails.
type fakeCluster struct {
	recordReads int
	mu          sync.Mutex
	// probes and commands count the calls of servers, peerQueries those of hosts.
	probes, commands, peerQueries int
	// clockReadings counts the readings of the monitor's clock, of which it makes
	// some whenever it wakes up.
	clockReadings atomic.Int64
	primary       group.ServerID
	position      group.Position
	// unreachable makes probes of the primary time out.
	unreachable bool
	peerSamples []lead.Sample
	attempts    []takeover.Request
	// attemptErr, if set, is the error of failing attempts.
	attemptErr error
	suspended  map[group.ServerID]group.Term
}

func (f *fakeCluster) Probe(ctx context.Context, s catalog.Server) (group.Position, time.Duration, error) {
	f.mu.Lock()
	f.probes++
	unreachable, primary, position := f.unreachable, f.primary, f.position
	f.mu.Unlock()
	if s.ID != primary {
		if primary == "" {
			return group.Position{}, 0, link.ErrServerRefused
		}
		return group.Position{}, 0, &exchange.Error{Code: exchange.ReadOnly}
	}
	if unreachable {
		<-ctx.Done()
		return group.Position{}, 0, ctx.Err()
	}
	return position, 0, nil
}

func (f *fakeCluster) Command(_ context.Context, s catalog.Server, _ exchange.Statement) (exchange.ServerStatus, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.commands++
	return exchange.ServerStatus{SuspendedTerm: f.suspended[s.ID]}, nil
}

func (f *fakeCluster) Run(_ context.Context, request takeover.Request) (group.ServerID, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.attempts = append(f.attempts, request)
	if request.Cause == takeover.ReplicasSuspended {
		f.suspended = nil
		return request.Primary.ID, nil
	}
	if f.attemptErr != nil {
		return "", f.attemptErr
	}
	return "", takeover.ErrServerUnresponsive
}

func (f *fakeCluster) ReadRecord(context.Context, group.ID) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordReads++
	return nil
}

func (f *fakeCluster) Positions(context.Context, group.ID) []lead.Sample {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peerQueries++
	return f.peerSamples
}

func (f *fakeCluster) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeCluster) attemptedChanges() []takeover.Request {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.attempts
}

// runMonitor runs a test with a monitor of the servers a, b and c in a synctest
// bubble, in which time advances only while all goroutines are blocked.
func runMonitor(t *testing.T, f *fakeCluster, test func(t *testing.T, m *lead.Monitor, cache *catalog.Cache, clock func() time.Duration)) {
	t.Helper()
	runMonitorWith(t, f, nil, test)
}

// runMonitorWith is runMonitor with the given Config.Responsible.
func runMonitorWith(t *testing.T, f *fakeCluster, responsible func([]catalog.Server) bool, test func(t *testing.T, m *lead.Monitor, cache *catalog.Cache, clock func() time.Duration)) {
	t.Helper()
	runMonitorConfig(t, f, lead.Config{Responsible: responsible}, test)
}

// runMonitorConfig is runMonitor with the given Responsible and Standby, and with the servers
// of the given Cache if there is one.
func runMonitorConfig(t *testing.T, f *fakeCluster, config lead.Config, test func(t *testing.T, m *lead.Monitor, cache *catalog.Cache, clock func() time.Duration)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		clock := func() time.Duration { f.clockReadings.Add(1); return time.Hour + time.Since(started) }
		cache := config.Cache
		if cache == nil {
			cache = &catalog.Cache{}
			for _, id := range []group.ServerID{"a", "b", "c"} {
				cache.PutServer(catalog.Server{ID: id, Group: "g", ClaimsPrimary: id == "a"})
			}
		}
		m := lead.New(lead.Config{
			Group: "g", Cache: cache, Client: f, PrimaryChanger: f, Peers: f, Clock: clock, Responsible: config.Responsible, Standby: config.Standby,
			Log: &logevent.Logger{Log: slog.New(slog.NewTextHandler(io.Discard, nil))},
		})
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second)
		defer cancel()
		go func() { _ = m.Run(ctx) }()
		test(t, m, cache, clock)
	})
}

func positionAt(term group.Term, offset group.Offset) group.Position {
	return group.Position{Term: term, Offset: offset}
}

// A read must require the oldest position that is recent enough: a newer one
// would exclude lagging replicas that may serve it.
func TestOldestSampleSince(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
	runMonitor(t, f, func(t *testing.T, m *lead.Monitor, _ *catalog.Cache, clock func() time.Duration) {
		time.Sleep(time.Second)
		f.update(func() { f.position = positionAt(1, 20) })
		middle := clock()
		time.Sleep(time.Second)
		sample, ok := m.Snapshot().OldestSampleSince(middle - 500*time.Millisecond)
		assert.Assert(t, ok)
		assert.Equal(t, sample.Position, positionAt(1, 10))
		sample, ok = m.Snapshot().OldestSampleSince(middle + 300*time.Millisecond)
		assert.Assert(t, ok)
		assert.Equal(t, sample.Position, positionAt(1, 20))
		_, ok = m.Snapshot().OldestSampleSince(clock() + time.Millisecond)
		assert.Assert(t, !ok)
	})
}

// Positions of an earlier term may lie beyond the start of the new term. Reads
// that require them would wait for ever.
func TestPositionsOfAnEarlierTermAreDropped(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
	runMonitor(t, f, func(t *testing.T, m *lead.Monitor, _ *catalog.Cache, _ func() time.Duration) {
		time.Sleep(time.Second)
		f.update(func() { f.primary, f.position = "b", positionAt(2, 8) })
		time.Sleep(time.Second)
		s := m.Snapshot()
		assert.Equal(t, s.Primary.ID, group.ServerID("b"))
		for _, sample := range s.Samples {
			assert.Equal(t, sample.Position.Term, group.Term(2))
		}
	})
}

// A host that cannot reach the primary uses the samples of other hosts, ignores
// those of an earlier term than it knows, and does not attempt to replace a
// primary that other hosts reach.
func TestProofsOfOtherHosts(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(2, 10)}
	runMonitor(t, f, func(t *testing.T, m *lead.Monitor, _ *catalog.Cache, clock func() time.Duration) {
		time.Sleep(time.Second)
		f.update(func() { f.unreachable = true })
		for range 20 {
			f.update(func() {
				f.peerSamples = []lead.Sample{{At: clock(), Position: positionAt(2, 30)}, {At: clock(), Position: positionAt(1, 99)}}
			})
			time.Sleep(100 * time.Millisecond)
		}
		sample, ok := m.Snapshot().OldestSampleSince(clock() - 400*time.Millisecond)
		assert.Assert(t, ok)
		assert.Equal(t, sample.Position, positionAt(2, 30))
		assert.Equal(t, len(f.attemptedChanges()), 0)
		f.update(func() { f.peerSamples = nil })
		time.Sleep(2 * time.Second)
		assert.Assert(t, len(f.attemptedChanges()) > 0)
		assert.Equal(t, f.attemptedChanges()[0].Cause, takeover.PrimaryUnresponsive)
	})
}

// After an outage of the store it takes seconds until all servers are registered
// again. A host that has just started must not conclude from an incomplete list
// that the group has no primary.
func TestStartWaitsForServersToRegister(t *testing.T) {
	f := &fakeCluster{}
	runMonitor(t, f, func(t *testing.T, _ *lead.Monitor, _ *catalog.Cache, _ func() time.Duration) {
		// Entries are back within two seconds after the store recovers.
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(f.attemptedChanges()), 0)
		time.Sleep(2 * time.Second)
		assert.Assert(t, len(f.attemptedChanges()) > 0)
		assert.Equal(t, f.attemptedChanges()[0].Cause, takeover.PrimaryGone)
	})
}

// A host that starts without the store gets its first list later, when entries that expired
// meanwhile are not back yet.
func TestFirstListWaitsForServersToRegister(t *testing.T) {
	f := &fakeCluster{}
	runMonitorConfig(t, f, lead.Config{Cache: &catalog.Cache{}}, func(t *testing.T, _ *lead.Monitor, cache *catalog.Cache, _ func() time.Duration) {
		time.Sleep(10 * time.Second)
		cache.PutServer(catalog.Server{ID: "b", Group: "g"})
		cache.PutServer(catalog.Server{ID: "c", Group: "g"})
		// Entries are back within two seconds after the store recovers.
		time.Sleep(2 * time.Second)
		assert.Equal(t, len(f.attemptedChanges()), 0)
		time.Sleep(2 * time.Second)
		assert.Assert(t, len(f.attemptedChanges()) > 0)
		assert.Equal(t, f.attemptedChanges()[0].Cause, takeover.PrimaryGone)
	})
}

// The lease of the last change counts from when a host first reads its record. A
// host that reads it only when it attempts a change would wait for the lease
// while the group has no primary.
func TestRecordIsReadAfterEachChange(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
	runMonitor(t, f, func(t *testing.T, _ *lead.Monitor, _ *catalog.Cache, _ func() time.Duration) {
		time.Sleep(5 * time.Second)
		f.update(func() {
			assert.Equal(t, f.recordReads, 1)
			f.primary, f.position = "b", positionAt(2, 11)
		})
		time.Sleep(5 * time.Second)
		f.update(func() { assert.Equal(t, f.recordReads, 2) })
	})
}

// A leaving primary must be replaced before it stops.
func TestLeavingPrimaryCausesAnAttempt(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
	runMonitor(t, f, func(t *testing.T, _ *lead.Monitor, cache *catalog.Cache, _ func() time.Duration) {
		time.Sleep(time.Second)
		cache.PutServer(catalog.Server{ID: "a", Group: "g", ClaimsPrimary: true, Leaving: true})
		time.Sleep(time.Second)
		assert.Assert(t, len(f.attemptedChanges()) > 0)
		assert.Equal(t, f.attemptedChanges()[0].Cause, takeover.PrimaryLeaving)
	})
}

// A server that restarted under the same id has lost its state, so that earlier
// proofs no longer hold.
func TestRestartInvalidatesKnownPrimary(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
	runMonitor(t, f, func(t *testing.T, m *lead.Monitor, cache *catalog.Cache, _ func() time.Duration) {
		time.Sleep(time.Second)
		f.update(func() { f.primary = "b" })
		cache.PutServer(catalog.Server{ID: "a", Group: "g", ClaimsPrimary: true, BootID: 2})
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, m.Snapshot().Primary.ID != "a" || !m.Snapshot().PrimaryKnown)
	})
}

// Suspensions that an unfinished attempt left are ended by a new attempt, which can tell
// whether a promotion is still pending.
func TestAuditEndsLeftoverSuspensions(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10), suspended: map[group.ServerID]group.Term{"b": 4}}
	runMonitor(t, f, func(t *testing.T, _ *lead.Monitor, _ *catalog.Cache, _ func() time.Duration) {
		time.Sleep(45 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		assert.Equal(t, len(f.suspended), 0)
		assert.Equal(t, len(f.attempts), 1)
		assert.Equal(t, f.attempts[0].Cause, takeover.ReplicasSuspended)
	})
}

// countAttempts counts the attempts with a cause.
func countAttempts(attempts []takeover.Request, cause takeover.Cause) (n int) {
	for _, a := range attempts {
		if a.Cause == cause {
			n++
		}
	}
	return n
}

// Guards against a group that does not commit until the next audit, or the next replacement
// is due, after an attempt was given up and its primary goes on.
func TestSuspensionsOfAGivenUpAttemptAreEndedSoon(t *testing.T) {
	for _, reason := range []error{takeover.ErrServerUnresponsive, takeover.ErrLogIncomplete, takeover.ErrPrimaryActive, takeover.ErrRefused} {
		f := &fakeCluster{primary: "a", position: positionAt(1, 10), attemptErr: errors.Join(reason, takeover.ErrSuspensionsRemain)}
		runMonitor(t, f, func(t *testing.T, m *lead.Monitor, _ *catalog.Cache, _ func() time.Duration) {
			time.Sleep(5 * time.Second)
			f.update(func() { f.suspended = map[group.ServerID]group.Term{"b": 2, "c": 2} })
			m.ReportStalledCommit()
			time.Sleep(400 * time.Millisecond)
			f.update(func() {
				assert.Equal(t, countAttempts(f.attempts, takeover.CommitsStalled), 1)
				assert.Equal(t, countAttempts(f.attempts, takeover.ReplicasSuspended), 1, "%v", reason)
				assert.Equal(t, len(f.suspended), 0)
			})
			time.Sleep(30 * time.Second)
			assert.Equal(t, len(f.attemptedChanges()), 2)
		})
	}
}

// Guards against promotions of a primary that this host does not reach, and against attempts
// whose lease keeps the hosts that reach it from ending the suspensions.
func TestSuspensionsBesideAnUnresponsivePrimaryAreLeftToOthers(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10), attemptErr: errors.Join(takeover.ErrServerUnresponsive, takeover.ErrSuspensionsRemain)}
	runMonitor(t, f, func(t *testing.T, _ *lead.Monitor, _ *catalog.Cache, _ func() time.Duration) {
		time.Sleep(5 * time.Second)
		f.update(func() {
			f.unreachable = true
			f.suspended = map[group.ServerID]group.Term{"b": 2, "c": 2}
		})
		time.Sleep(5 * time.Second)
		f.update(func() {
			assert.Equal(t, len(f.attempts), 2)
			assert.Equal(t, countAttempts(f.attempts, takeover.PrimaryUnresponsive), 2)
		})
		time.Sleep(2 * takeover.LeaseTTL)
		f.update(func() {
			assert.Equal(t, len(f.attempts), 3)
		})
		time.Sleep(time.Second)
		f.update(func() { f.primary = "" })
		// The probe in flight has to time out before the next one is refused.
		time.Sleep(time.Second)
		f.update(func() {
			assert.Assert(t, countAttempts(f.attempts, takeover.PrimaryGone) > 0)
			f.primary, f.unreachable = "a", false
		})
		time.Sleep(time.Second)
		f.update(func() {
			assert.Equal(t, countAttempts(f.attempts, takeover.ReplicasSuspended), 1)
			assert.Equal(t, len(f.suspended), 0)
		})
	})
}

// Guards against a promotion of the primary for a replica that is suspended for a term which
// the primary has reached, and so receives its log.
func TestSuspensionForTheTermOfThePrimaryIsNoLeftover(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(4, 10), suspended: map[group.ServerID]group.Term{"b": 4}}
	runMonitor(t, f, func(t *testing.T, _ *lead.Monitor, _ *catalog.Cache, _ func() time.Duration) {
		time.Sleep(45 * time.Second)
		assert.Equal(t, len(f.attemptedChanges()), 0)
	})
}

// notResponsible is the Config.Responsible of a host that leaves a group to others.
func notResponsible([]catalog.Server) bool { return false }

// Most hosts of a large fleet do not hold connections to a group. What the group costs
// such a host must not add up: every host monitors all groups.
func TestHostThatIsNotResponsibleCostsLittle(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
	runMonitorWith(t, f, notResponsible, func(t *testing.T, m *lead.Monitor, _ *catalog.Cache, _ func() time.Duration) {
		time.Sleep(time.Second)
		f.update(func() { f.probes, f.commands, f.peerQueries, f.recordReads = 0, 0, 0, 0 })
		f.clockReadings.Store(0)
		const seconds = 30
		time.Sleep(seconds * time.Second)
		assert.Assert(t, m.Snapshot().PrimaryKnown)
		f.update(func() {
			assert.Assert(t, f.probes <= seconds/3+1, "%d probes", f.probes)
			assert.Equal(t, f.commands+f.peerQueries+f.recordReads, 0)
			assert.Assert(t, f.clockReadings.Load() <= 5*seconds, "%d readings of the clock", f.clockReadings.Load())
		})
	})
}

// Most hosts of a large fleet are neither responsible nor standby. Without requests, they
// must not add to the probes of a group. With one, they must find the primary, and have
// it changed in the end.
func TestHostThatIsNotStandbyProbesOnRequest(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
	config := lead.Config{Responsible: notResponsible, Standby: func(catalog.Server) bool { return false }}
	runMonitorConfig(t, f, config, func(t *testing.T, m *lead.Monitor, _ *catalog.Cache, clock func() time.Duration) {
		time.Sleep(time.Second)
		f.update(func() { f.probes, f.commands, f.peerQueries, f.recordReads = 0, 0, 0, 0 })
		time.Sleep(25 * time.Second)
		f.update(func() {
			assert.DeepEqual(t, []int{f.probes, f.commands, f.peerQueries, f.recordReads, len(f.attempts)}, make([]int, 5))
		})
		m.RequestProbe()
		time.Sleep(time.Millisecond)
		_, ok := m.Snapshot().OldestSampleSince(clock() - 5*time.Millisecond)
		assert.Assert(t, ok)
		f.update(func() { f.unreachable = true })
		time.Sleep(10 * time.Second)
		assert.Equal(t, len(f.attemptedChanges()), 0)
		m.RequestProbe()
		time.Sleep(2500 * time.Millisecond)
		assert.Equal(t, len(f.attemptedChanges()), 0)
		time.Sleep(5 * time.Second)
		assert.Assert(t, len(f.attemptedChanges()) > 0)
	})
}

// A host that seeks a primary in vain must not query the other hosts at full pace: all of
// them do so after a start. What they know must still reach it within a second or so.
func TestFutileQueriesOfOtherHostsBackOff(t *testing.T) {
	f := &fakeCluster{position: positionAt(1, 10)}
	config := lead.Config{Responsible: notResponsible, Standby: func(catalog.Server) bool { return false }}
	runMonitorConfig(t, f, config, func(t *testing.T, m *lead.Monitor, _ *catalog.Cache, clock func() time.Duration) {
		request := func(seconds int) {
			for range seconds {
				m.RequestProbe()
				time.Sleep(time.Second)
			}
		}
		request(10)
		f.update(func() {
			assert.Assert(t, f.peerQueries >= 5 && f.peerQueries <= 15, "%d queries in 10 s", f.peerQueries)
			f.peerSamples = []lead.Sample{{At: clock(), Position: positionAt(1, 20)}}
		})
		request(2)
		assert.Equal(t, m.Snapshot().Term(), group.Term(1))
	})
}

// A host that is not responsible asks first the servers that claim to be the primary. An
// outdated claim, as during an outage of the store, must not keep it from the others.
func TestOutdatedClaimDoesNotHideThePrimary(t *testing.T) {
	f := &fakeCluster{primary: "b", position: positionAt(2, 10)}
	config := lead.Config{Responsible: notResponsible, Standby: func(catalog.Server) bool { return false }}
	runMonitorConfig(t, f, config, func(t *testing.T, m *lead.Monitor, _ *catalog.Cache, _ func() time.Duration) {
		m.RequestProbe()
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, m.Snapshot().PrimaryKnown)
		assert.Equal(t, m.Snapshot().Primary.ID, group.ServerID("b"))
	})
}

// A host that is responsible probes five times a second, and has nothing else to do
// between the probes.
func TestSettledMonitorWakesOnlyForDueWork(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
	runMonitor(t, f, func(t *testing.T, _ *lead.Monitor, _ *catalog.Cache, _ func() time.Duration) {
		time.Sleep(5 * time.Second)
		f.update(func() { f.probes = 0 })
		f.clockReadings.Store(0)
		time.Sleep(10 * time.Second)
		f.update(func() {
			readings := f.clockReadings.Load()
			assert.Assert(t, readings <= 6*int64(f.probes), "%d readings of the clock for %d probes", readings, f.probes)
		})
	})
}

// A request that waits for a proof gets one at once, whoever is responsible.
func TestRequestedProbeIsSentAtOnce(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
	runMonitorWith(t, f, notResponsible, func(t *testing.T, m *lead.Monitor, _ *catalog.Cache, clock func() time.Duration) {
		time.Sleep(1900 * time.Millisecond)
		f.update(func() { f.position = positionAt(1, 20) })
		m.RequestProbe()
		time.Sleep(time.Millisecond)
		_, ok := m.Snapshot().OldestSampleSince(clock() - 5*time.Millisecond)
		assert.Assert(t, ok)
		f.update(func() { f.primary, f.position = "b", positionAt(2, 21) })
		m.RequestProbe()
		time.Sleep(70 * time.Millisecond)
		assert.Equal(t, m.Snapshot().Primary.ID, group.ServerID("b"))
	})
}

// Hosts that are not responsible must not act together with those that are, but they
// must act in the end.
func TestChangeIsLeftToResponsibleHosts(t *testing.T) {
	for name, lose := range map[string]func(*fakeCluster, *catalog.Cache){
		"unresponsive": func(f *fakeCluster, _ *catalog.Cache) { f.update(func() { f.unreachable = true }) },
		"gone":         func(f *fakeCluster, _ *catalog.Cache) { f.update(func() { f.primary = "" }) },
		"leaving": func(_ *fakeCluster, cache *catalog.Cache) {
			cache.PutServer(catalog.Server{ID: "a", Group: "g", ClaimsPrimary: true, Leaving: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
			runMonitorWith(t, f, notResponsible, func(t *testing.T, _ *lead.Monitor, cache *catalog.Cache, _ func() time.Duration) {
				time.Sleep(5 * time.Second)
				lose(f, cache)
				time.Sleep(2500 * time.Millisecond)
				assert.Equal(t, len(f.attemptedChanges()), 0)
				time.Sleep(5 * time.Second)
				assert.Assert(t, len(f.attemptedChanges()) > 0)
			})
		})
	}
}

// A host that left out probes must not take the time without proofs for a fault.
func TestLeftOutProbesAreNoFault(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
	var responsible atomic.Bool
	runMonitorWith(t, f, func([]catalog.Server) bool { return responsible.Load() }, func(t *testing.T, _ *lead.Monitor, _ *catalog.Cache, _ func() time.Duration) {
		time.Sleep(4900 * time.Millisecond)
		responsible.Store(true)
		f.update(func() { f.probes = 0 })
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(f.attemptedChanges()), 0)
		// A second to notice it, and then five probes a second.
		f.update(func() { assert.Assert(t, f.probes >= 9, "%d probes", f.probes) })
	})
}

// While a primary is known, the gateways to the other servers leave the group to those to
// the primary. When it is gone, they search for its replacement like these.
func TestGatewaysToReplicasAreResponsibleWithoutAPrimary(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
	gatewayToReplica := func(servers []catalog.Server) bool {
		return slices.ContainsFunc(servers, func(s catalog.Server) bool { return s.ID == "b" })
	}
	runMonitorWith(t, f, gatewayToReplica, func(t *testing.T, m *lead.Monitor, _ *catalog.Cache, _ func() time.Duration) {
		time.Sleep(5 * time.Second)
		f.update(func() { f.probes, f.commands = 0, 0 })
		time.Sleep(9 * time.Second)
		f.update(func() {
			assert.Assert(t, f.probes <= 4, "%d probes", f.probes)
			assert.Equal(t, f.commands, 0)
			f.primary = ""
		})
		m.ReportNotPrimary("a")
		time.Sleep(time.Second)
		assert.Assert(t, len(f.attemptedChanges()) > 0)
	})
}

// Guards against a change of primary beside which commits are lost that only a replica had
// confirmed which has left, or has started again, since the last proof (review/1). The
// departure of the primary itself, and that of a replica that comes back with its log, do not
// count.
func TestReplicaThatLeavesAfterTheLastProofIsReported(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
	runMonitor(t, f, func(t *testing.T, m *lead.Monitor, cache *catalog.Cache, _ func() time.Duration) {
		server := func(id group.ServerID) catalog.Server {
			return catalog.Server{ID: id, Group: "g", ClaimsPrimary: id == "a"}
		}
		lastAttempt := func() takeover.Request {
			time.Sleep(2 * time.Second)
			attempts := f.attemptedChanges()
			assert.Assert(t, len(attempts) > 0)
			return attempts[len(attempts)-1]
		}
		departed := func() bool { return lastAttempt().ReplicaDeparted }
		// asked reports whether a change asks the server that has left the list.
		asked := func(id group.ServerID) bool {
			return slices.ContainsFunc(lastAttempt().Departed, func(s takeover.DepartedServer) bool { return s.ID == id })
		}
		// lost reports whether a change goes on without an answer of the server.
		lost := func(id group.ServerID) bool {
			return slices.ContainsFunc(lastAttempt().Departed, func(s takeover.DepartedServer) bool { return s.ID == id && s.Lost })
		}
		expire := func(servers ...catalog.Server) {
			cache.ReplaceServers(servers)
			time.Sleep(2 * catalog.DefaultMissingEntryGracePeriod)
			cache.Expire()
		}
		time.Sleep(3 * time.Second)
		f.update(func() { f.unreachable = true })
		assert.Assert(t, !departed())
		expire(server("a"), server("c"))
		assert.Assert(t, asked("b"))
		time.Sleep(50 * time.Second)
		assert.Assert(t, asked("b") && !lost("b"))
		time.Sleep(10 * time.Second)
		assert.Assert(t, lost("b"))
		cache.PutServer(server("b"))
		assert.Assert(t, !asked("b") && !departed())
		expire(server("b"), server("c"))
		assert.Assert(t, !departed())
		restarted := server("b")
		restarted.BootID = 2
		cache.PutServer(restarted)
		assert.Assert(t, departed())
		time.Sleep(30 * time.Second)
		assert.Assert(t, !departed())
		expire(server("a"), server("c"), server("d"))
		assert.Assert(t, asked("b"))
		f.update(func() { f.unreachable = false })
		time.Sleep(5 * time.Second)
		f.update(func() { f.unreachable = true })
		assert.Assert(t, !asked("b"))
		assert.Assert(t, !departed())
	})
}

// A primary that is known to have stopped confirms nothing after a departure, which must
// then not delay its replacement.
func TestDepartureAfterThePrimaryStoppedIsNotReported(t *testing.T) {
	f := &fakeCluster{primary: "a", position: positionAt(1, 10)}
	runMonitor(t, f, func(t *testing.T, m *lead.Monitor, cache *catalog.Cache, _ func() time.Duration) {
		time.Sleep(3 * time.Second)
		f.update(func() { f.primary = "" })
		time.Sleep(time.Second)
		cache.ReplaceServers([]catalog.Server{{ID: "a", Group: "g", ClaimsPrimary: true}, {ID: "c", Group: "g"}})
		time.Sleep(2 * catalog.DefaultMissingEntryGracePeriod)
		cache.Expire()
		time.Sleep(2 * time.Second)
		attempts := f.attemptedChanges()
		assert.Assert(t, len(attempts) > 0)
		assert.Equal(t, attempts[len(attempts)-1].Cause, takeover.PrimaryGone)
		assert.Assert(t, !attempts[len(attempts)-1].ReplicaDeparted)
	})
}
