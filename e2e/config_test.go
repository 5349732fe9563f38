package e2e_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/account"
	"basilmill/core/host"
	"basilmill/core/placement"
	"basilmill/core/settings"
	"basilmill/e2e/cluster"
	"basilmill/io/platform"
)

// inForceTimeout is the time in which an accepted configuration must be in force on
// every host.
const inForceTimeout = 7 * time.Second

// acceptedChange is a change of the account that the platform accepted, as the
// operator learnt from the answer or by reading the account back.
type acceptedChange struct {
	version int64
	at      time.Time
}

// revise changes the account like the operator's tool: it repeats a conditional
// update based on the current revision, and looks for its change in the stored
// account after a lost reply.
func revise(ctx context.Context, api *platform.Client, change account.ChangeID, slots int) (acceptedChange, error) {
	key := platform.AccountKey("vandermeersch")
	for ctx.Err() == nil {
		stored, err := api.Get(ctx, key)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		object, err := platform.DecodeAccount(stored.Value)
		if err != nil {
			return acceptedChange{}, err
		}
		if _, ok := object.FindChange(change); ok {
			return acceptedChange{int64(stored.Version), time.Now()}, nil
		}
		template := object.Template.Clone()
		template.Slots = 1 + (template.Slots+slots)%64
		update, err := account.Revise(object, account.Request{ChangeID: change, Operator: "operator", Time: time.Now(), Template: template})
		if err != nil {
			return acceptedChange{}, err
		}
		value, err := platform.EncodeAccount(&update.Object)
		if err != nil {
			return acceptedChange{}, err
		}
		if version, err := api.Put(ctx, key, value, stored.Version); err == nil {
			return acceptedChange{int64(version), time.Now()}, nil
		}
	}
	return acceptedChange{}, ctx.Err()
}

// versionWatcher polls the configuration version in force on every host. It records
// when a host reached a version, and every decrease as an error.
type versionWatcher struct {
	reached map[host.ID][]acceptedChange
	reverts []error
}

