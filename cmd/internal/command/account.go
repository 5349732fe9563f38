package command

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"basilmill/cmd/internal/accounts"
	"basilmill/core/account"
	"basilmill/core/distribution"
	"basilmill/core/group"
	"basilmill/io/platform"
)

func accountCommand() *cli.Command {
	return &cli.Command{
		Name:            "account",
		Usage:           "submit, revise and show client accounts",
		Action:          subcommandRequired,
		HideHelpCommand: true,
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "create a client account from a template", ArgsUsage: "FILE",
				Flags: platformFlags(changeFlags()...), Action: action(1, 1, submit),
			},
			{
				Name: "revise", Usage: "replace the template of a client account", ArgsUsage: "FILE",
				Description: "The template's Revision, or --base, is the revision that the change is based on. " +
					"The change is refused with exit code 3 when another one was accepted since.",
				Flags: platformFlags(append(changeFlags(),
					&cli.Int64Flag{Name: "base", Usage: "`REVISION` that the change is based on, instead of the file's"})...),
				Action: action(1, 1, revise),
			},
			{
				Name: "verifier", Usage: "read a password from standard input and print its verifier for a template",
				Action: action(0, 0, printVerifier),
			},
			{
				Name: "get", Usage: "show a client account", ArgsUsage: "ID",
				Flags: platformFlags(
					&cli.BoolFlag{Name: "template", Usage: "print only the template, in the form of a template file"}),
				Action: action(1, 1, getAccount),
			},
			{
				Name: "list", Usage: "list the client accounts",
				Flags: platformFlags(), Action: action(0, 0, listAccounts),
			},
			{
				Name: "history", Usage: "list the changes of a client account", ArgsUsage: "ID",
				Flags: platformFlags(), Action: action(1, 1, accountHistory),
			},
			{
				Name: "diff", Usage: "compare an accepted template with a file or with another revision", ArgsUsage: "ID [FILE]",
				Flags: platformFlags(
					&cli.Int64Flag{Name: "from", Usage: "`REVISION` to start from; the revision in force when absent, or the one before --to"},
					&cli.Int64Flag{Name: "to", Usage: "`REVISION` to compare with"},
				),
				Action: action(1, 2, accountDiff),
			},
		},
	}
}

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "operator", Usage: "`NAME` for the audit entry",
			Sources: cli.EnvVars("BASILMILL_OPERATOR", "USER"), Required: true,
		},
		&cli.StringFlag{Name: "change-id", Usage: "`ID` of the change; the same as before when a command with unknown result is repeated"},
		&cli.DurationFlag{Name: "patience", Usage: "how long to try again during an outage or after a lost reply", Value: defaultRetryTimeout},
	}
}

func newRequest(c *cli.Command) (account.Request, error) {
	template, err := readTemplate(c.Args().First())
	if err != nil {
		return account.Request{}, err
	}
	request := account.Request{
		ChangeID: account.ChangeID(c.String("change-id")),
		Operator: account.Operator(c.String("operator")),
		Time:     time.Now().UTC(),
		Template: template,
	}
	if request.ChangeID == "" {
		request.ChangeID = account.ChangeID(rand.Text())
	}
	return request, nil
}

func submit(ctx context.Context, c *cli.Command) error {
	request, err := newRequest(c)
	if err != nil {
		return err
	}
	if request.Template.Revision != 0 {
		return invalid("the template has Revision %d: a new account has none; use account revise", request.Template.Revision)
	}
	return change(c, request, func(store accounts.Store) (accounts.Result, error) {
		return store.Submit(ctx, request)
	})
}

func revise(ctx context.Context, c *cli.Command) error {
	request, err := newRequest(c)
	if err != nil {
		return err
	}
	if c.IsSet("base") {
		request.Template.Revision = account.Revision(c.Int64("base"))
	}
	if request.Template.Revision == 0 {
		return invalid("state the revision that the change is based on, as Revision in the file or with --base")
	}
	return change(c, request, func(store accounts.Store) (accounts.Result, error) {
		return store.Revise(ctx, request)
	})
}

