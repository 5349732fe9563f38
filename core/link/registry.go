package link

import (
	"maps"
	"slices"
	"sync"
	"time"

	"basilmill/core/account"
	"basilmill/core/catalog"
	"basilmill/core/dispatch"
	"basilmill/core/group"
)

// Registry holds the connection pool of each backend server. It is safe for
// concurrent use.
type Registry struct {
	// Observer, if set, receives the wait and hold times of all pools. It must be
	// set before the first use.
	Observer Observer
	// DataCentres returns the number of data centres with hosts, and IsHolder whether this
	// host holds the connections of accounts to a server. They must be set before the first
	// use if the configuration may have accounts.
	DataCentres func() int
	IsHolder    func(catalog.Server) bool
	cache       *catalog.Cache
	dialer      Dialer

	mu    sync.Mutex
	pools map[poolKey]*Pool
	// unlistedUse is when a pool was last used whose server the catalogue has not had
	// since the pool was created.
	unlistedUse map[poolKey]time.Time
	// prunedFor is the view for which the pools of absent servers were last removed;
	// nil if a pool was created since.
	prunedFor *catalog.View
}

// poolKey identifies one process of a backend server, so that a server that was
// restarted or moved gets a new pool.
type poolKey struct {
	id      group.ServerID
	boot    int64
	address string
}

// NewRegistry returns a registry for the backend servers of the catalogue.
func NewRegistry(cache *catalog.Cache, dialer Dialer) *Registry {
	return &Registry{cache: cache, dialer: dialer, pools: map[poolKey]*Pool{}, unlistedUse: map[poolKey]time.Time{}}
}

func keyOf(s catalog.Server) poolKey { return poolKey{s.ID, s.BootID, s.Address.String()} }

// hostShareDivisor gives the fraction of a server's connection limit that one
// host may open. The rest is left to the other hosts, because the limit applies
// to all hosts together.
const hostShareDivisor = 2

// unlistedRetention is how long the pool of a server is kept that the catalogue does not
// have yet. It exceeds the time between two queries of a server that the store lists.
const unlistedRetention = 2 * time.Second

// Pool returns the pool of a server and creates it if necessary.
func (r *Registry) Pool(server catalog.Server) *Pool {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := keyOf(server)
	if p, ok := r.pools[key]; ok {
		if _, unlisted := r.unlistedUse[key]; unlisted {
			r.unlistedUse[key] = time.Now()
		}
		return p
	}
	if listed, ok := r.cache.View().Servers[server.ID]; !ok || keyOf(listed) != key {
		r.unlistedUse[key] = time.Now()
	}
	limit := 2
	if config := r.cache.View().Config; config != nil {
		limit = max(limit, config.Groups[server.Group].ConnectionLimit/hostShareDivisor)
	}
	p := NewPool(server, r.dialer, limit)
	p.observer = r.Observer
	p.SetAccounts(r.accountPolicy(server, r.dataCentres(), true))
	r.pools[key] = p
	r.prunedFor = nil
	return p
}

// accountPolicy returns how accounts share the connections to a server, nil without
// accounts.
func (r *Registry) accountPolicy(server catalog.Server, dataCentres int, holder bool) *AccountPolicy {
	view := r.cache.View()
	if view.Config == nil || view.Config.Accounts == nil {
		return nil
	}
	policy := &AccountPolicy{Accounts: view.Config.Accounts, Slots: server.Slots, Holder: holder}
	if listed, ok := view.Servers[server.ID]; ok && keyOf(listed) == keyOf(server) {
		policy.Slots = listed.Slots
	}
	policy.Limit = dispatch.HolderLimit(view.Config.Groups[server.Group].ConnectionLimit, dataCentres)
	return policy
}

func (r *Registry) dataCentres() int {
	if r.DataCentres == nil {
		return 1
	}
	return r.DataCentres()
}

// isHolder reports whether this host holds the connections of accounts to a server.
func (r *Registry) isHolder(server catalog.Server) bool {
	return r.IsHolder == nil || r.IsHolder(server)
}

// Prune closes idle connections of all pools, and the pools of servers that are
// no longer in the catalogue, or not yet and have not been used for unlistedRetention. The last connection to a server is kept for longer if
// keepLast returns true. Prune is to be called regularly.
func (r *Registry) Prune(keepLast func(catalog.Server) bool) {
	for _, p := range r.removeObsolete() {
		p.Close()
	}
	r.mu.Lock()
	current := slices.Collect(maps.Values(r.pools))
	r.mu.Unlock()
	dataCentres := r.dataCentres()
	for _, p := range current {
		p.SetAccounts(r.accountPolicy(p.server, dataCentres, r.isHolder(p.server)))
		p.Prune(func() bool { return keepLast(p.server) })
	}
}

// removeObsolete removes and returns the pools of servers that are no longer in the
// catalogue.
func (r *Registry) removeObsolete() (obsolete []*Pool) {
	view := r.cache.View()
	r.mu.Lock()
	defer r.mu.Unlock()
	if view == r.prunedFor && len(r.unlistedUse) == 0 {
		return nil
	}
	r.prunedFor = view
	present := map[poolKey]bool{}
	for _, server := range view.Servers {
		present[keyOf(server)] = true
		delete(r.unlistedUse, keyOf(server))
	}
	for key, p := range r.pools {
		if present[key] || time.Since(r.unlistedUse[key]) < unlistedRetention {
			continue
		}
		obsolete = append(obsolete, p)
		delete(r.pools, key)
		delete(r.unlistedUse, key)
	}
	return obsolete
}

// Stats returns the sum of the counts of all pools.
func (r *Registry) Stats() (total Stats) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		stats := p.Stats()
		total.Open += stats.Open
		total.Exclusive += stats.Exclusive
		total.Waiting += stats.Waiting
		total.Shared += stats.Shared
		total.Window += stats.Window
	}
	return total
}

// Held returns the number of connections of each account that has any.
func (r *Registry) Held() map[account.ID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := map[account.ID]int{}
	for _, p := range r.pools {
		p.addHeld(held)
	}
	return held
}

// CloseAll closes the connections to all servers.
func (r *Registry) CloseAll() {
	r.mu.Lock()
	pools := r.pools
	r.pools, r.unlistedUse = map[poolKey]*Pool{}, map[poolKey]time.Time{}
	r.mu.Unlock()
	for _, p := range pools {
		p.Close()
	}
}
