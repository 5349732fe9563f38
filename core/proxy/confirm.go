package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/ack"
	"basilmill/core/catalog"
	"basilmill/core/exchange"
	"basilmill/core/group"
	"basilmill/core/link"
	"basilmill/core/outcome"
)

// confirm holds back a success of the primary until a change of primary cannot drop the
// commit any more. If that does not become known in time, the outcome is in doubt.
func (r *request) confirm(ctx context.Context, answer exchange.Answer) exchange.Answer {
	p := r.session.proxy
	if p.config.Cache.View().Config.Groups[r.route.Group].SyncReplicas > 0 {
		started := time.Now()
		err := r.awaitReceipt(ctx, answer.Position)
		r.heldBack = time.Since(started)
		if err != nil {
			r.reason = err.Error()
			return exchange.ErrorAnswer(exchange.InDoubt, r.reason, exchange.Idle)
		}
	}
	r.session.noteCommit(answer.Position)
	return answer
}

// awaitReceipt waits until a witness has received the commit. An answer without a
// position is followed by a query for the end of the primary's log.
func (r *request) awaitReceipt(ctx context.Context, commit group.Position) error {
	p := r.session.proxy
	if commit.IsZero() {
		primary, ok := p.config.Cache.View().Servers[r.server]
		if !ok {
			return outcome.Unresolved("the server of a commit without a position has left", nil)
		}
		status, err := p.commander().Command(ctx, primary, exchange.Statement{Operation: exchange.Status})
		if err == nil && status.Role != exchange.Primary {
			err = eris.Errorf("%s does not lead any more", r.server)
		}
		if err != nil {
			return outcome.Unresolved("the position of the commit is not known", err)
		}
		commit = status.ReceivedPosition
	}
	confirmer := p.confirmer(r.route.Group)
	acknowledged := ack.Commit{Primary: r.server, Position: commit}
	if err := confirmer.await(ctx, acknowledged); err != nil {
		return err
	}
	r.witness = confirmer.receipts.Witness(acknowledged)
	if r.witness != "" {
		listedAt, _ := confirmer.listed.at(catalog.Server{ID: r.witness})
		r.witnessListed = p.config.Clock() - listedAt
	}
	return nil
}

// commander returns a client for commands to backend servers.
func (p *Proxy) commander() link.Commander { return link.Commander{Sources: p.config.Sources} }

// confirmers holds the confirmer of each group.
type confirmers struct {
	mu     sync.Mutex
	groups map[group.ID]*confirmer
}

// confirmer returns the confirmer of a group.
func (p *Proxy) confirmer(id group.ID) *confirmer {
	p.confirmers.mu.Lock()
	defer p.confirmers.mu.Unlock()
	if p.confirmers.groups == nil {
		p.confirmers.groups = map[group.ID]*confirmer{}
	}
	if p.confirmers.groups[id] == nil {
		p.confirmers.groups[id] = &confirmer{proxy: p, group: id, receipts: ack.Receipts{Now: p.now}, listed: listed{group: id, config: &p.config}}
	}
	return p.confirmers.groups[id]
}

// noteReceipt notes the position in the answer of a server to a caller's statement that was
// sent at the time.
func (p *Proxy) noteReceipt(server catalog.Server, sentAt time.Time, answer exchange.Answer) {
	if !answer.Position.IsZero() {
		p.confirmer(server.Group).receipts.NotePosition(server.ID, sentAt, p.processSince(answer), answer.Position)
	}
}

// processSince returns a time at which the process that gave an answer was running. It is
// zero if the age of the process is not known. The time that the answer took from a gateway
// makes it later than it was there.
func (p *Proxy) processSince(answer exchange.Answer) time.Time {
	if answer.ProcessAge == 0 {
		return time.Time{}
	}
	return p.now().Add(-answer.ProcessAge)
}

// now returns the reading of Config.Clock as a time that can be compared with others of
// this host.
func (p *Proxy) now() time.Time { return p.at(p.config.Clock()) }

// at returns a reading of Config.Clock as a time that can be compared with others of this
// host.
func (p *Proxy) at(reading time.Duration) time.Time { return time.Unix(0, 0).Add(reading) }

// ExcludeServers makes this host give no successes any more in terms of a group up to the given
// one that rest on the servers, and returns the highest position of a commit whose success it has
// given.
func (p *Proxy) ExcludeServers(id group.ID, servers []group.ServerID, term group.Term) group.Position {
	return p.confirmer(id).receipts.Exclude(servers, term)
}
