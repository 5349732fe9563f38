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

// inForceWithin is the promised time for an accepted configuration.
const inForceWithin = 7 * time.Second

// accepted is a change of the account that an operator was told is accepted,
// or that was found on reading back.
type accepted struct {
	version int64
	at      time.Time
}

// revise makes a change of the account as an operator does: conditional
// updates based on the current revision, reading back after a lost reply.
func revise(ctx context.Context, api *platform.Client, change account.ChangeID, slots int) (accepted, error) {
	key := platform.AccountKey("vandermeersch")
	for ctx.Err() == nil {
		stored, err := api.Get(ctx, key)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		object, err := platform.DecodeAccount(stored.Value)
		if err != nil {
			return accepted{}, err
		}
		if _, ok := object.FindChange(change); ok {
			return accepted{int64(stored.Version), time.Now()}, nil
		}
		template := object.Template.Clone()
		template.Slots = 1 + (template.Slots+slots)%64
		update, err := account.Revise(object, account.Request{ChangeID: change, Operator: "operator", Time: time.Now(), Template: template})
		if err != nil {
			return accepted{}, err
		}
		value, err := platform.EncodeAccount(&update.Object)
		if err != nil {
			return accepted{}, err
		}
		if version, err := api.Put(ctx, key, value, stored.Version); err == nil {
			return accepted{int64(version), time.Now()}, nil
		}
	}
	return accepted{}, ctx.Err()
}

// watchVersions checks on every host that the version in force never falls,
// until the context ends. It records when each host reached each version.
type watchVersions struct {
	reached map[host.ID][]accepted
	reverts []error
}

func (w *watchVersions) run(ctx context.Context, hosts func() []*cluster.Host) {
	w.reached = map[host.ID][]accepted{}
	for ctx.Err() == nil {
		for _, h := range hosts() {
			id, now := h.Self().ID, h.Status().Version
			seen := w.reached[id]
			switch last := len(seen) - 1; {
			case last < 0 || now > seen[last].version:
				w.reached[id] = append(seen, accepted{now, time.Now()})
			case now < seen[last].version:
				w.reverts = append(w.reverts, fmt.Errorf("host %s went from version %d to %d", id, seen[last].version, now))
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// at returns when a host reached a version.
func (w *watchVersions) at(id host.ID, version int64) (time.Time, bool) {
	for _, r := range w.reached[id] {
		if r.version >= version {
			return r.at, true
		}
	}
	return time.Time{}, false
}

// Guards against an accepted template that is not in force on every host
// within 7 s, or reverts, while operators race, replies are lost, relays are
// lost, hosts are cut off and return, and hosts start during an outage.
func TestConfigInForce(t *testing.T) {
	for name, test := range map[string]struct {
		schedule string
		// cut names hosts that are cut off until the given time.
		cut   map[host.ID]time.Duration
		start time.Duration
		// relays cuts off the relays of one data centre from 2 s to 14 s.
		relays string
	}{
		"calm":                    {schedule: ""},
		"replies lost":            {schedule: "1s replies 3\n4s replies 2"},
		"outage":                  {schedule: "2s platform Unavailable\n7s platform None"},
		"silent outage":           {schedule: "2s platform BlackHole\n7s platform None"},
		"host restarts in outage": {schedule: "4s platform BlackHole\n14s platform None", start: 6 * time.Second},
		"host cut off and back": {
			schedule: "2s isolate host-4 BlackHole\n9s isolate host-4 Up", cut: map[host.ID]time.Duration{"host-4": 9 * time.Second},
		},
		"relays silent": {relays: "BlackHole"},
		"relays lost":   {relays: "Cut"},
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
				if test.relays != "" {
					test.cut = map[host.ID]time.Duration{}
					var hosts []host.Info
					for _, h := range c.Hosts {
						hosts = append(hosts, h.Self())
					}
					for _, relay := range placement.Relays("namur-a", hosts, placement.DefaultRelays) {
						test.cut[relay.ID] = 14 * time.Second
						test.schedule = fmt.Sprintf("2s isolate %s %s\n%s14s isolate %s Up\n", relay.ID, test.relays, test.schedule, relay.ID)
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				var running sync.WaitGroup
				began := time.Now()
				var mu sync.Mutex
				var changes []accepted
				hosts := func() []*cluster.Host {
					mu.Lock()
					defer mu.Unlock()
					return append([]*cluster.Host(nil), c.Hosts...)
				}
				watch := &watchVersions{}
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
				running.Go(func() { assert.Check(t, newFaultWorld(c, v).run(test.schedule)) })
				var late *cluster.Host
				if test.start > 0 {
					time.Sleep(test.start)
					var err error
					mu.Lock()
					late, err = c.StartHost("host-10", "namur-a")
					mu.Unlock()
					assert.NilError(t, err)
				}
				operators.Wait()
				time.Sleep(max(20*time.Second-time.Since(began), inForceWithin))
				cancel()
				running.Wait()
				assert.Equal(t, len(watch.reverts), 0, "%v", watch.reverts)
				worst := time.Duration(0)
				for _, h := range c.Hosts {
					id := h.Self().ID
					for _, a := range changes {
						due := a.at
						if back := began.Add(test.cut[id]); back.After(due) && test.cut[id] > 0 {
							due = back
						}
						if started := began.Add(test.start); h == late && started.After(due) {
							due = started
						}
						at, ok := watch.at(id, a.version)
						assert.Assert(t, ok, "host %s never reached version %d", id, a.version)
						worst = max(worst, at.Sub(due))
						assert.Check(t, at.Sub(due) <= inForceWithin, "host %s reached version %d after %s", id, a.version, at.Sub(due))
					}
				}
				t.Logf("%d changes, in force everywhere after at most %s", len(changes), worst)
				checkHistory(t, c, 3*revisions)
			})
		})
	}
}

// checkHistory checks that every change was accepted once, as a revision of
// its own.
func checkHistory(t *testing.T, c *cluster.Cluster, changes int) {
	template, err := c.Account("vandermeersch")
	assert.NilError(t, err)
	assert.Equal(t, int(template.Revision), 1+changes)
}
