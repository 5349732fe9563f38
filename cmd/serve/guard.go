package serve

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/outcome"
	"basilmill/io/backendserver"
)

// guarded is a conversation for a read with a stated age. An answer that
// begins after the time up to which the server is proven fresh enough is not
// passed on: the read fails as not run and is routed again.
type guarded struct {
	backendserver.Conversation
	freshUntil time.Time
	answered   atomic.Bool
}

// guard guards a conversation until freshUntil; zero means without limit.
func guard(conversation backendserver.Conversation, freshUntil time.Time) backendserver.Conversation {
	if freshUntil.IsZero() {
		return conversation
	}
	return &guarded{Conversation: conversation, freshUntil: freshUntil}
}

// Receive implements backendserver.Conversation.
func (g *guarded) Receive(ctx context.Context) (pgproto3.BackendMessage, error) {
	message, err := g.Conversation.Receive(ctx)
	if err != nil || g.answered.Swap(true) {
		return message, err
	}
	if time.Now().After(g.freshUntil) {
		return nil, outcome.Unavailable("the answer came too late for the stated age", nil)
	}
	return message, nil
}
