package objectstore

// ServerEntry is the entry by which a backend server registers itself.
type ServerEntry struct {
	Group, DataCentre string
	// Sequence counts the reports of one boot.
	Sequence, Boot int
	Leaving        bool
}

// WriteServer writes the entry of a server, as the server does.
func (s *Server) WriteServer(id string, e ServerEntry) {
	state := "ready"
	if e.Leaving {
		state = "draining"
	}
	s.Write("servers", id, map[string]any{
		"service": e.Group, "address": "10.1.0.1:5432", "zone": e.DataCentre, "configVersion": "v1", "slots": 2, "state": state,
		"coldRemainingMs": 0, "sequence": e.Sequence, "dbRole": "replica", "born": e.Boot,
	})
}

// WriteConfig writes a version of the configuration, as an operator does. It has one
// route, from a database to a group.
func (s *Server) WriteConfig(version int, database, group string) {
	s.Write("config", "main", map[string]any{
		"configVersion": version,
		"routes":        []any{map[string]any{"name": "r", "host": database, "routeType": "primary", "service": group}},
		"services":      []any{map[string]any{"name": group, "maxConns": 16, "syncReplicas": 1}},
	})
}
