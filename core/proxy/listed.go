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

	mu       sync.Mutex
	servers  []catalog.Server
	listedAt time.Time
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

// refresh lists the servers. After a failure the last list counts until serverListTTL.
func (l *listed) refresh(ctx context.Context) {
	if l.config.ListServers == nil {
		return
	}
	servers, err := l.config.ListServers(ctx, l.group)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.servers, l.listedAt = servers, time.Now()
}
