package dispatch

import (
	"cmp"
	"math"
	"time"

	"basilmill/core/account"
)

const (
	// Holders is the number of hosts that hold the connections of accounts to one server.
	Holders = 2
	// OwnConns is the number of connections that a host opens for basilmill itself beside
	// those of accounts: one for probes and shared statements and one for a transaction.
	OwnConns = 2
	// minHolderConns is the least limit of a holder: a shared and an exclusive connection.
	minHolderConns = 2
)

// steadyShare is the part of a server's connection limit that holders and gateways use
// together. A server counts the connections of lost hosts for seconds. The rest of the
// limit is for those that are opened meanwhile: with all of the limit in use, hosts that
// return from a loss of power get no connection until the server drops the former ones.
// Accounts take turns with few connections, so that a fifth of the limit suffices for three
// times the usual load. Two fifths multiply the openings at 60 operations a second by 2.8.
const steadyShare = 0.8

// HolderLimit returns the number of connections that a holder opens for accounts, so that
// all holders and the gateways of the data centres together stay within steadyShare of the
// server's limit.
func HolderLimit(serverLimit, dataCentres int) int {
	return max(minHolderConns, (int(steadyShare*float64(serverLimit))-OwnConns*dataCentres)/Holders)
}

// Bound returns the number of statements that a holder has in flight at a server with the
// given number of slots. Requests beyond it wait at the holder, which serves them in the
// right order, and not in the server's queue. It is not half of the slots, because one
// holder may have all requests of a server at a time: with three statements for four slots
// it refuses six times as many operations at four fifths of the server's capacity. Two
// holders serve as many with either. Zero slots mean that the number is not known.
func Bound(slots int) int {
	if slots <= 0 {
		return math.MaxInt
	}
	return slots
}

// accountBound returns the number of statements that one account has in flight at most, of
// the given number on a holder. It is less, so that an account with a burst leaves a slot
// to the others.
func accountBound(bound int) int { return max(1, min(bound/Holders+1, bound-1)) }

// usageTime is the time constant of the average in Usage: several operations of a large
// account, and a fraction of the time for which an account may exceed its usual rate.
const usageTime = time.Second

// Usage is what an account has and had of the connections to a server. The zero value is
// that of an account that had none.
type Usage struct {
	held    int
	average float64
	at      time.Time
}

// Add notes that the account has gained, or with a negative number lost, connections.
func (u *Usage) Add(n int, now time.Time) {
	u.average, u.at = u.averageAt(now), now
	u.held += n
}

// averageAt returns the moving average of the number of connections.
func (u *Usage) averageAt(now time.Time) float64 {
	held := float64(u.held)
	return held + (u.average-held)*math.Exp(-now.Sub(u.at).Seconds()/usageTime.Seconds())
}

// Level returns the number of connections that the account has now, plus the average over
// about the last second.
func (u *Usage) Level(now time.Time) float64 { return float64(u.held) + u.averageAt(now) }

// negligibleUsage is the level below which a former use does not change the order.
const negligibleUsage = 0.001

// IsNegligible reports whether the account counts as one that had no connections.
func (u *Usage) IsNegligible(now time.Time) bool {
	return u.held == 0 && u.averageAt(now) < negligibleUsage
}

// Waiting is a request that waits for a connection of an account.
type Waiting struct {
	Request
	Position
	// Since is when the request arrived.
	Since time.Time
	// Account is empty for requests of basilmill itself, which are urgent, and for those
	// of callers without an account.
	Account account.ID
	// Prefer reports whether the request prefers the connection with the given index.
	Prefer func(int) bool
}

// Accounts is the state of the connections to one server that accounts share.
type Accounts struct {
	Conns   []Conn
	Waiting []Waiting
	// Dialling is the number of connections that are being opened for each account.
	Dialling map[account.ID]int
	// Weight is the size of an account's fair share relative to those of others; zero for
	// one that is not in the configuration. Callers without an account have one together.
	Weight func(account.ID) float64
	// Level is the use of the connections by an account, see Usage.
	Level func(account.ID) float64
	// Limit is the maximum number of connections of accounts.
	Limit int
	// Bound is the maximum number of statements in flight.
	Bound int
	// Full is set while the server refuses connections over its limit, Failing while
	// connections can't be opened for another reason.
	Full, Failing bool
	// Room is the number of connections, with those being opened, that this pool has
	// while the server is Full. Within it, connections can be exchanged.
	Room int
	// Paused is set while no further connection may be opened because the last one failed.
	Paused bool
	Now    time.Time
}

