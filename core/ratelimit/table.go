package ratelimit

import (
	"cmp"
	"slices"

	"basilmill/core/account"
	"basilmill/core/catalog"
	"basilmill/core/host"
	"basilmill/core/placement"
)

// workKind is the kind of work for which regions, data centres and hosts are ranked.
const workKind = "account"

// Holders returns the coordinators of an account: the hosts that hold its parts. They are
// spread over regions and then over data centres, so that the loss of one costs as few
// parts as possible. Within a data centre they are the first hosts in rendezvous order, so
// that a host that joins or leaves changes only those of its own data centre, unless it is
// the first or the last host there. With fewer hosts than parts, some hold several.
func Holders(id account.ID, parts int, hosts []host.Info) []host.Info {
	return newLayout(hosts).holders(id, parts)
}

// layout is a list of hosts by data centre. It is made once for all accounts, because each
// account ranks all hosts.
type layout struct {
	centres  []host.DataCentre
	byCentre map[host.DataCentre]*placement.Ranker
	sizes    map[host.DataCentre]int
	regions  map[host.DataCentre]host.Region
	size     int
}

func newLayout(hosts []host.Info) *layout {
	l := &layout{byCentre: map[host.DataCentre]*placement.Ranker{}, sizes: map[host.DataCentre]int{}, regions: map[host.DataCentre]host.Region{}, size: len(hosts)}
	local := map[host.DataCentre][]host.Info{}
	for _, h := range hosts {
		if local[h.DataCentre] == nil {
			l.centres = append(l.centres, h.DataCentre)
			l.regions[h.DataCentre] = h.Region
		}
		local[h.DataCentre] = append(local[h.DataCentre], h)
	}
	for c, hosts := range local {
		l.byCentre[c], l.sizes[c] = placement.NewRanker(hosts), len(hosts)
	}
	return l
}

// holders is Holders for the hosts of the layout.
func (l *layout) holders(id account.ID, parts int) []host.Info {
	centres := spreadOverRegions(id, l.centres, func(c host.DataCentre) host.Region { return l.regions[c] })
	ranked := make(map[host.DataCentre][]host.Info, len(centres))
	// With as many rounds as data centres have hosts, the last ones need more than one host
	// of a data centre.
	rounds := parts
	if len(centres) > 0 && l.size >= parts {
		rounds = l.rounds(parts)
	}
	for _, c := range centres {
		ranked[c] = l.byCentre[c].Top(workKind, string(id), min(rounds, l.sizes[c]))
	}
	holders := make([]host.Info, 0, parts)
	for round := 0; len(holders) < parts && l.size > 0; round++ {
		for _, c := range centres {
			local := ranked[c]
			if len(holders) < parts && (round < len(local) || len(holders) >= l.size) {
				holders = append(holders, local[round%len(local)])
			}
		}
	}
	return holders
}

// rounds returns the number of hosts of each data centre that may hold one of the parts, if
// there are at least as many hosts as parts.
func (l *layout) rounds(parts int) (n int) {
	for placed := 0; placed < parts; n++ {
		for _, size := range l.sizes {
			if size > n {
				placed++
			}
		}
	}
	return n
}

// spreadOverRegions returns the data centres in an order of the account in which those of
// one region are as far apart as possible.
func spreadOverRegions(id account.ID, centres []host.DataCentre, regionOf func(host.DataCentre) host.Region) []host.DataCentre {
	var regions []host.Region
	byRegion := map[host.Region][]host.DataCentre{}
	for _, c := range placement.RankNames(workKind, string(id), centres) {
		r := regionOf(c)
		if byRegion[r] == nil {
			regions = append(regions, r)
		}
		byRegion[r] = append(byRegion[r], c)
	}
	regions = placement.RankNames(workKind, string(id), regions)
	spread := make([]host.DataCentre, 0, len(centres))
	for len(spread) < len(centres) {
		for _, r := range regions {
			if local := byRegion[r]; len(local) > 0 {
				spread, byRegion[r] = append(spread, local[0]), local[1:]
			}
		}
	}
	return spread
}

