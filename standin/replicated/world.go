// Package replicated stands in for a group of backend servers that confirm
// commits among themselves and for the platform that promotes one of them. It
// speaks the product's own types, runs on the runtime clock, so that tests can
// pause it, and reports each acknowledged commit that a promotion loses.
package replicated

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/takeover"
)

// Group is the id of the world's only group.
const Group group.ID = "orders"

// Delays of the world.
const (
	// NetDelay is the one-way delay of every link.
	NetDelay = 4 * time.Millisecond
	// ExecutionDelay is the time of a read, write or commit.
	ExecutionDelay = 5 * time.Millisecond
	// replicationInterval is the time between two transfers to a replica.
	replicationInterval = 5 * time.Millisecond
	// PromotionDelay is the time from an order to the new primary's lead.
	PromotionDelay = 300 * time.Millisecond
	// holderTime is the time within which two holders may not both order.
	holderTime = 3 * time.Second
)

// Commit is one acknowledged commit.
type Commit struct {
	ID    string
	Index int
	At    time.Time
}

// Cluster is the group, its servers and the platform.
type Cluster struct {
	// ConnectionLimit bounds the connections to each server; zero means none.
	ConnectionLimit int

	mu         sync.Mutex
	servers    map[group.ServerID]*Server
	term       group.Term
	acked      []Commit
	violations []string
	runs       []Execution
	stopped    chan struct{}

	fence      takeover.Epoch
	holder     host.ID
	holderAt   time.Time
	promotions int
	// LoseOrders loses the answer of each order; the order is carried out
	// after the time, if it is not zero.
	loseOrders time.Duration

	record     takeover.Record
	storeDown  bool
	storeLoses bool
}

// Execution is one statement of a caller that a server ran.
type Execution struct {
	ID     string
	Server group.ServerID
	Digest string
	// Log is the readable log at the time, as ids of commits.
	Log []string
	// Values are the session values of the connection.
	Values map[string]string
	// Text is set for prepared statements.
	Text string
	// Connection numbers the connection.
	Connection int
	// InTransaction is set inside a transaction.
	InTransaction bool
	At            time.Time
}

// New returns a world with a primary "a" and replicas "b" and "c", each in
// a data centre of its own. Stop ends it.
func New() *Cluster {
	w := &Cluster{servers: map[group.ServerID]*Server{}, term: 1, stopped: make(chan struct{})}
	for i, id := range []group.ServerID{"a", "b", "c"} {
		w.servers[id] = &Server{
			world: w, id: id, term: 1, up: true, primary: i == 0,
			entry: catalog.Server{
				ID: id, Group: Group, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 5432),
				DataCentre: host.DataCentre("dc-" + string(id)), Primary: i == 0,
			},
		}
	}
	for _, s := range w.servers {
		go s.replicate()
	}
	return w
}

// Stop ends the world's goroutines.
func (w *Cluster) Stop() {
	close(w.stopped)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.servers {
		s.dropStreams()
	}
}

// Server returns a server for changing its state.
func (w *Cluster) Server(id group.ServerID) *Server { return w.servers[id] }

// ServerEntries returns the entries of the servers, as they register themselves.
func (w *Cluster) ServerEntries() []catalog.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var members []catalog.Server
	for _, id := range []group.ServerID{"a", "b", "c"} {
		s := w.servers[id]
		if s.unlisted {
			continue
		}
		e := s.entry
		e.Primary = s.primary
		members = append(members, e)
	}
	return members
}

// Servers implements takeover.Roster.
func (w *Cluster) Servers(ctx context.Context, _ group.ID) ([]catalog.Server, error) {
	if err := pause(ctx, NetDelay); err != nil {
		return nil, err
	}
	w.mu.Lock()
	down := w.storeDown
	w.mu.Unlock()
	if down {
		return nil, errNoAnswer
	}
	return w.ServerEntries(), nil
}

// Primary returns the server that leads, empty if none does.
func (w *Cluster) Primary() group.ServerID {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.primary(); p != nil {
		return p.id
	}
	return ""
}

func (w *Cluster) primary() *Server {
	for _, s := range w.servers {
		if s.primary {
			return s
		}
	}
	return nil
}

