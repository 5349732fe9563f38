package command

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"basilmill/core/group"
	"basilmill/io/platform"
)

func groupCommand() *cli.Command {
	return &cli.Command{
		Name:            "group",
		Usage:           "show database groups",
		Action:          subcommandRequired,
		HideHelpCommand: true,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the groups", Flags: platformFlags(), Action: action(0, 0, listGroups)},
			{Name: "get", Usage: "show a group and its changes", ArgsUsage: "ID", Flags: platformFlags(), Action: action(1, 1, getGroup)},
		},
	}
}

func listGroups(ctx context.Context, c *cli.Command) error {
	api, err := client(c)
	if err != nil {
		return err
	}
	items, err := api.List(ctx, platform.KindGroup)
	if err != nil {
		return err
	}
	slices.SortFunc(items.Items, func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) })
	t := table{header: []string{"ID", "TERM", "GENERATION", "PRIMARY", "SUCCESSOR", "CANDIDATE", "SERVERS", "DATABASES"}}
	records := make([]json.RawMessage, len(items.Items))
	for i, item := range items.Items {
		record, err := platform.DecodeGroup(item.Value)
		if err != nil {
			return err
		}
		records[i] = item.Value
		t.add(string(record.ID), fmt.Sprint(record.Term), fmt.Sprint(record.Generation), string(record.Primary),
			orDash(string(record.Successor)), orDash(string(record.Candidate)), fmt.Sprint(len(record.Servers)),
			strings.Join(record.Databases, ","))
	}
	return write(c, t, records)
}

func getGroup(ctx context.Context, c *cli.Command) error {
	api, err := client(c)
	if err != nil {
		return err
	}
	object, err := api.Get(ctx, platform.GroupKey(group.ID(c.Args().First())))
	if err != nil {
		return err
	}
	record, err := platform.DecodeGroup(object.Value)
	if err != nil {
		return err
	}
	return write(c, groupTable(record), versioned{Version: object.Version, Value: object.Value})
}

func groupTable(record *group.Record) table {
	t := table{header: []string{"PARAMETER", "VALUE"}}
	t.add("ID", string(record.ID))
	t.add("Term", fmt.Sprint(record.Term))
	t.add("Generation", fmt.Sprint(record.Generation))
	t.add("Databases", strings.Join(record.Databases, ", "))
	t.add("ConnectionLimit", fmt.Sprint(record.ConnectionLimit))
	for _, server := range record.Servers {
		t.add("Server "+string(server.ID), fmt.Sprintf("%s in %s%s", server.Address, server.DataCentre, roleOf(record, server)))
	}
	for _, change := range record.Changes {
		t.add("Change "+formatTime(change.Time), fmt.Sprintf("term %d, generation %d, primary %s, successor %s, by %s: %s (%s)",
			change.Term, change.Generation, change.Primary, orDash(string(change.Successor)), change.Host, change.Cause, change.ID))
	}
	return t
}

func roleOf(record *group.Record, server group.Server) string {
	role := ""
	switch server.ID {
	case record.Primary:
		role = ", primary"
	case record.Successor:
		role = ", successor"
	case record.Candidate:
		role = ", candidate"
	}
	if server.Leaving {
		role += ", leaving"
	}
	return role
}
