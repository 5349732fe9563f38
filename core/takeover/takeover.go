// Package takeover changes the primary of a group of backend servers that
// replicate synchronously. It owns the order of the steps that preserves every
// acknowledged commit: prove that the primary is unreachable or has stopped, query
// every server that may have confirmed a commit, and promote the one with the
// highest log position.
//
// A commit is acknowledged once one replica has received it. If the primary is
// unreachable, all replicas therefore stop receiving before their positions are
// compared, and a replica that does not answer blocks the change. If the primary
// is reachable, it is demoted first, and a replica that has reached its position
// holds its whole log.
//
// Each attempt has epochs, numbers that it claims by a conditional update of the
// group's record in the platform's store. The platform refuses a promotion with a
// lower epoch than it has seen. The record also holds the end of the log that the
// last primary started from, because a server that has not reached it may lack
// commits acknowledged under earlier primaries, and whether a promotion may be
// pending: ordered from the platform without a recorded answer.
//
// A claim does not reach the platform. An order without an answer may be carried
// out until the platform has seen a higher epoch, and makes its server the primary,
// whose commits are then acknowledged. At most one server may therefore have an
// order that can still take effect: an attempt that finds a promotion pending either
// orders the same server again or fences the orders of earlier epochs before it stops
// the primary or orders another server.
//
// A suspension ends only by a promotion, which an epoch fences, or the restart of the server.
// An attempt that is given up leaves the servers suspended. A command that ended this could
// be delivered during a later attempt.
package takeover

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/distribution"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
)

// Record describes the last attempt to change the primary of a group. It is kept
// in the platform's store. Holder is the host that made the attempt.
type Record struct {
	// Epoch is the last epoch that the attempt has claimed.
	Epoch  Epoch
	Holder host.ID
	// UpdateID identifies the update that wrote the record, so that a host
	// whose answer was lost recognises its own update.
	UpdateID string
	// BasePosition is the end of the log of the last server whose promotion the platform
	// accepted, as of the order. Only servers that have reached it may be promoted
	// later.
	BasePosition group.Position
	// PromotionPending is set while a promotion may be pending: the order for
	// it was sent or is about to be, and no answer is recorded.
	PromotionPending bool
	// Candidate is the server whose promotion was ordered last, and CandidatePosition the
	// end of its log then. Candidate is empty if the store may have lost it.
	Candidate         group.ServerID
	CandidatePosition group.Position
	// CandidateTerm is the lowest term that Candidate leads if its promotion takes effect,
	// and a term that a server has led unless PromotionPending is set.
	CandidateTerm group.Term
	// Ended is set once the attempt has ended, so that it orders no further promotion and
	// none that it has ordered is pending.
	Ended bool
	// Updates counts the updates of the record, so that a host can tell whether the
	// store has lost some of them.
	Updates int64
	// Version is the store's version of the record; zero if the record does not
	// exist.
	Version distribution.Version
}

// Base returns the position that a server must have reached to be promoted: that of the last
// promotion, or of the one that is pending.
func (r Record) Base() group.Position {
	if r.PromotionPending && r.CandidatePosition.Compare(r.BasePosition) > 0 {
		return r.CandidatePosition
	}
	return r.BasePosition
}

// ServerClient sends commands to backend servers.
type ServerClient interface {
	// Command runs Status, Suspend or Demote.
	Command(ctx context.Context, server catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error)
	// IsPrimary reports whether a probe proves that the server is the primary.
	IsPrimary(ctx context.Context, server catalog.Server) bool
}

// ServerLister lists the servers of a group from the platform's store.
type ServerLister interface {
	// Servers returns the servers that have an entry at a time not before the
	// call.
	Servers(ctx context.Context, id group.ID) ([]catalog.Server, error)
}

// RecordStore reads and writes the records in the platform's store.
type RecordStore interface {
	// Load returns the record of a group, the zero record if there is none.
	Load(ctx context.Context, id group.ID) (Record, error)
	// LoadStale returns the record as of some seconds ago at most. It costs a
	// fraction of Load.
	LoadStale(ctx context.Context, id group.ID) (Record, error)
	// Store replaces the record if its version is still r.Version. Otherwise
	// it returns ErrConflict.
	Store(ctx context.Context, id group.ID, r Record) (Record, error)
}

// PromotionService orders the promotion of servers from the platform.
type PromotionService interface {
	// Promote returns nil if the platform accepted the order and ErrRefused if
	// it refused it. After any other error the platform may still carry it out.
	Promote(ctx context.Context, id group.ID, server group.ServerID, holder host.ID, epoch Epoch) error
	// Fence makes the platform refuse orders of lower epochs for the group, and changes
	// nothing else, whenever it is carried out. It returns nil once the platform has
	// answered, so that it has seen this epoch or a higher one.
	Fence(ctx context.Context, id group.ID, holder host.ID, epoch Epoch) error
}