// Ahead returns the number of waiting requests that are served before another one that
// comes after them, if no account's use changes meanwhile.
func Ahead(waiting []Waiting, w Waiting, weight, level func(account.ID) float64) (n int) {
	use := relativeUse(level(w.Account), weight(w.Account))
	for _, o := range waiting {
		if cmp.Or(o.Compare(w.Position), cmp.Compare(relativeUse(level(o.Account), weight(o.Account)), use)) <= 0 {
			n++
		}
	}
	return n
}

// Grant gives a connection to a waiting request, both by their indexes.
type Grant struct{ Waiting, Conn int }

// Plan is what to do with the connections to one server, in this order.
type Plan struct {
	Grants []Grant
	// GivenUp are the connections to close before any is opened.
	GivenUp []int
	// Dials are the accounts for which connections are to be opened.
	Dials []account.ID
	// Deferred is set if a request needs a connection that can't be opened while Paused.
	Deferred bool
	// ReviewAfter is the time after which to decide anew, if nothing else happens before;
	// zero if there is no such time.
	ReviewAfter time.Duration
}

// Assign decides about the connections of accounts.
//
// It answers the load of more accounts than connections, of which some are large, some
// small, and some send a multiple of their usual rate for seconds. The order of service
// and the choice of the connections that are given up keep an account with a burst from
// delaying the others. Connections of accounts within their share are kept like a cache,
// so that few requests need an opening, which takes a slot of the server.
func Assign(a Accounts) Plan { return newAssignment(a).run() }

// assignment is a decision in progress.
type assignment struct {
	Accounts
	conns []Conn
	// gone marks the connections that are given up.
	gone []bool
	plan Plan
	// waiting, granted, open, dialling and wanted count for each account the requests that
	// wait, the grants, the connections, the ones being opened and the ones that waiting
	// requests need.
	waiting, granted, open, dialling, wanted map[account.ID]int
	// wantsShared marks accounts for which an opening serves all shared requests.
	wantsShared map[account.ID]bool
	inFlight    int
	inFlightOf  map[account.ID]int
	totalWeight float64
}

func newAssignment(a Accounts) *assignment {
	s := &assignment{
		Accounts: a, conns: append([]Conn(nil), a.Conns...), gone: make([]bool, len(a.Conns)),
		waiting: map[account.ID]int{}, granted: map[account.ID]int{}, open: map[account.ID]int{}, dialling: map[account.ID]int{}, wanted: map[account.ID]int{}, wantsShared: map[account.ID]bool{}, inFlightOf: map[account.ID]int{},
	}
	active := map[account.ID]bool{}
	for _, c := range s.conns {
		s.open[c.Account]++
		active[c.Account] = true
		s.inFlight += c.inFlight()
		s.inFlightOf[c.Account] += c.inFlight()
	}
	for id, n := range a.Dialling {
		s.dialling[id] = n
		active[id] = active[id] || n > 0
	}
	for _, w := range a.Waiting {
		s.waiting[w.Account]++
		active[w.Account] = true
	}
	for id := range active {
		if id != "" {
			s.totalWeight += a.Weight(id)
		}
	}
	return s
}

// inFlight returns the number of statements on the connection that count against the bound.
func (c Conn) inFlight() int {
	if c.Exclusive && (c.Starting || !c.OldestSentAt.IsZero()) {
		return 1
	}
	return c.Sessions
}

func (s *assignment) run() Plan {
	served := make([]bool, len(s.Waiting))
	for {
		i := s.next(served)
		if i < 0 {
			break
		}
		served[i] = true
		w := s.Waiting[i]
		if !w.Urgent && s.inFlight >= s.Bound {
			s.prepare(w, served)
			break
		}
		if !w.Urgent && s.inFlightOf[w.Account] >= accountBound(s.Bound) {
			continue
		}
		if conn := s.choose(w); conn >= 0 {
			s.grant(i, conn)
			continue
		}
		s.want(w)
	}
	s.relieve()
	s.shrink()
	return s.plan
}

// maxPrepared is the number of connections that are opened at the same time while the
// statements in flight are at their bound.
const maxPrepared = 2

