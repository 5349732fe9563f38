package serve

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"basilmill/core/account"
	"basilmill/core/control"
	"basilmill/core/distribution"
	"basilmill/core/failover"
	"basilmill/core/group"
	"basilmill/core/logevent"
	"basilmill/core/retry"
	"basilmill/io/platform"
)

// updateRecord writes a group's record to the platform if the record there
// still has the expected version, and posts the result.
func (r *runner) updateRecord(a failover.UpdateRecord) {
	id, changeID := a.Record.ID, a.Record.ChangeID
	value, err := platform.EncodeGroup(a.Record)
	if err != nil {
		r.log.Write(r.ctx, logevent.ObjectInvalid, slog.String("Object", string(id)), slog.String("Error", err.Error()))
		return
	}
	version, err := r.platform.Put(r.ctx, platform.GroupKey(id), value, a.ExpectedVersion)
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		r.postGroupEvent(id, failover.UpdateApplied{ChangeID: changeID, Version: version, Record: a.Record})
	case errors.As(err, &conflict):
		r.handleConflict(id, changeID, conflict.Current)
	default:
		r.postGroupEvent(id, failover.UpdateUnknown{ChangeID: changeID})
	}
}

// handleConflict posts the record that the platform holds instead of the
// expected one. If it cannot be decoded, the outcome of the update is
// unknown.
func (r *runner) handleConflict(id group.ID, changeID group.ChangeID, current platform.Object) {
	record, err := platform.DecodeGroup(current.Value)
	if err != nil {
		r.postGroupEvent(id, failover.UpdateUnknown{ChangeID: changeID})
		return
	}
	r.postGroupEvent(id, failover.UpdateConflict{Record: record, Version: current.Version})
}

// readRecord reads a group's record from the platform and posts it.
func (r *runner) readRecord(id group.ID) {
	record, version, err := r.fetchRecord(r.ctx, id)
	if err != nil {
		r.postGroupEvent(id, failover.ReadFailed{})
		return
	}
	r.postGroupEvent(id, failover.RecordChanged{Record: record, Version: version})
}

// fetchRecord reads a group's record and its version from the platform
// directly, not from a relay.
func (r *runner) fetchRecord(ctx context.Context, id group.ID) (record *group.Record, version distribution.Version, err error) {
	object, err := r.platform.Get(ctx, platform.GroupKey(id))
	if err != nil {
		return nil, 0, err
	}
	record, err = platform.DecodeGroup(object.Value)
	return record, object.Version, err
}

// lostRetryBackoff bounds the pause before an object that the platform has lost is written
// once more.
const lostRetryBackoff = 2 * time.Second

// writeAgain writes an object that the platform has lost, and retries until it is written
// or another host has changed it.
func (r *runner) writeAgain(key platform.Key, value []byte, ifMatch distribution.Version) {
	backoff := retry.Backoff{MaxBackoff: lostRetryBackoff}
	for backoff.Wait(r.ctx) == nil {
		_, err := r.platform.Put(r.ctx, key, value, ifMatch)
		var conflict *platform.ConflictError
		if err == nil || errors.As(err, &conflict) {
			r.log.Write(r.ctx, logevent.ObjectWrittenAgain, slog.String("Kind", string(key.Kind)), slog.String("Object", key.Name),
				slog.Bool("Changed", err != nil))
			return
		}
	}
}

// writeRecordAgain writes a group's record that the platform has lost.
func (r *runner) writeRecordAgain(a control.RecordLost) {
	value, err := platform.EncodeGroup(a.Record)
	if err != nil {
		r.log.Write(r.ctx, logevent.ObjectInvalid, slog.String("Object", string(a.Record.ID)), slog.String("Error", err.Error()))
		return
	}
	r.writeAgain(platform.GroupKey(a.Record.ID), value, a.ExpectedVersion)
}

// decoder implements control.Decoder with the encoding of the platform
// package.
type decoder struct{}

// Group decodes a group record.
func (decoder) Group(value []byte) (*group.Record, error) { return platform.DecodeGroup(value) }

// Account decodes an account object and returns its template.
func (decoder) Account(value []byte) (template account.Template, err error) {
	object, err := platform.DecodeAccount(value)
	if err != nil {
		return account.Template{}, err
	}
	return object.Template, nil
}

// AccountSupersedes reports whether an account object is a later state of the other one:
// it has a higher revision and contains the last change.
func (decoder) AccountSupersedes(known, stored []byte) bool {
	k, err := platform.DecodeAccount(known)
	if err != nil {
		return false
	}
	s, err := platform.DecodeAccount(stored)
	if err != nil || k.Template.Revision <= s.Template.Revision {
		return false
	}
	if len(s.Changes) == 0 {
		return true
	}
	_, contained := k.FindChange(s.Changes[len(s.Changes)-1].ID)
	return contained
}
