package catalog

import (
	"context"

	"github.com/rotisserie/eris"

	"basilmill/core/group"
)

// ServerLister lists the servers of one group by reading them from a Source.
type ServerLister struct{ Source Source }

// Servers returns the servers of a group that have a valid entry at present.
func (l ServerLister) Servers(ctx context.Context, id group.ID) (servers []Server, err error) {
	entries, _, err := l.Source.ListServers(ctx)
	if err != nil {
		return nil, eris.Wrapf(err, "list the servers of %s", id)
	}
	for _, e := range entries {
		if e.Server != nil && e.Server.Group == id {
			servers = append(servers, *e.Server)
		}
	}
	return servers, nil
}
