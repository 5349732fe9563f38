package distribution

import (
	"cmp"
	"slices"
	"time"

	"basilmill/core/host"
)

// AppliedVersion is the store version up to which all objects are in force on every
// host of a data centre that reported: the lowest of the versions reported.
type AppliedVersion struct {
	DataCentre host.DataCentre
	Version    Version
	// Hosts is the number of hosts that reported.
	Hosts int
	// At is when the value was last determined, by the local clock.
	At time.Time
}

// Convergence tracks which store versions are in force in which data centre. Hosts
// report their version to the relays of their data centre with each pull, and
// relays exchange the results. The zero value is empty. A Convergence is not safe
// for concurrent use.
type Convergence struct {
	hosts   map[host.ID]hostReport
	centres map[host.DataCentre]AppliedVersion
}

// hostReport is the latest version that a host reported.
type hostReport struct {
	dataCentre host.DataCentre
	version    Version
	at         time.Time
}

// ReportTTL is how long a report counts. A host without a newer report has stopped
// or is isolated, which the membership view detects, so it does not hold back the
// version of its data centre.
const ReportTTL = 30 * time.Second

// Report records the version in force on a host.
func (c *Convergence) Report(info host.Info, version Version) {
	if c.hosts == nil {
		c.hosts = make(map[host.ID]hostReport)
	}
	c.hosts[info.ID] = hostReport{dataCentre: info.DataCentre, version: version, at: time.Now()}
}

// MergeSummary merges a summary received from another host. For each data centre
// it keeps the most recent entry.
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

// Summary returns one entry for each data centre, ordered by name. The entry of own
// is computed from the reports of its hosts, the others are those received from
// other hosts. Entries older than ReportTTL are left out.
func (c *Convergence) Summary(own host.DataCentre) []AppliedVersion {
	c.expire()
	var out []AppliedVersion
	for dataCentre, a := range c.centres {
		if dataCentre != own {
			out = append(out, a)
		}
	}
	if a, ok := c.localSummary(own); ok {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b AppliedVersion) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// localSummary returns the entry of the host's own data centre. A host that is not
// a relay has only its own report, so it returns the entry received from its relay.
func (c *Convergence) localSummary(own host.DataCentre) (AppliedVersion, bool) {
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
	if fromRelay, ok := c.centres[own]; ok && a.Hosts <= 1 && fromRelay.Hosts > a.Hosts {
		return fromRelay, true
	}
	return a, a.Hosts > 0
}

// expire removes reports and entries that are older than ReportTTL.
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

// InForce returns the lowest version in a summary and the total number of hosts
// that reported.
func InForce(summary []AppliedVersion) (version Version, hosts int) {
	for i, a := range summary {
		if i == 0 || a.Version < version {
			version = a.Version
		}
		hosts += a.Hosts
	}
	return version, hosts
}
