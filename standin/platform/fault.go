package platform

import "time"

// Outage is the way in which the platform fails every call.
type Outage string

// Kinds of outage.
const (
	// NoOutage answers calls normally.
	NoOutage Outage = "None"
	// Unavailable answers every call with 503.
	Unavailable Outage = "Unavailable"
	// BlackHole leaves every call without an answer until the caller gives up
	// or the outage ends.
	BlackHole Outage = "BlackHole"
)

// Faults is the set of faults in force.
type Faults struct {
	Outage Outage
	// Delay is added to every call.
	Delay time.Duration
	// LoseReplies is the number of further writes whose reply is lost after
	// the write took effect.
	LoseReplies int
	// HostLag is the age of the host list that GET /hosts returns.
	HostLag time.Duration
}

// Faults returns the faults in force.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if faults.Outage == "" {
		faults.Outage = NoOutage
	}
	return faults
}

// SetOutage starts an outage of the given kind or ends it. Watches that wait
// are subject to it at once.
func (s *Server) SetOutage(outage Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Outage = outage
	s.broadcast()
}

// SetDelay adds a delay to every further call.
func (s *Server) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Delay = delay
}

// LoseReplies closes the connection instead of answering the next n writes,
// after they took effect.
func (s *Server) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.LoseReplies = n
}

// SetHostLag makes GET /hosts return the list as it was that long ago.
func (s *Server) SetHostLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.HostLag = lag
}

// takeLostReply reports whether the reply to a write that took effect is lost.
func (s *Server) takeLostReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies <= 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}
