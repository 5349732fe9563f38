package budget

import "time"

const (
	// minHoldTime is how long a connection has made no progress before it is closed for the
	// bytes that it holds. A message of 1 MiB takes 0.8 s at the 10 Mbit/s of the slowest
	// hosts.
	minHoldTime = time.Second
	// minStallTime is how long a connection that has identified itself has made no
	// progress before it is closed for its place. Lost packets are repeated earlier.
	minStallTime = 500 * time.Millisecond
	// minRate is the bytes a second below which a connection counts as one without
	// progress. It is a fortieth of the 10 Mbit/s of the slowest hosts.
	minRate = 32 << 10
	// minClosedState is the size of the state for which a session may be closed. A
	// session with a hundred prepared statements of 1 KiB has less.
	minClosedState = 256 << 10
	// maxMessagePause and maxMessageTime bound the time of a message that has begun. At
	// 36 KB/s, the largest message takes 30 s.
	maxMessagePause = 10 * time.Second
	maxMessageTime  = 30 * time.Second
	// ordinaryPlaces is how many connections another host may have: one for each of its
	// HTTP clients.
	ordinaryPlaces = 4
)

// Holding is what a connection holds, and how long the process has waited for it.
type Holding struct {
	// Bytes are those of messages and answers.
	Bytes int64
	// State are the bytes that the session keeps.
	State int64
	// Place is set for connections of callers, which have places of their own.
	Place bool
	Phase Phase
	// Age is the time since the phase began.
	Age time.Duration
	// Moved are the bytes received or accepted in the phase.
	Moved int64
	// Stalled is the time since the client made progress.
	Stalled time.Duration
}

// waited returns how long the process has waited for a client without progress. Bytes
// that trickle are none.
func (h Holding) waited() time.Duration {
	if float64(h.Moved) < minRate*h.Age.Seconds() {
		return h.Age
	}
	return h.Stalled
}

// Heaviest returns the index of the connection to close when bytes have run out: of those
// that the process waits for, the one with the largest product of bytes and of the time
// without progress. It
// returns -1 if there is none. It is called for each refusal while clients hold the whole
// budget.
func Heaviest(holdings []Holding) int {
	chosen, largest := -1, 0.0
	for i, h := range holdings {
		waited := h.waited()
		if weight := float64(h.Bytes) * waited.Seconds(); h.Phase.waitsForClient() && waited >= minHoldTime && weight > largest {
			chosen, largest = i, weight
		}
	}
	return chosen
}

// LargestState returns the index of the session to close when the share of session state
// has run out: the one with the most, if that is many times an even share of the budget.
// It returns -1 if there is none.
func LargestState(holdings []Holding, limit int64) int {
	chosen, largest := -1, max(minClosedState, limit/64)
	for i, h := range holdings {
		if h.State > largest {
			chosen, largest = i, h.State
		}
	}
	return chosen
}

// Slowest returns the index of the connection to close when places of callers have run
// out: of those with one that the process waits for, the one without progress for the longest time. It returns
// -1 if there is none. It is called for each new connection while clients hold all places.
func Slowest(holdings []Holding) int {
	chosen := -1
	for i, h := range holdings {
		if !h.Place || !h.Phase.waitsForClient() || h.Phase != Starting && h.waited() < minStallTime {
			continue
		}
		if chosen < 0 || h.waited() > holdings[chosen].waited() {
			chosen = i
		}
	}
	return chosen
}

// Overdue reports whether a message has begun and takes too long.
func Overdue(h Holding) bool {
	return h.Phase == Receiving && (h.Stalled >= maxMessagePause || h.Age >= maxMessageTime)
}

// Place is a connection to an HTTP listener.
type Place struct {
	// Shared is the number of connections from the same address.
	Shared int
	// Active is set while a request is being served.
	Active bool
	// Age is the time for which the connection has been active, or not.
	Age time.Duration
}

// Crowded returns the index of the connection to close when the places of an HTTP
// listener have run out. It is the longest idle one of the address with the most
// connections. If that address has only active ones, and more than a host opens, it is
// the longest active one. Otherwise it returns -1. It is called for each new connection
// while clients hold all places.
func Crowded(places []Place) int {
	chosen := -1
	for i, p := range places {
		if p.Active && p.Shared <= ordinaryPlaces {
			continue
		}
		if chosen < 0 || p.precedes(places[chosen]) {
			chosen = i
		}
	}
	return chosen
}

func (p Place) precedes(other Place) bool {
	switch {
	case p.Shared != other.Shared:
		return p.Shared > other.Shared
	case p.Active != other.Active:
		return other.Active
	default:
		return p.Age > other.Age
	}
}
