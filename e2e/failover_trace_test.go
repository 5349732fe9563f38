package e2e_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/e2e/cluster"
	"basilmill/standin/backendserver"
	"basilmill/standin/pipenet"
	"basilmill/standin/platform"
)

// trace is a schedule of faults with the outcome expected. In its text, each
// line is "<time> <verb> <arguments>" or "expect <verb> <arguments>"; see
// testdata/failover/README.
type trace struct {
	steps  []traceStep
	expect [][]string
	end    time.Duration
}

type traceStep struct {
	at    time.Duration
	words []string
}

func parseTrace(text string) (tr trace, err error) {
	for line := range strings.Lines(text) {
		words := strings.Fields(line)
		switch {
		case len(words) == 0 || strings.HasPrefix(words[0], "#"):
			continue
		case words[0] == "expect":
			tr.expect = append(tr.expect, words[1:])
			continue
		case len(words) < 2:
			return tr, fmt.Errorf("line %q has no verb", line)
		}
		at, err := time.ParseDuration(words[0])
		if err != nil {
			return tr, err
		}
		if words[1] == "end" {
			tr.end = at
			continue
		}
		tr.steps = append(tr.steps, traceStep{at, words[1:]})
	}
	slices.SortStableFunc(tr.steps, func(a, b traceStep) int { return int(a.at - b.at) })
	return tr, nil
}

func (tr trace) String() string {
	var b strings.Builder
	for _, s := range tr.steps {
		fmt.Fprintf(&b, "%s %s\n", s.at, strings.Join(s.words, " "))
	}
	fmt.Fprintf(&b, "%s end\n", tr.end)
	return b.String()
}

// faults applies the steps of traces to a deployment.
type faults struct {
	c    *cluster.Cluster
	v    *cluster.VirtualNetwork
	dead map[group.ServerID]bool
}

func (f *faults) server(id string) (*cluster.Server, error) {
	for _, s := range f.c.Servers {
		if s.ID() == group.ServerID(id) {
			return s, nil
		}
	}
	return nil, fmt.Errorf("no server %q", id)
}

// split separates the words before a keyword from those after it.
func split(words []string, keyword string) (before, after []string) {
	if i := slices.Index(words, keyword); i >= 0 {
		return words[:i], words[i+1:]
	}
	return words, nil
}

var linkStates = map[string]pipenet.LinkState{"up": pipenet.Up, "cut": pipenet.Cut, "blackhole": pipenet.BlackHole}

func (f *faults) apply(words []string) error {
	verb, args := words[0], words[1:]
	switch verb {
	case "partition", "link", "centre":
		return f.network(verb, args)
	case "platform":
		return f.platform(args)
	case "heal":
		return f.heal()
	case "kill", "restart", "delay", "stall", "leaving", "overstate", "well":
		return f.database(verb, args)
	default:
		return fmt.Errorf("unknown verb %q", verb)
	}
}

func (f *faults) network(verb string, args []string) error {
	state, ok := linkStates[args[0]]
	if !ok {
		return fmt.Errorf("unknown state %q", args[0])
	}
	switch verb {
	case "partition":
		f.v.Partition(state, args[1:]...)
	case "link":
		for _, other := range args[2:] {
			f.v.SetLinkState(args[1], other, state)
		}
	case "centre":
		f.v.IsolateDataCentre(host.DataCentre(args[1]), state)
	}
	return nil
}

func (f *faults) platform(args []string) error {
	switch args[0] {
	case "unavailable":
		f.c.Platform.SetOutage(platform.Unavailable)
	case "blackhole":
		f.c.Platform.SetOutage(platform.BlackHole)
	case "up":
		f.c.Platform.SetOutage(platform.NoOutage)
	case "lose-reply":
		f.c.Platform.LoseReplies(1)
	default:
		return fmt.Errorf("unknown platform fault %q", args[0])
	}
	return nil
}

func (f *faults) database(verb string, args []string) error {
	s, err := f.server(args[0])
	if err != nil {
		return err
	}
	now := s.Faults()
	args, to := split(args[1:], "to")
	for _, id := range to {
		now.ReplicationTo = append(now.ReplicationTo, group.ServerID(id))
	}
	switch verb {
	case "kill":
		s.Kill()
		f.dead[s.ID()] = true
	case "restart":
		delete(f.dead, s.ID())
		return f.c.RestartServer(s)
	case "delay":
		now.ReplicationDelay, err = time.ParseDuration(args[0])
	case "stall":
		now.ReplicationStalled = true
	case "leaving":
		now.Leaving = true
	case "overstate":
		now.ReceivedExcess = 1 << 30
	case "well":
		now = backendserver.Faults{}
	}
	s.SetFaults(now)
	return err
}

// heal ends all faults and restarts the servers that were killed.
func (f *faults) heal() error {
	f.v.Heal()
	f.c.Platform.SetOutage(platform.NoOutage)
	f.c.Platform.LoseReplies(0)
	for _, s := range f.c.Servers {
		if f.dead[s.ID()] {
			if err := f.c.RestartServer(s); err != nil {
				return err
			}
		}
		s.SetFaults(backendserver.Faults{})
	}
	clear(f.dead)
	return nil
}