// The field names of the results of commands are the keys of their JSON output.

// changeResult is the JSON output of submit and revise.
type changeResult struct {
	ID       account.ID
	Accepted bool
	// Revision is the revision in force after the command, if known.
	Revision account.Revision
	ChangeID account.ChangeID
	// Settled is set if the reply to the update was lost and the change was found
	// when the account was read again.
	Settled bool
	// Winner is the conflicting change that was accepted first, if any.
	Winner *changeSummary `json:",omitempty"`
	// Diff is what the accepted change altered or, after a lost race, what the
	// changes accepted before it altered.
	Diff []account.Difference
}

// changeSummary identifies an accepted change in JSON output.
type changeSummary struct {
	ChangeID account.ChangeID
	Operator account.Operator
	Time     time.Time
	Revision account.Revision
}

func summaryOf(change account.Change) changeSummary {
	return changeSummary{ChangeID: change.ID, Operator: change.Operator, Time: change.Time, Revision: change.Revision}
}

// change applies a change and prints its result, also that of a lost race.
func change(c *cli.Command, request account.Request, apply func(accounts.Store) (accounts.Result, error)) error {
	store, err := accountStore(c)
	if err != nil {
		return err
	}
	result, err := apply(store)
	var (
		race      *account.RaceError
		unchanged *account.UnchangedError
		claimRace *accounts.ClaimRaceError
	)
	switch {
	case errors.As(err, &race):
		return errors.Join(err, writeRace(c, request, race))
	case errors.As(err, &unchanged):
		return writeChange(c, unchanged.Error(), changeResult{ID: unchanged.ID, Revision: unchanged.Revision})
	case err != nil && !errors.As(err, &claimRace):
		return err
	}
	text := fmt.Sprintf("account %s: revision %d accepted (change %s)", result.Change.After.ID, result.Change.Revision, result.Change.ID)
	if result.FoundOnReadBack {
		text += ", found on reading back"
	}
	return errors.Join(err, writeChange(c, text, changeResult{
		ID: result.Change.After.ID, Accepted: true, Revision: result.Change.Revision,
		ChangeID: result.Change.ID, Settled: result.FoundOnReadBack,
		Diff: account.Diff(result.Change.Before, result.Change.After),
	}))
}

func writeChange(c *cli.Command, text string, result changeResult) error {
	return write(c, table{rows: [][]string{{text}}}, result)
}

// writeRace prints what the changes that were accepted first altered.
func writeRace(c *cli.Command, request account.Request, race *account.RaceError) error {
	winner := summaryOf(race.Winner)
	return write(c, diffTable(race.Diff), changeResult{
		ID: request.Template.ID, Revision: race.Winner.Revision, ChangeID: request.ChangeID,
		Winner: &winner, Diff: race.Diff,
	})
}

