package serve

import (
	"cmp"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/control"
	"basilmill/core/distribution"
	"basilmill/core/group"
	"basilmill/io/operator"
)

// Ready implements operator.Source.
func (h *Host) Ready() error {
	s := h.snapshot()
	switch {
	case h.leaving.Load():
		return eris.New("the host is leaving")
	case s.Version == 0:
		return eris.New("the host has no configuration yet")
	case time.Since(s.LastContact) > configTTL:
		return eris.Errorf("the host's configuration may be %s old", time.Since(s.LastContact).Round(time.Second))
	default:
		return nil
	}
}

// Status implements operator.Source.
func (h *Host) Status() operator.Status {
	s := h.snapshot()
	inForce, hosts := distribution.InForce(s.Applied)
	status := operator.Status{
		Host:              string(s.Self.ID),
		DataCentre:        string(s.Self.DataCentre),
		Leaving:           h.leaving.Load(),
		Version:           int64(s.Version),
		InForceVersion:    int64(inForce),
		InForceHosts:      hosts,
		KnownHosts:        len(s.Hosts),
		PlatformAvailable: s.PlatformAvailable,
		ContactAge:        time.Since(s.LastContact).Round(time.Millisecond).String(),
	}
	for _, a := range s.Applied {
		status.Applied = append(status.Applied, operator.Applied{DataCentre: string(a.DataCentre), Version: int64(a.Version), Hosts: a.Hosts})
	}
	for id := range s.Accounts {
		status.Accounts = append(status.Accounts, string(id))
	}
	slices.Sort(status.Accounts)
	for _, g := range s.Groups {
		status.Groups = append(status.Groups, groupStatus(g.View()))
	}
	slices.SortFunc(status.Groups, func(a, b operator.Group) int { return cmp.Compare(a.ID, b.ID) })
	return status
}

func groupStatus(view *control.GroupView) operator.Group {
	out := operator.Group{
		ID:         string(view.Record.ID),
		Term:       int64(view.Record.Term),
		Generation: int64(view.Record.Generation),
		Primary:    string(view.Record.Primary),
		Successor:  string(view.Record.Successor),
		Candidate:  string(view.Record.Candidate),
	}
	for _, h := range view.Coordinators {
		out.Coordinators = append(out.Coordinators, string(h.ID))
	}
	for _, server := range view.Record.Servers {
		if v, ok := view.Servers[server.ID]; ok {
			out.Servers = append(out.Servers, serverStatus(server, v))
		}
	}
	return out
}

func serverStatus(server group.Server, v control.ServerView) operator.Server {
	out := operator.Server{
		ID:         string(server.ID),
		Role:       v.Status.Role.String(),
		Term:       int64(v.Status.Term),
		Received:   int64(v.Status.Received),
		Applied:    int64(v.Status.Applied),
		Generation: int64(v.Status.Generation),
		Heard:      time.Since(v.ReceivedAt).Round(time.Millisecond).String(),
		Leaving:    server.Leaving || v.Status.Leaving,
	}
	if !v.CompleteAt.IsZero() {
		out.Age = time.Since(v.CompleteAt).Round(time.Millisecond).String()
	}
	return out
}
