package platform

import (
	"encoding/json"
	"errors"
	"net/netip"
	"time"

	"basilmill/core/group"
	"basilmill/core/host"
)

// GroupKey returns the key of a group's record.
func GroupKey(id group.ID) Key { return Key{Kind: KindGroup, Name: string(id)} }

// wireGroup is a group's record as stored; its field names are the JSON keys.
type wireGroup struct {
	ID              group.ID
	Term            group.Term
	Generation      group.Generation
	Primary         group.ServerID
	Successor       group.ServerID
	Candidate       group.ServerID `json:",omitempty"`
	Databases       []string
	ConnectionLimit int
	Servers         []wireServer
	ChangeID        group.ChangeID
	Changes         []wireGroupChange
}

type wireServer struct {
	ID         group.ServerID
	Address    netip.AddrPort
	DataCentre host.DataCentre
	Leaving    bool `json:",omitempty"`
}

type wireGroupChange struct {
	ID         group.ChangeID
	Host       host.ID
	Time       time.Time
	Cause      string
	Term       group.Term
	Generation group.Generation
	Primary    group.ServerID
	Successor  group.ServerID
}

// EncodeGroup encodes a group's record as the value of its object.
func EncodeGroup(record *group.Record) (value json.RawMessage, err error) {
	defer wrapf(&err, "encode group %s", record.ID)
	wire := wireGroup{
		ID:              record.ID,
		Term:            record.Term,
		Generation:      record.Generation,
		Primary:         record.Primary,
		Successor:       record.Successor,
		Candidate:       record.Candidate,
		Databases:       record.Databases,
		ConnectionLimit: record.ConnectionLimit,
		Servers:         make([]wireServer, len(record.Servers)),
		ChangeID:        record.ChangeID,
		Changes:         make([]wireGroupChange, len(record.Changes)),
	}
	for i, server := range record.Servers {
		wire.Servers[i] = wireServer(server)
	}
	for i, change := range record.Changes {
		wire.Changes[i] = wireGroupChange(change)
	}
	return json.Marshal(wire)
}

// errIncomplete means that a stored object lacks a required field, and so is
// probably not of the expected kind.
var errIncomplete = errors.New("the object lacks its id, term, generation or revision")

// errIncompleteServer means that a group names a server that cannot be asked. A change of
// primary would wait for its answer.
var errIncompleteServer = errors.New("a server of the group lacks its id, address or data centre")

// DecodeGroup decodes the value of a group's object.
func DecodeGroup(value json.RawMessage) (record *group.Record, err error) {
	defer wrapf(&err, "decode group")
	var wire wireGroup
	if err := json.Unmarshal(value, &wire); err != nil {
		return nil, err
	}
	if wire.ID == "" || wire.Term < 1 || wire.Generation < 1 {
		return nil, errIncomplete
	}
	record = &group.Record{
		ID:              wire.ID,
		Term:            wire.Term,
		Generation:      wire.Generation,
		Primary:         wire.Primary,
		Successor:       wire.Successor,
		Candidate:       wire.Candidate,
		Databases:       wire.Databases,
		ConnectionLimit: wire.ConnectionLimit,
		ChangeID:        wire.ChangeID,
	}
	for _, server := range wire.Servers {
		if server.ID == "" || !server.Address.IsValid() || server.Address.Port() == 0 || server.DataCentre == "" {
			return nil, errIncompleteServer
		}
		record.Servers = append(record.Servers, group.Server(server))
	}
	for _, change := range wire.Changes {
		record.Changes = append(record.Changes, group.Change(change))
	}
	return record, nil
}
