package platform

import "time"

// Outage is the way in which the platform fails all calls of its object API.
type Outage string

// Kinds of outage.
const (
	// NoOutage serves calls normally.
	NoOutage Outage = "None"
	// Unavailable responds to every call with status 503.
	Unavailable Outage = "Unavailable"
	// BlackHole leaves every call unanswered. The connection is closed when the
	// caller cancels the call or the black hole ends.
	BlackHole Outage = "BlackHole"
)

// Faults are the injected faults of the platform.
type Faults struct {
	Outage Outage
	// Delay is the time by which every call is delayed.
	Delay time.Duration
	// LoseReplies is the number of further writes that take effect but whose
	// response is lost.
	LoseReplies int
	// HostLag is the age of the host list that GET /hosts returns.
	HostLag time.Duration
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if faults.Outage == "" {
		faults.Outage = NoOutage
	}
	return faults
}

// SetOutage starts an outage of the given kind or ends it. It also applies at
// once to watches that are waiting.
func (s *Server) SetOutage(outage Outage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Outage = outage
	s.notify()
}

// SetDelay sets the delay of every further call.
func (s *Server) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.Delay = delay
}

// LoseReplies makes the next n writes take effect without a response: their
// connections are closed instead.
func (s *Server) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.LoseReplies = n
}

// SetHostLag makes GET /hosts return the host list as it was lag ago.
func (s *Server) SetHostLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.HostLag = lag
}

// consumeLostReply reports whether the response to a write that took effect is to
// be lost, and decrements the number of further lost responses.
func (s *Server) consumeLostReply() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseReplies <= 0 {
		return false
	}
	s.faults.LoseReplies--
	return true
}
