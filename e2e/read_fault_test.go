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

// faultInjector injects the faults of a schedule into a deployment.
type faultInjector struct {
	cluster *cluster.Cluster
	network *cluster.VirtualNetwork
	// faults has the current faults of each backend server.
	faults map[group.ServerID]backendserver.Faults
}

func newFaultInjector(c *cluster.Cluster, v *cluster.VirtualNetwork) *faultInjector {
	return &faultInjector{cluster: c, network: v, faults: map[group.ServerID]backendserver.Faults{}}
}

// run executes a schedule. Each line is the time since the start of the schedule and a
// fault; text after # is a comment.
func (fi *faultInjector) run(schedule string) error {
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
		if err := fi.apply(fields[1], fields[2:]); err != nil {
			return fmt.Errorf("%s: %w", strings.TrimSpace(line), err)
		}
	}
	return nil
}

// apply injects one fault:
//
//	stall SERVER…            stops the replication streams to these replicas
//	delay DURATION SERVER…   delays the replication streams to these replicas
//	apply SERVER DURATION    delays the application of received entries
//	leaving SERVER           makes the server's status report that it is leaving
//	kill SERVER              kills the server
//	link A B STATE           sets the state of the link between two machines
//	isolate A STATE EXCEPT…  sets the state of a machine's links, with exceptions
//	centre NAME STATE        sets the state of the links that leave a data centre
//	platform OUTAGE          sets the platform's outage
//	replies N                makes the platform lose that many replies
//	hostlag DURATION         delays the platform's host list
//	stop HOST                starts the graceful shutdown of the host
func (fi *faultInjector) apply(verb string, args []string) error {
	switch verb {
	case "stall":
		fi.setReplicationFaults(args, func(f *backendserver.Faults) { f.ReplicationStalled = len(args) > 0 })
	case "delay":
		return fi.withDuration(args[0], func(d time.Duration) {
			fi.setReplicationFaults(args[1:], func(f *backendserver.Faults) { f.ReplicationDelay = d })
		})
	case "apply":
		return fi.withDuration(args[1], func(d time.Duration) {
			fi.updateFaults(group.ServerID(args[0]), func(f *backendserver.Faults) { f.ApplyDelay = d })
		})
	case "leaving":
		fi.updateFaults(group.ServerID(args[0]), func(f *backendserver.Faults) { f.Leaving = true })
	case "kill":
		fi.server(group.ServerID(args[0])).Kill()
	case "link":
		return fi.withLinkState(args[2], func(s pipenet.LinkState) { fi.network.SetLinkState(args[0], args[1], s) })
	case "isolate":
		return fi.withLinkState(args[1], func(s pipenet.LinkState) { fi.network.Isolate(args[0], s, args[2:]...) })
	case "centre":
		return fi.withLinkState(args[1], func(s pipenet.LinkState) { fi.network.IsolateDataCentre(host.DataCentre(args[0]), s) })
	case "platform":
		fi.cluster.Platform.SetOutage(platform.Outage(args[0]))
	case "replies":
		var n int
		_, err := fmt.Sscan(args[0], &n)
		fi.cluster.Platform.LoseReplies(n)
		return err
	case "hostlag":
		return fi.withDuration(args[0], fi.cluster.Platform.SetHostLag)
	case "stop":
		fi.host(host.ID(args[0])).Stop()
	default:
		return fmt.Errorf("unknown fault %q", verb)
	}
	return nil
}

// heal removes all faults, but does not restart servers and hosts, and leaves the
// leaving marks set.
func (fi *faultInjector) heal() {
	for _, s := range fi.cluster.Servers {
		fi.updateFaults(s.ID(), func(f *backendserver.Faults) { *f = backendserver.Faults{Leaving: f.Leaving} })
	}
	var machines []string
	for _, s := range fi.cluster.Servers {
		machines = append(machines, string(s.ID()))
	}
	for _, h := range fi.cluster.Hosts {
		machines = append(machines, string(h.Self().ID))
	}
	for _, m := range append(machines, cluster.PlatformMachine) {
		fi.network.Isolate(m, pipenet.Up)
	}
	fi.cluster.Platform.SetOutage(platform.NoOutage)
	fi.cluster.Platform.SetHostLag(0)
	fi.cluster.Platform.LoseReplies(0)
}

// setReplicationFaults changes the faults of the replication streams to the given
// replicas on every server, because any server may become primary.
func (fi *faultInjector) setReplicationFaults(to []string, change func(*backendserver.Faults)) {
	for _, s := range fi.cluster.Servers {
		fi.updateFaults(s.ID(), func(f *backendserver.Faults) {
			f.ReplicationStalled, f.ReplicationDelay, f.ReplicationTo = false, 0, nil
			for _, id := range to {
				f.ReplicationTo = append(f.ReplicationTo, group.ServerID(id))
			}
			change(f)
		})
	}
}

func (fi *faultInjector) updateFaults(id group.ServerID, change func(*backendserver.Faults)) {
	f := fi.faults[id]
	change(&f)
	fi.faults[id] = f
	fi.server(id).SetFaults(f)
}

func (fi *faultInjector) withDuration(text string, set func(time.Duration)) error {
	d, err := time.ParseDuration(text)
	if err == nil {
		set(d)
	}
	return err
}

func (fi *faultInjector) withLinkState(text string, set func(pipenet.LinkState)) error {
	states := map[string]pipenet.LinkState{"Up": pipenet.Up, "Cut": pipenet.Down, "BlackHole": pipenet.BlackHole}
	state, ok := states[text]
	if !ok {
		return fmt.Errorf("unknown state %q of a link", text)
	}
	set(state)
	return nil
}

func (fi *faultInjector) server(id group.ServerID) *cluster.Server {
	i := slices.IndexFunc(fi.cluster.Servers, func(s *cluster.Server) bool { return s.ID() == id })
	return fi.cluster.Servers[i]
}

func (fi *faultInjector) host(id host.ID) *cluster.Host {
	i := slices.IndexFunc(fi.cluster.Hosts, func(h *cluster.Host) bool { return h.Self().ID == id })
	return fi.cluster.Hosts[i]
}