// Violations returns the broken promises seen so far.
func (w *Cluster) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.violations)
}

// Acknowledged returns the acknowledged commits.
func (w *Cluster) Acknowledged() []Commit {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.acked)
}

// Executions returns the statements of callers that ran.
func (w *Cluster) Executions() []Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runs)
}

// Promotions returns the number of orders that changed the primary.
func (w *Cluster) Promotions() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.promotions
}

func (w *Cluster) violate(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// LosePromotionAnswers makes the platform lose the answers of orders and carry them out
// after the delay. A delay of zero ends it.
func (w *Cluster) LosePromotionAnswers(delay time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loseOrders = delay
}

// SetStoreFaults changes the state of the platform's store: down, or losing the
// answers of updates that it makes.
func (w *Cluster) SetStoreFaults(down, loses bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeDown, w.storeLoses = down, loses
}

// errNoAnswer is the error of a call without an answer.
var errNoAnswer = errors.New("no answer")

// Promote implements takeover.Orders.
func (w *Cluster) Promote(ctx context.Context, _ group.ID, id group.ServerID, holder host.ID, epoch takeover.Epoch) error {
	if err := pause(ctx, NetDelay); err != nil {
		return err
	}
	w.mu.Lock()
	late := w.loseOrders
	w.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() { _ = w.order(id, holder, epoch) })
		<-ctx.Done()
		return errNoAnswer
	}
	if err := w.order(id, holder, epoch); err != nil {
		return err
	}
	return pause(ctx, NetDelay)
}

// order carries out an order.
func (w *Cluster) order(id group.ServerID, holder host.ID, epoch takeover.Epoch) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch < w.fence {
		return takeover.ErrRefused
	}
	if epoch == w.fence && w.holder != "" && w.holder != holder {
		w.violate("holders %s and %s ordered with the same number %d", w.holder, holder, epoch)
	}
	if w.holder != "" && w.holder != holder && time.Since(w.holderAt) < holderTime {
		w.violate("holder %s ordered %v after %s", holder, time.Since(w.holderAt), w.holder)
	}
	w.fence, w.holder, w.holderAt = epoch, holder, time.Now()
	s := w.servers[id]
	if s == nil || !s.up {
		return takeover.ErrRefused
	}
	if s.primary {
		return nil
	}
	time.AfterFunc(PromotionDelay, func() { w.promote(s) })
	return nil
}

// promote makes the server the primary of the next term. It leads with what it
// has received and nothing more.
func (w *Cluster) promote(s *Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.primary || !s.up {
		return
	}
	for _, c := range w.acked {
		if c.Index >= len(s.log) || s.log[c.Index].id != c.ID {
			w.violate("promotion of %s loses the acknowledged commit %s", s.id, c.ID)
		}
	}
	w.promotions++
	w.term++
	for _, o := range w.servers {
		o.primary = false
		o.suspended = 0
		if len(o.log) > len(s.log) {
			o.log = slices.Clone(o.log[:len(s.log)])
			o.applied = min(o.applied, len(o.log))
		}
	}
	s.primary = true
	s.term = w.term
	s.applied = len(s.log)
}

// Load implements takeover.Ledger.
func (w *Cluster) Load(ctx context.Context, _ group.ID) (takeover.Record, error) {
	if err := pause(ctx, NetDelay); err != nil {
		return takeover.Record{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeDown {
		return takeover.Record{}, errNoAnswer
	}
	return w.record, nil
}

// Store implements takeover.Ledger.
func (w *Cluster) Store(ctx context.Context, _ group.ID, r takeover.Record) (takeover.Record, error) {
	if err := pause(ctx, NetDelay); err != nil {
		return takeover.Record{}, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.storeDown {
		return takeover.Record{}, errNoAnswer
	}
	if r.Revision != w.record.Revision {
		return takeover.Record{}, takeover.ErrConflict
	}
	r.Revision++
	w.record = r
	if w.storeLoses {
		return takeover.Record{}, errNoAnswer
	}
	return r, nil
}

func pause(ctx context.Context, d time.Duration) error {
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
func (w *Cluster) PrimaryLog() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ids []string
	if p := w.primary(); p != nil {
		for _, e := range p.log {
			ids = append(ids, e.id)
		}
	}
	return ids
}
