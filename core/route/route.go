// Package route chooses the server for a statement. It owns no state: the
// choice depends only on the request and on a view of the group.
package route

import (
	"cmp"
	"slices"
	"time"

	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/outcome"
)

const (
	// remotePenalty is added to the expected time on a server of another data
	// centre, because links between data centres cost more than usual.
	remotePenalty = 10 * time.Millisecond
	// spread is how much longer than the best server another may be expected
	// to take and still be chosen, so that hosts with the same view do not all
	// choose one server. It is below the latency between data centres.
	spread = 2 * time.Millisecond
	// maxReplicaWait bounds how long a current read waits for a replica to
	// reach its floor, in case the expectation is wrong.
	maxReplicaWait = 50 * time.Millisecond
	// maxSilence is the age of a status from which a server counts as
	// unreachable: several probe intervals at the two-year size (1.5 s).
	maxSilence = 10 * time.Second
)

// Need is what a request requires of its server. The variants are Write,
// CurrentRead and AgedRead.
type Need interface{ need() }

type (
	// Write needs the primary.
	Write struct{}
	// CurrentRead needs a server that contains the session's floor.
	CurrentRead struct{}
	// AgedRead needs a server whose age is at most MaxAge.
	AgedRead struct {
		MaxAge time.Duration
		// OwnWrites requires in addition that it contains the session's floor.
		OwnWrites bool
	}
)

func (Write) need()       {}
func (CurrentRead) need() {}
func (AgedRead) need()    {}

// Request describes one statement.
type Request struct {
	Need Need
	// Floor is the session's floor, zero if it is not known.
	Floor group.Position
	// FloorAt is a time such that Floor covers every write acknowledged before
	// it: the start of a floor query. It is zero if there is none.
	FloorAt time.Time
	// WrittenAt is when the session's last write was acknowledged, zero if the
	// host knows of none. It is the start of the expected replication delay.
	WrittenAt time.Time
	// Arrived is when the statement arrived at the host.
	Arrived time.Time
	// Deadline is when the statement must have been sent.
	Deadline time.Time
	// Random spreads requests over servers that are equally good.
	Random uint64
}

// View is a host's view of a group.
type View struct {
	Now        time.Time
	Record     *group.Record
	DataCentre host.DataCentre
	Servers    []Server
}

// Server is a host's view of one server.
type Server struct {
	ID         group.ServerID
	DataCentre host.DataCentre
	// Status is the last answer, received at StatusAt. Positions in it are
	// lower bounds and stay valid as time passes. StatusAt is zero if there was
	// no answer.
	Status   group.Status
	StatusAt time.Time
	// CompleteAt is a time such that reads on the server see every write
	// acknowledged before it (freshness.Tracker), zero if unknown.
	CompleteAt time.Time
	// Leaving is the leaving mark from any source.
	Leaving bool
	// Unreachable means that connections to the server fail at present.
	Unreachable bool
	// RoundTrip and QueueWait are the expected round trip and the expected wait
	// for a connection.
	RoundTrip time.Duration
	QueueWait time.Duration
	// Lag is the expected time from the acknowledgement of a write until the
	// host knows that the server contains it, zero if unknown.
	Lag time.Duration
}

// Decision is the result of Choose. The variants are Serve, WaitFor, NeedFloor
// and Refuse.
type Decision interface{ decision() }

type (
	// Serve sends the statement to a server.
	Serve struct {
		Server group.ServerID
		// FreshUntil is set for an AgedRead: an answer that begins to arrive
		// later is not proven to be within the age and must not be passed on.
		FreshUntil time.Time
	}
	// WaitFor holds the statement until the view changes, but not longer than
	// Until (zero means no bound), and then chooses again. Server is the one that is expected to
	// serve it, if any.
	WaitFor struct {
		Server group.ServerID
		Until  time.Time
	}
	// NeedFloor asks for the session's floor and then chooses again.
	NeedFloor struct{}
	// Refuse ends the statement, which has not run.
	Refuse struct{ Err *outcome.Error }
)

func (Serve) decision()     {}
func (WaitFor) decision()   {}
func (NeedFloor) decision() {}
func (Refuse) decision()    {}

// Choose chooses the server for a request.
func Choose(q Request, v View) Decision {
	if !q.Deadline.IsZero() && !v.Now.Before(q.Deadline) {
		return Refuse{outcome.Unavailable("no server could be proved able to serve the statement in time", nil)}
	}
	if v.Record == nil {
		return WaitFor{Until: q.Deadline}
	}
	switch need := q.Need.(type) {
	case CurrentRead:
		return chooseCurrent(q, v)
	case AgedRead:
		return chooseAged(q, need, v)
	default:
		return chooseWrite(q, v)
	}
}

// chooseWrite serves writes on the primary only. While it is leaving, lost or
// not yet promoted, writes are held for its replacement.
func chooseWrite(q Request, v View) Decision {
	primary, ok := v.primary()
	if !ok || !v.usable(primary) {
		return WaitFor{v.Record.Successor, q.Deadline}
	}
	s := primary.Status
	promotionPending := s.Role == group.Replica || s.Term < v.Record.Term
	if !primary.StatusAt.IsZero() && promotionPending {
		return WaitFor{primary.ID, q.Deadline}
	}
	return Serve{Server: primary.ID}
}

