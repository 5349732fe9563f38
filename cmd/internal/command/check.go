package command

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"basilmill/core/account"
	"basilmill/core/validate"
	"basilmill/io/jsonc"
	"basilmill/platform"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check settings, the platform's settings or the template of a client account",
		ArgsUsage:   "FILE",
		Description: "Lists all faults of the file with line and column. The kind of the file is found from its keys unless --kind states it.",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "kind", Usage: "`KIND` of the file: settings, platform or template",
				Validator: func(kind string) error {
					if kind != "settings" && kind != "platform" && kind != "template" {
						return fmt.Errorf("%q is neither settings nor platform nor template", kind)
					}
					return nil
				},
			},
			outputFlag(),
		},
		Action: action(1, 1, check),
	}
}

// checkResult is the JSON output of check.
type checkResult struct {
	File   string
	Kind   string
	Faults []faultEntry
}

// faultEntry is a fault in the JSON output of check. Line and Column are 0 for
// settings of the platform.
type faultEntry struct {
	Line    int
	Column  int
	Path    string
	Problem string
}

func check(_ context.Context, c *cli.Command) error {
	path := c.Args().First()
	data, err := readFile(path)
	if err != nil {
		return err
	}
	result := checkResult{File: path, Kind: c.String("kind"), Faults: []faultEntry{}}
	if result.Kind == "platform" {
		return checkPlatform(c, data, result)
	}
	if result.Kind == "" {
		result.Kind = "template"
		if jsonc.Detect(data) == jsonc.SettingsDocument {
			result.Kind = "settings"
		}
	}
	if result.Kind == "settings" {
		_, err = jsonc.Settings(data)
	} else {
		_, err = jsonc.Template(data)
	}
	var faults *jsonc.Error
	if errors.As(err, &faults) {
		for _, fault := range faults.Faults {
			result.Faults = append(result.Faults, faultEntry{
				Line: fault.Line, Column: fault.Column, Path: string(fault.Path), Problem: fault.Problem.String(),
			})
		}
	}
	if c.String("output") == outputJSON || err == nil {
		valid := table{rows: [][]string{{fmt.Sprintf("%s: valid %s", path, result.Kind)}}}
		if writeErr := write(c, valid, result); writeErr != nil {
			return writeErr
		}
	}
	return withPath(path, err)
}

// checkPlatform checks the platform's settings file. Its faults are reported
// without line and column.
func checkPlatform(c *cli.Command, data []byte, result checkResult) error {
	_, err := platform.ParseSettings(data)
	var faults *validate.Error
	if errors.As(err, &faults) {
		for _, fault := range faults.Faults {
			result.Faults = append(result.Faults, faultEntry{Path: string(fault.Path), Problem: fault.Problem.String()})
		}
	}
	if c.String("output") == outputJSON || err == nil {
		valid := table{rows: [][]string{{fmt.Sprintf("%s: valid platform settings", result.File)}}}
		if writeErr := write(c, valid, result); writeErr != nil {
			return writeErr
		}
	}
	return err
}

// fileError lists the faults of a file, each with the file's path in front.
type fileError struct {
	path  string
	cause *jsonc.Error
}

func (e *fileError) Error() string {
	lines := make([]string, len(e.cause.Faults))
	for i, fault := range e.cause.Faults {
		lines[i] = e.path + ":" + fault.String()
	}
	return strings.Join(lines, "\n")
}

func (e *fileError) Unwrap() error { return e.cause }

// withPath adds the path of the file to the faults of an error.
func withPath(path string, err error) error {
	var faults *jsonc.Error
	if errors.As(err, &faults) {
		return &fileError{path: path, cause: faults}
	}
	return err
}

func readTemplate(path string) (account.Template, error) {
	data, err := readFile(path)
	if err != nil {
		return account.Template{}, err
	}
	template, err := jsonc.Template(data)
	return template, withPath(path, err)
}
