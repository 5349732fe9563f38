package proxy

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"basilmill/core/ack"
	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
)

const (
	// receiptQueryTimeout bounds one status query for a receipt: several round trips
	// between regions.
	receiptQueryTimeout = 300 * time.Millisecond
	// receiptQueryStagger is the time after which the next replica is queried too, while
	// the one before has not answered: two round trips between regions.
	receiptQueryStagger = 40 * time.Millisecond
	// receiptQueryBackoff is the pause after queries that found no replica with the
	// commit. It doubles up to maxReceiptQueryBackoff.
	receiptQueryBackoff    = 10 * time.Millisecond
	maxReceiptQueryBackoff = 160 * time.Millisecond
	// behindBackoff is how long a replica that was behind is queried after the others:
	// the time after which a replica that lags or is cut off is tried first again.
	behindBackoff = time.Second
	// inspectionDelay is how long the replicas are queried before the store is asked. It
	// exceeds the time in which the witnesses of a group become known.
	inspectionDelay = 250 * time.Millisecond
	// inspectionTimeout bounds a list of the servers and a read of the record together.
	inspectionTimeout = 700 * time.Millisecond
	// inspectionInterval is the least time between two inspections of a group by this host.
	// Each makes two calls of the store.
	inspectionInterval = 500 * time.Millisecond
)

// confirmer holds back the success of the commits of one group until a witness is known to
// have received them (ack.Receipts). While commits wait, it queries the replicas.
type confirmer struct {
	proxy    *Proxy
	group    group.ID
	receipts ack.Receipts
	listed   listed

	mu sync.Mutex
	// waiting counts the commits that wait; highest is the highest one.
	waiting  int
	highest  ack.Commit
	querying bool
	// behindUntil is until when a replica is queried after the others, because it had not
	// received a commit that was acknowledged.
	behindUntil map[group.ServerID]time.Time
	// queried are the replicas whose answer to a query is awaited.
	queried        map[group.ServerID]bool
	inspecting     bool
	nextInspection time.Time
}

// await waits until a witness has received the commit.
func (c *confirmer) await(ctx context.Context, commit ack.Commit) error {
	c.note(commit)
	c.updateListed()
	c.addWaiting(1)
	defer c.addWaiting(-1)
	return c.receipts.Await(ctx, commit, c.request)
}

// updateListed notes the term of the primary and the servers that are listed at present, and
// returns these.
func (c *confirmer) updateListed() []catalog.Server {
	servers := c.listed.all()
	entries := make([]ack.Listed, 0, len(servers))
	for _, s := range servers {
		at, besideView := c.listed.at(s)
		entries = append(entries, ack.Listed{ID: s.ID, BootID: s.BootID, ListedAt: c.proxy.at(at), OtherList: besideView})
	}
	if monitor := c.proxy.config.Monitor(c.group); monitor != nil {
		if snapshot := monitor.Snapshot(); snapshot.Term() > 0 {
			c.receipts.NoteTerm(snapshot.Term(), c.proxy.at(snapshot.TermKnownAt))
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receipts.SetListed(entries, c.highest.Primary)
	return servers
}

// note notes the highest commit.
func (c *confirmer) note(commit ack.Commit) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if commit.Position.Compare(c.highest.Position) > 0 {
		c.highest = commit
	}
}

func (c *confirmer) addWaiting(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting += n
}

// request starts the queries, unless they run.
func (c *confirmer) request() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.querying {
		c.querying = true
		go c.query()
	}
}

// target returns the highest commit. It returns false, and the queries end, if no commit
// waits or the highest is covered.
func (c *confirmer) target() (commit ack.Commit, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.querying = c.waiting > 0 && !c.receipts.Covered(c.highest)
	return c.highest, c.querying
}

// query queries the replicas until the highest commit that waits is covered.
func (c *confirmer) query() {
	backoff := receiptQueryBackoff
	startedAt := time.Now()
	for {
		commit, ok := c.target()
		if !ok {
			return
		}
		replicas := slices.DeleteFunc(c.updateListed(), func(s catalog.Server) bool { return s.ID == commit.Primary })
		if c.queryOnce(commit, replicas) {
			backoff, startedAt = receiptQueryBackoff, time.Now()
			continue
		}
		if time.Since(startedAt) >= inspectionDelay {
			c.inspect()
		}
		time.Sleep(backoff)
		backoff = min(2*backoff, maxReceiptQueryBackoff)
	}
}

