package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	maxMessage = 1 << 20
	maxConns   = 16
	// receiveDelay and applyDelay are how long a commit takes to a replica, and until reads on
	// the replica see it.
	receiveDelay = 5 * time.Millisecond
	applyDelay   = 15 * time.Millisecond
	workTime     = time.Millisecond
)

// position is TERM.NUMBER.
type position struct{ term, number int64 }

func (p position) String() string { return fmt.Sprintf("%d.%d", p.term, p.number) }

func (p position) less(o position) bool {
	return p.term < o.term || p.term == o.term && p.number < o.number
}

func parsePosition(text string) position {
	term, number, _ := strings.Cut(text, ".")
	t, _ := strconv.ParseInt(term, 10, 64)
	n, _ := strconv.ParseInt(number, 10, 64)
	return position{t, n}
}

// service is a service of three databases, one of which leads.
type service struct {
	name   string
	record *record

	mu   sync.Mutex
	term int64
	// primary is nil after a DEMOTE, until the next promotion.
	primary   *database
	databases []*database
	items     map[string]string
	// fence is the highest Fencing-Token that the platform has seen.
	fence int64
	// split is the cut that may separate databases, nil if there is none in the case.
	split *split
	// commits holds the commits of writes outside of transactions by their digests.
	commits map[string]position
	// promotedID is the first database that was promoted, and promotedFrom what it had received.
	promotedID   string
	promotedFrom position
}

// database is one database of a service.
type database struct {
	service  *service
	id, zone string
	listener net.Listener

	conns    atomic.Int64
	sequence atomic.Int64
	// received and applied are guarded by service.mu.
	received, applied position
	// suspended is the term of the SUSPEND that is in force, zero without one.
	suspended int64
	// lost is set once the database is lost for good.
	lost bool
	open map[net.Conn]struct{}
}

// newService starts the databases of a service, one in each zone, and registers them.
func newService(s *store, rec *record, name string, zones []string) (*service, error) {
	v := &service{name: name, record: rec, term: 1, items: map[string]string{}, commits: map[string]position{}}
	for _, zone := range zones {
		if _, err := v.join(zone); err != nil {
			return nil, err
		}
	}
	v.primary = v.databases[0]
	for _, d := range v.databases {
		d.register(s)
	}
	return v, nil
}

// join starts a further database, which receives the log of the primary.
func (v *service) join(zone string) (*database, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	d := &database{service: v, id: fmt.Sprintf("i-%s-%d", v.name, len(v.databases)+1), zone: zone, listener: listener, received: position{1, 1}, open: map[net.Conn]struct{}{}}
	if v.primary != nil {
		d.received = v.primary.received
	}
	d.applied = d.received
	v.databases = append(v.databases, d)
	go d.serve(listener, zone)
	return d, nil
}

// register writes the entry of a database.
func (d *database) register(s *store) {
	d.service.mu.Lock()
	role := "replica"
	if d == d.service.primary {
		role = "primary"
	}
	d.service.mu.Unlock()
	s.write("servers", d.id, map[string]any{
		"service": d.service.name, "address": d.listener.Addr().String(), "zone": d.zone, "configVersion": "v1", "slots": 2, "state": "ready",
		"coldRemainingMs": 0, "sequence": 1, "dbRole": role, "born": time.Now().UnixMilli(),
	})
}

// all returns the databases of the service.
func (v *service) all() []*database {
	v.mu.Lock()
	defer v.mu.Unlock()
	return slices.Clone(v.databases)
}

// promoted reports whether a database has been promoted.
func (v *service) promoted() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.promotedID != ""
}

// promoteTime is how long after its acceptance a promotion takes effect.
const promoteTime = 300 * time.Millisecond

// promotion serves POST /promotion.
func (v *service) promotion() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(v.servePromotion), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

