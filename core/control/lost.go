package control

import (
	"basilmill/core/distribution"
	"basilmill/core/group"
)

// lostCandidates returns the objects in force if the update shows that the platform's
// store was restored from a copy, which may lack later states of them.
func (t *Thread) lostCandidates(update distribution.Update) map[distribution.Key]distribution.Object {
	version := t.objects.Version()
	if version == 0 || update.Version.Era() <= version.Era() {
		return nil
	}
	known := map[distribution.Key]distribution.Object{}
	for _, o := range t.objects.Since(0).Objects {
		known[o.Key] = o
	}
	return known
}

// unlessLost returns the object to put in force for one that the platform holds: the
// account in force if the platform has lost its later state, under the version of the
// platform's.
func (t *Thread) unlessLost(known map[distribution.Key]distribution.Object, o distribution.Object) distribution.Object {
	k, ok := known[o.Key]
	if !ok || o.Key.Kind != KindAccount || !t.config.Decoder.AccountSupersedes(k.Value, o.Value) {
		return o
	}
	t.reportLostAccount(k, o.Version)
	o.Value = k.Value
	return o
}

// reportMissing reports the objects in force that the platform has lost altogether.
func (t *Thread) reportMissing(known map[distribution.Key]distribution.Object) {
	for _, k := range known {
		switch k.Key.Kind {
		case KindAccount:
			t.reportLostAccount(k, 0)
		case KindGroup:
			if g := t.groups[group.ID(k.Key.Name)]; g != nil {
				t.reportLostRecord(g, 0)
			}
		}
	}
}

// unlessOlder returns the record to put in force for one that the platform holds: the one
// in force if it is of a later generation. A generation never ends by itself, so that the
// platform must have lost it.
func (t *Thread) unlessOlder(g *groupState, record *group.Record, version distribution.Version) *group.Record {
	if g.record == nil || version <= g.version || record.Generation >= g.record.Generation {
		return record
	}
	t.reportLostRecord(g, version)
	return g.record
}

// reportLostRecord emits RecordLost on the coordinators of the group.
func (t *Thread) reportLostRecord(g *groupState, stored distribution.Version) {
	if g.rank >= 0 {
		t.config.OnAction(RecordLost{Record: g.record, ExpectedVersion: stored})
	}
}

// reportLostAccount emits AccountLost on relays, so that not every host writes it.
func (t *Thread) reportLostAccount(k distribution.Object, stored distribution.Version) {
	if t.Snapshot().IsRelay() {
		t.config.OnAction(AccountLost{Name: k.Key.Name, Value: k.Value, ExpectedVersion: stored})
	}
}
