package replicated

import (
	"math/rand/v2"
	"slices"
	"time"

	"basilmill/core/exchange"
	"basilmill/core/group"
)

// LateCalls is a fault by which calls get no answer and are carried out late.
type LateCalls struct {
	// Least and Most bound the delay, which is drawn for each call.
	Least, Most time.Duration
	// Percent is the share of the calls that the fault affects.
	Percent int
	// Seed selects the sequence of drawn values.
	Seed uint64
}

// lateCalls is a LateCalls in force.
type lateCalls struct {
	LateCalls
	random *rand.Rand
}

// delay draws the delay of the next call. It returns false if the call is answered.
func (l *lateCalls) delay() (delay time.Duration, late bool) {
	if l.random.IntN(100) >= l.Percent {
		return 0, false
	}
	return l.Least + time.Duration(l.random.Int64N(int64(l.Most-l.Least)+1)), true
}

// lateFaults are the faults of one kind of calls in force. The last one applies.
type lateFaults []*lateCalls

// delay draws the delay of the next call. It returns false if the call is answered.
func (f lateFaults) delay() (delay time.Duration, late bool) {
	if len(f) == 0 {
		return 0, false
	}
	return f[len(f)-1].delay()
}

// DelayPromotions makes the platform leave orders of promotions unanswered and carry them
// out late, until the returned function is called.
func (c *Cluster) DelayPromotions(l LateCalls) (end func()) { return c.inject(&c.latePromotions, l) }

// DelayCommands makes servers leave Suspend, Resume and Demote unanswered and carry them out
// late, until the returned function is called. A command is carried out by the server that
// then has the id, if it runs. Its connection answers nothing more.
func (c *Cluster) DelayCommands(l LateCalls) (end func()) { return c.inject(&c.lateCommands, l) }

func (c *Cluster) inject(faults *lateFaults, l LateCalls) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fault := &lateCalls{l, rand.New(rand.NewPCG(l.Seed, 0))}
	*faults = append(*faults, fault)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		*faults = slices.DeleteFunc(*faults, func(f *lateCalls) bool { return f == fault })
	}
}

// promotionDelay returns the delay of an order of a promotion. It returns false if the order
// is answered.
func (c *Cluster) promotionDelay() (delay time.Duration, late bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lostPromotionDelay > 0 {
		return c.lostPromotionDelay, true
	}
	return c.latePromotions.delay()
}

// deferCommand leaves a command that changes the server to be carried out late. It returns
// false if the statement is to be answered.
func (c *Cluster) deferCommand(server group.ServerID, statement exchange.Statement) bool {
	switch statement.Operation {
	case exchange.Suspend, exchange.Resume, exchange.Demote:
	default:
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delay, late := c.lateCommands.delay()
	if late {
		time.AfterFunc(delay, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			if s := c.servers[server]; s != nil && s.up {
				s.runCommand(statement)
			}
		})
	}
	return late
}
