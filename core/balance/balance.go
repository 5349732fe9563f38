// Package balance chooses the backend server of a read among those that may serve it. It
// has no clock, lock or goroutine of its own.
//
// It answers the load of many hosts that choose among few servers at the same moment. What
// a host knows of a server's load comes with answers and is a little old. If every host
// chose the server that looks least loaded, all would choose the same one until the next
// answers arrive, so that servers would be overloaded in turns while others idle. Choose
// therefore draws a server at random, with weights that fall with the expected time until
// its answer: what is a little wrong in the knowledge shifts shares a little.
package balance

import (
	"math"
	"time"
)

// Server is what a host knows of a server that may serve a read.
type Server struct {
	// Latency is the moving average of the time from sending a read to its answer; zero
	// if there is no sample.
	Latency time.Duration
	// Unanswered is how long this host's oldest read to the server has been unanswered. It
	// shows that a server has become slow before an answer does.
	Unanswered time.Duration
	// InFlight is the number of requests of this host that use or wait for a connection
	// to the server. It is exact.
	InFlight int
	// Load is what the host that holds the connections last stated.
	Load Load
	// Slots is the number of statements that the server runs at the same time; zero if it
	// is not known.
	Slots int
	// Primary is set for the server that also serves all writes and current reads.
	Primary bool
	// Avoided is set while the server failed or refused lately, or lacks the position that
	// the read needs. It is chosen only if all servers are avoided.
	Avoided bool
}

// Load is the load of a server as the host that holds the connections to it states it.
type Load struct {
	// InUse and Waiting are the requests that use or wait for a connection there.
	InUse, Waiting int
	// Age is the time since the statement arrived.
	Age time.Duration
}

const (
	// unknownLatency is assumed for a server without samples, so that it soon gets some.
	unknownLatency = 10 * time.Millisecond
	// loadTTL is the age from which a stated load says nothing more. The queue of a server
	// changes completely within a few executions.
	loadTTL = 500 * time.Millisecond
	// primaryFactor multiplies the expected time of the primary, which has work that no
	// other server can take over.
	primaryFactor = 8
	// selectivity is the power of the expected time by which weights fall: a server that
	// is expected to take twice as long gets a quarter of the reads. Higher powers overload
	// servers in turns when the knowledge is old, lower ones send too much to slow servers.
	selectivity = 2
)

// ExpectedTime estimates the time from sending a read to a server until its answer.
func ExpectedTime(s Server) time.Duration {
	latency := s.Latency
	if latency == 0 {
		latency = unknownLatency
	}
	latency = max(latency, s.Unanswered)
	// The latency contains the queue of the time of the samples. What waits now delays the
	// read by the time in which the slots serve it.
	queue := float64(s.InFlight)
	if fresh := 1 - float64(s.Load.Age)/float64(loadTTL); fresh > 0 {
		queue = max(queue, fresh*float64(s.Load.InUse+s.Load.Waiting))
	}
	expected := float64(latency) * (1 + queue/float64(2*max(s.Slots, 1)))
	if s.Primary {
		expected *= primaryFactor
	}
	return time.Duration(expected)
}

// Choose returns the index of the server for a read, -1 if there is none. random returns
// numbers in [0, 1).
func Choose(servers []Server, random func() float64) int {
	at, chosen := random(), -1
	for i, share := range Shares(servers) {
		if share == 0 {
			continue
		}
		chosen = i
		if at -= share; at < 0 {
			break
		}
	}
	return chosen
}

// Shares returns the probability with which each server is chosen.
func Shares(servers []Server) []float64 {
	usable := func(Server) bool { return true }
	for _, s := range servers {
		if !s.Avoided {
			usable = func(s Server) bool { return !s.Avoided }
			break
		}
	}
	total, shares := 0.0, make([]float64, len(servers))
	for i, s := range servers {
		if usable(s) {
			shares[i] = math.Pow(float64(max(ExpectedTime(s), time.Microsecond)), -selectivity)
			total += shares[i]
		}
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}
