// Package exit owns the exit codes of the program's commands.
package exit

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"basilmill/cmd/internal/accounts"
	"basilmill/core/account"
	"basilmill/core/validate"
	"basilmill/io/jsonc"
)

// Code is the exit code of a command.
type Code int

// Exit codes.
const (
	OK Code = 0
	// Failed means that the command ran and did not succeed.
	Failed Code = 1
	// Invalid means wrong usage or invalid input. Nothing was started.
	Invalid Code = 2
	// LostRace means that another operator's change was accepted first.
	LostRace Code = 3
)

// InvalidError is an error that ends a command with Invalid.
type InvalidError struct {
	Cause error
}

// Error returns the cause's text.
func (e *InvalidError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Cause }

// actionError distinguishes an error of an action from one of the command
// line.
type actionError struct {
	cause error
}

func (e *actionError) Error() string { return e.cause.Error() }

func (e *actionError) Unwrap() error { return e.cause }

// Action wraps the action of a command so that Of can tell its errors from
// wrong usage. Every command needs it.
func Action(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if err := action(ctx, c); err != nil {
			return &actionError{cause: err}
		}
		return nil
	}
}

// Of returns the exit code for the error that running the command line
// returned.
func Of(err error) Code {
	var (
		action    *actionError
		invalid   *InvalidError
		document  *jsonc.Error
		faults    *validate.Error
		race      *account.RaceError
		claimRace *accounts.ClaimRaceError
	)
	switch {
	case err == nil:
		return OK
	case !errors.As(err, &action):
		return Invalid
	case errors.As(err, &invalid), errors.As(err, &document), errors.As(err, &faults):
		return Invalid
	case errors.As(err, &race), errors.As(err, &claimRace):
		return LostRace
	default:
		return Failed
	}
}
