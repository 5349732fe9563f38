package replicated

import (
	"maps"
	"slices"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/group"
)

// Silence is a fault of servers that report nothing to the platform's store. Their entries
// stay as they are and expire after a time. It applies to servers that start again under
// another id, too.
type Silence struct {
	cluster *Cluster
	// servers and expired are guarded by the cluster's mutex.
	servers map[group.ServerID]bool
	expired bool
	// entries are those in the store when the fault began.
	entries map[group.ServerID]catalog.Server
}

// Silence stops the reports of servers. Their entries expire after lifetime. The caller
// must call End when done.
func (c *Cluster) Silence(servers []group.ServerID, lifetime time.Duration) *Silence {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &Silence{cluster: c, servers: map[group.ServerID]bool{}, entries: map[group.ServerID]catalog.Server{}}
	for _, id := range servers {
		s.servers[id] = true
		if e, ok := c.entry(id); ok {
			s.entries[id] = e
		}
	}
	c.silences = append(c.silences, s)
	time.AfterFunc(lifetime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.expired = true
	})
	return s
}

// End ends the fault. Entries that have expired are back after the delay.
func (s *Silence) End(returnDelay time.Duration) {
	c := s.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	if !s.expired {
		returnDelay = 0
	}
	time.AfterFunc(returnDelay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.silences = slices.DeleteFunc(c.silences, func(other *Silence) bool { return other == s })
	})
}

// IsSilent reports whether the server with the id reports nothing to the store.
func (c *Cluster) IsSilent(id group.ServerID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.silences, func(s *Silence) bool { return s.servers[id] })
}

// entry returns the entry in the store of the server with the id. The caller must hold the
// mutex.
func (c *Cluster) entry(id group.ServerID) (catalog.Server, bool) {
	var first *Silence
	for _, s := range c.silences {
		switch {
		case !s.servers[id]:
		case s.expired:
			return catalog.Server{}, false
		case first == nil:
			first = s
		}
	}
	if first != nil {
		e, ok := first.entries[id]
		return e, ok
	}
	s := c.servers[id]
	if s == nil || s.unlisted {
		return catalog.Server{}, false
	}
	e := s.catalogEntry
	e.ClaimsPrimary = s.primary
	return e, true
}

// ServerEntries returns the catalogue entries of the servers in the platform's
// store, without those of unlisted servers.
func (c *Cluster) ServerEntries() (entries []catalog.Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := slices.Collect(maps.Keys(c.servers))
	for _, s := range c.silences {
		ids = slices.AppendSeq(ids, maps.Keys(s.entries))
	}
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		if e, ok := c.entry(id); ok {
			entries = append(entries, e)
		}
	}
	return entries
}

// Isolation is a fault that separates servers from all others. It applies to servers that
// start later, too.
type Isolation struct {
	cluster *Cluster
	// servers is guarded by the cluster's mutex.
	servers map[group.ServerID]bool
}

// Isolate separates servers from all others, but not from each other and the hosts. The
// caller must call End when done.
func (c *Cluster) Isolate(servers []group.ServerID) *Isolation {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := &Isolation{c, map[group.ServerID]bool{}}
	for _, id := range servers {
		i.servers[id] = true
	}
	c.isolations = append(c.isolations, i)
	return i
}

// Contains reports whether a server is among those separated from the others.
func (i *Isolation) Contains(id group.ServerID) bool {
	i.cluster.mu.Lock()
	defer i.cluster.mu.Unlock()
	return i.servers[id]
}

// End ends the fault.
func (i *Isolation) End() {
	i.cluster.mu.Lock()
	defer i.cluster.mu.Unlock()
	i.cluster.isolations = slices.DeleteFunc(i.cluster.isolations, func(other *Isolation) bool { return other == i })
}

// areSeparated reports whether a fault separates two servers. The caller must hold the
// mutex.
func (c *Cluster) areSeparated(a, b group.ServerID) bool {
	return c.separations[newServerPair(a, b)] > 0 ||
		slices.ContainsFunc(c.isolations, func(i *Isolation) bool { return i.servers[a] != i.servers[b] })
}

// inheritFaults extends the faults of a server to the one that it starts as. The caller
// must hold the mutex.
func (c *Cluster) inheritFaults(from, to group.ServerID) {
	for _, s := range c.silences {
		s.servers[to] = s.servers[to] || s.servers[from]
	}
	for _, i := range c.isolations {
		i.servers[to] = i.servers[to] || i.servers[from]
	}
}
