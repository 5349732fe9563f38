package proxy

import (
	"math"
	"time"

	"basilmill/core/account"
	"basilmill/core/balance"
	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/host"
)

// Query describes a request whose routing is to be explained.
type Query struct {
	Database string
	// Account is the client account of the caller; empty without one.
	Account account.ID
	// Operation is Read, Write, Begin or BeginRead.
	Operation exchange.Operation
	// Position is the log position of the session's last commit; zero without one.
	Position group.Position
}

// Candidate is a server that the request may go to, and what this host knows of it.
type Candidate struct {
	Server catalog.Server
	// Primary is set if the server is known to be the primary.
	Primary bool
	// Via is the host whose connections would be used.
	Via host.ID
	// Known is the basis of the choice between servers for a read.
	Known balance.Server
	// ExpectedTime is the estimated time until the answer, Share the probability with which
	// the server is chosen.
	ExpectedTime time.Duration
	Share        float64
	// Reason says why the server is not chosen, or only as a last resort; empty otherwise.
	Reason string
}

// Explanation says where a request would go now.
type Explanation struct {
	ConfigVersion catalog.Version
	Route         catalog.Route
	// PrimaryKnown and ProofAge say what is known of the primary.
	PrimaryKnown bool
	ProofAge     time.Duration
	// MinPosition is the position that a server must have reached, PositionAge the age of
	// its proof. Both are zero if any position will do, or none is recent enough.
	MinPosition group.Position
	PositionAge time.Duration
	Candidates  []Candidate
	// Reason says why the request would wait or be refused; empty if it would be sent.
	Reason string
}

// Explain returns where a request would go now. Nothing is sent, and nothing is reserved.
func (p *Proxy) Explain(q Query) (e Explanation, failure *exchange.Error) {
	view := p.config.Cache.View()
	if view.Config == nil {
		return Explanation{}, &exchange.Error{Code: exchange.Busy, Text: "no configuration yet"}
	}
	e.ConfigVersion = view.Config.Version
	route, ok := view.Route(q.Database)
	if !ok {
		return Explanation{}, &exchange.Error{Code: exchange.NoDatabase, Text: "no route for this database"}
	}
	e.Route = route
	if accounts := view.Config.Accounts; accounts != nil {
		if _, known := accounts.Account(q.Account); !known && (q.Account != "" || !route.Public) {
			return Explanation{}, &exchange.Error{Code: exchange.Unauthorised, Text: "no such account"}
		}
	}
	monitor := p.config.Monitor(route.Group)
	if monitor == nil {
		return Explanation{}, &exchange.Error{Code: exchange.Busy, Text: "the group is being set up"}
	}
	r := &request{session: &Session{proxy: p, account: q.Account, lastCommit: q.Position}, account: q.Account, route: route, monitor: monitor, arrived: p.config.Clock()}
	snapshot := monitor.Snapshot()
	e.PrimaryKnown, e.ProofAge = snapshot.PrimaryKnown, p.config.Clock()-snapshot.ProvenAt
	anyServer := route.Consistency != catalog.Current && (q.Operation == exchange.Read || q.Operation == exchange.BeginRead)
	if anyServer {
		e.Reason = e.explainPosition(r)
	} else {
		e.Reason = r.primaryReason()
	}
	e.addCandidates(r, view, anyServer)
	return e, nil
}

// explainPosition sets the position that a read needs. It returns why there is none.
func (e *Explanation) explainPosition(r *request) (reason string) {
	sample, ok := r.monitor.Snapshot().OldestSampleSince(r.arrived - r.route.MaxAge + ageMargin)
	if !ok {
		return "no position recent enough; the read waits for a proof of the primary"
	}
	e.MinPosition, e.PositionAge = sample.Position, r.arrived-sample.At
	if r.route.Consistency == catalog.OwnWrites && r.session.lastCommit.Compare(e.MinPosition) > 0 {
		e.MinPosition = r.session.lastCommit
	}
	return ""
}

// primaryReason returns why a request that needs the primary would wait for it now.
func (r *request) primaryReason() string {
	snapshot := r.monitor.Snapshot()
	switch {
	case r.session.proxy.isClosed(snapshot):
		return "the primary is leaving; the request waits for its replacement"
	case !snapshot.PrimaryKnown:
		return "no primary is known; the request waits for one"
	case !r.hasRecentProof(snapshot):
		return "the last proof of the primary is too old; the request waits for a new one"
	default:
		return ""
	}
}

// addCandidates adds the servers of the group, with what is known of each.
func (e *Explanation) addCandidates(r *request, view *catalog.View, anyServer bool) {
	p, snapshot := r.session.proxy, r.monitor.Snapshot()
	var known []balance.Server
	var eligible []int
	for _, s := range view.Members(r.route.Group) {
		c := Candidate{Server: s, Primary: snapshot.PrimaryKnown && s.ID == snapshot.Primary.ID}
		c.Known = p.knownLoad(s, c.Primary, e.MinPosition)
		c.ExpectedTime = balance.ExpectedTime(c.Known)
		if p.config.Via != nil {
			c.Via = p.config.Via(s, r.account)
		}
		switch {
		case !anyServer && !c.Primary:
			c.Reason = "not the primary"
		case anyServer && s.Leaving:
			c.Reason = "leaving"
		default:
			if c.Known.Avoided {
				c.Reason = "in backoff after a failure, a refusal, or an answer that it is behind"
			}
			eligible = append(eligible, len(e.Candidates))
			known = append(known, c.Known)
		}
		e.Candidates = append(e.Candidates, c)
	}
	if view.Config.Accounts == nil && anyServer {
		// Without accounts, the server with the lowest cost is chosen.
		best, bestCost := -1, time.Duration(math.MaxInt64)
		for _, i := range eligible {
			c := &e.Candidates[i]
			c.ExpectedTime = p.readCost(c.Server, e.MinPosition)
			if c.Primary {
				c.ExpectedTime += primaryPenalty
			}
			if c.ExpectedTime < bestCost {
				best, bestCost = i, c.ExpectedTime
			}
		}
		if best >= 0 {
			e.Candidates[best].Share = 1
		}
		return
	}
	for i, share := range balance.Shares(known) {
		e.Candidates[eligible[i]].Share = share
	}
}
