// Package peer implements the protocol between hosts: Connect RPC over HTTP/2
// without TLS, and a relay for connections to backend servers. It owns the
// mapping between the wire messages and the types of the core packages.
package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"basilmill/core/account"
	"basilmill/core/distribution"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/io/backendserver"
	"basilmill/io/peer/peerpb"
)

// Pull requests the objects of the platform that changed after a version.
type Pull struct {
	After distribution.Version
	// Kind, if set, restricts the reply to the objects of one kind.
	Kind distribution.Kind
	// WaitTimeout bounds how long the receiver holds the request open while
	// nothing has changed. After that time the reply contains no objects.
	WaitTimeout time.Duration
	// AppliedVersion is the configuration version in force on the sender.
	AppliedVersion distribution.Version
	// Applied holds the versions in force by data centre, as last reported to
	// the sender.
	Applied []distribution.AppliedVersion
	// HostsDigest is the digest of the host list that the sender has.
	HostsDigest uint64
}

// PullReply is the reply to a Pull.
type PullReply struct {
	Update  distribution.Update
	Applied []distribution.AppliedVersion
	// Hosts is the platform's host list; nil if the requesting host has it.
	Hosts []host.Info
	// Current is set if the replying host was recently in contact with the
	// platform.
	Current bool
}

// Observation asks whether the receiver can reach a backend server.
type Observation struct {
	Group   group.ID
	Server  group.ServerID
	Term    group.Term
	Timeout time.Duration
}

// ObservationReply is the reply to an Observation. Role and Term are as the
// server reported them, or zero if the replying host does not state them.
type ObservationReply struct {
	Reachable bool
	Role      group.Role
	Term      group.Term
}

// Confirmation asks a coordinator to wait until the group's successor has
// confirmed a write.
type Confirmation struct {
	Group      group.ID
	Generation group.Generation
	Position   group.Position
	// Effect is set if the write is known to have changed data.
	Effect bool
}

// Suspicion reports that the sender lost its connection to a backend server.
type Suspicion struct {
	Group  group.ID
	Server group.ServerID
	Term   group.Term
}

// Start opens an exchange on a coordinator of a group: it describes the request
// that the coordinator routes and runs.
type Start struct {
	Account  account.ID
	Group    group.ID
	Database string
	// Write is set for a request that must run on the primary.
	Write bool
	// ReadOnlyTransaction marks a transaction that may run on a replica.
	ReadOnlyTransaction bool
	// MaxAge is the maximum accepted age of the data; 0 asks for current data.
	MaxAge time.Duration
	// OwnWrites makes Floor apply also to a read with a MaxAge, so that a
	// session reads its own writes.
	OwnWrites bool
	// Floor is the session's floor: the log position that a server must have
	// applied to serve the session. Zero means none.
	Floor group.Position
	// FloorKnown is set if the session presented a token that holds its floor,
	// so that a read of current data needs no query for it.
	FloorKnown bool
	// Excluded lists the servers that failed to serve the request in earlier
	// attempts.
	Excluded []group.ServerID
	// Timeout bounds routing and the wait for a connection.
	Timeout time.Duration
}

// Started states which server an exchange was routed to.
type Started struct {
	Server     group.ServerID
	Term       group.Term
	Generation group.Generation
	Primary    bool
	// Floor is the session's floor. The coordinator determined it if the request
	// had none.
	Floor group.Position
}

// Handler handles the requests of other hosts. An *outcome.Error keeps its
// outcome on the way to the requesting host.
type Handler interface {
	Pull(ctx context.Context, from host.Info, pull Pull) (PullReply, error)
	Observe(ctx context.Context, from host.Info, observation Observation) (ObservationReply, error)
	Suspect(ctx context.Context, from host.Info, suspicion Suspicion) error
	Announce(ctx context.Context, from host.Info) error
	// Cancel cancels the running statement of a session on this host.
	Cancel(ctx context.Context, from host.Info, processID uint32, secret []byte)
	Confirm(ctx context.Context, from host.Info, confirmation Confirmation) error
	Start(ctx context.Context, from host.Info, start Start) (Started, backendserver.Conversation, error)
}

func hostToWire(h host.Info) *peerpb.Host {
	return &peerpb.Host{
		Id:          string(h.ID),
		DataCentre:  string(h.DataCentre),
		Region:      string(h.Region),
		PeerAddress: h.PeerAddress.String(),
		Leaving:     h.State == host.Leaving,
	}
}

func hostFromWire(w *peerpb.Host) (h host.Info, err error) {
	if w.GetId() == "" {
		return host.Info{}, eris.New("host without an id")
	}
	address, err := netip.ParseAddrPort(w.GetPeerAddress())
	if err != nil {
		return host.Info{}, eris.Wrapf(err, "address of host %q", w.GetId())
	}
	h = host.Info{
		ID:          host.ID(w.GetId()),
		DataCentre:  host.DataCentre(w.GetDataCentre()),
		Region:      host.Region(w.GetRegion()),
		PeerAddress: address,
	}
	if w.GetLeaving() {
		h.State = host.Leaving
	}
	return h, nil
}

