package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// regions are the regions of the zones, as in the site file.
var regions = map[string]string{"gent-a": "flanders", "namur-a": "wallonia", "brussel-a": "brussels"}

// remoteZones are the zones that are cut off from the platform's store and from the other zones.
var remoteZones = map[string]bool{"gent-a": true, "namur-a": true}

// droppedTime is how long after its remote end has become unreachable a connection is dropped.
const droppedTime = 3 * time.Second

// split is a cut between the remote zones and the others. Everything that passes from one side
// to the other is held back while it lasts.
type split struct {
	mu    sync.Mutex
	since time.Time
	ended chan struct{}
}

func (s *split) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.since, s.ended = time.Now(), make(chan struct{})
}

func (s *split) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended != nil {
		close(s.ended)
		s.ended = nil
	}
}

// active reports whether the cut lasts, and returns a channel that is closed at its end.
func (s *split) active() (ended chan struct{}, active bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended, s.ended != nil
}

// pass waits until something may pass between two zones.
func (s *split) pass(from, to string) {
	if s == nil || remoteZones[from] == remoteZones[to] {
		return
	}
	if ended, active := s.active(); active {
		<-ended
	}
}

// parts reports whether the cut lasts and separates two zones.
func (s *split) parts(a, b string) bool {
	if s == nil || remoteZones[a] == remoteZones[b] {
		return false
	}
	_, active := s.active()
	return active
}

// separable puts proxies on the paths between the zones. Each machine reaches the platform, the
// databases and the machines of other zones at addresses of its own, which its view of the store
// names.
func (d *deployment) separable() error {
	d.split = &split{}
	d.service.split = d.split
	for _, m := range d.machines {
		m.region = regions[m.zone]
		if err := m.forwardPeers(); err != nil {
			return err
		}
		for _, database := range d.service.databases {
			if err := database.listenFor(m); err != nil {
				return err
			}
		}
		var err error
		if m.storeAddress, err = m.serveView(d.store); err != nil {
			return err
		}
		if m.ordersAddress, err = m.serveView(http.HandlerFunc(d.service.servePromotion)); err != nil {
			return err
		}
	}
	return nil
}

// viewIP is the address at which a machine reaches the databases, and remoteIP the one at which
// machines of the other side reach it.
func (m *machine) viewIP() string   { return strings.Replace(m.ip, "127.0.0.", "127.0.1.", 1) }
func (m *machine) remoteIP() string { return strings.Replace(m.ip, "127.0.0.", "127.0.2.", 1) }

// translations returns the addresses that differ in the machine's view.
func (m *machine) translations() (stored, viewed []string) {
	for _, database := range m.deployment.service.all() {
		port := portOf(database.listener)
		stored = append(stored, net.JoinHostPort("127.0.0.1", port))
		viewed = append(viewed, net.JoinHostPort(m.viewIP(), port))
	}
	for _, other := range m.deployment.machines {
		if remoteZones[other.zone] != remoteZones[m.zone] {
			stored = append(stored, other.ip+":")
			viewed = append(viewed, other.remoteIP()+":")
		}
	}
	return stored, viewed
}

func replaceAll(content string, from, to []string) string {
	for i := range from {
		content = strings.ReplaceAll(content, from[i], to[i])
	}
	return content
}

func portOf(l net.Listener) string {
	_, port, _ := net.SplitHostPort(l.Addr().String())
	return port
}

// serveView serves a service of the platform, which is in the zone brussel-a, to a machine.
func (m *machine) serveView(service http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	const platformZone = "brussel-a"
	handler := func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		m.deployment.split.pass(m.zone, platformZone)
		stored, viewed := m.translations()
		request := r.Clone(r.Context())
		request.Body = io.NopCloser(strings.NewReader(replaceAll(string(body), viewed, stored)))
		answered := httptest.NewRecorder()
		service.ServeHTTP(answered, request)
		m.deployment.split.pass(m.zone, platformZone)
		stored, viewed = m.translations()
		for name, values := range answered.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(answered.Code)
		_, _ = io.WriteString(w, replaceAll(answered.Body.String(), stored, viewed))
	}
	server := &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// listenFor makes a database serve a machine at the address of the machine's view.
func (d *database) listenFor(m *machine) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(m.viewIP(), portOf(d.listener)))
	if err != nil {
		return err
	}
	go d.serve(listener, m.zone)
	return nil
}

// forwardPeers forwards what machines of the other side send to the machine.
func (m *machine) forwardPeers() error {
	for port := m.port + 2; port < m.port+portsPerMachine; port++ {
		listener, err := net.Listen("tcp", net.JoinHostPort(m.remoteIP(), strconv.Itoa(port)))
		if err != nil {
			return err
		}
		go m.forward(listener, net.JoinHostPort(m.ip, strconv.Itoa(port)))
	}
	return nil
}

