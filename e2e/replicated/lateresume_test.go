package replicated_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/takeover"
	"basilmill/standin/replicated"
)

// slowClient answers Suspend of one server never, and carries out Resume of another one
// after a delay.
type slowClient struct {
	takeover.ServerClient
	unanswered, delayed group.ServerID
	delay               time.Duration
}

func (c slowClient) Command(ctx context.Context, s catalog.Server, statement exchange.Statement) (exchange.ServerStatus, error) {
	switch {
	case statement.Operation == exchange.Suspend && s.ID == c.unanswered:
		<-ctx.Done()
		return exchange.ServerStatus{}, ctx.Err()
	case statement.Operation == exchange.Resume && s.ID == c.delayed:
		time.Sleep(c.delay)
		ctx = context.Background()
	}
	return c.ServerClient.Command(ctx, s, statement)
}

// slowLister answers after a delay.
type slowLister struct {
	takeover.ServerLister
	delay time.Duration
}

func (l slowLister) Servers(ctx context.Context, id group.ID) ([]catalog.Server, error) {
	time.Sleep(l.delay)
	return l.ServerLister.Servers(ctx, id)
}

// Guards against replicas that an attempt resumes which was not superseded when it was given
// up, but is before the commands reach them.
func TestResumeThatReachesAReplicaAfterTheNextClaimLosesNoSuccess(t *testing.T) {
	for delay := 200 * time.Millisecond; delay < 1500*time.Millisecond; delay += 100 * time.Millisecond {
		var lost []string
		var errs [2]error
		synctest.Test(t, func(t *testing.T) {
			cluster := replicated.New()
			cluster.PromotionDelay = time.Second
			cluster.StartServer("d", 0)
			h3 := startHost(cluster, "h3", hostOptions{dataCentre: "dc-c"})
			h3.awaitSettled(t)
			recordWrites(h3, time.Now().Add(200*time.Millisecond))
			time.Sleep(100 * time.Millisecond)
			commander, closeAll := commanderOf(cluster, &partition{})
			first, second := runnerOf(cluster, h3), runnerOf(cluster, h3)
			first.Self, second.Self = "h1", "h2"
			first.Client, second.Client = slowClient{commander, "d", "b", delay}, commander
			first.ServerLister = slowLister{cluster, 650 * time.Millisecond}
			n := 0
			second.NewUpdateID = func() string { n++; return fmt.Sprint("r2-", n) }
			request := takeover.Request{Group: replicated.Group, Cause: takeover.PrimaryGone, Members: cluster.ServerEntries()}
			request.Primary = request.Members[0]
			done := make(chan struct{})
			go func() {
				defer close(done)
				_, errs[0] = first.Run(context.Background(), request)
			}()
			time.Sleep(100 * time.Millisecond)
			_ = second.ReadRecord(context.Background(), replicated.Group)
			written := make(chan []clientOperation, 1)
			go func() { written <- recordWrites(h3, time.Now().Add(8*time.Second)) }()
			time.Sleep(takeover.LeaseTTL + 10*time.Millisecond)
			_, errs[1] = second.Run(context.Background(), request)
			<-done
			operations := <-written
			closeAll()
			stop(cluster, h3)
			lost = lostSuccesses(cluster, operations)
		})
		assert.Equal(t, len(lost), 0, "%v: first %v; second %v: %v", delay, errs[0], errs[1], lost)
	}
}