// queryOnce queries one replica after the other until the commit is covered. It returns
// false if it is not.
func (c *confirmer) queryOnce(commit ack.Commit, replicas []catalog.Server) bool {
	answered := make(chan struct{}, len(replicas))
	inFlight := 0
	for _, replica := range c.inOrder(replicas) {
		if !c.startQuery(replica.ID) {
			continue
		}
		inFlight++
		go func() {
			c.queryReplica(replica, commit)
			answered <- struct{}{}
		}()
		stagger := time.NewTimer(receiptQueryStagger)
		select {
		case <-answered:
			inFlight--
		case <-stagger.C:
		}
		stagger.Stop()
		if c.receipts.Covered(commit) {
			return true
		}
	}
	timeout := time.NewTimer(receiptQueryStagger)
	defer timeout.Stop()
	for ; inFlight > 0; inFlight-- {
		select {
		case <-answered:
		case <-timeout.C:
			return c.receipts.Covered(commit)
		}
	}
	return c.receipts.Covered(commit)
}

// inspect starts to ask the store which servers it lists and whether a change of primary is
// in progress, unless it was asked a short time ago.
func (c *confirmer) inspect() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inspecting || now.Before(c.nextInspection) {
		return
	}
	c.inspecting, c.nextInspection = true, now.Add(inspectionInterval)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), inspectionTimeout)
		defer cancel()
		c.listed.refresh(ctx)
		c.inspectRecord(ctx)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inspecting = false
	}()
}

// inspectRecord makes the listed servers witnesses if the group's record shows that no
// change of primary is in progress.
func (c *confirmer) inspectRecord(ctx context.Context) {
	if c.proxy.config.ChangeInProgress == nil {
		return
	}
	c.updateListed()
	startedAt := c.proxy.now()
	if inProgress, term, err := c.proxy.config.ChangeInProgress(ctx, c.group); err == nil && !inProgress {
		c.receipts.NoteNoChange(startedAt, term)
	}
}

// inOrder returns the replicas in the order in which they are queried: by the estimated
// latency, and those that were behind last.
func (c *confirmer) inOrder(replicas []catalog.Server) []catalog.Server {
	costs := make(map[group.ServerID]time.Duration, len(replicas))
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.behindUntil, func(_ group.ServerID, until time.Time) bool { return !now.Before(until) })
	for _, s := range replicas {
		costs[s.ID] = c.proxy.readCost(s, group.Position{})
		if _, behind := c.behindUntil[s.ID]; behind {
			costs[s.ID] += avoidancePenalty
		}
	}
	slices.SortFunc(replicas, func(a, b catalog.Server) int { return cmp.Compare(costs[a.ID], costs[b.ID]) })
	return replicas
}

// startQuery notes that a replica is queried. It returns false if an answer is awaited
// already.
func (c *confirmer) startQuery(replica group.ServerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queried[replica] {
		return false
	}
	if c.queried == nil {
		c.queried = map[group.ServerID]bool{}
	}
	c.queried[replica] = true
	return true
}

func (c *confirmer) endQuery(replica group.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.queried, replica)
}

// queryReplica queries the status of a replica and notes it. Without an answer nothing is
// noted, and the replica is queried again while the commit waits.
func (c *confirmer) queryReplica(replica catalog.Server, commit ack.Commit) {
	defer c.endQuery(replica.ID)
	ctx, cancel := context.WithTimeout(context.Background(), receiptQueryTimeout)
	defer cancel()
	var queriedAt time.Time
	noteTime := func() { queriedAt = c.proxy.now() }
	answer, err := c.proxy.commander().CommandAnswer(ctx, replica, exchange.Statement{Operation: exchange.Status}, noteTime)
	if err != nil {
		return
	}
	status := answer.Status
	c.receipts.NoteStatus(replica.ID, ack.Status{
		QueriedAt: queriedAt, ProcessSince: c.proxy.processSince(answer), Term: status.Term, Received: status.ReceivedPosition, Suspended: status.SuspendedTerm != 0, SuspendedTerm: status.SuspendedTerm,
	})
	if status.ReceivedPosition.Compare(commit.Position) < 0 {
		c.noteBehind(replica.ID)
	}
}

func (c *confirmer) noteBehind(replica group.ServerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.behindUntil == nil {
		c.behindUntil = map[group.ServerID]time.Time{}
	}
	c.behindUntil[replica] = time.Now().Add(behindBackoff)
}
