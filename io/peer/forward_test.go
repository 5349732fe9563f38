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

// scriptedConversation is a conversation whose answers a test provides. After
// them it fails with failure.
type scriptedConversation struct {
	answers  chan pgproto3.BackendMessage
	failure  error
	mu       sync.Mutex
	sent     []pgproto3.FrontendMessage
	released chan bool
}

func (c *scriptedConversation) Send(_ context.Context, batch ...pgproto3.FrontendMessage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = append(c.sent, batch...)
	return nil
}

func (c *scriptedConversation) Receive(ctx context.Context) (pgproto3.BackendMessage, error) {
	select {
	case m, ok := <-c.answers:
		if !ok {
			return nil, c.failure
		}
		return m, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (c *scriptedConversation) Cancel(context.Context) error { return nil }
func (c *scriptedConversation) Release(reusable bool)        { c.released <- reusable }

// startHandler handles Start with a scripted conversation or a refusal.
type startHandler struct {
	peer.Handler
	conversation *scriptedConversation
	refusal      error
}

func (h startHandler) Start(context.Context, host.Info, peer.Start) (peer.Started, backendserver.Conversation, error) {
	if h.refusal != nil {
		return peer.Started{}, nil, h.refusal
	}
	return peer.Started{Server: "a", Term: 3, Generation: 4, Primary: true}, h.conversation, nil
}

func self() host.Info {
	return host.Info{ID: "requester", PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")}
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
	return client, host.Info{ID: "coordinator", PeerAddress: netip.MustParseAddrPort(listener.Addr().String())}
}

// Guards against an exchange that loses or reorders messages, and against one
// that does not return its connection as reusable after the last answer.
func TestForwardCarriesWholeExchange(t *testing.T) {
	scripted := &scriptedConversation{answers: make(chan pgproto3.BackendMessage, 10), released: make(chan bool, 1)}
	client, coordinator := serve(t, startHandler{conversation: scripted})
	started, conversation, err := client.Forward(t.Context(), coordinator, peer.Start{Group: "g", Timeout: time.Second})
	assert.NilError(t, err)
	assert.Equal(t, started, peer.Started{Server: "a", Term: 3, Generation: 4, Primary: true})

	assert.NilError(t, conversation.Send(t.Context(), &pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Sync{}))
	scripted.answers <- &pgproto3.ParseComplete{}
	scripted.answers <- &pgproto3.ReadyForQuery{TxStatus: 'I'}
	first, err := conversation.Receive(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, first, &pgproto3.ParseComplete{})
	second, err := conversation.Receive(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, second, &pgproto3.ReadyForQuery{TxStatus: 'I'})
	conversation.Release(true)
	assert.Equal(t, <-scripted.released, true)
	assert.DeepEqual(t, scripted.sent, []pgproto3.FrontendMessage{&pgproto3.Parse{Name: "s", Query: "SELECT 1"}, &pgproto3.Sync{}})
}

// Guards against a connection with an unfinished statement that is returned to
// the pool as reusable, where its late answer would reach another caller.
func TestForwardUnfinishedIsNotReusable(t *testing.T) {
	scripted := &scriptedConversation{answers: make(chan pgproto3.BackendMessage), released: make(chan bool, 1)}
	client, coordinator := serve(t, startHandler{conversation: scripted})
	_, conversation, err := client.Forward(t.Context(), coordinator, peer.Start{Group: "g", Timeout: time.Second})
	assert.NilError(t, err)
	assert.NilError(t, conversation.Send(t.Context(), &pgproto3.Query{String: "SELECT 1"}))
	conversation.Release(true)
	assert.Equal(t, <-scripted.released, false)
}

// Guards against an error that loses its outcome between hosts: "not run" must
// arrive as such, both from a refusal and after answers, and an unreachable
// host must be distinguished from one that refuses.
func TestForwardKeepsOutcomes(t *testing.T) {
	refusing, coordinator := serve(t, startHandler{refusal: outcome.Overloaded("queue full")})
	_, _, err := refusing.Forward(t.Context(), coordinator, peer.Start{Group: "g", Timeout: time.Second})
	assert.Equal(t, outcome.Of(err), outcome.NotRun)
	// A host that refuses a request is reachable.
	assert.Assert(t, !errors.Is(err, peer.ErrUnreachable))

	scripted := &scriptedConversation{answers: make(chan pgproto3.BackendMessage, 10), failure: outcome.RolledBack("connection lost", nil), released: make(chan bool, 1)}
	client, coordinator := serve(t, startHandler{conversation: scripted})
	_, conversation, err := client.Forward(t.Context(), coordinator, peer.Start{Group: "g", Timeout: time.Second})
	assert.NilError(t, err)
	assert.NilError(t, conversation.Send(t.Context(), &pgproto3.Query{String: "SELECT 1"}))
	scripted.answers <- &pgproto3.DataRow{}
	close(scripted.answers)
	_, err = conversation.Receive(t.Context())
	assert.NilError(t, err)
	_, err = conversation.Receive(t.Context())
	assert.Equal(t, outcome.Of(err), outcome.NotRun)
	conversation.Release(false)
	assert.Equal(t, <-scripted.released, false)

	unreachable := host.Info{ID: "unreachable", PeerAddress: netip.MustParseAddrPort("127.0.0.1:9")}
	_, _, err = client.Forward(t.Context(), unreachable, peer.Start{Group: group.ID("g"), Timeout: time.Second})
	assert.Equal(t, outcome.Of(err), outcome.NotRun)
	assert.Assert(t, errors.Is(err, peer.ErrUnreachable))
}
