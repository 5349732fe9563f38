package replicated_test

import (
	"flag"
	"slices"
	"strings"

	"pgregory.net/rapid"

	"basilmill/core/group"
)

// The servers that a schedule names. Those of initialServers exist from the start.
var (
	initialServers = []group.ServerID{"a", "b", "c"}
	startedServers = []group.ServerID{"d", "e"}
	rebornServers  = []group.ServerID{"r", "s"}
	allServers     = slices.Concat(initialServers, startedServers, rebornServers)
)

// stepKinds are the kinds of steps that drawStep draws. New servers are drawn more often.
var stepKinds = []string{"start", "start", "crash", "leave", "split", "host cut", "server cut", "rebirth", "reset", "unlist", "store down", "store loses answers", "late updates", "late orders", "host start"}

// flagWithout leaves kinds of steps out by hand, so that known faults do not hide others.
var flagWithout = flag.String("schedule.without", "", "kinds of steps that are not drawn, such as reset,crash")

// flagWith makes every schedule hold steps that are drawn rarely otherwise.
var flagWith = flag.String("schedule.with", "", "kinds of rare steps that every schedule holds: isolation")

func drawMS(t *rapid.T, label string, least, most int) ms {
	const unit = 50
	return ms(rapid.IntRange(least/unit, most/unit).Draw(t, label) * unit)
}

func drawServer(t *rapid.T, servers []group.ServerID) group.ServerID {
	return rapid.SampledFrom(servers).Draw(t, "server")
}

// drawSubset draws some of the values, in their order.
func drawSubset[T any](t *rapid.T, label string, values []T) (subset []T) {
	for _, v := range values {
		if rapid.Bool().Draw(t, label) {
			subset = append(subset, v)
		}
	}
	return subset
}

// leftOut reports whether flagWithout names a kind of steps.
func leftOut(kind string) bool { return slices.Contains(strings.Split(*flagWithout, ","), kind) }

// outageDuration is the time from the start of the steps of a schedule with an outage of the
// primary during which writes are made.
const outageDuration ms = 13_000

// isolationShare is how many schedules there are for each one that holds an isolation.
const isolationShare = 20

// isDrawn reports whether a rare kind of steps is drawn, in one of share schedules.
func isDrawn(t *rapid.T, kind string, share int) bool {
	drawn := rapid.SampledFrom(numbers(share)).Draw(t, kind) == share-1
	return !leftOut(kind) && (drawn || slices.Contains(strings.Split(*flagWith, ","), kind))
}

// drawIsolation draws an isolation, and changes of the group and starts of hosts beside it.
func drawIsolation(t *rapid.T, hosts int, servers []group.ServerID) []step {
	cut := isolation{
		at: drawMS(t, "at", 0, 2000), lasts: drawMS(t, "lasts", 2000, 12_000),
		servers: drawSubset(t, "servers", servers), hosts: drawSubset(t, "isolated hosts", numbers(hosts)),
		reachable: rapid.Bool().Draw(t, "reachable"),
		reported:  drawMS(t, "reported", 0, int(reportInterval)), apart: drawMS(t, "apart", 0, int(reportInterval)),
		returns: drawMS(t, "returns", 0, 2000),
	}
	during := func(t *rapid.T) ms { return cut.at + drawMS(t, "during", 0, int(cut.lasts)) }
	draw := rapid.Custom(func(t *rapid.T) step {
		switch rapid.SampledFrom([]string{"leave", "replacement", "replace all", "host start", "reset"}).Draw(t, "kind") {
		case "leave":
			return leave{during(t), drawMS(t, "drains", 500, 8000), presentPrimary}
		case "replacement":
			return replacement{during(t), drawMS(t, "drains", 500, 8000), presentPrimary, drawMS(t, "listing", 0, 600)}
		case "replace all":
			r := drawReplaceAll(t)
			r.at = during(t)
			return r
		case "host start":
			return drawHostStart(t, during(t), hosts)
		default:
			return reset{during(t), drawMS(t, "lasts", 50, 3000), drawServer(t, servers)}
		}
	})
	return append([]step{cut}, rapid.SliceOfN(draw, 0, 3).Draw(t, "beside")...)
}

// drawHostStart draws the start of a host.
func drawHostStart(t *rapid.T, at ms, hosts int) step {
	return hostStart{at, drawMS(t, "lasts", 0, 2000), rapid.SampledFrom(numbers(hosts+laterHosts)).Draw(t, "host")}
}

// drawOutage draws an outage of the primary.
func drawOutage(t *rapid.T, at ms, server group.ServerID) step {
	return outage{at, drawMS(t, "lasts", 3000, 8000), server, drawMS(t, "returns", 0, 2000)}
}

