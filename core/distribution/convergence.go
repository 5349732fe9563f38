package distribution

import (
	"cmp"
	"slices"
	"time"

	"basilmill/core/host"
)

// AppliedVersion is the lowest version in force on the hosts of a data centre.
type AppliedVersion struct {
	DataCentre host.DataCentre
	Version    Version
	Hosts      int
	// At is when this was last learnt, in local time.
	At time.Time
}

// Convergence collects which versions are in force where. Hosts report to the
// relays of their data centre with each pull; relays exchange the result. The
// zero value is empty. It is not safe for concurrent use.
type Convergence struct {
	hosts   map[host.ID]report
	centres map[host.DataCentre]AppliedVersion
}

type report struct {
	dataCentre host.DataCentre
	version    Version
	at         time.Time
}

// ReportTTL is how long a report counts. A host that reports no more is
// left to the membership view: it is either gone or cut off.
const ReportTTL = 30 * time.Second

// Report records the version in force on a host of the own data centre.
func (c *Convergence) Report(info host.Info, version Version) {
	if c.hosts == nil {
		c.hosts = make(map[host.ID]report)
	}
	c.hosts[info.ID] = report{dataCentre: info.DataCentre, version: version, at: time.Now()}
}

// MergeSummary merges what another host knows of data centres; newer knowledge wins.
func (c *Convergence) MergeSummary(applied []AppliedVersion) {
	if c.centres == nil {
		c.centres = make(map[host.DataCentre]AppliedVersion)
	}
	for _, a := range applied {
		if a.At.After(c.centres[a.DataCentre].At) {
			c.centres[a.DataCentre] = a
		}
	}
}

// Summary returns one entry for each data centre: that of own from the
// reports of its hosts, the others as learnt. Outdated entries are left out.
func (c *Convergence) Summary(own host.DataCentre) []AppliedVersion {
	c.expire()
	var out []AppliedVersion
	for dataCentre, a := range c.centres {
		if dataCentre != own {
			out = append(out, a)
		}
	}
	if a, ok := c.local(own); ok {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b AppliedVersion) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// local aggregates the reports of the own data centre. A host that is no
// relay gets no reports but its own and passes on what its relay told it.
func (c *Convergence) local(own host.DataCentre) (AppliedVersion, bool) {
	a := AppliedVersion{DataCentre: own, At: time.Now()}
	for _, r := range c.hosts {
		if r.dataCentre != own {
			continue
		}
		if a.Hosts == 0 || r.version < a.Version {
			a.Version = r.version
		}
		a.Hosts++
	}
	if learnt, ok := c.centres[own]; ok && a.Hosts <= 1 && learnt.Hosts > a.Hosts {
		return learnt, true
	}
	return a, a.Hosts > 0
}

func (c *Convergence) expire() {
	for id, r := range c.hosts {
		if time.Since(r.at) > ReportTTL {
			delete(c.hosts, id)
		}
	}
	for dataCentre, a := range c.centres {
		if time.Since(a.At) > ReportTTL {
			delete(c.centres, dataCentre)
		}
	}
}

// InForce returns the lowest version of a summary, and the number of hosts
// that it covers.
func InForce(summary []AppliedVersion) (version Version, hosts int) {
	for i, a := range summary {
		if i == 0 || a.Version < version {
			version = a.Version
		}
		hosts += a.Hosts
	}
	return version, hosts
}