func hostsToWire(hosts []host.Info) []*peerpb.Host {
	out := make([]*peerpb.Host, len(hosts))
	for i, h := range hosts {
		out[i] = hostToWire(h)
	}
	return out
}

func hostsFromWire(hosts []*peerpb.Host) (out []host.Info, err error) {
	for _, w := range hosts {
		h, err := hostFromWire(w)
		if err != nil {
			return nil, err
		}
		out = append(out, h)
	}
	return out, nil
}

func positionToWire(p group.Position) *peerpb.Position {
	return &peerpb.Position{Term: int64(p.Term), Offset: int64(p.Offset)}
}

func positionFromWire(w *peerpb.Position) group.Position {
	return group.Position{Term: group.Term(w.GetTerm()), Offset: group.Offset(w.GetOffset())}
}

func objectsToWire(objects []distribution.Object) []*peerpb.Object {
	out := make([]*peerpb.Object, len(objects))
	for i, o := range objects {
		out[i] = &peerpb.Object{
			Kind:    string(o.Key.Kind),
			Name:    o.Key.Name,
			Version: int64(o.Version),
			Value:   o.Value,
			Removed: o.Removed,
		}
	}
	return out
}

func objectsFromWire(objects []*peerpb.Object) []distribution.Object {
	out := make([]distribution.Object, len(objects))
	for i, o := range objects {
		out[i] = distribution.Object{
			Key:     distribution.Key{Kind: distribution.Kind(o.GetKind()), Name: o.GetName()},
			Version: distribution.Version(o.GetVersion()),
			Value:   o.GetValue(),
			Removed: o.GetRemoved(),
		}
	}
	return out
}

func appliedToWire(applied []distribution.AppliedVersion) []*peerpb.Applied {
	out := make([]*peerpb.Applied, len(applied))
	for i, a := range applied {
		out[i] = &peerpb.Applied{
			DataCentre: string(a.DataCentre),
			Version:    int64(a.Version),
			Hosts:      int32(a.Hosts),
			AgeMs:      time.Since(a.At).Milliseconds(),
		}
	}
	return out
}

// appliedFromWire converts the sender's ages to local times, so that the clocks
// of two hosts are never compared.
func appliedFromWire(applied []*peerpb.Applied) []distribution.AppliedVersion {
	now := time.Now()
	out := make([]distribution.AppliedVersion, len(applied))
	for i, a := range applied {
		out[i] = distribution.AppliedVersion{
			DataCentre: host.DataCentre(a.GetDataCentre()),
			Version:    distribution.Version(a.GetVersion()),
			Hosts:      int(a.GetHosts()),
			At:         now.Add(-time.Duration(a.GetAgeMs()) * time.Millisecond),
		}
	}
	return out
}

func startToWire(self host.Info, s Start) *peerpb.Start {
	excluded := make([]string, len(s.Excluded))
	for i, id := range s.Excluded {
		excluded[i] = string(id)
	}
	return &peerpb.Start{
		Sender:              hostToWire(self),
		Account:             string(s.Account),
		Group:               string(s.Group),
		Database:            s.Database,
		Write:               s.Write,
		ReadOnlyTransaction: s.ReadOnlyTransaction,
		MaxAgeMs:            s.MaxAge.Milliseconds(),
		OwnWrites:           s.OwnWrites,
		Floor:               positionToWire(s.Floor),
		FloorKnown:          s.FloorKnown,
		Excluded:            excluded,
		DeadlineMs:          s.Timeout.Milliseconds(),
	}
}

func startFromWire(w *peerpb.Start) Start {
	excluded := make([]group.ServerID, len(w.GetExcluded()))
	for i, id := range w.GetExcluded() {
		excluded[i] = group.ServerID(id)
	}
	return Start{
		Account:             account.ID(w.GetAccount()),
		Group:               group.ID(w.GetGroup()),
		Database:            w.GetDatabase(),
		Write:               w.GetWrite(),
		ReadOnlyTransaction: w.GetReadOnlyTransaction(),
		MaxAge:              time.Duration(w.GetMaxAgeMs()) * time.Millisecond,
		OwnWrites:           w.GetOwnWrites(),
		Floor:               positionFromWire(w.GetFloor()),
		FloorKnown:          w.GetFloorKnown(),
		Excluded:            excluded,
		Timeout:             time.Duration(w.GetDeadlineMs()) * time.Millisecond,
	}
}

func startedToWire(s Started) *peerpb.Started {
	return &peerpb.Started{
		Server:     string(s.Server),
		Term:       int64(s.Term),
		Generation: int64(s.Generation),
		Primary:    s.Primary,
		Floor:      positionToWire(s.Floor),
	}
}

func startedFromWire(w *peerpb.Started) Started {
	return Started{
		Server:     group.ServerID(w.GetServer()),
		Term:       group.Term(w.GetTerm()),
		Generation: group.Generation(w.GetGeneration()),
		Primary:    w.GetPrimary(),
		Floor:      positionFromWire(w.GetFloor()),
	}
}
