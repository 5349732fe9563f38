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

// trace is a schedule of faults with the expected results. Each line of its text is
// "<time> <verb> <arguments>" or "expect <verb> <arguments>"; see
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

// traceInjector injects the faults of a trace into a deployment.
type traceInjector struct {
	cluster       *cluster.Cluster
	network       *cluster.VirtualNetwork
	killedServers map[group.ServerID]bool
	// saved is the copy from which the platform's store is restored.
	saved platform.Copy
}

func (f *traceInjector) server(id string) (*cluster.Server, error) {
	for _, s := range f.cluster.Servers {
		if s.ID() == group.ServerID(id) {
			return s, nil
		}
	}
	return nil, fmt.Errorf("no server %q", id)
}

// splitAt returns the words before and after a keyword.
func splitAt(words []string, keyword string) (before, after []string) {
	if i := slices.Index(words, keyword); i >= 0 {
		return words[:i], words[i+1:]
	}
	return words, nil
}

var linkStates = map[string]pipenet.LinkState{"up": pipenet.Up, "cut": pipenet.Down, "blackhole": pipenet.BlackHole}

func (f *traceInjector) apply(words []string) error {
	verb, args := words[0], words[1:]
	switch verb {
	case "partition", "link", "centre":
		return f.setLinks(verb, args)
	case "platform":
		return f.setPlatformFault(args)
	case "heal":
		return f.heal()
	case "kill", "restart", "delay", "stall", "leaving", "overstate", "well":
		return f.setServerFault(verb, args)
	default:
		return fmt.Errorf("unknown verb %q", verb)
	}
}

func (f *traceInjector) setLinks(verb string, args []string) error {
	state, ok := linkStates[args[0]]
	if !ok {
		return fmt.Errorf("unknown state %q", args[0])
	}
	switch verb {
	case "partition":
		f.network.Partition(state, args[1:]...)
	case "link":
		for _, other := range args[2:] {
			f.network.SetLinkState(args[1], other, state)
		}
	case "centre":
		f.network.IsolateDataCentre(host.DataCentre(args[1]), state)
	}
	return nil
}

func (f *traceInjector) setPlatformFault(args []string) error {
	switch args[0] {
	case "unavailable":
		f.cluster.Platform.SetOutage(platform.Unavailable)
	case "blackhole":
		f.cluster.Platform.SetOutage(platform.BlackHole)
	case "up":
		f.cluster.Platform.SetOutage(platform.NoOutage)
	case "lose-reply":
		f.cluster.Platform.LoseReplies(1)
	case "save":
		f.saved = f.cluster.Platform.Copy()
	case "restore":
		f.cluster.Platform.Restore(f.saved)
	default:
		return fmt.Errorf("unknown platform fault %q", args[0])
	}
	return nil
}

func (f *traceInjector) setServerFault(verb string, args []string) error {
	s, err := f.server(args[0])
	if err != nil {
		return err
	}
	current := s.Faults()
	args, to := splitAt(args[1:], "to")
	for _, id := range to {
		current.ReplicationTo = append(current.ReplicationTo, group.ServerID(id))
	}
	switch verb {
	case "kill":
		s.Kill()
		f.killedServers[s.ID()] = true
	case "restart":
		delete(f.killedServers, s.ID())
		return f.cluster.RestartServer(s)
	case "delay":
		current.ReplicationDelay, err = time.ParseDuration(args[0])
	case "stall":
		current.ReplicationStalled = true
	case "leaving":
		current.Leaving = true
	case "overstate":
		current.ReceivedExcess = 1 << 30
	case "well":
		current = backendserver.Faults{}
	}
	s.SetFaults(current)
	return err
}

// heal removes all faults and restarts the servers that were killed.
func (f *traceInjector) heal() error {
	f.network.Heal()
	f.cluster.Platform.SetOutage(platform.NoOutage)
	f.cluster.Platform.LoseReplies(0)
	for _, s := range f.cluster.Servers {
		if f.killedServers[s.ID()] {
			if err := f.cluster.RestartServer(s); err != nil {
				return err
			}
		}
		s.SetFaults(backendserver.Faults{})
	}
	clear(f.killedServers)
	return nil
}
