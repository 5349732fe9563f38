package serve

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"basilmill/core/account"
	"basilmill/core/control"
	"basilmill/core/distribution"
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
	pingAfter = failover.DefaultMinTimeout
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
	local    *backendserver.Local

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
	*backendserver.Poller
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
		go r.local.Lost(a.Group, a.Server, errServerLost)
	}
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
		Poller: backendserver.NewPoller(backendserver.NewControl(r.dialer, server.Address, controlDatabase(record)), pollTimeout),
		server: server,
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

func (r *runner) probe(record *group.Record, a failover.Probe) {
	p, ok := r.poller(record, a.Server)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, a.Timeout)
	defer cancel()
	r.metrics.probes.Inc()
	slow := time.AfterFunc(pingAfter, func() { r.ping(ctx, record.ID, p, a) })
	defer slow.Stop()
	status, _, err := p.Status(ctx)
	var answer *pgconn.PgError
	switch {
	case err == nil:
		r.groupEvent(record.ID, failover.StatusReceived{Status: status, SentAt: a.SentAt})
		return
	case errors.As(err, &answer):
		// The server runs, although it gives no status: it is full or starting.
		r.groupEvent(record.ID, failover.Reached{Server: a.Server, SentAt: a.SentAt, Answered: true})
		return
	}
	refused := errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
	r.groupEvent(record.ID, failover.ProbeFailed{Server: a.Server, SentAt: a.SentAt, Refused: refused})
}

// ping asks a server whose status is late over a connection of its own.
func (r *runner) ping(ctx context.Context, id group.ID, p *serverPoller, a failover.Probe) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	r.metrics.pings.Inc()
	reached := failover.Reached{Server: a.Server, SentAt: time.Now()}
	err := r.dialer.Ping(ctx, p.server.Address, func() { r.groupEvent(id, reached) })
	if err == nil {
		reached.Answered = true
		r.groupEvent(id, reached)
	}
}

func (r *runner) observe(id group.ID, a failover.Observe) {
	to, ok := r.host(a.Host)
	if !ok {
		r.groupEvent(id, failover.ObservationFailed{From: a.Host, Server: a.Server})
		return
	}
	ctx, cancel := context.WithTimeout(r.ctx, failover.DefaultObserveTimeout)
	defer cancel()
	reply, err := r.peers.Observe(ctx, to, peer.Observation{
		Group: id, Server: a.Server, Term: a.Term, Timeout: failover.DefaultObserveTimeout,
	})
	if err != nil {
		r.groupEvent(id, failover.ObservationFailed{From: a.Host, Server: a.Server})
		return
	}
	r.groupEvent(id, failover.ObservationReceived{
		From: to.ID, DataCentre: to.DataCentre, Server: a.Server, Term: a.Term, Reachable: reply.Reachable,
	})
}

func (r *runner) host(id host.ID) (host.Info, bool) {
	for _, h := range r.snapshot().Hosts {
		if h.ID == id {
			return h, true
		}
	}
	return host.Info{}, false
}

