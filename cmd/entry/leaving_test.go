package entry_test

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/distribution"
	"basilmill/core/link"
	"basilmill/core/settings"
	"basilmill/standin/replicated"
)

// outageSource lists only the primary. Its watches fail until the primary is leaving.
type outageSource struct {
	staticSource
	leaving *atomic.Bool
}

func (s outageSource) primary() (entries []catalog.ServerChange) {
	for _, server := range s.cluster.ServerEntries() {
		if server.ClaimsPrimary {
			server.Leaving = s.leaving.Load()
			entries = append(entries, catalog.ServerChange{ID: server.ID, Server: &server})
		}
	}
	return entries
}

func (s outageSource) ListServers(context.Context) ([]catalog.ServerChange, catalog.Reading, error) {
	return s.primary(), catalog.Reading{At: 1}, nil
}

func (s outageSource) WatchServers(ctx context.Context, from distribution.Version, wait time.Duration) ([]catalog.ServerChange, catalog.Reading, error) {
	if !s.leaving.Load() {
		return nil, catalog.Reading{}, errors.New("connection reset")
	}
	if from == 1 {
		return s.primary(), catalog.Reading{At: 2}, nil
	}
	return nil, catalog.Reading{At: from}, waitOrCancel(ctx, wait)
}

// A host that was cut off from the store can't tell when in that time the primary began to
// leave.
func TestPrimaryThatBeganToLeaveDuringAnOutageGetsNoRequestAfterItsTime(t *testing.T) {
	cluster := replicated.New()
	t.Cleanup(cluster.Stop)
	source := outageSource{staticSource{cluster}, new(atomic.Bool)}
	s := settings.Entry{LeaveTime: 6 * time.Second}
	h := startHostOf(t, cluster, source, s, newCodec, func(d link.Dialer) link.Dialer { return d })
	c := h.dial(t, "CONNECT orders u1")
	assert.Equal(t, c.readLine(), "READY I -")
	time.Sleep(2 * time.Second) // Real sockets do not work with a fake clock.
	assert.Equal(t, c.query("READ item")[0], "ROW item")
	source.leaving.Store(true)
	time.Sleep(time.Second)
	assert.Equal(t, c.query("READ item")[0], "ROW item")
	time.Sleep(2500 * time.Millisecond)
	lines := c.query("READ item")
	assert.Assert(t, strings.HasPrefix(lines[0], "ERROR BUSY"), "%v", lines)
}
