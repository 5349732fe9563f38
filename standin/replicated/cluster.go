// Package replicated owns a test double for a group of backend servers with
// synchronous replication, where a commit is acknowledged after a replica has
// confirmed it, and for the platform that promotes one of the servers. It
// implements the interfaces of core/link and core/takeover directly, without a
// wire protocol. It uses package time, so that tests can run it under the virtual
// clock of testing/synctest, and records each acknowledged commit that a
// promotion loses.
package replicated

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/distribution"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/takeover"
)

// Group is the id of the only group of a Cluster.
const Group group.ID = "orders"

// Delays and intervals of a Cluster.
const (
	// NetDelay is the one-way delay of every network connection.
	NetDelay = 4 * time.Millisecond
	// ExecutionDelay is the time that a server takes for a read, write or commit.
	ExecutionDelay = 5 * time.Millisecond
	// replicationInterval is the interval at which the replicas copy the log of
	// the primary.
	replicationInterval = 5 * time.Millisecond
	// PromotionDelay is the default time from the acceptance of a promotion by the
	// platform until the server is the primary.
	PromotionDelay = 300 * time.Millisecond
	// minHolderChangeInterval is the minimum time between promotions ordered
	// by two different hosts. An earlier one is a violation. The value is a
	// little shorter than takeover.LeaseTTL.
	minHolderChangeInterval = 3 * time.Second
)

// Commit is a commit that was acknowledged: to a host, or to a caller if the cluster
// judges successes. Index is its position in the log of the primary.
type Commit struct {
	ID    string
	Index int
	At    time.Time
}

// DroppedCommit is a commit that an existing server held when a promotion dropped it,
// whether or not it had been acknowledged.
type DroppedCommit struct {
	ID string
	// Promoted is the server that lacked the commit.
	Promoted group.ServerID
	At       time.Time
}

// serverPair is a pair of servers, in order of their ids.
type serverPair struct{ first, second group.ServerID }

func newServerPair(a, b group.ServerID) serverPair { return serverPair{min(a, b), max(a, b)} }

// Cluster is a simulated group of backend servers together with the platform that
// promotes them and stores the record of the group.
type Cluster struct {
	// ConnectionLimit bounds the connections to each server; 0 means no limit.
	ConnectionLimit int
	// PromotionDelay is the time from the acceptance of a promotion until the server is
	// the primary; 0 selects the default.
	PromotionDelay time.Duration
	// JudgeSuccesses is set if a commit counts as acknowledged once NoteSuccess is called
	// for it. Otherwise it does when the primary has answered the host, which may hold the
	// success back.
	JudgeSuccesses bool

	mu           sync.Mutex
	servers      map[group.ServerID]*Server
	term         group.Term
	acknowledged []Commit
	violations   []string
	executions   []recordedExecution
	dropped      []DroppedCommit
	stopped      chan struct{}
	// changed is closed and replaced when commits may have been confirmed or may no
	// longer be confirmed.
	changed chan struct{}
	// separations counts the faults that separate the servers of a pair.
	separations map[serverPair]int
	silences    []*Silence
	isolations  []*Isolation
	// startedServers counts the servers, so that each gets another address.
	startedServers byte

	fencingEpoch takeover.Epoch
	lastHolder   host.ID
	lastHolderAt time.Time
	promotions   int
	// lostPromotionDelay is not 0 while the platform loses the answers to
	// promotions. A promotion is then carried out after this delay.
	lostPromotionDelay time.Duration
	latePromotions     lateFaults
	lateCommands       lateFaults
	refusedConnections int

	record       takeover.Record
	savedServers catalog.SavedServers
	// storeVersion is the version of the last change of the store.
	storeVersion      distribution.Version
	storeUnavailable  bool
	storeLosesAnswers bool
	// storeUpdateDelay is not 0 while the store leaves updates unanswered. An update is
	// then carried out after this delay.
	storeUpdateDelay time.Duration
}

// Execution is the record of one read, write or commit that a server ran for a
// caller.
type Execution struct {
	ID     string
	Server group.ServerID
	Digest string
	// Log holds the ids of the commits that the server had applied at the time.
	Log []string
	// Values are the session values that were set on the connection.
	Values map[string]string
	// Text is the text of the prepared statement, or empty if the statement was
	// not prepared.
	Text string
	// Connection is the number of the connection, counted for each server.
	Connection int
	// InTransaction reports whether the statement ran inside a transaction.
	InTransaction bool
	At            time.Time
}

// recordedExecution is an Execution with the log from which its Log is made.
type recordedExecution struct {
	Execution
	log []logEntry
}

