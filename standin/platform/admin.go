package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// faultsJSON is the body of requests to /admin/fault and of their responses. A
// request leaves faults without a key unchanged.
type faultsJSON struct {
	Outage      *Outage `json:",omitempty"`
	Delay       *string `json:",omitempty"`
	LoseReplies *int    `json:",omitempty"`
	HostLag     *string `json:",omitempty"`
}

func (s *Server) serveFaults(w http.ResponseWriter, _ *http.Request) {
	faults := s.Faults()
	delay, lag := faults.Delay.String(), faults.HostLag.String()
	respond(w, http.StatusOK, faultsJSON{
		Outage: &faults.Outage, Delay: &delay, LoseReplies: &faults.LoseReplies, HostLag: &lag,
	})
}

func (s *Server) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var faults faultsJSON
	if err := decode(w, r, &faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.applyFaults(faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.serveFaults(w, r)
}

// applyFaults sets the faults that have a key, or none if a value is invalid.
func (s *Server) applyFaults(faults faultsJSON) error {
	delay, err := parseDuration("Delay", faults.Delay)
	if err != nil {
		return err
	}
	lag, err := parseDuration("HostLag", faults.HostLag)
	if err != nil {
		return err
	}
	if outage := faults.Outage; outage != nil {
		switch *outage {
		case NoOutage, Unavailable, BlackHole:
			s.SetOutage(*outage)
		default:
			return fmt.Errorf("Outage: %q is not one of None, Unavailable, BlackHole", *outage)
		}
	}
	if faults.Delay != nil {
		s.SetDelay(delay)
	}
	if faults.LoseReplies != nil {
		s.LoseReplies(*faults.LoseReplies)
	}
	if faults.HostLag != nil {
		s.SetHostLag(lag)
	}
	return nil
}

func parseDuration(name string, text *string) (time.Duration, error) {
	if text == nil {
		return 0, nil
	}
	d, err := time.ParseDuration(*text)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("%s: %q is not a duration", name, *text)
	}
	return d, nil
}

func (s *Server) serveSetHosts(w http.ResponseWriter, r *http.Request) {
	var list HostList
	if err := decode(w, r, &list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetHosts(list.Hosts)
	respond(w, http.StatusOK, list)
}

func decode(w http.ResponseWriter, r *http.Request, target any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}