// stepDraws bounds the steps that are drawn. Each lasts 3 s at most.
type stepDraws struct {
	hosts int
	// latest is the latest time at which a step begins.
	latest ms
	// started and reborn are the servers that start and that others start again as.
	started, reborn []group.ServerID
	// replaced are the servers that start again under another id.
	replaced []group.ServerID
	// all are the servers that other steps name.
	all []group.ServerID
}

func (d stepDraws) draw(t *rapid.T) step {
	at := drawMS(t, "at", 0, int(d.latest))
	lasts := func() ms { return drawMS(t, "lasts", 50, 3000) }
	listing := func() ms { return drawMS(t, "listing", 0, 600) }
	hostNumbers := numbers(d.hosts)
	switch rapid.SampledFrom(slices.DeleteFunc(slices.Clone(stepKinds), leftOut)).Draw(t, "kind") {
	case "start":
		// An entry may be missing until the end.
		l := rapid.OneOf(rapid.Just(ms(0)), rapid.Custom(func(t *rapid.T) ms { return listing() }), rapid.Just(ms(10_000))).Draw(t, "listed after")
		return start{at, drawServer(t, d.started), l}
	case "leave":
		return leave{at, drawMS(t, "lasts", 500, 3000), drawServer(t, d.all)}
	case "crash":
		return crash{at, lasts(), drawServer(t, d.all)}
	case "split":
		return split{at, lasts(), drawServer(t, d.all), drawSubset(t, "beside", hostNumbers), rapid.Bool().Draw(t, "store")}
	case "host cut":
		return hostCut{at, lasts(), rapid.SampledFrom(hostNumbers).Draw(t, "host"), drawSubset(t, "servers", d.all), rapid.Bool().Draw(t, "store")}
	case "server cut":
		return serverCut{at, lasts(), drawServer(t, d.all), drawServer(t, d.all)}
	case "rebirth":
		return rebirth{at, lasts(), drawServer(t, d.replaced), drawServer(t, d.reborn), listing()}
	case "reset":
		return reset{at, lasts(), drawServer(t, d.all)}
	case "unlist":
		return unlist{at, lasts(), drawServer(t, d.all)}
	case "store down":
		return storeDown{at, lasts()}
	case "store loses answers":
		return storeLosesAnswers{at, lasts()}
	case "host start":
		return drawHostStart(t, at, d.hosts)
	case "late updates":
		return lateUpdates{at, lasts(), drawMS(t, "delay", 100, 2000)}
	default:
		return lateOrders{at, lasts(), drawMS(t, "delay", 100, 2000)}
	}
}

// drawPrimaryFault draws a step by which hosts lose the initial primary.
func drawPrimaryFault(t *rapid.T, hosts int) step {
	at, lasts := drawMS(t, "at", 0, 2500), drawMS(t, "lasts", 50, 3000)
	hostNumbers := numbers(hosts)
	switch rapid.SampledFrom(slices.DeleteFunc([]string{"crash", "split", "host cut", "rebirth", "outage"}, leftOut)).Draw(t, "kind") {
	case "outage":
		return drawOutage(t, at, "a")
	case "crash":
		return crash{at, lasts, "a"}
	case "split":
		return split{at, lasts, "a", drawSubset(t, "beside", hostNumbers), rapid.Bool().Draw(t, "store")}
	case "host cut":
		return hostCut{at, lasts, rapid.SampledFrom(hostNumbers).Draw(t, "host"), []group.ServerID{"a"}, false}
	default:
		return rebirth{at, lasts, "a", "r", drawMS(t, "listing", 0, 600)}
	}
}

// numbers returns the numbers of the hosts.
func numbers(hosts int) (numbers []int) {
	for h := range hosts {
		numbers = append(numbers, h)
	}
	return numbers
}

// drawSchedule draws a schedule of a fault of the primary, or an isolation, and up to seven
// other steps.
func drawSchedule(t *rapid.T) schedule {
	s := schedule{
		hosts:          rapid.IntRange(2, 3).Draw(t, "hosts"),
		promotionDelay: rapid.SampledFrom([]ms{300, 600, 1000}).Draw(t, "promotion delay"),
	}
	if isDrawn(t, "isolation", isolationShare) {
		s.duration = seriesDuration
		s.steps = append(s.steps, drawIsolation(t, s.hosts, slices.Concat([]group.ServerID{presentPrimary}, initialServers, startedServers))...)
	} else {
		s.steps = append(s.steps, drawPrimaryFault(t, s.hosts))
		if _, long := s.steps[0].(outage); long {
			s.duration = outageDuration
		}
	}
	d := stepDraws{hosts: s.hosts, latest: 4000, started: startedServers, reborn: rebornServers, replaced: initialServers, all: allServers}
	s.steps = append(s.steps, rapid.SliceOfN(rapid.Custom(d.draw), 0, 7).Draw(t, "steps")...)
	return s
}
