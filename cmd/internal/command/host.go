package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"basilmill/core/host"
)

func hostCommand() *cli.Command {
	return &cli.Command{
		Name:            "host",
		Usage:           "show the platform's host list",
		Action:          subcommandRequired,
		HideHelpCommand: true,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the hosts; the list lags", Flags: platformFlags(), Action: action(0, 0, listHosts)},
		},
	}
}

// hostEntry is a host as JSON.
type hostEntry struct {
	ID          host.ID
	DataCentre  host.DataCentre
	Region      host.Region
	PeerAddress string
	State       string
}

func listHosts(ctx context.Context, c *cli.Command) error {
	api, err := client(c)
	if err != nil {
		return err
	}
	hosts, err := api.Hosts(ctx)
	if err != nil {
		return err
	}
	t := table{header: []string{"ID", "DATA CENTRE", "REGION", "PEER ADDRESS", "STATE"}}
	entries := make([]hostEntry, len(hosts))
	for i, info := range hosts {
		entries[i] = hostEntry{
			ID: info.ID, DataCentre: info.DataCentre, Region: info.Region,
			PeerAddress: info.PeerAddress.String(), State: info.State.String(),
		}
		t.add(string(info.ID), string(info.DataCentre), string(info.Region), info.PeerAddress.String(), info.State.String())
	}
	return write(c, t, entries)
}
