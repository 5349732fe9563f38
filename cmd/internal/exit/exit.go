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
	// OK means that the command succeeded.
	OK Code = 0
	// Failed means that the command was run and failed.
	Failed Code = 1
	// Invalid means wrong usage or invalid input. Nothing was run.
	Invalid Code = 2
	// LostRace means that the change conflicts with another operator's change
	// that was accepted at the same time or before.
	LostRace Code = 3
)

// InvalidError is an error in a command's input. Its exit code is Invalid.
type InvalidError struct {
	Cause error
}

// Error returns the cause's text.
func (e *InvalidError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Cause }

// actionError marks an error of an action, as opposed to an error in the command
// line.
type actionError struct {
	cause error
}

func (e *actionError) Error() string { return e.cause.Error() }

func (e *actionError) Unwrap() error { return e.cause }

// Action wraps the action of a command so that Of can distinguish the action's
// errors from wrong usage. Every action must be wrapped.
func Action(action cli.ActionFunc) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		if err := action(ctx, c); err != nil {
			return &actionError{cause: err}
		}
		return nil
	}
}

// Of returns the exit code for the error that cli.Command.Run returned.
func Of(err error) Code {
	var (
		action    *actionError
		invalid   *InvalidError
		fileFault *jsonc.Error
		faults    *validate.Error
		race      *account.RaceError
		claimRace *accounts.ClaimRaceError
	)
	switch {
	case err == nil:
		return OK
	case !errors.As(err, &action):
		return Invalid
	case errors.As(err, &invalid), errors.As(err, &fileFault), errors.As(err, &faults):
		return Invalid
	case errors.As(err, &race), errors.As(err, &claimRace):
		return LostRace
	default:
		return Failed
	}
}