func diffTable(differences []account.Difference) table {
	t := table{header: []string{"PATH", "BEFORE", "AFTER"}}
	for _, d := range differences {
		t.add(string(d.Path), orDash(d.Before), orDash(d.After))
	}
	return t
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func getAccount(ctx context.Context, c *cli.Command) error {
	store, err := accountStore(c)
	if err != nil {
		return err
	}
	object, version, err := store.Get(ctx, account.ID(c.Args().First()))
	if err != nil {
		return err
	}
	if c.Bool("template") {
		value, err := platform.EncodeTemplate(object.Template)
		if err != nil {
			return err
		}
		return writeJSON(c, value)
	}
	value, err := platform.EncodeAccount(object)
	if err != nil {
		return err
	}
	return write(c, accountTable(object, version), versionedValue{Version: version, Value: value})
}

// versionedValue is an object of the platform in JSON output.
type versionedValue struct {
	Version distribution.Version
	Value   json.RawMessage
}

func accountTable(object *account.Object, version distribution.Version) table {
	last, _ := object.Last()
	t := table{header: []string{"PARAMETER", "VALUE"}}
	t.add("Revision", fmt.Sprintf("%d (version %d of the platform)", object.Template.Revision, version))
	t.add("Changed", fmt.Sprintf("%s by %s, change %s", formatTime(last.Time), last.Operator, last.ID))
	for _, d := range account.Diff(account.Template{}, object.Template) {
		if d.Path == "Verifier" {
			d.After = "(hidden)"
		}
		t.add(string(d.Path), d.After)
	}
	return t
}

// accountEntry is an account in the JSON output of list.
type accountEntry struct {
	ID         account.ID
	Groups     []group.ID
	LastChange changeSummary
}

func listAccounts(ctx context.Context, c *cli.Command) error {
	store, err := accountStore(c)
	if err != nil {
		return err
	}
	objects, err := store.List(ctx)
	if err != nil {
		return err
	}
	slices.SortFunc(objects, func(a, b account.Object) int {
		return strings.Compare(string(a.Template.ID), string(b.Template.ID))
	})
	t := table{header: []string{"ID", "REVISION", "GROUPS", "CHANGED", "OPERATOR"}}
	entries := make([]accountEntry, len(objects))
	for i, object := range objects {
		last, _ := object.Last()
		entries[i] = accountEntry{ID: object.Template.ID, LastChange: summaryOf(last)}
		for _, claim := range object.Template.Groups {
			entries[i].Groups = append(entries[i].Groups, claim.Group)
		}
		t.add(string(object.Template.ID), fmt.Sprint(object.Template.Revision), groupNames(object.Template),
			formatTime(last.Time), string(last.Operator))
	}
	return write(c, t, entries)
}

func groupNames(template account.Template) string {
	names := make([]string, len(template.Groups))
	for i, claim := range template.Groups {
		names[i] = string(claim.Group)
	}
	return strings.Join(names, ",")
}

func accountHistory(ctx context.Context, c *cli.Command) error {
	store, err := accountStore(c)
	if err != nil {
		return err
	}
	changes, err := store.History(ctx, account.ID(c.Args().First()))
	if err != nil {
		return err
	}
	value, err := platform.EncodeChanges(changes)
	if err != nil {
		return err
	}
	t := table{header: []string{"REVISION", "TIME", "OPERATOR", "CHANGE", "DIFFERENCES"}}
	for _, change := range changes {
		t.add(fmt.Sprint(change.Revision), formatTime(change.Time), string(change.Operator), string(change.ID), formatDifferences(change))
	}
	return write(c, t, value)
}

func formatDifferences(change account.Change) string {
	if change.Before.Revision == 0 {
		return "created"
	}
	differences := account.Diff(change.Before, change.After)
	texts := make([]string, len(differences))
	for i, d := range differences {
		texts[i] = d.String()
	}
	return strings.Join(texts, "; ")
}

func accountDiff(ctx context.Context, c *cli.Command) error {
	if (c.Args().Len() == 2) == c.IsSet("to") {
		return invalid("compare with either a file or --to")
	}
	store, err := accountStore(c)
	if err != nil {
		return err
	}
	changes, err := store.History(ctx, account.ID(c.Args().First()))
	if err != nil {
		return err
	}
	before, after, err := templatesToCompare(c, changes)
	if err != nil {
		return err
	}
	differences := account.Diff(before, after)
	return write(c, diffTable(differences), slices.Concat([]account.Difference{}, differences))
}

// templatesToCompare returns the templates that the arguments and flags of diff
// select. Before is the zero template if the comparison starts at revision 0.
func templatesToCompare(c *cli.Command, changes []account.Change) (before, after account.Template, err error) {
	from := account.Revision(len(changes))
	if c.IsSet("to") {
		to := account.Revision(c.Int64("to"))
		from = to - 1
		after, err = templateAt(changes, to)
	} else {
		after, err = readTemplate(c.Args().Get(1))
	}
	if c.IsSet("from") {
		from = account.Revision(c.Int64("from"))
	}
	if err == nil && from != 0 {
		before, err = templateAt(changes, from)
	}
	return before, after, err
}

func templateAt(changes []account.Change, revision account.Revision) (account.Template, error) {
	for _, change := range changes {
		if change.Revision == revision {
			return change.After, nil
		}
	}
	return account.Template{}, invalid("there is no revision %d", revision)
}