// New returns a cluster with a primary "a" and replicas "b" and "c", each in
// its own data centre. The caller must call Stop when done.
func New() *Cluster {
	c := &Cluster{servers: map[group.ServerID]*Server{}, separations: map[serverPair]int{}, term: 1, stopped: make(chan struct{}), changed: make(chan struct{})}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range []group.ServerID{"a", "b", "c"} {
		c.add(id)
	}
	c.servers["a"].primary = true
	go c.replicate()
	return c
}

// notify wakes the connections that wait for the confirmation of a commit. The caller
// must hold the mutex.
func (c *Cluster) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// add starts a replica without a log. The caller must hold the mutex.
func (c *Cluster) add(id group.ServerID) *Server {
	c.startedServers++
	s := &Server{
		cluster: c, id: id, term: c.term, up: true,
		catalogEntry: catalog.Server{
			ID: id, Group: Group, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, c.startedServers}), 5432),
			DataCentre: host.DataCentre("dc-" + string(id)),
		},
	}
	c.servers[id] = s
	return s
}

// StartServer starts another replica, which the platform's store lists after the delay. It
// receives and confirms commits before that.
func (c *Cluster) StartServer(id group.ServerID, listingDelay time.Duration) *Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.add(id)
	s.unlisted = true
	time.AfterFunc(listingDelay, func() { s.SetUnlisted(false) })
	return s
}

// SeparateServers cuts two servers off from each other, but not from the other servers and
// the hosts, until the returned function is called.
func (c *Cluster) SeparateServers(a, b group.ServerID) (reconnect func()) {
	pair := newServerPair(a, b)
	separate := func(change int) {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.separations[pair] += change
	}
	separate(1)
	return func() { separate(-1) }
}

// isStopped reports whether Stop has been called.
func (c *Cluster) isStopped() bool {
	select {
	case <-c.stopped:
		return true
	default:
		return false
	}
}

// Stop ends replication and closes all connections. Later ones are refused.
func (c *Cluster) Stop() {
	close(c.stopped)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		s.closeStreams()
	}
}

// Server returns a server, so that a test can inject faults into it.
func (c *Cluster) Server(id group.ServerID) *Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servers[id]
}

// Servers implements takeover.ServerLister.
func (c *Cluster) Servers(ctx context.Context, _ group.ID) ([]catalog.Server, error) {
	if err := sleep(ctx, NetDelay); err != nil {
		return nil, err
	}
	c.mu.Lock()
	unavailable := c.storeUnavailable
	c.mu.Unlock()
	if unavailable {
		return nil, errNoAnswer
	}
	return c.ServerEntries(), nil
}

// Primary returns the id of the primary, or an empty id if there is none.
func (c *Cluster) Primary() group.ServerID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.primary(); p != nil {
		return p.id
	}
	return ""
}

// primary returns the primary, or nil. The caller must hold the mutex.
func (c *Cluster) primary() *Server {
	for _, s := range c.servers {
		if s.primary {
			return s
		}
	}
	return nil
}

// Violations returns descriptions of the violated guarantees seen so far: lost
// acknowledged commits, and promotions ordered by two hosts in conflict.
func (c *Cluster) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// DroppedCommits returns the commits that promotions have dropped from the logs of the
// servers that existed then.
func (c *Cluster) DroppedCommits() []DroppedCommit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.dropped)
}

// Acknowledged returns all acknowledged commits.
func (c *Cluster) Acknowledged() []Commit {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.acknowledged)
}

// Executions returns the statements that servers ran for callers, in order.
func (c *Cluster) Executions() []Execution {
	c.mu.Lock()
	defer c.mu.Unlock()
	executions := make([]Execution, 0, len(c.executions))
	for _, r := range c.executions {
		e := r.Execution
		for _, entry := range r.log {
			e.Log = append(e.Log, entry.id)
		}
		executions = append(executions, e)
	}
	return executions
}

// ExecutionCounts returns how often servers ran each statement of callers.
func (c *Cluster) ExecutionCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for _, e := range c.executions {
		counts[e.ID]++
	}
	return counts
}

// Promotions returns the number of promotions that changed the primary.
func (c *Cluster) Promotions() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.promotions
}

// Record returns the group's record in the store.
func (c *Cluster) Record() takeover.Record {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.record
}

// LastHolder returns the host that last ordered a promotion.
func (c *Cluster) LastHolder() host.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastHolder
}

// RefusedConnections returns the number of connections that servers refused over
// ConnectionLimit.
func (c *Cluster) RefusedConnections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.refusedConnections
}

// NoteSuccess notes that a caller was told that its write or commit succeeded.
func (c *Cluster) NoteSuccess(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, server := range c.servers {
		index := slices.IndexFunc(server.log, func(e logEntry) bool { return e.id == id })
		if index >= 0 && (server.primary || c.primary() == nil) {
			c.acknowledged = append(c.acknowledged, Commit{ID: id, Index: index, At: time.Now()})
			return
		}
	}
	c.recordViolation("a caller was told that %s succeeded, and the primary lacks it", id)
}

