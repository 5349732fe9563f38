// Package route chooses the server for a statement. It keeps no state: the
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
	// remotePenalty is added to the expected time on a server in another data
	// centre, because traffic between data centres is more expensive.
	remotePenalty = 10 * time.Millisecond
	// costTolerance is how much above the lowest cost that of another server
	// may be for the server still to be chosen, so that hosts with the same
	// view do not all choose one server. It is below the latency between data
	// centres.
	costTolerance = 2 * time.Millisecond
	// replicaWaitTimeout bounds how long a current read waits for a replica to
	// reach its floor, in case the expected replication lag is wrong.
	replicaWaitTimeout = 50 * time.Millisecond
	// statusTTL is the age above which a status is stale and its server counts
	// as unreachable. It is several probe intervals, which are 1.5 s at the
	// size expected in two years.
	statusTTL = 10 * time.Second
)

// Need is what a request requires of its server. The variants are Write,
// CurrentRead and BoundedAgeRead.
type Need interface{ need() }

type (
	// Write requires the primary.
	Write struct{}
	// CurrentRead requires a server that contains the session's floor.
	CurrentRead struct{}
	// BoundedAgeRead requires a server whose age, as defined in package
	// freshness, is at most MaxAge.
	BoundedAgeRead struct {
		MaxAge time.Duration
		// OwnWrites requires in addition that the server contains the session's
		// floor.
		OwnWrites bool
	}
)

func (Write) need()          {}
func (CurrentRead) need()    {}
func (BoundedAgeRead) need() {}

// Request describes one statement.
type Request struct {
	Need Need
	// Floor is the session's floor as in package floor, zero if it is not
	// known.
	Floor group.Position
	// FloorAt is the start of the floor query: Floor covers every write
	// acknowledged before it. It is zero if there was no query.
	FloorAt time.Time
	// WrittenAt is when the session's last write was acknowledged, zero if the
	// host knows of none. The expected replication lag counts from it.
	WrittenAt time.Time
	// Arrived is when the statement arrived at the host.
	Arrived time.Time
	// Deadline is the time by which the statement must have been sent.
	Deadline time.Time
	// Random selects one of several equally good servers.
	Random uint64
}

// View is what a host knows about a group at the time Now.
type View struct {
	Now        time.Time
	Record     *group.Record
	DataCentre host.DataCentre
	Servers    []Server
}

// Server is what a host knows about one server of a group.
type Server struct {
	ID         group.ServerID
	DataCentre host.DataCentre
	// Status is the server's last status answer, received at StatusAt. Its
	// positions are lower bounds, so they stay valid. StatusAt is zero if there
	// was no answer.
	Status   group.Status
	StatusAt time.Time
	// CompleteAt is the latest time for which reads on the server are proven to
	// see every write acknowledged before it (see freshness.Tracker), zero if
	// unknown.
	CompleteAt time.Time
	// Leaving says that the record marks the server as leaving, or that a
	// planned change is replacing it as the primary. The mark in Status counts
	// as well.
	Leaving bool
	// Unreachable says that connections to the server currently fail.
	Unreachable bool
	// RoundTrip is the expected round trip, QueueWait the expected wait for a
	// connection.
	RoundTrip time.Duration
	QueueWait time.Duration
	// Lag is the expected time from the acknowledgement of a write until the
	// host knows that the server contains it, zero if unknown.
	Lag time.Duration
}

// Decision is the result of Choose: Serve, WaitFor, NeedFloor or Refuse.
type Decision interface{ decision() }

type (
	// Serve sends the statement to a server.
	Serve struct {
		Server group.ServerID
		// FreshUntil is set for a BoundedAgeRead: a result that begins to
		// arrive later is not proven to be within MaxAge and must not be passed
		// on.
		FreshUntil time.Time
	}
	// WaitFor holds the statement until the view changes, or until Until unless
	// that is zero. The caller then calls Choose again. Server is the one that
	// is expected to serve the statement, if any.
	WaitFor struct {
		Server group.ServerID
		Until  time.Time
	}
	// NeedFloor says that the session's floor is needed. The caller finds it
	// and calls Choose again.
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
	case BoundedAgeRead:
		return chooseBoundedAge(q, need, v)
	default:
		return chooseWrite(q, v)
	}
}

// chooseWrite serves writes on the primary only. While the primary is leaving,
// unreachable or not yet promoted, writes wait for its replacement or promotion.
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
	if s, ok := v.bestReplica(q, func(s Server) bool { return s.contains(q.Floor) }); ok {
		return Serve{Server: s.ID}
	}
	primary, primaryOK := v.primary()
	primaryOK = primaryOK && v.usable(primary) && v.primaryContains(primary, q.Floor)
	replica, wait, replicaOK := v.soonestReplica(q)
	switch {
	case replicaOK && (!primaryOK || wait+v.cost(replica) < v.cost(primary)):
		return WaitFor{replica.ID, earliest(q.Arrived.Add(replicaWaitTimeout), q.Deadline)}
	case primaryOK:
		return Serve{Server: primary.ID}
	default:
		return WaitFor{v.Record.Primary, q.Deadline}
	}
}