// prepare opens connections for the first requests in order of service whose accounts have
// none, while the statements in flight end: for w and those that come after it.
func (s *assignment) prepare(w Waiting, served []bool) {
	for {
		if s.totalDialling() >= maxPrepared {
			return
		}
		if s.open[w.Account]+s.dialling[w.Account] == 0 {
			s.want(w)
		}
		i := s.next(served)
		if i < 0 {
			return
		}
		served[i] = true
		w = s.Waiting[i]
	}
}

// next returns the index of the request that is served next, -1 if there is none left.
func (s *assignment) next(served []bool) int {
	best, bestUse := -1, 0.0
	for i, w := range s.Waiting {
		if served[i] {
			continue
		}
		use := s.use(w.Account)
		if best >= 0 && cmp.Or(w.Compare(s.Waiting[best].Position), cmp.Compare(use, bestUse)) >= 0 {
			continue
		}
		best, bestUse = i, use
	}
	return best
}

// use returns what an account has used and been granted relative to its fair share.
func (s *assignment) use(id account.ID) float64 {
	return relativeUse(s.Level(id)+float64(s.granted[id]), s.Weight(id))
}

// freeUse is the level of use that does not count. A small account's share is a few
// milliseconds of a connection in a second, so that a single operation would place it behind
// a large account with a burst for as long.
const freeUse = 0.1

// relativeUse returns the use of connections relative to the weight. It is infinite for
// an account without a weight that has used more than freeUse.
func relativeUse(level, weight float64) float64 {
	if level <= freeUse {
		return 0
	}
	return (level - freeUse) / weight
}

// choose returns the connection for a request, -1 if there is none that it may use. A
// request of basilmill itself may use all connections but prefers its own, because servers
// count the statements of an account by its connections.
func (s *assignment) choose(w Waiting) int {
	own := func(i int) bool { return !s.gone[i] && s.conns[i].Account == w.Account }
	if i := chooseAmong(s.conns, w.Request, own, w.Prefer, s.Now); i >= 0 || w.Account != "" || !w.Urgent {
		return i
	}
	return chooseAmong(s.conns, w.Request, func(i int) bool { return !s.gone[i] }, w.Prefer, s.Now)
}

// grant grants a connection to a request. A request of basilmill itself that gets one of
// an account has another opened for those that follow.
func (s *assignment) grant(waiting, conn int) {
	w, c := s.Waiting[waiting], &s.conns[conn]
	s.plan.Grants = append(s.plan.Grants, Grant{waiting, conn})
	before := c.inFlight()
	if w.Exclusive {
		c.Exclusive, c.Starting = true, true
	} else {
		c.Sessions++
	}
	s.inFlight += c.inFlight() - before
	s.inFlightOf[c.Account] += c.inFlight() - before
	s.granted[w.Account]++
	s.waiting[w.Account]--
	if c.Account != w.Account && s.open[""]+s.dialling[""] == 0 {
		s.dial("")
	}
}

// reusePatience is how long a request waits for a connection that its account has before
// another one is opened, which takes the time of a statement of one of the server's slots.
// It is the duration of the longest usual statements: in simulations of 74 accounts it
// saves a fifth of the openings that 10 ms need, at the same mean wait.
const reusePatience = 30 * time.Millisecond

// want opens a connection for a request that no connection can serve, unless one is being
// opened that will: one for each request for exclusive use, and one for all others of an
// account.
func (s *assignment) want(w Waiting) {
	if wait := reusePatience - s.Now.Sub(w.Since); wait > 0 && s.open[w.Account] > 0 {
		if s.plan.ReviewAfter == 0 || wait < s.plan.ReviewAfter {
			s.plan.ReviewAfter = wait
		}
		return
	}
	if w.Exclusive {
		s.wanted[w.Account]++
	} else if !s.wantsShared[w.Account] {
		s.wantsShared[w.Account] = true
		s.wanted[w.Account]++
	}
	if s.wanted[w.Account] > s.dialling[w.Account] {
		s.dial(w.Account)
	}
}

// maxExchanges is the number of connections that are opened at the same time at a server
// that refuses further ones, each in place of one that was given up: those of one holder's
// part of the slots of current servers.
const maxExchanges = 2

// dial opens a connection for an account if there is room or another one can be given up.
func (s *assignment) dial(id account.ID) {
	switch {
	case id == "" && s.open[""]+s.dialling[""] >= OwnConns:
		return
	case s.Full && !s.Failing:
		if !s.grows() && !s.exchange(id) {
			s.plan.Deferred = s.plan.Deferred || s.Paused
			return
		}
	case s.Paused:
		s.plan.Deferred = true
		return
	case s.Failing && s.totalDialling() > 0:
		return
	case id != "" && s.ofAccounts() >= s.Limit:
		victim := s.victim(id)
		if victim < 0 {
			return
		}
		s.giveUp(victim)
	}
	s.dialling[id]++
	s.plan.Dials = append(s.plan.Dials, id)
}