// recordViolation records a violated guarantee. The caller must hold the mutex.
func (c *Cluster) recordViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// LosePromotionAnswers makes the platform leave orders of promotions unanswered
// and carry them out after the delay. A delay of 0 ends the fault.
func (c *Cluster) LosePromotionAnswers(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostPromotionDelay = delay
}

// SetStoreFaults makes the platform's store unavailable, or makes it lose the
// answers to updates that it has carried out.
func (c *Cluster) SetStoreFaults(unavailable, losesAnswers bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeUnavailable, c.storeLosesAnswers = unavailable, losesAnswers
}

// DelayStoreUpdates makes the platform's store leave updates unanswered and carry them out
// after the delay, if their condition still holds. A delay of 0 ends the fault.
func (c *Cluster) DelayStoreUpdates(delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.storeUpdateDelay = delay
}

// StoreCopy is the state of the platform's store at one moment.
type StoreCopy struct {
	record       takeover.Record
	savedServers catalog.SavedServers
	version      distribution.Version
}

// CopyStore returns a copy of the store for RestoreStore.
func (c *Cluster) CopyStore() StoreCopy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return StoreCopy{c.record, c.savedServers, c.storeVersion}
}

// RestoreStore replaces the store by an earlier copy of it and starts a new era. Changes
// made since are lost, and their revisions are given out again. Entries of servers are
// not lost, because the servers write them again.
func (c *Cluster) RestoreStore(from StoreCopy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	era := c.storeVersion.Era() + 1
	c.record, c.storeVersion = from.record, inEra(from.version, era)
	if c.record.Version != 0 {
		c.record.Version = inEra(c.record.Version, era)
	}
	c.savedServers = from.savedServers
	if c.savedServers.Version != 0 {
		c.savedServers.Version = inEra(c.savedServers.Version, era)
	}
}

// inEra returns the version of the same revision in another era.
func inEra(v distribution.Version, era distribution.Era) distribution.Version {
	version, err := distribution.NewVersion(era, v.Revision())
	if err != nil {
		panic(err)
	}
	return version
}

// Era returns the era of the store.
func (c *Cluster) Era() distribution.Era {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.storeVersion.Era()
}

// errNoAnswer is the error of a call to the platform that got no answer.
var errNoAnswer = errors.New("no answer")

// errOutdatedServers is the error of an update of saved servers that another host has
// replaced.
var errOutdatedServers = errors.New("the saved servers have another version")

// Commit commits a write on the primary, as a host does that reaches it although it is
// hidden from the others. It returns when the commit is acknowledged, and an error if it
// never will be.
func (c *Cluster) Commit(id string) error {
	c.mu.Lock()
	primary := c.primary()
	if primary == nil || !primary.up || primary.unreachable {
		c.mu.Unlock()
		return errNoAnswer
	}
	st := &stream{server: primary, closed: make(chan struct{})}
	st.append(id, exchange.Answer{})
	index := len(primary.log) - 1
	c.mu.Unlock()
	return st.awaitConfirmation(id, index)
}

// Promote implements takeover.PromotionService.
func (c *Cluster) Promote(ctx context.Context, _ group.ID, id group.ServerID, holder host.ID, epoch takeover.Epoch) error {
	if err := sleep(ctx, NetDelay); err != nil {
		return err
	}
	if delay, late := c.promotionDelay(); late {
		time.AfterFunc(delay, func() { _ = c.orderPromotion(id, holder, epoch) })
		<-ctx.Done()
		return errNoAnswer
	}
	if err := c.orderPromotion(id, holder, epoch); err != nil {
		return err
	}
	return sleep(ctx, NetDelay)
}

// noServer is an id that no server has.
const noServer group.ServerID = "none"

// Fence implements takeover.PromotionService.
func (c *Cluster) Fence(ctx context.Context, id group.ID, holder host.ID, epoch takeover.Epoch) error {
	err := c.Promote(ctx, id, noServer, holder, epoch)
	if errors.Is(err, takeover.ErrRefused) {
		return nil
	}
	return err
}

// orderPromotion checks an order of a host to promote a server and schedules the
// promotion.
func (c *Cluster) orderPromotion(id group.ServerID, holder host.ID, epoch takeover.Epoch) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if epoch < c.fencingEpoch {
		return takeover.ErrRefused
	}
	if epoch == c.fencingEpoch && c.lastHolder != "" && c.lastHolder != holder {
		c.recordViolation("hosts %s and %s ordered promotions with the same epoch %d", c.lastHolder, holder, epoch)
	}
	if c.lastHolder != "" && c.lastHolder != holder && time.Since(c.lastHolderAt) < minHolderChangeInterval {
		c.recordViolation("host %s ordered a promotion only %v after host %s", holder, time.Since(c.lastHolderAt), c.lastHolder)
	}
	c.fencingEpoch, c.lastHolder, c.lastHolderAt = epoch, holder, time.Now()
	s := c.servers[id]
	if s == nil || !s.up {
		return takeover.ErrRefused
	}
	if s.primary {
		return nil
	}
	boot := s.catalogEntry.BootID
	time.AfterFunc(cmp.Or(c.PromotionDelay, PromotionDelay), func() { c.promote(s, boot) })
	return nil
}

