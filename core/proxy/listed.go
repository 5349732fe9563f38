package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"basilmill/core/catalog"
	"basilmill/core/group"
)

// serverListTTL is how long a list counts beside the host's view of the store.
const serverListTTL = 2 * time.Second

// listed are the servers of a group that the store lists. The host's view of the store may
// lack some, so that the store is asked while a commit is held back for long.
type listed struct {
	group  group.ID
	config *Config

	mu      sync.Mutex
	servers []catalog.Server
	// listedAt is when the list was received, and requestedAt the reading of Config.Clock
	// when it was requested.
	listedAt    time.Time
	requestedAt time.Duration
}

// all returns the servers.
func (l *listed) all() []catalog.Server {
	servers := l.config.Cache.View().Members(l.group)
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.listedAt) < serverListTTL {
		for _, s := range l.servers {
			if !slices.ContainsFunc(servers, func(v catalog.Server) bool { return v.ID == s.ID }) {
				servers = append(servers, s)
			}
		}
	}
	return servers
}

// at returns the reading of Config.Clock at which the store was last known to list a server as
// one that stays, and whether this is known from a list beside the host's view.
func (l *listed) at(server catalog.Server) (at time.Duration, besideView bool) {
	at = l.config.Cache.ListedAt(server.ID)
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.ContainsFunc(l.servers, func(s catalog.Server) bool { return s.ID == server.ID && !s.Leaving }) {
		return max(at, l.requestedAt), l.requestedAt > at
	}
	return at, false
}

// refresh lists the servers. After a failure the last list counts until serverListTTL.
func (l *listed) refresh(ctx context.Context) {
	if l.config.ListServers == nil {
		return
	}
	requestedAt := l.config.Clock()
	servers, err := l.config.ListServers(ctx, l.group)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers, l.listedAt, l.requestedAt = servers, time.Now(), requestedAt
}
