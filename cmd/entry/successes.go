package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/core/takeover"
	"basilmill/io/peer"
)

const (
	// maxExclusions bounds the hosts that are asked at the same time.
	maxExclusions = 64
	// lostHostsTTL is how long after the store was restored its list may lack hosts that have
	// not written their entries again. It is that of distribution.Directory.
	lostHostsTTL = 30 * time.Second
)

// successes asks all hosts for the successes that they have given. It implements
// takeover.Hosts.
type successes struct {
	host   *Host
	client peer.SuccessesClient
	// startedAt is the reading of the platform's clock at the start of this host.
	startedAt time.Duration
}

func newSuccesses(h *Host) *successes {
	return &successes{host: h, client: peer.SuccessesClient{HTTP: &http.Client{}}, startedAt: h.platform.Clock()}
}

// Exclude implements takeover.Hosts. A host whose address belongs to a later one has ended
// before that started.
func (s *successes) Exclude(ctx context.Context, id group.ID, servers []group.ServerID, term group.Term) (all takeover.Successes, err error) {
	defer func() { err = eris.Wrap(err, "exclude servers") }()
	hosts, err := s.hosts(ctx)
	if err != nil {
		return all, err
	}
	exclusion := peer.Exclusion{Group: id, Servers: servers, Term: term}
	given, errs := make([]peer.Successes, len(hosts)), make([]error, len(hosts))
	calls := make(chan struct{}, maxExclusions)
	var wait sync.WaitGroup
	for i, info := range hosts {
		wait.Go(func() {
			calls <- struct{}{}
			defer func() { <-calls }()
			given[i], errs[i] = s.client.Exclude(ctx, info.PeerAddress, exclusion)
		})
	}
	wait.Wait()
	if err := errors.Join(errs...); err != nil {
		return all, err
	}
	own := s.exclude(exclusion)
	all = takeover.Successes{Highest: own.Highest, Since: own.Age}
	for _, g := range given {
		if g.Highest.Compare(all.Highest) > 0 {
			all.Highest = g.Highest
		}
		all.Since = min(all.Since, g.Age)
	}
	return all, nil
}

// exclude excludes servers from the successes of this host.
func (s *successes) exclude(e peer.Exclusion) peer.Successes {
	return peer.Successes{
		Highest: s.host.proxy.ExcludeServers(e.Group, e.Servers, e.Term),
		Age:     s.host.platform.Clock() - s.startedAt,
	}
}

// hosts returns all other hosts, as the store lists them now and as this host knew them before.
// It fails if that may lack some.
func (s *successes) hosts(ctx context.Context) (others []host.Info, err error) {
	if _, seenAt := s.host.platform.Eras.Newest(); time.Since(seenAt) < lostHostsTTL {
		return nil, eris.New("the store may have lost entries of hosts")
	}
	list, err := s.host.platform.Hosts.ListHosts(ctx, false)
	if err != nil {
		return nil, eris.Wrap(err, "list the hosts")
	}
	addresses := map[string]bool{}
	add := func(info host.Info) {
		if info.ID != s.host.settings.HostID && !addresses[info.PeerAddress.String()] {
			addresses[info.PeerAddress.String()] = true
			others = append(others, info)
		}
	}
	for _, o := range list.Objects {
		entry, ok := s.host.platform.Hosts.DecodeHost(o)
		if !ok {
			return nil, eris.Errorf("the entry of host %s cannot be decoded", o.Key.Name)
		}
		add(entry.Info)
	}
	known, _ := s.host.peers.knownHosts()
	for _, info := range known {
		add(info)
	}
	for _, info := range others {
		// A call to it would reach this host.
		if info.PeerAddress.Addr().IsUnspecified() {
			return nil, eris.Errorf("host %s has no address of its own", info.ID)
		}
	}
	return others, nil
}
