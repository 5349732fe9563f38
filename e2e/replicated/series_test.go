package replicated_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"basilmill/core/group"
)

const (
	// seriesDuration is the time from the start of the steps of a series during which writes
	// are made.
	seriesDuration ms = 18_000
	// seriesOrderWait exceeds the longest delay of a call in a series that is carried out
	// late.
	seriesOrderWait = 14 * time.Second
)

// The servers that a series names.
var (
	seriesStartedServers = []group.ServerID{"d", "e", "f", "g", "h"}
	seriesServers        = slices.Concat([]group.ServerID{presentPrimary}, initialServers, seriesStartedServers, rebornServers)
)

// primaryFaultKinds are the kinds of steps that drawDisturbance draws.
var primaryFaultKinds = []string{"crash", "split", "split", "host cut", "rebirth", "leave", "replacement", "outage"}

// drawDisturbance draws a step by which hosts lose the server that leads then.
func drawDisturbance(t *rapid.T, hosts int) step {
	at, lasts := drawMS(t, "at", 0, 15_000), drawMS(t, "lasts", 50, 3000)
	hostNumbers := numbers(hosts)
	switch rapid.SampledFrom(slices.DeleteFunc(slices.Clone(primaryFaultKinds), leftOut)).Draw(t, "kind") {
	case "crash":
		return crash{at, lasts, presentPrimary}
	case "split":
		return split{at, lasts, presentPrimary, drawSubset(t, "beside", hostNumbers), rapid.Bool().Draw(t, "store")}
	case "host cut":
		return hostCut{at, lasts, rapid.SampledFrom(hostNumbers).Draw(t, "host"), []group.ServerID{presentPrimary}, false}
	case "outage":
		return drawOutage(t, at, presentPrimary)
	case "leave":
		return leave{at, drawMS(t, "drains", 500, 8000), presentPrimary}
	case "replacement":
		return replacement{at, drawMS(t, "drains", 500, 8000), presentPrimary, drawMS(t, "listing", 0, 600)}
	default:
		return rebirth{at, lasts, presentPrimary, drawServer(t, rebornServers), drawMS(t, "listing", 0, 600)}
	}
}

// drawReplaceAll draws a planned replacement of all servers.
func drawReplaceAll(t *rapid.T) replaceAll {
	return replaceAll{
		at: drawMS(t, "at", 0, 12_000), every: drawMS(t, "every", 500, 2500),
		listing: drawMS(t, "listing", 0, 600), lasts: drawMS(t, "drains", 500, 8000),
	}
}

// drawReplicaFault draws a step by which a replica falls behind.
func drawReplicaFault(t *rapid.T) step {
	at, lasts := drawMS(t, "at", 0, 14_000), drawMS(t, "lasts", 500, 6000)
	if rapid.Bool().Draw(t, "lagging") {
		return lagging{at, lasts, drawServer(t, seriesServers)}
	}
	return serverCut{at, lasts, drawServer(t, seriesServers), drawServer(t, seriesServers)}
}

// drawLateCalls draws calls that are carried out 2 to 12 s late.
func drawLateCalls(t *rapid.T) lateCalls {
	const least, most = 2000, 12_000
	return lateCalls{
		at: drawMS(t, "at", 0, 4000), lasts: drawMS(t, "lasts", 1000, 16_000),
		least: least, most: drawMS(t, "most", least, most),
		percent: rapid.SampledFrom([]int{100, 90, 50}).Draw(t, "percent"), seed: rapid.IntRange(0, 1000).Draw(t, "seed"),
	}
}

// drawSeries draws a schedule of several disturbances of the primary, planned replacements,
// replicas that fall behind, calls that are carried out late and up to six other steps.
func drawSeries(t *rapid.T) schedule {
	s := schedule{
		hosts:          rapid.IntRange(2, 3).Draw(t, "hosts"),
		promotionDelay: rapid.SampledFrom([]ms{300, 600, 1000}).Draw(t, "promotion delay"),
		duration:       seriesDuration,
	}
	add := func(label string, least, most int, draw func(*rapid.T) step) {
		s.steps = append(s.steps, rapid.SliceOfN(rapid.Custom(draw), least, most).Draw(t, label)...)
	}
	add("disturbances", 1, 5, func(t *rapid.T) step { return drawDisturbance(t, s.hosts) })
	add("replacements", 0, 2, func(t *rapid.T) step { return drawReplaceAll(t) })
	add("replica faults", 0, 4, drawReplicaFault)
	if !leftOut("late promotions") {
		add("late promotions", 0, 2, func(t *rapid.T) step { return latePromotions{drawLateCalls(t)} })
	}
	if !leftOut("late commands") {
		add("late commands", 0, 1, func(t *rapid.T) step { return lateCommands{drawLateCalls(t)} })
	}
	if isDrawn(t, "isolation", isolationShare) {
		s.steps = append(s.steps, drawIsolation(t, s.hosts, seriesServers)...)
	}
	others := stepDraws{hosts: s.hosts, latest: 14_000, started: seriesStartedServers, reborn: rebornServers, replaced: initialServers, all: seriesServers}
	add("steps", 0, 6, others.draw)
	return s
}

// Guards against the same broken promises as TestPromisesUnderGeneratedSchedules, under
// series of changes of primary beside calls that are carried out seconds late. By hand, for
// example,
//
//	go test ./e2e/replicated/ -run TestPromisesUnderGeneratedSeries -cpu=1 -timeout=0 -rapid.checks=10000 -rapid.seed=1 -schedule.without=reset
func TestPromisesUnderGeneratedSeries(t *testing.T) { checkSchedules(t, drawSeries) }
