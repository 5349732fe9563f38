package takeover_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/takeover"
)

// suspensionTerms records the terms that servers are suspended for.
type suspensionTerms struct {
	takeover.ServerClient
	terms *[]group.Term
}

func (c suspensionTerms) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	if statement.Operation == exchange.Suspend {
		*c.terms = append(*c.terms, statement.Term)
	}
	return c.ServerClient.Command(ctx, s, statement)
}

// Guards against replicas that stay suspended after the change that follows one which was
// given up.
func TestReplicasAreSuspendedForTheTermOfTheNextPrimary(t *testing.T) {
	f := newFakeCluster()
	for id, status := range f.statuses {
		status.SuspendedTerm = 2
		f.statuses[id] = status
	}
	var terms []group.Term
	_, err := runAttempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) { r.Client = suspensionTerms{f, &terms} })
	assert.NilError(t, err)
	assert.DeepEqual(t, terms, []group.Term{2, 2})
}