// awaitObservation asks the own machine on behalf of another watcher.
func (r *runner) awaitObservation(ctx context.Context, key observation) (reachable bool, err error) {
	answer := make(chan bool, 1)
	r.mu.Lock()
	r.observations[key] = append(r.observations[key], answer)
	r.mu.Unlock()
	r.groupEvent(key.group, failover.ObserveRequested{From: key.from, Server: key.server, Term: key.term})
	select {
	case reachable = <-answer:
		return reachable, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

func (r *runner) answerObservation(id group.ID, a failover.Observation) {
	key := observation{group: id, from: a.To, server: a.Server, term: a.Term}
	r.mu.Lock()
	waiting := r.observations[key]
	delete(r.observations, key)
	r.mu.Unlock()
	for _, answer := range waiting {
		answer <- a.Reachable
	}
}

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
	c := p.Control()
	if _, waits := command.(failover.Quiesce); waits {
		c = backendserver.NewControl(r.dialer, p.server.Address, controlDatabase(record))
		defer c.Close()
	}
	offset, err := send(ctx, c, command)
	if err != nil {
		r.groupEvent(record.ID, failover.CommandFailed{Command: command, Err: err})
		return
	}
	r.groupEvent(record.ID, failover.CommandDone{Command: command, Offset: offset})
}

func send(ctx context.Context, c *backendserver.Control, command failover.Command) (group.Offset, error) {
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

func (r *runner) report(record *group.Record, report failover.Report) {
	id := slog.String("Group", string(record.ID))
	switch a := report.(type) {
	case failover.PrimarySuspected:
		r.metrics.suspicions.Inc()
		r.log.Write(r.ctx, logevent.PrimarySuspected, id, slog.String("Server", string(a.Server)), slog.Int64("Term", int64(a.Term)))
	case failover.SuspicionWithdrawn:
		r.log.Write(r.ctx, logevent.SuspicionWithdrawn, id, slog.String("Server", string(a.Server)), slog.Duration("Duration", a.Duration))
	case failover.ChangeDecided:
		r.log.Write(r.ctx, logevent.ChangeDecided, id, slog.String("Cause", a.Cause), slog.String("Primary", string(a.Record.Primary)),
			slog.String("Successor", string(a.Record.Successor)), slog.Int64("Term", int64(a.Record.Term)))
	case failover.ChangeLost:
		r.log.Write(r.ctx, logevent.ChangeRefused, id, slog.String("ChangeID", string(a.ChangeID)))
	case failover.NoEligibleSuccessor:
		r.log.Write(r.ctx, logevent.NoEligibleSuccessor, id, slog.String("Successor", string(a.Successor)), slog.Int64("Term", int64(a.Term)))
	case failover.ChangeCompleted:
		r.metrics.observeGap(record.ID, a.Gap)
		r.log.Write(r.ctx, logevent.ChangeCompleted, id, slog.String("Primary", string(a.Primary)), slog.Int64("Term", int64(a.Term)),
			slog.Duration("Gap", a.Gap))
	case failover.SuccessorChanged:
		r.log.Write(r.ctx, logevent.SuccessorChange, id, slog.String("Successor", string(a.Successor)), slog.Int64("Generation", int64(a.Generation)))
	case failover.CommandRefused:
		r.log.Write(r.ctx, logevent.CommandFailed, id, slog.String("Server", string(a.Command.Target())), slog.String("Error", a.Err.Error()))
	case failover.PlatformUnavailable:
		r.log.Write(r.ctx, logevent.PlatformUnavailable, id)
	case failover.PlatformAvailable:
		r.log.Write(r.ctx, logevent.PlatformAvailable, id)
	}
}

// Evidence queries run while writes wait for confirmation. A stalled write is
// reported to the machine so that it can change the successor or the primary.
const (
	stallReportAfter    = 300 * time.Millisecond
	stallReportInterval = 300 * time.Millisecond
	// evidenceRetry is the pause after a failed evidence query.
	evidenceRetry = 20 * time.Millisecond
)

// setEvidence starts or stops the evidence queries of a group.
func (r *runner) setEvidence(view *control.GroupView) {
	id := view.Record.ID
	r.mu.Lock()
	defer r.mu.Unlock()
	stop, running := r.evidence[id]
	switch {
	case view.Index >= 0 && !running:
		ctx, cancel := context.WithCancel(r.ctx)
		r.evidence[id] = cancel
		go r.gatherEvidence(ctx, id)
	case view.Index < 0 && running:
		stop()
		delete(r.evidence, id)
	}
}

// gatherEvidence queries the successor of a group back to back while writes
// wait in the group's gate.
func (r *runner) gatherEvidence(ctx context.Context, id group.ID) {
	// Status connections count against the servers' limits, which the new
	// coordinators share.
	defer r.closePollers(id)
	g := r.awaitGroup(ctx, id)
	if g == nil {
		return
	}
	for {
		select {
		case <-ctx.Done():
			// Writes that wait when the host stops coordinating are confirmed.
			r.confirmWaiting(id, g)
			return
		case <-g.Gate.Wake():
			r.confirmWaiting(id, g)
		}
	}
}

// confirmWaiting queries the successor until no write waits.
func (r *runner) confirmWaiting(id group.ID, g *control.Group) {
	var reported time.Time
	for since, waiting := g.Gate.Waiting(); waiting && r.ctx.Err() == nil; since, waiting = g.Gate.Waiting() {
		r.queryEvidence(r.ctx, id, g)
		if time.Since(since) > stallReportAfter && time.Since(reported) > stallReportInterval {
			reported = time.Now()
			r.groupEvent(id, failover.WritesStalled{Position: g.Gate.Highest()})
		}
	}
}

// closePollers closes the status connections to a group's servers, unless the
// host coordinates the group again.
func (r *runner) closePollers(id group.ID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, again := r.evidence[id]; again {
		return
	}
	for key, p := range r.pollers {
		if key.group == id {
			go p.Close()
			delete(r.pollers, key)
		}
	}
}

// awaitGroup waits until the group is in the snapshot; the coordinators of a
// new group are chosen before it is published.
func (r *runner) awaitGroup(ctx context.Context, id group.ID) *control.Group {
	for ctx.Err() == nil {
		if g, ok := r.snapshot().Groups[id]; ok {
			return g
		}
		pause(ctx, evidenceRetry)
	}
	return nil
}

func (r *runner) queryEvidence(ctx context.Context, id group.ID, g *control.Group) {
	record := g.View().Record
	asked := record.Successor
	p, ok := r.poller(record, asked)
	if !ok {
		pause(ctx, evidenceRetry)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, stallReportInterval)
	defer cancel()
	r.metrics.evidenceQueries.Inc()
	status, sentAt, err := p.Status(ctx)
	if err != nil {
		pause(ctx, evidenceRetry)
		return
	}
	g.Gate.Observe(status, sentAt, g.View().Record)
	r.post(control.StatusObserved{Group: id, Status: status, SentAt: sentAt})
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
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
