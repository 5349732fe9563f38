package takeover

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/catalog"
	"basilmill/core/group"
)

// hostsTimeout bounds the calls to all hosts.
const hostsTimeout = 600 * time.Millisecond

// canExclude reports whether the attempt may go on without silent departed servers, because all
// hosts can be asked for their successes. It notes the servers. Servers are suspended only then:
// a primary that is active elsewhere would commit nothing without them.
func (a *attempt) canExclude(ctx context.Context, silent []catalog.Server) bool {
	a.silent = nil
	if len(silent) == 0 || a.Hosts == nil || a.Primary.ID == "" || a.Cause == CommitsStalled || a.Proven.IsZero() {
		return false
	}
	if _, err := a.successes(ctx, nil, 0); err != nil {
		return false
	}
	for _, s := range silent {
		a.silent = append(a.silent, s.ID)
	}
	return true
}

// successes excludes servers up to a term, and returns the highest position of a commit whose
// success a host has given. It fails with ErrServerUnresponsive if a host does not answer, or has
// started after the last proof.
func (a *attempt) successes(ctx context.Context, servers []group.ServerID, term group.Term) (highest group.Position, err error) {
	ctx, cancel := context.WithTimeout(ctx, hostsTimeout)
	defer cancel()
	answer, err := a.Hosts.Exclude(ctx, a.Group, servers, term)
	if err != nil {
		return group.Position{}, eris.Wrapf(ErrServerUnresponsive, "ask the hosts: %v", err)
	}
	if answer.Since < a.ProvenAge() {
		return group.Position{}, eris.Wrapf(ErrServerUnresponsive, "a host has run for %v only", answer.Since)
	}
	return answer.Highest, nil
}

// excludeSilent makes sure that no host has given a success for a commit, or will, which only the
// silent servers have confirmed. The other servers are suspended.
func (a *attempt) excludeSilent(ctx context.Context) error {
	if len(a.silent) == 0 {
		return nil
	}
	highest, err := a.successes(ctx, a.silent, a.nextTerm-1)
	for _, required := range []group.Position{highest, a.Proven} {
		if required.Compare(a.requiredPosition) > 0 {
			a.requiredPosition = required
		}
	}
	for _, id := range a.silent {
		a.reportStep(Step{Name: "excluded", Server: id, Epoch: a.record.Epoch, Err: err})
	}
	return err
}
