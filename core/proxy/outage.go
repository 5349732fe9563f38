package proxy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"basilmill/core/dispatch"
	"basilmill/core/group"
)

// outages tracks the groups of which requests wait for news: a primary, or a position that
// is recent enough.
type outages struct {
	mu     sync.Mutex
	groups map[outageKey]*outage
}

// outageKey tells requests that need the primary from those that need a position: other
// hosts may have news for the latter only.
type outageKey struct {
	group group.ID
	// primary is set for requests that need the primary.
	primary bool
}

// outage is a group for which requests have waited since its last news.
type outage struct {
	since   time.Time
	waiting int
}

// wait is one request's wait for news of its group.
type wait struct {
	outages *outages
	key     outageKey
}

// begin notes that a request waits for news of a group.
func (o *outages) begin(key outageKey) *wait {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.groups == nil {
		o.groups = map[outageKey]*outage{}
	}
	current := o.groups[key]
	if current == nil {
		current = &outage{since: time.Now()}
		o.groups[key] = current
	}
	current.waiting++
	return &wait{o, key}
}

// end ends the wait. With news, the outage is over.
func (w *wait) end(news bool) {
	w.outages.mu.Lock()
	defer w.outages.mu.Unlock()
	current := w.outages.groups[w.key]
	current.waiting--
	if news {
		current.since = time.Time{}
	}
	if current.waiting == 0 && current.since.IsZero() {
		delete(w.outages.groups, w.key)
	}
}

// state returns what is known of the outage, without this request.
func (w *wait) state() dispatch.Outage {
	w.outages.mu.Lock()
	defer w.outages.mu.Unlock()
	current := w.outages.groups[w.key]
	if current.since.IsZero() {
		// Another request has had news since.
		current.since = time.Now()
	}
	return dispatch.Outage{Lasted: time.Since(current.since), Waiting: current.waiting - 1}
}

// retryText tells a caller that is refused in an outage when to come back.
func retryText(o dispatch.Outage) string {
	return fmt.Sprintf("retry after %d ms", o.RetryAfter(rand.Float64()).Milliseconds())
}

// retryAdvice returns the part of a refusal that tells the caller when to come back.
func (r *request) retryAdvice() string { return cmp.Or(r.retryText, "retry later") }