// Hosts are the entry hosts that give successes.
type Hosts interface {
	// Exclude makes every host count the servers not any more in terms up to the given one,
	// and returns the highest position of a commit whose success a host has given. It fails
	// unless all hosts that the store lists have answered.
	Exclude(ctx context.Context, id group.ID, servers []group.ServerID, term group.Term) (Successes, error)
}

// Successes is what hosts know of the successes that they have given.
type Successes struct {
	// Highest is the highest position of a commit whose success was given.
	Highest group.Position
	// Since is for how long all hosts have run, at least. They know nothing of successes of
	// processes before.
	Since time.Duration
}

// Errors that end an attempt without a change of primary.
var (
	ErrConflict           = errors.New("the record was changed by another host")
	ErrRefused            = errors.New("the platform refused the order")
	ErrPrimaryActive      = errors.New("the primary is still active")
	ErrServerUnresponsive = errors.New("a server that may hold acknowledged commits does not answer")
	ErrLeaseHeld          = errors.New("the lease of another host has not expired")
	ErrNoCandidate        = errors.New("no server can take over")
	ErrSuspensionsRemain  = errors.New("servers were left suspended")
	ErrLogIncomplete      = errors.New("every reachable server may lack acknowledged commits")
)

const (
	// LeaseTTL is how long after one host's attempt no other host may make one:
	// the 3 s that the platform demands between two holders, plus timer drift.
	LeaseTTL = 3200 * time.Millisecond
	// leaseRenewInterval is the age of the last update of the record from which on the
	// holder renews its lease before it calls the platform again.
	leaseRenewInterval = time.Second
	// commandTimeout bounds one command: several round trips between regions.
	commandTimeout = 400 * time.Millisecond
	// statusRetryTimeout and changeRetryTimeout bound a status query and a
	// command that changes a server, each with its repetitions.
	statusRetryTimeout = 600 * time.Millisecond
	changeRetryTimeout = 1500 * time.Millisecond
	// commandBackoff is the pause before a command is repeated: about the
	// execution time of one statement.
	commandBackoff = 20 * time.Millisecond
	// progressCheckDelay is the time between the two status queries that show
	// whether replicas still receive writes. Each service commits about twenty
	// writes a second at present.
	progressCheckDelay = 300 * time.Millisecond
	// catchUpTimeout bounds the wait for a replica to reach a demoted primary's
	// position: several times the replication lag of present deployments.
	catchUpTimeout = 1200 * time.Millisecond
	// catchUpPollInterval is the pause between two status queries during that
	// wait.
	catchUpPollInterval = 50 * time.Millisecond
	// relistInterval is the time between two lists of the servers during that wait.
	// A list costs a call of the store, and a server registers some hundred
	// milliseconds after its start.
	relistInterval = 300 * time.Millisecond
	// promotionTimeout bounds the wait until a server that was ordered to be
	// promoted is the primary: several times the 300 to 1,000 ms that a
	// promotion takes.
	promotionTimeout = 4 * time.Second
	// promotionDelay is how long after the platform has accepted an order the server may
	// take to lead: 300 to 1,000 ms at present.
	promotionDelay = 2 * time.Second
	// promotionPollInterval is the pause between two probes during that wait.
	promotionPollInterval = 40 * time.Millisecond
	// promotionCallTimeout bounds one order of a promotion: several times the 45 ms that
	// an answer takes across regions. A later one still takes effect.
	promotionCallTimeout = 250 * time.Millisecond
	// maxPromotionTries bounds how often a promotion is ordered while no answer
	// comes.
	maxPromotionTries = 10
	// fenceTimeout bounds the wait for an answer to a fence, which the platform may give
	// seconds late, and fenceInterval is the time after which the call is repeated beside
	// those without an answer.
	fenceTimeout  = 6 * time.Second
	fenceInterval = 150 * time.Millisecond
	// platformCallTimeout bounds one list of the servers together with the status
	// queries to those that it adds.
	platformCallTimeout = 700 * time.Millisecond
	// recordTimeout bounds one call that reads or writes the record: several
	// times the 45 ms that the store takes across regions, so that it also
	// suffices while the store is slow.
	recordTimeout = 350 * time.Millisecond
	// maxUpdateTries bounds how often an update of the record is tried.
	maxUpdateTries = 4
)

