package control_test

import (
	"context"
	"encoding/json"
	"slices"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"basilmill/core/account"
	"basilmill/core/control"
	"basilmill/core/distribution"
	"basilmill/core/failover"
	"basilmill/core/group"
	"basilmill/core/host"
)

// revisionDecoder also decodes accounts, which are templates in JSON.
type revisionDecoder struct{ decoder }

func (revisionDecoder) Account(value []byte) (template account.Template, err error) {
	err = json.Unmarshal(value, &template)
	return template, err
}

func (d revisionDecoder) AccountSupersedes(known, stored []byte) bool {
	k, kErr := d.Account(known)
	s, sErr := d.Account(stored)
	return kErr == nil && sErr == nil && k.Revision > s.Revision
}

func accountObject(t *testing.T, version distribution.Version, id account.ID, revision account.Revision) distribution.Object {
	t.Helper()
	value, err := json.Marshal(account.Template{ID: id, Revision: revision})
	assert.NilError(t, err)
	return distribution.Object{Key: distribution.Key{Kind: control.KindAccount, Name: string(id)}, Version: version, Value: value}
}

func versionOf(t *testing.T, era distribution.Era, revision int64) distribution.Version {
	t.Helper()
	v, err := distribution.NewVersion(era, revision)
	assert.NilError(t, err)
	return v
}

// lostActions returns the actions by which the thread has objects written again.
func lostActions(actions []control.Action) (records []control.RecordLost, accounts []control.AccountLost) {
	for _, a := range actions {
		switch a := a.(type) {
		case control.RecordLost:
			records = append(records, a)
		case control.AccountLost:
			accounts = append(accounts, a)
		}
	}
	slices.SortFunc(accounts, func(a, b control.AccountLost) int { return int(a.ExpectedVersion - b.ExpectedVersion) })
	return records, accounts
}

// Guards against states that revert with the platform's store, and against later changes
// that are left out because of it.
func TestObjectsDoNotRevertWithTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var actions []control.Action
		thread := control.New(control.Config{
			Self: host.Info{ID: "host-1", DataCentre: "gent-a"}, Decoder: revisionDecoder{},
			OnAction: func(a control.Action) { actions = append(actions, a) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer func() { cancel(); synctest.Wait() }()
		go func() { _ = thread.Run(ctx) }()
		thread.Post(control.HostsListed{Hosts: []host.Info{{ID: "host-1", DataCentre: "gent-a"}}})
		thread.Post(objectsReceived(versionOf(t, 1, 90),
			recordObject(t, versionOf(t, 1, 80), 2, "b"), accountObject(t, versionOf(t, 1, 85), "x", 3), accountObject(t, versionOf(t, 1, 90), "lost", 1)))
		synctest.Wait()

		thread.Post(objectsReceived(versionOf(t, 2, 50), recordObject(t, versionOf(t, 2, 40), 1, "a"), accountObject(t, versionOf(t, 2, 45), "x", 2)))
		synctest.Wait()
		s := thread.Snapshot()
		assert.Equal(t, s.Version, versionOf(t, 2, 50))
		assert.Equal(t, s.Groups["g"].View().Record.Primary, group.ServerID("b"))
		assert.Equal(t, s.Accounts["x"].Template.Revision, account.Revision(3))
		assert.Assert(t, s.Accounts["lost"] != nil)
		records, accounts := lostActions(actions)
		assert.Equal(t, len(records), 1)
		assert.Equal(t, records[0].Record.Primary, group.ServerID("b"))
		assert.Equal(t, records[0].ExpectedVersion, versionOf(t, 2, 40))
		assert.Equal(t, len(accounts), 2)
		assert.Equal(t, accounts[0].Name, "lost")
		assert.Equal(t, accounts[0].ExpectedVersion, distribution.Version(0))
		assert.Equal(t, accounts[1].ExpectedVersion, versionOf(t, 2, 45))

		// A read of the platform returns the old record once more.
		var old group.Record
		assert.NilError(t, json.Unmarshal(recordObject(t, 0, 1, "a").Value, &old))
		thread.Post(control.GroupEvent{Group: "g", Event: failover.RecordChanged{Record: &old, Version: versionOf(t, 2, 51)}})
		thread.Post(control.GroupEvent{Group: "g", Event: failover.UpdateConflict{Record: &old, Version: versionOf(t, 2, 52)}})
		synctest.Wait()
		assert.Equal(t, thread.Snapshot().Groups["g"].View().Record.Primary, group.ServerID("b"))

		// What operators and hosts write from here on is in force.
		thread.Post(control.ObjectsReceived{Update: distribution.Update{After: versionOf(t, 2, 50), Version: versionOf(t, 2, 60), Objects: []distribution.Object{
			accountObject(t, versionOf(t, 2, 55), "x", 3), recordObject(t, versionOf(t, 2, 60), 3, "c"),
		}}})
		synctest.Wait()
		s = thread.Snapshot()
		assert.Equal(t, s.Accounts["x"].Version, versionOf(t, 2, 55))
		assert.Equal(t, s.Groups["g"].View().Record.Primary, group.ServerID("c"))
	})
}