func (v *service) servePromotion(w http.ResponseWriter, r *http.Request) {
	var order struct{ Service, ID string }
	err := json.NewDecoder(r.Body).Decode(&order)
	token, tokenErr := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || tokenErr != nil {
		answer(w, http.StatusBadRequest, "{}")
		return
	}
	v.record.note("promotion of %s ordered by %s with %d", order.ID, r.Header.Get("Duty-Holder"), token)
	v.mu.Lock()
	defer v.mu.Unlock()
	low := token < v.fence
	v.fence = max(v.fence, token)
	for _, d := range v.databases {
		if low || d.lost || d.id != order.ID {
			continue
		}
		if d != v.primary {
			time.AfterFunc(promoteTime, func() { v.promote(d) })
		}
		answer(w, http.StatusOK, "{}")
		return
	}
	answer(w, http.StatusConflict, "{}")
}

// promote makes a database lead the next term.
func (v *service) promote(d *database) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.primary == d || d.lost {
		return
	}
	v.record.note("%s leads term %d with %s; %s had %s", d.id, v.term+1, d.received, v.databases[0].id, v.databases[0].received)
	if v.promotedID == "" {
		v.promotedID, v.promotedFrom = d.id, d.received
	}
	v.term++
	v.primary = d
	for _, o := range v.databases {
		if v.split.parts(o.zone, d.zone) {
			continue
		}
		o.suspended = 0
		o.received = position{v.term, d.received.number + 1}
		o.applied = o.received
	}
}

// silentTime is how long after its last report the entry of a database is removed.
const silentTime = 3600 * time.Millisecond

// lose ends a database for good, with its log.
func (d *database) lose(s *store) {
	_ = d.listener.Close()
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	d.lost = true
	for conn := range d.open {
		_ = conn.Close()
	}
	d.service.record.note("%s is lost for good", d.id)
	time.AfterFunc(silentTime, func() { s.remove("servers", d.id) })
}

// admit notes an open connection. It returns false if the database is lost.
func (d *database) admit(conn net.Conn) bool {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	if !d.lost {
		d.open[conn] = struct{}{}
	}
	return !d.lost
}

func (d *database) forget(conn net.Conn) {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	delete(d.open, conn)
}

// serve serves the connections of a listener, which come from a zone.
func (d *database) serve(listener net.Listener, from string) {
	for number := 1; ; number++ {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		c := &databaseConn{database: d, from: from, name: fmt.Sprintf("%s#%d", d.id, number), conn: conn, state: "I", prepared: map[string]preparedShape{}, values: map[string]string{}}
		go c.serve()
	}
}

// databaseConn is one connection to a database.
type databaseConn struct {
	database *database
	// from is the zone of the other end.
	from     string
	name     string
	conn     net.Conn
	state    string
	readOnly bool
	writes   map[string]string
	prepared map[string]preparedShape
	values   map[string]string
	released sync.Once
}

// preparedShape is a prepared statement of a connection. Only the digest of a long shape is
// kept, so that many need no memory here.
type preparedShape struct{ kind, shape string }

func (c *databaseConn) serve() {
	defer func() { _ = c.conn.Close() }()
	if !c.database.admit(c.conn) {
		return
	}
	defer c.database.forget(c.conn)
	lines := bufio.NewReaderSize(c.conn, 64<<10)
	line, err := readLine(lines)
	fields := strings.Split(line, " ")
	if err != nil || fields[0] != "CONNECT" || len(fields) < 3 {
		return
	}
	if fields[1] != c.database.service.name || len(fields) > 3 && fields[3] != c.database.id {
		_, _ = fmt.Fprintf(c.conn, "ERROR WRONGNODE %s\r\n", c.database.id)
		return
	}
	defer c.release()
	if c.database.conns.Add(1) > maxConns {
		_, _ = fmt.Fprint(c.conn, "ERROR CONNLIMIT too many\r\n")
		return
	}
	c.pass()
	if _, err := fmt.Fprint(c.conn, c.ready()); err != nil {
		return
	}
	for {
		line, err := readLine(lines)
		if err != nil || line == "TERMINATE" {
			return
		}
		c.pass()
		id, text, _ := strings.Cut(strings.TrimPrefix(line, "QUERY "), " ")
		answer := c.run(id, text) + c.ready()
		c.pass()
		if _, err := fmt.Fprint(c.conn, answer); err != nil {
			return
		}
	}
}

