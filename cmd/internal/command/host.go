package command

import (
	"context"
	"fmt"
	"net/netip"
	"strings"

	"github.com/urfave/cli/v3"

	"basilmill/cmd/internal/exit"
	"basilmill/core/host"
	"basilmill/io/operator"
)

func hostCommand() *cli.Command {
	return &cli.Command{
		Name:            "host",
		Usage:           "show the platform's host list and the status of a host",
		Action:          subcommandRequired,
		HideHelpCommand: true,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the hosts; the list lags", Flags: platformFlags(), Action: action(0, 0, listHosts)},
			{
				Name: "status", Usage: "show what a host knows: groups, servers, ages, the version in force", ArgsUsage: "OPERATORADDRESS",
				Flags: []cli.Flag{
					&cli.DurationFlag{Name: "timeout", Usage: "limit of the request", Value: defaultTimeout},
					outputFlag(),
				},
				Action: action(1, 1, hostStatus),
			},
		},
	}
}

// hostEntry is a host in the JSON output of list.
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

func hostStatus(ctx context.Context, c *cli.Command) error {
	address, err := netip.ParseAddrPort(c.Args().First())
	if err != nil {
		return &exit.InvalidError{Cause: err}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	status, err := operator.FetchStatus(ctx, address)
	if err != nil {
		return err
	}
	return write(c, statusTable(status), status)
}

func statusTable(s operator.Status) table {
	t := table{header: []string{"PARAMETER", "VALUE"}}
	t.add("Host", fmt.Sprintf("%s in %s%s", s.Host, s.DataCentre, leavingSuffix(s.Leaving)))
	t.add("Version", fmt.Sprintf("%d, last contact %s ago, platform available: %t", s.Version, s.ContactAge, s.PlatformAvailable))
	t.add("In force everywhere", fmt.Sprintf("version %d on %d of %d hosts", s.InForceVersion, s.InForceHosts, s.KnownHosts))
	for _, a := range s.Applied {
		t.add("In force in "+a.DataCentre, fmt.Sprintf("version %d on %d hosts", a.Version, a.Hosts))
	}
	for _, g := range s.Groups {
		t.add("Group "+g.ID, fmt.Sprintf("term %d, generation %d, primary %s, successor %s, coordinators %s",
			g.Term, g.Generation, g.Primary, orDash(g.Successor), strings.Join(g.Coordinators, ", ")))
		for _, server := range g.Servers {
			t.add("Server "+g.ID+"/"+server.ID, fmt.Sprintf("%s, term %d, received %d, applied %d, age at most %s, heard %s ago%s",
				server.Role, server.Term, server.Received, server.Applied, orDash(server.Age), server.Heard, leavingSuffix(server.Leaving)))
		}
	}
	return t
}

func leavingSuffix(leaving bool) string {
	if leaving {
		return ", leaving"
	}
	return ""
}
