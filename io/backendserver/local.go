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

// LocalConnectorConfig sets up a Local. Zero values select the defaults of core/pool.
type LocalConnectorConfig struct {
	Dialer Dialer
	// Limit bounds the connections to one server until SetLimit changes it.
	Limit      int
	MaxOpening int
	QueueLimit int
	// ObserveQueueTime, if set, receives the time each request waited.
	ObserveQueueTime func(account.ID, time.Duration)
	// ObserveLoss, if set, receives the loss of a connection to a server, also
	// of an idle one, and failed openings. It must not block.
	ObserveLoss func(group.ID, group.ServerID, error)
}

// LocalConnector opens conversations over this host's own connections.
//
// It keeps one pool for each server, keyed by database, because the
// connection limit of a server covers all its databases together. The pool
// closes an idle connection to one database to make room for another.
type LocalConnector struct {
	config LocalConnectorConfig

	mu       sync.Mutex
	servers  map[server]*servedBy
	draining bool
}

type server struct {
	group group.ID
	id    group.ServerID
}

// servedBy is the pool of one server at one address.
type servedBy struct {
	address netip.AddrPort
	limit   int
	pool    *pool.Pool[*connection]
	inUse   map[*connection]struct{}
}

// NewLocalConnector returns a Local without connections.
func NewLocalConnector(config LocalConnectorConfig) *LocalConnector {
	return &LocalConnector{config: config, servers: map[server]*servedBy{}}
}

// Acquire returns a conversation on a connection to the target's database.
func (l *LocalConnector) Acquire(ctx context.Context, target Target) (Conversation, error) {
	key := server{group: target.Group, id: target.Server}
	p, err := l.pool(key, target.Address)
	if err != nil {
		return nil, err
	}
	for {
		c, err := p.Get(ctx, pool.Key(target.Database), target.Account)
		if err != nil {
			return nil, notRun(err)
		}
		if !c.stopIdle() {
			p.Put(c, false)
			continue
		}
		l.use(key, c)
		return &conversation{connection: c, release: func(c *connection, reusable bool) {
			l.release(key, p, c, reusable)
		}}, nil
	}
}

func (l *LocalConnector) use(key server, c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers[key].inUse[c] = struct{}{}
}

// unuse reports whether the connection may still be used.
func (l *LocalConnector) unuse(key server, c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.servers[key].inUse, c)
	return c.interrupted.Load() == nil
}

// notRun makes sure that an error carries its outcome: nothing was sent.
func notRun(err error) error {
	var o *outcome.Error
	if errors.As(err, &o) {
		return o
	}
	return refused(err)
}

func (l *LocalConnector) release(key server, p *pool.Pool[*connection], c *connection, reusable bool) {
	if c.broken != nil && !errors.Is(c.broken, context.Canceled) {
		l.observe(key, c.broken)
	}
	reusable = l.unuse(key, c) && reusable
	if reusable {
		c.startIdle(func(err error) { l.observe(key, err) })
	}
	p.Put(c, reusable)
}

func (l *LocalConnector) observe(key server, err error) {
	if l.config.ObserveLoss != nil {
		l.config.ObserveLoss(key.group, key.id, err)
	}
}

// pool returns the pool of the server. A server that has moved to another
// address gets a new pool, and the old one is drained.
func (l *LocalConnector) pool(key server, address netip.AddrPort) (*pool.Pool[*connection], error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.draining {
		return nil, outcome.NoPrimary("the host is draining", nil)
	}
	s, ok := l.servers[key]
	if !ok {
		s = l.add(key, l.config.Limit)
	}
	if s.pool != nil && s.address == address {
		return s.pool, nil
	}
	if s.pool != nil {
		s.pool.Drain()
	}
	s.address = address
	s.pool = l.newPool(key, s)
	return s.pool, nil
}

func (l *LocalConnector) add(key server, limit int) *servedBy {
	s := &servedBy{limit: limit, inUse: map[*connection]struct{}{}}
	l.servers[key] = s
	return s
}

func (l *LocalConnector) newPool(key server, s *servedBy) *pool.Pool[*connection] {
	address := s.address
	return pool.New(pool.Config[*connection]{
		Limit:            s.limit,
		MaxOpening:       l.config.MaxOpening,
		QueueLimit:       l.config.QueueLimit,
		ObserveQueueTime: l.config.ObserveQueueTime,
		Open: func(ctx context.Context, database pool.Key) (*connection, error) {
			c, err := l.open(ctx, address, string(database))
			if err != nil {
				l.observe(key, err)
			}
			return c, refused(err)
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
func (l *LocalConnector) SetLimit(id group.ID, s group.ServerID, limit int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := server{group: id, id: s}
	entry, ok := l.servers[key]
	if !ok {
		entry = l.add(key, limit)
	}
	entry.limit = limit
	if entry.pool != nil {
		entry.pool.SetLimit(limit)
	}
}

// SetShare sets an account's share of the connections to a server that has
// been used. It reports whether the server has a pool.
func (l *LocalConnector) SetShare(id group.ID, s group.ServerID, a account.ID, share pool.Share) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.servers[server{group: id, id: s}]
	if !ok || entry.pool == nil {
		return false
	}
	entry.pool.SetShare(a, share)
	return true
}

// ReportReplaced tells that the server was replaced as primary. Waiting requests end
// as NotRun, so that they can be routed elsewhere, and no connection of before
// is used again. Conversations in use have the grace to end: after a planned
// change their answers are under way. Then they fail, because a server that is
// isolated would not answer.
func (l *LocalConnector) ReportReplaced(id group.ID, s group.ServerID, cause error, grace time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.servers[server{group: id, id: s}]
	if !ok || entry.pool == nil {
		return
	}
	for c := range entry.inUse {
		c.retired.Store(true)
		time.AfterFunc(grace, func() { l.interruptRetired(entry, c, cause) })
	}
	entry.pool.CloseIdle()
	entry.pool.RefuseWaiting("the primary was replaced", cause)
}

// interruptRetired ends a conversation that outlived its grace.
func (l *LocalConnector) interruptRetired(entry *servedBy, c *connection, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, inUse := entry.inUse[c]; inUse {
		c.interrupt(cause)
	}
}

// ReportLost tells that the server was lost. Conversations in use fail at once,
// because the server would not answer; idle connections are closed; waiting
// requests end as NotRun, so that they can be routed elsewhere.
func (l *LocalConnector) ReportLost(id group.ID, s group.ServerID, cause error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.servers[server{group: id, id: s}]
	if !ok || entry.pool == nil {
		return
	}
	for c := range entry.inUse {
		c.interrupt(cause)
	}
	entry.pool.CloseIdle()
	entry.pool.RefuseWaiting("the backend server was lost", cause)
}

// Stats returns the state of a server's pool.
func (l *LocalConnector) Stats(id group.ID, s group.ServerID) pool.Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.servers[server{group: id, id: s}]
	if !ok || entry.pool == nil {
		return pool.Stats{}
	}
	return entry.pool.Stats()
}

// Drain refuses new conversations and closes connections as they come back.
func (l *LocalConnector) Drain() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for _, s := range l.servers {
		if s.pool != nil {
			s.pool.Drain()
		}
	}
}

var _ Connector = (*LocalConnector)(nil)
