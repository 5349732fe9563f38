package serve

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"basilmill/core/control"
	"basilmill/core/failover"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/logevent"
	"basilmill/io/backendserver"
	"basilmill/io/peer"
	"basilmill/io/platform"
)

const (
	statusTimeout = failover.DefaultProbeTimeout
	// pingDelay is how long a probe stays unanswered before the server is also
	// pinged over a separate connection. Most answers arrive earlier.
	pingDelay = failover.DefaultMinLateThreshold
	// pingTimeout bounds a ping. A ping fails if a packet is lost; the next late
	// probe causes another one.
	pingTimeout = 500 * time.Millisecond
	// commandTimeout bounds a command. It includes the time that Quiesce waits
	// for open transactions.
	commandTimeout = failover.DefaultCommandTimeout
)

// errServerLost ends conversations with a server that was replaced as primary
// or is unresponsive.
var errServerLost = errors.New("the backend server was replaced or does not answer")

// runner carries out the actions of the control thread and posts the results
// to the thread as inputs. Actions that block run in goroutines of their own.
type runner struct {
	// ctx cancels the actions in progress when the host stops.
	ctx      context.Context
	self     host.Info
	post     func(control.Input)
	snapshot func() *control.Snapshot
	platform platform.API
	peers    *peer.Client
	dialer   backendserver.Dialer
	log      *logevent.Logger
	metrics  *metrics
	local    *backendserver.LocalConnector

	mu sync.Mutex
	// coordinations holds the groups that this host coordinates, and those whose
	// confirmation loop has not ended yet.
	coordinations map[group.ID]*coordination
	// pendingObservations holds the result channels of observation requests from
	// other coordinators that wait for an answer of the failover state machine.
	pendingObservations map[observationKey][]chan bool
}

// serverKey identifies a backend server among those of all groups.
type serverKey struct {
	group  group.ID
	server group.ServerID
}

// observationKey identifies what another coordinator asked: whether this host
// reaches a server in a term.
type observationKey struct {
	group  group.ID
	from   host.ID
	server group.ServerID
	term   group.Term
}

// handleAction carries out an action of the control thread. It is called on
// that thread, so it must not block.
func (r *runner) handleAction(action control.Action) {
	switch a := action.(type) {
	case control.GroupAction:
		r.handleGroupAction(a.Record, a.Action)
	case control.ObjectRejected:
		r.log.Write(r.ctx, logevent.ObjectInvalid, slog.String("Kind", string(a.Key.Kind)), slog.String("Object", a.Key.Name),
			slog.Int64("Version", int64(a.Version)), slog.String("Error", a.Err.Error()))
	case control.RecordLost:
		go r.writeRecordAgain(a)
	case control.AccountLost:
		go r.writeAgain(platform.Key{Kind: platform.KindAccount, Name: a.Name}, a.Value, a.ExpectedVersion)
	case control.VersionApplied:
		r.metrics.configurationVersion.Set(float64(a.Version))
		r.log.Write(r.ctx, logevent.ConfigurationApplied, slog.Int64("Version", int64(a.Version)))
	case control.HostsChanged:
		r.log.Write(r.ctx, logevent.HostListChanged, slog.Int("Added", len(a.Added)), slog.Int("Removed", len(a.Removed)))
	case control.CoordinatorsChanged:
		r.setConnectionLimits(a.View)
		r.updateCoordination(a.View)
	case control.ServerLost:
		r.handleServerLost(a)
	}
}

// replacedGracePeriod is how long a statement that runs on a replaced primary
// may continue. It covers several round trips between regions.
const replacedGracePeriod = 500 * time.Millisecond

// handleServerLost ends the conversations with a lost server: after a grace
// period if it was replaced as primary, at once if it is unresponsive.
func (r *runner) handleServerLost(a control.ServerLost) {
	if a.Replaced {
		go r.local.ReportReplaced(a.Group, a.Server, errServerLost, replacedGracePeriod)
		return
	}
	go r.local.ReportLost(a.Group, a.Server, errServerLost)
}

// handleGroupAction handles an action of a group's failover state machine.
func (r *runner) handleGroupAction(record *group.Record, action failover.Action) {
	switch a := action.(type) {
	case failover.Probe:
		go r.probe(record, a)
	case failover.Observe:
		go r.requestObservation(record.ID, a)
	case failover.Observation:
		r.deliverObservation(record.ID, a)
	case failover.UpdateRecord:
		go r.updateRecord(a)
	case failover.ReadRecord:
		go r.readRecord(record.ID)
	case failover.Execute:
		go r.executeCommand(record, a.Command)
	case failover.Report:
		r.logReport(record, a)
	}
}

// postGroupEvent posts an event for a group's failover state machine.
func (r *runner) postGroupEvent(id group.ID, event failover.Event) {
	r.post(control.GroupEvent{Group: id, Event: event})
}

// controlDatabase returns the database that status and command connections
// open. The functions of schema basilmill are the same in each database.
func controlDatabase(record *group.Record) string {
	if len(record.Databases) > 0 {
		return record.Databases[0]
	}
	return "postgres"
}

// executeCommand sends a command and posts its result. Quiesce waits for open
// transactions, so it uses a separate connection on which it does not delay
// status queries.
func (r *runner) executeCommand(record *group.Record, command failover.Command) {
	coalescer, ok := r.coalescer(record, command.Target())
	if !ok {
		r.postGroupEvent(record.ID, failover.CommandFailed{Command: command, Err: errNoStatusConnection})
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, commandTimeout)
	defer cancel()
	c := coalescer.ControlClient()
	if _, isQuiesce := command.(failover.Quiesce); isQuiesce {
		c = backendserver.NewControlClient(r.dialer, coalescer.server.Address, controlDatabase(record))
		defer c.Close()
	}
	offset, err := sendCommand(ctx, c, command)
	if err != nil {
		r.postGroupEvent(record.ID, failover.CommandFailed{Command: command, Err: err})
		return
	}
	r.postGroupEvent(record.ID, failover.CommandDone{Command: command, Offset: offset})
}

func sendCommand(ctx context.Context, c *backendserver.ControlClient, command failover.Command) (group.Offset, error) {
	switch cmd := command.(type) {
	case failover.Promote:
		return c.Promote(ctx, cmd.Term, cmd.Generation, cmd.Successor)
	case failover.SetSuccessor:
		return c.SetSuccessor(ctx, cmd.Term, cmd.Generation, cmd.Successor)
	case failover.Follow:
		return 0, c.Follow(ctx, cmd.Term, cmd.Primary, cmd.Address)
	case failover.Quiesce:
		return c.Quiesce(ctx, cmd.Term)
	default:
		return 0, errors.New("unknown command")
	}
}
