package platform

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"basilmill/core/distribution"
	"basilmill/core/host"
)

// The field names of the wire types are the JSON keys of the object API.

type wireObject struct {
	Kind    Kind
	Name    string
	Version int64
	Value   json.RawMessage
}

func (w wireObject) object(era distribution.Era) (Object, error) {
	version, err := distribution.NewVersion(era, w.Version)
	if err != nil {
		return Object{}, &InvalidResponseError{Cause: err}
	}
	return Object{Key: Key{Kind: w.Kind, Name: w.Name}, Version: version, Value: w.Value}, nil
}

type wireItems struct {
	Version int64
	Items   []wireObject
}

func (w wireItems) items(era distribution.Era) (items Items, err error) {
	items.Items = make([]Object, len(w.Items))
	for i, object := range w.Items {
		if items.Items[i], err = object.object(era); err != nil {
			return Items{}, err
		}
	}
	if items.Version, err = distribution.NewVersion(era, w.Version); err != nil {
		return Items{}, &InvalidResponseError{Cause: err}
	}
	return items, nil
}

type wireStored struct {
	Version int64
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
