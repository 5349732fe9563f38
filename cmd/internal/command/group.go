package command

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"basilmill/cmd/internal/exit"
	"basilmill/cmd/internal/groups"
	"basilmill/core/group"
	"basilmill/core/host"
	"basilmill/io/jsonc"
	"basilmill/io/platform"
)

func groupCommand() *cli.Command {
	return &cli.Command{
		Name:            "group",
		Usage:           "show database groups and change their servers",
		Action:          subcommandRequired,
		HideHelpCommand: true,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the groups", Flags: platformFlags(), Action: action(0, 0, listGroups)},
			{Name: "get", Usage: "show a group and its changes", ArgsUsage: "ID", Flags: platformFlags(), Action: action(1, 1, getGroup)},
			{
				Name: "create", Usage: "register a group from a definition", ArgsUsage: "FILE",
				Flags: platformFlags(changeFlags()...), Action: action(1, 1, createGroup),
			},
			{
				Name: "add-server", Usage: "add a replica to a group", ArgsUsage: "ID SERVER ADDRESS DATACENTRE",
				Flags: platformFlags(changeFlags()...), Action: action(4, 4, addServer),
			},
			{
				Name: "leave", Usage: "mark a backend server as leaving: it gets no new work", ArgsUsage: "ID SERVER",
				Description: "A leaving primary is replaced by a planned change. The mark is final: a server that comes back is added under a new id.",
				Flags:       platformFlags(changeFlags()...), Action: action(2, 2, markServerLeaving),
			},
			{
				Name: "remove-server", Usage: "remove a replica from a group", ArgsUsage: "ID SERVER",
				Flags: platformFlags(changeFlags()...), Action: action(2, 2, removeServer),
			},
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
	return write(c, groupTable(record), versionedValue{Version: object.Version, Value: object.Value})
}

func groupTable(record *group.Record) table {
	t := table{header: []string{"PARAMETER", "VALUE"}}
	t.add("ID", string(record.ID))
	t.add("Term", fmt.Sprint(record.Term))
	t.add("Generation", fmt.Sprint(record.Generation))
	t.add("Databases", strings.Join(record.Databases, ", "))
	t.add("ConnectionLimit", fmt.Sprint(record.ConnectionLimit))
	for _, server := range record.Servers {
		t.add("Server "+string(server.ID), fmt.Sprintf("%s in %s%s", server.Address, server.DataCentre, roleSuffix(record, server)))
	}
	for _, change := range record.Changes {
		t.add("Change "+formatTime(change.Time), fmt.Sprintf("term %d, generation %d, primary %s, successor %s, by %s: %s (%s)",
			change.Term, change.Generation, change.Primary, orDash(string(change.Successor)), change.Host, change.Cause, change.ID))
	}
	return t
}

// roleSuffix returns the role and state of a server for its line in a table.
func roleSuffix(record *group.Record, server group.Server) string {
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

func createGroup(ctx context.Context, c *cli.Command) error {
	path := c.Args().First()
	data, err := readFile(path)
	if err != nil {
		return err
	}
	record, err := jsonc.Group(data)
	if err != nil {
		return withPath(path, err)
	}
	author := authorOf(c, "created")
	record.ChangeID = author.ChangeID
	record.Changes = []group.Change{{
		ID: author.ChangeID, Host: author.Host, Time: author.Time, Cause: author.Cause,
		Term: record.Term, Generation: record.Generation, Primary: record.Primary, Successor: record.Successor,
	}}
	store, err := groupStore(c)
	if err != nil {
		return err
	}
	if err := store.Create(ctx, record); err != nil {
		return err
	}
	return writeGroupChange(c, record.ID, author)
}

func addServer(ctx context.Context, c *cli.Command) error {
	address, err := netip.ParseAddrPort(c.Args().Get(2))
	if err != nil {
		return &exit.InvalidError{Cause: err}
	}
	server := group.Server{ID: group.ServerID(c.Args().Get(1)), Address: address, DataCentre: host.DataCentre(c.Args().Get(3))}
	return changeGroup(ctx, c, "server added", func(r *group.Record, author group.Author) (*group.Record, error) {
		return r.AddServer(author, server)
	})
}

func markServerLeaving(ctx context.Context, c *cli.Command) error {
	return changeGroup(ctx, c, "server leaving", func(r *group.Record, author group.Author) (*group.Record, error) {
		return r.MarkLeaving(author, group.ServerID(c.Args().Get(1)))
	})
}

func removeServer(ctx context.Context, c *cli.Command) error {
	return changeGroup(ctx, c, "server removed", func(r *group.Record, author group.Author) (*group.Record, error) {
		return r.RemoveServer(author, group.ServerID(c.Args().Get(1)))
	})
}

func changeGroup(ctx context.Context, c *cli.Command, cause string, transition func(*group.Record, group.Author) (*group.Record, error)) error {
	store, err := groupStore(c)
	if err != nil {
		return err
	}
	id, author := group.ID(c.Args().First()), authorOf(c, cause)
	err = store.Change(ctx, id, author.ChangeID, func(r *group.Record) (*group.Record, error) { return transition(r, author) })
	if err != nil {
		return err
	}
	return writeGroupChange(c, id, author)
}

// groupChangeResult is the JSON output of the commands that change a group.
type groupChangeResult struct {
	ID       group.ID
	ChangeID group.ChangeID
	Cause    string
}

func writeGroupChange(c *cli.Command, id group.ID, author group.Author) error {
	t := table{rows: [][]string{{fmt.Sprintf("group %s: %s (change %s)", id, author.Cause, author.ChangeID)}}}
	return write(c, t, groupChangeResult{ID: id, ChangeID: author.ChangeID, Cause: author.Cause})
}

// authorOf returns the author of a change by the operator, for the audit entry of
// the record. Its Host names the operator, as other updates of a record are made
// by hosts.
func authorOf(c *cli.Command, cause string) group.Author {
	return group.Author{
		ChangeID: group.ChangeID(cmp.Or(c.String("change-id"), rand.Text())),
		Host:     host.ID("operator " + c.String("operator")),
		Time:     time.Now().UTC(),
		Cause:    cause,
	}
}

func groupStore(c *cli.Command) (groups.Store, error) {
	api, err := client(c)
	if err != nil {
		return groups.Store{}, err
	}
	return groups.Store{API: api, RetryTimeout: c.Duration("patience")}, nil
}
