package restored_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
)

// Guards against hosts that stay with a replaced configuration because the revision of
// the new one was given out before the store was restored.
func TestConfigurationAfterARestorationIsInForceInTime(t *testing.T) {
	for _, hosts := range []int{aloneHosts, fleetHosts} {
		// lost is the number of changes that the copy lacks, later the number of changes
		// beside the configuration after the restoration.
		for _, lost := range []int{1, 2, 5} {
			for _, later := range []int{0, 1, 2, 10} {
				t.Run(fmt.Sprintf("%d hosts, %d lost, %d later", hosts, lost, later), func(t *testing.T) {
					runFleet(t, hosts, func(t *testing.T, f *fleet) {
						from := f.store.Copy()
						for i := range lost {
							f.writeConfig(6 + i)
							time.Sleep(100 * time.Millisecond)
						}
						time.Sleep(time.Second)
						f.restore(from, 2*time.Second)
						time.Sleep(4 * time.Second)
						f.writeConfig(20)
						for i := range later {
							f.writeServer("c", i, false)
						}
						time.Sleep(configTime)
						f.requireVersion(t, 20)
					})
				})
			}
		}
	}
}

// Guards against a watch that goes on in a history that is not its own: the store gave
// the revisions up to its start out again before the host called it.
func TestChangeRightAfterARestorationIsNotMissed(t *testing.T) {
	for _, hosts := range []int{aloneHosts, fleetHosts} {
		for _, outage := range []time.Duration{0, 100 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%d hosts, outage %v", hosts, outage), func(t *testing.T) {
				runFleet(t, hosts, func(t *testing.T, f *fleet) {
					from := f.store.Copy()
					f.writeConfig(6)
					time.Sleep(time.Second)
					f.store.SetUnavailable(outage > 0)
					time.Sleep(outage)
					f.store.Restore(from)
					f.writeConfig(20)
					for i := range 10 {
						f.writeServer("c", i, false)
					}
					f.store.SetUnavailable(false)
					time.Sleep(calmTime)
					f.requireVersion(t, 20)
				})
			})
		}
	}
}

// Guards against a configuration that reverts because the copy holds an older one.
func TestConfigurationDoesNotRevertWithTheStore(t *testing.T) {
	for _, hosts := range []int{aloneHosts, fleetHosts} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			runFleet(t, hosts, func(t *testing.T, f *fleet) {
				from := f.store.Copy()
				f.writeConfig(6)
				time.Sleep(configTime)
				f.requireVersion(t, 6)
				f.restore(from, time.Second)
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					f.requireVersion(t, 6)
				}
			})
		})
	}
}

// requireVersion requires that each host has a version of the configuration in force.
func (f *fleet) requireVersion(t *testing.T, want catalog.Version) {
	t.Helper()
	for id, n := range f.nodes {
		assert.Equal(t, n.cache.View().ConfigVersion(), want, "%s", id)
	}
}

// Guards against new work for a server that is leaving, or has left, because the copy
// holds an entry from before.
func TestServerThatLeftIsNotUsedAgainAfterARestoration(t *testing.T) {
	for _, hosts := range []int{aloneHosts, fleetHosts} {
		for _, gone := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d hosts, gone=%v", hosts, gone), func(t *testing.T) {
				runFleet(t, hosts, func(t *testing.T, f *fleet) {
					from := f.store.Copy()
					f.writeServer("a", 7, true)
					time.Sleep(2 * time.Second)
					if gone {
						f.store.Delete("servers", "a")
						time.Sleep(time.Second)
					}
					f.restore(from, time.Second)
					// The entry of a server that is gone expires.
					time.AfterFunc(4*time.Second, func() { f.store.Delete("servers", "a") })
					for range 100 {
						time.Sleep(100 * time.Millisecond)
						for id, n := range f.nodes {
							server, ok := n.cache.View().Servers["a"]
							assert.Assert(t, !ok || server.Leaving, "%s", id)
						}
					}
				})
			})
		}
	}
}

