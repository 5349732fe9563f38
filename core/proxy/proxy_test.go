package proxy_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/lead"
	"basilmill/core/link"
	"basilmill/core/logevent"
	"basilmill/core/proxy"
	"basilmill/core/takeover"
)

// fakeServers is a group of one server, the primary, that answers every statement with
// the next prepared position. It implements lead.ServerClient, lead.PrimaryChanger,
// link.Source and link.Channel.
type fakeServers struct {
	positions []group.Position
	sent      []exchange.Statement
}

func (*fakeServers) Probe(context.Context, catalog.Server) (group.Position, time.Duration, error) {
	return group.Position{Term: 1, Offset: 5}, 0, nil
}

func (*fakeServers) Command(context.Context, catalog.Server, exchange.Statement) (exchange.ServerStatus, error) {
	return exchange.ServerStatus{}, nil
}

func (*fakeServers) Run(context.Context, takeover.Request) (group.ServerID, error) {
	return "", takeover.ErrNoCandidate
}

func (*fakeServers) ReadRecord(context.Context, group.ID) error { return nil }

func (f *fakeServers) Acquire(context.Context, link.Request) (*link.Lease, error) {
	return link.NewLease(f, func() {}), nil
}

func (*fakeServers) Load() int { return 0 }

func (f *fakeServers) Submit(_ *link.SessionState, statements ...exchange.Statement) *link.Call {
	call := link.NewCall()
	var answers []exchange.Answer
	for _, s := range statements {
		f.sent = append(f.sent, s)
		answers = append(answers, exchange.Answer{Digest: "d", Position: f.positions[0]})
	}
	f.positions = f.positions[1:]
	call.Complete(answers)
	return call
}

func (*fakeServers) Abandon(*link.Call) {}

func (*fakeServers) Close() {}

// An answer without a position must not lower what the session's next reads must see.
func TestOwnWritesAreSeenAfterAnAnswerWithoutAPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		clock := func() time.Duration { return time.Hour + time.Since(started) }
		log := &logevent.Logger{Log: slog.New(slog.NewTextHandler(io.Discard, nil))}
		f := &fakeServers{positions: []group.Position{{Term: 1, Offset: 30}, {}, {Term: 1, Offset: 30}}}
		cache := &catalog.Cache{}
		cache.SetConfig(&catalog.Config{
			Version: 1, Groups: map[group.ID]catalog.Group{"g": {ID: "g"}},
			Routes: map[string]catalog.Route{"db": {Database: "db", Group: "g", Consistency: catalog.OwnWrites, MaxAge: time.Second, StatementTimeout: time.Second, TargetLatency: time.Second}},
		})
		cache.PutServer(catalog.Server{ID: "a", Group: "g", ClaimsPrimary: true})
		monitor := lead.New(lead.Config{Group: "g", Cache: cache, Client: f, PrimaryChanger: f, Clock: clock, Log: log})
		ctx, cancel := context.WithCancel(context.Background())
		defer time.Sleep(time.Second)
		defer cancel()
		go func() { _ = monitor.Run(ctx) }()
		time.Sleep(100 * time.Millisecond)
		p := proxy.New(proxy.Config{
			Cache: cache, Monitor: func(group.ID) *lead.Monitor { return monitor }, Sources: func(catalog.Server) link.Source { return f }, Clock: clock, Log: log,
		})
		s, failure := p.Open(ctx, "db")
		assert.Assert(t, failure == nil)
		for _, statement := range []exchange.Statement{{ID: "1", Operation: exchange.Write}, {ID: "2", Operation: exchange.Write}, {ID: "3", Operation: exchange.Read}} {
			answer := s.Execute(ctx, statement)
			assert.Assert(t, answer.Failure == nil, "%v", answer.Failure)
		}
		assert.Equal(t, f.sent[2].MinPosition, group.Position{Term: 1, Offset: 30})
	})
}