func (w *versionWatcher) run(ctx context.Context, hosts func() []*cluster.Host) {
	w.reached = map[host.ID][]acceptedChange{}
	for ctx.Err() == nil {
		for _, h := range hosts() {
			id, now := h.Self().ID, h.Status().Version
			seen := w.reached[id]
			switch last := len(seen) - 1; {
			case last < 0 || now > seen[last].version:
				w.reached[id] = append(seen, acceptedChange{now, time.Now()})
			case now < seen[last].version:
				w.reverts = append(w.reverts, fmt.Errorf("host %s went from version %d to %d", id, seen[last].version, now))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// reachedAt returns the time at which a host reached a version or a later one.
func (w *versionWatcher) reachedAt(id host.ID, version int64) (time.Time, bool) {
	for _, r := range w.reached[id] {
		if r.version >= version {
			return r.at, true
		}
	}
	return time.Time{}, false
}

// Guards against an accepted template that is not in force on every host within 7 s,
// or that is reverted, while operators make concurrent changes, replies and relays
// are lost, hosts are isolated and return, and hosts start during an outage.
func TestConfigInForce(t *testing.T) {
	for name, test := range map[string]struct {
		schedule string
		// isolatedUntil is the time until which the schedule isolates a host.
		isolatedUntil map[host.ID]time.Duration
		// hostStart, if set, is the time at which a further host is started.
		hostStart time.Duration
		// relayLinkState, if set, is the state of the links of the relays in one data
		// centre from 2 s to 14 s.
		relayLinkState string
	}{
		"calm":                    {schedule: ""},
		"replies lost":            {schedule: "1s replies 3\n4s replies 2"},
		"outage":                  {schedule: "2s platform Unavailable\n7s platform None"},
		"silent outage":           {schedule: "2s platform BlackHole\n7s platform None"},
		"host restarts in outage": {schedule: "4s platform BlackHole\n14s platform None", hostStart: 6 * time.Second},
		"host cut off and back": {
			schedule: "2s isolate host-4 BlackHole\n9s isolate host-4 Up", isolatedUntil: map[host.ID]time.Duration{"host-4": 9 * time.Second},
		},
		"relays silent": {relayLinkState: "BlackHole"},
		"relays lost":   {relayLinkState: "Cut"},
		"data centre without platform": {
			schedule: "2s link platform host-2 BlackHole\n2s link platform host-5 BlackHole\n2s link platform host-8 BlackHole",
		},
		"data centre without platform, replies lost": {
			schedule: "2s link platform host-2 Cut\n2s link platform host-5 Cut\n2s link platform host-8 Cut\n3s replies 4",
		},
	} {
		t.Run(name, func(t *testing.T) {
			conf := config(t)
			conf.Hosts = 9
			var peers []netip.AddrPort
			conf.Settings = func(s *settings.Settings) { s.Peers = peers }
			virtual(t, conf, func(t *testing.T, c *cluster.Cluster, v *cluster.VirtualNetwork) {
				for _, h := range c.Hosts {
					peers = append(peers, h.Self().PeerAddress)
				}
				if test.relayLinkState != "" {
					test.isolatedUntil = map[host.ID]time.Duration{}
					var hosts []host.Info
					for _, h := range c.Hosts {
						hosts = append(hosts, h.Self())
					}
					for _, relay := range placement.Relays("namur-a", hosts, placement.DefaultRelays) {
						test.isolatedUntil[relay.ID] = 14 * time.Second
						test.schedule = fmt.Sprintf("2s isolate %s %s\n%s14s isolate %s Up\n", relay.ID, test.relayLinkState, test.schedule, relay.ID)
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				began := time.Now()
				var mu sync.Mutex
				var changes []acceptedChange
				hosts := func() []*cluster.Host {
					mu.Lock()
					defer mu.Unlock()
					return append([]*cluster.Host(nil), c.Hosts...)
				}
				watch := &versionWatcher{}
				running.Go(func() { watch.run(ctx, hosts) })
				var operators sync.WaitGroup
				const revisions = 5
				for i := range 3 {
					transport := &http.Transport{DialContext: v.ForMachine(cluster.Machine{Name: fmt.Sprintf("operator-%d", i), DataCentre: "gent-a"}).Dial}
					api := platform.NewClient(c.PlatformAddress(), platform.Options{Transport: transport})
					operators.Go(func() {
						defer transport.CloseIdleConnections()
						for n := range revisions {
							a, err := revise(ctx, api, account.ChangeID(fmt.Sprintf("change-%d-%d", i, n)), 1+i)
							assert.Check(t, err)
							mu.Lock()
							changes = append(changes, a)
							mu.Unlock()
							time.Sleep(time.Second)
						}
					})
				}
				running.Go(func() { assert.Check(t, newFaultInjector(c, v).run(test.schedule)) })
				var lateHost *cluster.Host
				if test.hostStart > 0 {
					time.Sleep(test.hostStart)
					var err error
					mu.Lock()
					lateHost, err = c.StartHost("host-10", "namur-a")
					mu.Unlock()
					assert.NilError(t, err)
				}
				operators.Wait()
				time.Sleep(max(20*time.Second-time.Since(began), inForceTimeout))
				cancel()
				running.Wait()
				assert.Equal(t, len(watch.reverts), 0, "%v", watch.reverts)
				longest := time.Duration(0)
				for _, h := range c.Hosts {
					id := h.Self().ID
					for _, a := range changes {
						due := a.at
						if back := began.Add(test.isolatedUntil[id]); back.After(due) && test.isolatedUntil[id] > 0 {
							due = back
						}
						if started := began.Add(test.hostStart); h == lateHost && started.After(due) {
							due = started
						}
						at, ok := watch.reachedAt(id, a.version)
						assert.Assert(t, ok, "host %s never reached version %d", id, a.version)
						longest = max(longest, at.Sub(due))
						assert.Check(t, at.Sub(due) <= inForceTimeout, "host %s reached version %d after %s", id, a.version, at.Sub(due))
					}
				}
				t.Logf("%d changes, in force everywhere after at most %s", len(changes), longest)
				checkRevisions(t, c, 3*revisions)
			})
		})
	}
}

// checkRevisions checks that every change was accepted exactly once, as a revision of
// its own.
func checkRevisions(t *testing.T, c *cluster.Cluster, changes int) {
	template, err := c.Account("vandermeersch")
	assert.NilError(t, err)
	assert.Equal(t, int(template.Revision), 1+changes)
}
