package control_test

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/account"
	"basilmill/core/control"
	"basilmill/core/distribution"
	"basilmill/core/failover"
	"basilmill/core/group"
	"basilmill/core/host"
)

// decoder decodes records from JSON and rejects every account.
type decoder struct{}

func (decoder) Group(value []byte) (*group.Record, error) {
	var r group.Record
	err := json.Unmarshal(value, &r)
	return &r, err
}

func (decoder) Account([]byte) (account.Template, error) {
	return account.Template{}, errors.New("not a template")
}

func (decoder) AccountSupersedes(_, _ []byte) bool { return false }

// startThread runs a control thread of host-1 and returns it with the list to
// which its actions are appended.
func startThread(t *testing.T) (thread *control.Thread, actions *[]control.Action) {
	actions = new([]control.Action)
	thread = control.New(control.Config{
		Self:     host.Info{ID: "host-1", DataCentre: "gent-a"},
		Decoder:  decoder{},
		OnAction: func(a control.Action) { *actions = append(*actions, a) },
	})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(func() { cancel(); synctest.Wait() })
	go func() { _ = thread.Run(ctx) }()
	return thread, actions
}

func recordObject(t *testing.T, version distribution.Version, term group.Term, primary group.ServerID) distribution.Object {
	value, err := json.Marshal(group.Record{
		ID: "g", Term: term, Generation: group.Generation(term), Primary: primary, Successor: "c",
		Servers: []group.Server{{ID: "a"}, {ID: "b"}, {ID: "c"}},
	})
	assert.NilError(t, err)
	return distribution.Object{Key: distribution.Key{Kind: control.KindGroup, Name: "g"}, Version: version, Value: value}
}

func objectsReceived(version distribution.Version, objects ...distribution.Object) control.ObjectsReceived {
	return control.ObjectsReceived{Update: distribution.Update{Version: version, Objects: objects}}
}

// Guards against a record that reverts when a relay delivers an older version
// than a call to the platform returned, against an invalid object that is put in
// force instead of reported, and against a Changed channel that a change does
// not close.
func TestRecordVersionsNeverDecrease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		thread, actions := startThread(t)
		before := thread.Snapshot()
		thread.Post(objectsReceived(5, recordObject(t, 5, 1, "a")))
		<-before.Changed
		g := thread.Snapshot().Groups["g"]
		assert.Equal(t, g.View().Rank, 0)

		var newer group.Record
		assert.NilError(t, json.Unmarshal(recordObject(t, 9, 2, "b").Value, &newer))
		thread.Post(control.GroupEvent{Group: "g", Event: failover.RecordChanged{Record: &newer, Version: 9}})
		thread.Post(objectsReceived(7, recordObject(t, 7, 1, "a")))
		thread.Post(objectsReceived(8, distribution.Object{Key: distribution.Key{Kind: control.KindAccount, Name: "x"}, Version: 8}))
		synctest.Wait()
		assert.Equal(t, g.View().Record.Primary, group.ServerID("b"))
		assert.Equal(t, thread.Snapshot().Version, distribution.Version(8))

		var replaced, rejected bool
		for _, a := range *actions {
			switch a := a.(type) {
			case control.ServerLost:
				replaced = replaced || (a.Server == "a" && a.Replaced)
			case control.ObjectRejected:
				rejected = true
			}
		}
		assert.Assert(t, replaced && rejected)
	})
}

// Guards against first probes of a group that find no status connections, which
// CoordinatorsChanged provides.
func TestCoordinatorsChangedPrecedesTheProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		thread, actions := startThread(t)
		thread.Post(objectsReceived(5, recordObject(t, 5, 1, "a")))
		synctest.Wait()
		isChange := func(a control.Action) bool { _, ok := a.(control.CoordinatorsChanged); return ok }
		isProbe := func(a control.Action) bool {
			g, ok := a.(control.GroupAction)
			_, probe := g.Action.(failover.Probe)
			return ok && probe
		}
		change, probe := slices.IndexFunc(*actions, isChange), slices.IndexFunc(*actions, isProbe)
		assert.Assert(t, change >= 0 && probe > change, "change %d, probe %d", change, probe)
	})
}

// Guards against coordinators that are not reassigned when hosts join or this
// host leaves.
func TestCoordinatorsAreReassignedWhenHostsChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		thread, _ := startThread(t)
		thread.Post(objectsReceived(5, recordObject(t, 5, 1, "a")))
		thread.Post(control.HostsListed{Hosts: []host.Info{
			{ID: "host-1", DataCentre: "gent-a"}, {ID: "host-2", DataCentre: "namur-a"}, {ID: "host-3", DataCentre: "brussel-a"},
		}})
		synctest.Wait()
		view := thread.Snapshot().Groups["g"].View()
		assert.Equal(t, len(view.Coordinators), 3)
		assert.Assert(t, view.Rank >= 0)

		thread.Post(control.LeaveRequested{})
		synctest.Wait()
		view = thread.Snapshot().Groups["g"].View()
		assert.Equal(t, view.Rank, -1)
		assert.Equal(t, len(view.Coordinators), 2)
		time.Sleep(2 * time.Second)
	})
}