// chooseBoundedAge serves reads with a stated age on a replica, else on the
// primary. Both need a proof of their age, because an isolated primary lacks
// the writes of its replacement. If there is no proof, a floor query provides
// one: a server that contains the floor is complete up to the start of the
// query.
func chooseBoundedAge(q Request, need BoundedAgeRead, v View) Decision {
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
	isInTime := func(s Server) bool {
		expected := v.Now.Add(s.QueueWait + s.RoundTrip)
		return !expected.After(freshUntil(s))
	}
	isEligible := func(s Server) bool { return isInTime(s) && (!need.OwnWrites || s.contains(q.Floor)) }
	if s, ok := v.bestReplica(q, isEligible); ok {
		return Serve{s.ID, freshUntil(s)}
	}
	if p, ok := v.primary(); ok && v.usable(p) && isInTime(p) && (!need.OwnWrites || v.primaryContains(p, q.Floor)) {
		return Serve{p.ID, freshUntil(p)}
	}
	if v.Now.Sub(q.FloorAt) >= need.MaxAge {
		return NeedFloor{}
	}
	return WaitFor{Until: earliest(q.FloorAt.Add(need.MaxAge), q.Deadline)}
}

// contains reports whether the last status proves that reads on the server see
// every acknowledged write up to p.
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
// of the floor's own term does, without a status as proof, because it wrote the
// log up to the floor.
func (v View) primaryContains(primary Server, floor group.Position) bool {
	return floor.Term == v.Record.Term || primary.contains(floor)
}

// usable reports whether a server may receive new statements.
func (v View) usable(s Server) bool {
	isStale := !s.StatusAt.IsZero() && v.Now.Sub(s.StatusAt) > statusTTL
	return !s.Leaving && !s.Status.Leaving && !s.Unreachable && !isStale
}

// usableReplica reports whether a server is a usable replica. A replaced
// primary that still answers as a primary is not: its log may hold writes that
// will be discarded.
func (v View) usableReplica(s Server) bool {
	return s.ID != v.Record.Primary && !s.StatusAt.IsZero() && s.Status.Role == group.Replica && v.usable(s)
}

// cost is the expected time on a server, plus remotePenalty for a server in
// another data centre.
func (v View) cost(s Server) time.Duration {
	cost := s.RoundTrip + s.QueueWait
	if s.DataCentre != v.DataCentre {
		cost += remotePenalty
	}
	return cost
}

// bestReplica returns one of the eligible replicas whose cost is within
// costTolerance of the lowest.
func (v View) bestReplica(q Request, isEligible func(Server) bool) (Server, bool) {
	candidates := make([]Server, 0, len(v.Servers))
	for _, s := range v.Servers {
		if v.usableReplica(s) && isEligible(s) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return Server{}, false
	}
	cheapest := slices.MinFunc(candidates, func(a, b Server) int { return cmp.Compare(v.cost(a), v.cost(b)) })
	withinTolerance := slices.DeleteFunc(candidates, func(s Server) bool { return v.cost(s) > v.cost(cheapest)+costTolerance })
	return withinTolerance[q.Random%uint64(len(withinTolerance))], true
}

// soonestReplica returns the replica that is expected to serve a current read
// first, and the expected wait until it contains the floor. It returns none if
// the read has already waited for replicaWaitTimeout or the host does not know
// when the session last wrote.
func (v View) soonestReplica(q Request) (best Server, wait time.Duration, ok bool) {
	if !v.Now.Before(q.Arrived.Add(replicaWaitTimeout)) || q.WrittenAt.IsZero() {
		return Server{}, 0, false
	}
	for _, s := range v.Servers {
		if !v.usableReplica(s) || s.Lag == 0 || s.Status.Term < q.Floor.Term {
			continue
		}
		// At least a quarter of the expected lag is assumed to remain.
		w := max(s.Lag-v.Now.Sub(q.WrittenAt), s.Lag/4)
		if !ok || w+v.cost(s) < wait+v.cost(best) {
			best, wait, ok = s, w, true
		}
	}
	return best, wait, ok
}

// earliest returns the earlier of two times, where zero means no time.
func earliest(a, b time.Time) time.Time {
	if b.IsZero() || !a.IsZero() && a.Before(b) {
		return a
	}
	return b
}
