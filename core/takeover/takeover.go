// Package takeover changes the primary of a group whose servers confirm commits
// among themselves. It owns the order of the steps that keeps every
// acknowledged commit: prove that the primary is lost or has stopped, account
// for every server that may have confirmed a commit, and name the one that is
// furthest.
//
// A commit is acknowledged once one replica has received it. With the primary
// out of reach, all replicas therefore stop receiving before their positions
// are compared, and a replica that does not answer blocks the change. With the
// primary in reach, it is demoted first and its own position says which
// replica is complete.
//
// Each attempt has a number from a conditional update of the group's record in
// the platform's store. The platform refuses orders with lower numbers than it
// has seen, so that an order that is carried out late changes nothing. The record
// also keeps the end of the log that the last primary started from, because a
// server behind it may lack commits acknowledged under earlier primaries, and
// whether an order may be outstanding.
package takeover

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
)

// Epoch is the number of an attempt. It rises with each attempt of a group.
type Epoch int64

// Record is the last attempt for a group, as the store holds it.
type Record struct {
	Epoch  Epoch
	Holder host.ID
	// UpdateID identifies the update, so that its author recognises it when the
	// reply was lost.
	UpdateID string
	// BasePosition is the end of the log of the last server that was named, when it
	// was named. Only servers that hold it are named after that one.
	BasePosition group.Position
	// PromotionPending is set while an order may be outstanding: it was or is about to be
	// sent, and no answer to it is recorded.
	PromotionPending bool
	// Revision is the store's revision of the record; zero if there is none.
	Revision int64
}

// ServerClient sends commands to the servers of a group.
type ServerClient interface {
	// Command runs Status, Suspend, Resume or Demote.
	Command(ctx context.Context, server catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error)
	// IsPrimary reports whether the server proves that it leads.
	IsPrimary(ctx context.Context, server catalog.Server) bool
}

// ServerLister lists the servers of a group from the platform's store.
type ServerLister interface {
	// Servers returns the entries as of a time after the call.
	Servers(ctx context.Context, id group.ID) ([]catalog.Server, error)
}

// RecordStore holds the records in the platform's store.
type RecordStore interface {
	// Load returns the record, zero if there is none.
	Load(ctx context.Context, id group.ID) (Record, error)
	// Store replaces the record of the given revision. It returns ErrConflict
	// when the record has changed.
	Store(ctx context.Context, id group.ID, r Record) (Record, error)
}

// PromotionService orders promotions from the platform.
type PromotionService interface {
	// Promote returns nil when the order was accepted and ErrRefused when it
	// was refused; any other error leaves its execution open.
	Promote(ctx context.Context, id group.ID, server group.ServerID, holder host.ID, epoch Epoch) error
}

// Errors that end an attempt without a change of primary.
var (
	ErrConflict           = errors.New("the record was changed by another host")
	ErrRefused            = errors.New("the platform refused the order")
	ErrPrimaryActive      = errors.New("the primary still leads")
	ErrServerUnresponsive = errors.New("a server that may hold acknowledged commits does not answer")
	ErrLeaseHeld          = errors.New("another host's attempt is too recent")
	ErrNoCandidate        = errors.New("no server can take over")
	ErrSuspensionsRemain  = errors.New("servers were left suspended")
	ErrLogIncomplete      = errors.New("every server in reach may lack acknowledged commits")
)

const (
	// LeaseTTL is the time in which no other host may follow a host's attempt:
	// the platform's 3 s between two holders and the drift of timers.
	LeaseTTL = 3200 * time.Millisecond
	// commandTimeout bounds one command: several round trips between regions.
	commandTimeout = 400 * time.Millisecond
	// statusTime and changeTime bound the repetitions of a status query and of
	// a command that changes a server.
	statusTime = 600 * time.Millisecond
	changeTime = 1500 * time.Millisecond
	// busyPause is the pause before a command is repeated: about one
	// statement's work.
	busyPause = 20 * time.Millisecond
	// progressTime is how long the replicas are watched for progress. Each
	// service of today commits some twenty writes a second.
	progressTime = 300 * time.Millisecond
	// catchUpTime bounds the wait for a replica to reach a demoted primary's
	// position: several times the replication delay of today's deployments.
	catchUpTime = 1200 * time.Millisecond
	// catchUpPoll is the pause between two looks at the replicas.
	catchUpPoll = 50 * time.Millisecond
	// leadTime bounds the wait for a promoted server to lead: several times
	// the 300 to 1,000 ms that a promotion takes.
	leadTime = 4 * time.Second
	leadPoll = 40 * time.Millisecond
	// orderTries bounds the repetitions of an order without an answer.
	orderTries = 4
	// callTimeout bounds one order or list of servers.
	callTimeout = 700 * time.Millisecond
	// recordTimeout bounds one call for the record: several times an answer of
	// the store across regions (45 ms), and a slow store's.
	recordTimeout = 350 * time.Millisecond
	// updateTries bounds the repetitions of an update of the record.
	updateTries = 4
)

