package route_test

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"gotest.tools/v3/assert"

	"basilmill/core/freshness"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/route"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// options holds the key=value words of a line.
type options map[string]string

func parse(words []string) options {
	o := options{}
	for _, word := range words {
		key, value, _ := strings.Cut(word, "=")
		o[key] = value
	}
	return o
}

func (o options) number(key string) int64 {
	n, _ := strconv.ParseInt(o[key], 10, 64)
	return n
}

func (o options) duration(key string) time.Duration {
	d, _ := time.ParseDuration(o[key])
	return d
}

// ago returns the time that lies the given duration back, zero if not given.
func (o options) ago(key string) (t time.Time) {
	if _, ok := o[key]; ok {
		t = now.Add(-o.duration(key))
	}
	return t
}

func (o options) has(key string) bool { _, ok := o[key]; return ok }

func parseView(text string) route.View {
	lines := strings.Split(strings.TrimSpace(text), "\n")
	first := strings.Fields(lines[0])
	o := parse(first[1:])
	v := route.View{Now: now, DataCentre: host.DataCentre(first[0]), Record: &group.Record{
		Term: group.Term(o.number("term")), Generation: group.Generation(o.number("generation")),
		Primary: group.ServerID(o["primary"]), Successor: group.ServerID(o["successor"]),
	}}
	for _, line := range lines[1:] {
		words := strings.Fields(line)
		o := parse(words[1:])
		s := route.Server{
			ID: group.ServerID(words[0]), DataCentre: host.DataCentre(o["dc"]), StatusAt: now.Add(-max(100*time.Millisecond, o.duration("status"))),
			CompleteAt: o.ago("complete"), Leaving: o.has("leaving"), Unreachable: o.has("unreachable"),
			RoundTrip: o.duration("rtt"), QueueWait: o.duration("queue"), Lag: o.duration("lag"),
			Status: group.Status{
				Server: group.ServerID(words[0]), Term: group.Term(o.number("term")),
				TermStart: group.Offset(o.number("start")), Applied: group.Offset(o.number("applied")),
			},
		}
		if words[1] == "primary" {
			s.Status.Role = group.Primary
		}
		v.Servers = append(v.Servers, s)
	}
	return v
}

func parseRequest(text string) route.Request {
	words := strings.Fields(text)
	o := parse(words)
	q := route.Request{
		Need: route.Write{}, FloorAt: o.ago("asked"), WrittenAt: o.ago("written"),
		Arrived: now.Add(-o.duration("arrived")), Random: uint64(o.number("random")),
	}
	if o.has("deadline") {
		q.Deadline = now.Add(o.duration("deadline"))
	}
	fmt.Sscanf(o["floor"], "%d:%d", &q.Floor.Term, &q.Floor.Offset)
	switch words[0] {
	case "current":
		q.Need = route.CurrentRead{}
	case "aged":
		age, _ := time.ParseDuration(words[1])
		q.Need = route.AgedRead{MaxAge: age, OwnWrites: o.has("own")}
	}
	return q
}

func describe(d route.Decision) string {
	switch d := d.(type) {
	case route.Serve:
		if d.FreshUntil.IsZero() {
			return fmt.Sprintf("serve %s", d.Server)
		}
		return fmt.Sprintf("serve %s for %v", d.Server, d.FreshUntil.Sub(now))
	case route.WaitFor:
		return fmt.Sprintf("wait for %s up to %v", d.Server, d.Until.Sub(now))
	case route.Refuse:
		return fmt.Sprintf("refuse %v %v", d.Err.SQLState, d.Err.Outcome)
	default:
		return "need floor"
	}
}

// Guards against reads below the session's floor (I1), beyond the stated age
// (I10) and on leaving servers (I7), in the recorded cases. The naive sections
// name the wrong server that the nearest replica by offset alone, without terms
// and ages, would be.
func TestReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	assert.NilError(t, err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			assert.NilError(t, err)
			section := map[string]string{}
			for _, f := range archive.Files {
				section[f.Name] = string(f.Data)
			}
			view := parseView(section["view"])
			for line := range strings.Lines(section["requests"]) {
				i := strings.LastIndex(line, ": ")
				got := describe(route.Choose(parseRequest(line[:i]), view))
				assert.Check(t, got == strings.TrimSpace(line[i+1:]), "%s: got %s", strings.TrimSpace(line), got)
			}
			for line := range strings.Lines(section["naive"]) {
				i := strings.LastIndex(line, ": ")
				assert.Equal(t, string(naive(parseRequest(line[:i]), view)), strings.TrimSpace(line[i+1:]))
			}
		})
	}
}

