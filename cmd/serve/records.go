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

func (r *runner) updateRecord(a failover.UpdateRecord) {
	id, change := a.Record.ID, a.Record.ChangeID
	value, err := platform.EncodeGroup(a.Record)
	if err != nil {
		r.log.Write(r.ctx, logevent.ObjectInvalid, slog.String("Object", string(id)), slog.String("Error", err.Error()))
		return
	}
	version, err := r.platform.Put(r.ctx, platform.GroupKey(id), value, platform.Version(a.ExpectedVersion))
	var conflict *platform.ConflictError
	switch {
	case err == nil:
		r.groupEvent(id, failover.UpdateApplied{ChangeID: change, Version: distribution.Version(version), Record: a.Record})
	case errors.As(err, &conflict):
		r.conflict(id, change, conflict.Current)
	default:
		r.groupEvent(id, failover.UpdateUnknown{ChangeID: change})
	}
}

func (r *runner) conflict(id group.ID, change group.ChangeID, current platform.Object) {
	record, err := platform.DecodeGroup(current.Value)
	if err != nil {
		r.groupEvent(id, failover.UpdateUnknown{ChangeID: change})
		return
	}
	r.groupEvent(id, failover.UpdateConflict{Record: record, Version: distribution.Version(current.Version)})
}

func (r *runner) readRecord(id group.ID) {
	record, version, err := r.fetchRecord(r.ctx, id)
	if err != nil {
		r.groupEvent(id, failover.ReadFailed{})
		return
	}
	r.groupEvent(id, failover.RecordChanged{Record: record, Version: version})
}

func (r *runner) fetchRecord(ctx context.Context, id group.ID) (record *group.Record, version distribution.Version, err error) {
	object, err := r.platform.Get(ctx, platform.GroupKey(id))
	if err != nil {
		return nil, 0, err
	}
	record, err = platform.DecodeGroup(object.Value)
	return record, distribution.Version(object.Version), err
}

// decoder decodes platform objects for the control thread.
type decoder struct{}

// Group decodes a group record.
func (decoder) Group(value []byte) (*group.Record, error) { return platform.DecodeGroup(value) }

// Account decodes the template of an account object.
func (decoder) Account(value []byte) (template account.Template, err error) {
	object, err := platform.DecodeAccount(value)
	if err != nil {
		return account.Template{}, err
	}
	return object.Template, nil
}