// exchange makes room at a full server by giving up a connection. The pause after a
// refusal does not apply, because the number of connections remains the same.
func (s *assignment) exchange(id account.ID) bool {
	if s.totalDialling() >= maxExchanges {
		return false
	}
	if s.total() < s.Room && s.ofAccounts() < s.Limit {
		return true
	}
	victim := s.victim(id)
	if victim < 0 {
		return false
	}
	s.giveUp(victim)
	return true
}

// grows reports whether a further connection is tried at a full server: one at a time,
// after the pause.
func (s *assignment) grows() bool {
	return !s.Paused && s.totalDialling() == 0 && s.ofAccounts() < s.Limit
}

// relieve opens a connection for each account of which all shared connections are
// saturated, if there is room without giving one up.
func (s *assignment) relieve() {
	shared, saturated := map[account.ID]bool{}, map[account.ID]bool{}
	for _, c := range s.conns {
		if c.Exclusive || c.Account == "" {
			continue
		}
		if !shared[c.Account] {
			shared[c.Account], saturated[c.Account] = true, true
		}
		saturated[c.Account] = saturated[c.Account] && c.Sessions > saturatedSessions
	}
	for _, c := range s.conns {
		if saturated[c.Account] && s.dialling[c.Account] == 0 && !s.Full && s.ofAccounts() < s.Limit {
			s.dial(c.Account)
		}
	}
}

// shrink gives up idle connections over the limit, as after it has been lowered.
func (s *assignment) shrink() {
	for s.ofAccounts() > s.Limit {
		victim := s.victim("")
		if victim < 0 {
			return
		}
		s.giveUp(victim)
	}
}

func (s *assignment) giveUp(conn int) {
	s.gone[conn] = true
	s.open[s.conns[conn].Account]--
	s.plan.GivenUp = append(s.plan.GivenUp, conn)
}

// total returns the number of connections, with those being opened.
func (s *assignment) total() int {
	return s.ofAccounts() + s.open[""] + s.dialling[""]
}

// totalDialling returns the number of connections that are being opened.
func (s *assignment) totalDialling() (n int) {
	for _, dialling := range s.dialling {
		n += dialling
	}
	return n
}

// ofAccounts returns the number of connections of accounts, with those being opened.
func (s *assignment) ofAccounts() (n int) {
	for id, open := range s.open {
		if id != "" {
			n += open
		}
	}
	for id, dialling := range s.dialling {
		if id != "" {
			n += dialling
		}
	}
	return n
}

// excess returns by how many connections an account exceeds its fair share, which is its
// part by weight of the limit, or of the connections that a full server leaves.
func (s *assignment) excess(id account.ID, further int) float64 {
	share := 0.0
	if weight := s.Weight(id); weight > 0 {
		limit := s.Limit
		if s.Full {
			limit = min(limit, s.Room)
		}
		share = float64(limit) * weight / s.totalWeight
	}
	return float64(s.open[id]+s.dialling[id]+further) - share
}

// reuseThreshold is how long a connection must have been idle before an account that
// exceeds its own share takes it from one that does not.
const reuseThreshold = time.Second

// victim returns the idle connection that is given up for another one of an account, -1 if
// there is none. An account within its share keeps a connection for which a request waits:
// it may just have been opened for that.
func (s *assignment) victim(id account.ID) int {
	victim, victimExcess := -1, 0.0
	for i, c := range s.conns {
		if s.gone[i] || c.Account == "" || c.Account == id || c.Exclusive || c.Sessions > 0 || !c.OldestSentAt.IsZero() {
			continue
		}
		excess := s.excess(c.Account, 0)
		if excess < 1 && s.waiting[c.Account] > 0 {
			continue
		}
		if victim >= 0 && (excess < victimExcess || excess == victimExcess && !c.IdleSince.Before(s.conns[victim].IdleSince)) {
			continue
		}
		victim, victimExcess = i, excess
	}
	if victim < 0 || id == "" {
		return victim
	}
	if own := s.excess(id, 1); own >= 1 && own >= victimExcess && s.Now.Sub(s.conns[victim].IdleSince) < reuseThreshold {
		return -1
	}
	return victim
}