// naive chooses the nearest replica by offset.
func naive(q route.Request, v route.View) (id group.ServerID) {
	best := time.Hour
	for _, s := range v.Servers {
		if s.ID != v.Record.Primary && s.Status.Applied >= q.Floor.Offset && s.RoundTrip < best {
			id, best = s.ID, s.RoundTrip
		}
	}
	return id
}

// Guards against reads that go to the primary without need, and against
// violations while replicas lag. It prints the share of reads that replicas
// serve; the target is 95% with no violation.
func TestReplicaShare(t *testing.T) {
	const (
		tick, probe, seconds = time.Millisecond, 150, 60
		sessions             = 200
	)
	random := rand.New(rand.NewPCG(1, 2))
	record := &group.Record{Term: 1, Generation: 1, Primary: "a", Successor: "b"}
	lags := []int{0, 4, 40, 900} // ms, of a, b, c, d; d also stalls for 20 s
	var (
		tracker  freshness.Tracker
		written  []time.Time // time of the write with offset i+1
		floors   [sessions]group.Position
		writes   [sessions]time.Time
		total    = map[string]int{}
		replicas = map[string]int{}
	)
	view := route.View{Record: record, DataCentre: "near"}
	for i, id := range []group.ServerID{"a", "b", "c", "d"} {
		s := route.Server{ID: id, DataCentre: "far", RoundTrip: 8 * time.Millisecond, Lag: time.Duration(lags[i]+probe/2) * time.Millisecond}
		if id == "c" || id == "d" {
			s.DataCentre, s.RoundTrip = "near", time.Millisecond
		}
		view.Servers = append(view.Servers, s)
	}
	applied := func(i int, at time.Time) (n group.Offset) {
		stalled := at.Sub(now) > 20*time.Second && at.Sub(now) < 40*time.Second
		if i == 3 && stalled {
			at = now.Add(20 * time.Second)
		}
		for n = group.Offset(len(written)); n > 0 && written[n-1].Add(time.Duration(lags[i])*time.Millisecond).After(at); n-- {
		}
		return n
	}
	for ms := range seconds * 1000 {
		at := now.Add(time.Duration(ms) * tick)
		view.Now = at
		if ms%20 == 0 { // 50 writes a second, each by one of the sessions
			s := random.IntN(sessions / 4)
			written = append(written, at)
			floors[s], writes[s] = group.Position{Term: 1, Offset: group.Offset(len(written))}, at
		}
		if ms%probe == 0 {
			for i := range view.Servers {
				n := applied(i, at)
				st := group.Status{Server: view.Servers[i].ID, Term: 1, Generation: 1, Received: n, Applied: n}
				if i == 0 {
					st.Role, st.Successor = group.Primary, "b"
				}
				tracker.Observe(st, at, record)
				view.Servers[i].Status, view.Servers[i].StatusAt = st, at
			}
			for i := range view.Servers {
				view.Servers[i].CompleteAt, _ = tracker.CompleteAt(view.Servers[i].Status)
			}
		}
		for range 3 { // 3000 reads a second
			s := random.IntN(sessions)
			q := route.Request{Floor: floors[s], WrittenAt: writes[s], Arrived: at, Random: random.Uint64(), Need: route.CurrentRead{}}
			class, age := "current", time.Hour
			if random.IntN(100) < 80 {
				age = []time.Duration{time.Second, 5 * time.Second, 30 * time.Second}[random.IntN(3)]
				class, q.Need = "stated age", route.AgedRead{MaxAge: age}
			}
			if q.Floor.IsZero() { // the floor query on arrival found the first write
				q.Floor = group.Position{Term: 1, Offset: 1}
			}
			serve, ok := route.Choose(q, view).(route.Serve)
			total[class]++
			if !ok || serve.Server == "a" {
				continue // a wait is not counted as served by a replica
			}
			replicas[class]++
			i := int(serve.Server[0] - 'a')
			n := applied(i, at)
			if class == "current" {
				assert.Assert(t, n >= q.Floor.Offset, "%s lacks the floor", serve.Server)
			} else if int(n) < len(written) {
				assert.Assert(t, at.Sub(written[n]) <= age, "%s is older than %v", serve.Server, age)
			}
		}
	}
	all := 0.0
	for class := range total {
		t.Logf("%-10s %6d reads, %.2f%% on replicas", class, total[class], 100*float64(replicas[class])/float64(total[class]))
		all += float64(replicas[class])
	}
	share := all / float64(total["current"]+total["stated age"])
	t.Logf("all        %.2f%% on replicas, no violation", 100*share)
	assert.Assert(t, share >= 0.95)
}