// pass waits while the connection is cut. It takes no room at the database after some time.
func (c *databaseConn) pass() {
	if c.database.service.split.parts(c.from, c.database.zone) {
		timer := time.AfterFunc(droppedTime, c.release)
		defer timer.Stop()
		c.database.service.split.pass(c.from, c.database.zone)
	}
}

// release gives back the room that the connection takes.
func (c *databaseConn) release() { c.released.Do(func() { c.database.conns.Add(-1) }) }

func (c *databaseConn) ready() string {
	c.database.service.mu.Lock()
	defer c.database.service.mu.Unlock()
	return fmt.Sprintf("READY %s %s\r\n", c.state, c.database.applied)
}

func (c *databaseConn) leads() bool {
	c.database.service.mu.Lock()
	defer c.database.service.mu.Unlock()
	return c.database.service.primary == c.database
}

const completed = "COMPLETE -\r\n"

func failure(code, text string) string { return "ERROR " + code + " " + text + "\r\n" }

// fail fails the open transaction, if there is one.
func (c *databaseConn) fail(code, text string) string {
	if c.state == "T" {
		c.state = "E"
	}
	return failure(code, text)
}

// run runs a statement and returns the messages before READY.
func (c *databaseConn) run(id, text string) string {
	keyword, arguments, _ := strings.Cut(text, " ")
	if keyword == "AFTER" {
		after, rest, _ := strings.Cut(arguments, " ")
		c.database.service.mu.Lock()
		lacks := c.database.applied.less(parsePosition(after))
		c.database.service.mu.Unlock()
		if lacks {
			return failure("LAGGING", c.database.id)
		}
		keyword, arguments, _ = strings.Cut(rest, " ")
	}
	if c.state == "E" && keyword != "ROLLBACK" && keyword != "COMMIT" {
		return failure("MALFORMED", "the transaction failed")
	}
	switch keyword {
	case "BEGIN":
		if arguments != "READ" && !c.leads() {
			return failure("READONLY", c.database.id)
		}
		c.state, c.readOnly, c.writes = "T", arguments == "READ", map[string]string{}
		return completed
	case "ROLLBACK":
		c.state, c.writes = "I", nil
		return completed
	case "COMMIT":
		return c.commit(id)
	case "READ":
		return c.read(id, arguments, text)
	case "WRITE":
		return c.write(id, arguments, text)
	case "SET":
		name, value, _ := strings.Cut(arguments, " ")
		c.values[name] = value
		return completed
	case "RESET":
		clear(c.values)
		clear(c.prepared)
		return completed
	case "PREPARE":
		name, rest, _ := strings.Cut(arguments, " ")
		kind, shape, _ := strings.Cut(rest, " ")
		c.prepared[name] = preparedShape{kind, brief(shape)}
		return completed
	case "RELEASE":
		delete(c.prepared, arguments)
		return completed
	case "EXECUTE":
		return c.execute(id, arguments, text)
	case "STATUS", "SUSPEND", "RESUME", "DEMOTE":
		return c.command(keyword, arguments)
	default:
		return c.fail("MALFORMED", keyword)
	}
}

// command runs a command and returns the status after it.
func (c *databaseConn) command(keyword, arguments string) string {
	d, v := c.database, c.database.service
	term, _ := strconv.ParseInt(arguments, 10, 64)
	v.mu.Lock()
	defer v.mu.Unlock()
	role := "replica"
	if v.primary == d {
		role = "primary"
	}
	switch {
	case keyword == "SUSPEND" && role == "replica" && term > v.term:
		d.suspended = max(d.suspended, term)
	case keyword == "RESUME":
		d.suspended = 0
	case keyword == "DEMOTE" && role == "primary" && term > v.term:
		v.primary, role = nil, "replica"
	}
	return fmt.Sprintf("ROW %s %d %s %d 0 0 %d\r\n%s", role, v.term, d.received, d.suspended, d.conns.Load(), completed)
}

// digest returns the digest of a statement that the database ran.
func (c *databaseConn) digest() string {
	return fmt.Sprintf("%s.%x", c.database.id, c.database.sequence.Add(1))
}

