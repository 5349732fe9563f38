package link

import (
	"sync"
	"time"

	"basilmill/core/lifetime"
)

// process tracks the process that answers on the connections to one server. A connection
// that is opened while another one answers shows that the process is the same, so that
// spare connections may come and go. The zero value is ready for use.
type process struct {
	mu    sync.Mutex
	spans lifetime.Set
}

// note notes the span that an answer proves, and returns since when the process that gave
// it is known to have run.
func (p *process) note(answer lifetime.Span) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.spans.Note(answer).Since
}