func (m *machine) forward(listener net.Listener, address string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			m.deployment.split.passSides()
			target, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer func() { _ = target.Close() }()
			go m.deployment.split.copy(conn, target)
			m.deployment.split.copy(target, conn)
		}()
	}
}

// passSides waits until something may pass from one side to the other.
func (s *split) passSides() {
	if ended, active := s.active(); active {
		<-ended
	}
}

// copy copies what may pass from one side to the other.
func (s *split) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		s.passSides()
		if err == nil {
			_, err = io.Copy(to, bytes.NewReader(buffer[:n]))
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

const (
	calmTime = 8 * time.Second
	// joinTime is how long before the cut the new database starts.
	joinTime = 3 * time.Second
	// cutTime is how long the regions lose each other, "an hour now and then".
	cutTime = 80 * time.Second
	// writeInterval is the pause between two writes of a client.
	writeInterval = 40 * time.Millisecond
)

// lostRegions plays case 6: regions lose each other. One of the three databases, a
// replica, is being replaced: the new one has started, the old one does not drain yet. Then the
// region of the platform's store and of these two loses the regions of the primary and the other
// replica. With trouble == false the regions do not lose each other.
func lostRegions(ctx context.Context, d *deployment, trouble bool) (broken []string, err error) {
	d.record.runSample = 200
	ctx, cancel := context.WithTimeout(ctx, calmTime+cutTime)
	defer cancel()
	var wait sync.WaitGroup
	var writes acknowledged
	for i, m := range d.machines {
		wait.Go(func() { d.writeOn(ctx, m, fmt.Sprintf("c%d", i+1), &writes) })
	}
	defer wait.Wait()
	time.Sleep(calmTime - joinTime)
	joined, err := d.service.join("brussel-a")
	if err != nil {
		return nil, err
	}
	for _, m := range d.machines {
		if err := joined.listenFor(m); err != nil {
			return nil, err
		}
	}
	joined.register(d.store)
	d.record.note("%s starts, which replaces %s", joined.id, d.service.databases[2].id)
	time.Sleep(joinTime)
	if trouble {
		d.split.begin()
		defer d.split.end()
		d.record.note("brussels loses flanders and wallonia")
		for _, database := range d.service.databases {
			if remoteZones[database.zone] {
				time.AfterFunc(silentTime, func() {
					d.record.note("%s has been silent for %v; its entry is removed", database.id, silentTime)
					d.store.remove("servers", database.id)
				})
			}
		}
	}
	for ctx.Err() == nil && !d.service.promoted() {
		time.Sleep(100 * time.Millisecond)
	}
	if ctx.Err() == nil {
		time.Sleep(2 * time.Second)
	}
	cancel()
	wait.Wait()
	return d.judgeLost(&writes), nil
}

// acknowledged holds the writes that were answered with success, by their digests.
type acknowledged struct {
	mu     sync.Mutex
	writes []acknowledgedWrite
}

type acknowledgedWrite struct {
	id, digest string
	at         time.Time
}

func (a *acknowledged) note(id, digest string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.writes = append(a.writes, acknowledgedWrite{id, digest, time.Now()})
}

// writeOn lets a client write on a machine until the end.
func (d *deployment) writeOn(ctx context.Context, m *machine, name string, writes *acknowledged) {
	var c *client
	failures := 0
	for n := 0; ctx.Err() == nil; n++ {
		var err error
		if c == nil {
			c, err = d.open(ctx, m, name, "lepu270")
		}
		if err == nil {
			var id string
			var r result
			id, r, err = c.request(fmt.Sprintf("WRITE %s v%d", name, n), n%100 == 0)
			switch {
			case err != nil:
			case r.failed == "" && r.digest != "":
				writes.note(id, r.digest)
			default:
				if failures++; failures%50 == 1 {
					d.record.note("%s: %s is answered with %s", name, id, r.failed)
				}
			}
		}
		if err != nil && c != nil {
			c.close()
			c = nil
		}
		time.Sleep(writeInterval)
	}
	if c != nil {
		c.close()
	}
}

// judgeLost returns the acknowledged commits that the log of the promoted database lacks.
func (d *deployment) judgeLost(writes *acknowledged) (broken []string) {
	v := d.service
	v.mu.Lock()
	defer v.mu.Unlock()
	writes.mu.Lock()
	defer writes.mu.Unlock()
	var lost []acknowledgedWrite
	for _, w := range writes.writes {
		at, ok := v.commits[w.digest]
		if ok && v.promotedID != "" && at.term == v.promotedFrom.term && v.promotedFrom.less(at) {
			lost = append(lost, w)
			d.record.note("lost: %s, commit %s, answered with success at %.3f s", w.id, at, w.at.Sub(d.record.started).Seconds())
		}
	}
	d.record.note("%d writes were answered with success, %d of these are lost", len(writes.writes), len(lost))
	if len(lost) > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %s was promoted at %s; its log lacks %d commits that were answered with success", v.promotedID, v.promotedFrom, len(lost)))
	}
	return broken
}
