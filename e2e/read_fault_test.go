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

// faultWorld injects the faults that a schedule names into a deployment.
type faultWorld struct {
	c *cluster.Cluster
	v *cluster.VirtualNetwork
	// faults are the current faults of each backend server.
	faults map[group.ServerID]backendserver.Faults
}

func newFaultWorld(c *cluster.Cluster, v *cluster.VirtualNetwork) *faultWorld {
	return &faultWorld{c: c, v: v, faults: map[group.ServerID]backendserver.Faults{}}
}

// run carries out a schedule. Each line is the time since the start of the
// schedule and a fault; text after # is a comment.
func (w *faultWorld) run(schedule string) error {
	began := time.Now()
	for line := range strings.Lines(schedule) {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		at, err := time.ParseDuration(fields[0])
		if err != nil {
			return err
		}
		time.Sleep(time.Until(began.Add(at)))
		if err := w.apply(fields[1], fields[2:]); err != nil {
			return fmt.Errorf("%s: %w", strings.TrimSpace(line), err)
		}
	}
	return nil
}

// apply carries out one fault:
//
//	stall SERVER…            the feeds of these replicas stop
//	delay DURATION SERVER…   the feeds of these replicas are delayed
//	apply SERVER DURATION    the server applies what it received later
//	leaving SERVER           the server's status reports that it leaves
//	kill SERVER              the server ends
//	link A B STATE           the link between two machines
//	isolate A STATE EXCEPT…  the other links of a machine
//	centre NAME STATE        the links that leave a data centre
//	platform OUTAGE          the platform's outage
//	replies N                the platform loses that many replies
//	hostlag DURATION         the platform's host list lags
//	stop HOST                the host shuts down gracefully
func (w *faultWorld) apply(verb string, args []string) error {
	switch verb {
	case "stall":
		w.feeds(args, func(f *backendserver.Faults) { f.ReplicationStalled = len(args) > 0 })
	case "delay":
		return w.duration(args[0], func(d time.Duration) {
			w.feeds(args[1:], func(f *backendserver.Faults) { f.ReplicationDelay = d })
		})
	case "apply":
		return w.duration(args[1], func(d time.Duration) {
			w.change(group.ServerID(args[0]), func(f *backendserver.Faults) { f.ApplyDelay = d })
		})
	case "leaving":
		w.change(group.ServerID(args[0]), func(f *backendserver.Faults) { f.Leaving = true })
	case "kill":
		w.server(group.ServerID(args[0])).Kill()
	case "link":
		return w.link(args[2], func(s pipenet.LinkState) { w.v.SetLinkState(args[0], args[1], s) })
	case "isolate":
		return w.link(args[1], func(s pipenet.LinkState) { w.v.Isolate(args[0], s, args[2:]...) })
	case "centre":
		return w.link(args[1], func(s pipenet.LinkState) { w.v.IsolateDataCentre(host.DataCentre(args[0]), s) })
	case "platform":
		w.c.Platform.SetOutage(platform.Outage(args[0]))
	case "replies":
		var n int
		_, err := fmt.Sscan(args[0], &n)
		w.c.Platform.LoseReplies(n)
		return err
	case "hostlag":
		return w.duration(args[0], w.c.Platform.SetHostLag)
	case "stop":
		w.host(host.ID(args[0])).Stop()
	default:
		return fmt.Errorf("unknown fault %q", verb)
	}
	return nil
}

// heal ends all faults except the end of servers and hosts.
func (w *faultWorld) heal() {
	for _, s := range w.c.Servers {
		w.change(s.ID(), func(f *backendserver.Faults) { *f = backendserver.Faults{Leaving: f.Leaving} })
	}
	var machines []string
	for _, s := range w.c.Servers {
		machines = append(machines, string(s.ID()))
	}
	for _, h := range w.c.Hosts {
		machines = append(machines, string(h.Self().ID))
	}
	for _, m := range append(machines, cluster.PlatformMachine) {
		w.v.Isolate(m, pipenet.Up)
	}
	w.c.Platform.SetOutage(platform.NoOutage)
	w.c.Platform.SetHostLag(0)
	w.c.Platform.LoseReplies(0)
}

// feeds changes the faults of the feeds to the given replicas on every server,
// because any server may become primary.
func (w *faultWorld) feeds(to []string, change func(*backendserver.Faults)) {
	for _, s := range w.c.Servers {
		w.change(s.ID(), func(f *backendserver.Faults) {
			f.ReplicationStalled, f.ReplicationDelay, f.ReplicationTo = false, 0, nil
			for _, id := range to {
				f.ReplicationTo = append(f.ReplicationTo, group.ServerID(id))
			}
			change(f)
		})
	}
}

func (w *faultWorld) change(id group.ServerID, change func(*backendserver.Faults)) {
	f := w.faults[id]
	change(&f)
	w.faults[id] = f
	w.server(id).SetFaults(f)
}

func (w *faultWorld) duration(text string, set func(time.Duration)) error {
	d, err := time.ParseDuration(text)
	if err == nil {
		set(d)
	}
	return err
}

func (w *faultWorld) link(text string, set func(pipenet.LinkState)) error {
	states := map[string]pipenet.LinkState{"Up": pipenet.Up, "Cut": pipenet.Cut, "BlackHole": pipenet.BlackHole}
	state, ok := states[text]
	if !ok {
		return fmt.Errorf("unknown state %q of a link", text)
	}
	set(state)
	return nil
}

func (w *faultWorld) server(id group.ServerID) *cluster.Server {
	i := slices.IndexFunc(w.c.Servers, func(s *cluster.Server) bool { return s.ID() == id })
	return w.c.Servers[i]
}

func (w *faultWorld) host(id host.ID) *cluster.Host {
	i := slices.IndexFunc(w.c.Hosts, func(h *cluster.Host) bool { return h.Self().ID == id })
	return w.c.Hosts[i]
}
