package serve

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"basilmill/core/outcome"
	"basilmill/io/backendserver"
)

// boundedAgeConversation is a conversation for a read with a maximum age. If
// the answer begins after freshUntil, up to which the server is proven fresh
// enough, it is not passed on: the read fails as not run and is routed again.
type boundedAgeConversation struct {
	backendserver.Conversation
	freshUntil time.Time
	// answerStarted is set once the first message was received.
	answerStarted atomic.Bool
}

// withFreshnessLimit makes a conversation reject an answer that begins after
// freshUntil; zero means that there is no limit.
func withFreshnessLimit(conversation backendserver.Conversation, freshUntil time.Time) backendserver.Conversation {
	if freshUntil.IsZero() {
		return conversation
	}
	return &boundedAgeConversation{Conversation: conversation, freshUntil: freshUntil}
}

// Receive implements backendserver.Conversation.
func (c *boundedAgeConversation) Receive(ctx context.Context) (pgproto3.BackendMessage, error) {
	message, err := c.Conversation.Receive(ctx)
	if err != nil || c.answerStarted.Swap(true) {
		return message, err
	}
	if time.Now().After(c.freshUntil) {
		return nil, outcome.Unavailable("the answer came too late for the stated age", nil)
	}
	return message, nil
}
