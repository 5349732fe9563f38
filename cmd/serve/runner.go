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
	// pollTimeout bounds a status query.
	pollTimeout = failover.DefaultProbeTimeout
	// pingAfter is the age of an unanswered probe at which the server is asked
	// over a connection of its own; an answer usually comes earlier.
	pingAfter = failover.DefaultMinLateThreshold
	// pingTimeout bounds a ping. A lost packet makes one fail; the next probe
	// sends another.
	pingTimeout = 500 * time.Millisecond
	// commandTimeout bounds a command; quiesce waits for open transactions.
	commandTimeout = failover.DefaultCommandTimeout
)

// errServerLost ends conversations with a server that was replaced or is
// silent.
var errServerLost = errors.New("the backend server was replaced or does not answer")

// runner carries out the actions of the control thread, each in a goroutine
// of its own, and posts the results back as inputs.
type runner struct {
	// ctx ends the actions under way when the host stops.
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

	mu           sync.Mutex
	pollers      map[serverKey]*serverPoller
	observations map[observation][]chan bool
	// evidence ends the evidence queries of each coordinated group.
	evidence map[group.ID]context.CancelFunc
}

// serverKey identifies a backend server among all groups.
type serverKey struct {
	group  group.ID
	server group.ServerID
}

// serverPoller is the poller of a server at one address.
type serverPoller struct {
	*backendserver.StatusCoalescer
	server group.Server
}

// observation is a question of another watcher that waits for the machine's
// answer.
type observation struct {
	group  group.ID
	from   host.ID
	server group.ServerID
	term   group.Term
}

// act receives the actions of the control thread.
func (r *runner) act(action control.Action) {
	switch a := action.(type) {
	case control.GroupAction:
		r.groupAction(a.Record, a.Action)
	case control.ObjectRejected:
		r.log.Write(r.ctx, logevent.ObjectInvalid, slog.String("Kind", string(a.Key.Kind)), slog.String("Object", a.Key.Name),
			slog.Int64("Version", int64(a.Version)), slog.String("Error", a.Err.Error()))
	case control.VersionApplied:
		r.metrics.version.Set(float64(a.Version))
		r.log.Write(r.ctx, logevent.ConfigurationApplied, slog.Int64("Version", int64(a.Version)))
	case control.HostsChanged:
		r.log.Write(r.ctx, logevent.HostListChanged, slog.Int("Added", len(a.Added)), slog.Int("Removed", len(a.Removed)))
	case control.CoordinatorsChanged:
		r.setLimits(a.View)
		r.setEvidence(a.View)
	case control.ServerLost:
		r.serverLost(a)
	}
}

// replacedGrace is the time that a statement on a replaced primary has to end.
// It covers several round trips between regions.
const replacedGrace = 500 * time.Millisecond

func (r *runner) serverLost(a control.ServerLost) {
	if a.Replaced {
		go r.local.ReportReplaced(a.Group, a.Server, errServerLost, replacedGrace)
		return
	}
	go r.local.ReportLost(a.Group, a.Server, errServerLost)
}

func (r *runner) groupAction(record *group.Record, action failover.Action) {
	switch a := action.(type) {
	case failover.Probe:
		go r.probe(record, a)
	case failover.Observe:
		go r.observe(record.ID, a)
	case failover.Observation:
		r.answerObservation(record.ID, a)
	case failover.UpdateRecord:
		go r.updateRecord(a)
	case failover.ReadRecord:
		go r.readRecord(record.ID)
	case failover.Execute:
		go r.execute(record, a.Command)
	case failover.Report:
		r.report(record, a)
	}
}

func (r *runner) groupEvent(id group.ID, event failover.Event) {
	r.post(control.GroupEvent{Group: id, Event: event})
}

// poller returns the poller of a server; a server that moved gets a new one.
func (r *runner) poller(record *group.Record, id group.ServerID) (*serverPoller, bool) {
	server, ok := record.Server(id)
	if !ok {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	key := serverKey{record.ID, id}
	p := r.pollers[key]
	if p != nil && p.server.Address == server.Address {
		return p, true
	}
	if p != nil {
		go p.Close()
	}
	p = &serverPoller{
		StatusCoalescer: backendserver.NewStatusCoalescer(backendserver.NewControlClient(r.dialer, server.Address, controlDatabase(record)), pollTimeout),
		server:          server,
	}
	r.pollers[key] = p
	return p, true
}

// controlDatabase is the database that control connections name. The
// functions of schema basilmill are the same in each.
func controlDatabase(record *group.Record) string {
	if len(record.Databases) > 0 {
		return record.Databases[0]
	}
	return "postgres"
}

// execute sends a command. Quiesce waits for open transactions and gets a
// connection of its own, so that it does not delay status queries.
func (r *runner) execute(record *group.Record, command failover.Command) {
	p, ok := r.poller(record, command.Target())
	if !ok {
		r.groupEvent(record.ID, failover.CommandFailed{Command: command, Err: errors.New("the record does not name the server")})
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, commandTimeout)
	defer cancel()
	c := p.ControlClient()
	if _, waits := command.(failover.Quiesce); waits {
		c = backendserver.NewControlClient(r.dialer, p.server.Address, controlDatabase(record))
		defer c.Close()
	}
	offset, err := send(ctx, c, command)
	if err != nil {
		r.groupEvent(record.ID, failover.CommandFailed{Command: command, Err: err})
		return
	}
	r.groupEvent(record.ID, failover.CommandDone{Command: command, Offset: offset})
}

func send(ctx context.Context, c *backendserver.ControlClient, command failover.Command) (group.Offset, error) {
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