// Cause says why a change of primary is attempted.
type Cause int

// Causes of attempts.
const (
	// PrimaryUnresponsive: the primary does not answer.
	PrimaryUnresponsive Cause = iota
	// PrimaryGone: the primary refuses connections or no server says that it leads,
	// so that no progress can be expected.
	PrimaryGone
	// PrimaryLeaving: the primary is about to stop.
	PrimaryLeaving
	// CommitsStalled: the primary answers but commits are not confirmed.
	CommitsStalled
	// ReplicasSuspended: the primary leads, but replicas are suspended since an attempt
	// that was not finished.
	ReplicasSuspended
)

// String returns the name of the cause in logs.
func (c Cause) String() string {
	return [...]string{"lost", "gone", "leaving", "stalled", "suspended"}[c]
}

// Request is what a host knows when it attempts a change.
type Request struct {
	Group group.ID
	Cause Cause
	// Primary is the primary to be replaced. Its ID is empty if unknown.
	Primary catalog.Server
	// Members are all servers of the group, the primary among them.
	Members []catalog.Server
}

// Step is a step of an attempt, for the log.
type Step struct {
	Name   string
	Server group.ServerID
	Epoch  Epoch
	Status exchange.ServerStatus
	Err    error
}

// Runner makes attempts on behalf of a host.
type Runner struct {
	Self         host.ID
	Client       ServerClient
	Records      RecordStore
	ServerLister ServerLister
	Promotions   PromotionService
	// NewUpdateID returns a new id for a record's Attempt.
	NewUpdateID func() string
	// Observe, if set, receives each step.
	Observe func(group.ID, Step)

	// The fields below are used by one attempt at a time.
	seen   Record
	seenAt time.Time
}

// attempt is one attempt under way.
type attempt struct {
	*Runner
	Request
	record    Record
	suspended []catalog.Server
	// outstanding is set while an order without an answer, of this attempt or
	// an earlier one, may be carried out.
	outstanding bool
	// left is set if servers may be left suspended.
	left bool
}

// Run makes one attempt and returns the primary after it.
func (r *Runner) Run(ctx context.Context, s Request) (primary group.ServerID, err error) {
	defer func() { err = eris.Wrapf(err, "change the primary of %s (%s)", s.Group, s.Cause) }()
	a := &attempt{Runner: r, Request: s}
	primary, err = a.run(ctx)
	if a.left {
		err = errors.Join(err, ErrSuspensionsRemain)
	}
	return primary, err
}

func (a *attempt) run(ctx context.Context) (group.ServerID, error) {
	switch a.Cause {
	case PrimaryLeaving, CommitsStalled:
		return a.replaceReachable(ctx)
	case ReplicasSuspended:
		return a.release(ctx)
	default:
		return a.replaceLost(ctx)
	}
}

// ReadRecord reads the group's record, so that the lease of its holder counts from
// now at the latest. It must not run beside an attempt.
func (r *Runner) ReadRecord(ctx context.Context, id group.ID) (err error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	record, err := r.Records.Load(ctx, id)
	if err != nil {
		return eris.Wrapf(err, "look at the record of %s", id)
	}
	r.NoteRecord(record)
	return nil
}

// NoteRecord takes a record that the host saw, so that the lease of its holder
// counts from then.
func (r *Runner) NoteRecord(record Record) {
	if record.Revision > r.seen.Revision {
		r.seen, r.seenAt = record, time.Now()
	}
}

func (a *attempt) others() []catalog.Server {
	return slices.DeleteFunc(slices.Clone(a.Members), func(s catalog.Server) bool { return s.ID == a.Primary.ID })
}

func (a *attempt) report(s Step) {
	if a.Observe != nil {
		a.Observe(a.Group, s)
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
