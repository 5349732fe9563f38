// Package command owns the command line of the program: the commands that run a
// host, read and change the platform's objects, and check files and logs.
package command

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"basilmill/cmd/internal/exit"
)

// Root returns the root command with all subcommands.
func Root() *cli.Command {
	commands := []*cli.Command{serveCommand(), entryCommand(), checkCommand(), explainCommand(), accountCommand(), groupCommand(), hostCommand(), versionCommand()}
	root := &cli.Command{
		Name:            "basilmill",
		Usage:           "database proxy with session consistency",
		Commands:        commands,
		Action:          subcommandRequired,
		HideHelpCommand: true,
		HideVersion:     true,
		// basilmill completion bash|zsh|fish|pwsh writes the script.
		EnableShellCompletion: true,
		// Run reports errors and chooses the exit code.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	reportUsageErrors(root)
	return root
}

// reportUsageErrors makes the command and its subcommands return usage errors to
// Run, instead of printing them with the help text.
func reportUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return fmt.Errorf("%s: %w: %w", c.FullName(), err, errUsage)
	}
	for _, subcommand := range command.Commands {
		reportUsageErrors(subcommand)
	}
}

// Run runs the root command with the arguments, writes its error to errOut and
// returns the exit code.
func Run(ctx context.Context, root *cli.Command, args []string, errOut io.Writer) exit.Code {
	err := root.Run(ctx, args)
	if err != nil {
		// A failure to write the error cannot be reported.
		_, _ = fmt.Fprintln(errOut, err)
	}
	return exit.Of(err)
}

// errUsage is the error for wrong usage of a command.
var errUsage = errors.New("see --help")

// subcommandRequired is the action of a command that does nothing without a
// subcommand.
func subcommandRequired(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return fmt.Errorf("%s has no command %q: %w", c.FullName(), name, errUsage)
	}
	return fmt.Errorf("%s needs a command: %w", c.FullName(), errUsage)
}

// action wraps an action that takes between minArgs and maxArgs arguments.
func action(minArgs, maxArgs int, run cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if n := c.Args().Len(); n < minArgs || n > maxArgs {
			return fmt.Errorf("%s takes %s: %w", c.FullName(), cmp.Or(c.ArgsUsage, "no argument"), errUsage)
		}
		return exit.Action(run)(ctx, c)
	}
}

// readFile reads an input file. A file that cannot be read is invalid input.
func readFile(path string) ([]byte, error) {
	// The operator chooses the file.
	data, err := os.ReadFile(path) //nolint:gosec
	if err != nil {
		return nil, &exit.InvalidError{Cause: err}
	}
	return data, nil
}
