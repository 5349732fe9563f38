package platform

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"basilmill/core/host"
)

// The field names of the wire types are the JSON keys of the object API.

type wireObject struct {
	Kind    Kind
	Name    string
	Version Version
	Value   json.RawMessage
}

func (w wireObject) object() Object {
	return Object{Key: Key{Kind: w.Kind, Name: w.Name}, Version: w.Version, Value: w.Value}
}

type wireItems struct {
	Version Version
	Items   []wireObject
}

func (w wireItems) items() Items {
	items := Items{Version: w.Version, Items: make([]Object, len(w.Items))}
	for i, object := range w.Items {
		items.Items[i] = object.object()
	}
	return items
}

type wireStored struct {
	Version Version
}

type wireHosts struct {
	Hosts []wireHost
}

type wireHost struct {
	ID          host.ID
	DataCentre  host.DataCentre
	Region      host.Region
	PeerAddress string
	State       string
}

func (w wireHosts) hosts() ([]host.Info, error) {
	hosts := make([]host.Info, len(w.Hosts))
	for i, entry := range w.Hosts {
		info, err := entry.info()
		if err != nil {
			return nil, &InvalidResponseError{Cause: err}
		}
		hosts[i] = info
	}
	return hosts, nil
}

func (w wireHost) info() (host.Info, error) {
	address, err := netip.ParseAddrPort(w.PeerAddress)
	if err != nil {
		return host.Info{}, fmt.Errorf("host %s: %w", w.ID, err)
	}
	info := host.Info{ID: w.ID, DataCentre: w.DataCentre, Region: w.Region, PeerAddress: address}
	switch w.State {
	case host.Live.String():
		info.State = host.Live
	case host.Leaving.String():
		info.State = host.Leaving
	default:
		return host.Info{}, fmt.Errorf("host %s: unknown state %q", w.ID, w.State)
	}
	return info, nil
}