func (c *databaseConn) read(id, item, text string) string {
	time.Sleep(workTime)
	c.database.service.mu.Lock()
	value, ok := c.database.service.items[item]
	c.database.service.mu.Unlock()
	if !ok {
		value = "empty"
	}
	digest := c.digest()
	c.database.service.record.noteRun("run id=%s on %s: %s (digest %s)", id, c.name, brief(text), digest)
	return "ROW " + value + "\r\nCOMPLETE " + digest + "\r\n"
}

func (c *databaseConn) write(id, arguments, text string) string {
	if !c.leads() || c.readOnly && c.state == "T" {
		return c.fail("READONLY", c.database.id)
	}
	time.Sleep(workTime)
	item, data, _ := strings.Cut(arguments, " ")
	digest := c.digest()
	c.database.service.record.noteRun("run id=%s on %s: %s (digest %s)", id, c.name, brief(text), digest)
	if c.state == "T" {
		c.writes[item] = data
		return "COMPLETE " + digest + "\r\n"
	}
	if code := c.database.apply(map[string]string{item: data}, digest); code != "" {
		return failure(code, c.database.id)
	}
	return "COMPLETE " + digest + "\r\n"
}

func (c *databaseConn) commit(id string) string {
	if c.state == "E" {
		c.state, c.writes = "I", nil
		return failure("ABORTED", "the transaction failed")
	}
	time.Sleep(workTime)
	writes := c.writes
	c.state, c.writes = "I", nil
	if len(writes) > 0 {
		if code := c.database.apply(writes, ""); code != "" {
			return failure(code, c.database.id)
		}
	}
	digest := c.digest()
	c.database.service.record.noteRun("run id=%s on %s: COMMIT of %d writes (digest %s)", id, c.name, len(writes), digest)
	return "COMPLETE " + digest + "\r\n"
}

// execute runs a prepared statement. The row of a read names the shape that was run.
func (c *databaseConn) execute(id, arguments, text string) string {
	name, rest, _ := strings.Cut(arguments, " ")
	prepared, ok := c.prepared[name]
	if !ok {
		return c.fail("NOSTMT", name)
	}
	c.database.service.record.noteExecution(execution{id: id, conn: c.name, kind: prepared.kind, shape: prepared.shape})
	if prepared.kind == "WRITE" {
		return c.write(id, rest, text)
	}
	time.Sleep(workTime)
	digest := c.digest()
	c.database.service.record.noteRun("run id=%s on %s: %s, prepared as %s %s (digest %s)", id, c.name, brief(text), prepared.kind, prepared.shape, digest)
	return "ROW " + prepared.shape + ":" + rest + "\r\nCOMPLETE " + digest + "\r\n"
}

// apply commits writes, and returns when a replica has received them. It returns the code of a
// failure if the database does not lead, or no longer does before that.
func (d *database) apply(writes map[string]string, digest string) (code string) {
	v := d.service
	v.mu.Lock()
	if v.primary != d {
		v.mu.Unlock()
		return "READONLY"
	}
	for item, data := range writes {
		v.items[item] = data
	}
	d.received.number++
	d.applied = d.received
	at := d.received
	if digest != "" {
		v.commits[digest] = at
	}
	v.mu.Unlock()
	for _, o := range v.all() {
		if o == d || v.split.parts(d.zone, o.zone) {
			continue
		}
		time.AfterFunc(receiveDelay, func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			if !o.lost && o.suspended <= v.term && o.received.less(at) {
				o.received = at
			}
		})
		time.AfterFunc(receiveDelay+applyDelay, func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			if o.applied.less(at) && !o.received.less(at) {
				o.applied = at
			}
		})
	}
	for {
		time.Sleep(receiveDelay)
		v.mu.Lock()
		if v.primary != d {
			v.mu.Unlock()
			return "FAILED"
		}
		for _, o := range v.databases {
			if o != d && !o.lost && !o.received.less(at) {
				v.mu.Unlock()
				return ""
			}
		}
		v.mu.Unlock()
	}
}
