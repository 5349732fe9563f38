package serve

import (
	"context"
	"errors"
	"log/slog"

	"basilmill/core/account"
	"basilmill/core/distribution"
	"basilmill/core/failover"
	"basilmill/core/group"
	"basilmill/core/logevent"
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
	version, err := r.platform.Put(r.ctx, platform.GroupKey(id), value, platform.Version(a.ExpectedVersion))
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		r.postGroupEvent(id, failover.UpdateApplied{ChangeID: changeID, Version: distribution.Version(version), Record: a.Record})
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
	r.postGroupEvent(id, failover.UpdateConflict{Record: record, Version: distribution.Version(current.Version)})
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
	return record, distribution.Version(object.Version), err
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
