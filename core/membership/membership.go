// Package membership owns a host's view of which other hosts are usable. It
// combines the platform's host list, which lags, with what the host observes
// itself.
package membership

import (
	"slices"
	"strings"
	"time"

	"basilmill/core/host"
)

const (
	// DefaultContactTTL is how long a direct exchange keeps a host usable that
	// the platform's list does not have.
	DefaultContactTTL = 10 * time.Second
	// DefaultFailureBackoff is how long a host is avoided after failed exchanges.
	DefaultFailureBackoff = 3 * time.Second
	// failuresToAvoid is the number of consecutive failures after which a
	// host is avoided; a single lost packet must not move its work.
	failuresToAvoid = 3
)

// View is the host's view of its peers. The zero value is an empty view with
// default durations. It is not safe for concurrent use.
type View struct {
	// ContactTTL and Avoid replace the defaults when positive.
	ContactTTL     time.Duration
	FailureBackoff time.Duration

	listed map[host.ID]host.Info
	peers  map[host.ID]*peer
}

// peer is what the host itself knows of another host.
type peer struct {
	info     host.Info
	heardAt  time.Time
	failures int
	failedAt time.Time
	// leaving never reverts: a replacement of the host has a new ID.
	leaving bool
}

// SetList replaces the platform's host list.
func (v *View) SetList(hosts []host.Info) {
	v.listed = make(map[host.ID]host.Info, len(hosts))
	for _, h := range hosts {
		v.listed[h.ID] = h
		if h.State == host.Leaving {
			v.MarkLeaving(h)
		}
	}
	v.forget()
}

// RecordSuccess records a successful exchange with a host.
func (v *View) RecordSuccess(info host.Info) {
	p := v.peer(info)
	p.heardAt = time.Now()
	p.failures = 0
}

// RecordFailure records a failed exchange with a host.
func (v *View) RecordFailure(id host.ID) {
	p := v.peer(host.Info{ID: id})
	p.failures++
	p.failedAt = time.Now()
}

// MarkLeaving records that a host is leaving.
func (v *View) MarkLeaving(info host.Info) { v.peer(info).leaving = true }

// Usable returns the hosts that may be given work, ordered by id.
func (v *View) Usable() []host.Info {
	now := time.Now()
	var usable []host.Info
	for id, info := range v.listed {
		if p := v.peers[id]; p == nil || v.accepts(p, now) {
			usable = append(usable, info)
		}
	}
	for id, p := range v.peers {
		if _, ok := v.listed[id]; ok {
			continue
		}
		if v.accepts(p, now) && now.Sub(p.heardAt) < v.recent() && p.info.PeerAddress.IsValid() {
			usable = append(usable, p.info)
		}
	}
	slices.SortFunc(usable, func(a, b host.Info) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return usable
}

// accepts reports whether the host's own observations allow the peer.
func (v *View) accepts(p *peer, now time.Time) bool {
	if p.leaving {
		return false
	}
	avoided := p.failures >= failuresToAvoid && now.Sub(p.failedAt) < v.avoid()
	return !avoided
}

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

// forget drops peers that the list no longer has and that have not been heard
// of for a while, so that the replacements of a long run do not add up.
func (v *View) forget() {
	now := time.Now()
	for id, p := range v.peers {
		_, listed := v.listed[id]
		silent := now.Sub(p.heardAt) > 10*v.recent() && now.Sub(p.failedAt) > 10*v.recent()
		if !listed && silent {
			delete(v.peers, id)
		}
	}
}

func (v *View) recent() time.Duration {
	if v.ContactTTL > 0 {
		return v.ContactTTL
	}
	return DefaultContactTTL
}

func (v *View) avoid() time.Duration {
	if v.FailureBackoff > 0 {
		return v.FailureBackoff
	}
	return DefaultFailureBackoff
}
