package backendserver

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/group"
)

// faultsJSON is the JSON form of Faults, without ReceivedExcess. Durations are
// text such as "150ms".
type faultsJSON struct {
	ReplicationDelay   string
	ReplicationStalled bool
	ReplicationTo      []group.ServerID
	ApplyDelay         string
	StatementDelay     string
	Leaving            bool
	Cuts               []cutJSON
	// CloseConnections closes all connections once, when the request is
	// handled. Responses omit it.
	CloseConnections bool `json:",omitempty"`
}

// cutJSON is the JSON form of Cut. Mode is "Refuse" or "BlackHole"; Feeds holds
// Cut.Replicas.
type cutJSON struct {
	Mode         string
	AllClients   bool
	Applications []string
	Feeds        []group.ServerID
}

// String returns "Refuse" or "BlackHole".
func (m CutMode) String() string {
	if m == BlackHole {
		return "BlackHole"
	}
	return "Refuse"
}

// AdminHandler serves GET /fault, POST /fault and GET /counters. POST /fault
// sets the fields that its body contains, resets Faults.ReceivedExcess, which
// has no JSON field, and responds with the resulting faults.
func (s *Server) AdminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /fault", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, encodeFaults(s.Faults()))
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Counters())
	})
	mux.HandleFunc("POST /fault", s.postFault)
	return mux
}

func (s *Server) postFault(w http.ResponseWriter, r *http.Request) {
	current := encodeFaults(s.Faults())
	wire := current
	// encoding/json decodes into the elements of an existing slice, which
	// would merge fields of the old cuts into the new ones.
	wire.Cuts = nil
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if wire.Cuts == nil {
		wire.Cuts = current.Cuts
	}
	faults, err := decodeFaults(wire)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	if wire.CloseConnections {
		s.CloseConnections()
	}
	writeJSON(w, encodeFaults(faults))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func encodeFaults(f Faults) faultsJSON {
	wire := faultsJSON{
		ReplicationDelay:   f.ReplicationDelay.String(),
		ReplicationStalled: f.ReplicationStalled,
		ReplicationTo:      f.ReplicationTo,
		ApplyDelay:         f.ApplyDelay.String(),
		StatementDelay:     f.StatementDelay.String(),
		Leaving:            f.Leaving,
	}
	for _, c := range f.Cuts {
		wire.Cuts = append(wire.Cuts, cutJSON{c.Mode.String(), c.AllClients, c.Applications, c.Replicas})
	}
	return wire
}

func decodeFaults(wire faultsJSON) (f Faults, err error) {
	f = Faults{
		ReplicationStalled: wire.ReplicationStalled,
		ReplicationTo:      wire.ReplicationTo,
		Leaving:            wire.Leaving,
	}
	if f.ReplicationDelay, err = time.ParseDuration(wire.ReplicationDelay); err != nil {
		return f, err
	}
	if f.ApplyDelay, err = time.ParseDuration(wire.ApplyDelay); err != nil {
		return f, err
	}
	if f.StatementDelay, err = time.ParseDuration(wire.StatementDelay); err != nil {
		return f, err
	}
	for _, c := range wire.Cuts {
		mode, err := decodeMode(c.Mode)
		if err != nil {
			return f, err
		}
		f.Cuts = append(f.Cuts, Cut{mode, c.AllClients, c.Applications, c.Feeds})
	}
	return f, nil
}

func decodeMode(name string) (CutMode, error) {
	switch name {
	case Refuse.String():
		return Refuse, nil
	case BlackHole.String():
		return BlackHole, nil
	}
	return 0, eris.Errorf("unknown mode %q of a cut", name)
}
