// Package membership owns a host's view of which other hosts are usable. It
// combines the platform's host list, which may be stale, with the results of the
// host's own exchanges with other hosts.
package membership

import (
	"slices"
	"strings"
	"time"

	"basilmill/core/host"
)

const (
	// DefaultContactTTL is how long after a successful exchange a host that is
	// not on the platform's list counts as usable.
	DefaultContactTTL = 10 * time.Second
	// DefaultFailureBackoff is how long a host is avoided after its last
	// failed exchange.
	DefaultFailureBackoff = 3 * time.Second
	// failuresBeforeBackoff is the number of consecutive failed exchanges after
	// which a host is avoided. A single lost packet must not move the work of
	// a host to others.
	failuresBeforeBackoff = 3
)

// View is a host's view of the other hosts. The zero value is an empty view with
// default durations. A View is not safe for concurrent use.
type View struct {
	// ContactTTL and FailureBackoff, if positive, replace
	// DefaultContactTTL and DefaultFailureBackoff.
	ContactTTL     time.Duration
	FailureBackoff time.Duration

	listed map[host.ID]host.Info
	peers  map[host.ID]*peer
}

// peer holds the results of the exchanges with another host.
type peer struct {
	info        host.Info
	lastSuccess time.Time
	failures    int
	lastFailure time.Time
	// leaving never becomes false again: a host that replaces this one has a
	// new ID.
	leaving bool
}

// SetList replaces the platform's host list with a newer one.
func (v *View) SetList(hosts []host.Info) {
	v.listed = make(map[host.ID]host.Info, len(hosts))
	for _, h := range hosts {
		v.listed[h.ID] = h
		if h.State == host.Leaving {
			v.MarkLeaving(h)
		}
	}
	v.removeExpired()
}

// RecordSuccess records a successful exchange with a host.
func (v *View) RecordSuccess(info host.Info) {
	p := v.peer(info)
	p.lastSuccess = time.Now()
	p.failures = 0
}

// RecordFailure records a failed exchange with a host.
func (v *View) RecordFailure(id host.ID) {
	p := v.peer(host.Info{ID: id})
	p.failures++
	p.lastFailure = time.Now()
}

// MarkLeaving records that a host is leaving.
func (v *View) MarkLeaving(info host.Info) { v.peer(info).leaving = true }

// Usable returns the hosts that may be given work, ordered by ID. These are the
// hosts on the platform's list and those with a recent successful exchange, without
// those that are leaving or avoided after failures.
func (v *View) Usable() []host.Info {
	now := time.Now()
	var usable []host.Info
	for id, info := range v.listed {
		if p := v.peers[id]; p == nil || v.allows(p, now) {
			usable = append(usable, info)
		}
	}
	for id, p := range v.peers {
		if _, ok := v.listed[id]; ok {
			continue
		}
		if v.allows(p, now) && now.Sub(p.lastSuccess) < v.contactTTL() && p.info.PeerAddress.IsValid() {
			usable = append(usable, p.info)
		}
	}
	slices.SortFunc(usable, func(a, b host.Info) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return usable
}

// allows reports whether work may be given to the peer, judging by the exchanges
// with it.
func (v *View) allows(p *peer, now time.Time) bool {
	if p.leaving {
		return false
	}
	backingOff := p.failures >= failuresBeforeBackoff && now.Sub(p.lastFailure) < v.failureBackoff()
	return !backingOff
}

// peer returns the record of a host and adds it if necessary. It stores info if
// that has a peer address.
func (v *View) peer(info host.Info) *peer {
	if v.peers == nil {
		v.peers = make(map[host.ID]*peer)
	}
	p := v.peers[info.ID]
	if p == nil {
		p = &peer{}
		v.peers[info.ID] = p
	}
	if info.PeerAddress.IsValid() {
		p.info = info
	}
	p.info.ID = info.ID
	return p
}

// removeExpired removes peers that are not on the list and had no exchange for ten
// times ContactTTL, so that the number of peers does not grow with every host that
// is replaced.
func (v *View) removeExpired() {
	now := time.Now()
	for id, p := range v.peers {
		_, listed := v.listed[id]
		expired := now.Sub(p.lastSuccess) > 10*v.contactTTL() && now.Sub(p.lastFailure) > 10*v.contactTTL()
		if !listed && expired {
			delete(v.peers, id)
		}
	}
}

func (v *View) contactTTL() time.Duration {
	if v.ContactTTL > 0 {
		return v.ContactTTL
	}
	return DefaultContactTTL
}

func (v *View) failureBackoff() time.Duration {
	if v.FailureBackoff > 0 {
		return v.FailureBackoff
	}
	return DefaultFailureBackoff
}
