package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// faultSettings is the body of /admin/fault. Absent keys leave a fault as it
// is.
type faultSettings struct {
	Outage      *Outage `json:",omitempty"`
	Delay       *string `json:",omitempty"`
	LoseReplies *int    `json:",omitempty"`
	HostLag     *string `json:",omitempty"`
}

func (s *Server) serveFaults(w http.ResponseWriter, _ *http.Request) {
	faults := s.Faults()
	delay, lag := faults.Delay.String(), faults.HostLag.String()
	respond(w, http.StatusOK, faultSettings{
		Outage: &faults.Outage, Delay: &delay, LoseReplies: &faults.LoseReplies, HostLag: &lag,
	})
}

func (s *Server) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var settings faultSettings
	if err := decode(w, r, &settings); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.apply(settings); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.serveFaults(w, r)
}

func (s *Server) apply(settings faultSettings) error {
	delay, err := parseDuration("Delay", settings.Delay)
	if err != nil {
		return err
	}
	lag, err := parseDuration("HostLag", settings.HostLag)
	if err != nil {
		return err
	}
	if outage := settings.Outage; outage != nil {
		switch *outage {
		case NoOutage, Unavailable, BlackHole:
			s.SetOutage(*outage)
		default:
			return fmt.Errorf("Outage: %q is not one of None, Unavailable, BlackHole", *outage)
		}
	}
	if settings.Delay != nil {
		s.SetDelay(delay)
	}
	if settings.LoseReplies != nil {
		s.LoseReplies(*settings.LoseReplies)
	}
	if settings.HostLag != nil {
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

func decode(w http.ResponseWriter, r *http.Request, into any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}