// DrawOrder returns the coordinators in the order in which a host draws from them: itself,
// then its data centre, then its region, then the others. Hosts at the same distance keep
// the order of rank, in which all hosts agree.
func DrawOrder(self host.Info, holders []host.Info) []host.Info {
	distance := func(h host.Info) int {
		switch {
		case h.ID == self.ID:
			return 0
		case h.DataCentre == self.DataCentre:
			return 1
		case h.Region == self.Region:
			return 2
		default:
			return 3
		}
	}
	var order []host.Info
	for _, h := range holders {
		if !slices.Contains(order, h) {
			order = append(order, h)
		}
	}
	slices.SortStableFunc(order, func(a, b host.Info) int { return cmp.Compare(distance(a), distance(b)) })
	return order
}

// Table is what a host knows of the limits: the division of each account's limit and the
// hosts that hold the parts. It must not be modified.
type Table struct {
	// ConfigVersion is the version of the configuration that the limits are from.
	ConfigVersion int64
	entries       map[account.ID]*tableEntry
}

type tableEntry struct {
	limit    Limit
	division Division
	// order is the DrawOrder of the holders.
	order []host.Info
	// held is the number of parts that this host holds.
	held int
	// successors are the hosts of this host's data centre that would hold its part without
	// it. They may hold it if they do not know this host.
	successors []host.Info
}

// NewTable returns the table of a host for a configuration and a list of hosts. The host is
// one of the coordinators only if the list has it.
func NewTable(config *catalog.Config, rule Rule, self host.Info, hosts []host.Info) *Table {
	t := &Table{ConfigVersion: int64(config.Version), entries: map[account.ID]*tableEntry{}}
	l := newLayout(hosts)
	if config.Accounts == nil {
		return t
	}
	for _, id := range config.Accounts.IDs() {
		a, _ := config.Accounts.Account(id)
		limit := Limit{Rate: a.Rate, Burst: a.Burst}
		division := Divide(limit, rule)
		holders := l.holders(id, division.Parts)
		held := 0
		for _, h := range holders {
			if h.ID == self.ID {
				held++
			}
		}
		t.entries[id] = &tableEntry{
			limit: limit, division: division, order: DrawOrder(self, holders), held: held,
			successors: l.successors(id, self, holders),
		}
	}
	return t
}

// maxSuccessors is the number of hosts that would hold a part next and have to know a new
// holder. With two, a host that joined at the same time may be one of them.
const maxSuccessors = 2

// successors returns the hosts of a host's data centre that are next in rank after the
// holders.
func (l *layout) successors(id account.ID, self host.Info, holders []host.Info) (next []host.Info) {
	ranker := l.byCentre[self.DataCentre]
	if ranker == nil {
		return nil
	}
	for _, h := range ranker.Top(workKind, string(id), min(len(holders)+maxSuccessors, l.sizes[self.DataCentre])) {
		if len(next) < maxSuccessors && !slices.Contains(holders, h) {
			next = append(next, h)
		}
	}
	return next
}

// LimitChange is a change of an account's limit.
type LimitChange struct {
	Account account.ID
	// Before and Now are the limits; Known is false if the account had none before.
	Before, Now Limit
	Known       bool
}

// Changes returns the limits that differ from those of an earlier table, which may be nil,
// in the order of the accounts.
func (t *Table) Changes(before *Table) (changes []LimitChange) {
	for id, entry := range t.entries {
		var old *tableEntry
		if before != nil {
			old = before.entries[id]
		}
		switch {
		case old == nil:
			changes = append(changes, LimitChange{Account: id, Now: entry.limit})
		case old.limit != entry.limit:
			changes = append(changes, LimitChange{Account: id, Before: old.limit, Now: entry.limit, Known: true})
		}
	}
	slices.SortFunc(changes, func(a, b LimitChange) int { return cmp.Compare(a.Account, b.Account) })
	return changes
}