func chooseCurrent(q Request, v View) Decision {
	if q.Floor.IsZero() {
		return NeedFloor{}
	}
	if s, ok := v.best(q, func(s Server) bool { return s.contains(q.Floor) }); ok {
		return Serve{Server: s.ID}
	}
	primary, primaryOK := v.primary()
	primaryOK = primaryOK && v.usable(primary) && v.primaryContains(primary, q.Floor)
	replica, wait, replicaOK := v.soonest(q)
	switch {
	case replicaOK && (!primaryOK || wait+v.cost(replica) < v.cost(primary)):
		return WaitFor{replica.ID, earliest(q.Arrived.Add(maxReplicaWait), q.Deadline)}
	case primaryOK:
		return Serve{Server: primary.ID}
	default:
		return WaitFor{v.Record.Primary, q.Deadline}
	}
}

// chooseAged serves reads with a stated age on a replica, else on the primary.
// Both need a proof of the age, because an isolated primary lacks the writes
// of its replacement. Without a proof a floor query gives one: a server that
// contains the floor is complete up to the start of the query.
func chooseAged(q Request, need AgedRead, v View) Decision {
	if need.OwnWrites && q.Floor.IsZero() {
		return NeedFloor{}
	}
	freshUntil := func(s Server) time.Time {
		at := s.CompleteAt
		if q.FloorAt.After(at) && (s.contains(q.Floor) || s.ID == v.Record.Primary && v.primaryContains(s, q.Floor)) {
			at = q.FloorAt
		}
		return at.Add(need.MaxAge)
	}
	inTime := func(s Server) bool {
		expected := v.Now.Add(s.QueueWait + s.RoundTrip)
		return !expected.After(freshUntil(s))
	}
	suits := func(s Server) bool { return inTime(s) && (!need.OwnWrites || s.contains(q.Floor)) }
	if s, ok := v.best(q, suits); ok {
		return Serve{s.ID, freshUntil(s)}
	}
	if p, ok := v.primary(); ok && v.usable(p) && inTime(p) && (!need.OwnWrites || v.primaryContains(p, q.Floor)) {
		return Serve{p.ID, freshUntil(p)}
	}
	if v.Now.Sub(q.FloorAt) >= need.MaxAge {
		return NeedFloor{}
	}
	return WaitFor{Until: earliest(q.FloorAt.Add(need.MaxAge), q.Deadline)}
}

// contains reports whether the last status proves that reads see p.
func (s Server) contains(p group.Position) bool {
	return !s.StatusAt.IsZero() && !p.IsZero() && s.Status.Contains(p)
}

// primary returns the server that the record names as primary.
func (v View) primary() (Server, bool) {
	i := slices.IndexFunc(v.Servers, func(s Server) bool { return s.ID == v.Record.Primary })
	if i < 0 {
		return Server{}, false
	}
	return v.Servers[i], true
}

// primaryContains reports whether the primary contains the floor. The primary
// of the floor's term has written it, so that no status is needed.
func (v View) primaryContains(primary Server, floor group.Position) bool {
	return floor.Term == v.Record.Term || primary.contains(floor)
}

// usable reports whether a server may receive new work.
func (v View) usable(s Server) bool {
	silent := !s.StatusAt.IsZero() && v.Now.Sub(s.StatusAt) > maxSilence
	return !s.Leaving && !s.Status.Leaving && !s.Unreachable && !silent
}

// usableReplica excludes a replaced primary, whose log may hold writes that
// will be discarded.
func (v View) usableReplica(s Server) bool {
	return s.ID != v.Record.Primary && !s.StatusAt.IsZero() && s.Status.Role == group.Replica && v.usable(s)
}

// cost is the expected time on a server, weighted by the price of its link.
func (v View) cost(s Server) time.Duration {
	cost := s.RoundTrip + s.QueueWait
	if s.DataCentre != v.DataCentre {
		cost += remotePenalty
	}
	return cost
}

// best returns one of the replicas that suit and whose cost is close to the
// lowest.
func (v View) best(q Request, suits func(Server) bool) (Server, bool) {
	candidates := make([]Server, 0, len(v.Servers))
	for _, s := range v.Servers {
		if v.usableReplica(s) && suits(s) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return Server{}, false
	}
	lowest := slices.MinFunc(candidates, func(a, b Server) int { return cmp.Compare(v.cost(a), v.cost(b)) })
	near := slices.DeleteFunc(candidates, func(s Server) bool { return v.cost(s) > v.cost(lowest)+spread })
	return near[q.Random%uint64(len(near))], true
}

// soonest returns the replica that is expected to serve a current read first
// and the expected wait until it contains the floor. There is none when the
// read has waited for its maximum.
func (v View) soonest(q Request) (best Server, wait time.Duration, ok bool) {
	if !v.Now.Before(q.Arrived.Add(maxReplicaWait)) || q.WrittenAt.IsZero() {
		return Server{}, 0, false
	}
	for _, s := range v.Servers {
		if !v.usableReplica(s) || s.Lag == 0 || s.Status.Term < q.Floor.Term {
			continue
		}
		// Past the expected time, some of the lag is assumed to remain.
		w := max(s.Lag-v.Now.Sub(q.WrittenAt), s.Lag/4)
		if !ok || w+v.cost(s) < wait+v.cost(best) {
			best, wait, ok = s, w, true
		}
	}
	return best, wait, ok
}

// earliest returns the earlier time, where zero means none.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}