// Cause is the reason for which a change of primary is attempted.
type Cause int

// Causes of attempts.
const (
	// PrimaryUnresponsive: the primary does not answer.
	PrimaryUnresponsive Cause = iota
	// PrimaryGone: the primary refuses connections, or no server claims to be
	// the primary. No replica can receive anything, so progress is not
	// checked.
	PrimaryGone
	// PrimaryLeaving: the primary is about to shut down.
	PrimaryLeaving
	// CommitsStalled: the primary answers, but its commits are not confirmed.
	CommitsStalled
	// ReplicasSuspended: the primary is active, but an unfinished attempt left
	// replicas suspended.
	ReplicasSuspended
)

// String returns the name of the cause for logs.
func (c Cause) String() string {
	return [...]string{"lost", "gone", "leaving", "stalled", "suspended"}[c]
}

// Request describes a change of primary to be attempted, as of the host's
// knowledge.
type Request struct {
	Group group.ID
	Cause Cause
	// Primary is the primary to be replaced. Its ID is empty if it is unknown.
	Primary catalog.Server
	// Term is the highest term in which this host has known a primary.
	Term group.Term
	// Members are all known servers of the group, including the primary.
	Members []catalog.Server
	// Departed are servers whose entries have gone from the store, so that they are no
	// members, but that may still confirm commits of hosts which have not learnt so. A
	// change that does not rest on the primary's own log asks them too.
	Departed []DepartedServer
	// FormerLists are lists of the group's servers that have ended since the term of the
	// primary began. A host that has not learnt of a later one gives successes once all
	// replicas of its list have a commit. A change that does not rest on the primary's own log
	// asks one server of each list at least.
	FormerLists []FormerList
	// DeparturePosition covers every commit that was acknowledged before a server
	// last left the group; zero if none has left. Such a commit may be on the
	// primary alone, because the server that confirmed it is gone.
	DeparturePosition group.Position
	// DepartureUnproven is set while no position has been proven since a server
	// left the group.
	DepartureUnproven bool
	// ReplicaDeparted is set while no position has been proven since a replica was seen
	// to leave the group, and the primary is not known to have stopped. The replica may
	// have confirmed commits alone.
	ReplicaDeparted bool
	// Proven covers every commit that was acknowledged more than ProvenAge before the call of
	// it; zero if nothing is known. The age includes the time the machine is suspended, in which
	// other hosts may have started.
	Proven    group.Position
	ProvenAge func() time.Duration
	// LastCommitAt, if set, returns when a commit was last acknowledged to this host.
	LastCommitAt func() time.Time
}

// DepartedServer is a server whose entry has gone.
type DepartedServer struct {
	catalog.Server
	// MayHaveConfirmed is set while the primary is waited for if the process of the server
	// has ended: the server may have confirmed commits alone.
	MayHaveConfirmed bool
	// Lost is set once the server has not been listed for so long that an answer is no
	// longer waited for.
	Lost bool
}

// FormerList is a list of the group's servers that has ended.
type FormerList struct {
	Servers []catalog.Server
	// MayHaveConfirmed is set while the primary is waited for if the processes of all
	// replicas have ended: they may have confirmed commits.
	MayHaveConfirmed bool
}

// Step is a completed or failed step of an attempt, for the log.
type Step struct {
	Name string
	// Cause is the cause of the attempt.
	Cause  Cause
	Server group.ServerID
	Epoch  Epoch
	Status exchange.ServerStatus
	// Pending is the server whose promotion may be pending, as of the step.
	Pending group.ServerID
	// Members are the servers that the attempt knows of, as of the step.
	Members []group.ServerID
	Err     error
}

// Runner makes attempts to change the primary of one group on behalf of a host.
// Self is that host.
type Runner struct {
	Self   host.ID
	Client ServerClient
	// Direct, if set, is the client for departed servers: the hosts through which Client
	// may reach a server don't know them.
	Direct       ServerClient
	Records      RecordStore
	ServerLister ServerLister
	Promotions   PromotionService
	// Hosts, if set, are asked for their successes before a departed server that is silent is
	// waited for.
	Hosts Hosts
	// NewUpdateID returns a new unique Record.UpdateID.
	NewUpdateID func() string
	// Eras, if set, tracks the era of the store that holds the records.
	Eras *distribution.Eras
	// Observe, if set, is called with each step.
	Observe func(group.ID, Step)

	// lastRecord is the newest record that this host has seen, lastRecordAt is
	// when it first saw it. Only one attempt at a time uses them.
	lastRecord   Record
	lastRecordAt time.Time
	// known is what this host knows of the record, also if the store has lost it.
	known    Record
	received receivedPosition
}

