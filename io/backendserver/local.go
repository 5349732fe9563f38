package backendserver

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"basilmill/core/account"
	"basilmill/core/group"
	"basilmill/core/outcome"
	"basilmill/core/pool"
)

// LocalConnectorConfig configures a LocalConnector. Zero values of MaxOpening and
// QueueLimit select the defaults of core/pool.
type LocalConnectorConfig struct {
	Dialer Dialer
	// Limit bounds the connections to each server until SetLimit changes it.
	Limit      int
	MaxOpening int
	QueueLimit int
	// ObserveQueueTime, if set, is called with the time that each request waited
	// for a connection.
	ObserveQueueTime func(account.ID, time.Duration)
	// ObserveLoss, if set, is called when a connection to a server is lost, even
	// if it is idle, or cannot be opened. It must not block.
	ObserveLoss func(group.ID, group.ServerID, error)
}

// LocalConnector opens conversations on this host's own pooled connections, as
// opposed to those of another host.
//
// It has one pool for each server, keyed by database, because a server's
// connection limit applies to all its databases together. To open a connection
// to one database, the pool may close an idle connection to another.
type LocalConnector struct {
	config LocalConnectorConfig

	mu       sync.Mutex
	servers  map[serverKey]*serverPool
	draining bool
}

type serverKey struct {
	group group.ID
	id    group.ServerID
}

// serverPool is the connection pool of one server at its current address.
type serverPool struct {
	address netip.AddrPort
	limit   int
	pool    *pool.Pool[*connection]
	inUse   map[*connection]struct{}
}

// NewLocalConnector returns a LocalConnector without connections.
func NewLocalConnector(config LocalConnectorConfig) *LocalConnector {
	return &LocalConnector{config: config, servers: map[serverKey]*serverPool{}}
}

// Acquire returns a conversation on a connection to the target's database.
func (l *LocalConnector) Acquire(ctx context.Context, target Target) (Conversation, error) {
	key := serverKey{group: target.Group, id: target.Server}
	p, err := l.poolFor(key, target.Address)
	if err != nil {
		return nil, err
	}
	for {
		c, err := p.Get(ctx, pool.Key(target.Database), target.Account)
		if err != nil {
			return nil, withOutcome(err)
		}
		if !c.stopIdleWatch() {
			p.Put(c, false)
			continue
		}
		l.markInUse(key, c)
		return &conversation{connection: c, returnConn: func(c *connection, reusable bool) {
			l.release(key, p, c, reusable)
		}}, nil
	}
}

func (l *LocalConnector) markInUse(key serverKey, c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers[key].inUse[c] = struct{}{}
}

// unmarkInUse reports whether the connection was not interrupted while in use.
func (l *LocalConnector) unmarkInUse(key serverKey, c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.servers[key].inUse, c)
	return c.interruptCause.Load() == nil
}

// withOutcome returns err as an *outcome.Error. Nothing was sent, so an error
// without an outcome becomes NotRun.
func withOutcome(err error) error {
	var outcomeErr *outcome.Error
	if errors.As(err, &outcomeErr) {
		return outcomeErr
	}
	return openError(err)
}

func (l *LocalConnector) release(key serverKey, p *pool.Pool[*connection], c *connection, reusable bool) {
	if c.lossCause != nil && !errors.Is(c.lossCause, context.Canceled) {
		l.reportLoss(key, c.lossCause)
	}
	reusable = l.unmarkInUse(key, c) && reusable
	if reusable {
		c.startIdleWatch(func(err error) { l.reportLoss(key, err) })
	}
	p.Put(c, reusable)
}

func (l *LocalConnector) reportLoss(key serverKey, err error) {
	if l.config.ObserveLoss != nil {
		l.config.ObserveLoss(key.group, key.id, err)
	}
}

// poolFor returns the pool of the server. If the server's address has changed, it
// drains the old pool and creates a new one.
func (l *LocalConnector) poolFor(key serverKey, address netip.AddrPort) (*pool.Pool[*connection], error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return nil, outcome.Unavailable("the host is draining", nil)
	}
	entry, ok := l.servers[key]
	if !ok {
		entry = l.addServer(key, l.config.Limit)
	}
	if entry.pool != nil && entry.address == address {
		return entry.pool, nil
	}
	if entry.pool != nil {
		entry.pool.Drain()
	}
	entry.address = address
	entry.pool = l.newPool(key, entry)
	return entry.pool, nil
}

