package proxy

import (
	"context"
	"errors"
	"time"

	"basilmill/core/account"
	"basilmill/core/exchange"
	"basilmill/core/ratelimit"
)

// Admission limits the operations of client accounts. An operation is a statement outside
// a transaction, or a transaction.
type Admission interface {
	// Admit decides whether an operation of the account may run now. It waits until ctx
	// ends at most.
	Admit(ctx context.Context, id account.ID) ratelimit.Verdict
	// AdmitAtHand reports whether a second copy of an operation of the account may be sent.
	// It does not wait.
	AdmitAtHand(id account.ID) bool
}

// errOverLimit is the reason of a refusal over the limit of an account.
var errOverLimit = errors.New("over the limit of the account")

// errLimitsUnknown is the reason of a refusal by a host that has just started and cannot
// tell whether the account is over its limit.
var errLimitsUnknown = errors.New("the limits of accounts are not known yet")

// admit decides whether the operation may run. The answer of one that may not says that
// nothing was run. It is called before anything is reserved for the operation.
func (r *request) admit(ctx context.Context) (refusal exchange.Answer, v ratelimit.Verdict) {
	v = r.requestAdmission(ctx)
	if v.Admitted {
		return exchange.Answer{}, v
	}
	// Rounding up keeps a caller that follows the text from coming back too early.
	wait := (v.RetryAfter + time.Millisecond - 1).Truncate(time.Millisecond)
	r.noteRefused(v)
	return exchange.ErrorAnswer(exchange.Busy, r.reason+", retry after "+wait.String(), exchange.Idle), v
}

// noteRefused notes why an operation is not admitted.
func (r *request) noteRefused(v ratelimit.Verdict) {
	switch {
	case v.Admitted:
	case v.Unready:
		r.reason = errLimitsUnknown.Error()
	default:
		r.reason = errOverLimit.Error()
	}
}

// requestAdmission requests the admission. Without a limit, its UseWithin is zero.
func (r *request) requestAdmission(ctx context.Context) ratelimit.Verdict {
	admission, id := r.session.proxy.config.Admission, r.account
	if admission == nil || id == "" {
		return ratelimit.Verdict{Admitted: true}
	}
	return admission.Admit(ctx, id)
}

// admitHedge decides whether the second copy of a read may be sent, which reaches a server
// as well.
func (r *request) admitHedge() bool {
	admission := r.session.proxy.config.Admission
	return admission == nil || r.account == "" || admission.AdmitAtHand(r.account)
}

// admitFirst admits a transaction anew whose caller has sent the first statement late:
// otherwise callers could open transactions for a while and start them all at once. It sets
// the reason if the transaction is not admitted.
func (t *transaction) admitFirst(ctx context.Context, r *request) bool {
	if t.startBy == 0 || r.session.proxy.config.Clock() <= t.startBy {
		return true
	}
	v := r.requestAdmission(ctx)
	r.noteRefused(v)
	return v.Admitted
}
