package peer_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/outcome"
	"basilmill/io/backendserver"
	"basilmill/io/peer"
)

// backend is a conversation whose answers a test scripts.
type backend struct {
	answers  chan pgproto3.BackendMessage
	failure  error
	mu       sync.Mutex
	sent     []pgproto3.FrontendMessage
	released chan bool
}

func (b *backend) Send(_ context.Context, batch ...pgproto3.FrontendMessage) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sent = append(b.sent, batch...)
	return nil
}

func (b *backend) Receive(ctx context.Context) (pgproto3.BackendMessage, error) {
	select {
	case m, ok := <-b.answers:
		if !ok {
			return nil, b.failure
		}
		return m, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (b *backend) Cancel(context.Context) error { return nil }
func (b *backend) Release(reusable bool)        { b.released <- reusable }

type handler struct {
	peer.Handler
	backend *backend
	refuse  error
}

func (h handler) Start(context.Context, host.Info, peer.Start) (peer.Started, backendserver.Conversation, error) {
	if h.refuse != nil {
		return peer.Started{}, nil, h.refuse
	}
	return peer.Started{Server: "a", Term: 3, Generation: 4, Primary: true}, h.backend, nil
}

func self() host.Info {
	return host.Info{ID: "asker", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")}
}

func serve(t *testing.T, h peer.Handler) (*peer.Client, host.Info) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := peer.NewServer(self, h)
	go func() { _ = server.Serve(listener) }()
	client := peer.NewClient(self, nil)
	t.Cleanup(func() {
		client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = server.Shutdown(ctx)
	})
	return client, host.Info{ID: "holder", PeerAddress: netip.MustParseAddrPort(listener.Addr().String())}
}

// Guards against an exchange that loses or reorders messages, or that returns
// a connection with unread answers as reusable.
func TestForwardCarriesWholeExchange(t *testing.T) {
	b := &backend{answers: make(chan pgproto3.BackendMessage, 10), released: make(chan bool, 1)}
	client, holder := serve(t, handler{backend: b})
	started, conversation, err := client.Forward(t.Context(), holder, peer.Start{Group: "g", Timeout: time.Second})
	assert.NilError(t, err)
	assert.Equal(t, started, peer.Started{Server: "a", Term: 3, Generation: 4, Primary: true})

	assert.NilError(t, conversation.Send(t.Context(), &pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Sync{}))
	b.answers <- &pgproto3.ParseComplete{}
	b.answers <- &pgproto3.ReadyForQuery{TxStatus: 'I'}
	first, err := conversation.Receive(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, first, &pgproto3.ParseComplete{})
	second, err := conversation.Receive(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, second, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	conversation.Release(true)
	assert.Equal(t, <-b.released, true)
	assert.DeepEqual(t, b.sent, []pgproto3.FrontendMessage{&pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Sync{}})
}

// Guards against a connection with an unfinished statement that goes back to
// the pool, where its late answer would reach another caller.
func TestForwardUnfinishedIsNotReusable(t *testing.T) {
	b := &backend{answers: make(chan pgproto3.BackendMessage), released: make(chan bool, 1)}
	client, holder := serve(t, handler{backend: b})
	_, conversation, err := client.Forward(t.Context(), holder, peer.Start{Group: "g", Timeout: time.Second})
	assert.NilError(t, err)
	assert.NilError(t, conversation.Send(t.Context(), &pgproto3.Query{String: "SELECT 1"}))
	conversation.Release(true)
	assert.Equal(t, <-b.released, false)
}

// Guards against a failure that loses its outcome between hosts: "not run"
// must arrive as such, before and after answers, and a lost link as unknown.
func TestForwardKeepsOutcomes(t *testing.T) {
	refusing, holder := serve(t, handler{refuse: outcome.Overloaded("queue full")})
	_, _, err := refusing.Forward(t.Context(), holder, peer.Start{Group: "g", Timeout: time.Second})
	assert.Equal(t, outcome.Of(err), outcome.NotRun)
	// A refusal must not count as a failure of the host.
	assert.Assert(t, !errors.Is(err, peer.ErrUnreachable))

	b := &backend{answers: make(chan pgproto3.BackendMessage, 10), failure: outcome.RolledBack("connection lost", nil), released: make(chan bool, 1)}
	client, holder := serve(t, handler{backend: b})
	_, conversation, err := client.Forward(t.Context(), holder, peer.Start{Group: "g", Timeout: time.Second})
	assert.NilError(t, err)
	assert.NilError(t, conversation.Send(t.Context(), &pgproto3.Query{String: "SELECT 1"}))
	b.answers <- &pgproto3.DataRow{}
	close(b.answers)
	_, err = conversation.Receive(t.Context())
	assert.NilError(t, err)
	_, err = conversation.Receive(t.Context())
	assert.Equal(t, outcome.Of(err), outcome.NotRun)
	conversation.Release(false)
	assert.Equal(t, <-b.released, false)

	dead := host.Info{ID: "dead", PeerAddress: netip.MustParseAddrPort("127.0.0.1:9")}
	_, _, err = client.Forward(t.Context(), dead, peer.Start{Group: group.ID("g"), Timeout: time.Second})
	assert.Equal(t, outcome.Of(err), outcome.NotRun)
	assert.Assert(t, errors.Is(err, peer.ErrUnreachable))
}