func (l *LocalConnector) addServer(key serverKey, limit int) *serverPool {
	entry := &serverPool{limit: limit, inUse: map[*connection]struct{}{}}
	l.servers[key] = entry
	return entry
}

func (l *LocalConnector) newPool(key serverKey, entry *serverPool) *pool.Pool[*connection] {
	address := entry.address
	return pool.New(pool.Config[*connection]{
		Limit:            entry.limit,
		MaxOpening:       l.config.MaxOpening,
		QueueLimit:       l.config.QueueLimit,
		ObserveQueueTime: l.config.ObserveQueueTime,
		Open: func(ctx context.Context, database pool.Key) (*connection, error) {
			c, err := l.open(ctx, address, string(database))
			if err != nil {
				l.reportLoss(key, err)
			}
			return c, openError(err)
		},
		Close: (*connection).close,
	})
}

func (l *LocalConnector) open(ctx context.Context, address netip.AddrPort, database string) (*connection, error) {
	conn, err := l.config.Dialer.open(ctx, address, database)
	if err != nil {
		return nil, err
	}
	return newConnection(conn)
}

// SetLimit sets the connection limit of a server for this host.
func (l *LocalConnector) SetLimit(groupID group.ID, serverID group.ServerID, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := serverKey{group: groupID, id: serverID}
	entry, ok := l.servers[key]
	if !ok {
		entry = l.addServer(key, limit)
	}
	entry.limit = limit
	if entry.pool != nil {
		entry.pool.SetLimit(limit)
	}
}

// SetShare sets an account's share of the connections to a server. It returns
// false, without effect, if the server has no pool, because none of its
// connections was requested yet.
func (l *LocalConnector) SetShare(groupID group.ID, serverID group.ServerID, accountID account.ID, share pool.Share) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.servers[serverKey{group: groupID, id: serverID}]
	if !ok || entry.pool == nil {
		return false
	}
	entry.pool.SetShare(accountID, share)
	return true
}

// ReportReplaced handles the report that the server was replaced as primary.
// Waiting requests fail with outcome NotRun, so that they can be routed to another
// server. No existing connection is reused. Conversations in use may continue for
// the grace period, because after a planned change their answers are still
// arriving. After that they fail, because an isolated server would not answer.
func (l *LocalConnector) ReportReplaced(groupID group.ID, serverID group.ServerID, cause error, gracePeriod time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.servers[serverKey{group: groupID, id: serverID}]
	if !ok || entry.pool == nil {
		return
	}
	for c := range entry.inUse {
		c.retired.Store(true)
		time.AfterFunc(gracePeriod, func() { l.interruptRetired(entry, c, cause) })
	}
	entry.pool.CloseIdle()
	entry.pool.RefuseWaiting("the primary was replaced", cause)
}

// interruptRetired interrupts a connection that is still in use after the grace
// period.
func (l *LocalConnector) interruptRetired(entry *serverPool, c *connection, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, inUse := entry.inUse[c]; inUse {
		c.interrupt(cause)
	}
}

// ReportLost handles the report that the server was lost. Conversations in use fail
// at once, because the server would not answer. Idle connections are closed.
// Waiting requests fail with outcome NotRun, so that they can be routed to another
// server.
func (l *LocalConnector) ReportLost(groupID group.ID, serverID group.ServerID, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.servers[serverKey{group: groupID, id: serverID}]
	if !ok || entry.pool == nil {
		return
	}
	for c := range entry.inUse {
		c.interrupt(cause)
	}
	entry.pool.CloseIdle()
	entry.pool.RefuseWaiting("the backend server was lost", cause)
}

// Stats returns the state of a server's pool, or the zero value if it has none.
func (l *LocalConnector) Stats(groupID group.ID, serverID group.ServerID) pool.Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.servers[serverKey{group: groupID, id: serverID}]
	if !ok || entry.pool == nil {
		return pool.Stats{}
	}
	return entry.pool.Stats()
}

// Drain rejects new conversations and closes connections as they are released.
func (l *LocalConnector) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for _, entry := range l.servers {
		if entry.pool != nil {
			entry.pool.Drain()
		}
	}
}

var _ Connector = (*LocalConnector)(nil)