// promote makes the server the primary of the next term. Commits that the server
// has not received are dropped from all servers. Dropping an acknowledged one is
// a violation. Suspensions for a term above the new one remain. The server must not have
// lost its log since the order, in the given boot, because no order can prevent that.
func (c *Cluster) promote(s *Server, boot int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.primary || !s.up || s.catalogEntry.BootID != boot {
		return
	}
	for _, commit := range c.acknowledged {
		if commit.Index >= len(s.log) || s.log[commit.Index].id != commit.ID {
			c.recordViolation("promotion of %s loses the acknowledged commit %s", s.id, commit.ID)
		}
	}
	c.noteDroppedCommits(s)
	c.promotions++
	c.term++
	for _, other := range c.servers {
		other.primary = false
		if other.suspendedTerm <= c.term {
			other.suspendedTerm = 0
		}
		if len(other.log) > len(s.log) {
			other.log = slices.Clone(other.log[:len(s.log)])
			other.appliedCount = min(other.appliedCount, len(other.log))
		}
	}
	s.primary = true
	s.term = c.term
	s.suspendedTerm = 0
	s.appliedCount = len(s.log)
	c.notify()
}

// noteDroppedCommits notes the commits that the promotion of a server drops from the logs
// of the others. The caller must hold the mutex.
func (c *Cluster) noteDroppedCommits(promoted *Server) {
	longest := promoted.log
	for _, s := range c.servers {
		if len(s.log) > len(longest) {
			longest = s.log
		}
	}
	for _, e := range longest[len(promoted.log):] {
		c.dropped = append(c.dropped, DroppedCommit{ID: e.id, Promoted: promoted.id, At: time.Now()})
	}
}

// Load implements takeover.RecordStore.
func (c *Cluster) Load(ctx context.Context, _ group.ID) (takeover.Record, error) {
	if err := sleep(ctx, NetDelay); err != nil {
		return takeover.Record{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeUnavailable {
		return takeover.Record{}, errNoAnswer
	}
	return c.record, nil
}

// LoadServers implements catalog.SavedServerStore.
func (c *Cluster) LoadServers(ctx context.Context) (catalog.SavedServers, error) {
	if err := sleep(ctx, NetDelay); err != nil {
		return catalog.SavedServers{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeUnavailable {
		return catalog.SavedServers{}, errNoAnswer
	}
	return c.savedServers, nil
}

// SaveServers implements catalog.SavedServerStore.
func (c *Cluster) SaveServers(ctx context.Context, servers catalog.SavedServers) error {
	if err := sleep(ctx, NetDelay); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeUnavailable {
		return errNoAnswer
	}
	if servers.Version != c.savedServers.Version {
		return errOutdatedServers
	}
	c.storeVersion++
	servers.Version = c.storeVersion
	c.savedServers = servers
	return nil
}

// LoadStale implements takeover.RecordStore.
func (c *Cluster) LoadStale(ctx context.Context, id group.ID) (takeover.Record, error) {
	return c.Load(ctx, id)
}

// Store implements takeover.RecordStore.
func (c *Cluster) Store(ctx context.Context, _ group.ID, r takeover.Record) (takeover.Record, error) {
	if err := sleep(ctx, NetDelay); err != nil {
		return takeover.Record{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeUnavailable {
		return takeover.Record{}, errNoAnswer
	}
	if c.storeUpdateDelay > 0 {
		time.AfterFunc(c.storeUpdateDelay, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			_, _ = c.updateRecord(r)
		})
		return takeover.Record{}, errNoAnswer
	}
	stored, err := c.updateRecord(r)
	if err == nil && c.storeLosesAnswers {
		return takeover.Record{}, errNoAnswer
	}
	return stored, err
}

// updateRecord replaces the record if its version is still that of the update. The caller
// must hold the mutex.
func (c *Cluster) updateRecord(r takeover.Record) (takeover.Record, error) {
	if r.Version != c.record.Version {
		return takeover.Record{}, takeover.ErrConflict
	}
	c.storeVersion++
	r.Version = c.storeVersion
	c.record = r
	return r, nil
}

// sleep waits for a duration or until ctx is done.
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

// PrimaryLog returns the ids of the commits in the primary's log.
func (c *Cluster) PrimaryLog() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	if p := c.primary(); p != nil {
		for _, e := range p.log {
			ids = append(ids, e.id)
		}
	}
	return ids
}
