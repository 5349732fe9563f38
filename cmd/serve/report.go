package serve

import (
	"log/slog"

	"basilmill/core/failover"
	"basilmill/core/group"
	"basilmill/core/logevent"
)

// logReport logs a report of a group's failover state machine and updates the
// metrics.
func (r *runner) logReport(record *group.Record, report failover.Report) {
	groupAttr := slog.String("Group", string(record.ID))
	switch a := report.(type) {
	case failover.PrimarySuspected:
		r.metrics.suspicions.Inc()
		r.log.Write(r.ctx, logevent.PrimarySuspected, groupAttr, slog.String("Server", string(a.Server)), slog.Int64("Term", int64(a.Term)))
	case failover.SuspicionWithdrawn:
		r.log.Write(r.ctx, logevent.SuspicionWithdrawn, groupAttr, slog.String("Server", string(a.Server)), slog.Duration("Duration", a.Duration))
	case failover.ChangeDecided:
		r.log.Write(r.ctx, logevent.ChangeDecided, groupAttr, slog.String("Cause", a.Cause), slog.String("Primary", string(a.Record.Primary)),
			slog.String("Successor", string(a.Record.Successor)), slog.Int64("Term", int64(a.Record.Term)))
	case failover.ChangeLost:
		r.log.Write(r.ctx, logevent.ChangeRefused, groupAttr, slog.String("ChangeID", string(a.ChangeID)))
	case failover.NoEligibleSuccessor:
		r.log.Write(r.ctx, logevent.NoEligibleSuccessor, groupAttr, slog.String("Successor", string(a.Successor)), slog.Int64("Term", int64(a.Term)))
	case failover.ChangeCompleted:
		r.metrics.observeFailoverGap(record.ID, a.Gap)
		r.log.Write(r.ctx, logevent.ChangeCompleted, groupAttr, slog.String("Primary", string(a.Primary)), slog.Int64("Term", int64(a.Term)),
			slog.Duration("Gap", a.Gap))
	case failover.SuccessorChanged:
		r.log.Write(r.ctx, logevent.SuccessorChange, groupAttr, slog.String("Successor", string(a.Successor)), slog.Int64("Generation", int64(a.Generation)))
	case failover.CommandRefused:
		r.log.Write(r.ctx, logevent.CommandFailed, groupAttr, slog.String("Server", string(a.Command.Target())), slog.String("Error", a.Err.Error()))
	case failover.PlatformUnavailable:
		r.log.Write(r.ctx, logevent.PlatformUnavailable, groupAttr)
	case failover.PlatformAvailable:
		r.log.Write(r.ctx, logevent.PlatformAvailable, groupAttr)
	}
}
