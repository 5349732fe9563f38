package failover_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/failover"
	"basilmill/core/group"
	"basilmill/core/host"
)

// runUnanswered runs a machine for the duration. Every probe of the primary is
// left unanswered, and pingResult decides what the ping that follows it shows.
// It returns whether the primary was suspected and whether its replacement was
// decided.
func runUnanswered(m *failover.Machine, length time.Duration, pingResult func() (accepted, answered bool)) (suspected, decided bool) {
	end := time.Now().Add(length)
	var handle func(failover.Event)
	handle = func(event failover.Event) {
		for _, action := range m.Handle(event) {
			switch a := action.(type) {
			case failover.Probe:
				accepted, answered := pingResult()
				if a.Server == "a" && accepted {
					handle(failover.ServerReached{Server: "a", SentAt: a.SentAt, Answered: answered})
				}
				if a.Server != "a" {
					handle(failover.StatusReceived{SentAt: a.SentAt, Status: group.Status{Server: a.Server, Term: 1, Generation: 1, Received: 10, Applied: 10}})
				}
			case failover.Observe:
				handle(failover.ObservationReceived{From: a.Host, DataCentre: "namur-a", Server: a.Server, Term: a.Term})
			case failover.PrimarySuspected:
				suspected = true
			case failover.UpdateRecord:
				decided = true
			}
		}
	}
	handle(failover.CoordinatorsChanged{Coordinators: []failover.Coordinator{{Host: "h1", DataCentre: "gent-a"}, {Host: "h2", DataCentre: "namur-a"}}})
	handle(failover.RecordChanged{Version: 1, Record: &group.Record{
		ID: "g", Term: 1, Generation: 1, Primary: "a", Successor: "b",
		Servers: []group.Server{{ID: "a"}, {ID: "b"}},
	}})
	for time.Now().Before(end) && !decided {
		time.Sleep(max(time.Millisecond, time.Until(m.NextTimer())))
		handle(failover.TimerFired{})
	}
	return suspected, decided
}

// Guards against replacing a primary because the status queries on one
// connection are blocked by a retransmission, and against never replacing one
// whose process hangs while its host still accepts connections.
func TestPingsTellSlowLinksFromLostServers(t *testing.T) {
	for name, tc := range map[string]struct {
		accepted, answered, decided bool
	}{
		"the process answers pings":         {true, true, false},
		"only the host accepts connections": {true, false, true},
		"the host accepts no connections":   {false, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := failover.New(failover.Config{Group: "g", Host: host.ID("h1"), DataCentre: "gent-a"})
				_, decided := runUnanswered(m, 10*time.Second, func() (bool, bool) { return tc.accepted, tc.answered })
				assert.Equal(t, decided, tc.decided)
			})
		})
	}
}
