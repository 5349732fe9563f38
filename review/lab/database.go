package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// service is a group of databases that replicate at once and never fail. Its databases
// speak the wire protocol of the pages: a message is a line that ends with CR LF, and
// its last field extends to the end of the line.
type service struct {
	lab  *lab
	name string
	born int64

	mu        sync.Mutex
	term      int
	number    int
	items     map[string]string
	runs      []run
	databases []*database
}

// run is a read, write or commit that a database ran for a caller.
type run struct{ id, text string }

// database is one database of a service.
type database struct {
	service *service
	id      string
	address string
	zone    string
	primary bool
}

// databaseZones are the zones of the databases of a service.
var databaseZones = []string{"gent-a", "namur-a", "brussel-a"}

// newService starts the databases of a service and registers them.
func newService(l *lab, p *platform, name string, ids ...string) (*service, error) {
	s := &service{lab: l, name: name, born: time.Now().UnixMilli(), term: 3, number: 100, items: map[string]string{}}
	for i, id := range ids {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		d := &database{service: s, id: id, address: listener.Addr().String(), zone: databaseZones[i%len(databaseZones)], primary: i == 0}
		s.databases = append(s.databases, d)
		go d.accept(listener)
	}
	p.promote = s.promote
	go s.report(p)
	return s, nil
}

// report writes the entries of the databases at each report interval.
func (s *service) report(p *platform) {
	for sequence := 1; ; sequence++ {
		s.mu.Lock()
		for _, d := range s.databases {
			p.put("servers", d.id, map[string]any{
				"service": s.name, "address": d.address, "zone": d.zone, "configVersion": "v1", "slots": 2, "state": "ready",
				"coldRemainingMs": 0, "dbRole": d.role(), "sequence": sequence, "born": s.born,
			})
		}
		s.mu.Unlock()
		time.Sleep(1200 * time.Millisecond)
	}
}

// promote makes a database the primary of the next term.
func (s *service) promote(_, id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range s.databases {
		if d.id != id {
			continue
		}
		if !d.primary {
			for _, other := range s.databases {
				other.primary = other == d
			}
			s.term++
		}
		return true
	}
	return false
}

func (d *database) role() string {
	if d.primary {
		return "primary"
	}
	return "replica"
}

func (d *database) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go d.serve(conn)
	}
}

// session is the state of one connection to a database.
type session struct {
	database *database
	state    string
	readOnly bool
	writes   [][2]string
	prepared map[string]string
}

// serve serves one connection.
func (d *database) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	line, err := readMessage(reader)
	fields := strings.SplitN(line, " ", 4)
	if err != nil || fields[0] != "CONNECT" {
		return
	}
	if len(fields) < 3 || fields[1] != d.service.name || len(fields) == 4 && fields[3] != d.id {
		_, _ = fmt.Fprintf(conn, "ERROR WRONGNODE %s\r\n", d.id)
		return
	}
	s := &session{database: d, state: "I", prepared: map[string]string{}}
	_, _ = fmt.Fprintf(conn, "READY I %s\r\n", d.service.position())
	for {
		line, err := readMessage(reader)
		if err != nil || line == "TERMINATE" {
			return
		}
		fields := strings.SplitN(line, " ", 3)
		if fields[0] != "QUERY" || len(fields) != 3 {
			return
		}
		body := s.execute(fields[1], fields[2])
		if _, err := fmt.Fprintf(conn, "%sREADY %s %s\r\n", body, s.state, d.service.position()); err != nil {
			return
		}
	}
}

// readMessage reads one message up to CR LF.
func readMessage(r *bufio.Reader) (string, error) {
	var line []byte
	for {
		part, err := r.ReadBytes('\n')
		if err != nil {
			return "", err
		}
		line = append(line, part...)
		if strings.HasSuffix(string(line), "\r\n") {
			return string(line[:len(line)-2]), nil
		}
	}
}

func (s *service) position() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d.%d", s.term, s.number)
}

// execute runs one statement and returns its answer without READY.
func (s *session) execute(id, text string) string {
	d := s.database
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	if strings.HasPrefix(text, "AFTER ") {
		// All databases hold the whole log.
		_, text, _ = strings.Cut(strings.TrimPrefix(text, "AFTER "), " ")
	}
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "STATUS", "SUSPEND", "RESUME", "DEMOTE":
		return fmt.Sprintf("ROW %s %d %d.%d 0 0 0 1\r\nCOMPLETE -\r\n", d.role(), d.service.term, d.service.term, d.service.number)
	case "RESET", "SET", "RELEASE":
		return "COMPLETE -\r\n"
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return "COMPLETE -\r\n"
	case "BEGIN":
		s.readOnly = rest == "READ"
		if !s.readOnly && !d.primary {
			return "ERROR READONLY " + d.id + "\r\n"
		}
		s.state, s.writes = "T", nil
		return "COMPLETE -\r\n"
	case "ROLLBACK":
		s.state, s.writes = "I", nil
		return "COMPLETE -\r\n"
	case "READ":
		d.service.note(id, text)
		return fmt.Sprintf("ROW %s\r\nCOMPLETE %s\r\n", d.service.items[rest], d.digest(id))
	case "WRITE":
		if !d.primary || s.readOnly && s.state == "T" {
			return "ERROR READONLY " + d.id + "\r\n"
		}
		d.service.note(id, text)
		item, data, _ := strings.Cut(rest, " ")
		s.writes = append(s.writes, [2]string{item, data})
		if s.state == "I" {
			s.commit()
		}
		return "COMPLETE " + d.digest(id) + "\r\n"
	case "COMMIT":
		d.service.note(id, text)
		s.commit()
		s.state = "I"
		return "COMPLETE " + d.digest(id) + "\r\n"
	default:
		return "ERROR MALFORMED unknown statement\r\n"
	}
}

// commit applies the writes of the transaction. The caller holds the service's lock.
func (s *session) commit() {
	service := s.database.service
	for _, w := range s.writes {
		service.items[w[0]] = w[1]
	}
	if len(s.writes) > 0 {
		service.number++
	}
	s.writes = nil
}

// digest returns the database's proof of a run. The caller holds the service's lock.
func (d *database) digest(id string) string {
	return fmt.Sprintf("7.%s.%s.%d", d.id, id, len(d.service.runs))
}

// note records a run of a caller's statement. The caller holds the service's lock.
func (s *service) note(id, text string) {
	s.runs = append(s.runs, run{id, text})
	s.lab.logf("database runs       %s %q", id, brief(text))
}

// allRuns returns the runs so far.
func (s *service) allRuns() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}