// Guards against a live server that is left out for good: it expired while it did not
// reach the store, and the copy holds its entry.
func TestServerThatIsBackWithTheStoreIsUsed(t *testing.T) {
	for _, hosts := range []int{aloneHosts, fleetHosts} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			runFleet(t, hosts, func(t *testing.T, f *fleet) {
				from := f.store.Copy()
				f.store.Delete("servers", "a")
				time.Sleep(6 * time.Second)
				for id, n := range f.nodes {
					_, ok := n.cache.View().Servers["a"]
					assert.Assert(t, !ok, "%s", id)
				}
				f.restore(from, time.Second)
				time.Sleep(10 * time.Second)
				for id, n := range f.nodes {
					_, ok := n.cache.View().Servers["a"]
					assert.Assert(t, ok, "%s", id)
				}
			})
		})
	}
}

// Guards against saved servers that stay lost: hosts that start while entries are
// missing know no others.
func TestSavedServersAreWrittenAgainAfterARestoration(t *testing.T) {
	for _, hosts := range []int{aloneHosts, fleetHosts} {
		t.Run(fmt.Sprint(hosts, " hosts"), func(t *testing.T) {
			runFleet(t, hosts, func(t *testing.T, f *fleet) {
				from := f.store.Copy()
				f.writeServer("c", 1, false)
				time.Sleep(20 * time.Second)
				saved, ok := f.store.Get("memories", "servers")
				assert.Assert(t, ok)
				f.restore(from, time.Second)
				f.writeServer("c", 2, false)
				time.Sleep(20 * time.Second)
				again, ok := f.store.Get("memories", "servers")
				assert.Assert(t, ok)
				assert.Equal(t, string(again.Spec), string(saved.Spec))
			})
		})
	}
}

// Guards against hosts that take themselves for the only one, because the copy is from
// before the others registered, and against hosts that stay out of the list.
func TestHostsStayListedAndRegisterAgain(t *testing.T) {
	runFleet(t, fleetHosts, func(t *testing.T, f *fleet) {
		f.requireListed(t)
		f.restore(f.empty, time.Second)
		for range 1000 {
			time.Sleep(100 * time.Millisecond)
			f.requireListed(t)
		}
		for _, info := range f.hosts {
			_, ok := f.store.Get("hosts", string(info.ID))
			assert.Assert(t, ok, "%s", info.ID)
		}
	})
}

// requireListed requires that each host lists all hosts.
func (f *fleet) requireListed(t *testing.T) {
	t.Helper()
	for id, n := range f.nodes {
		n.mu.Lock()
		listed := len(n.listed)
		n.mu.Unlock()
		assert.Equal(t, listed, len(f.hosts), "%s", id)
	}
}

// Guards against hosts that stop following the servers because another writer has left an
// odd entry among them.
func TestOddEntryDoesNotStopAFleet(t *testing.T) {
	nested := strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000)
	for name, value := range map[string]string{
		"deeply nested":    nested,
		"number too large": `{"born":1e400}`,
		"port":             `{"service":"svc","address":"10.1.0.1:99999","zone":"dc","configVersion":"v1","slots":2,"state":"ready","coldRemainingMs":0,"dbRole":"replica","sequence":1,"born":1}`,
		"missing fields":   `{"service":"svc","address":"10.1.0.1:80","zone":"dc","state":"ready","dbRole":"replica"}`,
	} {
		for _, hosts := range []int{aloneHosts, fleetHosts} {
			t.Run(fmt.Sprintf("%s, %d hosts", name, hosts), func(t *testing.T) {
				runFleet(t, hosts, func(t *testing.T, f *fleet) {
					f.store.WriteRaw("servers", "b", []byte(value))
					time.Sleep(time.Second)
					f.writeServer("c", 1, false)
					// A restoration makes the hosts read the list.
					f.restore(f.store.Copy(), time.Second)
					f.writeServer("d", 1, false)
					time.Sleep(10 * time.Second)
					for _, n := range f.nodes {
						var known []string
						for _, s := range n.cache.View().Members("svc") {
							known = append(known, string(s.ID))
						}
						assert.DeepEqual(t, known, []string{"a", "c", "d"})
					}
				})
			})
		}
	}
}
