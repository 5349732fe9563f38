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

// deafToTerm is a group whose servers ignore a suspension up to a term that they don't state.
type deafToTerm struct {
	takeover.ServerClient
	term group.Term
}

func (c deafToTerm) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	if statement.Operation == exchange.Suspend && statement.Term <= c.term {
		statement.Operation = exchange.Status
	}
	return c.ServerClient.Command(ctx, s, statement)
}

// Guards against a promotion beside replicas that ignored their suspension, and against ones
// that stay suspended for a term above that of the new primary: it is promoted again until it
// leads that term.
func TestSuspensionIsRepeatedUntilItIsInForce(t *testing.T) {
	f := newFakeCluster()
	server, err := runAttempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) { r.Client = deafToTerm{f, 3} })
	assert.ErrorIs(t, err, takeover.ErrSuspensionsRemain)
	assert.Equal(t, server, group.ServerID("c"))
	assert.DeepEqual(t, f.suspensions(), map[group.ServerID]group.Term{"b": 4})
	server, err = replacePrimary(t, f, "c", takeover.ReplicasSuspended, nil)
	assert.ErrorIs(t, err, takeover.ErrSuspensionsRemain)
	assert.Equal(t, server, group.ServerID("c"))
	assert.DeepEqual(t, f.suspensions(), map[group.ServerID]group.Term{"b": 4})
	server, err = replacePrimary(t, f, "c", takeover.ReplicasSuspended, nil)
	assert.NilError(t, err)
	assert.Equal(t, server, group.ServerID("c"))
	assert.Equal(t, f.primary, group.ServerID("c"))
	assert.Equal(t, len(f.suspensions()), 0)
	assert.Equal(t, len(f.orderedEpochs), 3)
	f = newFakeCluster()
	_, err = runAttempt(t, f, takeover.PrimaryGone, func(r *takeover.Runner) { r.Client = deafToTerm{f, 100} })
	assert.ErrorIs(t, err, takeover.ErrServerUnresponsive)
	assert.Equal(t, len(f.orderedEpochs), 0)
}
