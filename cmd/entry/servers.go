package entry

import (
	"context"
	"errors"
	"sync"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/link"
)

// servers holds the pool of each backend server and the commands over them.
type servers struct {
	book   *catalog.Book
	dialer link.Dialer

	mu    sync.Mutex
	pools map[poolKey]*link.Pool
}

// poolKey identifies one process of a server: a restarted or moved server gets
// a new pool.
type poolKey struct {
	id      group.ServerID
	boot    int64
	address string
}

func newServers(book *catalog.Book, dialer link.Dialer) *servers {
	return &servers{book: book, dialer: dialer, pools: map[poolKey]*link.Pool{}}
}

func keyOf(s catalog.Server) poolKey { return poolKey{s.ID, s.Boot, s.Address.String()} }

// hostShare is the part of a server's connections that one host may open. It
// leaves the rest to the other hosts; the server refuses more than its limit
// in all.
const hostShare = 2

// pool returns the pool of a server.
func (s *servers) pool(server catalog.Server) *link.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := keyOf(server)
	if p, ok := s.pools[key]; ok {
		return p
	}
	limit := 2
	if config := s.book.View().Config; config != nil {
		limit = max(limit, config.Groups[server.Group].ConnectionLimit/hostShare)
	}
	p := link.NewPool(server, s.dialer, limit)
	s.pools[key] = p
	return p
}

// tidy closes idle connections, and the pools of servers that are gone.
func (s *servers) tidy() {
	present := map[poolKey]bool{}
	for _, server := range s.book.View().Servers {
		present[keyOf(server)] = true
	}
	s.mu.Lock()
	var keep, gone []*link.Pool
	for key, p := range s.pools {
		if present[key] {
			keep = append(keep, p)
			continue
		}
		gone = append(gone, p)
		delete(s.pools, key)
	}
	s.mu.Unlock()
	for _, p := range keep {
		p.Tidy()
	}
	for _, p := range gone {
		p.Close()
	}
}

// stats adds up the statistics of all pools.
func (s *servers) stats() (total link.Stats) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.pools {
		stats := p.Stats()
		total.Open += stats.Open
		total.Exclusive += stats.Exclusive
		total.Waiting += stats.Waiting
		total.Opened += stats.Opened
		total.Refused += stats.Refused
		total.Failed += stats.Failed
	}
	return total
}

// controlPriority puts probes and commands before all requests.
const controlPriority = -1

var errNoStatus = errors.New("answer without a status")

// Probe implements lead.Databases. A server accepts a transaction for writing
// only while it leads.
func (s *servers) Probe(ctx context.Context, server catalog.Server) (group.Position, error) {
	answers, err := s.run(ctx, server, exchange.Statement{Operation: exchange.Begin}, exchange.Statement{Operation: exchange.Rollback})
	if err != nil {
		return group.Position{}, err
	}
	if answers[0].Failure != nil {
		return group.Position{}, answers[0].Failure
	}
	return answers[0].Position, nil
}

// Leads implements takeover.Databases.
func (s *servers) Leads(ctx context.Context, server catalog.Server) bool {
	_, err := s.Probe(ctx, server)
	return err == nil
}

// Command implements lead.Databases and takeover.Databases.
func (s *servers) Command(ctx context.Context, server catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	answers, err := s.run(ctx, server, statement)
	if err != nil {
		return exchange.ServerStatus{}, err
	}
	if answers[0].Failure != nil {
		return exchange.ServerStatus{}, answers[0].Failure
	}
	if answers[0].Status == nil {
		return exchange.ServerStatus{}, errNoStatus
	}
	return *answers[0].Status, nil
}

func (s *servers) run(ctx context.Context, server catalog.Server, statements ...exchange.Statement) ([]exchange.Answer, error) {
	lease, err := s.pool(server).Shared(ctx, nil, controlPriority)
	if err != nil {
		return nil, err
	}
	call := lease.Submit(nil, statements...)
	select {
	case <-call.Done:
		lease.Release()
		return call.Answers()
	case <-ctx.Done():
		go func() { <-call.Done; lease.Release() }()
		return nil, ctx.Err()
	}
}