// attempt is the state of one attempt in progress.
type attempt struct {
	*Runner
	Request
	record           Record
	suspendedServers []catalog.Server
	// departed are the departed servers that are to be asked.
	departed []catalog.Server
	// silent are the departed servers that do not answer and that the attempt goes on without,
	// because the hosts are asked for their successes.
	silent []group.ServerID
	// listed are the servers that the store listed last.
	listed map[group.ServerID]bool
	// calls counts the epochs that the attempt has used for calls to the platform.
	calls Epoch
	// fenced is set while the platform is known to refuse all calls of lower epochs that
	// got no answer.
	fenced bool
	// promotionPending is set while a promotion without an answer, ordered by
	// this attempt or an earlier one, may still be carried out.
	promotionPending bool
	// promotionOrdered is set while a promotion that this attempt ordered was not refused.
	promotionOrdered bool
	// renewedAt is when the last update of the record was about to be sent.
	renewedAt time.Time
	// nextTerm is the lowest term that the next primary leads, and suspendTerm the one for
	// which servers are suspended.
	nextTerm, suspendTerm group.Term
	// longestSuspension is the highest term for which a server may be suspended, as far as
	// the attempt has seen.
	longestSuspension group.Term
	// claimedBase is the base position of the record that was claimed.
	claimedBase group.Position
	// requiredPosition is the lowest position that a server must have reached to be
	// promoted.
	requiredPosition group.Position
	// suspensionsRemain is set if the attempt may leave servers suspended.
	suspensionsRemain bool
}

// Run makes one attempt and returns the primary after it. The error wraps one of
// the package's errors if the attempt was given up for that reason.
func (r *Runner) Run(ctx context.Context, request Request) (primary group.ServerID, err error) {
	defer func() { err = eris.Wrapf(err, "change the primary of %s (%s)", request.Group, request.Cause) }()
	a := &attempt{Runner: r, Request: request}
	primary, err = a.run(ctx)
	if err != nil {
		a.leaveSuspended()
		a.recordGivenUp(ctx)
	}
	if a.suspensionsRemain {
		err = errors.Join(err, ErrSuspensionsRemain)
	}
	return primary, err
}

func (a *attempt) run(ctx context.Context) (group.ServerID, error) {
	switch a.Cause {
	case PrimaryLeaving, CommitsStalled:
		return a.replaceReachable(ctx)
	case ReplicasSuspended:
		return a.endLeftoverSuspensions(ctx)
	default:
		return a.replaceUnreachable(ctx)
	}
}

// ReadRecord reads the group's record, so that the lease of its holder counts
// from now at the latest, unless the store returns an older record. If the store has
// lost updates of the record that this host knows, it writes the record again. It must
// not run at the same time as an attempt.
func (r *Runner) ReadRecord(ctx context.Context, id group.ID) (err error) {
	defer func() { err = eris.Wrapf(err, "read the record of %s", id) }()
	record, err := r.loadRecord(ctx, id, r.Records.LoadStale)
	if err != nil || !r.hasLost(record) {
		return err
	}
	// The record may also be an old one.
	record, err = r.loadRecord(ctx, id, r.Records.Load)
	if err != nil || !r.hasLost(record) {
		return err
	}
	return r.writeAgain(ctx, id, record)
}

// loadRecord loads and notes the record of a group.
func (r *Runner) loadRecord(ctx context.Context, id group.ID, load func(context.Context, group.ID) (Record, error)) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	record, err := load(ctx, id)
	if err != nil {
		return Record{}, err
	}
	r.NoteRecord(record)
	return record, nil
}

// NoteRecord notes a record that the host has read. The lease of its holder
// counts from the first call with that version.
func (r *Runner) NoteRecord(record Record) {
	if record.Version > r.lastRecord.Version {
		r.lastRecord, r.lastRecordAt = record, time.Now()
	}
	r.known = newer(r.known, record)
}

// otherMembers returns the members except the primary.
func (a *attempt) otherMembers() []catalog.Server {
	return slices.DeleteFunc(slices.Clone(a.Members), func(s catalog.Server) bool { return s.ID == a.Primary.ID })
}

func (a *attempt) reportStep(s Step) {
	s.Cause = a.Cause
	if a.promotionPending {
		s.Pending = a.record.Candidate
	}
	for _, m := range slices.Concat(a.Members, a.departed) {
		s.Members = append(s.Members, m.ID)
	}
	if a.Observe != nil {
		a.Observe(a.Group, s)
	}
}

// sleep waits for a time. It returns the error of ctx if that ends first.
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
